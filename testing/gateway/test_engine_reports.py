"""Reports read before a request is sent: who is asked, and what silence means."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import pytest

from chiveslip.clock import ManualClock
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.gateway.engine_reports import EngineReports
from chiveslip.gateway.engine_reports import ReadResult
from chiveslip.gateway.engine_view import EngineView
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address

ENGINE = ListedEndpoint(
    id="engine",
    service="llm",
    address=Address("10.0.0.1", 1),
    data_centre="here",
    slots=64,
    state=EndpointState.READY,
    started=1,
    models=("m",),
)
REPORT = EngineReport(
    started=1,
    accepted_orders=0,
    models=frozenset({"m"}),
    adapters=frozenset(),
    loading_adapters=frozenset(),
    running=3,
    waiting=0,
    cache_used=0,
)


@attrs.define
class ScriptedEngine(EngineControl):
    """An engine that answers, refuses or is silent, as `answer` says."""

    answer: Callable[[], EngineReport]
    is_silent: bool = False
    reads: int = 0

    async def read_report(self, engine: ListedEndpoint) -> EngineReport:
        self.reads += 1
        if self.is_silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(0)
        return self.answer()

    async def send_order(
        self, engine: ListedEndpoint, order: EngineOrder, may_send: Callable[[], bool]
    ) -> OrderAnswer:
        raise EngineControlError("this engine takes no orders")


def refuse() -> EngineReport:
    raise EngineControlError("connection refused")


@attrs.define
class ReportsHarness:
    """Reads of one engine."""

    reports: EngineReports
    view: EngineView
    health: EndpointHealth
    clock: ManualClock

    async def read(self) -> ReadResult:
        return await self.reports.read(ENGINE)


def make_harness(engine: ScriptedEngine) -> ReportsHarness:
    view = EngineView(receives_all_peers=lambda: False)
    health = EndpointHealth()
    clock = ManualClock()
    reports = EngineReports(control=engine, view=view, health=health, clock=clock)
    return ReportsHarness(reports, view, health, clock)


@pytest.mark.parametrize(
    ("engine", "result"),
    [
        pytest.param(ScriptedEngine(lambda: REPORT), ReadResult.READ, id="answers"),
        pytest.param(ScriptedEngine(refuse), ReadResult.NO_ANSWER, id="refuses"),
        pytest.param(
            ScriptedEngine(refuse, is_silent=True),
            ReadResult.NO_ANSWER,
            id="is-silent",
        ),
    ],
)
def test_only_an_answer_counts_as_a_report(
    engine: ScriptedEngine, result: ReadResult
) -> None:
    harness = make_harness(engine)
    now = harness.clock.now()
    assert asyncio.run(harness.read()) is result
    is_known = harness.view.report_age_s("engine", now) == 0.0
    assert is_known == (result is ReadResult.READ)


def test_engine_is_not_blamed_for_a_pause_of_this_process() -> None:
    """The event loop stands still while the answer is on its way."""
    engine = ScriptedEngine(refuse, is_silent=True)
    harness = make_harness(engine)

    async def read_during_pause() -> ReadResult:
        reading = asyncio.create_task(harness.read())
        await asyncio.sleep(0.1)
        harness.clock.advance(0.3)
        return await reading

    assert asyncio.run(read_during_pause()) is ReadResult.NO_ANSWER
    assert engine.reads == 2


def test_unreachable_engine_that_answers_again_is_available_at_once() -> None:
    harness = make_harness(ScriptedEngine(lambda: REPORT))
    harness.reports.record_unreachable(ENGINE, 0.0)
    now = harness.clock.now()
    assert not harness.health.is_available("engine", now)
    asyncio.run(harness.read())
    assert harness.health.is_available("engine", now)


def test_answer_does_not_clear_an_engine_that_fails_its_requests() -> None:
    harness = make_harness(ScriptedEngine(lambda: REPORT))
    now = harness.clock.now()
    for _ in range(2):
        harness.health.record_failure("engine", now, is_unreachable=False)
    asyncio.run(harness.read())
    assert not harness.health.is_available("engine", now)


def test_concurrent_requests_share_one_read() -> None:
    async def read_twice(harness: ReportsHarness) -> list[ReadResult]:
        return await asyncio.gather(harness.read(), harness.read())

    engine = ScriptedEngine(lambda: REPORT)
    results = asyncio.run(read_twice(make_harness(engine)))
    assert results == [ReadResult.READ, ReadResult.READ]
    assert engine.reads == 1
