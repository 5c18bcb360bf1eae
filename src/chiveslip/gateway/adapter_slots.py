"""Tracks the adapter slots of one engine on behalf of its coordinator.

An engine crashes when it is ordered to hold more adapters than it has slots, and its
reports lag. Therefore an order occupies a slot from before it is sent, and a slot is
free only once the engine has confirmed the unload or a later report shows it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import attrs

from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_view import Adapter

# A report shows the state of up to half a second ago; every report requested this
# long after an order includes the order.
REPORT_LAG_S = 1.0
# An adapter is kept for this time after its last use if its user tells uses at once:
# twice the time until a coordinator has heard that a use began.
PROMPT_IDLE_S = 0.3
# Adapters that one engine may be fetching at the same time.
MAX_CONCURRENT_FETCHES = 4


@attrs.define
class _Slot:
    ordered_at: float
    ready_at: float
    used_at: float
    user: str | None = None
    is_unloading: bool = False


@final
class AdapterSlots:
    """Adapter slots of one engine; create new ones after a restart of the engine."""

    def __init__(self) -> None:
        self._slots: dict[Adapter, _Slot] = {}
        self._unloaded_at: dict[Adapter, float] = {}

    def __len__(self) -> int:
        return len(self._slots)

    @property
    def adapters(self) -> frozenset[Adapter]:
        """Adapters that occupy a slot and are not being unloaded."""
        return frozenset(a for a, slot in self._slots.items() if not slot.is_unloading)

    def is_unloading(self, adapter: Adapter) -> bool:
        """Return whether the engine drops an adapter once its requests have ended."""
        slot = self._slots.get(adapter)
        return slot is not None and slot.is_unloading

    def ready_at(self, adapter: Adapter) -> float | None:
        """Return the local time from which an adapter is usable, or None."""
        slot = self._slots.get(adapter)
        return None if slot is None or slot.is_unloading else slot.ready_at

    def pending_ready_times(self, now: float) -> list[float]:
        """Return the expected arrival of each adapter in transit, earliest first."""
        return sorted(s.ready_at for s in self._slots.values() if s.ready_at > now)

    def apply_report(self, report: EngineReport, requested_at: float) -> None:
        """Update the slots from a report.

        Parameters
        ----------
        requested_at
            Local time in seconds at which the report was requested.
        """
        listed = report.adapters | report.loading_adapters
        for adapter in listed:
            unloaded_at = self._unloaded_at.get(adapter)
            if unloaded_at is not None and requested_at < unloaded_at + REPORT_LAG_S:
                continue
            if adapter not in self._slots:
                self._slots[adapter] = _Slot(requested_at, requested_at, requested_at)
        for adapter, slot in list(self._slots.items()):
            if adapter not in listed and requested_at > slot.ordered_at + REPORT_LAG_S:
                del self._slots[adapter]
        for adapter, unloaded_at in list(self._unloaded_at.items()):
            if requested_at > unloaded_at + REPORT_LAG_S:
                del self._unloaded_at[adapter]

    def record_load(
        self, adapter: Adapter, now: float, ready_at: float, user: str | None = None
    ) -> None:
        """Occupy a slot for an order to load.

        Parameters
        ----------
        user
            Instance that is going to use the adapter, or None if it is unknown.
        """
        self._unloaded_at.pop(adapter, None)
        self._slots[adapter] = _Slot(now, ready_at, max(now, ready_at), user)

    def record_unloaded(self, adapter: Adapter, now: float) -> None:
        """Free the slot of an adapter that the engine has dropped."""
        self._slots.pop(adapter, None)
        self._unloaded_at[adapter] = now

    def record_unloading(self, adapter: Adapter, now: float) -> None:
        """Record that the engine drops an adapter once its requests have ended.

        Until then the adapter occupies its slot, and the engine refuses new requests
        for it.
        """
        slot = self._slots[adapter]
        slot.is_unloading = True
        slot.ordered_at = now

    def cancel_load(self, adapter: Adapter) -> None:
        """Free the slot of a load that the engine refused."""
        self._slots.pop(adapter, None)

    def record_use(self, adapters: set[Adapter], now: float) -> None:
        """Record that `adapters` have requests in progress."""
        for adapter in adapters:
            slot = self._slots.get(adapter)
            if slot is not None and now > slot.used_at:
                slot.used_at, slot.user = now, None

    def record_last_use(
        self, adapter: Adapter, used_at: float, user: str | None
    ) -> None:
        """Record when an instance used an adapter last, unless that is outdated.

        Parameters
        ----------
        user
            The instance, or None if it is unknown.
        """
        slot = self._slots.get(adapter)
        if slot is not None and used_at >= slot.used_at:
            slot.used_at, slot.user = used_at, user

    def select_victim(
        self,
        in_use: set[Adapter],
        now: float,
        min_idle_s: float,
        is_told_at_once: Callable[[str, float], bool] = lambda user, since: False,
    ) -> Adapter | None:
        """Return the least recently used adapter that may be unloaded, or None.

        The parameters are those of `find_idle`.
        """
        idle = self.find_idle(in_use, now, min_idle_s, is_told_at_once)
        return idle[0] if idle else None

    def find_idle(
        self,
        in_use: set[Adapter],
        now: float,
        min_idle_s: float,
        is_told_at_once: Callable[[str, float], bool] = lambda user, since: False,
    ) -> list[Adapter]:
        """Return the adapters that may be unloaded, the least recently used first.

        Parameters
        ----------
        min_idle_s
            An adapter that was in use this recently is not unloaded: the next request
            for it may be in transit, or its use may not have been told yet.
        is_told_at_once
            Returns whether an instance has told its uses at once after a local time.
        """

        def evictable_at(slot: _Slot) -> float:
            is_prompt = slot.user is not None and is_told_at_once(
                slot.user, slot.used_at
            )
            idle_s = min(min_idle_s, PROMPT_IDLE_S) if is_prompt else min_idle_s
            return slot.used_at + idle_s

        idle = [
            (slot.used_at, adapter)
            for adapter, slot in self._slots.items()
            if adapter not in in_use
            and not slot.is_unloading
            and evictable_at(slot) <= now
        ]
        return [adapter for _, adapter in sorted(idle)]
