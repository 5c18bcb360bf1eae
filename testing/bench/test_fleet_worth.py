"""What a large fleet earns when engines or the knowledge about them fail.

Each instance sees a hundredth of the requests and chooses engines from reports that
are seconds old, wrong or missing. Too many requests at the engines of which nothing
is known, at those that do not answer, or at those that looked idle a second ago cost
worth although the others have room.
"""

from __future__ import annotations

import functools
import math

import pytest

from bench.fleet_worth import CALM
from bench.fleet_worth import NO_FAULT
from bench.fleet_worth import SCENARIOS
from bench.fleet_worth import SEEDS
from bench.fleet_worth import SPEED_SCENARIOS
from bench.simulated_fleet import FleetResult
from bench.simulated_fleet import Outcome
from bench.simulated_fleet import Scenario
from bench.simulated_fleet import simulate
from testing.bench.test_stale_placement import FIRST_TOKEN_TARGET_S


@functools.cache
def run_once(scenario: Scenario, seed: int) -> FleetResult:
    return simulate(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_no_data_centre_or_class_earns_less_than_its_floor(
    scenario: Scenario, seed: int
) -> None:
    result = run_once(scenario, seed)
    worst_data_centre = min(result.earned_by_data_centre().values())
    worst_class = min(result.earned_by_class().values())
    assert worst_data_centre >= scenario.data_centre_floor
    assert worst_class >= scenario.class_floor


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("scenario", [CALM, NO_FAULT], ids=lambda s: s.name)
def test_requests_do_not_wait_at_few_engines_while_others_have_room(
    scenario: Scenario, seed: int
) -> None:
    first_event_s = sorted(
        math.inf if result.first_event_s is None else result.first_event_s
        for result in run_once(scenario, seed).requests
    )
    assert first_event_s[int(len(first_event_s) * 0.95)] <= FIRST_TOKEN_TARGET_S


def test_learned_speeds_earn_more_where_engines_differ() -> None:
    """Guards against evidence of speeds that placement does not use, or uses wrongly.

    In a trial 0.126 more was earned, and the 95th percentile of first events fell from
    1.11 to 0.77 s.
    """
    scenarios = {scenario.name: scenario for scenario in SPEED_SCENARIOS}
    learned, unlearned = (
        run_once(scenarios[name], SEEDS[0])
        for name in ("mixed-speeds", "mixed-speeds-unlearned")
    )
    assert learned.earned_share >= unlearned.earned_share + 0.05
    assert learned.share_with(Outcome.FAILED) <= unlearned.share_with(Outcome.FAILED)
