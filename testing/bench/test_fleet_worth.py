"""What a large fleet earns when engines or the knowledge about them fail.

Each instance sees a hundredth of the requests and chooses engines from reports that
are seconds old, wrong or missing. Too many requests at the engines of which nothing
is known, or at those that do not answer, cost worth although the others have room.
"""

from __future__ import annotations

import pytest

from bench.fleet_worth import SCENARIOS
from bench.fleet_worth import SEEDS
from bench.simulated_fleet import Scenario
from bench.simulated_fleet import simulate


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_no_data_centre_or_class_earns_less_than_its_floor(
    scenario: Scenario, seed: int
) -> None:
    result = simulate(scenario, seed)
    worst_data_centre = min(result.earned_by_data_centre().values())
    worst_class = min(result.earned_by_class().values())
    assert worst_data_centre >= scenario.data_centre_floor
    assert worst_class >= scenario.class_floor
