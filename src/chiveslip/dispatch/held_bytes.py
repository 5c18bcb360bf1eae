"""Bounds the bytes that a process holds of messages that it is still receiving.

A limit for one message is none for the process: many messages that stay below it fill
its memory together. All of them are counted here. When they exceed the bound, the
largest one is given up, so that the many small ones are not affected.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import final

import attrs

# Share of a process's memory. Joining a message and writing it on takes a copy each,
# and half of the memory is left to the process itself.
_MEMORY_SHARE = 1 / 6


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
    is_given_up
        Whether it was given up in favour of others.
    """

    kind: str
    number: int
    size: int = 0
    is_given_up: bool = False
    _give_up: Callable[[], None]

    def give_up(self) -> None:
        """Mark it as given up and end its message."""
        self.is_given_up = True
        self._give_up()


def choose_given_up(holdings: Iterable[Holding]) -> Holding:
    """Return the message to give up: the largest, of equal ones the newest."""
    return max(holdings, key=lambda holding: (holding.size, holding.number))


@final
class HeldBytes:
    """Bytes that a process holds of all messages.

    Parameters
    ----------
    max_bytes
        Bound on the bytes of all messages together.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._holdings: set[Holding] = set()
        self._total = 0
        self._numbers = 0
        self._given_up: collections.Counter[str] = collections.Counter()

    @classmethod
    def for_memory(cls, memory_bytes: int) -> HeldBytes:
        """Return the bound for a process with an amount of memory."""
        return cls(int(memory_bytes * _MEMORY_SHARE))

    @property
    def total(self) -> int:
        """Bytes of all messages."""
        return self._total

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
        holding = Holding(kind=kind, number=self._numbers, give_up=give_up)
        self._holdings.add(holding)
        return holding

    def add(self, holding: Holding, size: int) -> None:
        """Count received bytes of a message.

        Raises
        ------
        HeldBytesError
            If this message is given up, now or by an earlier one.
        """
        if not holding.is_given_up:
            holding.size += size
            self._total += size
        while self._total > self._max_bytes:
            largest = choose_given_up(self._holdings)
            self._given_up[largest.kind] += 1
            self.end(largest)
            largest.give_up()
        if holding.is_given_up:
            raise HeldBytesError(
                f"given up after {holding.size} bytes, as all messages together "
                f"exceed {self._max_bytes} bytes"
            )

    def end(self, holding: Holding) -> None:
        """End the count of a message; a second call does nothing."""
        if holding not in self._holdings:
            return
        self._holdings.discard(holding)
        self._total -= holding.size
