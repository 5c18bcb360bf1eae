"""Endpoints that say in an answer that they leave, or want no requests for a while."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import pytest

from chiveslip.clock import ManualClock
from chiveslip.gateway.endpoint_statements import LEAVING_RETENTION_S
from chiveslip.gateway.endpoint_statements import MAX_REST_S
from chiveslip.gateway.endpoint_statements import EndpointStatement
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoint_statements import Incarnation
from chiveslip.settings.fields import Address
from testing.gateway.conftest import Behaviour
from testing.gateway.conftest import GatewayHarness

MakeGateway = Callable[..., GatewayHarness]
REQUESTS = 12
LEAVING = {"Server-Leaving": "1"}
NOT_RUN = {"X-Not-Executed": "1"}


def rest(value: str) -> Behaviour:
    """Return a refusal of an endpoint that asks for a time of rest."""
    headers = NOT_RUN | {"Retry-After": value}
    return Behaviour(status=503, headers=headers, is_signed=False, chunks=())


def keep_endpoints(harness: GatewayHarness, count: int) -> None:
    """Remove all endpoints but the first ones."""
    for name in list(harness.directory.by_id)[count:]:
        harness.directory.remove(name)


def endpoints_of(harness: GatewayHarness) -> list[str]:
    """Return the endpoints to which requests were sent, in order."""
    return [sent.headers["X-Expected-Instance"] for sent in harness.connector.sent]


@pytest.mark.parametrize("path", ["/once/x", "/freely/x", "/stream/x"])
@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(Behaviour(headers=LEAVING), id="success"),
        pytest.param(Behaviour(status=404, headers=LEAVING), id="unknown"),
        pytest.param(Behaviour(status=500, headers=LEAVING), id="failure"),
        pytest.param(
            Behaviour(status=503, headers=LEAVING | NOT_RUN, is_signed=False),
            id="refusal",
        ),
    ],
)
def test_endpoint_gets_no_request_after_it_said_that_it_leaves(
    make_gateway: MakeGateway, path: str, answer: Behaviour
) -> None:
    harness = make_gateway(answer)
    for _ in range(REQUESTS):
        harness.send_request(path)
    first, *later = endpoints_of(harness)
    assert first not in later


def test_request_is_refused_at_once_if_all_endpoints_leave(
    make_gateway: MakeGateway,
) -> None:
    harness = make_gateway(*[Behaviour(headers=LEAVING)] * 4)
    for _ in range(4):
        assert harness.send_request("/once/x").status == 200
    reply = harness.send_request("/once/x")
    assert (reply.status, len(harness.connector.sent)) == (503, 4)
    assert float(reply.headers["Retry-After"]) > 0


def test_next_start_under_the_same_name_gets_requests(
    make_gateway: MakeGateway,
) -> None:
    harness = make_gateway(Behaviour(headers=LEAVING))
    keep_endpoints(harness, 1)
    harness.send_request("/once/x")
    (endpoint,) = harness.directory.by_id.values()
    harness.directory.put(attrs.evolve(endpoint, started=2))
    assert harness.send_request("/once/x").status == 200


@pytest.mark.parametrize(
    ("started", "next_started", "next_port", "is_same"),
    [
        pytest.param(5, 5, 8001, True, id="listed with another address"),
        pytest.param(5, 6, 8000, False, id="next start"),
        pytest.param(0, 0, 8000, True, id="no start time"),
        pytest.param(0, 0, 8001, False, id="no start time, another address"),
    ],
)
def test_statement_holds_for_the_start_that_made_it(
    started: int, next_started: int, next_port: int, is_same: bool
) -> None:
    statements = EndpointStatements(ManualClock())
    said = Incarnation("i-0", started, Address("10.0.0.1", 8000))
    statements.record(said, EndpointStatement(is_leaving=True, rest_s=5.0))
    listed = Incarnation("i-0", next_started, Address("10.0.0.1", next_port))
    assert statements.is_leaving(listed) is is_same
    assert (statements.rest_s(listed) > 0) is is_same


def test_statement_outlives_the_entry_that_an_older_copy_of_the_store_lists_again() -> (
    None
):
    clock = ManualClock()
    statements = EndpointStatements(clock)
    incarnation = Incarnation("i-0", 5, Address("10.0.0.1", 8000))
    said = EndpointStatement(is_leaving=True, rest_s=5.0)
    statements.record(incarnation, said)
    statements.drop_expired([])
    assert statements.is_leaving(incarnation)
    assert statements.rest_s(incarnation) == 5.0
    clock.advance(61.0)
    statements.drop_expired([])
    assert statements.is_leaving(incarnation)
    assert statements.leaving() == []
    statements.drop_expired(["i-0"])
    assert statements.leaving() == [incarnation]
    clock.advance(LEAVING_RETENTION_S)
    statements.drop_expired([])
    assert not statements.is_leaving(incarnation)


@pytest.mark.parametrize(
    ("value", "rest_s"),
    [
        pytest.param("2", 2.0, id="seconds"),
        pytest.param("0.4", 0.4, id="fraction"),
        pytest.param("0", 0.0, id="zero"),
        pytest.param("-3", 0.0, id="negative"),
        pytest.param("soon", 0.0, id="text"),
        pytest.param("Fri, 04 Dec 2026 20:00:00 GMT", 0.0, id="date"),
        pytest.param("inf", 0.0, id="infinite"),
        pytest.param("nan", 0.0, id="no number"),
        pytest.param("1e9", MAX_REST_S, id="longer than the limit"),
    ],
)
def test_endpoint_gets_no_request_during_its_rest(
    make_gateway: MakeGateway, value: str, rest_s: float
) -> None:
    clock = ManualClock()
    harness = make_gateway(rest(value), clock=clock)
    keep_endpoints(harness, 1)
    harness.send_request("/once/x")
    if rest_s > 0:
        clock.advance(rest_s - 0.01)
        reply = harness.send_request("/once/x")
        assert (reply.status, len(harness.connector.sent)) == (503, 1)
        assert float(reply.headers["Retry-After"]) <= max(rest_s, 0.2)
        clock.advance(0.02)
    assert harness.send_request("/once/x").status == 200


def test_refusal_tells_when_the_first_endpoint_ends_its_rest(
    make_gateway: MakeGateway,
) -> None:
    harness = make_gateway(rest("7"), rest("3"))
    keep_endpoints(harness, 2)
    reply = harness.send_request("/once/x")
    assert float(reply.headers["Retry-After"]) == pytest.approx(3.0, abs=0.01)


@pytest.mark.parametrize(
    "statement",
    [
        pytest.param(EndpointStatement(rest_s=5.0), id="rest"),
        pytest.param(EndpointStatement(is_leaving=True), id="leaving"),
    ],
)
def test_requests_that_wait_for_a_connection_go_elsewhere(
    make_gateway: MakeGateway, statement: EndpointStatement
) -> None:
    harness = make_gateway()
    declining: list[str] = []

    def decline(address: Address) -> None:
        for endpoint in harness.directory.by_id.values():
            if endpoint.address == address and not declining:
                harness.statements.record(endpoint.incarnation, statement)
                declining.append(endpoint.id)

    harness.connector.while_connecting = decline

    async def send_all() -> list[int]:
        replies = [harness.exchange("/once/x") for _ in range(200)]
        return [reply.status for reply in await asyncio.gather(*replies)]

    assert set(asyncio.run(send_all())) == {200}
    assert declining
    assert declining[0] not in endpoints_of(harness)
