"""Loads that wait for a slot at a coordinator, in virtual time with a fake engine."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import looptime

from chiveslip.clock import Clock
from chiveslip.fleet.gossip_updates import EngineUseUpdate
from chiveslip.gateway.adapter_waits import SlotNeed
from chiveslip.gateway.coordinator_rights import CoordinatorRights
from chiveslip.gateway.engine_coordinator import EngineCoordinator
from chiveslip.gateway.engine_coordinator import LoadOutcome
from chiveslip.gateway.engine_coordinator import LoadResult
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.metrics import GatewayMetrics
from testing.gateway.test_engine_coordinator import ENGINE
from testing.gateway.test_engine_coordinator import FIRST
from testing.gateway.test_engine_coordinator import INSTANCES
from testing.gateway.test_engine_coordinator import LEASE_S
from testing.gateway.test_engine_coordinator import LIMITS
from testing.gateway.test_engine_coordinator import FakeEngine

NAMES = ("m/a", "m/b", "m/c")


class _LoopClock(Clock):
    def now(self) -> float:
        return asyncio.get_running_loop().time()


class WaitHarness:
    """The coordinator of one engine whose three slots are in use by a peer."""

    def __init__(self) -> None:
        self.clock = _LoopClock()
        self.engine = FakeEngine()
        self.live_instances = list(INSTANCES)
        self.view = EngineView(lambda: False)
        rights = CoordinatorRights(
            instance=FIRST,
            lease_s=LEASE_S,
            propagation_s=lambda: 0.0,
            live_instances=lambda: self.live_instances,
            has_quorum=lambda: True,
            clock=self.clock,
        )
        self.coordinator = EngineCoordinator(
            rights=rights,
            control=self.engine,
            view=self.view,
            load_times=LoadTimes(fetch_s=0.02, reload_s=0.01, max_full_speed_fetches=8),
            has_paths=lambda _service: True,
            clock=self.clock,
            metrics=GatewayMetrics(),
        )
        self._number = 0
        self._rounds: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._rounds = asyncio.get_running_loop().create_task(self._run_rounds())
        await asyncio.sleep(2.0)
        for name in NAMES:
            assert (await self.load(name)).outcome is LoadOutcome.USABLE
        self.tell(*NAMES)
        await asyncio.sleep(2.0)

    async def stop(self) -> None:
        assert self._rounds is not None
        self._rounds.cancel()
        await asyncio.gather(self._rounds, return_exceptions=True)
        await self.coordinator.close()

    async def _run_rounds(self) -> None:
        while True:
            self.coordinator.update_engines([(ENGINE, LIMITS)])
            await self.coordinator.read_reports()
            await asyncio.sleep(0.25)

    async def load(
        self,
        name: str,
        priority: int = 1,
        wait_s: float = 0.0,
        organisation: str = "one",
    ) -> LoadResult:
        need = SlotNeed(
            priority=priority,
            organisation=organisation,
            tokens=100.0,
            max_wait_s=wait_s,
        )
        return await self.coordinator.load_adapter(
            "engine", (name, 1), 5.0, "peer", need
        )

    def start_load(
        self, name: str, priority: int = 1, wait_s: float = 0.6
    ) -> asyncio.Task[LoadResult]:
        work = self.load(name, priority, wait_s)
        return asyncio.get_running_loop().create_task(work)

    def tell(self, *names: str) -> None:
        """Tell the coordinator which adapters the peer uses."""
        self._number += 1
        uses = [
            EngineUseUpdate(
                engine="engine",
                requests=len(names),
                pending_prefill_tokens=0.0,
                adapters=frozenset((name, 1) for name in names),
            )
        ]
        now = self.clock.now()
        self.view.apply_use_notice("peer", uses, now, (1, self._number))


def run(check: Callable[[WaitHarness], Awaitable[None]]) -> None:
    """Run a check in virtual time."""

    async def body() -> None:
        harness = WaitHarness()
        await harness.start()
        await check(harness)
        await harness.stop()

    loop = looptime.new_event_loop(noop_cycles=0)
    try:
        loop.run_until_complete(body())
    finally:
        loop.close()


def test_freed_slot_goes_to_the_most_urgent_waiting_load() -> None:
    """Loads in the order of arrival let the least urgent requests take the slots."""

    async def check(harness: WaitHarness) -> None:
        low = harness.start_load("m/low", priority=2)
        await asyncio.sleep(0.05)
        urgent = harness.start_load("m/urgent", priority=0)
        harness.tell("m/a", "m/b")
        assert (await urgent).outcome is LoadOutcome.USABLE
        harness.tell("m/a", "m/b", "m/urgent")
        assert (await low).outcome is LoadOutcome.NO_ROOM
        assert ("m/urgent", 1) in harness.engine.adapters

    run(check)


def test_waiting_load_gets_the_slot_soon_after_the_told_end() -> None:
    async def check(harness: WaitHarness) -> None:
        waiting = harness.start_load("m/d")
        await asyncio.sleep(0.1)
        harness.tell("m/a", "m/b")
        ended_at = harness.clock.now()
        assert (await waiting).outcome is LoadOutcome.USABLE
        assert 0.3 <= harness.clock.now() - ended_at <= 0.36

    run(check)


def test_load_waits_no_longer_than_its_request_can_use() -> None:
    """A request that waits beyond its objective is refused later than need be."""

    async def check(harness: WaitHarness) -> None:
        for wait_s, longest_s in ((0.0, 0.001), (0.2, 0.25), (30.0, 0.65)):
            started_at = harness.clock.now()
            load = await harness.load("m/d", wait_s=wait_s)
            assert load.outcome is LoadOutcome.NO_ROOM
            assert load.ready_in_s > 0
            assert harness.clock.now() - started_at <= longest_s

    run(check)


def test_newcomer_does_not_take_the_slot_that_a_more_urgent_load_waits_for() -> None:
    async def check(harness: WaitHarness) -> None:
        urgent = harness.start_load("m/urgent", priority=0)
        await asyncio.sleep(0.1)
        harness.tell("m/a", "m/b")
        await asyncio.sleep(0.301)
        newcomer = await harness.load("m/new", priority=1)
        assert newcomer.outcome is LoadOutcome.NO_ROOM
        assert (await urgent).outcome is LoadOutcome.USABLE

    run(check)


def test_loads_of_the_same_adapter_share_a_slot() -> None:
    async def check(harness: WaitHarness) -> None:
        loads = [harness.start_load("m/d") for _ in range(3)]
        harness.tell("m/a", "m/b")
        for load in await asyncio.gather(*loads):
            assert load.outcome is LoadOutcome.USABLE
        assert harness.engine.adapters == {("m/a", 1), ("m/b", 1), ("m/d", 1)}

    run(check)


def test_present_adapters_are_answered_while_loads_wait() -> None:
    """Waiting loads must not hold the lock of their engine."""

    async def check(harness: WaitHarness) -> None:
        waiting = harness.start_load("m/d")
        await asyncio.sleep(0.1)
        started_at = harness.clock.now()
        assert (await harness.load("m/a")).outcome is LoadOutcome.USABLE
        assert harness.clock.now() == started_at
        await waiting

    run(check)


def test_lost_end_of_a_use_keeps_the_slot_and_the_next_notice_frees_it() -> None:
    async def check(harness: WaitHarness) -> None:
        assert (await harness.load("m/d", wait_s=0.6)).outcome is LoadOutcome.NO_ROOM
        harness.tell("m/a")
        waiting = harness.start_load("m/d")
        assert (await waiting).outcome is LoadOutcome.USABLE

    run(check)


def test_waiting_load_is_answered_when_the_coordinator_changes() -> None:
    """Askers that wait for an instance without the right lose their objective."""

    async def check(harness: WaitHarness) -> None:
        waiting = harness.start_load("m/d")
        await asyncio.sleep(0.1)
        harness.live_instances.remove(FIRST)
        lost_at = harness.clock.now()
        assert (await waiting).outcome is LoadOutcome.NOT_COORDINATOR
        assert harness.clock.now() - lost_at <= 0.05

    run(check)


def test_waiting_load_is_answered_when_the_engine_restarts() -> None:
    """A restarted engine has no base model for seconds."""

    async def check(harness: WaitHarness) -> None:
        waiting = harness.start_load("m/d")
        await asyncio.sleep(0.01)
        harness.engine.started = 2
        harness.engine.adapters.clear()
        harness.engine.accepted_orders = 0
        # The coordinator reads a report each second; this one is read at once.
        (known,) = harness.coordinator._engines.values()
        await harness.coordinator._read_report(known)
        assert (await waiting).outcome is LoadOutcome.FAILED

    run(check)


def test_never_more_adapters_than_slots_while_many_loads_wait() -> None:
    """An engine that is ordered to hold more adapters than it has slots crashes.

    The fake engine asserts it with each order.
    """

    async def check(harness: WaitHarness) -> None:
        loads = [
            harness.start_load(f"m/x{number}", priority=number % 3)
            for number in range(40)
        ]
        await asyncio.sleep(0.05)
        harness.tell()
        results = await asyncio.gather(*loads)
        usable = [r for r in results if r.outcome is LoadOutcome.USABLE]
        assert 1 <= len(usable) <= LIMITS.adapter_slots
        assert len(harness.engine.adapters) == LIMITS.adapter_slots

    run(check)
