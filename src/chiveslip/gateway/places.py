"""Adapter places of one engine, as its orderer counts them.

An engine that is ordered to hold more than it has places for crashes, and its
reports lag. So each order counts from before it is sent, and a place counts as free
only when the engine confirmed it or a later report shows it.
"""

from __future__ import annotations

from typing import final

import attrs

from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_view import Adapter

# A report shows the state of up to half a second ago; an order is in every report
# that was read this long after it.
REPORT_LAG_S = 1.0
# Fetches to one engine that may be under way at once.
MOST_COMING = 4
# An adapter used this recently is not unloaded: a request may be on its way.
_RECENT_USE_S = 0.6


@attrs.define
class _Place:
    ordered_at: float
    ready_at: float
    used_at: float
    leaving: bool = False


@final
class AdapterPlaces:
    """The places of one engine in one of its starts."""

    def __init__(self) -> None:
        self._places: dict[Adapter, _Place] = {}
        self._unloaded: dict[Adapter, float] = {}

    def __len__(self) -> int:
        return len(self._places)

    @property
    def adapters(self) -> frozenset[Adapter]:
        """Adapters that take a place and stay."""
        return frozenset(a for a, place in self._places.items() if not place.leaving)

    def is_leaving(self, adapter: Adapter) -> bool:
        """Return whether an adapter goes when its last request ends."""
        place = self._places.get(adapter)
        return place is not None and place.leaving

    def ready_at(self, adapter: Adapter) -> float | None:
        """Return when an adapter is or was usable, or None."""
        place = self._places.get(adapter)
        return None if place is None or place.leaving else place.ready_at

    def coming(self, now: float) -> list[float]:
        """Return when each adapter on its way is expected, the first one first."""
        return sorted(p.ready_at for p in self._places.values() if p.ready_at > now)

    def reported(self, report: EngineReport, read_at: float) -> None:
        """Take over a report that was asked for at `read_at`."""
        listed = report.adapters | report.coming
        for adapter in listed:
            unloaded_at = self._unloaded.get(adapter)
            if unloaded_at is not None and read_at < unloaded_at + REPORT_LAG_S:
                continue
            if adapter not in self._places:
                self._places[adapter] = _Place(read_at, read_at, read_at)
        for adapter, place in list(self._places.items()):
            if adapter not in listed and read_at > place.ordered_at + REPORT_LAG_S:
                del self._places[adapter]
        for adapter, at in list(self._unloaded.items()):
            if read_at > at + REPORT_LAG_S:
                del self._unloaded[adapter]

    def ordered(self, adapter: Adapter, now: float, ready_at: float) -> None:
        """Count an order to load."""
        self._unloaded.pop(adapter, None)
        self._places[adapter] = _Place(now, ready_at, max(now, ready_at))

    def unloaded(self, adapter: Adapter, now: float) -> None:
        """Free the place of an adapter that the engine dropped."""
        self._places.pop(adapter, None)
        self._unloaded[adapter] = now

    def leaves(self, adapter: Adapter, now: float) -> None:
        """Note that the engine drops an adapter once its requests have ended.

        Until then it takes its place, and the engine refuses it to new requests.
        """
        place = self._places[adapter]
        place.leaving = True
        place.ordered_at = now

    def refused(self, adapter: Adapter) -> None:
        """Take back the count of an order that was refused."""
        self._places.pop(adapter, None)

    def used(self, adapters: set[Adapter], now: float) -> None:
        """Note adapters that have requests now."""
        for adapter in adapters:
            place = self._places.get(adapter)
            if place is not None:
                place.used_at = max(place.used_at, now)

    def victim(self, in_use: set[Adapter], now: float) -> Adapter | None:
        """Return the adapter that was used least recently, or None."""
        idle = [
            (place.used_at, adapter)
            for adapter, place in self._places.items()
            if adapter not in in_use
            and not place.leaving
            and place.used_at + _RECENT_USE_S <= now
        ]
        return min(idle)[1] if idle else None
