"""Tests that endpoint health follows from requests, not from health checks."""

from __future__ import annotations

import pytest

from chiveslip.services.health import MAX_BACKOFF_S
from chiveslip.services.health import MIN_BACKOFF_S
from chiveslip.services.health import TRIAL_S
from chiveslip.services.health import EndpointHealth


@pytest.mark.parametrize(
    ("failures", "backoff_s"),
    [
        pytest.param(1, MIN_BACKOFF_S, id="once"),
        pytest.param(2, 2 * MIN_BACKOFF_S, id="twice"),
        pytest.param(3, 4 * MIN_BACKOFF_S, id="three-times"),
        pytest.param(20, MAX_BACKOFF_S, id="for-long"),
    ],
)
def test_backoff_doubles_with_each_consecutive_failure(
    failures: int, backoff_s: float
) -> None:
    health = EndpointHealth()
    for _ in range(failures):
        health.record_failure("endpoint", 0.0, is_unreachable=True)
    assert not health.is_available("endpoint", backoff_s - 0.01)
    assert health.is_available("endpoint", backoff_s)


@pytest.mark.parametrize(
    ("began_at", "backoff_s"),
    [
        pytest.param([0.0] * 10, MIN_BACKOFF_S, id="tried at the same time"),
        pytest.param([0.0, 1.5], 2 * MIN_BACKOFF_S, id="tried again"),
        pytest.param([0.0, 1.5, 0.2, 1.0], 2 * MIN_BACKOFF_S, id="in another order"),
    ],
)
def test_short_silence_costs_one_backoff_however_many_connections_hang(
    began_at: list[float], backoff_s: float
) -> None:
    health = EndpointHealth()
    failed_at = 0.0
    for began in began_at:
        failed_at = max(failed_at, began + 1.0)
        health.record_failure(
            "endpoint", failed_at, is_unreachable=True, began_at=began
        )
    assert not health.is_available("endpoint", failed_at)
    assert health.is_available("endpoint", failed_at + backoff_s)


def test_one_request_at_a_time_tries_an_endpoint_that_could_not_be_reached() -> None:
    health = EndpointHealth()
    health.begin_trial("endpoint", 0.0)
    assert health.is_available("endpoint", 0.0)
    health.record_failure("endpoint", 0.0, is_unreachable=True)
    assert health.is_available("endpoint", MIN_BACKOFF_S)
    health.begin_trial("endpoint", MIN_BACKOFF_S)
    assert not health.is_available("endpoint", MIN_BACKOFF_S + TRIAL_S - 0.01)
    assert health.is_available("endpoint", MIN_BACKOFF_S + TRIAL_S)
    health.begin_trial("endpoint", 2.0)
    health.record_reachable("endpoint")
    assert health.is_available("endpoint", 2.0)


def test_success_resets_backoff_of_flapping_endpoint() -> None:
    health = EndpointHealth()
    for cycle in range(10):
        at = cycle * 10.0
        health.record_failure("endpoint", at, is_unreachable=True)
        assert not health.is_available("endpoint", at + 0.1)
        assert health.is_available("endpoint", at + MIN_BACKOFF_S)
        health.record_success("endpoint")


def test_one_truncated_response_causes_no_backoff() -> None:
    health = EndpointHealth()
    health.record_failure("endpoint", 0.0, is_unreachable=False)
    assert health.is_available("endpoint", 0.0)


def test_failure_share_rises_if_every_other_request_fails() -> None:
    """Its health check passes, so only the failure share shows the fault."""
    health = EndpointHealth()
    shares = []
    for _ in range(20):
        health.record_failure("endpoint", 0.0, is_unreachable=False)
        health.record_success("endpoint")
        shares.append(health.failure_share("endpoint"))
    assert shares == sorted(shares)
    assert shares[-1] > 0.4


def test_endpoint_with_mostly_failures_is_skipped_despite_successes() -> None:
    health = EndpointHealth()
    for _ in range(10):
        health.record_failure("endpoint", 0.0, is_unreachable=False)
        health.record_failure("endpoint", 0.0, is_unreachable=False)
        health.record_success("endpoint")
    health.record_failure("endpoint", 50.0, is_unreachable=False)
    assert not health.is_available("endpoint", 50.0)


def test_records_of_removed_endpoints_are_dropped() -> None:
    health = EndpointHealth()
    health.record_failure("gone", 0.0, is_unreachable=True)
    health.retain_only(["other"])
    assert health.is_available("gone", 0.0)
