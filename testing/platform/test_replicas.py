"""Entries, reports and orders of replicas in the product's types."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from tornado.httputil import HTTPHeaders

from chiveslip.clock import ManualClock
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import Exchange
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.dispatch.connection import ResponseHead
from chiveslip.engines.protocol import OutgoingRequest
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import Operation
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.platform.fields import UnreadableError
from chiveslip.platform.replicas import ReplicaControl
from chiveslip.platform.replicas import read_endpoint
from chiveslip.settings.fields import Address

ENTRY: dict[str, Any] = {
    "service": "llm",
    "address": "10.128.0.9:8080",
    "zone": "glasgow",
    "slots": 64,
    "state": "ready",
    "born": 1717,
    "models": [{"name": "m", "version": 1, "adapters": ["a1@2", "a2@1"]}],
    "sequence": 4,
}


def entry(**changes: Any) -> bytes:
    return json.dumps(ENTRY | changes).encode()


def test_entry_names_an_endpoint() -> None:
    endpoint = read_endpoint("servers/i-7f", entry())
    assert endpoint.id == "i-7f"
    assert endpoint.address == Address("10.128.0.9", 8080)
    assert endpoint.started == 1717
    assert endpoint.adapters == {("m/a1", 2), ("m/a2", 1)}


@pytest.mark.parametrize(
    ("state", "expected"),
    [("ready", EndpointState.READY), ("draining", EndpointState.LEAVING)],
)
def test_state_of_an_endpoint(state: str, expected: EndpointState) -> None:
    assert read_endpoint("servers/i", entry(state=state)).state is expected


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\x00", id="bytes"),
        pytest.param(entry(state="asleep"), id="unknown-state"),
        pytest.param(entry(address="nowhere"), id="no-address"),
        pytest.param(entry(address=7), id="address-is-a-number"),
        pytest.param(entry(service=None), id="no-service"),
        pytest.param(entry(slots="many"), id="slots-are-text"),
        pytest.param(entry(models=[{"adapters": []}]), id="model-without-a-name"),
        pytest.param(entry(models=[{"name": "m", "adapters": 3}]), id="adapters"),
    ],
)
def test_entry_of_another_writer_names_no_endpoint(data: bytes) -> None:
    with pytest.raises(UnreadableError):
        read_endpoint("servers/i", data)


class OneAnswer(Exchange, Connector):
    """Answers every request the same way."""

    def __init__(self, status: int, body: bytes) -> None:
        self._status = status
        self._body = body
        self.sent: list[OutgoingRequest] = []

    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        return self

    @property
    def reused(self) -> bool:
        return False

    async def send(self, outgoing: OutgoingRequest) -> None:
        self.sent.append(outgoing)

    async def head(self, timeout_s: float) -> ResponseHead:
        if not self._status:
            raise ExchangeInterruptedError("reset")
        return ResponseHead(status=self._status, headers=HTTPHeaders())

    async def chunks(self, max_idle_s: float):
        yield self._body

    def close(self) -> None:
        return


ENGINE = read_endpoint("servers/i-7f", entry())


@pytest.mark.parametrize(
    ("status", "body"),
    [
        pytest.param(503, b"{}", id="status"),
        pytest.param(200, b"nothing", id="no-json"),
        pytest.param(200, b'{"sequence": "two"}', id="wrong-type"),
        pytest.param(0, b"", id="reset"),
    ],
)
def test_report_that_cannot_be_read_is_an_error(status: int, body: bytes) -> None:
    control = ReplicaControl(OneAnswer(status, body), ManualClock())
    with pytest.raises(EngineControlError):
        asyncio.run(control.read_report(ENGINE))


def test_report_lists_adapters_on_their_way() -> None:
    body = json.dumps(
        {"sequence": 2, "models": ENTRY["models"], "coming": ["m/a9@3"], "born": 5}
    ).encode()
    control = ReplicaControl(OneAnswer(200, body), ManualClock())
    report = asyncio.run(control.read_report(ENGINE))
    assert report.coming == {("m/a9", 3)}
    assert report.models == {"m"}
    assert (report.accepted_orders, report.started) == (2, 5)


@pytest.mark.parametrize(
    ("status", "answer"),
    [
        (202, OrderAnswer.IN_PROGRESS),
        (200, OrderAnswer.ALREADY_DONE),
        (409, OrderAnswer.CONFLICT),
        (412, OrderAnswer.FENCED),
        (421, OrderAnswer.WRONG_ENGINE),
        (400, OrderAnswer.REFUSED),
        (500, OrderAnswer.REFUSED),
    ],
)
def test_answers_to_orders(status: int, answer: OrderAnswer) -> None:
    control = ReplicaControl(OneAnswer(status, b""), ManualClock())
    assert asyncio.run(control.send_order(ENGINE, order())) is answer


def order(target: str = "m/a3", version: int = 1) -> EngineOrder:
    return EngineOrder(
        operation=Operation.LOAD,
        target=target,
        version=version,
        holder="node-7",
        fence=41,
        after_orders=2,
    )


@pytest.mark.parametrize(
    ("given", "fields"),
    [
        pytest.param(order(), {"model": "m", "adapter": "a3"}, id="adapter"),
        pytest.param(
            order(version=4),
            {"model": "m", "adapter": "a3", "version": 4},
            id="version",
        ),
        pytest.param(order(target="m", version=0), {"model": "m"}, id="base-model"),
    ],
)
def test_order_on_the_wire(given: EngineOrder, fields: dict[str, Any]) -> None:
    exchange = OneAnswer(202, b"")
    asyncio.run(ReplicaControl(exchange, ManualClock()).send_order(ENGINE, given))
    sent = exchange.sent[0]
    assert sent.headers["X-Expected-Instance"] == "i-7f"
    common = {
        "operation": "load",
        "holder": "node-7",
        "fencing_token": 41,
        "precondition": 2,
    }
    assert json.loads(sent.body) == common | fields
