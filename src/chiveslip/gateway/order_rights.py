"""Which instance orders at an engine, from when on, and with which fence.

Each engine has one orderer: the first live instance in its rendezvous order. An
instance that becomes orderer holds off until the one before has surely stopped.
Answers the load of instances that are killed, cut off, frozen or replaced in turn.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from collections.abc import Iterable
from typing import final

from chiveslip import hashing
from chiveslip.clock import Clock

# Added to the lease: the time that members of a small fleet need to agree on who is
# alive.
_AGREEMENT_S = 0.8
# An own pause longer than this may have cost the orderer's role.
_LONGEST_PAUSE_S = 1.0
# A started instance has heard of the live ones of a small fleet after this long.
_JOIN_S = 0.5
# A fencing number is a term above and a part of its own for each instance below.
_INSTANCE_BITS = 20
# Terms follow the time of day in tenths of a second, so that they rise over a
# restart of all instances; a lower one only costs a refusal.
_TERM_S = 0.1
_TERM_JUMP = 50


@final
class OrderRights:
    """The right of this instance to give orders.

    Parameters
    ----------
    lease_s
        Time in seconds that must pass between the orders of two instances.
    spread_s
        Returns the time in seconds in which all instances have the news of one.
    alive
        Names of the live instances, this one included.
    has_quorum
        Whether this instance hears most of the others; without, it gives no orders.
    """

    def __init__(
        self,
        *,
        instance: str,
        lease_s: float,
        spread_s: Callable[[], float],
        alive: Callable[[], list[str]],
        has_quorum: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._lease_s = lease_s
        self._spread_s = spread_s
        self._alive = alive
        self._has_quorum = has_quorum
        self._clock = clock
        self._started_at = clock.now()
        self._looked_at = clock.now()
        self._last_orders: dict[str, tuple[float, int]] = {}
        self._peers_ordered_at: dict[str, float] = {}
        self._ranked_among: list[str] = []
        self._first: dict[str, str] = {}
        self._was_alive: set[str] = set()
        self._announced: set[str] = set()
        self._lost_at = float("-inf")
        self._changed_at = float("-inf")
        self._fences: dict[str, int] = {}

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return self._instance

    @property
    def live(self) -> int:
        """Number of live instances, at least this one."""
        return max(len(self._alive()), 1)

    @property
    def hold_off_s(self) -> float:
        """Time in seconds after which another instance's orders cannot come."""
        return self._lease_s + max(_AGREEMENT_S, self._spread_s())

    def orderer_of(self, engine: str) -> str:
        """Return the instance that orders loads at an engine."""
        return self._orderer_among(self._alive(), engine)

    def is_own(self, engine: str) -> bool:
        """Return whether this instance is the one that orders at an engine."""
        return bool(self.own_of([engine]))

    def own_of(self, engines: Iterable[str]) -> list[str]:
        """Return those of many engines at which this instance orders."""
        if not self._has_quorum():
            return []
        alive = self._alive()
        return [e for e in engines if self._orderer_among(alive, e) == self._instance]

    def has_joined(self) -> bool:
        """Return whether this instance has run long enough to know the others."""
        joined_at = self._started_at + max(_JOIN_S, self._spread_s())
        return self._clock.now() >= joined_at

    def look(self) -> bool:
        """Note who is alive; return whether an own pause cost the role everywhere."""
        now = self._clock.now()
        paused = now - self._looked_at > _LONGEST_PAUSE_S
        if paused:
            self._lost_at = now
        self._looked_at = now
        present = set(self._alive())
        if present != self._was_alive:
            self._changed_at = now
        if self._was_alive - present - self._announced:
            # It may still give orders unnoticed.
            self._lost_at = now
        self._announced -= present
        self._was_alive = present
        return paused

    def usable_from(self, engine: str) -> float:
        """Return when no other instance's orders can come any more.

        Peers tell their orders, and until all have heard who is alive, the orderer
        before goes on; one that was lost since may have given more.
        """
        told_at = self._peers_ordered_at.get(engine, float("-inf"))
        held_off_until = max(told_at, self._lost_at) + self.hold_off_s
        return max(
            self._clock.now(), self._changed_at + self._spread_s(), held_off_until
        )

    def heard_order(self, engine: str, fence: int, age_s: float) -> float:
        """Note the last order of another instance, and return its local time."""
        self._fences[engine] = max(self._fences.get(engine, 0), fence)
        at = self._clock.now() - age_s
        known = self._peers_ordered_at.get(engine, float("-inf"))
        self._peers_ordered_at[engine] = max(known, at)
        return at

    def heard_stop(self, instance: str) -> None:
        """Note that an instance said itself that it stops, and so gives no orders."""
        self._announced.add(instance)

    def gives_order(self, engine: str, fence: int) -> None:
        """Note an own order, before it is sent."""
        self._last_orders[engine] = (self._clock.now(), fence)

    def last_orders(self) -> list[tuple[str, float, int]]:
        """Return the engines ordered at within a lease: age in seconds and fence."""
        now = self._clock.now()
        return [
            (engine, now - at, fence)
            for engine, (at, fence) in self._last_orders.items()
            if now - at <= self.hold_off_s
        ]

    def new_fence(self, engine: str) -> int:
        """Return a fence above all that were heard of, which no other can have."""
        known_term = self._fences.get(engine, 0) >> _INSTANCE_BITS
        term = max(known_term + 1, int(time.time() / _TERM_S))
        own = hashing.score("fence", self._instance) % (1 << _INSTANCE_BITS)
        fence = (term << _INSTANCE_BITS) + own
        self._fences[engine] = fence
        return fence

    def was_fenced(self, engine: str, fence: int) -> None:
        """Note that an engine has accepted a higher fence than `fence`."""
        self._fences[engine] = fence + (_TERM_JUMP << _INSTANCE_BITS)

    def _orderer_among(self, alive: list[str], engine: str) -> str:
        if alive != self._ranked_among:
            self._ranked_among = list(alive)
            self._first.clear()
        first = self._first.get(engine)
        if first is None:
            first = hashing.rank(engine, alive)[0] if alive else self._instance
            self._first[engine] = first
        return first
