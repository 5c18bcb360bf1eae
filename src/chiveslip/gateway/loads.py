"""How long an engine needs until an adapter is usable.

An engine keeps copies of adapters that it held; these come back ten times as fast
as others, which come from a store that slows down when many are fetched at once.
The estimate is corrected by what requests met afterwards.
"""

from __future__ import annotations

import collections
from typing import final

from chiveslip.gateway.engine_view import Adapter

# Adapters whose copies an engine surely still has; engines keep more.
_COPIES = 80
# An adapter that was not there in time makes the next estimates longer, by less than
# what a crowded store costs, which is estimated by itself.
_RAISE = 1.1
_LOWER = 0.97
_MOST_FACTOR = 1.6


@final
class LoadTimes:
    """Expected load times.

    Parameters
    ----------
    fetch_s
        Time in seconds from the store, at full speed.
    reload_s
        Time in seconds from an engine's own copy.
    most_fetches
        Fetches over all engines that go at full speed.
    """

    def __init__(self, *, fetch_s: float, reload_s: float, most_fetches: int) -> None:
        self._fetch_s = fetch_s
        self._reload_s = reload_s
        self._most_fetches = most_fetches
        self._copies: dict[str, collections.OrderedDict[Adapter, None]] = {}
        self._fetches: list[float] = []
        self._factor = 1.0
        self._share = 1.0

    @property
    def most_fetches(self) -> int:
        """Fetches over all engines that go at full speed."""
        return self._most_fetches

    def orders_share(self, share: float) -> None:
        """Note the part of all engines that this instance orders at.

        Others fetch as much in proportion; the store's speed is shared by all.
        """
        self._share = share

    def has_copy(self, engine: str, adapter: Adapter) -> bool:
        """Return whether the engine surely has a copy of an adapter."""
        return adapter in self._copies.get(engine, ())

    def free_at(self, most: int, now: float) -> float:
        """Return when fewer than `most` fetches ordered here are under way."""
        under_way = [end for end in self._fetches if end > now]
        return now if len(under_way) < most else sorted(under_way)[-most]

    def expected_s(self, engine: str, adapter: Adapter, now: float) -> float:
        """Return the time in seconds until an adapter ordered now is usable."""
        if adapter in self._copies.get(engine, ()):
            return self._reload_s * self._factor
        under_way = sum(end > now for end in self._fetches) + 1
        crowding = under_way / max(self._share * self._most_fetches, 1.0)
        return self._fetch_s * max(crowding, 1.0) * self._factor

    def ordered(self, engine: str, adapter: Adapter, now: float) -> float:
        """Note an order, and return when the adapter is usable."""
        needed = self.expected_s(engine, adapter, now)
        if not self.has_copy(engine, adapter):
            self._fetches = [end for end in self._fetches if end > now]
            self._fetches.append(now + needed)
        self.held(engine, adapter)
        return now + needed

    def held(self, engine: str, adapter: Adapter) -> None:
        """Note that the engine holds an adapter, so that it has a copy."""
        copies = self._copies.setdefault(engine, collections.OrderedDict())
        copies[adapter] = None
        copies.move_to_end(adapter)
        while len(copies) > _COPIES:
            copies.popitem(last=False)

    def restarted(self, engine: str) -> None:
        """Forget the copies of an engine that started anew."""
        self._copies.pop(engine, None)

    def came_late(self) -> None:
        """Note that an adapter was not there when it was expected."""
        self._factor = min(self._factor * _RAISE, _MOST_FACTOR)

    def came_in_time(self) -> None:
        """Note that an adapter was there when it was expected."""
        self._factor = max(self._factor * _LOWER, 1.0)
