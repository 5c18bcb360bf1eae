"""Reads the store and watches it, to keep its mirror up to date."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import final

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.store.client import NO_REVISION
from chiveslip.store.client import HistoryLostError
from chiveslip.store.client import KeyValueStore
from chiveslip.store.client import StoreError
from chiveslip.store.contact import StoreContact
from chiveslip.store.mirror import StoreMirror

# Maximum delay before the first full read after the history was lost.
_HISTORY_DELAY_S = 0.2
# The delay grows to 3.2 s while the history is lost again.
_MAX_HISTORY_DOUBLINGS = 4


@final
class StoreReader:
    """Reads the whole store into a mirror, then watches it for changes.

    Parameters
    ----------
    contact
        Where the answers and failures of the reads are recorded.
    max_watch_s
        Returns the maximum wait in seconds of one watch.
    retry_delay_s
        Mean delay in seconds before the next read after a failed one.
    batch_delay_s
        Returns the delay in seconds after a change before the next watch, which then
        returns several changes at once.
    """

    def __init__(
        self,
        store: KeyValueStore,
        mirror: StoreMirror,
        contact: StoreContact,
        clock: Clock,
        generator: random.Random,
        *,
        max_watch_s: Callable[[], float],
        retry_delay_s: float,
        batch_delay_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._contact = contact
        self._clock = clock
        self._random = generator
        self._max_watch_s = max_watch_s
        self._retry_delay_s = retry_delay_s
        self._batch_delay_s = batch_delay_s
        self._needs_snapshot = True
        self._lost_histories = 0
        self._read_began_at = clock.now()
        self._log = logs.get_logger("store")

    @property
    def read_began_at(self) -> float:
        """Local time in seconds at which the current or the next read begins."""
        return self._read_began_at

    async def run(self) -> None:
        """Read and watch until cancelled."""
        while True:
            era = self._mirror.revision.era
            try:
                await self._read_once()
            except HistoryLostError as error:
                # The new era may have become known from a peer during the watch.
                self._needs_snapshot = self._mirror.revision.era == era
                self._lost_histories += 1
                self._log.info("Store history lost.", cause=str(error))
                await asyncio.sleep(self._history_delay_s())
            except StoreError as error:
                self._record_failure(error)
                await asyncio.sleep(
                    self._retry_delay_s * (0.75 + self._random.random() / 2)
                )

    async def _read_once(self) -> None:
        self._read_began_at = self._clock.now()
        if self._needs_snapshot:
            snapshot = await self._store.read_all()
            self._record_success()
            self._mirror.apply_snapshot(snapshot)
            self._needs_snapshot = False
            return
        changes = await self._store.watch(self._mirror.revision, self._max_watch_s())
        self._record_success()
        self._mirror.apply_changes(changes)
        self._lost_histories = 0
        if changes.items:
            # Endpoints change often; without the delay each change costs a request.
            delay_s = self._batch_delay_s()
            self._read_began_at = self._clock.now() + delay_s
            await asyncio.sleep(delay_s)

    def _history_delay_s(self) -> float:
        """Return a delay that spreads the full reads of all instances."""
        doublings = min(self._lost_histories - 1, _MAX_HISTORY_DOUBLINGS)
        return self._random.random() * _HISTORY_DELAY_S * float(2**doublings)

    def _record_success(self) -> None:
        """Record an answer before its items are applied, which may depend on it."""
        lost_s = self._contact.outage_s
        was_lost = self._contact.is_lost
        self._contact.record_answer(knew_items=self._mirror.revision != NO_REVISION)
        if lost_s > 0:
            self._log.info(
                "Store reachable again." if was_lost else "Store reachable.",
                lost_s=round(lost_s, 3),
                revision=str(self._mirror.revision),
            )

    def _record_failure(self, error: StoreError) -> None:
        has_failed_before = self._contact.is_lost
        self._contact.record_failure()
        if has_failed_before:
            return
        self._log.warning(
            "Store lost.", cause=str(error), revision=str(self._mirror.revision)
        )
