"""Parses the store entries of replicas, reads their reports and sends them orders."""

from __future__ import annotations

import ipaddress
import json
from collections.abc import Callable
from typing import Any
from typing import final

from chiveslip.clock import Clock
from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.dispatch.connection import ResponseTimeoutError
from chiveslip.dispatch.outgoing import OutgoingRequest
from chiveslip.dispatch.response_limits import ResponseLimits
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.gateway.engine_control import OtherEngineError
from chiveslip.gateway.statement_recorder import StatementRecorder
from chiveslip.platform import fields
from chiveslip.platform.fields import UnreadableError
from chiveslip.platform.protocol import parse_statement
from chiveslip.settings.fields import Address
from chiveslip.settings.fields import parse_address

SERVERS_PREFIX = "servers/"

_STATES = {"ready": EndpointState.READY, "draining": EndpointState.LEAVING}
_EXPECTED_INSTANCE = "X-Expected-Instance"
_JSON_CONTENT_TYPE = "application/json"
# A replica answers a report or an order within milliseconds. One that takes longer than
# this has a problem that a longer wait does not solve.
_RESPONSE_LIMITS = ResponseLimits(max_s=0.6, max_body_bytes=1 << 20)

_ORDER_ANSWERS_BY_STATUS = {
    202: OrderAnswer.IN_PROGRESS,
    200: OrderAnswer.ALREADY_DONE,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED,
    421: OrderAnswer.WRONG_ENGINE,
}

_STATUS_MISDIRECTED = 421


class _IdleConnectionLostError(EngineControlError):
    """The endpoint had dropped the idle connection that was used again."""


class _WithheldError(Exception):
    """The request was no longer allowed once the connection was open."""


def read_endpoint(key: str, value: bytes) -> ListedEndpoint:
    """Return the endpoint that a replica registered.

    Raises
    ------
    UnreadableError
        If the entry is not valid, so that the endpoint cannot be used.
    """
    document = fields.parse_object(value)
    name = key.removeprefix(SERVERS_PREFIX)
    # It is sent as a header.
    if not (name.isascii() and fields.is_text(name)) or " " in name:
        raise UnreadableError("key: expected a name of printable ASCII characters")
    state = _STATES.get(fields.read_string(document, "state"))
    if state is None:
        raise UnreadableError("state: expected ready or draining")
    address = _read_address(document)
    models, adapters = _read_models(document)
    return ListedEndpoint(
        id=name,
        service=fields.read_string(document, "service"),
        address=address,
        data_centre=fields.read_string(document, "zone", ""),
        slots=fields.read_count(document, "slots", 1),
        state=state,
        started=fields.read_count(document, "born", 0),
        models=models,
        adapters=adapters,
        cold_remaining_s=_read_cold_remaining(document),
    )


def _read_cold_remaining(document: dict[str, Any]) -> float:
    """Return for how many seconds a replica is cold; 0 if that is unreadable."""
    try:
        return max(fields.read_number(document, "cold_remaining_ms", 0.0), 0.0) / 1000
    except UnreadableError:
        return 0.0


def _read_address(document: dict[str, Any]) -> Address:
    """Return an address of an IP host; names are not looked up."""
    try:
        address = parse_address(fields.read_string(document, "address"))
        ipaddress.ip_address(address.host)
    except ValueError as error:
        raise UnreadableError("address: expected an IP address and a port") from error
    if address.port == 0:
        raise UnreadableError("address: expected a port from 1 to 65535")
    return address


def parse_report(body: bytes) -> EngineReport:
    """Return the report of a replica.

    Raises
    ------
    UnreadableError
        If the report is not valid.
    """
    document = fields.parse_object(body)
    models, adapters = _read_models(document)
    return EngineReport(
        # Start time of the replica in milliseconds of its own clock.
        started=fields.read_count(document, "born", 0),
        # Orders that the replica has accepted since its start.
        accepted_orders=fields.read_count(document, "sequence"),
        models=frozenset(models),
        adapters=adapters,
        loading_adapters=frozenset(
            _parse_adapter(text) for text in fields.read_strings(document, "coming")
        ),
        running=fields.read_count(document, "running", 0),
        waiting=fields.read_count(document, "waiting", 0),
        # Tokens in the KV cache that cannot be evicted.
        cache_used=fields.read_count(document, "kv_used", 0),
    )


