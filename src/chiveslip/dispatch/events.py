"""Parser for the server-sent events of an engine's stream."""

from __future__ import annotations

import json
from typing import final

import attrs

_EVENT_END = b"\n\n"
_END_MARKER = b"[DONE]"
_MAX_EVENT_BYTES = 1024 * 1024


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One server-sent event.

    Attributes
    ----------
    raw
        The event as received, with its terminator.
    number
        Number of the event in its stream, or None if it has none.
    done
        Whether the event is the end marker of the stream.
    """

    raw: bytes
    data: bytes
    number: int | None
    done: bool


class InvalidStreamError(Exception):
    """The stream is not a valid stream of server-sent events."""


@final
class EventReader:
    """Splits a stream of bytes into events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def is_clean(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._buffer

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add `chunk` to the buffer; return the events that it completes.

        Raises
        ------
        InvalidStreamError
            If an event is larger than ``_MAX_EVENT_BYTES``.
        """
        pieces = (self._buffer + chunk).split(_EVENT_END)
        self._buffer = pieces.pop()
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise InvalidStreamError("an event of the stream is too large")
        return [_parse_event(piece) for piece in pieces if piece.strip()]


def _parse_event(piece: bytes) -> StreamEvent:
    number = None
    data = []
    for line in piece.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.strip()
        if name == b"data":
            data.append(value)
        elif name == b"id" and value.isdigit():
            number = int(value)
    joined = b"\n".join(data)
    return StreamEvent(
        raw=piece + _EVENT_END, data=joined, number=number, done=joined == _END_MARKER
    )


def parse_used_tokens(body: bytes) -> int | None:
    """Return the number of tokens that the response reports as used, or None."""
    if b'"usage"' not in body:
        return None
    try:
        usage = json.loads(body).get("usage") or {}
        return int(usage["total_tokens"])
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
