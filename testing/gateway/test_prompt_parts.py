"""Engines that keep parts of prompts: the table, and the choices from it."""

from __future__ import annotations

import collections
import random

import attrs
import pytest

from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.prompt_parts import Prompt
from chiveslip.gateway.prompt_parts import PromptPart
from chiveslip.gateway.prompt_parts import PromptParts
from chiveslip.gateway.prompt_parts import describe_prompt
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address

ADAPTER: Adapter = ("m/a", 1)
NOW = 100.0
CAPACITY = EngineCapacity(
    slots=16,
    cache_tokens=71_552,
    adapter_slots=10,
    models={"m": 1.0},
    memory_mb=1.0,
    model_loads_per_s=1.0,
)


def engine(name: str, started: int = 1) -> ListedEndpoint:
    return ListedEndpoint(
        id=name,
        service="llm",
        address=Address("127.0.0.1", 1),
        data_centre="one",
        slots=16,
        state=EndpointState.READY,
        started=started,
        models=("m",),
    )


ENGINES = [engine(f"e{number}") for number in range(6)]


def prompt(*parts: str, adapter: Adapter = ADAPTER) -> Prompt:
    """Return a prompt of parts of 100 tokens each."""
    return describe_prompt("m", adapter, [PromptPart(part, 100) for part in parts])


@pytest.mark.parametrize(
    ("parts", "adapter", "tokens"),
    [
        pytest.param(("s", "t", "own"), ADAPTER, 300, id="the-same-request"),
        pytest.param(("s", "t", "other"), ADAPTER, 200, id="the-shared-parts"),
        pytest.param(("s", "x", "own"), ADAPTER, 100, id="a-later-part-differs"),
        pytest.param(("x", "t", "own"), ADAPTER, 0, id="the-first-part-differs"),
        pytest.param(("t", "s"), ADAPTER, 0, id="another-order"),
        pytest.param(("st", "own"), ADAPTER, 0, id="ids-that-join-alike"),
        pytest.param(("s", "t", "own"), ("m/b", 1), 0, id="another-adapter"),
        pytest.param(("s", "t", "own"), ("m/a", 2), 0, id="another-version"),
        pytest.param((), ADAPTER, 0, id="no-parts"),
    ],
)
def test_part_counts_only_with_all_parts_before_it_and_its_adapter(
    parts: tuple[str, ...], adapter: Adapter, tokens: float
) -> None:
    """Guards against counting on parts that the engine would prefill again."""
    table = PromptParts()
    table.record_sent(ENGINES[0], prompt("s", "t", "own"), NOW)
    searched = prompt(*parts, adapter=adapter)
    assert table.cached_tokens(ENGINES[0], searched, NOW) == tokens
    assert table.cached_tokens(ENGINES[1], searched, NOW) == 0


def test_restarted_engine_keeps_nothing() -> None:
    """Guards against sending to an empty engine for parts it lost."""
    table = PromptParts()
    table.record_sent(engine("e0", started=1), prompt("s", "own"), NOW)
    assert table.cached_tokens(engine("e0", started=2), prompt("s", "own"), NOW) == 0
    table.record_sent(engine("e0", started=2), prompt("t", "own"), NOW)
    assert table.cached_tokens(engine("e0", started=2), prompt("s", "own"), NOW) == 0
    table.forget_engine("e0")
    assert table.cached_tokens(engine("e0", started=2), prompt("t", "own"), NOW) == 0


def test_request_that_did_not_run_leaves_no_parts() -> None:
    """Guards against counting on parts that an engine refused."""
    table = PromptParts()
    table.record_sent(ENGINES[0], prompt("s", "own"), NOW)
    table.record_end(ENGINES[0], prompt("s", "own"), NOW, has_run=False)
    assert table.cached_tokens(ENGINES[0], prompt("s", "own"), NOW) == 0


def test_evidence_fades_and_a_use_renews_it() -> None:
    table = PromptParts()
    table.record_sent(ENGINES[0], prompt("s", "own"), NOW)
    faded = table.cached_tokens(ENGINES[0], prompt("s", "own"), NOW + 20.0)
    assert 0 < faded < 60
    table.record_end(ENGINES[0], prompt("s", "own"), NOW + 20.0, has_run=True)
    assert table.cached_tokens(ENGINES[0], prompt("s", "own"), NOW + 20.0) == 200


