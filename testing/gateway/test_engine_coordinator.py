"""Engine coordination: one instance at a time, and never more adapters than slots."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import pytest

from chiveslip import hashing
from chiveslip.clock import ManualClock
from chiveslip.fleet.gossip_updates import EngineUseUpdate
from chiveslip.gateway.coordinator_rights import CoordinatorRights
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_control import Operation
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.gateway.engine_coordinator import EngineCoordinator
from chiveslip.gateway.engine_coordinator import LoadOutcome
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.settings.fields import Address

LEASE_S = 3.0
ADAPTER_SLOTS = 3
LIMITS = EngineCapacity(
    slots=64,
    cache_tokens=100_000,
    adapter_slots=ADAPTER_SLOTS,
    models={"m": 100.0},
    memory_mb=150.0,
    model_loads_per_s=2.0,
)
ENGINE = ListedEndpoint(
    id="engine",
    service="llm",
    address=Address("10.0.0.1", 8000),
    data_centre="glasgow",
    slots=64,
    state=EndpointState.READY,
    started=1,
    models=("m",),
)
INSTANCES = ["one", "six", "two"]
FIRST, SECOND, _ = hashing.rank("engine", INSTANCES)


class FakeEngine(EngineControl):
    """An engine that checks the fence and the expected number of orders."""

    def __init__(self, models: frozenset[str] = frozenset({"m"})) -> None:
        self.models = models
        self.adapters: set[tuple[str, int]] = set()
        self.accepted_orders = 0
        self.started = 1
        self.fence = 0
        self.received: list[EngineOrder] = []
        self.answers: list[OrderAnswer | None] = []
        self.report_fails = False
        self.while_connecting: Callable[[], None] = lambda: None

    async def read_report(self, engine: ListedEndpoint) -> EngineReport:
        if self.report_fails:
            raise EngineControlError("no report")
        return EngineReport(
            started=self.started,
            accepted_orders=self.accepted_orders,
            models=self.models,
            adapters=frozenset(self.adapters),
            loading_adapters=frozenset(),
            running=0,
            waiting=0,
            cache_used=0,
        )

    async def send_order(
        self, engine: ListedEndpoint, order: EngineOrder, may_send: Callable[[], bool]
    ) -> OrderAnswer:
        self.while_connecting()
        if not may_send():
            return OrderAnswer.WITHHELD
        self.received.append(order)
        if self.answers:
            answer = self.answers.pop(0)
            if answer is None:
                raise EngineControlError("no answer")
            return answer
        if order.fence < self.fence:
            return OrderAnswer.FENCED
        self.fence = order.fence
        if order.after_orders != self.accepted_orders:
            return OrderAnswer.CONFLICT
        self.accepted_orders += 1
        if "/" not in order.target:
            self.models |= {order.target}
            return OrderAnswer.IN_PROGRESS
        adapter = (order.target, order.version or 1)
        if order.operation is Operation.UNLOAD:
            self.adapters.discard(adapter)
            return OrderAnswer.ALREADY_DONE
        self.adapters.add(adapter)
        assert len(self.adapters) <= ADAPTER_SLOTS, (
            "more adapters than slots: the engine crashes"
        )
        return OrderAnswer.IN_PROGRESS


@attrs.define
class CoordinatorHarness:
    """A coordinator and its engine, in a fleet that the test controls."""

    coordinator: EngineCoordinator
    engine: FakeEngine
    clock: ManualClock
    live_instances: list[str]
    has_quorum: list[bool]
    propagation_s: list[float]
    view: EngineView
    cut_services: set[str]
    evacuated: set[str]

    def update(self) -> None:
        self.coordinator.update_engines([(ENGINE, LIMITS)])
        asyncio.run(self.coordinator.read_reports())

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.25)):
            self.clock.advance(0.25)
            self.update()

    def use_adapter(self, name: str) -> None:
        self.view.record_request_start("engine", (name, 1), 0.0, self.clock.now())

    def load(
        self, name: str = "m/a", max_wait_s: float = 5.0, asker: str = ""
    ) -> LoadOutcome:
        result = asyncio.run(
            self.coordinator.load_adapter("engine", (name, 1), max_wait_s, asker)
        )
        return result.outcome


@pytest.fixture
def make_harness() -> Callable[..., CoordinatorHarness]:
    def build(
        instance: str,
        engine: FakeEngine | None = None,
        *,
        receives_all_peers: bool = True,
    ) -> CoordinatorHarness:
        clock = ManualClock()
        engine = engine or FakeEngine()
        live_instances, has_quorum, propagation_s = list(INSTANCES), [True], [0.0]
        view = EngineView(lambda: receives_all_peers)
        cut_services: set[str] = set()
        evacuated: set[str] = set()
        rights = CoordinatorRights(
            instance=instance,
            lease_s=LEASE_S,
            propagation_s=lambda: propagation_s[0],
            live_instances=lambda: live_instances,
            has_quorum=lambda: has_quorum[0],
            clock=clock,
        )
        coordinator = EngineCoordinator(
            rights=rights,
            control=engine,
            view=view,
            load_times=LoadTimes(fetch_s=0.02, reload_s=0.01, max_full_speed_fetches=8),
            has_paths=lambda service: service not in cut_services,
            clock=clock,
            metrics=GatewayMetrics(),
            is_evacuated=lambda listed: listed.data_centre in evacuated,
        )
        return CoordinatorHarness(
            coordinator,
            engine,
            clock,
            live_instances,
            has_quorum,
            propagation_s,
            view,
            cut_services,
            evacuated,
        )

    return build


MakeHarness = Callable[..., CoordinatorHarness]


def test_started_coordinator_loads_once_it_knows_its_peers(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.update()
    assert harness.load() is LoadOutcome.NOT_COORDINATOR
    harness.run(1.0)
    assert harness.load() is LoadOutcome.USABLE
    assert len(harness.engine.received) == 1


def test_second_ranked_instance_sends_no_orders(make_harness: MakeHarness) -> None:
    harness = make_harness(SECOND)
    harness.run(10.0)
    assert harness.load() is LoadOutcome.NOT_COORDINATOR


def test_new_coordinator_waits_until_the_lease_has_expired(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(SECOND)
    harness.run(10.0)
    harness.live_instances.remove(FIRST)
    harness.run(LEASE_S)
    assert harness.load() is LoadOutcome.HELD_OFF
    harness.run(1.25)
    assert harness.load() is LoadOutcome.USABLE


def test_restarted_coordinator_holds_off_after_a_reported_order(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.coordinator.record_peer_order("engine", fence=1, age_s=0.1)
    harness.run(LEASE_S)
    assert harness.load() is LoadOutcome.HELD_OFF
    harness.run(1.25)
    assert harness.load() is LoadOutcome.USABLE


def test_instance_without_quorum_stops_coordinating(make_harness: MakeHarness) -> None:
    harness = make_harness(FIRST)
    harness.run(2.0)
    harness.has_quorum[0] = False
    harness.run(0.25)
    assert harness.load() is LoadOutcome.NOT_COORDINATOR


def test_paused_coordinator_sends_no_orders_after_its_pause(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.run(2.0)
    harness.clock.advance(30.0)
    harness.update()
    assert harness.load() is LoadOutcome.HELD_OFF


def test_two_instances_never_share_a_fence(make_harness: MakeHarness) -> None:
    fences = set()
    for instance in INSTANCES:
        harness = make_harness(instance)
        harness.live_instances[:] = [instance]
        harness.run(5.0)
        harness.load()
        fences.update(order.fence for order in harness.engine.received)
    assert len(fences) == len(INSTANCES)


def test_fence_is_above_all_reported_fences(make_harness: MakeHarness) -> None:
    harness = make_harness(FIRST)
    harness.coordinator.record_peer_order("engine", fence=1 << 62, age_s=60.0)
    harness.run(2.0)
    harness.load()
    assert harness.engine.received[0].fence > 1 << 62


def test_fenced_order_is_not_repeated_with_the_same_fence(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.run(2.0)
    harness.engine.answers = [OrderAnswer.FENCED]
    assert harness.load() is LoadOutcome.FAILED
    assert harness.load() is LoadOutcome.HELD_OFF
    harness.run(LEASE_S + 1.0)
    assert harness.load() is LoadOutcome.USABLE
    first, second = harness.engine.received
    assert second.fence > first.fence


def test_full_engine_unloads_the_least_recently_used_adapter(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.run(2.0)
    for name in ("m/a", "m/b", "m/c"):
        assert harness.load(name) is LoadOutcome.USABLE
        harness.run(1.0)
    harness.use_adapter("m/a")
    harness.run(1.25)
    assert harness.load("m/d") is LoadOutcome.USABLE
    assert harness.engine.adapters == {("m/a", 1), ("m/c", 1), ("m/d", 1)}


@pytest.mark.parametrize(
    ("receives_all_peers", "is_prompt", "waits_s"),
    [
        pytest.param(False, True, 0.3, id="ends-are-told-at-once"),
        pytest.param(False, False, 1.5, id="ends-are-told-by-gossip-only"),
        pytest.param(True, True, 0.6, id="small-fleet-is-as-before"),
    ],
)
def test_slot_is_free_soon_after_the_told_end_of_the_last_use(
    make_harness: MakeHarness,
    receives_all_peers: bool,
    is_prompt: bool,
    waits_s: float,
) -> None:
    """Requests are refused for want of slots that hold adapters nobody uses."""
    harness = make_harness(FIRST, receives_all_peers=receives_all_peers)
    harness.run(2.0)
    names = ("m/a", "m/b", "m/c")
    for name in names:
        assert harness.load(name, asker="peer") is LoadOutcome.USABLE
    number = 0

    def tell(*adapters: str) -> None:
        nonlocal number
        number += 1
        uses = [
            EngineUseUpdate(
                engine="engine",
                requests=len(adapters),
                pending_prefill_tokens=0.0,
                adapters=frozenset((name, 1) for name in adapters),
            )
        ]
        now = harness.clock.now()
        if is_prompt:
            harness.view.apply_use_notice("peer", uses, now, (1, number))
        else:
            harness.view.apply_peer_uses("peer", uses, now)

    tell(*names)
    harness.run(3.0)
    assert harness.load("m/d") is LoadOutcome.NO_ROOM
    tell("m/a", "m/b")
    assert harness.load("m/d") is LoadOutcome.NO_ROOM
    harness.clock.advance(waits_s - 0.02)
    assert harness.load("m/d") is LoadOutcome.NO_ROOM
    harness.clock.advance(0.04)
    assert harness.load("m/d") is LoadOutcome.USABLE
    assert harness.engine.adapters == {("m/a", 1), ("m/b", 1), ("m/d", 1)}


def test_engine_with_all_slots_in_use_has_no_room(make_harness: MakeHarness) -> None:
    harness = make_harness(FIRST)
    harness.run(2.0)
    for name in ("m/a", "m/b", "m/c"):
        harness.load(name)
        harness.use_adapter(name)
        harness.run(1.0)
    assert harness.load("m/d") is LoadOutcome.NO_ROOM
    assert len(harness.engine.adapters) == ADAPTER_SLOTS


def test_adapters_loaded_by_another_instance_occupy_slots(
    make_harness: MakeHarness,
) -> None:
    """A report that counts more orders than known lists their adapters as well."""
    harness = make_harness(FIRST)
    harness.run(2.0)
    harness.engine.adapters = {("m/x", 1), ("m/y", 1), ("m/z", 1)}
    harness.engine.accepted_orders = 3
    assert harness.load("m/a") is not LoadOutcome.USABLE
    harness.run(2.0)
    assert harness.load("m/a") is LoadOutcome.USABLE
    assert len(harness.engine.adapters) == ADAPTER_SLOTS


def test_order_without_an_answer_keeps_its_slot(make_harness: MakeHarness) -> None:
    """The engine may have accepted the order and hold more than it has reported."""
    harness = make_harness(FIRST)
    harness.run(2.0)
    harness.engine.answers = [None, None, None]
    for name in ("m/a", "m/b", "m/c"):
        assert harness.load(name) is LoadOutcome.FAILED
    assert harness.load("m/d") is not LoadOutcome.USABLE


def test_adapter_that_would_be_late_is_not_ordered(make_harness: MakeHarness) -> None:
    harness = make_harness(FIRST)
    harness.run(2.0)
    assert harness.load(max_wait_s=0.01) is LoadOutcome.TOO_LATE
    assert not harness.engine.received


def test_empty_engine_gets_its_base_model(make_harness: MakeHarness) -> None:
    harness = make_harness(FIRST, FakeEngine(models=frozenset()))
    harness.run(2.0)
    asyncio.run(harness.coordinator.load_models())
    asyncio.run(harness.coordinator.load_models())
    assert [order.target for order in harness.engine.received] == ["m"]


def test_new_engine_gets_orders_immediately_if_no_instance_was_lost(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    for _ in range(40):
        harness.clock.advance(0.25)
        harness.coordinator.update_engines([])
    harness.update()
    assert harness.load() is LoadOutcome.USABLE


def test_started_coordinator_in_a_large_fleet_waits_for_propagation(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.propagation_s[0] = 2.5
    harness.run(2.25)
    assert harness.load() is LoadOutcome.NOT_COORDINATOR
    harness.run(1.0)
    assert harness.load() is LoadOutcome.USABLE


def test_new_coordinator_in_a_large_fleet_waits_for_lease_and_propagation(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(SECOND)
    harness.propagation_s[0] = 2.5
    harness.run(10.0)
    harness.live_instances.remove(FIRST)
    harness.run(LEASE_S + 2.25)
    assert harness.load() is LoadOutcome.HELD_OFF
    harness.run(1.0)
    assert harness.load() is LoadOutcome.USABLE


@pytest.mark.parametrize(
    ("last_order_age_s", "waits_s"),
    [
        pytest.param(None, 0.25, id="no-orders"),
        pytest.param(10.0, 0.25, id="order-long-ago"),
        pytest.param(0.5, LEASE_S + 0.5, id="recent-order"),
    ],
)
def test_new_coordinator_after_an_announced_stop_waits_from_the_last_order(
    make_harness: MakeHarness, last_order_age_s: float | None, waits_s: float
) -> None:
    harness = make_harness(SECOND)
    harness.run(10.0)
    harness.coordinator.rights.record_announced_stop(FIRST)
    if last_order_age_s is not None:
        harness.coordinator.record_peer_order("engine", fence=1, age_s=last_order_age_s)
    harness.live_instances.remove(FIRST)
    harness.run(waits_s)
    assert harness.load() is LoadOutcome.USABLE


@pytest.mark.parametrize(
    ("adapter", "outcome", "ready_in_s"),
    [
        pytest.param("m/a", LoadOutcome.HELD_OFF, 3.8, id="absent"),
        pytest.param("m/held", LoadOutcome.USABLE, 0.0, id="held-by-the-engine"),
    ],
)
def test_new_coordinator_tells_until_when_it_holds_off(
    make_harness: MakeHarness, adapter: str, outcome: LoadOutcome, ready_in_s: float
) -> None:
    harness = make_harness(SECOND)
    harness.engine.adapters.add(("m/held", 1))
    harness.run(10.0)
    harness.coordinator.rights.record_announced_stop(FIRST)
    harness.coordinator.record_peer_order("engine", fence=1, age_s=0.0)
    harness.live_instances.remove(FIRST)
    harness.update()
    result = asyncio.run(
        harness.coordinator.load_adapter("engine", (adapter, 1), max_wait_s=9.0)
    )
    assert (result.outcome, result.ready_in_s) == (outcome, pytest.approx(ready_in_s))
    assert not harness.engine.received


def test_coordinator_without_paths_to_its_engine_answers_at_once(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.run(LEASE_S + 2.0)
    assert harness.load("m/a") is LoadOutcome.USABLE
    harness.cut_services.add(ENGINE.service)
    orders = len(harness.engine.received)
    assert harness.load("m/b") is LoadOutcome.HELD_OFF
    assert harness.load("m/a") is LoadOutcome.USABLE
    assert len(harness.engine.received) == orders
    harness.cut_services.clear()
    assert harness.load("m/b") is LoadOutcome.USABLE


def test_former_coordinator_sends_no_order_before_its_next_update(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.run(2.0)
    harness.live_instances.remove(FIRST)
    assert harness.load() is LoadOutcome.NOT_COORDINATOR
    assert not harness.engine.received


def test_crowded_store_makes_estimates_longer() -> None:
    times = LoadTimes(fetch_s=0.25, reload_s=0.025, max_full_speed_fetches=8)
    for index in range(16):
        times.record_load("engine", (f"m/{index}", 1), 0.0)
    assert times.expected_load_s("engine", ("m/x", 1), 0.0) == pytest.approx(
        0.25 * 17 / 8
    )
    assert times.expected_load_s("engine", ("m/0", 1), 0.0) == pytest.approx(0.025)


@pytest.mark.parametrize(
    ("store_fetches", "own_engines", "all_engines", "running", "expected_s"),
    [
        pytest.param(0, 1, 6, 0, 0.25, id="idle"),
        pytest.param(0, 2, 9, 3, 0.25 * 4 / 2, id="share-of-a-small-fleet"),
        pytest.param(0, 1, 30, 3, 0.25 * 4 / (30 / 8), id="one-engine-of-30"),
        pytest.param(0, 1, 70, 3, 0.25, id="one-engine-of-70"),
        pytest.param(16, 1, 70, 3, 0.25 * 4 / 2, id="figure-of-the-operator"),
    ],
)
def test_engine_of_a_large_fleet_fetches_several_adapters_at_full_speed(
    store_fetches: int,
    own_engines: int,
    all_engines: int,
    running: int,
    expected_s: float,
) -> None:
    times = LoadTimes(
        fetch_s=0.25, reload_s=0.025, max_full_speed_fetches=store_fetches
    )
    times.update_engines(own_engines, all_engines)
    for index in range(running):
        times.record_load("engine", (f"m/{index}", 1), 0.0)
    estimate_s = times.expected_load_s("engine", ("m/x", 1), 0.0)
    assert estimate_s == pytest.approx(expected_s)


def test_late_loads_lengthen_estimates_to_a_limit() -> None:
    times = LoadTimes(fetch_s=0.25, reload_s=0.025, max_full_speed_fetches=8)
    for _ in range(100):
        times.record_late_load()
    assert times.expected_load_s("engine", ("m/x", 1), 0.0) <= 0.25 * 2


def test_engine_state_is_not_published_before_its_report_was_read(
    make_harness: MakeHarness,
) -> None:
    """Peers would take a newly coordinated engine for empty and not use it."""
    harness = make_harness(FIRST)
    harness.run(0.25)
    harness.clock.advance(0.5)
    reading = harness.coordinator.read_reports()
    harness.coordinator.update_engines([(ENGINE, LIMITS)])
    assert harness.coordinator.engine_states() == []
    asyncio.run(reading)
    asyncio.run(harness.coordinator.read_reports())
    (state,) = harness.coordinator.engine_states()
    assert state.models == {"m"}


def test_engine_state_is_not_published_without_a_report(
    make_harness: MakeHarness,
) -> None:
    class UnavailableEngine(FakeEngine):
        async def read_report(self, engine: ListedEndpoint) -> EngineReport:
            raise EngineControlError("no answer")

    harness = make_harness(FIRST, UnavailableEngine())
    harness.run(2.0)
    assert harness.coordinator.engine_states() == []


def test_adapter_being_unloaded_is_not_published_as_usable(
    make_harness: MakeHarness,
) -> None:
    """The engine drops it when its last request ends and refuses new requests."""
    harness = make_harness(FIRST)
    harness.run(2.0)
    for name in ("m/a", "m/b", "m/c"):
        harness.load(name)
    harness.run(2.0)
    harness.engine.answers = [OrderAnswer.IN_PROGRESS]
    assert harness.load("m/d") is LoadOutcome.NO_ROOM
    unloading = harness.engine.received[-1].target
    assert harness.load(unloading) is not LoadOutcome.USABLE
    (state,) = harness.coordinator.engine_states()
    assert unloading not in {name for name, _ in state.adapters}


def test_order_is_withheld_if_the_coordinator_changed_while_connecting(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.run(2.0)
    harness.engine.while_connecting = lambda: harness.live_instances.remove(FIRST)
    assert harness.load() is LoadOutcome.FAILED
    assert harness.engine.received == []


def test_order_is_withheld_if_the_engine_left_while_connecting(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.run(2.0)
    harness.engine.while_connecting = lambda: harness.coordinator.update_engines([])
    assert harness.load() is LoadOutcome.FAILED
    assert harness.engine.received == []


def test_evacuated_engine_gets_no_order(make_harness: MakeHarness) -> None:
    """Between two rounds an evacuated engine still counts as coordinated."""
    harness = make_harness(FIRST)
    harness.run(2.0)
    harness.engine.while_connecting = lambda: harness.evacuated.add("glasgow")
    assert harness.load() is LoadOutcome.FAILED
    harness.engine.while_connecting = lambda: None
    assert harness.load("m/b") is LoadOutcome.FAILED
    assert harness.engine.received == []
    harness.evacuated.clear()
    harness.run(2.0)
    assert harness.load("m/b") is LoadOutcome.USABLE


def test_count_of_orders_that_is_too_high_is_corrected(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.run(2.0)
    assert harness.load("m/a") is LoadOutcome.USABLE
    # The engine carried out an order that it did not count.
    harness.engine.accepted_orders = 0
    harness.run(3.0)
    assert harness.load("m/b") is LoadOutcome.USABLE


def test_unloads_are_not_repeated_while_the_engine_drops_an_adapter_in_use(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.run(2.0)
    for name in ("m/a", "m/b", "m/c"):
        assert harness.load(name) is LoadOutcome.USABLE
    harness.run(2.0)
    harness.engine.received.clear()
    harness.engine.answers = [OrderAnswer.IN_PROGRESS, *[OrderAnswer.CONFLICT] * 20]
    for number in range(20):
        assert harness.load(f"m/x{number}") is LoadOutcome.NO_ROOM
    assert len(harness.engine.received) == 1
    harness.clock.advance(0.3)
    assert harness.load("m/y") is LoadOutcome.NO_ROOM
    assert len(harness.engine.received) == 2


def test_no_order_is_sent_without_the_expected_count_of_orders(
    make_harness: MakeHarness,
) -> None:
    """The engine could not tell that another instance has sent orders."""
    harness = make_harness(FIRST)
    harness.run(2.0)
    harness.engine.answers = [None]
    assert harness.load("m/a") is LoadOutcome.FAILED
    harness.engine.report_fails = True
    assert harness.load("m/b") is LoadOutcome.FAILED
    assert all(order.after_orders is not None for order in harness.engine.received)


def test_last_report_of_a_silent_engine_is_passed_on_with_its_age(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(FIRST)
    harness.run(2.0)
    harness.engine.report_fails = True
    harness.run(3.0)
    (state,) = harness.coordinator.engine_states()
    assert state.age_s >= 3.0
