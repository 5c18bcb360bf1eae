"""The replicas' entries of the store, their reports and orders."""

from __future__ import annotations

import json
from typing import Any
from typing import final

from chiveslip.clock import Clock
from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.engines.protocol import OutgoingRequest
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.platform import fields
from chiveslip.platform.fields import UnreadableError
from chiveslip.settings.fields import parse_address

SERVERS_PREFIX = "servers/"

_STATES = {"ready": EndpointState.READY, "draining": EndpointState.LEAVING}
_EXPECTED_ID = "X-Expected-Instance"
_JSON = "application/json"
# A report or an order is answered in milliseconds; an engine that is slower than
# this is worse off without the question.
_TIMEOUT_S = 0.6
_MOST_BYTES = 1 << 20

_ORDER_ANSWERS = {
    202: OrderAnswer.IN_PROGRESS,
    200: OrderAnswer.ALREADY_DONE,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED,
    421: OrderAnswer.WRONG_ENGINE,
}


def read_endpoint(key: str, value: bytes) -> ListedEndpoint:
    """Return an endpoint as its replica registered it.

    Raises
    ------
    UnreadableError
        If the entry cannot be read; it names no endpoint to use.
    """
    found = fields.parse_object(value)
    state = _STATES.get(fields.text(found, "state"))
    if state is None:
        raise UnreadableError(f"state: saw {found['state']!r}")
    try:
        address = parse_address(fields.text(found, "address"))
    except ValueError as error:
        raise UnreadableError(f"address: {error}") from error
    models, adapters = _models(found)
    return ListedEndpoint(
        id=key.removeprefix(SERVERS_PREFIX),
        service=fields.text(found, "service"),
        address=address,
        data_centre=str(found.get("zone", "")),
        slots=int(fields.number(found, "slots", 1)),
        state=state,
        started=int(fields.number(found, "born", 0)),
        models=models,
        adapters=adapters,
    )


def _models(
    found: dict[str, Any],
) -> tuple[tuple[str, ...], frozenset[tuple[str, int]]]:
    models = fields.objects(found, "models")
    names = tuple(fields.text(model, "name") for model in models)
    adapters = frozenset(
        _versioned(f"{model['name']}/{adapter}")
        for model in models
        for adapter in fields.texts(model, "adapters")
    )
    return names, adapters


def _versioned(text: str) -> tuple[str, int]:
    """Return MODEL/NAME and the version of MODEL/NAME@VERSION."""
    name, _, version = text.rpartition("@")
    return (name, int(version)) if version.isdigit() else (text, 1)


@final
class ReplicaControl(EngineControl):
    """Reports and orders by HTTP."""

    def __init__(self, connector: Connector, clock: Clock) -> None:
        self._connector = connector
        self._clock = clock

    async def read_report(self, engine: ListedEndpoint) -> EngineReport:
        """Read an engine's report."""
        outgoing = OutgoingRequest(
            method="GET",
            path="/chiveslip/report",
            headers={_EXPECTED_ID: engine.id},
        )
        status, body = await self._ask(engine, outgoing)
        if status != 200:
            raise EngineControlError(f"report: status {status}")
        try:
            found = fields.parse_object(body)
            models, adapters = _models(found)
            return EngineReport(
                # The time of the replica's start, in its own milliseconds.
                started=int(fields.number(found, "born", 0)),
                # How many orders the replica accepted since then.
                accepted_orders=int(fields.number(found, "sequence")),
                models=frozenset(models),
                adapters=adapters,
                coming=frozenset(_versioned(t) for t in fields.texts(found, "coming")),
                running=int(fields.number(found, "running", 0)),
                waiting=int(fields.number(found, "waiting", 0)),
                # Tokens in memory that cannot be dropped.
                cache_used=int(fields.number(found, "kv_used", 0)),
            )
        except UnreadableError as error:
            raise EngineControlError(f"report: {error}") from error

    async def send_order(
        self, engine: ListedEndpoint, order: EngineOrder
    ) -> OrderAnswer:
        """Give an order."""
        model, _, name = order.target.partition("/")
        body: dict[str, Any] = {
            "operation": order.operation.value,
            "model": model,
            "holder": order.holder,
            "fencing_token": order.fence,
        }
        if name:
            body["adapter"] = name
        if order.version > 1:
            body["version"] = order.version
        if order.after_orders is not None:
            body["precondition"] = order.after_orders
        outgoing = OutgoingRequest(
            method="POST",
            path="/chiveslip/order",
            headers={"Content-Type": _JSON, _EXPECTED_ID: engine.id},
            body=json.dumps(body).encode(),
        )
        status, _ = await self._ask(engine, outgoing)
        return _ORDER_ANSWERS.get(status, OrderAnswer.REFUSED)

    async def _ask(
        self, engine: ListedEndpoint, outgoing: OutgoingRequest
    ) -> tuple[int, bytes]:
        try:
            exchange = await self._connector.open(engine.address, fresh=False)
        except ConnectError as error:
            raise EngineControlError(str(error)) from error
        try:
            await exchange.send(outgoing)
            head = await exchange.head(_TIMEOUT_S)
            body = await exchange.body(_MOST_BYTES, _TIMEOUT_S)
        except ExchangeInterruptedError as error:
            raise EngineControlError(str(error)) from error
        finally:
            exchange.close()
        return head.status, body
