"""Headers of the platform between callers, the gateway and replicas."""

from __future__ import annotations

from typing import final

from tornado.httputil import HTTPHeaders

from chiveslip.gateway.dialect import AnswerFacts
from chiveslip.gateway.dialect import GatewayDialect
from chiveslip.gateway.dialect import Passing
from chiveslip.gateway.dialect import RequestFacts

_REQUEST_ID = "X-Request-Id"
_DEADLINE_REMAINING = "X-Deadline-Remaining"
_MODEL = "X-Model"
_TOKEN_COUNT = "X-Token-Count"
_LAST_EVENT_ID = "Last-Event-Id"
_AUTHORIZATION = "Authorization"
_SIGNATURE = "X-Server-Signature"
_NOT_EXECUTED = "X-Not-Executed"
_TENANT = "X-Tenant"
_EXPECTED_INSTANCE = "X-Expected-Instance"
_EXPECTED_VERSION = "X-Expected-Version"
_PRIORITY = "X-Request-Priority"
_RESULT_CODE = "X-Result-Code"
_AUTHORIZATION_SCHEME = "bearer"
_MAX_PRIORITY = 9
_MISDIRECTED = 421
# Statuses that tell a caller that the request did not run. A replica's response with
# one of them is not genuine, since only 421 and X-Not-Executed prove that it is true.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

# Headers that apply to a single connection and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Transfer-Encoding",
        "Te",
        "Trailer",
        "Upgrade",
        "Expect",
    }
)
# Headers of a caller that are not forwarded: the gateway sets them itself or omits
# them.
_UNFORWARDED_HEADERS = frozenset(
    {
        _AUTHORIZATION,
        _TENANT,
        _DEADLINE_REMAINING,
        _EXPECTED_INSTANCE,
        _EXPECTED_VERSION,
        _PRIORITY,
        "Content-Length",
        "X-Hold",
        "X-Pin-Duration",
        "X-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    }
)


@final
class PlatformProtocol(GatewayDialect):
    """Reads and writes the headers of the platform."""

    def read_request(self, headers: HTTPHeaders) -> RequestFacts:
        """Return the properties of a request from the caller's headers."""
        scheme, _, key = headers.get(_AUTHORIZATION, "").strip().partition(" ")
        # MODEL, or MODEL/ADAPTER.
        model, _, adapter = headers.get(_MODEL, "").partition("/")
        prompt, output = _parse_token_counts(headers.get(_TOKEN_COUNT, ""))
        return RequestFacts(
            request_id=headers.get(_REQUEST_ID, ""),
            key=key.strip() if scheme.lower() == _AUTHORIZATION_SCHEME else "",
            patience_s=_parse_milliseconds(headers.get(_DEADLINE_REMAINING, "")),
            model=model,
            adapter=adapter,
            prompt_tokens=prompt,
            output_tokens=output,
            last_event=headers.get(_LAST_EVENT_ID, ""),
        )

    def pass_on(self, headers: HTTPHeaders, passing: Passing) -> dict[str, str]:
        """Return the headers of the request to a replica."""
        connection_options = {
            option.strip().lower()
            for option in headers.get("Connection", "").split(",")
        }
        forwarded = {
            name: value
            for name, value in headers.items()
            if name not in _HOP_BY_HOP_HEADERS
            and name not in _UNFORWARDED_HEADERS
            and name.lower() not in connection_options
        }
        forwarded[_DEADLINE_REMAINING] = str(max(int(passing.remaining_s * 1000), 1))
        forwarded[_EXPECTED_INSTANCE] = passing.endpoint.id
        if passing.organisation:
            forwarded[_TENANT] = passing.organisation
        if passing.urgency is not None:
            forwarded[_PRIORITY] = str(min(max(passing.urgency, 0), _MAX_PRIORITY))
        if passing.version is not None:
            forwarded[_EXPECTED_VERSION] = str(passing.version)
        if passing.last_event:
            forwarded[_LAST_EVENT_ID] = passing.last_event
        return forwarded

    def read_answer(self, status: int, headers: HTTPHeaders) -> AnswerFacts:
        """Return the properties of a replica's response from its head."""
        not_run = status == _MISDIRECTED or _NOT_EXECUTED in headers
        is_signed = bool(headers.get(_SIGNATURE)) and "Content-Encoding" not in headers
        return AnswerFacts(
            is_genuine=is_signed and not not_run and status not in _NOT_RUN_STATUSES,
            surely_not_run=not_run,
            lacks_adapter=status == _MISDIRECTED,
        )

    def answer_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of a replica's response that the caller receives."""
        forwarded = HTTPHeaders()
        for name, value in headers.get_all():
            if name not in _HOP_BY_HOP_HEADERS and name != "Content-Length":
                forwarded.add(name, value)
        return forwarded

    def refusal_headers(self, request_id: str, code: int) -> HTTPHeaders:
        """Return the headers of a response that the gateway itself generates."""
        headers = HTTPHeaders({_RESULT_CODE: str(code)})
        if request_id:
            headers[_REQUEST_ID] = request_id
        return headers


def _parse_milliseconds(text: str) -> float | None:
    try:
        return max(float(text) / 1000, 0.0)
    except ValueError:
        return None


def _parse_token_counts(text: str) -> tuple[int | None, int | None]:
    prompt, _, output = text.partition(",")
    if not prompt.strip().isdigit() or not output.strip().isdigit():
        return None, None
    return int(prompt), int(output)
