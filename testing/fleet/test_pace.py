"""A small fleet speaks all with all; a large one at a bounded cost for each."""

from __future__ import annotations

import pytest

from chiveslip.fleet.pace import PaceSettings
from chiveslip.fleet.pace import pace_of

SETTINGS = PaceSettings(
    interval_s=0.25, fan_out=6, silence_s=1.5, gather_s=0.35, watch_s=1.0
)


@pytest.mark.parametrize("members", [1, 2, 6, 7])
def test_small_fleet_keeps_the_settings(members: int) -> None:
    pace = pace_of(members, SETTINGS)
    assert not pace.relays
    assert pace.spread_s == 0.0
    assert pace.interval_s == SETTINGS.interval_s
    assert pace.silence_s == SETTINGS.silence_s
    assert pace.gather_s == SETTINGS.gather_s


@pytest.mark.parametrize("members", [8, 30, 81, 91, 300, 1000])
def test_large_fleet_asks_a_bounded_number_of_peers(members: int) -> None:
    pace = pace_of(members, SETTINGS)
    assert pace.relays
    assert pace.asked / pace.interval_s <= 6.0
    assert pace.spread_s < pace.silence_s


@pytest.mark.parametrize("members", [8, 30, 81, 300, 1000])
def test_change_is_read_within_the_three_seconds_of_a_configuration(
    members: int,
) -> None:
    assert pace_of(members, SETTINGS).gather_s <= 1.5
