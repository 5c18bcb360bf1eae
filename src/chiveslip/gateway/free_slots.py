"""How likely an engine cannot load another adapter, from news that age.

The coordinator of an engine tells how many of its adapter slots are free or could be
freed. An instance that reads the engine's report sees how many requests it has: they
use no more adapters. The module does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from typing import final

import attrs

# Streams of the users' engines take one to two seconds and an engine has ten adapter
# slots or more, so slots are freed and taken several times in this time.
_AGEING_S = 1.5
# The exponent of the share of news about few free slots that are wrong by the time they
# arrive, as other instances have taken the slots.
_TAKEN_EXPONENT = 4
# A report of the engine itself is compared with what was told for this time.
_MAX_REPORT_AGE_S = 0.5


@attrs.frozen
class _News:
    """A number that was true at a local time in seconds."""

    number: int
    at: float


@final
class FreeSlots:
    """Free adapter slots of engines, as known to this instance."""

    def __init__(self) -> None:
        self._told: dict[str, _News] = {}
        self._requests: dict[str, _News] = {}

    def record_told(self, engine: str, free: int | None, told_at: float) -> None:
        """Record what the coordinator of an engine told, unless newer news is known.

        Parameters
        ----------
        free
            Free slots, or None if the coordinator does not tell them.
        """
        if free is None:
            self._told.pop(engine, None)
            return
        known = self._told.get(engine)
        if known is None or told_at >= known.at:
            self._told[engine] = _News(max(free, 0), told_at)

    def record_taken(self, engine: str) -> None:
        """Record that one of an engine's free slots is taken by a load."""
        known = self._told.get(engine)
        if known is not None:
            self._told[engine] = attrs.evolve(known, number=max(known.number - 1, 0))

    def record_requests(self, engine: str, requests: int, now: float) -> None:
        """Record the requests that an engine reported to this instance."""
        self._requests[engine] = _News(requests, now)

    def forget(self, engine: str) -> None:
        """Forget an engine that is gone."""
        self._told.pop(engine, None)
        self._requests.pop(engine, None)

    def shortage(self, engine: str, adapter_slots: int, now: float) -> float:
        """Return how likely an engine has no slot for another adapter, from 0 to 1.

        Returns 0 if nothing is known.
        """
        told = self._told.get(engine)
        if told is None:
            return 0.0
        free = told.number
        report = self._requests.get(engine)
        if report is not None and now - report.at <= _MAX_REPORT_AGE_S:
            free = max(free, adapter_slots - report.number)
        weight = math.exp(min(told.at - now, 0.0) / _AGEING_S)
        return float(weight / (1 + free) ** _TAKEN_EXPONENT)
