"""Asks the orderer of an engine for an adapter, once for all who wait for it."""

from __future__ import annotations

import asyncio
from typing import final

from chiveslip.clock import Clock
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.ordering import Loaded
from chiveslip.gateway.ordering import LoadOutcome
from chiveslip.gateway.ordering import Orderer
from chiveslip.tasks import TaskSet


@final
class LoadRequests:
    """Requests for adapters from this instance."""

    def __init__(
        self,
        *,
        instance: str,
        orderer: Orderer,
        peers: GatewayPeers,
        view: EngineView,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._orderer = orderer
        self._peers = peers
        self._view = view
        self._clock = clock
        self._tasks = TaskSet("loads")
        self._pending: dict[tuple[str, Adapter], asyncio.Task[Loaded]] = {}

    async def ask(self, engine: str, adapter: Adapter, patience_s: float) -> Loaded:
        """Ask for an adapter, and return in how many seconds it is usable."""
        key = (engine, adapter)
        task = self._pending.get(key)
        if task is None:
            task = self._tasks.start(self._ask(engine, adapter, patience_s))
            self._pending[key] = task
            task.add_done_callback(lambda _: self._pending.pop(key, None))
        loaded = await asyncio.shield(task)
        if loaded.outcome is not LoadOutcome.USABLE:
            return loaded
        ready_at = self._view.ready_at(engine, adapter)
        after_s = 0.0 if ready_at is None else ready_at - self._clock.now()
        return Loaded(outcome=LoadOutcome.USABLE, after_s=max(after_s, 0.0))

    async def _ask(self, engine: str, adapter: Adapter, patience_s: float) -> Loaded:
        orderer = self._orderer.rights.orderer_of(engine)
        if orderer == self._instance:
            loaded = await self._orderer.load(engine, adapter, patience_s)
        else:
            try:
                loaded = await self._peers.load(orderer, engine, adapter, patience_s)
            except PeerError:
                return Loaded(outcome=LoadOutcome.FAILED)
        if loaded.outcome is LoadOutcome.USABLE:
            ready_at = self._clock.now() + loaded.after_s
            self._view.becomes_ready(engine, adapter, ready_at)
        return loaded
