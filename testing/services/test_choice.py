"""A plain call goes to the near endpoint with the fewest requests that is sound."""

from __future__ import annotations

import random

import attrs
import pytest

from chiveslip.services.choice import ServiceChoice
from chiveslip.services.health import FIRST_PAUSE_S
from chiveslip.services.health import EndpointHealth


@attrs.frozen
class Endpoint:
    id: str
    data_centre: str


NEAR = Endpoint("near", "here")
OTHER = Endpoint("other", "here")
FAR = Endpoint("far", "there")


@pytest.fixture
def health() -> EndpointHealth:
    return EndpointHealth()


@pytest.fixture
def choice(health: EndpointHealth) -> ServiceChoice:
    return ServiceChoice(health, "here", random.Random(1))


@pytest.mark.parametrize(
    ("running", "tried", "chosen"),
    [
        pytest.param({}, (), "near", id="near-first"),
        pytest.param({"near": 2}, (), "far", id="far-rather-than-behind-two"),
        pytest.param({"near": 2, "far": 2}, (), "near", id="near-among-equals"),
        pytest.param({}, ("near",), "far", id="not-where-it-was-tried"),
        pytest.param({}, ("near", "far"), None, id="none-is-left"),
    ],
)
def test_endpoint_with_the_least_cost_is_chosen(
    choice: ServiceChoice,
    running: dict[str, int],
    tried: tuple[str, ...],
    chosen: str | None,
) -> None:
    for name, count in running.items():
        for _ in range(count):
            choice.begins(name)
    found = choice.choose([NEAR, FAR], tried, 0.0)
    assert (None if found is None else found.id) == chosen


def test_ended_requests_count_no_more(choice: ServiceChoice) -> None:
    choice.begins("near")
    choice.ends("near")
    assert choice.choose([NEAR, FAR], (), 0.0) is NEAR


def test_endpoint_that_is_down_is_passed_over_for_a_while(
    choice: ServiceChoice, health: EndpointHealth
) -> None:
    health.failed("near", 0.0, surely_down=True)
    assert choice.choose([NEAR, FAR], (), 0.1) is FAR
    health.succeeded("near")
    assert choice.choose([NEAR, FAR], (), 2 * FIRST_PAUSE_S) is NEAR


def test_all_endpoints_down_are_tried_all_the_same(
    choice: ServiceChoice, health: EndpointHealth
) -> None:
    for endpoint in (NEAR, OTHER, FAR):
        health.failed(endpoint.id, 0.0, surely_down=True)
    assert choice.choose([NEAR, OTHER, FAR], (), 0.1) is not None
