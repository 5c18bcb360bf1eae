"""Estimates how long an engine needs until an adapter is usable.

An engine keeps copies of adapters that it held before; these reload ten times as fast
as others, which come from a weight store that slows down under many concurrent
fetches. Late and timely loads correct the estimate.
"""

from __future__ import annotations

import collections
from typing import final

from chiveslip.gateway.engine_view import Adapter

# Most recent adapters whose copies an engine is assumed to keep; engines keep more.
_MAX_COPIES = 80
# A late load makes later estimates longer. The limit is below the slowdown of a
# crowded store, which is estimated separately.
_LATE_FACTOR = 1.1
_TIMELY_FACTOR = 0.97
_MAX_CORRECTION = 1.6


@final
class LoadTimes:
    """Expected times of adapter loads.

    Parameters
    ----------
    fetch_s
        Time in seconds of a fetch from the weight store at full speed.
    reload_s
        Time in seconds of a reload from an engine's own copy.
    max_full_speed_fetches
        Concurrent fetches, over all engines, that the store serves at full speed.
    """

    def __init__(
        self, *, fetch_s: float, reload_s: float, max_full_speed_fetches: int
    ) -> None:
        self._fetch_s = fetch_s
        self._reload_s = reload_s
        self._max_full_speed_fetches = max_full_speed_fetches
        self._copies: dict[str, collections.OrderedDict[Adapter, None]] = {}
        self._fetch_ends: list[float] = []
        self._correction = 1.0
        self._engine_share = 1.0

    @property
    def max_full_speed_fetches(self) -> int:
        """Concurrent fetches, over all engines, that run at full speed."""
        return self._max_full_speed_fetches

    def set_engine_share(self, share: float) -> None:
        """Set the fraction of all engines that this instance coordinates.

        Other instances fetch in proportion to theirs, and all share the store's
        throughput.
        """
        self._engine_share = share

    def has_copy(self, engine: str, adapter: Adapter) -> bool:
        """Return whether the engine certainly has a copy of an adapter."""
        return adapter in self._copies.get(engine, ())

    def fetch_allowed_at(self, max_fetches: int, now: float) -> float:
        """Return the local time at which fewer than `max_fetches` own fetches run."""
        ends = [end for end in self._fetch_ends if end > now]
        return now if len(ends) < max_fetches else sorted(ends)[-max_fetches]

    def expected_load_s(self, engine: str, adapter: Adapter, now: float) -> float:
        """Return the time in seconds until an adapter ordered now is usable."""
        if adapter in self._copies.get(engine, ()):
            return self._reload_s * self._correction
        fetches = sum(end > now for end in self._fetch_ends) + 1
        crowding = fetches / max(self._engine_share * self._max_full_speed_fetches, 1.0)
        return self._fetch_s * max(crowding, 1.0) * self._correction

    def record_load(self, engine: str, adapter: Adapter, now: float) -> float:
        """Record an ordered load, and return the local time of its expected end."""
        load_s = self.expected_load_s(engine, adapter, now)
        if not self.has_copy(engine, adapter):
            self._fetch_ends = [end for end in self._fetch_ends if end > now]
            self._fetch_ends.append(now + load_s)
        self.record_copy(engine, adapter)
        return now + load_s

    def record_copy(self, engine: str, adapter: Adapter) -> None:
        """Record that the engine holds an adapter and therefore has a copy."""
        copies = self._copies.setdefault(engine, collections.OrderedDict())
        copies[adapter] = None
        copies.move_to_end(adapter)
        while len(copies) > _MAX_COPIES:
            copies.popitem(last=False)

    def forget_copies(self, engine: str) -> None:
        """Forget the copies of an engine that has restarted."""
        self._copies.pop(engine, None)

    def record_late_load(self) -> None:
        """Record that an adapter was not usable at the expected time."""
        self._correction = min(self._correction * _LATE_FACTOR, _MAX_CORRECTION)

    def record_timely_load(self) -> None:
        """Record that an adapter was usable at the expected time."""
        self._correction = max(self._correction * _TIMELY_FACTOR, 1.0)