def test_table_is_bounded() -> None:
    """Guards against memory that grows with the sessions that were ever seen."""
    table = PromptParts()
    for number in range(2_000):
        table.record_sent(ENGINES[0], prompt("s", f"{number}"), NOW)
    first = table.cached_tokens(ENGINES[0], prompt("s", "0"), NOW)
    last = table.cached_tokens(ENGINES[0], prompt("s", "1999"), NOW)
    assert (first, last) == (100, 200)


@attrs.define
class Instance:
    """Placement of one instance of a large fleet, all of whose engines hold ADAPTER."""

    view: EngineView
    placement: Placement

    def choose(self, searched: Prompt | None, now: float = NOW) -> str:
        self.placement.record_request(ADAPTER, 1_000.0, now, searched)
        choice = self.placement.choose_engine(
            ENGINES, CAPACITY, "m", ADAPTER, 1_000.0, (), now, searched
        )
        assert choice is not None
        return choice.engine.id


def make_instance(seed: int, running: dict[str, int] | None = None) -> Instance:
    view = EngineView(receives_all_peers=lambda: False)
    for listed in ENGINES:
        report = EngineReport(
            started=1,
            accepted_orders=0,
            models=frozenset({"m"}),
            adapters=frozenset({ADAPTER}),
            loading_adapters=frozenset(),
            running=(running or {}).get(listed.id, 2),
            waiting=0,
            cache_used=0,
        )
        view.update_engine(listed.id, 1, report.models, report.adapters, NOW)
        view.apply_engine_report(listed.id, report, NOW)
    placement = Placement(
        view,
        EndpointHealth(),
        LoadTimes(fetch_s=0.25, reload_s=0.025, max_full_speed_fetches=8),
        failures=EngineFailures(),
        speeds=EngineSpeeds(),
        instance_count=lambda: 81,
        generator=random.Random(seed),
    )
    return Instance(view, placement)


def test_instances_agree_on_the_engine_for_a_part_without_messages() -> None:
    """Guards against instances that each prefill the same part at another engine."""
    for part in ("s", "t", "u", "v"):
        chosen = {make_instance(seed).choose(prompt(part, "own")) for seed in range(81)}
        assert len(chosen) == 1


def test_parts_of_one_adapter_spread_over_the_engines_that_hold_it() -> None:
    chosen = collections.Counter(
        make_instance(1).choose(prompt(f"{part}", "own")) for part in range(60)
    )
    assert len(chosen) >= 2


def test_crowded_engine_is_not_chosen_for_its_parts() -> None:
    """Guards against a wait that is longer than the prefill saved."""
    favourite = make_instance(1).choose(prompt("s", "own"))
    busy = make_instance(1, running={favourite: 30})
    assert busy.choose(prompt("s", "own")) != favourite


def test_demand_for_a_part_spreads_it() -> None:
    """Guards against one engine for a part that needs more."""
    instance = make_instance(1)
    chosen = {
        instance.choose(prompt("s", f"{number}"), NOW + number * 0.01)
        for number in range(60)
    }
    assert len(chosen) >= 3


def test_session_returns_to_the_engine_that_keeps_it() -> None:
    """Guards against a session whose own part is prefilled again in each turn."""
    first = make_instance(1).choose(prompt("s", "session"))
    other = next(e for e in ENGINES if e.id != first)
    for part, expected in (("session", other.id), ("new", first)):
        instance = make_instance(1)
        parts = instance.placement.prompt_parts
        parts.record_sent(other, prompt("s", "session"), NOW)
        assert instance.choose(prompt("s", part)) == expected


@pytest.mark.parametrize("receives_all_peers", [True, False])
def test_choices_without_parts_are_those_of_before(*, receives_all_peers: bool) -> None:
    """Guards against an influence on routes without sessions."""

    def run(*, keeps_parts: bool) -> list[str]:
        instance = make_instance(7)
        instance.view._receives_all_peers = lambda: receives_all_peers
        if keeps_parts:
            for listed in ENGINES:
                instance.placement.prompt_parts.record_sent(
                    listed, prompt("s", "own"), NOW
                )
        return [instance.choose(None, NOW + number * 0.1) for number in range(50)]

    assert run(keeps_parts=True) == run(keeps_parts=False)
