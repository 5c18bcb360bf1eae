"""Who can reach whom, who is paused, and who is dead."""

from __future__ import annotations

import asyncio

LATENCY_S = 0.0015


class Links:
    """The state of every connection between instances and endpoints."""

    def __init__(self) -> None:
        self._cut: set[frozenset[str]] = set()
        self._silent: set[frozenset[str]] = set()
        self._paused: dict[str, asyncio.Event] = {}
        self._dead: set[str] = set()

    def cut(self, one: str, other: str) -> None:
        """Part two ends; nothing passes, and nothing is said."""
        self._cut.add(frozenset((one, other)))

    def heal(self) -> None:
        """Join all parted ends."""
        self._cut.clear()

    def silence(self, one: str, other: str) -> None:
        """Make the connections that are open now silent for good."""
        self._silent.add(frozenset((one, other)))

    def end_silence(self) -> None:
        """Let new connections be as good as ever."""
        self._silent.clear()

    def is_silent(self, one: str, other: str) -> bool:
        """Return whether open connections between two ends go silent."""
        return frozenset((one, other)) in self._silent

    def kill(self, name: str) -> None:
        """Note that a process is dead."""
        self._dead.add(name)
        self.resume(name)

    def revive(self, name: str) -> None:
        """Note that a process runs again."""
        self._dead.discard(name)

    def is_dead(self, name: str) -> bool:
        """Return whether a process is dead."""
        return name in self._dead

    def pause(self, name: str) -> None:
        """Freeze a process at its next act."""
        self._paused.setdefault(name, asyncio.Event())

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""
        event = self._paused.pop(name, None)
        if event is not None:
            event.set()

    async def gate(self, name: str) -> None:
        """Wait while a process is frozen."""
        event = self._paused.get(name)
        if event is not None:
            await event.wait()

    def reaches(self, one: str, other: str) -> bool:
        """Return whether a message can pass."""
        if one in self._dead or other in self._dead:
            return False
        return frozenset((one, other)) not in self._cut

    async def cross(self, one: str, other: str) -> None:
        """Carry a message from one end to the other; a lost one never arrives."""
        await self.gate(one)
        await asyncio.sleep(LATENCY_S)
        if not self.reaches(one, other):
            await asyncio.Future()
        await self.gate(other)
