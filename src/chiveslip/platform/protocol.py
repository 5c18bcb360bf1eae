"""Reads and writes the platform's headers of requests and responses."""

from __future__ import annotations

import http
import math
from typing import final

from tornado.httputil import HTTPHeaders

from chiveslip.gateway.endpoint_statements import EndpointStatement
from chiveslip.gateway.prompt_parts import PromptPart
from chiveslip.gateway.protocol import AnswerMetadata
from chiveslip.gateway.protocol import ForwardingContext
from chiveslip.gateway.protocol import GatewayProtocol
from chiveslip.gateway.protocol import RequestMetadata
from chiveslip.platform.fields import UnreadableError
from chiveslip.platform.fields import parse_count

_REQUEST_ID = "X-Request-Id"
_DEADLINE_REMAINING = "X-Deadline-Remaining"
_MODEL = "X-Model"
_TOKEN_COUNT = "X-Token-Count"
_PROMPT_PREFIX = "X-Prompt-Prefix"
_LAST_EVENT_ID = "Last-Event-Id"
_AUTHORIZATION = "Authorization"
_SIGNATURE = "X-Server-Signature"
_NOT_EXECUTED = "X-Not-Executed"
_TENANT = "X-Tenant"
_EXPECTED_INSTANCE = "X-Expected-Instance"
_EXPECTED_VERSION = "X-Expected-Version"
_PRIORITY = "X-Request-Priority"
_LEAVING = "Server-Leaving"
_RETRY_AFTER = "Retry-After"
_BRITTLE = "Server-Brittle"
_LIMIT = "Server-Limit"
_COLD_REMAINING = "X-Cold-Remaining"
_RESULT_CODE = "X-Result-Code"
_AUTHORIZATION_SCHEME = "bearer"
_MAX_PRIORITY = 9
# A longer prompt or output than any engine can have is a caller's mistake.
_MAX_TOKENS = 10**9
_MIN_REFUSALS_PER_S = 1.0
# Parts of one prompt that are read; a longer list is the caller's own mistake.
_MAX_SHARED_PARTS = 256
_STATUS_MISDIRECTED = 421
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
class PlatformProtocol(GatewayProtocol):
    """Reads and writes the headers of the platform."""

    def parse_request(self, headers: HTTPHeaders) -> RequestMetadata:
        """Return the metadata in a caller's headers."""
        scheme, _, key = headers.get(_AUTHORIZATION, "").strip().partition(" ")
        # MODEL, or MODEL/ADAPTER.
        model, _, adapter = headers.get(_MODEL, "").partition("/")
        prompt, output = _parse_token_counts(headers.get(_TOKEN_COUNT, ""))
        return RequestMetadata(
            request_id=headers.get(_REQUEST_ID, ""),
            key=key.strip() if scheme.lower() == _AUTHORIZATION_SCHEME else "",
            max_wait_s=_parse_milliseconds(headers.get(_DEADLINE_REMAINING, "")),
            model=model,
            adapter=adapter,
            prompt_tokens=prompt,
            output_tokens=output,
            last_event_id=headers.get(_LAST_EVENT_ID, ""),
            shared_parts=_parse_shared_parts(headers.get(_PROMPT_PREFIX, "")),
            prompt_parts=_parse_prompt_parts(headers.get(_PROMPT_PREFIX, "")),
        )

    def build_endpoint_headers(
        self, headers: HTTPHeaders, context: ForwardingContext
    ) -> dict[str, str]:
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
        forwarded[_DEADLINE_REMAINING] = str(max(int(context.remaining_s * 1000), 1))
        forwarded[_EXPECTED_INSTANCE] = context.endpoint.id
        if context.organisation:
            forwarded[_TENANT] = context.organisation
        if context.priority is not None:
            forwarded[_PRIORITY] = str(min(max(context.priority, 0), _MAX_PRIORITY))
        if context.version is not None:
            forwarded[_EXPECTED_VERSION] = str(context.version)
        if context.last_event_id:
            forwarded[_LAST_EVENT_ID] = context.last_event_id
        return forwarded

    def build_forwarded_headers(
        self, headers: HTTPHeaders, last_event_id: str
    ) -> HTTPHeaders:
        """Return a caller's headers for another instance, without the caller's key."""
        forwarded = HTTPHeaders()
        for name, value in headers.get_all():
            if name != _AUTHORIZATION and name not in _HOP_BY_HOP_HEADERS:
                forwarded.add(name, value)
        if last_event_id:
            forwarded[_LAST_EVENT_ID] = last_event_id
        return forwarded

    def parse_answer(self, status: int, headers: HTTPHeaders) -> AnswerMetadata:
        """Return the metadata in the status and headers of a replica's response."""
        not_run = status == _STATUS_MISDIRECTED or _NOT_EXECUTED in headers
        is_signed = bool(headers.get(_SIGNATURE)) and "Content-Encoding" not in headers
        return AnswerMetadata(
            is_genuine=is_signed and not not_run and status not in _NOT_RUN_STATUSES,
            did_not_run=not_run,
            lacks_adapter=status == _STATUS_MISDIRECTED,
            statement=parse_statement(status, headers),
        )

    def build_answer_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of a replica's response that the caller receives."""
        forwarded = HTTPHeaders()
        for name, value in headers.get_all():
            if name not in _HOP_BY_HOP_HEADERS and name != "Content-Length":
                forwarded.add(name, value)
        return forwarded

    def build_refusal_headers(self, request_id: str, code: int) -> HTTPHeaders:
        """Return the headers of a response that the gateway itself generates."""
        headers = HTTPHeaders({_RESULT_CODE: str(code)})
        if request_id:
            headers[_REQUEST_ID] = request_id
        return headers


