"""Weighted fair queue of calls for one engine.

Each organisation has a counter of the tokens of its served calls, divided by its
weight. Among calls of the same priority, the organisation with the lowest counter is
served first. The counter of an organisation that was idle is raised to the lowest
counter of the busy organisations, so an idle period does not accumulate credit. A
call that has waited for ``STARVATION_S`` is treated as urgent, which prevents
starvation of low priorities.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
from typing import final

import attrs

from chiveslip.engines.adapter import AdapterVersion

STARVATION_S = 5.0
URGENT_PRIORITY = 0


@attrs.frozen(kw_only=True, eq=False)
class Waiter:
    """A call that is queued for an engine.

    Attributes
    ----------
    tokens
        Tokens reserved for the call.
    deadline
        Local time in seconds after which the call must not start.
    """

    request: str
    organisation: str
    instance: str
    adapter: AdapterVersion
    priority: int
    weight: float
    tokens: float
    arrived_at: float
    deadline: float


@attrs.define
class _OrganisationQueue:
    weighted_tokens: float
    waiters: collections.deque[Waiter]


@final
class FairQueue:
    """Queued calls, grouped by organisation."""

    def __init__(self) -> None:
        self._queues: dict[str, _OrganisationQueue] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[Waiter]:
        for queue in self._queues.values():
            yield from queue.waiters

    def add(self, waiter: Waiter) -> None:
        """Append a call to the queue of its organisation."""
        queue = self._queues.get(waiter.organisation)
        if queue is None:
            queue = _OrganisationQueue(self._lowest_counter(), collections.deque())
            self._queues[waiter.organisation] = queue
        elif not queue.waiters:
            queue.weighted_tokens = max(queue.weighted_tokens, self._lowest_counter())
        queue.waiters.append(waiter)
        self._length += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a call without serving it."""
        queue = self._queues[waiter.organisation]
        queue.waiters.remove(waiter)
        self._length -= 1

    def serve(self, waiter: Waiter) -> None:
        """Remove a call and add its tokens to its organisation's counter."""
        self.remove(waiter)
        self._queues[waiter.organisation].weighted_tokens += (
            waiter.tokens / waiter.weight
        )

    def list_candidates(self, now: float) -> list[Waiter]:
        """Return the first call of each organisation, priority and adapter.

        The calls are in the order in which they are to be served.
        """
        seen: dict[tuple[str, int, AdapterVersion], tuple[int, float, float]] = {}
        candidates: list[tuple[tuple[int, float, float], Waiter]] = []
        for queue in self._queues.values():
            for waiter in queue.waiters:
                priority = _effective_priority(waiter, now)
                group = (waiter.organisation, priority, waiter.adapter)
                if group in seen:
                    continue
                turn = (priority, queue.weighted_tokens, waiter.arrived_at)
                seen[group] = turn
                candidates.append((turn, waiter))
        candidates.sort(key=lambda pair: pair[0])
        return [waiter for _, waiter in candidates]

    def find_first(
        self, now: float, is_eligible: Callable[[Waiter], bool]
    ) -> Waiter | None:
        """Return the first candidate for which `is_eligible` is true, or None."""
        return next((w for w in self.list_candidates(now) if is_eligible(w)), None)

    def find_overdue(self, now: float) -> list[Waiter]:
        """Return the calls whose deadline has passed."""
        return [waiter for waiter in self if waiter.deadline <= now]

    def _lowest_counter(self) -> float:
        busy = [
            queue.weighted_tokens for queue in self._queues.values() if queue.waiters
        ]
        return min(busy, default=0.0)


def _effective_priority(waiter: Waiter, now: float) -> int:
    if now - waiter.arrived_at >= STARVATION_S:
        return URGENT_PRIORITY
    return waiter.priority
