"""A gateway between scripted callers and endpoints, without sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from collections.abc import Callable

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from chiveslip import hashing
from chiveslip.clock import ManualClock
from chiveslip.dispatch.connection import BrokenOffError
from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import Exchange
from chiveslip.dispatch.connection import ResponseHead
from chiveslip.dispatch.connection import SilentError
from chiveslip.dispatch.retry_budget import RetryBudget
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.engines.dialect import Outgoing
from chiveslip.fleet.pace import PaceSettings
from chiveslip.fleet.pace import pace_of
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.forwarding import Gateway
from chiveslip.gateway.forwarding import GatewayParts
from chiveslip.gateway.ingress import IngressRequest
from chiveslip.gateway.measures import GatewayMeasures
from chiveslip.gateway.routing import Organisation
from chiveslip.gateway.routing import Repeat
from chiveslip.gateway.routing import Route
from chiveslip.gateway.routing import RoutingTable
from chiveslip.gateway.routing import Service
from chiveslip.gateway.routing import by_host
from chiveslip.gateway.sending import Sender
from chiveslip.gateway.service_way import ServiceWay
from chiveslip.platform.protocol import PlatformProtocol
from chiveslip.services.endpoint_selector import EndpointSelector
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address

PACE = PaceSettings(
    interval_s=0.25, fan_out=6, silence_s=1.5, gather_s=0.35, watch_s=1.0
)
KEY = "secret-key-of-the-trust"
TRUST = Organisation(
    name="trust",
    priority=None,
    rate=0.0,
    burst=0.0,
    counts_tokens=True,
    plain_units=200.0,
)


@attrs.frozen(kw_only=True)
class Behaviour:
    """What an endpoint does with one request."""

    refuses_connection: bool = False
    status: int = 200
    headers: dict[str, str] = attrs.field(factory=dict)
    chunks: tuple[bytes, ...] = (b"answer",)
    breaks_off: bool = False
    breaks_before_head: bool = False
    is_silent: bool = False
    is_signed: bool = True
    crossed: bool = False


SHEDS = Behaviour(
    status=503, headers={"X-Not-Executed": "1"}, is_signed=False, chunks=()
)
MISDIRECTED = Behaviour(status=421, is_signed=False, chunks=())
RESETS = Behaviour(breaks_before_head=True)
DOWN = Behaviour(refuses_connection=True)
FAILS = Behaviour(status=500, chunks=(b"failure",))


class ScriptedExchange(Exchange):
    def __init__(self, behaviour: Behaviour, sent: list[Outgoing]) -> None:
        self._behaviour = behaviour
        self._sent = sent
        self.closed = False

    @property
    def reused(self) -> bool:
        return False

    async def send(self, outgoing: Outgoing) -> None:
        self._sent.append(outgoing)

    async def head(self, timeout_s: float) -> ResponseHead:
        if self._behaviour.breaks_before_head:
            raise BrokenOffError("reset")
        if self._behaviour.is_silent:
            raise SilentError("no answer in time")
        headers = HTTPHeaders(self._behaviour.headers)
        if self._behaviour.is_signed:
            headers["X-Server-Signature"] = "sig"
        return ResponseHead(status=self._behaviour.status, headers=headers)

    async def chunks(self, silence_s: float) -> AsyncIterator[bytes]:
        for chunk in self._behaviour.chunks:
            yield chunk
        if self._behaviour.breaks_off:
            raise BrokenOffError("the answer broke off")

    def close(self) -> None:
        self.closed = True


class ScriptedConnector(Connector):
    """Endpoints behave in turn as the script says, in the order they are met."""

    def __init__(self, script: list[Behaviour]) -> None:
        self.script = list(script)
        self.sent: list[Outgoing] = []
        self.exchanges: list[ScriptedExchange] = []

    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        # What is not in the script is a look whether the endpoint is up.
        behaviour = self.script.pop(0) if self.script else Behaviour()
        if behaviour.refuses_connection:
            raise ConnectError("refused")
        exchange = ScriptedExchange(behaviour, self.sent)
        self.exchanges.append(exchange)
        return exchange


class RecordingReply:
    """What the caller sees."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.body = b""
        self.started = False
        self.whole = False
        self.broken = False

    async def respond(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        self.start(status, headers)
        self.body = body
        self.end()

    def start(self, status: int, headers: HTTPHeaders) -> None:
        assert not self.started
        self.started = True
        self.status, self.headers = status, headers

    async def write(self, chunk: bytes) -> None:
        self.body += chunk

    def end(self) -> None:
        assert not self.broken
        self.whole = True

    def break_off(self) -> None:
        if not self.whole:
            self.broken = True


@attrs.define
class Scene:
    """A gateway, its endpoints and what it was told."""

    gateway: Gateway
    connector: ScriptedConnector
    clock: ManualClock
    suspects: CrashSuspects

    def ask(self, path: str, **headers: str) -> RecordingReply:
        """Send one request and return what its caller sees."""
        sent = HTTPHeaders(
            {
                "Host": "kiosk.example",
                "X-Request-Id": "r1",
                "X-Deadline-Remaining": "600",
                "Authorization": f"Bearer {KEY}",
            }
        )
        for name, value in headers.items():
            sent[name.replace("_", "-")] = value
        request = IngressRequest(method="POST", target=path, headers=sent, body=b"body")
        reply = RecordingReply()
        asyncio.run(self._ask(request, reply))
        return reply

    async def _ask(self, request: IngressRequest, reply: RecordingReply) -> None:
        await self.gateway.handle(request, reply)
        await self.gateway.join()


def _route(name: str, repeat: Repeat, *, is_stream: bool = False) -> Route:
    return Route(
        name=name,
        host="kiosk.example",
        prefix=f"/{name}/",
        is_stream=is_stream,
        repeat=repeat,
        timeout_s=15.0,
        target_s=0.5,
        patience_s=2.0,
        priority=1,
        services=(("kiosk", 1.0),),
        most_tries=2,
        is_public=False,
    )


TABLE = RoutingTable(
    version=1,
    routes=by_host(
        [
            _route("once", Repeat.ONCE),
            _route("freely", Repeat.FREELY),
            _route("stream", Repeat.ONCE, is_stream=True),
            _route("resumable", Repeat.RESUMABLE, is_stream=True),
        ]
    ),
    services={"kiosk": Service(name="kiosk", most_connections=10)},
    keys={hashing.key_hash(KEY): TRUST},
    needs_keys=True,
)


@pytest.fixture
def scene_of() -> Callable[..., Scene]:
    """Return a function that builds a scene from what the endpoints do in turn."""

    def build(
        *script: Behaviour,
        table: RoutingTable | None = TABLE,
        takes_requests: bool = True,
    ) -> Scene:
        clock = ManualClock()
        connector = ScriptedConnector(list(script))
        directory = EndpointDirectory()
        for index in range(4):
            directory.put(
                ListedEndpoint(
                    id=f"i-{index}",
                    service="kiosk",
                    address=Address("10.0.0.1", 8000 + index),
                    data_centre="glasgow",
                    slots=6,
                    state=EndpointState.READY,
                    started=1,
                )
            )
        health = EndpointHealth()
        suspects = CrashSuspects(3)
        generator = random.Random(20261204)
        way = ServiceWay(
            directory=directory,
            choice=EndpointSelector(health, "glasgow", generator),
            clock=clock,
        )
        dialect = PlatformProtocol()
        gateway = Gateway(
            GatewayParts(
                clock=clock,
                dialect=dialect,
                measures=GatewayMeasures(),
                sender=Sender(connector, dialect, clock),
                allowances=SharedAllowances(
                    pace=lambda: pace_of(1, PACE), instances=lambda: 1
                ),
                budget=RetryBudget(share=0.2, slack=50, window_s=10.0),
                health=health,
                suspects=suspects,
                engines=way,
                services=way,
                generator=generator,
                table=lambda: table,
                instances=lambda: 1,
                takes_requests=lambda: takes_requests,
            )
        )
        return Scene(gateway, connector, clock, suspects)

    return build
