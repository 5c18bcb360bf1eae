"""Fixtures: a gateway with scripted callers and endpoints, without sockets."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import AsyncIterator
from collections.abc import Callable

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from chiveslip import hashing
from chiveslip.clock import Clock
from chiveslip.clock import ManualClock
from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import Exchange
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.dispatch.connection import ResponseHead
from chiveslip.dispatch.connection import ResponseTimeoutError
from chiveslip.dispatch.outgoing import OutgoingRequest
from chiveslip.dispatch.part_suspects import PartSuspects
from chiveslip.dispatch.response_end import Ending
from chiveslip.dispatch.response_end import Framing
from chiveslip.dispatch.response_end import ResponseEnd
from chiveslip.dispatch.response_limits import ResponseLimits
from chiveslip.dispatch.retry_budget import RetryBudget
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.fleet.gossip_schedule import GossipScheduleSettings
from chiveslip.fleet.gossip_schedule import schedule_for
from chiveslip.gateway.allowance_requests import AllowanceRequests
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.crash_detection import CrashDetector
from chiveslip.gateway.crash_guard import CrashGuard
from chiveslip.gateway.delivery import Deliveries
from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.evacuations import Evacuations
from chiveslip.gateway.forwarding import Gateway
from chiveslip.gateway.forwarding import GatewayDependencies
from chiveslip.gateway.handover import AnswerPart
from chiveslip.gateway.handover import ForwardedExchange
from chiveslip.gateway.handover import ForwardedRequest
from chiveslip.gateway.handover import ForwardingError
from chiveslip.gateway.handover import Handover
from chiveslip.gateway.handover import PeerForwarder
from chiveslip.gateway.handover import RequestDeclinedError
from chiveslip.gateway.ingress import IngressRequest
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.path_probing import WatchedConnector
from chiveslip.gateway.paths import EndpointPaths
from chiveslip.gateway.regions import Regions
from chiveslip.gateway.reply import Reply
from chiveslip.gateway.rooms import EndpointRooms
from chiveslip.gateway.routing import Organisation
from chiveslip.gateway.routing import RetryPolicy
from chiveslip.gateway.routing import Route
from chiveslip.gateway.routing import RoutingTable
from chiveslip.gateway.routing import Service
from chiveslip.gateway.routing import group_by_host
from chiveslip.gateway.sending import Sender
from chiveslip.gateway.service_selection import ServiceTargetSelector
from chiveslip.gateway.statement_recorder import StatementRecorder
from chiveslip.gateway.stop_plan import StopPlan
from chiveslip.gateway.telemetry import RequestTelemetry
from chiveslip.platform.protocol import PlatformProtocol
from chiveslip.platform.replicas import ReplicaControl
from chiveslip.services.endpoint_selector import EndpointSelector
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address
from testing.gateway.limits import make_limit_requests

PACE = GossipScheduleSettings(
    interval_s=0.25,
    fan_out=6,
    heartbeat_timeout_s=1.5,
    batch_delay_s=0.35,
    max_watch_s=1.0,
)
KEY = "secret-key-of-the-trust"
TRUST = Organisation(
    name="trust",
    priority=None,
    rate=0.0,
    burst=0.0,
    counts_tokens=True,
    default_units=200.0,
)


@attrs.frozen(kw_only=True)
class Behaviour:
    """How an endpoint reacts to one request."""

    refuses_connection: bool = False
    status: int = 200
    headers: dict[str, str] = attrs.field(factory=dict)
    chunks: tuple[bytes, ...] = (b"answer",)
    is_truncated: bool = False
    resets_before_head: bool = False
    is_silent: bool = False
    is_signed: bool = True
    crossed: bool = False


SHEDS = Behaviour(
    status=503, headers={"X-Not-Executed": "1"}, is_signed=False, chunks=()
)
MISDIRECTED = Behaviour(status=421, is_signed=False, chunks=())
RESETS = Behaviour(resets_before_head=True)
DOWN = Behaviour(refuses_connection=True)
FAILS = Behaviour(status=500, chunks=(b"failure",))


class ScriptedExchange(Exchange):
    def __init__(self, behaviour: Behaviour, sent: list[OutgoingRequest]) -> None:
        self._behaviour = behaviour
        self._sent = sent
        self.closed = False

    @property
    def reused(self) -> bool:
        return False

    @property
    def end(self) -> ResponseEnd | None:
        is_truncated = self._behaviour.is_truncated
        return ResponseEnd(
            framing=Framing.CHUNKS,
            ending=Ending.RESET if is_truncated else Ending.FRAMING,
            received_bytes=sum(len(chunk) for chunk in self._behaviour.chunks),
        )

    async def send(self, outgoing: OutgoingRequest, limits: ResponseLimits) -> None:
        self._sent.append(outgoing)

    async def head(self, max_wait_s: float = math.inf) -> ResponseHead:
        if self._behaviour.resets_before_head:
            raise ExchangeInterruptedError("reset")
        if self._behaviour.is_silent:
            raise ResponseTimeoutError("no answer in time")
        headers = HTTPHeaders(self._behaviour.headers)
        if self._behaviour.is_signed:
            headers["X-Server-Signature"] = "sig"
        return ResponseHead(status=self._behaviour.status, headers=headers)

    async def chunks(self, max_idle_s: float = math.inf) -> AsyncIterator[bytes]:
        for chunk in self._behaviour.chunks:
            yield chunk
        if self._behaviour.is_truncated:
            raise ExchangeInterruptedError("the response was truncated")

    def close(self) -> None:
        self.closed = True


class ScriptedConnector(Connector):
    """Connects to endpoints that behave as scripted, one entry per connection."""

    def __init__(self, script: list[Behaviour]) -> None:
        self.script = list(script)
        self.sent: list[OutgoingRequest] = []
        self.exchanges: list[ScriptedExchange] = []
        self.while_connecting: Callable[[Address], None] = lambda _: None

    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        # A connection beyond the script only checks that the endpoint is up.
        behaviour = self.script.pop(0) if self.script else Behaviour()
        self.while_connecting(address)
        if behaviour.refuses_connection:
            raise ConnectError("refused")
        exchange = ScriptedExchange(behaviour, self.sent)
        self.exchanges.append(exchange)
        return exchange


@attrs.define
class ScriptedPeer:
    """Another instance: the parts of its answer, and how it fails.

    Attributes
    ----------
    breaks_off
        Whether the connection to it fails after the parts.
    """

    parts: tuple[AnswerPart, ...] = ()
    declines: bool = False
    breaks_off: bool = False
    received: list[ForwardedRequest] = attrs.field(factory=list)
    on_received: Callable[[], None] = lambda: None


class ScriptedForwardedExchange(ForwardedExchange):
    def __init__(self, peer: ScriptedPeer) -> None:
        self._peer = peer

    async def send(self, request: ForwardedRequest) -> None:
        self._peer.received.append(request)
        self._peer.on_received()

    async def parts(self) -> AsyncIterator[AnswerPart]:
        for part in self._peer.parts:
            yield part
        if self._peer.breaks_off:
            raise ForwardingError("the connection was reset")


@attrs.define
class ScriptedForwarder(PeerForwarder):
    """Opens exchanges with scripted peers."""

    peers: dict[str, ScriptedPeer]

    @contextlib.asynccontextmanager
    async def open_forwarding(
        self, peer: str, service: str, max_s: float
    ) -> AsyncIterator[ForwardedExchange]:
        if self.peers[peer].declines:
            raise RequestDeclinedError("declined")
        yield ScriptedForwardedExchange(self.peers[peer])


class RecordingReply(Reply):
    """Records the response that a caller receives."""

    def __init__(self) -> None:
        self._status = 0
        self._has_started = False
        self.headers = HTTPHeaders()
        self.body = b""
        self.is_complete = False
        self.is_truncated = False

    @property
    def status(self) -> int:
        return self._status

    @property
    def has_started(self) -> bool:
        return self._has_started

    async def respond(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        self.start(status, headers)
        self.body = body
        self.end()

    def start(self, status: int, headers: HTTPHeaders) -> None:
        assert not self._has_started
        self._has_started = True
        self._status, self.headers = status, headers

    async def write(self, chunk: bytes) -> None:
        self.body += chunk

    def end(self) -> None:
        assert not self.is_truncated
        self.is_complete = True

    def abort(self) -> None:
        if not self.is_complete:
            self.is_truncated = True


@attrs.define
class GatewayHarness:
    """A gateway with its scripted connector, clock, suspects and endpoints."""

    gateway: Gateway
    connector: ScriptedConnector
    clock: ManualClock
    suspects: CrashSuspects
    parts: PartSuspects
    statements: EndpointStatements
    directory: EndpointDirectory
    paths: EndpointPaths
    rooms: EndpointRooms
    forwarder: ScriptedForwarder
    evacuations: Evacuations

    def lose_paths(self) -> None:
        """Record that no endpoint could be reached."""
        for endpoint in self.directory.by_id.values():
            self.paths.record_not_opened(endpoint.service, endpoint.id)

    def send_request(self, path: str, **headers: str) -> RecordingReply:
        """Send one request and return the response that its caller receives."""
        return asyncio.run(self.exchange(path, **headers))

    async def exchange(self, path: str, **headers: str) -> RecordingReply:
        """Send one request from a coroutine and return the caller's response."""
        all_headers = HTTPHeaders(
            {
                "Host": "kiosk.example",
                "X-Request-Id": "r1",
                "X-Deadline-Remaining": "600",
                "Authorization": f"Bearer {KEY}",
            }
        )
        for name, value in headers.items():
            all_headers[name.replace("_", "-")] = value
        request = IngressRequest(
            method="POST", target=path, headers=all_headers, body=b"body"
        )
        reply = RecordingReply()
        await self.gateway.handle(request, reply)
        await self.gateway.join()
        return reply


