"""One instance orders at an engine, and never more than the engine holds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import pytest

from chiveslip import hashing
from chiveslip.clock import ManualClock
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_control import Operation
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.loads import LoadTimes
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.order_rights import OrderRights
from chiveslip.gateway.ordering import LoadOutcome
from chiveslip.gateway.ordering import Orderer
from chiveslip.gateway.routing import EngineLimits
from chiveslip.settings.fields import Address

LEASE_S = 3.0
PLACES = 3
LIMITS = EngineLimits(
    slots=64,
    cache_tokens=100_000,
    adapter_slots=PLACES,
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
ALL = ["one", "six", "two"]
FIRST, SECOND, _ = hashing.rank("engine", ALL)


class FakeEngine(EngineControl):
    """An engine that checks fences and the number of orders, as published."""

    def __init__(self, models: frozenset[str] = frozenset({"m"})) -> None:
        self.models = models
        self.adapters: set[tuple[str, int]] = set()
        self.orders = 0
        self.fence = 0
        self.given: list[EngineOrder] = []
        self.answers: list[OrderAnswer | None] = []

    async def report(self, engine: ListedEndpoint) -> EngineReport:
        return EngineReport(
            started=1,
            orders=self.orders,
            models=self.models,
            adapters=frozenset(self.adapters),
            coming=frozenset(),
            running=0,
            waiting=0,
            cache_used=0,
        )

    async def order(self, engine: ListedEndpoint, order: EngineOrder) -> OrderAnswer:
        self.given.append(order)
        if self.answers:
            answer = self.answers.pop(0)
            if answer is None:
                raise EngineControlError("no answer")
            return answer
        if order.fence < self.fence:
            return OrderAnswer.FENCED
        self.fence = order.fence
        if order.after_orders != self.orders:
            return OrderAnswer.CONFLICT
        self.orders += 1
        if "/" not in order.target:
            self.models |= {order.target}
            return OrderAnswer.UNDER_WAY
        adapter = (order.target, order.version or 1)
        if order.operation is Operation.UNLOAD:
            self.adapters.discard(adapter)
            return OrderAnswer.HOLDS_ALREADY
        self.adapters.add(adapter)
        assert len(self.adapters) <= PLACES, "the engine crashes"
        return OrderAnswer.UNDER_WAY


@attrs.define
class Fleet:
    """One orderer, and the world that it believes in."""

    orderer: Orderer
    engine: FakeEngine
    clock: ManualClock
    alive: list[str]
    quorum: list[bool]
    spread: list[float]
    view: EngineView

    def look(self) -> None:
        self.orderer.look([(ENGINE, LIMITS)])
        asyncio.run(self.orderer.read_reports())

    def look_for(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.25)):
            self.clock.advance(0.25)
            self.look()

    def load(self, name: str = "m/a", patience_s: float = 5.0) -> LoadOutcome:
        loaded = asyncio.run(self.orderer.load("engine", (name, 1), patience_s))
        return loaded.outcome


@pytest.fixture
def fleet_of() -> Callable[..., Fleet]:
    def build(instance: str, engine: FakeEngine | None = None) -> Fleet:
        clock = ManualClock()
        engine = engine or FakeEngine()
        alive, quorum, spread = list(ALL), [True], [0.0]
        view = EngineView()
        rights = OrderRights(
            instance=instance,
            lease_s=LEASE_S,
            spread_s=lambda: spread[0],
            alive=lambda: alive,
            has_quorum=lambda: quorum[0],
            clock=clock,
        )
        orderer = Orderer(
            rights=rights,
            control=engine,
            view=view,
            load_times=LoadTimes(fetch_s=0.02, reload_s=0.01, most_fetches=8),
            clock=clock,
            measures=GatewayMetrics(),
        )
        return Fleet(orderer, engine, clock, alive, quorum, spread, view)

    return build


FleetOf = Callable[..., Fleet]


def test_started_orderer_loads_once_it_knows_its_peers(fleet_of: FleetOf) -> None:
    fleet = fleet_of(FIRST)
    fleet.look()
    assert fleet.load() is LoadOutcome.NOT_HOME
    fleet.look_for(1.0)
    assert fleet.load() is LoadOutcome.USABLE
    assert len(fleet.engine.given) == 1


def test_second_in_rank_gives_no_orders(fleet_of: FleetOf) -> None:
    fleet = fleet_of(SECOND)
    fleet.look_for(10.0)
    assert fleet.load() is LoadOutcome.NOT_HOME


def test_successor_waits_out_the_lease(fleet_of: FleetOf) -> None:
    fleet = fleet_of(SECOND)
    fleet.look_for(10.0)
    fleet.alive.remove(FIRST)
    fleet.look_for(LEASE_S)
    assert fleet.load() is LoadOutcome.NOT_HOME
    fleet.look_for(1.25)
    assert fleet.load() is LoadOutcome.USABLE


def test_restarted_orderer_waits_for_whom_it_hears_of(fleet_of: FleetOf) -> None:
    fleet = fleet_of(FIRST)
    fleet.orderer.heard_order("engine", fence=1, age_s=0.1)
    fleet.look_for(LEASE_S)
    assert fleet.load() is LoadOutcome.NOT_HOME
    fleet.look_for(1.25)
    assert fleet.load() is LoadOutcome.USABLE


def test_instance_cut_off_from_most_lays_its_engines_down(fleet_of: FleetOf) -> None:
    fleet = fleet_of(FIRST)
    fleet.look_for(2.0)
    fleet.quorum[0] = False
    fleet.look_for(0.25)
    assert fleet.load() is LoadOutcome.NOT_HOME


def test_frozen_orderer_gives_up_before_it_does_anything(fleet_of: FleetOf) -> None:
    fleet = fleet_of(FIRST)
    fleet.look_for(2.0)
    fleet.clock.advance(30.0)
    fleet.look()
    assert fleet.load() is LoadOutcome.NOT_HOME


def test_two_instances_never_share_a_fence(fleet_of: FleetOf) -> None:
    fences = set()
    for instance in ALL:
        fleet = fleet_of(instance)
        fleet.alive[:] = [instance]
        fleet.look_for(5.0)
        fleet.load()
        fences.update(order.fence for order in fleet.engine.given)
    assert len(fences) == len(ALL)


def test_fence_is_above_all_that_were_heard_of(fleet_of: FleetOf) -> None:
    fleet = fleet_of(FIRST)
    fleet.orderer.heard_order("engine", fence=1 << 62, age_s=60.0)
    fleet.look_for(2.0)
    fleet.load()
    assert fleet.engine.given[0].fence > 1 << 62


def test_fenced_order_is_not_repeated_with_its_number(fleet_of: FleetOf) -> None:
    fleet = fleet_of(FIRST)
    fleet.look_for(2.0)
    fleet.engine.answers = [OrderAnswer.FENCED]
    assert fleet.load() is LoadOutcome.FAILED
    assert fleet.load() is LoadOutcome.NOT_HOME
    fleet.look_for(LEASE_S + 1.0)
    assert fleet.load() is LoadOutcome.USABLE
    first, second = fleet.engine.given
    assert second.fence > first.fence


def test_full_engine_drops_what_was_used_least_recently(fleet_of: FleetOf) -> None:
    fleet = fleet_of(FIRST)
    fleet.look_for(2.0)
    for name in ("m/a", "m/b", "m/c"):
        assert fleet.load(name) is LoadOutcome.USABLE
        fleet.look_for(1.0)
    fleet.view.begins("engine", ("m/a", 1), 0.0)
    fleet.look_for(1.25)
    assert fleet.load("m/d") is LoadOutcome.USABLE
    assert fleet.engine.adapters == {("m/a", 1), ("m/c", 1), ("m/d", 1)}


def test_engine_full_of_adapters_in_use_has_no_room(fleet_of: FleetOf) -> None:
    fleet = fleet_of(FIRST)
    fleet.look_for(2.0)
    for name in ("m/a", "m/b", "m/c"):
        fleet.load(name)
        fleet.view.begins("engine", (name, 1), 0.0)
        fleet.look_for(1.0)
    assert fleet.load("m/d") is LoadOutcome.NO_ROOM
    assert len(fleet.engine.adapters) == PLACES


def test_adapters_that_another_instance_loaded_meanwhile_take_places(
    fleet_of: FleetOf,
) -> None:
    """The report that tells of more orders tells of their adapters too."""
    fleet = fleet_of(FIRST)
    fleet.look_for(2.0)
    fleet.engine.adapters = {("m/x", 1), ("m/y", 1), ("m/z", 1)}
    fleet.engine.orders = 3
    assert fleet.load("m/a") is not LoadOutcome.USABLE
    fleet.look_for(2.0)
    assert fleet.load("m/a") is LoadOutcome.USABLE
    assert len(fleet.engine.adapters) == PLACES


def test_order_without_an_answer_keeps_its_place(fleet_of: FleetOf) -> None:
    """It may have been accepted, so the engine may be fuller than it says."""
    fleet = fleet_of(FIRST)
    fleet.look_for(2.0)
    fleet.engine.answers = [None, None, None]
    for name in ("m/a", "m/b", "m/c"):
        assert fleet.load(name) is LoadOutcome.FAILED
    assert fleet.load("m/d") is not LoadOutcome.USABLE


def test_adapter_that_comes_too_late_is_not_ordered(fleet_of: FleetOf) -> None:
    fleet = fleet_of(FIRST)
    fleet.look_for(2.0)
    assert fleet.load(patience_s=0.01) is LoadOutcome.TOO_LATE
    assert not fleet.engine.given


def test_empty_engine_gets_its_base_model(fleet_of: FleetOf) -> None:
    fleet = fleet_of(FIRST, FakeEngine(models=frozenset()))
    fleet.look_for(2.0)
    asyncio.run(fleet.orderer.load_models())
    asyncio.run(fleet.orderer.load_models())
    assert [order.target for order in fleet.engine.given] == ["m"]


def test_new_engine_gets_orders_at_once_while_nobody_was_lost(
    fleet_of: FleetOf,
) -> None:
    fleet = fleet_of(FIRST)
    for _ in range(40):
        fleet.clock.advance(0.25)
        fleet.orderer.look([])
    fleet.look()
    assert fleet.load() is LoadOutcome.USABLE


def test_newcomer_of_a_large_fleet_waits_until_all_know_of_it(
    fleet_of: FleetOf,
) -> None:
    fleet = fleet_of(FIRST)
    fleet.spread[0] = 2.5
    fleet.look_for(2.25)
    assert fleet.load() is LoadOutcome.NOT_HOME
    fleet.look_for(1.0)
    assert fleet.load() is LoadOutcome.USABLE


def test_successor_in_a_large_fleet_waits_longer_than_news_takes(
    fleet_of: FleetOf,
) -> None:
    fleet = fleet_of(SECOND)
    fleet.spread[0] = 2.5
    fleet.look_for(10.0)
    fleet.alive.remove(FIRST)
    fleet.look_for(LEASE_S + 2.25)
    assert fleet.load() is LoadOutcome.NOT_HOME
    fleet.look_for(1.0)
    assert fleet.load() is LoadOutcome.USABLE


@pytest.mark.parametrize(
    ("last_order_age_s", "waits_s"),
    [
        pytest.param(None, 0.25, id="gave-no-orders"),
        pytest.param(10.0, 0.25, id="gave-none-for-long"),
        pytest.param(0.5, LEASE_S + 0.5, id="gave-one-just-now"),
    ],
)
def test_successor_of_a_planned_stop_waits_from_the_last_order(
    fleet_of: FleetOf, last_order_age_s: float | None, waits_s: float
) -> None:
    fleet = fleet_of(SECOND)
    fleet.look_for(10.0)
    fleet.orderer.rights.heard_stop(FIRST)
    if last_order_age_s is not None:
        fleet.orderer.heard_order("engine", fence=1, age_s=last_order_age_s)
    fleet.alive.remove(FIRST)
    fleet.look_for(waits_s)
    assert fleet.load() is LoadOutcome.USABLE


def test_orderer_that_is_no_more_gives_no_order_before_its_next_look(
    fleet_of: FleetOf,
) -> None:
    fleet = fleet_of(FIRST)
    fleet.look_for(2.0)
    fleet.alive.remove(FIRST)
    assert fleet.load() is LoadOutcome.NOT_HOME
    assert not fleet.engine.given


def test_crowded_store_makes_estimates_longer() -> None:
    times = LoadTimes(fetch_s=0.25, reload_s=0.025, most_fetches=8)
    for index in range(16):
        times.ordered("engine", (f"m/{index}", 1), 0.0)
    assert times.expected_s("engine", ("m/x", 1), 0.0) == pytest.approx(0.25 * 17 / 8)
    assert times.expected_s("engine", ("m/0", 1), 0.0) == pytest.approx(0.025)


def test_late_loads_do_not_throttle_the_store_for_long() -> None:
    times = LoadTimes(fetch_s=0.25, reload_s=0.025, most_fetches=8)
    for _ in range(100):
        times.came_late()
    assert times.expected_s("engine", ("m/x", 1), 0.0) <= 0.25 * 2


def test_nothing_is_told_of_an_engine_before_its_report_was_read(
    fleet_of: FleetOf,
) -> None:
    """Peers took an engine that was just taken up for empty, and passed it over."""
    fleet = fleet_of(FIRST)
    fleet.look_for(0.25)
    fleet.clock.advance(0.5)
    reading = fleet.orderer.read_reports()
    fleet.orderer.look([(ENGINE, LIMITS)])
    assert fleet.orderer.states() == []
    asyncio.run(reading)
    asyncio.run(fleet.orderer.read_reports())
    (state,) = fleet.orderer.states()
    assert state.models == {"m"}


def test_engine_without_a_report_is_not_told_of(fleet_of: FleetOf) -> None:
    class Silent(FakeEngine):
        async def report(self, engine: ListedEndpoint) -> EngineReport:
            raise EngineControlError("no answer")

    fleet = fleet_of(FIRST, Silent())
    fleet.look_for(2.0)
    assert fleet.orderer.states() == []


def test_adapter_that_an_engine_is_dropping_is_not_told_as_usable(
    fleet_of: FleetOf,
) -> None:
    """It goes when its last request ends, and is refused to new ones until then."""
    fleet = fleet_of(FIRST)
    fleet.look_for(2.0)
    for name in ("m/a", "m/b", "m/c"):
        fleet.load(name)
    fleet.look_for(2.0)
    fleet.engine.answers = [OrderAnswer.UNDER_WAY]
    assert fleet.load("m/d") is LoadOutcome.NO_ROOM
    dropped = fleet.engine.given[-1].target
    assert fleet.load(dropped) is not LoadOutcome.USABLE
    (state,) = fleet.orderer.states()
    assert dropped not in {name for name, _ in state.adapters}
