"""How a response of an endpoint ended, and whether that makes it complete.

Every reader of responses asks this module; none decides by itself.
"""

from __future__ import annotations

import enum
import http
import json

import attrs
from tornado.httputil import HTTPHeaders

MAX_STATUS = 599


class Framing(enum.Enum):
    """What shows where the body of a response ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NO_BODY = "no body"
    """The status or the method excludes a body."""
    CONNECTION = "connection"
    """Nothing but the end of the connection."""


class Ending(enum.Enum):
    """What ended the reading of a response."""

    FRAMING = "framing"
    """The framing showed the end of the body."""
    CLOSE = "close"
    """The endpoint closed the connection."""
    RESET = "reset"
    """The connection failed: a reset, or bytes that were not acknowledged."""
    LIMIT = "limit"
    """A limit of this instance on time or bytes."""
    INVALID = "invalid"
    """Bytes that are no response to the request."""


class EventPosition(enum.Enum):
    """Where in a stream of events the last byte lies."""

    BEFORE_FIRST = "before the first event"
    WITHIN = "within an event"
    BETWEEN = "after a whole event"


@attrs.frozen(kw_only=True)
class ResponseEnd:
    """How a response ended.

    Attributes
    ----------
    framing
        Framing of the body, or None if no head was received.
    received_bytes
        Bytes of the body that were received.
    detail
        Text of the error that ended it, or empty.
    """

    framing: Framing | None
    ending: Ending
    received_bytes: int
    detail: str = ""

    def __str__(self) -> str:
        framing = "no head" if self.framing is None else self.framing.value
        return (
            f"framing {framing}, ended by {self.ending.value}, {self.received_bytes} B"
        )


def is_final_status(status: int) -> bool:
    """Return whether a status is one that a final response of HTTP can have."""
    return http.HTTPStatus.OK <= status <= MAX_STATUS


def parse_framing(method: str, status: int, headers: HTTPHeaders) -> Framing:
    """Return the framing that the head of a response to a method shows."""
    if method == "HEAD" or status in (204, 304):
        return Framing.NO_BODY
    if "chunked" in headers.get("Transfer-Encoding", "").lower():
        return Framing.CHUNKS
    if "Content-Length" in headers:
        return Framing.LENGTH
    return Framing.CONNECTION


def find_body_fault(end: ResponseEnd) -> str | None:
    """Return why a body is not complete, or None if it is.

    A body with a length or chunks is complete when its framing shows the end. One
    without either is complete when its connection was closed, not when it was reset.
    """
    if end.ending is Ending.FRAMING:
        return None
    if end.framing is Framing.CONNECTION and end.ending is Ending.CLOSE:
        return None
    return f"the response was truncated: {end}"


def find_document_fault(end: ResponseEnd, content_type: str, body: bytes) -> str | None:
    """Return why a whole body cannot be complete by its content, or None.

    A body of a JSON type that ends with its connection must parse.
    """
    media_type = content_type.partition(";")[0].strip().lower()
    is_json = media_type == "application/json" or media_type.endswith("+json")
    if end.framing is not Framing.CONNECTION or not is_json:
        return None
    try:
        json.loads(body)
    except ValueError as error:
        return f"the response of type {media_type} does not parse ({error}): {end}"
    except RecursionError:
        # Too deep to parse here, which shows nothing about its end.
        return None
    return None


def find_stream_fault(end: ResponseEnd, position: EventPosition) -> str | None:
    """Return why a stream of events is not complete, or None if it is.

    A stream that ends within an event was broken off, whatever its framing shows. One
    without framing needs a whole event, because a connection that is closed after the
    head alone shows nothing.
    """
    fault = find_body_fault(end)
    if fault is not None:
        return fault
    if position is EventPosition.WITHIN:
        return f"the stream ended within an event: {end}"
    if position is EventPosition.BEFORE_FIRST and end.framing is Framing.CONNECTION:
        return f"the stream ended before its first event: {end}"
    return None


def find_marked_stream_fault(end: ResponseEnd, *, has_end_marker: bool) -> str | None:
    """Return why a stream whose last event is an end marker is not complete, or None.

    The marker alone decides: it is sent after all other events.
    """
    if has_end_marker:
        return None
    return f"the stream ended without its end marker: {end}"
