"""Invariants hold under random pairs of faults and under a repeated fault."""

from __future__ import annotations

import random
from collections.abc import Iterable

import pytest

from testing.simulation.faults import FAULTS
from testing.simulation.scenario import Cell
from testing.simulation.scenario import InjectionPoint
from testing.simulation.scenario import run_scenario

SEED = 20261204
PAIR_COUNT = 300
# Drawn apart, so that the pairs of the other faults stay the same.
RESPONSE_FAULTS = ("responses-cut", "responses-endless")
RESPONSE_PAIR_COUNT = 60
RETURN_FAULTS = ("configuration-returned",)
RETURN_PAIR_COUNT = 40


def _list_cells(faults: Iterable[str]) -> list[Cell]:
    return [
        Cell(fault, injection_point)
        for fault in faults
        for injection_point in InjectionPoint
    ]


def _draw_pairs() -> list[tuple[Cell, Cell]]:
    generator = random.Random(SEED)
    drawn_apart = RESPONSE_FAULTS + RETURN_FAULTS
    cells = _list_cells(fault for fault in FAULTS if fault not in drawn_apart)
    pairs = [tuple(generator.sample(cells, 2)) for _ in range(PAIR_COUNT)]
    return [(first, second) for first, second in pairs]


def _draw_response_pairs() -> list[tuple[Cell, Cell]]:
    generator = random.Random(SEED)
    response_cells = _list_cells(RESPONSE_FAULTS)
    cells = _list_cells(fault for fault in FAULTS if fault not in RETURN_FAULTS)
    return [
        (generator.choice(response_cells), generator.choice(cells))
        for _ in range(RESPONSE_PAIR_COUNT)
    ]


def _draw_return_pairs() -> list[tuple[Cell, Cell]]:
    generator = random.Random(SEED)
    return_cells, cells = _list_cells(RETURN_FAULTS), _list_cells(FAULTS)
    return [
        (generator.choice(return_cells), generator.choice(cells))
        for _ in range(RETURN_PAIR_COUNT)
    ]


def _repeat_faults() -> list[tuple[Cell, Cell]]:
    return [
        (Cell(fault, InjectionPoint.DISPATCH), Cell(fault, InjectionPoint.MID_STREAM))
        for fault in FAULTS
    ]


@pytest.mark.parametrize(
    ("first", "second"),
    _draw_pairs() + _draw_response_pairs() + _draw_return_pairs() + _repeat_faults(),
    ids=lambda cell: str(cell),
)
def test_invariants_hold_under_two_faults(first: Cell, second: Cell) -> None:
    result = run_scenario([first, second])
    assert str(first) in result.injected or str(second) in result.injected
    assert result.violations == []
