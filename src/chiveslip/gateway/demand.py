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
# Shares of an engine's slots and of its prefill speed that the requests of one adapter
# may fill; the rest is for other adapters and absorbs the error of the estimate. An
# engine with few slots runs out of these first, one with many of prefill speed.
_TARGET_SLOT_SHARE = 0.4
_TARGET_PREFILL_SHARE = 0.25
_MAX_ADAPTERS = 5000
_MIN_KEPT_COUNT = 0.05


@attrs.define
class _RequestCount:
    value: float
    tokens: float
    updated_at: float


@final
class AdapterDemand:
    """Exponentially decaying counts of this instance's requests for each adapter."""

    def __init__(self) -> None:
        self._counts: dict[Adapter, _RequestCount] = {}

    def record_request(
        self, adapter: Adapter, prompt_tokens: float, now: float
    ) -> None:
        """Count a request and its prompt tokens."""
        count = self._counts.get(adapter)
        if count is None:
            self._prune(now)
            count = self._counts[adapter] = _RequestCount(0.0, 0.0, now)
        decay = _decay(count, now)
        count.value = count.value * decay + 1.0
        count.tokens = count.tokens * decay + prompt_tokens
        count.updated_at = now

    def engines_needed(
        self,
        adapter: Adapter,
        *,
        instances: int,
        slots: int,
        prefill_tokens_per_s: float,
        now: float,
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
        prefill_tokens_per_s
            Prompt tokens that an engine processes per second.
        """
        count = self._counts.get(adapter)
        if count is None:
            return 1
        rate = max(count.value * _decay(count, now) - 1.0, 0.0) / _WINDOW_S * instances
        tokens_per_request = count.tokens / count.value
        by_slots = rate * _SLOT_TIME_S / max(slots * _TARGET_SLOT_SHARE, 1.0)
        by_prefill = (
            rate * tokens_per_request / (prefill_tokens_per_s * _TARGET_PREFILL_SHARE)
        )
        return max(math.ceil(max(by_slots, by_prefill)), 1)

    def _prune(self, now: float) -> None:
        if len(self._counts) < _MAX_ADAPTERS:
            return
        rare = [
            adapter
            for adapter, count in self._counts.items()
            if count.value * _decay(count, now) < _MIN_KEPT_COUNT
        ]
        for adapter in rare:
            del self._counts[adapter]


def _decay(count: _RequestCount, now: float) -> float:
    return math.exp((count.updated_at - now) / _WINDOW_S)