def parse_statement(status: int, headers: HTTPHeaders) -> EndpointStatement:
    """Return what a replica's response says of the replica itself.

    A time of rest is a positive number of seconds; a date or another text is none.
    """
    rest_s = 0.0
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        rest_s = _parse_positive(headers.get(_RETRY_AFTER, ""))
    return EndpointStatement(
        is_leaving=headers.get(_LEAVING, "").strip() == "1",
        rest_s=rest_s,
        max_refusals_per_s=_parse_refusals(headers.get(_BRITTLE)),
        max_requests_per_s=_parse_limit(headers.get(_LIMIT)),
        cold_remaining_s=_parse_positive(headers.get(_COLD_REMAINING, "")) / 1000,
    )


def _parse_refusals(text: str | None) -> float | None:
    """Return a limit of refusals a second; the lowest one if it is unreadable."""
    if text is None:
        return None
    return max(_parse_positive(text), _MIN_REFUSALS_PER_S)


def _parse_limit(text: str | None) -> float | None:
    """Return a limit of requests a second, or None if there is no readable one."""
    if text is None:
        return None
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if 0 <= limit < math.inf else None


def _parse_positive(text: str) -> float:
    """Return a positive number, or 0 if the text is none."""
    try:
        number = float(text)
    except ValueError:
        return 0.0
    return number if 0 < number < math.inf else 0.0


def _parse_milliseconds(text: str) -> float | None:
    try:
        wait_s = float(text) / 1000
    except ValueError:
        return None
    return None if math.isnan(wait_s) else max(wait_s, 0.0)


def _parse_token_counts(text: str) -> tuple[int | None, int | None]:
    prompt, _, output = text.partition(",")
    try:
        counts = parse_count(prompt.strip()), parse_count(output.strip())
    except UnreadableError:
        return None, None
    return (None, None) if max(counts) > _MAX_TOKENS else counts


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts but the last, from ID:TOKENS pairs."""
    ids = [pair.partition(":")[0].strip().lower() for pair in text.split(",")]
    return tuple(part for part in ids[:-1][:_MAX_SHARED_PARTS] if part)


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Return all parts up to the first unreadable one, from ID:TOKENS pairs."""
    parts: list[PromptPart] = []
    for pair in text.split(",")[:_MAX_SHARED_PARTS]:
        name, _, tokens = pair.partition(":")
        try:
            part = PromptPart(name.strip().lower(), parse_count(tokens.strip()))
        except UnreadableError:
            break
        if not part.id or part.tokens > _MAX_TOKENS:
            break
        parts.append(part)
    return tuple(parts)
