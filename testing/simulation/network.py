"""Simulated network: partitions, silent connections, paused and dead processes."""

from __future__ import annotations

import asyncio

LATENCY_S = 0.0015


class SimulatedNetwork:
    """The connections between instances, endpoints and the platform."""

    def __init__(self) -> None:
        self._partitioned: set[frozenset[str]] = set()
        self._silent: set[frozenset[str]] = set()
        self._paused: dict[str, asyncio.Event] = {}
        self._dead: set[str] = set()

    def partition(self, first: str, second: str) -> None:
        """Drop all messages between two processes without an error."""
        self._partitioned.add(frozenset((first, second)))

    def heal_partitions(self) -> None:
        """Remove all partitions."""
        self._partitioned.clear()

    def silence_open_connections(self, first: str, second: str) -> None:
        """Make open connections between two processes silent for good.

        A connection is affected when it has data to deliver before `end_silence`.
        """
        self._silent.add(frozenset((first, second)))

    def end_silence(self) -> None:
        """Let connections opened from now on deliver data again."""
        self._silent.clear()

    def is_silent(self, first: str, second: str) -> bool:
        """Return whether open connections between two processes go silent."""
        return frozenset((first, second)) in self._silent

    def mark_dead(self, name: str) -> None:
        """Mark a process as dead, and end its pause."""
        self._dead.add(name)
        self.resume(name)

    def mark_running(self, name: str) -> None:
        """Mark a process as running again."""
        self._dead.discard(name)

    def is_dead(self, name: str) -> bool:
        """Return whether a process is dead."""
        return name in self._dead

    def pause(self, name: str) -> None:
        """Pause a process at its next network operation."""
        self._paused.setdefault(name, asyncio.Event())

    def resume(self, name: str) -> None:
        """Let a paused process continue."""
        event = self._paused.pop(name, None)
        if event is not None:
            event.set()

    async def wait_while_paused(self, name: str) -> None:
        """Wait until a process is not paused."""
        event = self._paused.get(name)
        if event is not None:
            await event.wait()

    def can_reach(self, first: str, second: str) -> bool:
        """Return whether a message can pass between two processes."""
        if first in self._dead or second in self._dead:
            return False
        return frozenset((first, second)) not in self._partitioned

    async def deliver(self, sender: str, receiver: str) -> None:
        """Wait for the delivery of a message; never return if it is lost."""
        await self.wait_while_paused(sender)
        await asyncio.sleep(LATENCY_S)
        if not self.can_reach(sender, receiver):
            await asyncio.Future()
        await self.wait_while_paused(receiver)
