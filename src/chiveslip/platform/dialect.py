"""Headers between callers, the gateway and replicas."""

from __future__ import annotations

from typing import final

from tornado.httputil import HTTPHeaders

from chiveslip.gateway.protocol import AnswerMetadata
from chiveslip.gateway.protocol import ForwardingContext
from chiveslip.gateway.protocol import GatewayProtocol
from chiveslip.gateway.protocol import RequestMetadata

_REQUEST_ID = "X-Request-Id"
_DEADLINE_MS = "X-Deadline-Remaining"
_MODEL = "X-Model"
_TOKENS = "X-Token-Count"
_LAST_EVENT = "Last-Event-Id"
_AUTHORIZATION = "Authorization"
_SIGNATURE = "X-Server-Signature"
_NOT_RUN = "X-Not-Executed"
_TENANT = "X-Tenant"
_EXPECTED_ID = "X-Expected-Instance"
_EXPECTED_VERSION = "X-Expected-Version"
_URGENCY = "X-Request-Priority"
_RESULT_CODE = "X-Result-Code"
_SCHEME = "bearer"
_LAST_URGENCY = 9
_MISDIRECTED = 421
# Statuses that promise callers that the request did not run.
_PROMISES = frozenset({408, 421, 429, 503})

# Headers that concern one connection only.
_HOP_BY_HOP = frozenset(
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
# Headers that the gateway sets itself, whatever a caller sends.
_OWN = frozenset(
    {
        _AUTHORIZATION,
        _TENANT,
        _DEADLINE_MS,
        _EXPECTED_ID,
        _EXPECTED_VERSION,
        _URGENCY,
        "Content-Length",
        "X-Hold",
        "X-Pin-Duration",
        "X-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    }
)


@final
class PlatformDialect(GatewayProtocol):
    """The platform's headers."""

    def parse_request(self, headers: HTTPHeaders) -> RequestMetadata:
        """Return what a caller's headers say."""
        scheme, _, key = headers.get(_AUTHORIZATION, "").strip().partition(" ")
        # An adapter of a model is named after a slash.
        model, _, adapter = headers.get(_MODEL, "").partition("/")
        prompt, output = _tokens(headers.get(_TOKENS, ""))
        return RequestMetadata(
            request_id=headers.get(_REQUEST_ID, ""),
            key=key.strip() if scheme.lower() == _SCHEME else "",
            max_wait_s=_seconds(headers.get(_DEADLINE_MS, "")),
            model=model,
            adapter=adapter,
            prompt_tokens=prompt,
            output_tokens=output,
            last_event_id=headers.get(_LAST_EVENT, ""),
        )

    def build_endpoint_headers(
        self, headers: HTTPHeaders, context: ForwardingContext
    ) -> dict[str, str]:
        """Return the headers for a replica."""
        named = {n.strip().lower() for n in headers.get("Connection", "").split(",")}
        passed = {
            name: value
            for name, value in headers.items()
            if name not in _HOP_BY_HOP
            and name not in _OWN
            and name.lower() not in named
        }
        passed[_DEADLINE_MS] = str(max(int(context.remaining_s * 1000), 1))
        passed[_EXPECTED_ID] = context.endpoint.id
        if context.organisation:
            passed[_TENANT] = context.organisation
        if context.priority is not None:
            passed[_URGENCY] = str(min(max(context.priority, 0), _LAST_URGENCY))
        if context.version is not None:
            passed[_EXPECTED_VERSION] = str(context.version)
        if context.last_event_id:
            passed[_LAST_EVENT] = context.last_event_id
        return passed

    def parse_answer(self, status: int, headers: HTTPHeaders) -> AnswerMetadata:
        """Return what an answer's head says."""
        not_run = status == _MISDIRECTED or _NOT_RUN in headers
        is_signed = bool(headers.get(_SIGNATURE)) and "Content-Encoding" not in headers
        return AnswerMetadata(
            is_genuine=is_signed and not not_run and status not in _PROMISES,
            did_not_run=not_run,
            lacks_adapter=status == _MISDIRECTED,
        )

    def build_answer_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of a replica's answer for the caller."""
        passed = HTTPHeaders()
        for name, value in headers.get_all():
            if name not in _HOP_BY_HOP and name != "Content-Length":
                passed.add(name, value)
        return passed

    def build_refusal_headers(self, request_id: str, code: int) -> HTTPHeaders:
        """Return the headers of an answer of the gateway's own."""
        headers = HTTPHeaders({_RESULT_CODE: str(code)})
        if request_id:
            headers[_REQUEST_ID] = request_id
        return headers


def _seconds(milliseconds: str) -> float | None:
    try:
        return max(float(milliseconds) / 1000, 0.0)
    except ValueError:
        return None


def _tokens(text: str) -> tuple[int | None, int | None]:
    prompt, _, output = text.partition(",")
    if not prompt.strip().isdigit() or not output.strip().isdigit():
        return None, None
    return int(prompt), int(output)
