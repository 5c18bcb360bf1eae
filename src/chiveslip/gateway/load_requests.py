"""Requests adapter loads from the coordinators of engines.

Concurrent requests for the same engine and adapter share one load request.
"""

from __future__ import annotations

import asyncio
import math
from typing import final

import attrs

from chiveslip.clock import Clock
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.gateway.adapter_waits import SlotNeed
from chiveslip.gateway.engine_coordinator import EngineCoordinator
from chiveslip.gateway.engine_coordinator import LoadOutcome
from chiveslip.gateway.engine_coordinator import LoadResult
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.tasks import TaskSet

# After several load requests in a row without an answer, a coordinator is not asked for
# this time.
_COORDINATOR_PAUSE_S = 1.0
_MAX_UNANSWERED = 2
# Bound of a time that a coordinator tells. After it, the coordinator is asked again.
_MAX_TOLD_WAIT_S = 8.0
# While a load waits for a slot, gossip may tell that its adapter is there.
_VIEW_POLL_S = 0.05
_NO_NEED = SlotNeed()


@final
class LoadRequests:
    """Load requests of this instance, at most one at a time per engine and adapter."""

    def __init__(
        self,
        *,
        instance: str,
        coordinator: EngineCoordinator,
        peers: GatewayPeers,
        view: EngineView,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._coordinator = coordinator
        self._peers = peers
        self._view = view
        self._clock = clock
        self._tasks = TaskSet("loads")
        self._unanswered: dict[str, int] = {}
        self._paused_until: dict[str, float] = {}
        self._pending: dict[tuple[str, Adapter], asyncio.Task[LoadResult]] = {}

    async def request_adapter(
        self,
        engine: str,
        adapter: Adapter,
        max_wait_s: float,
        need: SlotNeed = _NO_NEED,
    ) -> LoadResult:
        """Request an adapter load, or wait for the pending request of the same load.

        A pending request keeps its own maximum wait in seconds. A load that waits for
        a slot is not waited for once the adapter is known to be there.
        """
        key = (engine, adapter)
        task = self._pending.get(key)
        if task is None:
            task = self._tasks.start(
                self._request_from_coordinator(engine, adapter, max_wait_s, need)
            )
            self._pending[key] = task
            task.add_done_callback(lambda _: self._pending.pop(key, None))
        if need.max_wait_s > 0:
            await self._await_slot(engine, adapter, task)
        if not task.done() and self._view.ready_at(engine, adapter) is not None:
            load = LoadResult(outcome=LoadOutcome.USABLE)
        else:
            load = await asyncio.shield(task)
        if load.outcome is not LoadOutcome.USABLE:
            return load
        ready_at = self._view.ready_at(engine, adapter)
        ready_in_s = 0.0 if ready_at is None else ready_at - self._clock.now()
        return LoadResult(outcome=LoadOutcome.USABLE, ready_in_s=max(ready_in_s, 0.0))

    async def _await_slot(
        self, engine: str, adapter: Adapter, task: asyncio.Task[LoadResult]
    ) -> None:
        """Wait for a load, or until the adapter is known to be there."""
        while not task.done() and self._view.ready_at(engine, adapter) is None:
            await asyncio.wait({task}, timeout=_VIEW_POLL_S)

    async def _request_from_coordinator(
        self, engine: str, adapter: Adapter, max_wait_s: float, need: SlotNeed
    ) -> LoadResult:
        coordinator = self._coordinator.rights.coordinator_of(engine)
        if coordinator == self._instance:
            load = await self._coordinator.load_adapter(
                engine, adapter, max_wait_s, self._instance, need
            )
        elif self._clock.now() < self._paused_until.get(coordinator, float("-inf")):
            return LoadResult(outcome=LoadOutcome.NOT_ASKED)
        else:
            try:
                load = await self._peers.load(
                    coordinator, engine, adapter, max_wait_s, need
                )
            except PeerError:
                self._record_no_answer(coordinator)
                return LoadResult(outcome=LoadOutcome.NO_ANSWER)
            self._unanswered.pop(coordinator, None)
            load = attrs.evolve(load, ready_in_s=_bound_wait_s(load.ready_in_s))
        if load.outcome is LoadOutcome.HELD_OFF:
            self._view.hold_loads(engine, self._clock.now() + load.ready_in_s)
        if load.outcome is LoadOutcome.USABLE:
            ready_at = self._clock.now() + load.ready_in_s
            self._view.expect_adapter(engine, adapter, ready_at)
            self._view.record_load(engine)
        if load.outcome is LoadOutcome.NO_ROOM:
            self._view.record_no_room(engine, self._clock.now())
        return load

    def _record_no_answer(self, coordinator: str) -> None:
        unanswered = self._unanswered.get(coordinator, 0) + 1
        self._unanswered[coordinator] = unanswered
        if unanswered >= _MAX_UNANSWERED:
            self._paused_until[coordinator] = self._clock.now() + _COORDINATOR_PAUSE_S


def _bound_wait_s(told_s: float) -> float:
    """Return a time that a peer told, within what a coordinator can mean.

    A malformed answer must not keep an engine from this instance for good.
    """
    if math.isnan(told_s):
        return 0.0
    return min(max(told_s, 0.0), _MAX_TOLD_WAIT_S)
