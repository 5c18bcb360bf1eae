"""Placing under the load of thousands of adapters, against baselines and the goals."""

from __future__ import annotations

import pytest

from bench import placement
from bench.placement import Load
from bench.placement import Result

CALM = Load(rate=57.0)
HEAVY = Load(rate=100.0)


def play(load: Load, policy: str, seed: int) -> Result:
    requests = placement.arrivals(load, seed)
    return placement.Simulation(load, placement.POLICIES[policy]).play(requests)


@pytest.mark.parametrize("seed", [placement.SEED, 1, 2])
@pytest.mark.parametrize("load", [CALM, HEAVY], ids=["calm", "heavy"])
def test_fetches_are_within_a_quarter_of_the_clairvoyants(
    load: Load, seed: int
) -> None:
    least = placement.fewest_fetches(placement.arrivals(load, seed))
    assert play(load, "chiveslip", seed).fetches <= 1.25 * least


@pytest.mark.parametrize("seed", [placement.SEED, 1, 2])
@pytest.mark.parametrize("load", [CALM, HEAVY], ids=["calm", "heavy"])
@pytest.mark.parametrize(
    "baseline", ["random + LRU", "consistent hash + LRU", "least loaded + LRU"]
)
def test_first_tokens_come_sooner_than_with_a_baseline(
    load: Load, seed: int, baseline: str
) -> None:
    ours = placement.first_p99(play(load, "chiveslip", seed))
    assert ours < placement.first_p99(play(load, baseline, seed))


@pytest.mark.parametrize("load", [CALM, HEAVY], ids=["calm", "heavy"])
def test_worst_served_organisation_is_near_the_median(load: Load) -> None:
    result = play(load, "chiveslip", placement.SEED)
    assert placement.worst_p99(result) <= 1.5


def test_nothing_is_refused_for_want_of_a_place_on_a_calm_day() -> None:
    result = play(CALM, "chiveslip", placement.SEED)
    assert result.refused <= 0.001 * result.requests


def test_the_same_seed_plays_the_same() -> None:
    assert play(CALM, "chiveslip", 5) == play(CALM, "chiveslip", 5)
