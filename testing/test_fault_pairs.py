"""Invariants hold under random pairs of faults and under a repeated fault."""

from __future__ import annotations

import random

import pytest

from testing.simulation.faults import FAULTS
from testing.simulation.scenario import Cell
from testing.simulation.scenario import InjectionPoint
from testing.simulation.scenario import run_scenario

SEED = 20261204
PAIR_COUNT = 300


def _draw_pairs() -> list[tuple[Cell, Cell]]:
    generator = random.Random(SEED)
    cells = [
        Cell(fault, injection_point)
        for fault in FAULTS
        for injection_point in InjectionPoint
    ]
    pairs = [tuple(generator.sample(cells, 2)) for _ in range(PAIR_COUNT)]
    return [(first, second) for first, second in pairs]


def _repeat_faults() -> list[tuple[Cell, Cell]]:
    return [
        (Cell(fault, InjectionPoint.DISPATCH), Cell(fault, InjectionPoint.MID_STREAM))
        for fault in FAULTS
    ]


@pytest.mark.parametrize(
    ("first", "second"),
    _draw_pairs() + _repeat_faults(),
    ids=lambda cell: str(cell),
)
def test_invariants_hold_under_two_faults(first: Cell, second: Cell) -> None:
    result = run_scenario([first, second])
    assert str(first) in result.injected or str(second) in result.injected
    assert result.violations == []
