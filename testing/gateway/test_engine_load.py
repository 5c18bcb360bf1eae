"""Engine load: old and missing reports never make an engine look idle."""

from __future__ import annotations

import pytest

from chiveslip.gateway.engine_load import EngineLoad
from chiveslip.gateway.engine_load import EngineLoads

MEAN_RUNNING = 20.0


@pytest.fixture
def loads() -> EngineLoads:
    """Return the loads of nine engines with a mean of `MEAN_RUNNING` at 10 s."""
    loads = EngineLoads()
    for number in range(9):
        running = MEAN_RUNNING + number - 4
        loads.record_report(f"e{number}", EngineLoad(running=running), 10.0)
    return loads


@pytest.mark.parametrize(
    ("reported_at", "least", "most"),
    [
        pytest.param(None, MEAN_RUNNING, 24.0, id="never-reported"),
        pytest.param(3.0, MEAN_RUNNING, 24.0, id="silent-for-seven-seconds"),
        pytest.param(8.0, 15.0, MEAN_RUNNING, id="two-seconds-old"),
        pytest.param(10.0, 10.0, 10.0, id="fresh"),
    ],
)
def test_silent_engine_is_not_taken_for_idle(
    loads: EngineLoads, reported_at: float | None, least: float, most: float
) -> None:
    if reported_at is not None:
        loads.record_report("engine", EngineLoad(running=10.0), reported_at)
    assert least <= loads.estimate("engine", 10.0).running <= most


def test_engine_that_reports_no_requests_is_taken_for_half_loaded(
    loads: EngineLoads,
) -> None:
    loads.record_report("engine", EngineLoad(), 10.0)
    assert loads.estimate("engine", 10.0).running == pytest.approx(9.0)


def test_older_report_does_not_replace_a_newer_one(loads: EngineLoads) -> None:
    loads.record_report("engine", EngineLoad(running=30.0), 10.0)
    loads.record_report("engine", EngineLoad(running=1.0), 9.9)
    assert loads.estimate("engine", 10.0).running == pytest.approx(30.0)


def test_load_is_zero_while_no_engine_has_reported() -> None:
    assert EngineLoads().estimate("engine", 10.0) == EngineLoad()
