"""Engine selection: the selected engine can still answer after the request waited."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any

import attrs
import pytest

from chiveslip import hashing
from chiveslip.clock import ManualClock
from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.gateway.adapter_waits import SlotNeed
from chiveslip.gateway.call import AttemptTimes
from chiveslip.gateway.call import Call
from chiveslip.gateway.call import CrashTraits
from chiveslip.gateway.cold_endpoints import ColdEndpoints
from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.gateway.engine_coordinator import LoadOutcome
from chiveslip.gateway.engine_coordinator import LoadResult
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_reports import EngineReports
from chiveslip.gateway.engine_search import MAX_REPORTS_READ
from chiveslip.gateway.engine_selection import EngineTargetSelector
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.engine_view import KnownLoad
from chiveslip.gateway.forwarding import Target
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.prompt_parts import PromptPart
from chiveslip.gateway.prompt_parts import describe_prompt
from chiveslip.gateway.protocol import RequestMetadata
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.gateway.routing import RetryPolicy
from chiveslip.gateway.routing import Route
from chiveslip.gateway.routing import RoutingTable
from chiveslip.gateway.routing import Service
from chiveslip.gateway.sending import Attempt
from chiveslip.gateway.sending import AttemptResult
from chiveslip.results import Refusal
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address
from testing.gateway.limits import make_limit_requests

LIMITS = EngineCapacity(
    slots=64,
    cache_tokens=100_000,
    adapter_slots=4,
    models={"m": 100.0},
    memory_mb=150.0,
    model_loads_per_s=2.0,
)
ROUTE = Route(
    name="draft",
    host="h",
    prefix="/",
    is_stream=True,
    retry_policy=RetryPolicy.AT_MOST_ONCE,
    timeout_s=15.0,
    target_latency_s=0.8,
    max_first_event_wait_s=3.2,
    priority=1,
    services=(("llm", 1.0),),
    max_runs=1,
    is_public=True,
)
TABLE = RoutingTable(
    version=1,
    routes={},
    services={
        "llm": Service(name="llm", max_connections=9, engine=LIMITS, cold_per_s=11.0)
    },
    keys={},
    requires_keys=False,
)


def engine(name: str, state: EndpointState = EndpointState.READY) -> ListedEndpoint:
    return ListedEndpoint(
        id=name,
        service="llm",
        address=Address("10.0.0.1", 1),
        data_centre="here",
        slots=64,
        state=state,
        started=1,
        models=("m",),
    )


class AnsweringEngines(EngineControl):
    """Engines that report their model, no adapters, and some a high load."""

    def __init__(self) -> None:
        self.busy: set[str] = set()
        self.waiting = 64

    async def read_report(self, engine: ListedEndpoint) -> EngineReport:
        return EngineReport(
            started=engine.started,
            accepted_orders=0,
            models=frozenset(engine.models),
            adapters=frozenset(),
            loading_adapters=frozenset(),
            running=64 if engine.id in self.busy else 0,
            waiting=self.waiting if engine.id in self.busy else 0,
            cache_used=0,
        )

    async def send_order(
        self, engine: ListedEndpoint, order: EngineOrder, may_send: Callable[[], bool]
    ) -> OrderAnswer:
        raise EngineControlError("these engines take no orders")


@attrs.define
class SelectorHarness:
    """A selector for two engines, and the scripted answers of their coordinators."""

    selector: EngineTargetSelector
    directory: EndpointDirectory
    view: EngineView
    clock: ManualClock
    limits: EndpointLimits
    speeds: EngineSpeeds = attrs.field(factory=EngineSpeeds)
    control: AnsweringEngines = attrs.field(factory=AnsweringEngines)
    requested: list[str] = attrs.field(factory=list)
    needs: list[SlotNeed] = attrs.field(factory=list)
    answer: Callable[[str], LoadResult] = lambda _: LoadResult(
        outcome=LoadOutcome.USABLE
    )

    async def request_adapter(
        self, name: str, adapter: Adapter, max_wait_s: float, need: SlotNeed
    ) -> LoadResult:
        self.requested.append(name)
        self.needs.append(need)
        return self.answer(name)

    def choose(self) -> Target | Refusal:
        return asyncio.run(self.selector.select_target(self.make_call()))

    def make_call(self) -> Call:
        now = self.clock.now()
        return Call(
            request=None,  # type: ignore[arg-type]
            reply=None,  # type: ignore[arg-type]
            metadata=RequestMetadata(
                request_id="r",
                key="",
                max_wait_s=None,
                model="m",
                adapter="a1",
                prompt_tokens=100,
                output_tokens=10,
                last_event_id="",
            ),
            table=TABLE,
            route=ROUTE,
            organisation=None,
            service="llm",
            arrived_at=now,
            deadline=now + ROUTE.timeout_s,
            units=0.0,
            traits=CrashTraits(fingerprint=""),
        )


@pytest.fixture
def harness() -> SelectorHarness:
    return build_harness(receives_all_peers=True)


def build_harness(*, receives_all_peers: bool) -> SelectorHarness:
    clock = ManualClock()
    limits = EndpointLimits(clock, ColdEndpoints(lambda _name: TABLE.services["llm"]))
    directory = EndpointDirectory(EndpointStatements(clock), limits=limits)
    view = EngineView(lambda: receives_all_peers)
    health = EndpointHealth()
    times = LoadTimes(fetch_s=0.25, reload_s=0.025, max_full_speed_fetches=8)
    for name in ("e1", "e2"):
        directory.put(engine(name))
        view.update_engine(name, 1, frozenset({"m"}), frozenset(), clock.now())
    harness = SelectorHarness(None, directory, view, clock, limits)  # type: ignore[arg-type]
    harness.selector = EngineTargetSelector(
        directory=directory,
        view=view,
        placement=Placement(
            view,
            health,
            times,
            failures=EngineFailures(),
            speeds=harness.speeds,
            instance_count=lambda: 6,
            generator=random.Random(1),
        ),
        load_requests=harness,  # type: ignore[arg-type]
        load_times=times,
        reports=EngineReports(
            control=harness.control, view=view, health=health, clock=clock
        ),
        failures=EngineFailures(),
        speeds=harness.speeds,
        limits=make_limit_requests(limits, clock),
        newest_version=lambda _: 1,
        clock=clock,
        generator=random.Random(1),
    )
    return harness


@pytest.mark.parametrize(
    ("has_sessions", "places_prompts", "is_remembered"),
    [
        pytest.param(True, True, True, id="sessions"),
        pytest.param(False, True, False, id="no-sessions"),
        pytest.param(True, False, False, id="switched-off"),
    ],
)
def test_parts_count_only_on_routes_with_sessions(
    harness: SelectorHarness,
    *,
    has_sessions: bool,
    places_prompts: bool,
    is_remembered: bool,
) -> None:
    """Guards against an influence that no one asked for."""
    harness.selector._places_prompts = places_prompts
    call = harness.make_call()
    call.route = attrs.evolve(ROUTE, has_sessions=has_sessions)
    parts = (PromptPart("5c1e", 60), PromptPart("91bd", 40))
    call.metadata = attrs.evolve(call.metadata, prompt_parts=parts)
    target = asyncio.run(harness.selector.select_target(call))
    assert isinstance(target, Target)
    call.attempt_times.append(AttemptTimes(chosen_at=target.chosen_at))
    harness.selector.record_start(call, target)
    kept = harness.selector._placement.prompt_parts
    prompt = describe_prompt("m", ("m/a1", 1), parts)
    now = harness.clock.now()
    tokens = kept.cached_tokens(target.endpoint, prompt, now)
    assert tokens == (100 if is_remembered else 0)
    assert target.estimate is not None
    assert (target.estimate.prompt is not None) == is_remembered
    lacking = Attempt(result=AttemptResult.LACKS_ADAPTER)
    harness.selector.record_end(call, target, lacking)
    assert kept.cached_tokens(target.endpoint, prompt, now) == 0


def test_engine_that_leaves_during_the_wait_is_not_selected(
    harness: SelectorHarness,
) -> None:
    def mark_first_leaving(name: str) -> LoadResult:
        if len(harness.requested) == 1:
            harness.directory.put(engine(name, EndpointState.LEAVING))
        return LoadResult(outcome=LoadOutcome.USABLE)

    harness.answer = mark_first_leaving
    target = harness.choose()
    assert isinstance(target, Target)
    assert target.endpoint.id == harness.requested[1] != harness.requested[0]


def test_engine_that_disappears_during_the_wait_is_not_selected(
    harness: SelectorHarness,
) -> None:
    def remove_all(name: str) -> LoadResult:
        harness.directory.remove(name)
        return LoadResult(outcome=LoadOutcome.USABLE)

    harness.answer = remove_all
    refusal = harness.choose()
    assert isinstance(refusal, Refusal)
    assert "leaves" in refusal.detail


@pytest.mark.parametrize(
    ("holding", "expected"),
    [
        pytest.param((), "e1", id="loaded-at-a-warm-one"),
        pytest.param(("e2",), "e2", id="held-by-a-cold-one-alone"),
        pytest.param(("e1", "e2"), "e1", id="held-by-both"),
    ],
)
def test_cold_engine_is_chosen_only_for_what_it_alone_holds(
    harness: SelectorHarness, holding: tuple[str, ...], expected: str
) -> None:
    cold = harness.directory.by_id["e2"]
    harness.limits.record_cold(cold.incarnation, 3.0)
    for name in holding:
        harness.view.expect_adapter(name, ("m/a1", 1), harness.clock.now())
    target = harness.choose()
    assert isinstance(target, Target)
    assert target.endpoint.id == expected


def test_cold_engine_gets_only_what_is_granted(harness: SelectorHarness) -> None:
    """Beyond it requests are refused at once, with the time until the next grant."""
    harness.directory.remove("e1")
    harness.limits.record_cold(harness.directory.by_id["e2"].incarnation, 3.0)
    results = [harness.choose() for _ in range(8)]
    refusals = [result for result in results if isinstance(result, Refusal)]
    assert 0 < len(results) - len(refusals) <= 2
    assert all(0 < r.advised_retry_after_s <= 0.3 for r in refusals)


def test_target_tells_what_was_known_before_the_wait(
    harness: SelectorHarness,
) -> None:
    def advance(name: str) -> LoadResult:
        harness.clock.advance(0.5)
        return LoadResult(outcome=LoadOutcome.USABLE)

    harness.answer = advance
    report = EngineStateUpdate(
        engine="e1",
        started=1,
        models=frozenset({"m"}),
        adapters=frozenset(),
        running=7,
        waiting=0,
        cache_used=0,
        age_s=1.0,
    )
    harness.directory.remove("e2")
    harness.view.apply_coordinator_report("peer", report, harness.clock.now())
    call = harness.make_call()
    target = asyncio.run(harness.selector.select_target(call))
    assert isinstance(target, Target)
    assert [(wait.engine, wait.outcome) for wait in call.load_waits] == [
        ("e1", "usable")
    ]
    assert target.estimate is not None
    assert target.estimate.known_load == KnownLoad(
        report_age_s=1.0, running=7, waiting=0, own_requests=0, own_unanswered=0
    )


@pytest.mark.parametrize(
    ("load", "retry_after_s"),
    [
        pytest.param(
            LoadResult(outcome=LoadOutcome.TOO_LATE, ready_in_s=4.0), 4.0, id="too-late"
        ),
        pytest.param(
            LoadResult(outcome=LoadOutcome.USABLE, ready_in_s=5.0),
            5.0,
            id="usable-too-late",
        ),
        pytest.param(
            LoadResult(outcome=LoadOutcome.NOT_COORDINATOR), 0.3, id="no-coordinator"
        ),
        pytest.param(LoadResult(outcome=LoadOutcome.NO_ROOM), 0.3, id="no-room"),
    ],
)
def test_refusal_says_when_to_retry(
    harness: SelectorHarness, load: LoadResult, retry_after_s: float
) -> None:
    harness.answer = lambda _: load
    refusal = harness.choose()
    assert isinstance(refusal, Refusal)
    assert refusal.advised_retry_after_s == pytest.approx(retry_after_s)


@pytest.mark.parametrize(
    ("told_s", "at_least", "at_most"),
    [
        pytest.param(0.1, 0.3, 0.45, id="room-soon"),
        pytest.param(1.2, 1.2, 1.8, id="deep-shortage"),
        pytest.param(60.0, 3.0, 4.5, id="callers-do-not-wait-longer"),
    ],
)
def test_refusal_for_want_of_slots_says_when_one_is_likely_to_be_free(
    told_s: float, at_least: float, at_most: float
) -> None:
    """Callers that return too early or all together find no slot again."""
    harness = build_harness(receives_all_peers=False)
    harness.answer = lambda _: LoadResult(
        outcome=LoadOutcome.NO_ROOM, ready_in_s=told_s
    )
    refusals = [harness.choose() for _ in range(20)]
    times = {r.advised_retry_after_s for r in refusals if isinstance(r, Refusal)}
    assert len(times) > 10
    assert at_least <= min(times) <= max(times) <= at_most
    assert max(times) - min(times) >= 0.2 * at_least


def test_request_waits_for_a_slot_only_once_no_engine_has_one(
    harness: SelectorHarness,
) -> None:
    """A wait at the first engine costs the time to be served at another one."""
    add_engines(harness, ["e1", "e2", "e3"])
    told_s = {"e1": 0.9, "e2": 0.2, "e3": 0.5}
    harness.answer = lambda name: LoadResult(
        outcome=LoadOutcome.NO_ROOM, ready_in_s=told_s[name]
    )
    assert isinstance(harness.choose(), Refusal)
    assert sorted(harness.requested[:3]) == ["e1", "e2", "e3"]
    assert harness.requested[3:] == ["e2"]
    assert [need.max_wait_s > 0 for need in harness.needs] == [False] * 3 + [True]


def test_request_is_not_refused_while_an_engine_that_was_not_asked_is_idle() -> None:
    """Three engines that are busier than believed made the request be refused."""
    harness = build_harness(receives_all_peers=False)
    names = [f"e{number}" for number in range(1, 7)]
    add_engines(harness, names)
    harness.control.busy = set(hashing.rank("m/a1", names)[:MAX_REPORTS_READ])
    target = harness.choose()
    assert isinstance(target, Target)
    assert target.endpoint.id not in harness.control.busy


def send_into_queue(
    waiting: int,
    *,
    priority: int = 1,
    remaining_s: float | None = 15.1,
    attempts: int = 0,
    received_by: str = "",
    receives_all_peers: bool = False,
) -> Target | Refusal:
    """Choose an engine while all have as many waiting requests."""
    harness = build_harness(receives_all_peers=receives_all_peers)
    harness.control.busy = {"e1", "e2"}
    harness.control.waiting = waiting
    call = harness.make_call()
    call.route = attrs.evolve(ROUTE, has_sessions=True, priority=priority)
    call.table = attrs.evolve(TABLE, routes={"h": (call.route,)})
    call.metadata = attrs.evolve(call.metadata, max_wait_s=remaining_s)
    call.attempts = attempts
    call.received_by = received_by
    return asyncio.run(harness.selector.select_target(call))


@pytest.mark.parametrize(
    ("waiting", "options", "is_sent"),
    [
        pytest.param(0, {}, True, id="no-queue"),
        pytest.param(14, {}, False, id="newcomer"),
        pytest.param(14, {"remaining_s": None}, False, id="no-time-declared"),
        pytest.param(14, {"remaining_s": 13.0}, True, id="returned"),
        pytest.param(14, {"attempts": 1}, True, id="repeat-inside-the-instance"),
        pytest.param(14, {"received_by": "peer"}, True, id="judged-by-a-peer"),
        pytest.param(14, {"receives_all_peers": True}, True, id="small-fleet"),
        pytest.param(6, {"priority": 0}, True, id="short-queue-most-urgent"),
        pytest.param(6, {"priority": 3}, False, id="short-queue-less-urgent"),
    ],
)
def test_only_newcomers_of_large_fleets_are_kept_from_long_queues(
    waiting: int, options: dict[str, Any], is_sent: bool
) -> None:
    """Guards against queues that outlast a load, and against refusals without need."""
    assert isinstance(send_into_queue(waiting, **options), Target) is is_sent


def test_newcomers_kept_from_a_queue_are_told_distinct_times() -> None:
    """Guards against callers that all return at the same moment."""
    harness = build_harness(receives_all_peers=False)
    harness.control.busy = {"e1", "e2"}
    harness.control.waiting = 14
    call = harness.make_call()
    call.route = attrs.evolve(ROUTE, has_sessions=True)
    call.table = attrs.evolve(TABLE, routes={"h": (call.route,)})
    refusals = [asyncio.run(harness.selector.select_target(call)) for _ in range(20)]
    times = [r.advised_retry_after_s for r in refusals if isinstance(r, Refusal)]
    assert len(set(times)) > 10
    assert all(time is not None and time >= 0.3 for time in times)


def hold_off_at(harness: SelectorHarness, held_s: dict[str, float]) -> None:
    """Let the coordinators of these engines hold off their loads for a time."""
    until = {name: harness.clock.now() + s for name, s in held_s.items()}

    def answer(name: str) -> LoadResult:
        left_s = until.get(name, 0.0) - harness.clock.now()
        if left_s <= 0:
            return LoadResult(outcome=LoadOutcome.USABLE)
        harness.view.hold_loads(name, until[name])
        return LoadResult(outcome=LoadOutcome.HELD_OFF, ready_in_s=left_s)

    harness.answer = answer


def add_engines(harness: SelectorHarness, names: list[str]) -> None:
    for name in names:
        harness.directory.put(engine(name))
        harness.view.update_engine(
            name, 1, frozenset({"m"}), frozenset(), harness.clock.now()
        )


def test_request_is_sent_where_loads_are_allowed_while_others_hold_off(
    harness: SelectorHarness,
) -> None:
    names = [f"e{number}" for number in range(1, 9)]
    add_engines(harness, names)
    ranked = hashing.rank("m/a1", names)
    hold_off_at(harness, dict.fromkeys(ranked[:-1], 3.8))
    target = harness.choose()
    assert isinstance(target, Target)
    assert target.endpoint.id == ranked[-1]


@pytest.mark.parametrize(
    ("held_s", "is_served"),
    [pytest.param(1.5, True, id="in-time"), pytest.param(3.8, False, id="too-late")],
)
async def test_request_waits_for_loads_if_they_are_allowed_in_time(
    harness: SelectorHarness,
    monkeypatch: pytest.MonkeyPatch,
    held_s: float,
    is_served: bool,
) -> None:
    slept: list[float] = []

    async def sleep(seconds: float) -> None:
        slept.append(seconds)
        harness.clock.advance(seconds)

    monkeypatch.setattr(asyncio, "sleep", sleep)
    hold_off_at(harness, {"e1": held_s, "e2": held_s})
    result = await harness.selector.select_target(harness.make_call())
    if is_served:
        assert isinstance(result, Target)
        assert sum(slept) >= held_s - 0.01
        return
    assert isinstance(result, Refusal)
    assert not slept
    assert result.advised_retry_after_s == pytest.approx(held_s + 0.275 - 3.2, abs=0.1)


async def test_request_that_waits_takes_an_engine_that_got_the_adapter_meanwhile(
    harness: SelectorHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def sleep(seconds: float) -> None:
        harness.clock.advance(seconds)
        now = harness.clock.now()
        harness.view.expect_adapter("e2", ("m/a1", 1), now)

    monkeypatch.setattr(asyncio, "sleep", sleep)
    hold_off_at(harness, {"e1": 2.0, "e2": 2.0})
    started_at = harness.clock.now()
    target = await harness.selector.select_target(harness.make_call())
    assert isinstance(target, Target)
    assert target.endpoint.id == "e2"
    assert harness.clock.now() - started_at <= 0.5


def send_stream(harness: SelectorHarness, pause_s: float, events: int) -> Target:
    """Send a request whose first event comes after 50 ms, and end it."""
    call = harness.make_call()
    target = asyncio.run(harness.selector.select_target(call))
    assert isinstance(target, Target)
    now = harness.clock.now()
    call.attempt_times.append(AttemptTimes(chosen_at=now, sent_at=now))
    harness.selector.record_start(call, target)
    harness.clock.advance(0.05)
    harness.selector.record_first_event(call, target)
    pauses = call.attempt_times[-1].pauses
    assert pauses is not None
    for _ in range(events):
        pauses.record_events(1, harness.clock.now())
        harness.clock.advance(pause_s)
    harness.selector.record_end(call, target, None)
    return target


def test_pauses_and_first_event_of_a_stream_are_evidence_of_the_speed(
    harness: SelectorHarness,
) -> None:
    """Guards against streams that tell the estimator nothing."""
    target = send_stream(harness, 0.04, 12)
    (start, evidence), *others = harness.speeds.summaries(harness.clock.now()).items()
    assert not others
    assert start == (target.endpoint.id, target.endpoint.started)
    assert evidence.lasting_s == pytest.approx(11 * 0.04, rel=0.2)
    assert evidence.first_events_s > 0


def test_first_event_after_an_adapter_load_is_no_evidence_of_the_speed(
    harness: SelectorHarness,
) -> None:
    """Guards against loads of adapters that make engines look slow."""
    harness.answer = lambda _: LoadResult(outcome=LoadOutcome.USABLE, ready_in_s=0.01)
    send_stream(harness, 0.04, 12)
    ((_, evidence),) = harness.speeds.summaries(harness.clock.now()).items()
    assert evidence.first_events_s == 0
    assert evidence.lasting_s > 0


def test_target_tells_the_speed_that_was_assumed(harness: SelectorHarness) -> None:
    """Guards against a log line without the speed behind a choice."""
    now = harness.clock.now()
    for name, pause_s in (("e1", 0.04), ("e2", 0.1)):
        for window in range(8):
            at = now + window / 4
            harness.speeds.record_pauses(engine(name), pause_s, 0.0, 0.25, at)
    harness.clock.advance(2.0)
    target = harness.choose()
    assert isinstance(target, Target)
    assert target.estimate is not None
    # The median of two engines lies between them.
    speed = math.sqrt(2.5 if target.endpoint.id == "e1" else 1 / 2.5)
    assert target.estimate.speed == pytest.approx(speed, rel=0.1)
