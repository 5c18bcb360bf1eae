"""Pairs of faults, drawn with a fixed seed, and the same fault twice."""

from __future__ import annotations

import random

import pytest

from testing.world.faults import FAULTS
from testing.world.scenario import Cell
from testing.world.scenario import Moment
from testing.world.scenario import play

SEED = 20261204
DRAWS = 300


def _draw() -> list[tuple[Cell, Cell]]:
    generator = random.Random(SEED)
    cells = [Cell(fault, moment) for fault in FAULTS for moment in Moment]
    pairs = [tuple(generator.sample(cells, 2)) for _ in range(DRAWS)]
    return [(first, second) for first, second in pairs]


def _twice() -> list[tuple[Cell, Cell]]:
    return [
        (Cell(fault, Moment.DISPATCH), Cell(fault, Moment.MID_STREAM))
        for fault in FAULTS
    ]


@pytest.mark.parametrize(
    ("first", "second"),
    _draw() + _twice(),
    ids=lambda cell: str(cell),
)
def test_invariants_hold_under_two_faults(first: Cell, second: Cell) -> None:
    outcome = play([first, second])
    assert str(first) in outcome.happened or str(second) in outcome.happened
    assert outcome.violations == []
