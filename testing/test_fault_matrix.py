"""Every fault at every step: the invariants of the brief hold in each cell."""

from __future__ import annotations

import pytest

from testing.world.faults import FAULTS
from testing.world.scenario import Cell
from testing.world.scenario import Moment
from testing.world.scenario import play

CELLS = [Cell(fault, moment) for fault in FAULTS for moment in Moment]


@pytest.mark.parametrize("cell", CELLS, ids=str)
def test_invariants_hold(cell: Cell) -> None:
    outcome = play([cell])
    assert outcome.happened == [str(cell)]
    assert outcome.violations == []
