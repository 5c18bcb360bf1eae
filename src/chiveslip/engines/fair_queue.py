"""The queue at one engine: weighted fair among organisations, counted in tokens.

Each organisation has a counter of the tokens it was served, divided by its weight;
among calls of the same priority the organisation with the lowest counter goes
first. An organisation that was idle starts at the lowest counter of the busy ones,
so idling earns nothing. A call that has waited long counts as urgent, so a low
priority starves nobody.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
from typing import final

import attrs

from chiveslip.engines.adapter import AdapterVersion

STARVATION_S = 5.0
URGENT = 0


@attrs.frozen(kw_only=True, eq=False)
class Waiter:
    """A call that waits for an engine.

    Attributes
    ----------
    tokens
        Tokens reserved for the call.
    deadline
        Local time in seconds after which it need not start.
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
class _Line:
    served: float
    waiters: collections.deque[Waiter]


@final
class FairQueue:
    """Waiting calls by organisation."""

    def __init__(self) -> None:
        self._lines: dict[str, _Line] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[Waiter]:
        for line in self._lines.values():
            yield from line.waiters

    def add(self, waiter: Waiter) -> None:
        """Put a call at the end of its organisation's line."""
        line = self._lines.get(waiter.organisation)
        if line is None:
            line = _Line(self._floor(), collections.deque())
            self._lines[waiter.organisation] = line
        elif not line.waiters:
            line.served = max(line.served, self._floor())
        line.waiters.append(waiter)
        self._length += 1

    def remove(self, waiter: Waiter) -> None:
        """Take a call out without serving it."""
        line = self._lines[waiter.organisation]
        line.waiters.remove(waiter)
        self._length -= 1

    def serve(self, waiter: Waiter) -> None:
        """Take a call out and count its tokens as served."""
        self.remove(waiter)
        self._lines[waiter.organisation].served += waiter.tokens / waiter.weight

    def in_turn(self, now: float) -> list[Waiter]:
        """Return the first call of each organisation and priority, in turn."""
        firsts: dict[tuple[str, int, AdapterVersion], tuple[int, float, float]] = {}
        chosen: list[tuple[tuple[int, float, float], Waiter]] = []
        for line in self._lines.values():
            for waiter in line.waiters:
                priority = _effective_priority(waiter, now)
                name = (waiter.organisation, priority, waiter.adapter)
                if name in firsts:
                    continue
                turn = (priority, line.served, waiter.arrived_at)
                firsts[name] = turn
                chosen.append((turn, waiter))
        chosen.sort(key=lambda pair: pair[0])
        return [waiter for _, waiter in chosen]

    def first(self, now: float, fits: Callable[[Waiter], bool]) -> Waiter | None:
        """Return the next call in turn that `fits`."""
        return next((w for w in self.in_turn(now) if fits(w)), None)

    def overdue(self, now: float) -> list[Waiter]:
        """Return the calls whose deadline passed."""
        return [waiter for waiter in self if waiter.deadline <= now]

    def _floor(self) -> float:
        busy = [line.served for line in self._lines.values() if line.waiters]
        return min(busy, default=0.0)


def _effective_priority(waiter: Waiter, now: float) -> int:
    if now - waiter.arrived_at >= STARVATION_S:
        return URGENT
    return waiter.priority
