"""Bounds the bytes that a process holds of callers' requests and endpoints' answers.

A limit for one message is none for the process: many messages that stay below it fill
its memory together. All of them are counted here. When they exceed the bound, the one
that holds much or makes no progress is given up, so that the many others are not
affected.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import final

import attrs

from chiveslip.clock import Clock
from chiveslip.clock import ManualClock

# Share of a process's memory. Joining a message and writing it on takes a copy each,
# and half of the memory is left to the process itself.
_MEMORY_SHARE = 1 / 6
# A message without progress for this long weighs as much as one of twice its size that
# has just grown.
_PROGRESS_S = 0.25


class HeldBytesError(Exception):
    """A message was given up, as the process holds too many bytes."""


@final
@attrs.define(kw_only=True, eq=False)
class Holding:
    """The bytes that are held of one message.

    Attributes
    ----------
    kind
        What the message is, for the metric.
    number
        Increases with each message.
    size
        Bytes that are held.
    progressed_at
        Time in seconds at which its other side last sent or took bytes.
    is_fixed
        Whether it may not be given up, as its request is being served.
    is_given_up
        Whether it was given up in favour of others.
    """

    kind: str
    number: int
    size: int = 0
    progressed_at: float = 0.0
    is_fixed: bool = False
    is_given_up: bool = False
    _give_up: Callable[[], None]

    def give_up(self) -> None:
        """Mark it as given up and end its message."""
        self.is_given_up = True
        self._give_up()


def choose_given_up(holdings: Iterable[Holding], now: float) -> Holding | None:
    """Return the message to give up, or None if all are fixed.

    It is the one with the most bytes times the time without progress. Of messages with
    equal times it is the largest, of equal ones the newest.
    """
    return max(
        (holding for holding in holdings if not holding.is_fixed),
        key=lambda holding: (
            holding.size * (_PROGRESS_S + max(now - holding.progressed_at, 0.0)),
            holding.number,
        ),
        default=None,
    )


@final
class HeldBytes:
    """Bytes that a process holds of all messages.

    Parameters
    ----------
    max_bytes
        Bound on the bytes of all messages together.
    clock
        Measures progress; without one, only sizes count.
    """

    def __init__(self, max_bytes: int, clock: Clock | None = None) -> None:
        self._max_bytes = max_bytes
        self._clock = clock or ManualClock()
        self._holdings: set[Holding] = set()
        self._total = 0
        self._fixed_total = 0
        self._numbers = 0
        self._given_up: collections.Counter[str] = collections.Counter()

    @classmethod
    def for_memory(
        cls, memory_bytes: int, largest_bytes: int = 0, clock: Clock | None = None
    ) -> HeldBytes:
        """Return the bound for a process with an amount of memory.

        Parameters
        ----------
        largest_bytes
            What one message may hold, for which there is always room.
        """
        return cls(max(int(memory_bytes * _MEMORY_SHARE), largest_bytes), clock)

    @property
    def total(self) -> int:
        """Bytes of all messages."""
        return self._total

    def has_room(self, size: int, own: Holding | None = None) -> bool:
        """Return whether a message fits beside those that may not be given up.

        Parameters
        ----------
        own
            What is held of the message already, which does not count.
        """
        own_size = own.size if own is not None and own.is_fixed else 0
        return self._fixed_total - own_size + size <= self._max_bytes

    def take_given_up(self) -> dict[str, int]:
        """Return how many messages were given up since the last call, by kind."""
        given_up = dict(self._given_up)
        self._given_up.clear()
        return given_up

    def sizes_by_kind(self) -> dict[str, int]:
        """Return the bytes that are held, by kind."""
        sizes: collections.Counter[str] = collections.Counter()
        for holding in self._holdings:
            sizes[holding.kind] += holding.size
        return dict(sizes)

    def begin(self, kind: str, give_up: Callable[[], None]) -> Holding:
        """Return the holding of a new message.

        Parameters
        ----------
        give_up
            Called if the message is given up; it must end the message.
        """
        self._numbers += 1
        holding = Holding(
            kind=kind,
            number=self._numbers,
            progressed_at=self._clock.now(),
            give_up=give_up,
        )
        self._holdings.add(holding)
        return holding

    def add(self, holding: Holding, size: int) -> None:
        """Count received bytes of a message.

        Raises
        ------
        HeldBytesError
            If this message is given up, now or by an earlier one.
        """
        holding.progressed_at = self._clock.now()
        self.resize(holding, holding.size + size)
        if holding.is_given_up:
            raise HeldBytesError(
                f"given up after {holding.size} bytes, as all messages together "
                f"exceed {self._max_bytes} bytes"
            )

    def set_fixed(self, holding: Holding, *, is_fixed: bool) -> None:
        """Set whether a message may not be given up."""
        if holding not in self._holdings or holding.is_fixed == is_fixed:
            return
        holding.is_fixed = is_fixed
        self._fixed_total += holding.size if is_fixed else -holding.size

    def resize(self, holding: Holding, size: int) -> None:
        """Set the bytes that are held of a message; it may be given up thereby."""
        if holding not in self._holdings:
            return
        has_grown = size > holding.size
        self._total += size - holding.size
        if holding.is_fixed:
            self._fixed_total += size - holding.size
        holding.size = size
        while has_grown and self._total > self._max_bytes:
            chosen = choose_given_up(self._holdings, self._clock.now())
            if chosen is None or not chosen.size:
                break
            self._given_up[chosen.kind] += 1
            self.end(chosen)
            chosen.give_up()

    def end(self, holding: Holding) -> None:
        """End the count of a message; a second call does nothing."""
        if holding not in self._holdings:
            return
        self._holdings.discard(holding)
        self._total -= holding.size
        if holding.is_fixed:
            self._fixed_total -= holding.size
