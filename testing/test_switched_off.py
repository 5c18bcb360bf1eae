"""Switching a mechanism off turns named cells of the fault matrix red."""

from __future__ import annotations

import pytest

from testing.world.scenario import Cell
from testing.world.scenario import Moment
from testing.world.scenario import play
from testing.world.switches import SWITCHES

RED = {
    "no-self-fence": Cell("split-view", Moment.DISPATCH),
    "no-hold-off": Cell("split-view", Moment.DISPATCH),
    "resend-allowed": Cell("endpoint-crash", Moment.HAND_OVER),
    "no-record": Cell("cold-restart", Moment.ACCEPT),
    "reserve-off": Cell("cold-restart", Moment.ACCEPT),
    "revert-allowed": Cell("configuration-stale", Moment.DISPATCH),
    "unload-without-count": Cell("cold-restart", Moment.DISPATCH),
    "withdrawal-ignored": Cell("key-withdrawn", Moment.MID_STREAM),
    "no-drain": Cell("configuration-down", Moment.STOP),
    "leaving-ignored": Cell("endpoint-leaving", Moment.ACCEPT),
    "end-marker-ignored": Cell("endpoint-crash", Moment.MID_STREAM),
    "resume-from-start": Cell("silent-connection", Moment.MID_STREAM),
    "not-run-unproved": Cell("crossed-answer", Moment.ACCEPT),
    "suspects-forgotten": Cell("poison-request", Moment.ACCEPT),
    "echo-ignored": Cell("crossed-answer", Moment.DISPATCH),
}


def test_every_switch_has_its_cell() -> None:
    assert RED.keys() == SWITCHES.keys()


@pytest.mark.parametrize("name", sorted(SWITCHES))
def test_cell_is_red_with_the_mechanism_off(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert play([RED[name]]).violations == []
    SWITCHES[name](monkeypatch)
    assert play([RED[name]]).violations != []
