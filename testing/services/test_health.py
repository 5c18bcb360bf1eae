"""Endpoints are judged by what requests meet there, not by what they say."""

from __future__ import annotations

import pytest

from chiveslip.services.health import FIRST_PAUSE_S
from chiveslip.services.health import LONGEST_PAUSE_S
from chiveslip.services.health import EndpointHealth


@pytest.mark.parametrize(
    ("failures", "pause_s"),
    [
        pytest.param(1, FIRST_PAUSE_S, id="once"),
        pytest.param(2, 2 * FIRST_PAUSE_S, id="twice"),
        pytest.param(3, 4 * FIRST_PAUSE_S, id="three-times"),
        pytest.param(20, LONGEST_PAUSE_S, id="for-long"),
    ],
)
def test_endpoint_that_stays_down_is_asked_ever_more_seldom(
    failures: int, pause_s: float
) -> None:
    health = EndpointHealth()
    for _ in range(failures):
        health.failed("endpoint", 0.0, surely_down=True)
    assert not health.is_sound("endpoint", pause_s - 0.01)
    assert health.is_sound("endpoint", pause_s)


def test_flapping_endpoint_is_asked_again_soon_after_each_success() -> None:
    health = EndpointHealth()
    for cycle in range(10):
        at = cycle * 10.0
        health.failed("endpoint", at, surely_down=True)
        assert not health.is_sound("endpoint", at + 0.1)
        assert health.is_sound("endpoint", at + FIRST_PAUSE_S)
        health.succeeded("endpoint")


def test_one_broken_answer_passes_nothing_over() -> None:
    health = EndpointHealth()
    health.failed("endpoint", 0.0, surely_down=False)
    assert health.is_sound("endpoint", 0.0)


def test_endpoint_that_fails_every_other_request_costs_more_and_more() -> None:
    """It is up for its health check, so only the share of failures tells."""
    health = EndpointHealth()
    shares = []
    for _ in range(20):
        health.failed("endpoint", 0.0, surely_down=False)
        health.succeeded("endpoint")
        shares.append(health.failing_share("endpoint"))
    assert shares == sorted(shares)
    assert shares[-1] > 0.4


def test_endpoint_that_failed_most_is_passed_over_between_successes() -> None:
    health = EndpointHealth()
    for _ in range(10):
        health.failed("endpoint", 0.0, surely_down=False)
        health.failed("endpoint", 0.0, surely_down=False)
        health.succeeded("endpoint")
    health.failed("endpoint", 50.0, surely_down=False)
    assert not health.is_sound("endpoint", 50.0)


def test_what_is_known_of_endpoints_that_are_gone_is_dropped() -> None:
    health = EndpointHealth()
    health.failed("gone", 0.0, surely_down=True)
    health.forget_others(["other"])
    assert health.is_sound("gone", 0.0)
