"""Requests with allowed regions reach no endpoint and no instance elsewhere."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from chiveslip.fleet.forwarded_exchange import _encode_request
from chiveslip.fleet.forwarding import _decode_request
from chiveslip.gateway.handover import AnswerPart
from chiveslip.gateway.handover import ForwardedRequest
from chiveslip.gateway.regions import AllowedRegions
from chiveslip.gateway.regions import Regions
from chiveslip.gateway.regions import intersect
from chiveslip.gateway.routing import RoutingTable
from chiveslip.platform.configuration import UnreadableError
from chiveslip.platform.configuration import read_configuration
from testing.gateway.conftest import FAILS
from testing.gateway.conftest import RESETS
from testing.gateway.conftest import SHEDS
from testing.gateway.conftest import TABLE
from testing.gateway.conftest import Behaviour
from testing.gateway.conftest import GatewayHarness
from testing.gateway.conftest import RecordingReply
from testing.gateway.conftest import ScriptedPeer

DUNDEE = frozenset({"i-2", "i-3"})
BROKEN_STREAM = Behaviour(chunks=(b"id: 1\n\n",), is_truncated=True)
MakeGateway = Callable[..., GatewayHarness]


def restrict(
    route: AllowedRegions = None, organisation: AllowedRegions = None
) -> RoutingTable:
    """Return the table with allowed regions of all routes and organisations."""
    return attrs.evolve(
        TABLE,
        routes={
            host: tuple(attrs.evolve(r, allowed_regions=route) for r in routes)
            for host, routes in TABLE.routes.items()
        },
        keys={
            key: attrs.evolve(o, allowed_regions=organisation)
            for key, o in TABLE.keys.items()
        },
    )


def move_to_dundee(gateway: GatewayHarness) -> None:
    for name in DUNDEE:
        known = gateway.directory.by_id[name]
        gateway.directory.put(attrs.evolve(known, data_centre="dundee"))


def receivers(gateway: GatewayHarness) -> list[str]:
    return [sent.headers["X-Expected-Instance"] for sent in gateway.connector.sent]


@pytest.mark.parametrize(
    ("route", "organisation"),
    [
        pytest.param({"dundee"}, None, id="route"),
        pytest.param(None, {"dundee"}, id="organisation"),
        pytest.param({"dundee", "glasgow"}, {"dundee", "york"}, id="both"),
    ],
)
@pytest.mark.parametrize(
    ("path", "script"),
    [
        pytest.param("/once/x", (), id="first"),
        pytest.param("/once/x", (SHEDS,), id="refused"),
        pytest.param("/freely/x", (RESETS,), id="retried"),
        pytest.param("/freely/x", (FAILS,), id="failed"),
        pytest.param("/resumable/x", (BROKEN_STREAM,), id="resumed"),
    ],
)
def test_restricted_request_reaches_allowed_endpoints_alone(
    make_gateway: MakeGateway,
    route: set[str] | None,
    organisation: set[str] | None,
    path: str,
    script: tuple[Behaviour, ...],
) -> None:
    table = restrict(
        None if route is None else frozenset(route),
        None if organisation is None else frozenset(organisation),
    )
    for _ in range(4):
        gateway = make_gateway(*script, table=table)
        move_to_dundee(gateway)
        gateway.send_request(path)
        assert len(receivers(gateway)) == len(script) + 1
        assert DUNDEE.issuperset(receivers(gateway))


@pytest.mark.parametrize(
    ("route", "organisation"),
    [({"york"}, None), ({"dundee"}, {"glasgow"})],
)
def test_request_that_no_endpoint_may_get_is_refused_at_once(
    make_gateway: MakeGateway, route: set[str], organisation: set[str] | None
) -> None:
    table = restrict(
        frozenset(route), None if organisation is None else frozenset(organisation)
    )
    gateway = make_gateway(table=table)
    move_to_dundee(gateway)
    reply = gateway.send_request("/once/x")
    assert reply.status == 503
    assert gateway.connector.exchanges == []


def test_endpoint_that_moves_while_connecting_gets_nothing(
    make_gateway: MakeGateway,
) -> None:
    gateway = make_gateway(table=restrict(frozenset({"glasgow"})))
    moved: list[str] = []

    def move(address: object) -> None:
        if not moved:
            chosen = gateway.directory.find_at(address)  # type: ignore[arg-type]
            assert chosen is not None
            moved.append(chosen.id)
            gateway.directory.put(attrs.evolve(chosen, data_centre="york"))

    gateway.connector.while_connecting = move
    assert gateway.send_request("/once/x").status == 200
    assert moved
    assert set(receivers(gateway)).isdisjoint(moved)


@pytest.mark.parametrize(
    ("centres", "asked"),
    [
        pytest.param({"p": "dundee"}, True, id="allowed"),
        pytest.param({"p": "glasgow"}, True, id="where-the-caller-connected"),
        pytest.param({"p": "york"}, False, id="elsewhere"),
        pytest.param({}, False, id="unknown"),
    ],
)
def test_body_of_a_restricted_request_is_sent_to_no_instance_elsewhere(
    make_gateway: MakeGateway, centres: dict[str, str], asked: bool
) -> None:
    answer = AnswerPart(
        status=200,
        headers=HTTPHeaders(),
        chunk=b"answer",
        is_end=True,
        was_not_run=False,
        is_declined=False,
    )
    peers = {"p": ScriptedPeer(parts=(answer,))}
    allowed = frozenset({"dundee"})
    gateway = make_gateway(table=restrict(allowed), peers=peers, peer_centres=centres)
    gateway.lose_paths()
    reply = gateway.send_request("/once/x")
    assert (reply.status == 200) is asked
    assert [r.allowed_regions for r in peers["p"].received] == [allowed] * asked


def forwarded(allowed: AllowedRegions) -> ForwardedRequest:
    return ForwardedRequest(
        method="POST",
        target="/once/x",
        headers=HTTPHeaders({"Host": "kiosk.example"}),
        body=b"body",
        organisation="trust",
        service="kiosk",
        remaining_s=5.0,
        instance="there",
        allowed_regions=allowed,
    )


def test_peer_with_an_older_configuration_obeys_the_instance_that_asks(
    make_gateway: MakeGateway,
) -> None:
    for _ in range(6):
        gateway = make_gateway()
        move_to_dundee(gateway)
        request = forwarded(frozenset({"dundee"}))
        asyncio.run(gateway.gateway.handle_forwarded(request, RecordingReply()))
        assert len(receivers(gateway)) == 1
        assert DUNDEE.issuperset(receivers(gateway))


@pytest.mark.parametrize(
    "allowed", [None, frozenset(), frozenset({"north"}), frozenset({"north", "west"})]
)
def test_allowed_regions_are_told_to_a_peer(allowed: AllowedRegions) -> None:
    """That nothing is allowed must not be taken for no restriction."""
    decoded = _decode_request(_encode_request(forwarded(allowed)))
    assert decoded.allowed_regions == allowed


def test_data_centre_that_is_not_mapped_is_a_region_by_itself() -> None:
    regions = Regions([("glasgow", "north"), ("leeds", "north")])
    assert regions.allows("leeds", frozenset({"north"}))
    assert not regions.allows("glasgow", frozenset({"glasgow"}))
    assert regions.allows("york", frozenset({"york"}))
    assert not regions.allows("", frozenset({"north"}))
    assert regions.allows("", None)
    assert regions.allows_instance("leeds", frozenset({"york"}), "glasgow")
    assert not regions.allows_instance("", frozenset({"york"}), "")


def test_sets_of_regions_bind_together() -> None:
    assert intersect(None, None) is None
    assert intersect(None, frozenset("ab"), frozenset("bc")) == frozenset("b")


def configuration(allowed: object, *, is_absent: bool = False) -> bytes:
    field = {} if is_absent else {"allowed_regions": allowed}
    route = {"name": "r", "host": "h", "prefix": "/", "kind": "x", "service": "s"}
    tenant = {"name": "t", "api_keys": ["k"]}
    document = {
        "version": 1,
        "routes": [route | field],
        "services": [],
        "tenants": [tenant | field],
    }
    return json.dumps(document).encode()


@pytest.mark.parametrize(
    ("value", "is_absent", "expected"),
    [
        (["north"], False, frozenset({"north"})),
        ([], False, None),
        (None, False, None),
        (None, True, None),
    ],
)
def test_configuration_names_allowed_regions(
    value: object, is_absent: bool, expected: AllowedRegions
) -> None:
    table = read_configuration(configuration(value, is_absent=is_absent))
    (route,) = table.routes["h"]
    (organisation,) = table.keys.values()
    assert route.allowed_regions == organisation.allowed_regions == expected


@pytest.mark.parametrize("value", ["north", {"north": 1}, [1], [""], 0, False])
def test_configuration_with_unreadable_regions_is_refused(value: object) -> None:
    """Taken for no restriction, bodies would leave their region."""
    with pytest.raises(UnreadableError):
        read_configuration(configuration(value))