def _read_models(
    document: dict[str, Any],
) -> tuple[tuple[str, ...], frozenset[tuple[str, int]]]:
    models = fields.read_objects(document, "models")
    names = tuple(fields.read_string(model, "name") for model in models)
    adapters = frozenset(
        _parse_adapter(f"{model['name']}/{adapter}")
        for model in models
        for adapter in fields.read_strings(model, "adapters")
    )
    return names, adapters


def _parse_adapter(text: str) -> tuple[str, int]:
    """Return MODEL/NAME and the version of MODEL/NAME@VERSION; 1 without a version."""
    name, _, version = text.rpartition("@")
    return (name, fields.parse_count(version)) if name else (text, 1)


@final
class ReplicaControl(EngineControl):
    """Reads reports and sends orders over HTTP."""

    def __init__(
        self, connector: Connector, clock: Clock, statements: StatementRecorder
    ) -> None:
        self._connector = connector
        self._clock = clock
        self._statements = statements

    async def read_report(self, engine: ListedEndpoint) -> EngineReport:
        """Read the report of an engine."""
        outgoing = OutgoingRequest(
            method="GET",
            path="/chiveslip/report",
            headers={_EXPECTED_INSTANCE: engine.id},
        )
        if self._statements.is_resting(engine):
            raise EngineControlError("report: the engine asked for rest")
        try:
            status, body = await self._send(engine, outgoing, lambda: True)
        except _IdleConnectionLostError:
            status, body = await self._send(
                engine, outgoing, lambda: True, is_fresh=True
            )
        except _WithheldError as error:
            raise EngineControlError("report: the engine asked for rest") from error
        if status == _STATUS_MISDIRECTED:
            raise OtherEngineError(f"report: another engine answers for {engine.id}")
        if status != 200:
            raise EngineControlError(f"report: expected status 200, received {status}")
        try:
            return parse_report(body)
        except UnreadableError as error:
            raise EngineControlError(f"report: {error}") from error

    async def send_order(
        self, engine: ListedEndpoint, order: EngineOrder, may_send: Callable[[], bool]
    ) -> OrderAnswer:
        """Send an order to an engine."""
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
            headers={"Content-Type": _JSON_CONTENT_TYPE, _EXPECTED_INSTANCE: engine.id},
            body=json.dumps(body).encode(),
        )

        def may_order() -> bool:
            return may_send() and not self._statements.is_leaving(engine)

        try:
            status, _ = await self._send(engine, outgoing, may_order)
        except _WithheldError:
            return OrderAnswer.WITHHELD
        return _ORDER_ANSWERS_BY_STATUS.get(status, OrderAnswer.REFUSED)

    async def _send(
        self,
        engine: ListedEndpoint,
        outgoing: OutgoingRequest,
        may_send: Callable[[], bool],
        *,
        is_fresh: bool = False,
    ) -> tuple[int, bytes]:
        """Send a request if `may_send` still allows it once the connection is open."""
        try:
            exchange = await self._connector.open(engine.address, fresh=is_fresh)
        except ConnectError as error:
            raise EngineControlError(str(error)) from error
        try:
            if not may_send() or self._statements.is_resting(engine):
                raise _WithheldError
            await exchange.send(outgoing, _RESPONSE_LIMITS)
            head = await exchange.head()
            statement = parse_statement(head.status, head.headers)
            self._statements.record(engine, statement)
            body = await exchange.body()
        except ResponseTimeoutError as error:
            raise EngineControlError(str(error)) from error
        except ExchangeInterruptedError as error:
            if exchange.reused:
                raise _IdleConnectionLostError(str(error)) from error
            raise EngineControlError(str(error)) from error
        finally:
            exchange.close()
        return head.status, body
