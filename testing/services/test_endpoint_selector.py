"""Tests that calls go to the available endpoint of least cost."""

from __future__ import annotations

import random

import attrs
import pytest

from chiveslip.services.endpoint_selector import EndpointSelector
from chiveslip.services.health import MIN_BACKOFF_S
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
def selector(health: EndpointHealth) -> EndpointSelector:
    return EndpointSelector(health, "here", random.Random(1))


@pytest.mark.parametrize(
    ("running", "tried", "selected"),
    [
        pytest.param({}, (), "near", id="near-first"),
        pytest.param({"near": 2}, (), "far", id="far-rather-than-behind-two"),
        pytest.param({"near": 2, "far": 2}, (), "near", id="near-among-equals"),
        pytest.param({}, ("near",), "far", id="not-where-it-was-tried"),
        pytest.param({}, ("near", "far"), None, id="none-is-left"),
    ],
)
def test_endpoint_of_least_cost_is_selected(
    selector: EndpointSelector,
    running: dict[str, int],
    tried: tuple[str, ...],
    selected: str | None,
) -> None:
    for name, count in running.items():
        for _ in range(count):
            selector.record_start(name)
    found = selector.select_endpoint([NEAR, FAR], tried, 0.0)
    assert (None if found is None else found.id) == selected


def test_ended_requests_are_not_counted(selector: EndpointSelector) -> None:
    selector.record_start("near")
    selector.record_end("near")
    assert selector.select_endpoint([NEAR, FAR], (), 0.0) is NEAR


def test_unreachable_endpoint_is_skipped_during_backoff(
    selector: EndpointSelector, health: EndpointHealth
) -> None:
    health.record_failure("near", 0.0, is_unreachable=True)
    assert selector.select_endpoint([NEAR, FAR], (), 0.1) is FAR
    health.record_success("near")
    assert selector.select_endpoint([NEAR, FAR], (), 2 * MIN_BACKOFF_S) is NEAR


def test_endpoint_is_selected_even_if_all_are_unreachable(
    selector: EndpointSelector, health: EndpointHealth
) -> None:
    for endpoint in (NEAR, OTHER, FAR):
        health.record_failure(endpoint.id, 0.0, is_unreachable=True)
    assert selector.select_endpoint([NEAR, OTHER, FAR], (), 0.1) is not None
