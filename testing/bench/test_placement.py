"""Placement of thousands of adapters, compared with baselines and the targets."""

from __future__ import annotations

import pytest

from bench import placement
from bench.placement import Load
from bench.placement import Result

USUAL = Load(rate=57.0)
HEAVY = Load(rate=100.0)


def run_policy(load: Load, policy: str, seed: int) -> Result:
    requests = placement.generate_arrivals(load, seed)
    return placement.Simulation(load, placement.POLICIES[policy]).run(requests)


@pytest.mark.parametrize("seed", [placement.SEED, 1, 2])
@pytest.mark.parametrize("load", [USUAL, HEAVY], ids=["usual", "heavy"])
def test_fetches_are_at_most_1_25_times_the_minimum(load: Load, seed: int) -> None:
    minimum = placement.count_minimum_fetches(placement.generate_arrivals(load, seed))
    assert run_policy(load, "chiveslip", seed).fetches <= 1.25 * minimum


@pytest.mark.parametrize("seed", [placement.SEED, 1, 2])
@pytest.mark.parametrize("load", [USUAL, HEAVY], ids=["usual", "heavy"])
@pytest.mark.parametrize(
    "baseline", ["random + LRU", "consistent hash + LRU", "least loaded + LRU"]
)
def test_p99_first_token_is_sooner_than_with_each_baseline(
    load: Load, seed: int, baseline: str
) -> None:
    chiveslip = placement.first_token_p99_s(run_policy(load, "chiveslip", seed))
    assert chiveslip < placement.first_token_p99_s(run_policy(load, baseline, seed))


@pytest.mark.parametrize("load", [USUAL, HEAVY], ids=["usual", "heavy"])
def test_worst_organisation_p99_is_at_most_1_5_times_the_median(load: Load) -> None:
    result = run_policy(load, "chiveslip", placement.SEED)
    assert placement.worst_p99_ratio(result) <= 1.5


def test_at_most_1_in_1000_requests_is_refused_under_the_usual_load() -> None:
    result = run_policy(USUAL, "chiveslip", placement.SEED)
    assert result.refused <= 0.001 * result.requests


def test_same_seed_gives_the_same_result() -> None:
    assert run_policy(USUAL, "chiveslip", 5) == run_policy(USUAL, "chiveslip", 5)
