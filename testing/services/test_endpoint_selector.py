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


ENDPOINTS = [Endpoint(f"e{number}", "here") for number in range(3)]


def record_responses(
    selector: EndpointSelector, times_s: dict[str, float], responses: int = 10
) -> None:
    """Record equally many responses of each endpoint, two a second, until 0."""
    for number in range(responses):
        for name, response_s in times_s.items():
            selector.record_response(name, response_s, (number + 1 - responses) / 2)


def count_selected(selector: EndpointSelector, now: float) -> dict[str, int]:
    """Return how often each endpoint is selected, with six requests running."""
    counts = dict.fromkeys((e.id for e in ENDPOINTS), 0)
    running: list[str] = []
    for _ in range(300):
        endpoint = selector.select_endpoint(ENDPOINTS, (), now)
        assert endpoint is not None
        selector.record_start(endpoint.id)
        running.append(endpoint.id)
        counts[endpoint.id] += 1
        if len(running) > 6:
            selector.record_end(running.pop(0))
    return counts


@pytest.mark.parametrize(
    ("times_s", "now"),
    [
        pytest.param({"e0": 0.03, "e1": 0.03, "e2": 0.03}, 0.0, id="equal"),
        pytest.param({"e0": 0.03, "e1": 0.033, "e2": 0.028}, 0.0, id="about-equal"),
        pytest.param({"e1": 0.3}, 0.0, id="one-known"),
        pytest.param({"e0": 0.03, "e1": 0.3, "e2": 0.03}, 60.0, id="old"),
    ],
)
def test_endpoints_that_are_alike_are_selected_as_without_times(
    times_s: dict[str, float], now: float
) -> None:
    """Guards against an effect of chance, of little or of old evidence."""
    timed = EndpointSelector(EndpointHealth(), "here", random.Random(1))
    without = EndpointSelector(EndpointHealth(), "here", random.Random(1))
    record_responses(timed, times_s)
    assert count_selected(timed, now) == count_selected(without, now)


@pytest.mark.parametrize("factor", [2.0, 2.5])
def test_slow_endpoint_gets_fewer_requests_but_some(factor: float) -> None:
    """Guards against a slow endpoint that gets a full share, or is emptied."""
    selector = EndpointSelector(EndpointHealth(), "here", random.Random(1))
    record_responses(selector, {"e0": 0.03, "e1": 0.03 * factor, "e2": 0.03})
    counts = count_selected(selector, 0.0)
    assert 10 <= counts["e1"] <= 85


def test_single_late_response_does_not_make_an_endpoint_slow() -> None:
    """Guards against one answer that a retransmission held up for a second."""
    selector = EndpointSelector(EndpointHealth(), "here", random.Random(1))
    without = EndpointSelector(EndpointHealth(), "here", random.Random(1))
    record_responses(selector, {"e0": 0.03, "e1": 0.03, "e2": 0.03})
    selector.record_response("e1", 1.0, 0.0)
    assert count_selected(selector, 0.0) == count_selected(without, 0.0)
