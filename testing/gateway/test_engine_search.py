"""Engine search: an engine is asked before use, and a worse one is not used."""

from __future__ import annotations

import collections
import random
from collections.abc import Mapping

import attrs
import pytest

from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_search import MAX_REPORTS_READ
from chiveslip.gateway.engine_search import MAX_UNANSWERED
from chiveslip.gateway.engine_search import EngineSearch
from chiveslip.gateway.engine_search import SearchedRequest
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address

CAPACITY = EngineCapacity(
    slots=64,
    cache_tokens=100_000,
    adapter_slots=17,
    models={"m": 100.0},
    memory_mb=150.0,
    model_loads_per_s=2.0,
)
REQUEST = SearchedRequest(
    model="m", adapter=None, prompt_tokens=1_000.0, capacity=CAPACITY
)
ENGINES = [
    ListedEndpoint(
        id=f"e{number}",
        service="llm",
        address=Address("10.0.0.1", 1),
        data_centre="here",
        slots=64,
        state=EndpointState.READY,
        started=1,
        models=("m",),
    )
    for number in range(6)
]
NOW = 10.0


def report(waiting: int) -> EngineReport:
    return EngineReport(
        started=1,
        accepted_orders=0,
        models=frozenset({"m"}),
        adapters=frozenset(),
        loading_adapters=frozenset(),
        running=20,
        waiting=waiting,
        cache_used=0,
    )


@attrs.define
class SearchHarness:
    """Engines of a large fleet whose answers the test scripts.

    Attributes
    ----------
    waiting
        Requests that wait at each engine; None if it does not answer.
    asked
        Engines that were asked for a report, in order.
    """

    waiting: Mapping[str, int | None]
    view: EngineView
    placement: Placement
    asked: list[str] = attrs.field(factory=list)

    def search(self) -> str | None:
        search = EngineSearch(self.placement, self.view, REQUEST, ())
        while True:
            choice = search.choose(ENGINES, NOW)
            if choice is None or not search.needs_report(choice, NOW):
                return None if choice is None else choice.engine.id
            name = choice.engine.id
            self.asked.append(name)
            waiting = self.waiting[name]
            if waiting is None:
                search.record_no_answer(name)
            else:
                self.view.apply_engine_report(name, report(waiting), NOW)


def make_harness(
    waiting: Mapping[str, int | None], believed_at: float, seed: int
) -> SearchHarness:
    """Return a harness whose engines reported one waiting request at `believed_at`."""
    view = EngineView(receives_all_peers=lambda: False)
    for engine in ENGINES:
        view.apply_engine_report(engine.id, report(1), believed_at)
    placement = Placement(
        view,
        EndpointHealth(),
        LoadTimes(fetch_s=0.25, reload_s=0.025, max_full_speed_fetches=8),
        failures=EngineFailures(),
        speeds=EngineSpeeds(),
        instance_count=lambda: 91,
        generator=random.Random(seed),
    )
    return SearchHarness(waiting, view, placement)


@pytest.mark.parametrize("seed", range(8))
def test_engine_that_fills_up_after_its_report_is_not_used(seed: int) -> None:
    waiting = dict.fromkeys((e.id for e in ENGINES), 1) | {"e1": 40, "e2": 40}
    harness = make_harness(waiting, believed_at=NOW - 3.0, seed=seed)
    assert harness.search() not in ("e1", "e2")


@pytest.mark.parametrize("seed", range(8))
def test_engine_that_does_not_answer_is_not_used(seed: int) -> None:
    waiting = {e.id: None if e.id in ("e1", "e2") else 1 for e in ENGINES}
    harness = make_harness(waiting, believed_at=NOW - 3.0, seed=seed)
    assert harness.search() not in ("e1", "e2")


def test_engine_with_a_fresh_report_is_not_asked() -> None:
    harness = make_harness({}, believed_at=NOW - 0.1, seed=1)
    assert harness.search() is not None
    assert harness.asked == []


def test_best_of_the_engines_asked_is_used_if_all_are_worse_than_believed() -> None:
    waiting = {e.id: 30 + number for number, e in enumerate(ENGINES)}
    harness = make_harness(waiting, believed_at=NOW - 3.0, seed=1)
    assert harness.search() == min(harness.asked)
    assert len(harness.asked) == MAX_REPORTS_READ


def test_number_of_questions_is_limited_if_no_engine_answers() -> None:
    harness = make_harness(
        dict.fromkeys((e.id for e in ENGINES), None), believed_at=NOW - 3.0, seed=1
    )
    harness.search()
    assert len(harness.asked) == MAX_UNANSWERED


def test_silent_engine_is_chosen_no_more_often_than_the_others() -> None:
    """Five engines go on reporting the same load; the sixth stops."""
    view = EngineView(receives_all_peers=lambda: False)
    counts: collections.Counter[str] = collections.Counter()
    for engine in ENGINES:
        at = NOW - 6.0 if engine.id == "e0" else NOW
        view.apply_engine_report(engine.id, report(8), at)
    placement = Placement(
        view,
        EndpointHealth(),
        LoadTimes(fetch_s=0.25, reload_s=0.025, max_full_speed_fetches=8),
        failures=EngineFailures(),
        speeds=EngineSpeeds(),
        instance_count=lambda: 91,
        generator=random.Random(3),
    )
    for _ in range(300):
        choice = placement.choose_engine(ENGINES, CAPACITY, "m", None, 1_000.0, (), NOW)
        assert choice is not None
        counts[choice.engine.id] += 1
    assert counts["e0"] <= 300 / len(ENGINES)
