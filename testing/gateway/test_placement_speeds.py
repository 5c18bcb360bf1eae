"""Placement by learned speeds: slower engines get less, equal ones what they got."""

from __future__ import annotations

import collections
import random

import pytest

from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.placement import Choice
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.services.health import EndpointHealth
from testing.gateway.test_engine_speeds import make_engine

ENGINES = [make_engine(number) for number in range(6)]
CAPACITY = EngineCapacity(
    slots=16,
    cache_tokens=71_552,
    adapter_slots=10,
    models={"m": 100.0},
    memory_mb=150.0,
    model_loads_per_s=2.0,
)
NOW = 10.0
PROMPT_TOKENS = 1460.0
RUNNING = 5


def learn(factors: tuple[float, ...], seed: int = 1) -> EngineSpeeds:
    """Return speeds learned from pauses that chance changes a little."""
    speeds = EngineSpeeds()
    generator = random.Random(seed)
    for window in range(40):
        for engine, factor in zip(ENGINES, factors, strict=True):
            pause_s = 0.04 / factor * generator.uniform(0.97, 1.03)
            speeds.record_pauses(engine, pause_s, 5.0, 0.25, window / 4)
    return speeds


def make_placement(
    speeds: EngineSpeeds, *, receives_all_peers: bool, running: int = RUNNING
) -> tuple[Placement, EngineView]:
    view = EngineView(receives_all_peers=lambda: receives_all_peers)
    for engine in ENGINES:
        state = EngineStateUpdate(
            engine=engine.id,
            started=1,
            models=frozenset({"m"}),
            adapters=frozenset(),
            running=running,
            waiting=0,
            cache_used=0,
            age_s=0.0,
            told_s=0.0,
        )
        view.apply_coordinator_report("peer", state, NOW)
    placement = Placement(
        view,
        EndpointHealth(),
        LoadTimes(fetch_s=0.25, reload_s=0.025, max_full_speed_fetches=8),
        failures=EngineFailures(),
        speeds=speeds,
        instance_count=lambda: 81,
        generator=random.Random(1),
    )
    return placement, view


def choose(placement: Placement, adapter: int | None) -> Choice:
    named = None if adapter is None else (f"m/a{adapter}", 1)
    choice = placement.choose_engine(
        ENGINES, CAPACITY, "m", named, PROMPT_TOKENS, (), NOW
    )
    assert choice is not None
    return choice


@pytest.mark.parametrize("receives_all_peers", [True, False])
@pytest.mark.parametrize("adapter", [None, 1, 2])
def test_equal_engines_are_chosen_exactly_as_without_evidence(
    adapter: int | None, receives_all_peers: bool
) -> None:
    """Guards against an effect of chance where all engines are alike."""
    learned, _ = make_placement(
        learn((1.0,) * len(ENGINES)), receives_all_peers=receives_all_peers
    )
    without, _ = make_placement(EngineSpeeds(), receives_all_peers=receives_all_peers)
    for _ in range(50):
        assert choose(learned, adapter) == choose(without, adapter)


def test_wait_without_evidence_is_that_of_the_constants() -> None:
    """Guards against a change of the estimate where no speed is known."""
    placement, _ = make_placement(EngineSpeeds(), receives_all_peers=True)
    choice = choose(placement, None)
    assert choice.wait_s == PROMPT_TOKENS / 19_000.0 + 0.009 + 0.0004 * RUNNING
    assert choice.cost_s == choice.wait_s + RUNNING * 0.012


@pytest.mark.parametrize("factor", [0.4, 0.6])
@pytest.mark.parametrize("receives_all_peers", [True, False])
def test_slow_engine_gets_less_but_some(
    factor: float, receives_all_peers: bool
) -> None:
    """Guards against a slow engine that gets its full share, or is emptied."""
    speeds = learn((1.0, factor, 1.0, 1.0, 1.0, 1.0))
    placement, view = make_placement(
        speeds, receives_all_peers=receives_all_peers, running=0
    )
    counts: collections.Counter[str] = collections.Counter()
    generator = random.Random(2)
    running = []
    for _ in range(600):
        engine = choose(placement, None).engine
        counts[engine.id] += 1
        own = view.record_request_start(engine.id, None, PROMPT_TOKENS, NOW)
        own.has_first_event = True
        running.append(own)
        # Some eleven requests run at each engine.
        if len(running) > 66:
            view.record_request_end(running.pop(generator.randrange(len(running))))
    share = 600 / len(ENGINES)
    assert 0.1 * share <= counts["engine-1"] <= 0.9 * share


def test_choice_tells_the_speed_that_was_assumed() -> None:
    """Guards against a log line that tells another speed than placement used."""
    speeds = learn((0.6, 1.0, 1.0, 1.0, 1.0, 1.6))
    placement, _ = make_placement(speeds, receives_all_peers=True)
    choice = choose(placement, None)
    assert choice.engine.id == "engine-5"
    assert choice.speed == pytest.approx(1.6, rel=0.05)
