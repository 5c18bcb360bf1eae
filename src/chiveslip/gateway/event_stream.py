"""Splits a server-sent event stream into whole events."""

from __future__ import annotations

from typing import final

from chiveslip.dispatch.response_end import EventPosition

_LF_END = b"\n\n"
_CRLF_END = b"\n\r\n"
_LINE_ENDS = b"\r\n"
_ID_FIELD = b"id:"
# A larger event is forwarded in parts, after which the stream cannot be resumed.
_MAX_EVENT_BYTES = 1 << 20
# The end of an event may be split over two chunks at any of its bytes.
_MAX_SPLIT_BYTES = 2


@final
class EventSplitter:
    """Buffers a stream's chunks, releases whole events and tracks the last event id.

    A resumed stream continues after the last whole event, so the caller must have
    received whole events only.

    Parameters
    ----------
    last_event_id
        Id of the last event that the caller has received, or empty.
    """

    def __init__(self, last_event_id: str = "") -> None:
        self._buffer = b""
        self._last_event_id = last_event_id
        self._has_event = False
        self._is_within_released_part = False
        self._has_released_part = False

    @property
    def last_event_id(self) -> str:
        """Id of the last whole event, or empty."""
        return self._last_event_id

    @property
    def can_resume(self) -> bool:
        """Whether only whole events have been released."""
        return not self._has_released_part

    @property
    def position(self) -> EventPosition:
        """Where the last byte of the response lies."""
        if self._is_within_released_part or self._buffer.strip(_LINE_ENDS):
            return EventPosition.WITHIN
        return EventPosition.BETWEEN if self._has_event else EventPosition.BEFORE_FIRST

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the whole events that it completes."""
        data = self._buffer + chunk
        end = _find_last_event_end(data)
        if end == 0:
            return self._release_part_if_huge(data)
        whole, self._buffer = data[:end], data[end:]
        self._has_event = True
        self._is_within_released_part = False
        self._record_last_id(whole)
        return whole

    def begin_response(self) -> None:
        """Discard what a truncated response left of an event, before the next one."""
        self._buffer = b""
        self._has_event = False

    def flush(self) -> bytes:
        """Return and clear what a complete stream left after its last event."""
        rest, self._buffer = self._buffer, b""
        return rest

    def _release_part_if_huge(self, data: bytes) -> bytes:
        if len(data) <= _MAX_EVENT_BYTES:
            self._buffer = data
            return b""
        self._has_released_part = True
        self._is_within_released_part = True
        part, self._buffer = data[:-_MAX_SPLIT_BYTES], data[-_MAX_SPLIT_BYTES:]
        return part

    def _record_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + _ID_FIELD)
        if start >= 0:
            start += 1
        elif events.startswith(_ID_FIELD):
            start = 0
        else:
            return
        line = events[start : events.find(b"\n", start)]
        self._last_event_id = line[len(_ID_FIELD) :].strip().decode("latin-1")


def _find_last_event_end(data: bytes) -> int:
    """Return the number of bytes up to the end of the last whole event, or 0.

    An event ends with an empty line; lines end with LF or CRLF.
    """
    lf = data.rfind(_LF_END) + len(_LF_END)
    crlf = data.rfind(_CRLF_END) + len(_CRLF_END)
    # A miss gives less than the length of the end.
    return max(lf if lf >= len(_LF_END) else 0, crlf if crlf >= len(_CRLF_END) else 0)
