"""Decides which of the loads that wait for an adapter slot of an engine comes next.

The most urgent one comes first; among equally urgent ones, that of the organisation
that had the fewest tokens served lately. Waiting makes a load more urgent, so that none
waits in vain while more urgent ones arrive. The module does no I/O and reads no
clock.
"""

from __future__ import annotations

import collections
import math
from typing import final

import attrs

# Longest wait for a slot. Peers wait 1.2 s for the answer to a load request, and the
# order may take part of that.
MAX_SLOT_WAIT_S = 0.6
# Loads that wait for one engine; the objective of later ones would pass before.
_MAX_WAITS = 32
# A load that has waited for this time counts as one rank more urgent.
_AGEING_S = 0.2
# Time constant with which served tokens are forgotten: a few times a stream's length.
_SERVED_AGEING_S = 5.0
# Time over which freed slots are counted, and the fewest that are assumed for it.
_TURNOVER_S = 2.0
_MIN_TURNOVER = 1.0


@attrs.frozen(kw_only=True)
class SlotNeed:
    """What a load request says of the request that needs the adapter.

    Attributes
    ----------
    priority
        Priority of the request; 0 is the most urgent.
    tokens
        Tokens that the request costs.
    max_wait_s
        Time in seconds for which the load can wait for a slot, so that the request
        still meets its objective.
    """

    priority: int = 5
    organisation: str = ""
    tokens: float = 0.0
    max_wait_s: float = 0.0


@attrs.define(kw_only=True, eq=False)
class SlotWait:
    """A load that waits for an adapter slot.

    Attributes
    ----------
    user
        Instance that asked for the load, or None if it is unknown.
    since, until
        Local times in seconds between which it waits.
    order_by
        Local time in seconds until which the load may be ordered.
    is_ordered
        Whether the load is being ordered, so that the wait for a slot is over.
    """

    adapter: tuple[str, int]
    need: SlotNeed
    user: str | None
    since: float
    until: float
    order_by: float
    is_ordered: bool = False


@attrs.frozen
class _Served:
    tokens: float
    at: float


@final
class AdapterWaits:
    """Loads that wait for a slot of one engine, and the turnover of its slots."""

    def __init__(self, max_waits: int = _MAX_WAITS) -> None:
        self._max_waits = max_waits
        self._waits: list[SlotWait] = []
        self._served: dict[str, _Served] = {}
        self._taken_at: collections.deque[float] = collections.deque(maxlen=256)
        self._given_up_at: collections.deque[float] = collections.deque(maxlen=256)

    def __len__(self) -> int:
        return len(self._waits)

    @property
    def waits(self) -> list[SlotWait]:
        """The waiting loads, in the order of their arrival."""
        return list(self._waits)

    def add(self, wait: SlotWait, now: float) -> SlotWait | None:
        """Add a load; return the last one in order if there are too many, or None."""
        self._waits.append(wait)
        if len(self._waits) <= self._max_waits:
            return None
        last = max(self._waits, key=lambda waiting: self._rank(waiting, now))
        self._waits.remove(last)
        return last

    def remove(self, wait: SlotWait) -> None:
        """Remove a load, if it is still waiting."""
        if wait in self._waits:
            self._waits.remove(wait)

    def first(self, now: float) -> SlotWait | None:
        """Return the load that gets the next slot, or None if none can use it."""
        waiting = [wait for wait in self._waits if now <= wait.until]
        return min(waiting, key=lambda w: self._rank(w, now), default=None)

    def record_load(self, need: SlotNeed, now: float) -> None:
        """Record that a load got a slot, whether or not it had to wait."""
        self._taken_at.append(now)
        tokens = self._served_tokens(need.organisation, now) + need.tokens
        self._served[need.organisation] = _Served(tokens, now)

    def record_given_up(self, now: float) -> None:
        """Record that a load got no slot in time; its request is likely to return."""
        self._given_up_at.append(now)

    def expected_wait_s(self, now: float) -> float:
        """Return the time in seconds until a further load is likely to get a slot.

        Loads that wait, and those that gave up lately, are likely to come before it.
        """
        taken = sum(now - at <= _TURNOVER_S for at in self._taken_at)
        given_up = sum(now - at <= _TURNOVER_S for at in self._given_up_at)
        per_s = max(taken, _MIN_TURNOVER) / _TURNOVER_S
        return (len(self._waits) + given_up + 1) / per_s

    def _rank(self, wait: SlotWait, now: float) -> tuple[int, float, float]:
        """Return the place of a load in the order; a lower one comes first."""
        ranks_gained = int((now - wait.since) / _AGEING_S)
        tokens = self._served_tokens(wait.need.organisation, now)
        return wait.need.priority - ranks_gained, tokens, wait.since

    def _served_tokens(self, organisation: str, now: float) -> float:
        served = self._served.get(organisation)
        if served is None:
            return 0.0
        return served.tokens * math.exp((served.at - now) / _SERVED_AGEING_S)
