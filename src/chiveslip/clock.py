"""Monotonic local clocks; the time while the machine is suspended counts."""

from __future__ import annotations

import abc
import time
from typing import final


class Clock(abc.ABC):
    """Source of local time in seconds, with an arbitrary origin."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the current time in seconds."""


@final
class SystemClock(Clock):
    """Clock of this machine, which continues while the machine is suspended."""

    def now(self) -> float:
        """Return the current time in seconds."""
        # CLOCK_MONOTONIC stops during suspension, but a lease has to expire then too.
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@final
class ManualClock(Clock):
    """Clock that advances only by calls of `advance`, for runs in virtual time."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock by `seconds`."""
        self._now += seconds
