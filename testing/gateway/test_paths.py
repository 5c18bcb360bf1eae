"""Tests of the evidence that the paths to a service are lost."""

from __future__ import annotations

import attrs
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
        paths.record_answer("kiosk", other)
    clock.advance(silent_s - (answered_after_s or 0.0))
    assert paths.services_to_probe() == probes


@pytest.mark.parametrize(
    ("pause_s", "probes"),
    [
        pytest.param(0.7, [], id="pause between events"),
        pytest.param(0.9, ["kiosk"], id="long pause"),
    ],
)
def test_service_whose_streams_all_pause_is_probed(
    pause_s: float, probes: list[str]
) -> None:
    clock = ManualClock()
    paths = EndpointPaths(clock, SERVICES.__getitem__)
    for stream in [paths.record_sent("kiosk"), paths.record_sent("kiosk")]:
        paths.record_answer("kiosk", stream)
    clock.advance(pause_s)
    assert paths.services_to_probe() == probes


@attrs.define
class Wait:
    """A request whose answer is awaited at the paths of a service."""

    paths: EndpointPaths
    service: str
    may_repeat: bool
    is_given_up: bool = False
    number: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        give_up = self.give_up if self.may_repeat else None
        self.number = self.paths.record_sent(self.service, give_up)

    def give_up(self) -> None:
        self.is_given_up = True


@pytest.mark.parametrize(
    ("unreached", "may_repeat", "silent_s", "has_head", "is_given_up"),
    [
        pytest.param(["k1", "k2", "k3"], True, 0.5, False, True, id="before the head"),
        pytest.param(["k1", "k2", "k3"], True, 0.5, True, True, id="within the answer"),
        pytest.param(["k1", "k2", "k3"], False, 0.5, False, False, id="at most once"),
        pytest.param(["k1", "k2", "k3"], True, 0.3, False, False, id="sent just now"),
        pytest.param(["k1", "k2"], True, 0.5, False, False, id="two have failed"),
    ],
)
def test_waits_that_the_lost_paths_hold_up_are_given_up(
    unreached: list[str],
    may_repeat: bool,
    silent_s: float,
    has_head: bool,
    is_given_up: bool,
) -> None:
    clock = ManualClock()
    paths = EndpointPaths(clock, SERVICES.__getitem__)
    wait = Wait(paths, "kiosk", may_repeat)
    other = Wait(paths, "pair", may_repeat=True)
    if has_head:
        paths.record_answer("kiosk", wait.number)
    clock.advance(silent_s)
    for endpoint in unreached:
        paths.record_not_opened("kiosk", endpoint)
    assert paths.give_up_waiting() == is_given_up
    assert wait.is_given_up is is_given_up
    assert not other.is_given_up
    assert paths.give_up_waiting() == 0


def test_nothing_is_given_up_while_open_connections_still_carry_answers() -> None:
    clock = ManualClock()
    paths = EndpointPaths(clock, SERVICES.__getitem__)
    slow = Wait(paths, "kiosk", may_repeat=True)
    stream = Wait(paths, "kiosk", may_repeat=True)
    clock.advance(2.0)
    paths.record_answer("kiosk", stream.number)
    for endpoint in SERVICES["kiosk"]:
        paths.record_not_opened("kiosk", endpoint)
    assert paths.is_cut("kiosk")
    assert paths.give_up_waiting() == 0
    assert not slow.is_given_up
