"""How many engines an adapter's requests need, judged from an instance's own share.

Answers the load of a large fleet with skewed demand: an instance sees a hundredth of
an adapter's requests, and reports of engines come seconds later. If all took the
engine that looks best, all would take the same one until the next reports; so the
requests of a frequent adapter are spread over as many engines as they will need.
"""

from __future__ import annotations

import math
from typing import final

import attrs

from chiveslip.gateway.engine_view import Adapter

# Own requests are counted over about this long; demand moves on within ten seconds.
_WINDOW_S = 8.0
# A request holds its slot this long: 170 tokens in steps of 9 ms on the users' sheets.
_HELD_S = 1.5
# Engines are filled up to this share by the estimate, so that its error finds room.
_FILLED = 0.4
_MOST_KEPT = 5000
_RARE = 0.05


@attrs.define
class _Count:
    value: float
    at: float


@final
class AdapterDemand:
    """Moving counts of the own requests for each adapter."""

    def __init__(self) -> None:
        self._counts: dict[Adapter, _Count] = {}

    def note(self, adapter: Adapter, now: float) -> None:
        """Count a request."""
        count = self._counts.get(adapter)
        if count is None:
            self._prune(now)
            count = self._counts[adapter] = _Count(0.0, now)
        count.value = _decayed(count, now) + 1.0
        count.at = now

    def engines_for(
        self, adapter: Adapter, *, instances: int, slots: int, now: float
    ) -> int:
        """Return how many engines the adapter's requests of all instances need.

        The first request says nothing of the rate: of thousands of adapters that are
        rare, some have a request at every moment.
        """
        count = self._counts.get(adapter)
        if count is None:
            return 1
        rate = max(_decayed(count, now) - 1.0, 0.0) / _WINDOW_S * instances
        return max(math.ceil(rate * _HELD_S / max(slots * _FILLED, 1.0)), 1)

    def _prune(self, now: float) -> None:
        if len(self._counts) < _MOST_KEPT:
            return
        rare = [a for a, count in self._counts.items() if _decayed(count, now) < _RARE]
        for adapter in rare:
            del self._counts[adapter]


def _decayed(count: _Count, now: float) -> float:
    return count.value * math.exp((count.at - now) / _WINDOW_S)
