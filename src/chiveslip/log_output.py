"""Non-blocking output of log lines to a file descriptor.

Lines are queued in memory, up to a maximum number, and written when the descriptor
is writable, so that a blocked output never delays a request. When the queue is full,
a line about a successful request is dropped in favour of one about a failure, never
the other way round. Dropped lines are counted.
"""

from __future__ import annotations

import collections
import os
from typing import final

# Holds several seconds of a burst of failures, at 100 to 500 bytes per line.
_MAX_LINES = 4000
# Part of the queue that only lines about failures may use.
_LINES_RESERVED_FOR_FAILURES = 2000
_MAX_WRITE_BYTES = 64 << 10


@final
class LogOutput:
    """A bounded queue of lines in front of a non-blocking file descriptor."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[tuple[bool, bytes]] = collections.deque()
        self._ordinary_lines = 0
        self._unwritten = b""
        self._dropped = {"info": 0, "warning": 0}

    @property
    def dropped(self) -> dict[str, int]:
        """Number of lines dropped since the start, by level.

        ``info`` counts lines about successful requests, ``warning`` lines about
        failures.
        """
        return self._dropped

    def __len__(self) -> int:
        return len(self._lines)

    def put(self, line: str, *, is_failure: bool) -> None:
        """Queue a line, and write as many lines as the descriptor accepts."""
        if (
            not is_failure
            and self._ordinary_lines >= _MAX_LINES - _LINES_RESERVED_FOR_FAILURES
        ):
            self._dropped["info"] += 1
        elif len(self._lines) >= _MAX_LINES and not self._drop_oldest_ordinary_line():
            self._dropped["warning"] += 1
        else:
            self._lines.append((is_failure, line.encode() + b"\n"))
            self._ordinary_lines += not is_failure
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._dequeue_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed the output, so the error cannot be logged either.
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _dequeue_batch(self) -> bytes:
        batch = []
        size = 0
        while self._lines and size < _MAX_WRITE_BYTES:
            is_failure, line = self._lines.popleft()
            self._ordinary_lines -= not is_failure
            batch.append(line)
            size += len(line)
        return b"".join(batch)

    def _drop_oldest_ordinary_line(self) -> bool:
        """Drop the oldest line about a successful request.

        Returns
        -------
        bool
            Whether there was such a line.
        """
        for index, (is_failure, _) in enumerate(self._lines):
            if not is_failure:
                del self._lines[index]
                self._ordinary_lines -= 1
                self._dropped["info"] += 1
                return True
        return False
