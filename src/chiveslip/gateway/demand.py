"""Estimates how many engines an adapter needs, from the requests of one instance.

In a large fleet with skewed demand, an instance sees a hundredth of an adapter's
requests, and reports of engines arrive seconds late. If every instance chose the
engine that looks best, all would choose the same one until the next reports.
Therefore the requests of a popular adapter are spread over as many engines as they
are expected to need.
"""

from __future__ import annotations

import math
from typing import final

import attrs

from chiveslip.gateway.engine_view import Adapter

# Time constant of the request counts; demand shifts within ten seconds.
_WINDOW_S = 8.0
# Time for which a request occupies its slot: 170 tokens in steps of 9 ms on the users'
# sheets.
_SLOT_TIME_S = 1.5
# Share of an engine's slots that the estimate fills; the rest absorbs its error.
_TARGET_SLOT_SHARE = 0.4
_MAX_ADAPTERS = 5000
_MIN_KEPT_COUNT = 0.05


@attrs.define
class _RequestCount:
    value: float
    updated_at: float


@final
class AdapterDemand:
    """Exponentially decaying counts of this instance's requests for each adapter."""

    def __init__(self) -> None:
        self._counts: dict[Adapter, _RequestCount] = {}

    def record_request(self, adapter: Adapter, now: float) -> None:
        """Count a request."""
        count = self._counts.get(adapter)
        if count is None:
            self._prune(now)
            count = self._counts[adapter] = _RequestCount(0.0, now)
        count.value = _decayed(count, now) + 1.0
        count.updated_at = now

    def engines_needed(
        self, adapter: Adapter, *, instances: int, slots: int, now: float
    ) -> int:
        """Return how many engines the requests of all instances for an adapter need.

        The first request says nothing about the rate: among thousands of rare
        adapters, some are requested at any moment.

        Parameters
        ----------
        instances
            Instances in the fleet, which are assumed to see the same rate.
        slots
            Requests that an engine runs at once.
        """
        count = self._counts.get(adapter)
        if count is None:
            return 1
        rate = max(_decayed(count, now) - 1.0, 0.0) / _WINDOW_S * instances
        return max(
            math.ceil(rate * _SLOT_TIME_S / max(slots * _TARGET_SLOT_SHARE, 1.0)), 1
        )

    def _prune(self, now: float) -> None:
        if len(self._counts) < _MAX_ADAPTERS:
            return
        rare = [
            adapter
            for adapter, count in self._counts.items()
            if _decayed(count, now) < _MIN_KEPT_COUNT
        ]
        for adapter in rare:
            del self._counts[adapter]


def _decayed(count: _RequestCount, now: float) -> float:
    return count.value * math.exp((count.updated_at - now) / _WINDOW_S)
