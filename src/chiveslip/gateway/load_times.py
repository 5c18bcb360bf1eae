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
# Estimate of the store's full-speed fetches for a few engines; one for each engine if
# there are more.
_MIN_ESTIMATED_FETCHES = 8
# Share of the store's full-speed fetches that every instance may use.
_MIN_STORE_SHARE = 1 / 8


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
        Concurrent fetches, over all engines, that the store serves at full speed; 0 to
        estimate them from the number of engines.
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
        self._own_engines = 1
        self._all_engines = 1

    def update_engines(self, own_engines: int, all_engines: int) -> None:
        """Set how many engines this instance coordinates, and how many there are.

        Other instances fetch in proportion to theirs, and all share the store's
        throughput.
        """
        self._own_engines = own_engines
        self._all_engines = all_engines

    @property
    def own_full_speed_fetches(self) -> float:
        """Concurrent fetches of this instance that are expected to run at full speed.

        These are a share of those of the store. Among many instances few fetch much
        at a time, so each may use more than its share.
        """
        estimate = max(self._all_engines, _MIN_ESTIMATED_FETCHES)
        all_fetches = self._max_full_speed_fetches or estimate
        share = self._own_engines / max(self._all_engines, 1)
        return max(share * all_fetches, all_fetches * _MIN_STORE_SHARE, 1.0)

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
        crowding = fetches / self.own_full_speed_fetches
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
