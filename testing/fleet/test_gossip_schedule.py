"""Exchanges per instance are bounded, and small fleets exchange all with all."""

from __future__ import annotations

import pytest

from chiveslip.fleet.gossip_schedule import GossipScheduleSettings
from chiveslip.fleet.gossip_schedule import schedule_for

SETTINGS = GossipScheduleSettings(
    interval_s=0.25,
    fan_out=6,
    heartbeat_timeout_s=1.5,
    batch_delay_s=0.35,
    max_watch_s=1.0,
)


@pytest.mark.parametrize("members", [1, 2, 6, 7])
def test_small_fleet_uses_the_settings_unchanged(members: int) -> None:
    schedule = schedule_for(members, SETTINGS)
    assert not schedule.relays_reports
    assert schedule.propagation_s == 0.0
    assert schedule.interval_s == SETTINGS.interval_s
    assert schedule.heartbeat_timeout_s == SETTINGS.heartbeat_timeout_s
    assert schedule.batch_delay_s == SETTINGS.batch_delay_s


@pytest.mark.parametrize("members", [8, 30, 81, 91, 300, 1000])
def test_large_fleet_asks_a_bounded_number_of_peers(members: int) -> None:
    schedule = schedule_for(members, SETTINGS)
    assert schedule.relays_reports
    assert schedule.fan_out / schedule.interval_s <= 6.0
    assert schedule.propagation_s < schedule.heartbeat_timeout_s


@pytest.mark.parametrize("members", [8, 30, 81, 300, 1000])
def test_store_is_read_often_enough_for_a_change_to_be_active_in_three_seconds(
    members: int,
) -> None:
    assert schedule_for(members, SETTINGS).batch_delay_s <= 1.5
