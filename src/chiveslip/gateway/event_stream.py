"""Whole events of a stream, and the id of the last one."""

from __future__ import annotations

from typing import final

_END = b"\n\n"
_ID_FIELD = b"id:"
# An event larger than this is passed on in parts; such a stream is not resumed.
_LARGEST_EVENT = 1 << 20


@final
class EventSplitter:
    """Cuts a stream at the ends of its events.

    A resumed stream goes on after the last whole event, so only whole events may
    have gone to the caller.
    """

    def __init__(self, last_event: str = "") -> None:
        self._rest = b""
        self._last_event = last_event
        self._has_passed_part = False

    @property
    def last_event(self) -> str:
        """Id of the last whole event, or empty."""
        return self._last_event

    @property
    def may_resume(self) -> bool:
        """Whether nothing but whole events was passed on."""
        return not self._has_passed_part

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that `chunk` completes."""
        data = self._rest + chunk
        end = data.rfind(_END)
        if end < 0:
            if len(data) > _LARGEST_EVENT:
                self._has_passed_part = True
                self._rest = b""
                return data
            self._rest = data
            return b""
        whole, self._rest = data[: end + len(_END)], data[end + len(_END) :]
        self._note_id(whole)
        return whole

    def restart(self) -> None:
        """Drop the part of an event that an ended stream left."""
        self._rest = b""

    def flush(self) -> bytes:
        """Return what is left after the last event of a complete stream."""
        rest, self._rest = self._rest, b""
        return rest

    def _note_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + _ID_FIELD)
        if start >= 0:
            start += 1
        elif events.startswith(_ID_FIELD):
            start = 0
        else:
            return
        line = events[start : events.find(b"\n", start)]
        self._last_event = line[len(_ID_FIELD) :].strip().decode("latin-1")
