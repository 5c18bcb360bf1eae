"""Engine failures: an engine that is well by its reports and fails its requests."""

from __future__ import annotations

import attrs
import pytest

from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.settings.fields import Address

ENGINE = ListedEndpoint(
    id="engine",
    service="llm",
    address=Address("10.0.0.1", 1),
    data_centre="here",
    slots=64,
    state=EndpointState.READY,
    started=1,
)
INSTANCES, ENGINES = 91, 30
# Two requests a second of each instance: six a second at each engine.
OWN_RATE = 2


def make_failures(now: float) -> EngineFailures:
    failures = EngineFailures()
    for tenth in range(100):
        if tenth % (10 // OWN_RATE) == 0:
            failures.record_request(now - 10.0 + tenth / 10)
    return failures


@pytest.mark.parametrize(
    ("failed", "least", "most"),
    [
        pytest.param(0, 0.0, 0.0, id="none"),
        pytest.param(1, 0.0, 0.0, id="one-by-chance"),
        pytest.param(18, 0.8, 1.0, id="all"),
        pytest.param(8, 0.3, 0.6, id="four-in-ten"),
    ],
)
def test_failures_at_other_instances_show_an_engine_that_fails_its_requests(
    failed: int, least: float, most: float
) -> None:
    failures = make_failures(10.0)
    for number in range(failed):
        failures.apply_peer_failures(f"peer-{number}", {("engine", 1): 1.0}, 10.0)
    share = failures.failing_share(ENGINE, INSTANCES, ENGINES, 10.0)
    assert least <= share <= most


def test_failures_before_a_restart_do_not_count() -> None:
    failures = make_failures(10.0)
    for _ in range(9):
        failures.record_failure(ENGINE, 10.0)
    restarted = attrs.evolve(ENGINE, started=2)
    assert failures.failing_share(ENGINE, INSTANCES, ENGINES, 10.0) > 0.3
    assert failures.failing_share(restarted, INSTANCES, ENGINES, 10.0) == 0.0


def test_failures_are_forgotten_within_seconds() -> None:
    failures = make_failures(10.0)
    for _ in range(9):
        failures.record_failure(ENGINE, 10.0)
    assert failures.failing_share(ENGINE, INSTANCES, ENGINES, 15.0) == 0.0
    assert failures.own_failures(25.0) == {}


def test_newer_report_of_a_peer_replaces_its_older_one() -> None:
    failures = make_failures(10.0)
    failures.apply_peer_failures("peer", {("engine", 1): 9.0}, 10.0)
    failures.apply_peer_failures("peer", {}, 10.0)
    assert failures.failing_share(ENGINE, INSTANCES, ENGINES, 10.0) == 0.0
