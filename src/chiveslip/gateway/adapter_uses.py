"""Ends of the uses of adapters, and which instances tell them at once.

An instance of a large fleet tells a coordinator its uses at once, or by gossip only: if
it runs an older version, or if its calls don't get through. An adapter may be evicted
soon after its last use only in the first case. The module does no I/O and reads no
clock.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import final

import attrs

# Ends that are older don't matter: no adapter is kept for so long after its last use.
_MAX_END_AGE_S = 10.0


@attrs.frozen(kw_only=True)
class UseEnd:
    """The last end of the use of an adapter at an engine.

    Attributes
    ----------
    at
        Local time in seconds at which this instance was told.
    instance
        Instance that used the adapter, or None for this one.
    """

    at: float
    instance: str | None


@final
class AdapterUses:
    """Ends of uses by engine and adapter, and which instances tell them at once."""

    def __init__(self) -> None:
        self._ends: dict[str, dict[tuple[str, int], UseEnd]] = {}
        self._numbers: dict[str, tuple[int, int]] = {}
        self._told_at_once: dict[str, float] = {}

    def accept_number(self, instance: str, number: tuple[int, int] | None) -> bool:
        """Return whether a list of uses is not older than the last one.

        Parameters
        ----------
        number
            Incarnation of the instance and number of its list; None if unknown.
        """
        if number is None:
            return True
        if number < self._numbers.get(instance, number):
            return False
        self._numbers[instance] = number
        return True

    def record_told_at_once(self, instance: str, now: float) -> None:
        """Record that an instance has told all its uses in a call of their own."""
        self._told_at_once[instance] = now

    def is_told_at_once(self, instance: str, since: float) -> bool:
        """Return whether an instance has told its uses at once after a local time."""
        return self._told_at_once.get(instance, float("-inf")) >= since

    def record_ends(
        self,
        engine: str,
        adapters: Collection[tuple[str, int]],
        instance: str | None,
        now: float,
    ) -> None:
        """Record that an instance uses some adapters of an engine no longer."""
        if not adapters:
            return
        ends = self._ends.setdefault(engine, {})
        for adapter, end in list(ends.items()):
            if now - end.at > _MAX_END_AGE_S:
                del ends[adapter]
        ends |= dict.fromkeys(adapters, UseEnd(at=now, instance=instance))

    def last_ends(self, engine: str) -> dict[tuple[str, int], UseEnd]:
        """Return the last end of the use of each adapter of an engine."""
        return self._ends.get(engine, {})

    def forget_engine(self, engine: str) -> None:
        """Forget the uses of an engine that is gone."""
        self._ends.pop(engine, None)

    def forget_instance(self, instance: str) -> None:
        """Forget what an instance that is lost has told."""
        self._numbers.pop(instance, None)
        self._told_at_once.pop(instance, None)
