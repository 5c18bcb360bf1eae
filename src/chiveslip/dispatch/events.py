"""Server-sent events of an engine's stream, taken whole one by one."""

from __future__ import annotations

import json
from typing import final

import attrs

_END = b"\n\n"
_DONE = b"[DONE]"
_MOST_EVENT_BYTES = 1024 * 1024


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One event.

    Attributes
    ----------
    raw
        The event as it came, with its end.
    number
        Number of the event in its stream, or None where it bears none.
    done
        Whether it is the stream's end marker.
    """

    raw: bytes
    data: bytes
    number: int | None
    done: bool


class InvalidStreamError(Exception):
    """The stream breaks the form of server-sent events."""


@final
class EventReader:
    """Cuts a stream of bytes into events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def is_clean(self) -> bool:
        """Whether no part of an event is left over."""
        return not self._buffer

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that `chunk` completes.

        Raises
        ------
        InvalidStreamError
            If an event is too large.
        """
        pieces = (self._buffer + chunk).split(_END)
        self._buffer = pieces.pop()
        if len(self._buffer) > _MOST_EVENT_BYTES:
            raise InvalidStreamError("an event of the stream is too large")
        return [_read_event(piece) for piece in pieces if piece.strip()]


def _read_event(piece: bytes) -> StreamEvent:
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
        raw=piece + _END, data=joined, number=number, done=joined == _DONE
    )


def used_tokens(body: bytes) -> int | None:
    """Return the tokens that an answer says it used, or None."""
    if b'"usage"' not in body:
        return None
    try:
        usage = json.loads(body).get("usage") or {}
        return int(usage["total_tokens"])
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
