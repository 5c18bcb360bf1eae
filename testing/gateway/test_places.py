"""An engine is never ordered to hold more than it has places for."""

from __future__ import annotations

import pytest

from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.places import REPORT_LAG_S
from chiveslip.gateway.places import AdapterPlaces

A, B, C = ("m/a", 1), ("m/b", 1), ("m/c", 1)


def report(*adapters: tuple[str, int], coming: tuple = ()) -> EngineReport:
    return EngineReport(
        started=1,
        orders=0,
        models=frozenset({"m"}),
        adapters=frozenset(adapters),
        coming=frozenset(coming),
        running=0,
        waiting=0,
        cache_used=0,
    )


@pytest.mark.parametrize(
    ("read_at", "held"),
    [
        pytest.param(10.2, {A}, id="report-may-be-older-than-the-order"),
        pytest.param(10.0 + REPORT_LAG_S + 0.1, set(), id="the-order-came-to-nothing"),
    ],
)
def test_ordered_adapter_keeps_its_place(read_at: float, held: set) -> None:
    places = AdapterPlaces()
    places.ordered(A, 10.0, 10.25)
    places.reported(report(), read_at)
    assert places.adapters == held


def test_adapter_on_its_way_takes_a_place() -> None:
    places = AdapterPlaces()
    places.reported(report(A, coming=(B,)), 1.0)
    assert len(places) == 2


def test_unloaded_adapter_is_not_brought_back_by_an_old_report() -> None:
    places = AdapterPlaces()
    places.reported(report(A), 1.0)
    places.unloaded(A, 2.0)
    places.reported(report(A), 2.1)
    assert len(places) == 0
    places.reported(report(A), 2.0 + REPORT_LAG_S + 0.1)
    assert len(places) == 1


@pytest.mark.parametrize(
    ("in_use", "now", "victim"),
    [
        pytest.param(set(), 20.0, A, id="least-recently-used"),
        pytest.param({A}, 20.0, B, id="never-one-in-use"),
        pytest.param({A, B, C}, 20.0, None, id="none-is-idle"),
        pytest.param(set(), 5.3, A, id="never-one-just-used"),
        pytest.param({A}, 5.3, None, id="others-were-just-used"),
    ],
)
def test_victim(in_use: set, now: float, victim: object) -> None:
    places = AdapterPlaces()
    places.reported(report(A, B, C), 1.0)
    places.used({A}, 2.0)
    places.used({B, C}, 5.0)
    assert places.victim(in_use, now) == victim
