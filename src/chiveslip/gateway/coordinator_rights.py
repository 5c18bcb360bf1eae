"""Decides which instance may order at an engine, from when on and with which fence.

Each engine has one coordinator: the first live instance in the engine's rendezvous
order. A new coordinator holds off until the previous one has certainly stopped. This
covers instances that are killed, partitioned, frozen or replaced one after another.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from collections.abc import Iterable
from typing import final

from chiveslip import hashing
from chiveslip.clock import Clock

# Added to the lease: the time in which the members of a small fleet agree on which
# instances are live.
_MIN_AGREEMENT_S = 0.8
# During a longer pause of this process, another instance may have taken over.
_MAX_PAUSE_S = 1.0
# After this time, a started instance knows the live members of a small fleet.
_MIN_JOIN_S = 0.5
# The high bits of a fencing number are its term, the low bits identify the instance.
_INSTANCE_BITS = 20
# Terms follow the time of day in tenths of a second, so that they keep rising when
# all instances restart; a term that is too low only costs a refused order.
_TERM_S = 0.1
_TERMS_SKIPPED_WHEN_FENCED = 50


@final
class CoordinatorRights:
    """Whether and when this instance may send orders to engines.

    Parameters
    ----------
    lease_s
        Time in seconds that must pass between the orders of two instances.
    propagation_s
        Returns the time in seconds after which an update has reached all instances.
    live_instances
        Returns the names of the live instances, including this one.
    has_quorum
        Returns whether this instance receives heartbeats from most others; without
        a quorum it sends no orders.
    """

    def __init__(
        self,
        *,
        instance: str,
        lease_s: float,
        propagation_s: Callable[[], float],
        live_instances: Callable[[], list[str]],
        has_quorum: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._lease_s = lease_s
        self._propagation_s = propagation_s
        self._live_instances = live_instances
        self._has_quorum = has_quorum
        self._clock = clock
        self._started_at = clock.now()
        self._updated_at = clock.now()
        self._own_orders: dict[str, tuple[float, int]] = {}
        self._peer_ordered_at: dict[str, float] = {}
        self._ranked_instances: list[str] = []
        self._coordinators: dict[str, str] = {}
        self._last_live: set[str] = set()
        self._announced_stops: set[str] = set()
        self._lost_at = float("-inf")
        self._changed_at = float("-inf")
        self._fences: dict[str, int] = {}

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return self._instance

    @property
    def live_count(self) -> int:
        """Number of live instances, at least 1."""
        return max(len(self._live_instances()), 1)

    @property
    def hold_off_s(self) -> float:
        """Time in seconds after which orders of another instance are ruled out."""
        return self._lease_s + max(_MIN_AGREEMENT_S, self._propagation_s())

    def coordinator_of(self, engine: str) -> str:
        """Return the instance that coordinates an engine."""
        return self._coordinator_among(self._live_instances(), engine)

    def is_coordinator_of(self, engine: str) -> bool:
        """Return whether this instance coordinates an engine."""
        return bool(self.coordinated_engines([engine]))

    def coordinated_engines(self, engines: Iterable[str]) -> list[str]:
        """Return those of `engines` that this instance coordinates."""
        if not self._has_quorum():
            return []
        live = self._live_instances()
        return [
            engine
            for engine in engines
            if self._coordinator_among(live, engine) == self._instance
        ]

    def has_joined(self) -> bool:
        """Return whether this instance has run long enough to know the others."""
        joined_at = self._started_at + max(_MIN_JOIN_S, self._propagation_s())
        return self._clock.now() >= joined_at

    def update_live_instances(self) -> bool:
        """Record the live instances; must be called at short, regular intervals.

        Returns
        -------
        bool
            Whether this process has paused for so long since the last call that it
            may no longer coordinate any engine.
        """
        now = self._clock.now()
        has_paused = now - self._updated_at > _MAX_PAUSE_S
        if has_paused:
            self._lost_at = now
        self._updated_at = now
        live = set(self._live_instances())
        if live != self._last_live:
            self._changed_at = now
        if self._last_live - live - self._announced_stops:
            # The lost instance may still send orders that this one cannot see.
            self._lost_at = now
        self._announced_stops -= live
        self._last_live = live
        return has_paused

    def orders_allowed_from(self, engine: str) -> float:
        """Return the local time in seconds from which no other instance orders.

        Peers report their orders. The previous coordinator continues until all
        instances agree on which are live, and an instance lost since may have sent
        orders that it did not report.
        """
        ordered_at = self._peer_ordered_at.get(engine, float("-inf"))
        held_off_until = max(ordered_at, self._lost_at) + self.hold_off_s
        return max(
            self._clock.now(), self._changed_at + self._propagation_s(), held_off_until
        )

    def record_peer_order(self, engine: str, fence: int, age_s: float) -> float:
        """Record the last order of another instance, and return its time.

        Parameters
        ----------
        age_s
            Seconds since the order.

        Returns
        -------
        float
            Local time of the order in seconds.
        """
        self._fences[engine] = max(self._fences.get(engine, 0), fence)
        ordered_at = self._clock.now() - age_s
        known = self._peer_ordered_at.get(engine, float("-inf"))
        self._peer_ordered_at[engine] = max(known, ordered_at)
        return ordered_at

    def record_announced_stop(self, instance: str) -> None:
        """Record that an instance announced its stop, so it sends no more orders."""
        self._announced_stops.add(instance)

    def record_own_order(self, engine: str, fence: int) -> None:
        """Record an order of this instance; to be called before it is sent."""
        self._own_orders[engine] = (self._clock.now(), fence)

    def recent_own_orders(self) -> list[tuple[str, float, int]]:
        """Return engine, age in seconds and fence of own orders within the hold-off."""
        now = self._clock.now()
        return [
            (engine, now - ordered_at, fence)
            for engine, (ordered_at, fence) in self._own_orders.items()
            if now - ordered_at <= self.hold_off_s
        ]

    def allocate_fence(self, engine: str) -> int:
        """Return a fence above all known ones that no other instance can allocate."""
        known_term = self._fences.get(engine, 0) >> _INSTANCE_BITS
        term = max(known_term + 1, int(time.time() / _TERM_S))
        instance_part = hashing.score("fence", self._instance) % (1 << _INSTANCE_BITS)
        fence = (term << _INSTANCE_BITS) + instance_part
        self._fences[engine] = fence
        return fence

    def record_fenced_order(self, engine: str, fence: int) -> None:
        """Record that an engine has accepted a higher fence than `fence`."""
        self._fences[engine] = fence + (_TERMS_SKIPPED_WHEN_FENCED << _INSTANCE_BITS)

    def _coordinator_among(self, live: list[str], engine: str) -> str:
        if live != self._ranked_instances:
            self._ranked_instances = list(live)
            self._coordinators.clear()
        coordinator = self._coordinators.get(engine)
        if coordinator is None:
            coordinator = hashing.rank(engine, live)[0] if live else self._instance
            self._coordinators[engine] = coordinator
        return coordinator
