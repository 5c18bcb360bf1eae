"""Placement in a large deployment with engine reports that are seconds old."""

from __future__ import annotations

import pytest

from bench.stale_placement import LargeDeployment
from bench.stale_placement import StalePlacementSimulation

# The users' target for the time to the first token.
FIRST_TOKEN_TARGET_S = 0.808


@pytest.mark.parametrize("seed", [1, 20261204])
def test_p95_of_first_token_is_within_the_target(seed: int) -> None:
    first_token_s = StalePlacementSimulation(LargeDeployment(), seed).run()
    assert first_token_s[int(len(first_token_s) * 0.95)] <= FIRST_TOKEN_TARGET_S
