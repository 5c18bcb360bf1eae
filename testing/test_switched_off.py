"""The fault matrix detects each disabled mechanism in a named cell."""

from __future__ import annotations

import pytest

from testing.simulation.scenario import Cell
from testing.simulation.scenario import InjectionPoint
from testing.simulation.scenario import run_scenario
from testing.simulation.switches import SWITCHES

DETECTING_CELLS = {
    "no-self-fence": [Cell("split-view", InjectionPoint.DISPATCH)],
    "no-hold-off": [Cell("split-view", InjectionPoint.DISPATCH)],
    "resend-allowed": [Cell("endpoint-crash", InjectionPoint.HAND_OVER)],
    "no-record": [Cell("cold-restart", InjectionPoint.ACCEPT)],
    "reserve-off": [Cell("cold-restart", InjectionPoint.ACCEPT)],
    "revert-allowed": [
        Cell("configuration-stale", InjectionPoint.DISPATCH),
        Cell("configuration-returned", InjectionPoint.DISPATCH),
    ],
    "unload-without-count": [Cell("cold-restart", InjectionPoint.DISPATCH)],
    "withdrawal-ignored": [Cell("key-withdrawn", InjectionPoint.MID_STREAM)],
    "no-drain": [Cell("configuration-down", InjectionPoint.STOP)],
    "leaving-ignored": [Cell("endpoint-leaving", InjectionPoint.ACCEPT)],
    "end-marker-ignored": [Cell("endpoint-crash", InjectionPoint.MID_STREAM)],
    "resume-from-start": [Cell("silent-connection", InjectionPoint.MID_STREAM)],
    "not-run-unproved": [Cell("crossed-answer", InjectionPoint.ACCEPT)],
    "suspects-forgotten": [Cell("poison-request", InjectionPoint.ACCEPT)],
    "echo-ignored": [Cell("crossed-answer", InjectionPoint.DISPATCH)],
    "any-end-accepted": [Cell("responses-cut", InjectionPoint.DISPATCH)],
    "bound-per-piece": [Cell("responses-endless", InjectionPoint.DISPATCH)],
}


def test_every_switch_has_a_detecting_cell() -> None:
    assert DETECTING_CELLS.keys() == SWITCHES.keys()


@pytest.mark.parametrize(
    ("name", "cell"),
    [(name, cell) for name in sorted(SWITCHES) for cell in DETECTING_CELLS[name]],
    ids=str,
)
def test_cell_detects_disabled_mechanism(
    name: str, cell: Cell, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert run_scenario([cell]).violations == []
    SWITCHES[name](monkeypatch)
    assert run_scenario([cell]).violations != []
