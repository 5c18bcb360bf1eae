"""Shares of the slots of endpoints that fail when they have to refuse too much."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from chiveslip.clock import ManualClock
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.rooms import BRITTLE_S
from chiveslip.gateway.rooms import EndpointRooms
from chiveslip.gateway.rooms import RoomUse
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
@pytest.mark.parametrize("refusals_per_s", [1.0, 2.5, 6.0, 1e9])
@pytest.mark.parametrize("count", [1, 6, 91, 195, 1036])
def test_shares_use_all_slots_and_differ_by_at_most_one(
    count: int, refusals_per_s: float, slots: int
) -> None:
    members = [f"instance-{n}" for n in range(count)]
    shares = divide_slots("i-0", slots, members, refusals_per_s)
    assert sum(shares.values()) == slots
    assert max(shares.values()) - min(shares.values()) <= 1
    assert len(shares) <= refusals_per_s
    assert len(shares) in (count, int(refusals_per_s)) or min(shares.values()) >= min(
        slots, 3
    )


def test_instance_has_no_more_requests_than_its_share_while_endpoints_are_brittle() -> (
    None
):
    clock = ManualClock()
    members = ("here", "there", "elsewhere")
    rooms = EndpointRooms("here", lambda: members, clock)
    uses = [rooms.begin(ENDPOINT.id) for _ in range(5)]
    assert rooms.has_room(ENDPOINT)
    rooms.record_brittle("kiosk", 3.0, 0.0, source="i-0")
    assert not rooms.has_room(ENDPOINT)
    for use in uses[:4]:
        rooms.end(use, has_found_room=True)
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
    rooms = brittle_rooms(clock, has_all_slots=False)
    rooms.record_refusal(ENDPOINT)
    clock.advance(0.9)
    assert not rooms.has_room(ENDPOINT)
    clock.advance(0.2)
    assert rooms.has_room(ENDPOINT)


def brittle_rooms(
    clock: ManualClock,
    *,
    refusals_per_s: float = 1.0,
    has_all_slots: bool,
    waiting: int = 0,
) -> EndpointRooms:
    """Return the rooms of the only instance, while endpoints are brittle."""
    rooms = EndpointRooms(
        "here",
        lambda: ("here",),
        clock,
        count_waiting=lambda _endpoint: waiting,
        has_all_slots=lambda _service: has_all_slots,
    )
    rooms.record_brittle("kiosk", refusals_per_s, 0.0, source="i-0")
    return rooms


def fill(rooms: EndpointRooms) -> list[RoomUse]:
    """Send requests as long as there is room."""
    uses = []
    while rooms.has_room(ENDPOINT):
        uses.append(rooms.begin(ENDPOINT.id))
    return uses


@pytest.mark.parametrize(
    ("has_all_slots", "refusals_per_s", "at_once", "after_proof"),
    [
        pytest.param(True, 1.0, 6, 6, id="plain endpoint"),
        pytest.param(False, 1.0, 1, 2, id="engine"),
        pytest.param(False, 3.0, 3, 6, id="engine that bears three refusals"),
    ],
)
def test_no_more_requests_at_once_than_may_be_refused_are_sent_without_proof_of_room(
    has_all_slots: bool, refusals_per_s: float, at_once: int, after_proof: int
) -> None:
    clock = ManualClock()
    rooms = brittle_rooms(
        clock, refusals_per_s=refusals_per_s, has_all_slots=has_all_slots
    )
    assert len(fill(rooms)) == at_once
    clock.advance(0.11)
    assert at_once + len(fill(rooms)) == after_proof


def test_answer_that_begins_proves_room_at_once() -> None:
    clock = ManualClock()
    rooms = brittle_rooms(clock, has_all_slots=False)
    (use,) = fill(rooms)
    rooms.end(use, has_found_room=True)
    assert len(fill(rooms)) == 2


def test_request_that_its_caller_gives_up_proves_no_room() -> None:
    clock = ManualClock()
    rooms = brittle_rooms(clock, has_all_slots=False)
    (use,) = fill(rooms)
    rooms.end(use, has_found_room=False)
    clock.advance(0.2)
    assert len(fill(rooms)) == 1


def refuse(rooms: EndpointRooms) -> None:
    """Send a request that the endpoint refuses."""
    use = rooms.begin(ENDPOINT.id)
    rooms.record_refusal(ENDPOINT)
    rooms.end(use, has_found_room=False)


@pytest.mark.parametrize(
    ("after_s", "at_once"),
    [
        pytest.param(0.5, 4, id="nothing beyond it for a second"),
        pytest.param(1.5, 4, id="not beyond what was there as it refused"),
        pytest.param(5.5, 5, id="one more is tried later"),
    ],
)
def test_refusal_beyond_the_known_room_keeps_what_has_found_room(
    after_s: float, at_once: int
) -> None:
    clock = ManualClock()
    rooms = brittle_rooms(clock, has_all_slots=False)
    uses: list[RoomUse] = []
    while len(uses) < 4:
        uses += fill(rooms)
        clock.advance(0.11)
    assert rooms.has_room(ENDPOINT)
    refuse(rooms)
    rooms.end(uses.pop(), has_found_room=True)
    clock.advance(after_s)
    rooms.record_brittle("kiosk", 1.0, 0.0, source="i-0")
    assert len(uses) + len(fill(rooms)) == at_once


def test_refusal_within_the_known_room_halves_it() -> None:
    clock = ManualClock()
    rooms = brittle_rooms(clock, has_all_slots=True)
    uses = fill(rooms)
    assert len(uses) == 6
    rooms.end(uses.pop(), has_found_room=True)
    rooms.end(uses.pop(), has_found_room=True)
    refuse(rooms)
    assert not rooms.has_room(ENDPOINT)
    for use in uses:
        rooms.end(use, has_found_room=True)
    assert len(fill(rooms)) == 2


@pytest.mark.parametrize(("waiting", "has_room"), [(0, True), (1, True), (2, False)])
def test_brittle_engine_with_waiting_requests_has_no_room(
    waiting: int, has_room: bool
) -> None:
    rooms = brittle_rooms(ManualClock(), has_all_slots=True, waiting=waiting)
    assert rooms.has_room(ENDPOINT) is has_room


@pytest.mark.parametrize("told", [float("nan"), float("inf"), -1.0, 0.0, 1e300])
@pytest.mark.parametrize("age_s", [0.0, float("nan"), float("inf")])
def test_malformed_news_of_a_peer_cost_no_request(told: float, age_s: float) -> None:
    rooms = EndpointRooms("here", lambda: ("here",), ManualClock())
    rooms.record_brittle("kiosk", told, age_s, source="peer")
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
