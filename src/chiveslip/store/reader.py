"""Reads the store into the mirror, for ever."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import final

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.store.client import HistoryLostError
from chiveslip.store.client import KeyValueStore
from chiveslip.store.client import StoreError
from chiveslip.store.mirror import StoreMirror


@final
class StoreReader:
    """Keeps the mirror up to date.

    Parameters
    ----------
    watch_s
        Returns the longest time in seconds that one watch waits.
    pause_s
        Pause in seconds after a failed read.
    gather_s
        Returns the pause in seconds after a change, so that the next read brings
        several.
    """

    def __init__(
        self,
        store: KeyValueStore,
        mirror: StoreMirror,
        clock: Clock,
        generator: random.Random,
        *,
        watch_s: Callable[[], float],
        pause_s: float,
        gather_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._clock = clock
        self._random = generator
        self._watch_s = watch_s
        self._pause_s = pause_s
        self._gather_s = gather_s
        self._needs_all = True
        self._lost_at: float | None = clock.now()
        self._regained_at = float("-inf")
        self._log = logs.get_logger("store")

    @property
    def regained_at(self) -> float:
        """Local time at which the store answered again after it had not."""
        return self._regained_at

    @property
    def lost_for_s(self) -> float:
        """Time in seconds since the store stopped answering, or 0."""
        return 0.0 if self._lost_at is None else self._clock.now() - self._lost_at

    async def run(self) -> None:
        """Read and watch until cancelled."""
        while True:
            try:
                await self._step()
                self._answered()
            except HistoryLostError:
                self._needs_all = True
            except StoreError as error:
                self._failed(error)
                await asyncio.sleep(self._pause_s * (0.75 + self._random.random() / 2))

    async def _step(self) -> None:
        if self._needs_all:
            self._mirror.replace(await self._store.read_all())
            self._needs_all = False
            return
        changes = await self._store.watch(self._mirror.revision, self._watch_s())
        self._mirror.apply(changes)
        if changes.items:
            # Endpoints change often; each change by itself would cost a read.
            await asyncio.sleep(self._gather_s())

    def _answered(self) -> None:
        if self._lost_at is None:
            return
        lost_s = round(self._clock.now() - self._lost_at, 3)
        self._lost_at = None
        self._regained_at = self._clock.now()
        self._log.info("Store regained.", lost_s=lost_s, revision=self._mirror.revision)

    def _failed(self, error: StoreError) -> None:
        if self._lost_at is not None:
            return
        self._lost_at = self._clock.now()
        self._log.warning(
            "Store lost.", cause=str(error), revision=self._mirror.revision
        )
