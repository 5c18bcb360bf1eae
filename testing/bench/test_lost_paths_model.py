"""What callers get at instances that lose their paths to all endpoints."""

from __future__ import annotations

import pytest

from bench.lost_paths import EARLY_GOAL
from bench.lost_paths import GOAL
from bench.lost_paths import Cut
from bench.lost_paths import Scenario
from bench.lost_paths import play


@pytest.mark.parametrize("instances", [6, 91])
@pytest.mark.parametrize("cut", list(Cut))
@pytest.mark.parametrize("cut_share", [0.0, 1 / 3, 2 / 3])
def test_callers_of_instances_without_paths_are_served(
    instances: int, cut: Cut, cut_share: float
) -> None:
    result = play(Scenario(instances=instances, cut=cut, cut_share=cut_share))
    assert result.early.share >= EARLY_GOAL * result.others.share
    assert result.later.share >= GOAL * result.others.share
    assert result.after.share >= GOAL


def test_callers_are_not_served_without_handovers() -> None:
    result = play(Scenario(instances=6, cut_share=1 / 3, hands_over=False))
    assert result.later.share < 2 / 3 * result.others.share
