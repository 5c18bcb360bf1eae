"""Tests of the evidence that the paths to a service are lost."""

from __future__ import annotations

import pytest

from chiveslip.clock import ManualClock
from chiveslip.gateway.paths import EndpointPaths

SERVICES = {"kiosk": {"k1", "k2", "k3", "k4"}, "pair": {"p1", "p2"}, "single": {"s1"}}


@pytest.mark.parametrize(
    ("service", "unreached", "is_cut"),
    [
        pytest.param("kiosk", [], False, id="no evidence"),
        pytest.param("kiosk", ["k1", "k2"], False, id="two of four"),
        pytest.param("kiosk", ["k1", "k1", "k1"], False, id="one endpoint again"),
        pytest.param("kiosk", ["k1", "k2", "k3"], True, id="three of four"),
        pytest.param("kiosk", ["k1", "k2", "gone"], False, id="one is not listed"),
        pytest.param("pair", ["p1", "p2"], True, id="all of two"),
        pytest.param("single", ["s1"], False, id="a single endpoint may have failed"),
    ],
)
def test_several_unreached_endpoints_are_a_lost_path(
    service: str, unreached: list[str], is_cut: bool
) -> None:
    paths = EndpointPaths(ManualClock(), SERVICES.__getitem__)
    for endpoint in unreached:
        paths.record_not_opened(service, endpoint)
    assert paths.is_cut(service) is is_cut


def test_single_endpoint_is_cut_off_only_with_other_services() -> None:
    paths = EndpointPaths(ManualClock(), SERVICES.__getitem__)
    paths.record_not_opened("single", "s1")
    paths.record_not_opened("kiosk", "k1")
    assert paths.is_cut("single")
    assert not paths.is_cut("kiosk")


def test_opened_connection_ends_the_loss() -> None:
    paths = EndpointPaths(ManualClock(), SERVICES.__getitem__)
    for endpoint in SERVICES["kiosk"]:
        paths.record_not_opened("kiosk", endpoint)
    paths.record_opened("kiosk")
    assert not paths.is_cut("kiosk")
    assert paths.services_to_probe() == []


def test_old_evidence_does_not_count() -> None:
    clock = ManualClock()
    paths = EndpointPaths(clock, SERVICES.__getitem__)
    for endpoint in SERVICES["kiosk"]:
        paths.record_not_opened("kiosk", endpoint)
    clock.advance(3.1)
    assert not paths.is_cut("kiosk")


@pytest.mark.parametrize(
    ("silent_s", "answered_after_s", "probes"),
    [
        pytest.param(0.3, None, [], id="short silence"),
        pytest.param(0.5, None, ["kiosk"], id="silence"),
        pytest.param(0.5, 0.2, [], id="another request was answered meanwhile"),
    ],
)
def test_silent_service_is_probed(
    silent_s: float, answered_after_s: float | None, probes: list[str]
) -> None:
    clock = ManualClock()
    paths = EndpointPaths(clock, SERVICES.__getitem__)
    paths.record_sent("kiosk")
    other = paths.record_sent("kiosk")
    clock.advance(answered_after_s or 0.0)
    if answered_after_s is not None:
        paths.record_answer("kiosk", other, is_answered=True)
    clock.advance(silent_s - (answered_after_s or 0.0))
    assert paths.services_to_probe() == probes
