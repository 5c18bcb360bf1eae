"""Shares of the slots of endpoints that fail when they have to refuse too much."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from chiveslip.clock import ManualClock
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.rooms import BRITTLE_S
from chiveslip.gateway.rooms import EndpointRooms
from chiveslip.gateway.rooms import divide_slots
from chiveslip.settings.fields import Address
from testing.gateway.conftest import Behaviour
from testing.gateway.conftest import GatewayHarness

MakeGateway = Callable[..., GatewayHarness]
BRITTLE = {"Server-Brittle": "1"}
NOT_RUN = {"X-Not-Executed": "1"}
ENDPOINT = ListedEndpoint(
    id="i-0",
    service="kiosk",
    address=Address("10.0.0.1", 8000),
    data_centre="glasgow",
    slots=6,
    state=EndpointState.READY,
    started=1,
)


@pytest.mark.parametrize("slots", [0, 1, 6, 64])
@pytest.mark.parametrize("count", [1, 6, 91, 195, 1036])
def test_shares_use_all_slots_and_differ_by_at_most_one(count: int, slots: int) -> None:
    shares = divide_slots("i-0", slots, [f"instance-{n}" for n in range(count)])
    assert sum(shares.values()) == slots
    assert max(shares.values()) - min(shares.values()) <= 1
    assert len(shares) == count or min(shares.values()) >= min(slots, 3)


def test_instance_has_no_more_requests_than_its_share_while_endpoints_are_brittle() -> (
    None
):
    clock = ManualClock()
    members = ("here", "there", "elsewhere")
    rooms = EndpointRooms("here", lambda: members, clock)
    for _ in range(5):
        rooms.begin(ENDPOINT.id)
    assert rooms.has_room(ENDPOINT)
    rooms.record_brittle("kiosk", 1.0, 0.0, source="i-0")
    assert not rooms.has_room(ENDPOINT)
    for _ in range(4):
        rooms.end(ENDPOINT.id)
    assert rooms.has_room(ENDPOINT)
    rooms.begin(ENDPOINT.id)
    assert not rooms.has_room(ENDPOINT)
    clock.advance(BRITTLE_S)
    assert rooms.has_room(ENDPOINT)


@pytest.mark.parametrize(
    ("age_s", "is_brittle"),
    [
        pytest.param(0.0, True, id="news"),
        pytest.param(BRITTLE_S - 0.1, True, id="old news"),
        pytest.param(BRITTLE_S, False, id="too old"),
        pytest.param(-5.0, True, id="of the future"),
    ],
)
def test_news_of_peers_count_by_their_age(age_s: float, is_brittle: bool) -> None:
    clock = ManualClock()
    rooms = EndpointRooms("here", lambda: ("here",), clock)
    rooms.record_brittle("kiosk", 1.0, age_s, source="peer")
    assert rooms.is_brittle("kiosk") is is_brittle
    assert len(rooms.brittle_services()) == is_brittle
    clock.advance(BRITTLE_S)
    assert not rooms.is_brittle("kiosk")


def test_brittle_endpoint_that_refused_gets_no_request_for_a_second() -> None:
    clock = ManualClock()
    rooms = EndpointRooms("here", lambda: ("here",), clock)
    rooms.record_brittle("kiosk", 1.0, 0.0, source="i-0")
    rooms.record_refusal(ENDPOINT)
    clock.advance(0.9)
    assert not rooms.has_room(ENDPOINT)
    clock.advance(0.2)
    assert rooms.has_room(ENDPOINT)


@pytest.mark.parametrize(
    "value",
    ["1", "20", "0", "-1", "many", "inf", ""],
)
def test_request_without_room_at_brittle_endpoints_is_refused_at_once(
    make_gateway: MakeGateway, value: str
) -> None:
    members = tuple(f"instance-{n}" for n in range(500))
    harness = make_gateway(
        Behaviour(headers={"Server-Brittle": value}), members=("here", *members)
    )
    for endpoint in list(harness.directory.by_id)[1:]:
        harness.directory.remove(endpoint)
    assert harness.send_request("/once/x").status == 200
    reply = harness.send_request("/once/x")
    assert (reply.status, len(harness.connector.sent)) == (503, 1)
    assert float(reply.headers["Retry-After"]) > 0
    harness.clock.advance(BRITTLE_S)
    assert harness.send_request("/once/x").status == 200


def test_refused_request_is_not_repeated_beyond_the_room(
    make_gateway: MakeGateway,
) -> None:
    refusal = Behaviour(
        status=503, headers=BRITTLE | NOT_RUN, is_signed=False, chunks=()
    )
    harness = make_gateway(*[refusal] * 20, members=("here",))
    for _ in range(5):
        harness.send_request("/once/x")
    endpoints = [s.headers["X-Expected-Instance"] for s in harness.connector.sent]
    assert sorted(endpoints) == sorted(set(endpoints))
