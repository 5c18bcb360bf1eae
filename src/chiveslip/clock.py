"""The clock that decisions read: local, monotonic, and counting suspension."""

from __future__ import annotations

import abc
import time
from typing import final


class Clock(abc.ABC):
    """Source of local time in seconds; the origin means nothing."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the present time in seconds."""


@final
class SystemClock(Clock):
    """Clock of this machine, which goes on while the machine is suspended."""

    def now(self) -> float:
        """Return the present time in seconds."""
        # The monotonic clock stands still in suspension; a lease must not.
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@final
class ManualClock(Clock):
    """Clock that moves only when told to, for decisions in virtual time."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the present time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move on by `seconds`."""
        self._now += seconds
