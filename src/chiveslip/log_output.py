"""Log lines to a descriptor that may be blocked, without ever blocking a request.

Lines wait in memory, bounded by number, and are written when the descriptor takes
them. When the queue is full, a line of a request that went well makes way for one
that tells of a failure, never the other way round; what is dropped is counted.
"""

from __future__ import annotations

import collections
import os
from typing import final

# Some seconds of a burst of failures at 100 bytes to 500 bytes a line.
_MOST_LINES = 4000
# A part of the queue that only lines of failures may use.
_KEPT_FOR_FAILURES = 2000
_MOST_WRITE_BYTES = 64 << 10


@final
class LogOutput:
    """A queue of lines before a descriptor."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[tuple[bool, bytes]] = collections.deque()
        self._ordinary = 0
        self._rest = b""
        self._dropped = {"info": 0, "warning": 0}

    @property
    def dropped(self) -> dict[str, int]:
        """Lines dropped since the start: of good requests, and of failures."""
        return self._dropped

    def __len__(self) -> int:
        return len(self._lines)

    def put(self, line: str, *, tells_of_failure: bool) -> None:
        """Queue a line, and write what the descriptor takes."""
        if not tells_of_failure and self._ordinary >= _MOST_LINES - _KEPT_FOR_FAILURES:
            self._dropped["info"] += 1
        elif len(self._lines) >= _MOST_LINES and not self._make_way():
            self._dropped["warning"] += 1
        else:
            self._lines.append((tells_of_failure, line.encode() + b"\n"))
            self._ordinary += not tells_of_failure
        self.flush()

    def flush(self) -> None:
        """Write lines until the descriptor takes no more."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._take()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any more; there is no one to tell.
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _take(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < _MOST_WRITE_BYTES:
            tells, line = self._lines.popleft()
            self._ordinary -= not tells
            parts.append(line)
            size += len(line)
        return b"".join(parts)

    def _make_way(self) -> bool:
        """Drop the oldest line of a request that went well."""
        for index, (tells, _) in enumerate(self._lines):
            if not tells:
                del self._lines[index]
                self._ordinary -= 1
                self._dropped["info"] += 1
                return True
        return False
