"""Invariants hold under each fault at each injection point."""

from __future__ import annotations

import pytest

from testing.simulation.faults import FAULTS
from testing.simulation.scenario import Cell
from testing.simulation.scenario import InjectionPoint
from testing.simulation.scenario import run_scenario

CELLS = [
    Cell(fault, injection_point)
    for fault in FAULTS
    for injection_point in InjectionPoint
]


@pytest.mark.parametrize("cell", CELLS, ids=str)
def test_invariants_hold(cell: Cell) -> None:
    result = run_scenario([cell])
    assert result.injected == [str(cell)]
    assert result.violations == []