def _route(name: str, repeat: RetryPolicy, *, is_stream: bool = False) -> Route:
    return Route(
        name=name,
        host="kiosk.example",
        prefix=f"/{name}/",
        is_stream=is_stream,
        retry_policy=repeat,
        timeout_s=15.0,
        target_latency_s=0.5,
        max_first_event_wait_s=2.0,
        priority=1,
        services=(("kiosk", 1.0),),
        max_runs=2,
        is_public=False,
    )


TABLE = RoutingTable(
    version=1,
    routes=group_by_host(
        [
            _route("once", RetryPolicy.AT_MOST_ONCE),
            _route("freely", RetryPolicy.IDEMPOTENT),
            _route("stream", RetryPolicy.AT_MOST_ONCE, is_stream=True),
            _route("resumable", RetryPolicy.RESUMABLE, is_stream=True),
        ]
    ),
    services={"kiosk": Service(name="kiosk", max_connections=10)},
    keys={hashing.key_hash(KEY): TRUST},
    requires_keys=True,
)


@pytest.fixture
def make_gateway() -> Callable[..., GatewayHarness]:
    """Return a function that builds a gateway from the script of its endpoints."""

    def build(
        *script: Behaviour,
        table: RoutingTable | None = TABLE,
        takes_requests: bool = True,
        clock: Clock | None = None,
        connector: Connector | None = None,
        address: Address | None = None,
        peers: dict[str, ScriptedPeer] | None = None,
        members: tuple[str, ...] = ("here",),
        peer_centres: dict[str, str] | None = None,
    ) -> GatewayHarness:
        clock = clock or ManualClock()
        forwarder = ScriptedForwarder(peers or {})
        connector = connector or ScriptedConnector(list(script))
        statements = EndpointStatements(clock)
        rooms = EndpointRooms("here", lambda: members, clock)
        limits = EndpointLimits(clock)
        recorder = StatementRecorder(statements, rooms, limits)
        evacuations = Evacuations()
        directory = EndpointDirectory(statements, rooms.has_room, limits, evacuations)
        for index in range(4):
            directory.put(
                ListedEndpoint(
                    id=f"i-{index}",
                    service="kiosk",
                    address=address or Address("10.0.0.1", 8000 + index),
                    data_centre="glasgow",
                    slots=6,
                    state=EndpointState.READY,
                    started=1,
                )
            )
        health = EndpointHealth()
        suspects = CrashSuspects(3)
        generator = random.Random(20261204)
        selector = ServiceTargetSelector(
            directory=directory,
            endpoint_selector=EndpointSelector(health, "glasgow", generator),
            clock=clock,
        )
        dialect = PlatformProtocol()
        parts = PartSuspects()
        paths = EndpointPaths(
            clock, lambda service: {e.id for e in directory.find_ready(service)}
        )
        watched = WatchedConnector(connector, directory, paths, health)
        sender = Sender(
            watched,
            dialect,
            clock,
            directory.accepts_work,
            recorder,
            paths,
            rooms,
            make_limit_requests(limits, clock),
        )
        telemetry = RequestTelemetry(GatewayMetrics(), clock)
        gateway = Gateway(
            GatewayDependencies(
                clock=clock,
                protocol=dialect,
                telemetry=telemetry,
                sender=sender,
                allowances=AllowanceRequests(
                    instance="here",
                    allowances=SharedAllowances(
                        schedule=lambda: schedule_for(1, PACE),
                        instance_count=lambda: 1,
                        live_instances=lambda: ["here"],
                        heard_share=lambda: 1.0,
                    ),
                    peers=GatewayPeers(lambda _name: None, 1.0),
                    metrics=GatewayMetrics(),
                    clock=clock,
                ),
                retry_budget=RetryBudget(share=0.2, slack=50, window_s=10.0),
                endpoint_health=health,
                crash_guard=CrashGuard(
                    requests=suspects,
                    parts=parts,
                    detector=CrashDetector(
                        sender,
                        ReplicaControl(connector, clock, recorder),
                        lambda endpoint: directory.sample_others(endpoint, generator),
                    ),
                    may_try=lambda _part: True,
                    telemetry=telemetry,
                    clock=clock,
                ),
                engine_selector=selector,
                service_selector=selector,
                generator=generator,
                active_table=lambda: table,
                fleet_size=lambda: 1,
                accepts_requests=lambda: takes_requests,
                find_organisation=lambda name: {"trust": TRUST}.get(name),
                handover=Handover(
                    instance="here",
                    forwarder=forwarder,
                    protocol=dialect,
                    statements=statements,
                    find_peers=lambda _service, _adapter, _allowed: list(
                        forwarder.peers
                    ),
                    clock=clock,
                    generator=generator,
                    may_receive=lambda peer, allowed: Regions().allows_instance(
                        (peer_centres or {}).get(peer, ""), allowed, "glasgow"
                    ),
                ),
                stop_plan=StopPlan(clock),
                choose_delivery=Deliveries(
                    instance="here",
                    directory=directory,
                    paths=paths,
                    rooms=rooms,
                    live_instances=lambda: members,
                    has_adapter=lambda _engine, _adapter: False,
                    without_paths=lambda _service: (),
                ).choose,
            )
        )
        return GatewayHarness(
            gateway,
            connector,
            clock,
            suspects,
            parts,
            statements,
            directory,
            paths,
            rooms,
            forwarder,
            evacuations,
        )

    return build
