"""A gateway instance: its parts, connected, with its sockets and periodic tasks."""

from __future__ import annotations

import abc
import asyncio
import math
import random
import time
from typing import final

from grpclib.server import Server
from tornado.httputil import HTTPHeaders

from chiveslip import logs
from chiveslip.audit import AuditTrail
from chiveslip.clock import Clock
from chiveslip.dispatch.connection import ConnectionPool
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.retry_budget import RetryBudget
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.fleet.gossip import GatewayPeerService
from chiveslip.fleet.gossip import Gossip
from chiveslip.fleet.gossip_messages import GossipMessages
from chiveslip.fleet.gossip_messages import GossipParts
from chiveslip.fleet.member_log import MemberLog
from chiveslip.fleet.membership import Membership
from chiveslip.fleet.pace import Pace
from chiveslip.fleet.pace import PaceSettings
from chiveslip.fleet.pace import pace_of
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.catalogue import Catalogue
from chiveslip.gateway.dialect import GatewayDialect
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.engine_way import EngineWay
from chiveslip.gateway.forwarding import Gateway
from chiveslip.gateway.forwarding import GatewayParts
from chiveslip.gateway.ingress import Ingress
from chiveslip.gateway.ingress import IngressReply
from chiveslip.gateway.ingress import IngressRequest
from chiveslip.gateway.load_requests import LoadRequests
from chiveslip.gateway.loads import LoadTimes
from chiveslip.gateway.measures import GatewayMeasures
from chiveslip.gateway.order_rights import OrderRights
from chiveslip.gateway.ordering import Orderer
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.sending import Sender
from chiveslip.gateway.service_way import ServiceWay
from chiveslip.generated.settings import Settings
from chiveslip.services.endpoint_selector import EndpointSelector
from chiveslip.services.health import EndpointHealth
from chiveslip.store.client import KeyValueStore
from chiveslip.store.mirror import Listener
from chiveslip.store.mirror import StoreMirror
from chiveslip.store.reader import StoreReader
from chiveslip.tasks import TaskSet

# Part of the grace period before the platform kills the process, reserved for
# sending the last bytes.
_STOP_MARGIN_S = 0.5
# Endpoints that one request may crash before it is blocked; with fewer, two endpoints
# that go down by chance while they run the same poll would block it.
_MAX_CRASHES = 3
# Interval of the checks for running requests while stopping.
_STOP_POLL_S = 0.05
# In the first second, gossip rounds are more frequent, so that a fleet whose processes
# were all killed agrees on its live members before callers reconnect.
_STARTUP_S = 1.0
_STARTUP_INTERVAL_FACTOR = 0.4
_MAX_HEAD_BYTES = 64 << 10


class PlatformInterfaces(abc.ABC):
    """Creates the parts of a gateway that depend on the platform it runs on."""

    @abc.abstractmethod
    def dialect(self) -> GatewayDialect:
        """Return the words of callers and endpoints."""

    @abc.abstractmethod
    def store(self, connector: Connector, settings: Settings) -> KeyValueStore:
        """Return the client of the key-value store."""

    @abc.abstractmethod
    def engine_control(self, connector: Connector, clock: Clock) -> EngineControl:
        """Return the way to speak with engines about themselves."""

    @abc.abstractmethod
    def listener(self, catalogue: Catalogue) -> Listener:
        """Return the function that passes changes of the store to the catalogue."""


@final
class GatewayInstance:
    """A gateway with its servers and periodic tasks."""

    def __init__(
        self, settings: Settings, interfaces: PlatformInterfaces, clock: Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random = random.Random()
        self._log = logs.get_logger("daemon")
        self._tasks = TaskSet("daemon")
        self._is_stopping = False
        self._refuses_requests_from = math.inf
        self._pace_settings = PaceSettings(
            interval_s=settings.fleet.gossip,
            fan_out=settings.fleet.fan_out,
            silence_s=settings.fleet.silence,
            gather_s=settings.store.gather,
            watch_s=settings.store.watch,
        )
        self._current_pace = pace_of(1, self._pace_settings)
        connector = ConnectionPool(clock, settings.services.connect)
        dialect = interfaces.dialect()
        self._membership = Membership(
            instance=settings.instance.id,
            address=settings.listen.peers,
            # Peers require only that a later start has a larger number.
            incarnation=int(time.time() * 1000),
            silence_s=lambda members: pace_of(members, self._pace_settings).silence_s,
        )
        self._member_log = MemberLog(settings.instance.id)
        directory = EndpointDirectory()
        self._health = EndpointHealth()
        self._directory = directory
        view = EngineView(hears_all=lambda: not self._pace().relays)
        load_times = LoadTimes(
            fetch_s=settings.gateway.adapter_load,
            reload_s=settings.gateway.adapter_reload,
            most_fetches=settings.gateway.adapter_loads,
        )
        self._mirror = StoreMirror()
        self._measures = GatewayMeasures()
        self._reader = StoreReader(
            interfaces.store(connector, settings),
            self._mirror,
            clock,
            self._random,
            watch_s=lambda: self._pace().watch_s,
            pause_s=settings.store.pause,
            gather_s=lambda: self._pace().gather_s,
        )
        self._catalogue = Catalogue(
            directory=directory,
            view=view,
            audit=AuditTrail(settings.instance.id, settings.audit.lines),
            clock=clock,
            regained_at=lambda: self._reader.regained_at,
        )
        self._mirror.listen(interfaces.listener(self._catalogue))
        rights = OrderRights(
            instance=settings.instance.id,
            lease_s=settings.gateway.order_lease,
            spread_s=lambda: self._pace().spread_s,
            alive=lambda: self._membership.alive(clock.now()),
            has_quorum=self._has_quorum,
            clock=clock,
        )
        self._orderer = Orderer(
            rights=rights,
            control=interfaces.engine_control(connector, clock),
            view=view,
            load_times=load_times,
            clock=clock,
            measures=self._measures,
        )
        allowances = SharedAllowances(
            pace=self._pace, instances=lambda: self._membership.size
        )
        suspects = CrashSuspects(_MAX_CRASHES)
        parts = GossipParts(
            membership=self._membership,
            allowances=allowances,
            view=view,
            orderer=self._orderer,
            suspects=suspects,
            mirror=self._mirror,
            pace=self._pace,
            measures=self._measures,
            clock=clock,
        )
        messages = GossipMessages(parts, self._random)
        self._peers = GatewayPeers(
            self._membership.address_of, settings.fleet.peer_timeout
        )
        self._gossip = Gossip(
            messages=messages,
            parts=parts,
            peers=self._peers,
            seeds=settings.fleet.seeds,
            generator=self._random,
        )
        service = GatewayPeerService(messages, parts, self._mirror.changes_after)
        self._peer_server = Server([service])
        load_requests = LoadRequests(
            instance=settings.instance.id,
            orderer=self._orderer,
            peers=self._peers,
            view=view,
            clock=clock,
        )
        gateway = Gateway(
            GatewayParts(
                clock=clock,
                dialect=dialect,
                measures=self._measures,
                sender=Sender(connector, dialect, clock),
                allowances=allowances,
                budget=RetryBudget(
                    share=settings.gateway.retry_share,
                    slack=settings.gateway.retry_slack,
                    window_s=settings.gateway.retry_window,
                ),
                health=self._health,
                suspects=suspects,
                engines=EngineWay(
                    directory=directory,
                    view=view,
                    placement=Placement(
                        view,
                        self._health,
                        load_times,
                        instances=lambda: self._membership.size,
                        generator=self._random,
                    ),
                    load_requests=load_requests,
                    load_times=load_times,
                    versions=self._catalogue.version_of,
                    clock=clock,
                ),
                services=ServiceWay(
                    directory=directory,
                    choice=EndpointSelector(
                        self._health, settings.instance.data_centre, self._random
                    ),
                    clock=clock,
                ),
                generator=self._random,
                table=lambda: self._catalogue.table,
                instances=lambda: len(self._membership.alive(clock.now())),
                takes_requests=lambda: clock.now() < self._refuses_requests_from,
            )
        )
        self._ingress = Ingress(
            gateway.handle, body_bytes=settings.limits.body, head_bytes=_MAX_HEAD_BYTES
        )
        self._operators = Ingress(
            self._serve_metrics, body_bytes=1 << 10, head_bytes=_MAX_HEAD_BYTES
        )
        self._readiness = Ingress(
            self._serve_readiness, body_bytes=1 << 10, head_bytes=_MAX_HEAD_BYTES
        )

    async def start(self) -> None:
        """Listen on all addresses, and start reading the store and the gossip.

        Raises
        ------
        OSError
            If an address cannot be listened on.
        """
        listen = self._settings.listen
        await self._peer_server.start(listen.peers.host, listen.peers.port)
        self._operators.listen(listen.metrics.host, listen.metrics.port)
        self._readiness.listen(listen.readiness.host, listen.readiness.port)
        self._ingress.listen(listen.callers.host, listen.callers.port)
        self._tasks.start(self._reader.run())
        self._tasks.start(self._run_rounds())
        self._log.info("Started.", instance=self._settings.instance.id)

    def reload(self, settings: Settings) -> None:
        """Apply the settings that can change while running: the seeds."""
        self._gossip.use_seeds(settings.fleet.seeds)
        self._log.info("Reloaded.", seeds=[str(s) for s in settings.fleet.seeds])

    async def stop(self) -> None:
        """Answer running requests, refuse new ones after the notice time, and close."""
        started_at = self._clock.now()
        self._is_stopping = True
        self._membership.stopping = True
        self._tasks.start(self._gossip.round())
        self._ingress.closing = True
        self._log.info("Stopping.", running=self._ingress.running)
        ends_at = started_at + self._settings.gateway.stop_grace - _STOP_MARGIN_S
        noticed_at = started_at + self._settings.stop.notice
        # A request that comes later on a persistent connection might not end in time.
        self._refuses_requests_from = noticed_at
        while self._clock.now() < ends_at:
            if self._clock.now() >= noticed_at and self._ingress.running == 0:
                break
            await asyncio.sleep(_STOP_POLL_S)
        self._log.info("Stopped.", cut=self._ingress.running)
        await self._ingress.close()
        await self._readiness.close()
        await self._operators.close()
        await self._tasks.close()
        self._peer_server.close()
        self._peers.close()

    async def _run_rounds(self) -> None:
        """Run gossip and maintenance in each interval, a shorter one at the start."""
        started_at = self._clock.now()
        while True:
            self._current_pace = pace_of(self._membership.size, self._pace_settings)
            self._tasks.start(self._gossip.round())
            self._tasks.start(self._run_maintenance())
            is_starting = self._clock.now() - started_at < _STARTUP_S
            interval_s = self._pace().interval_s
            await asyncio.sleep(
                interval_s * _STARTUP_INTERVAL_FACTOR if is_starting else interval_s
            )

    def _pace(self) -> Pace:
        return self._current_pace

    def _has_quorum(self) -> bool:
        return self._membership.has_quorum(self._clock.now())

    async def _run_maintenance(self) -> None:
        logs.flush()
        alive = self._membership.alive(self._clock.now())
        self._member_log.note(alive, has_quorum=self._has_quorum())
        # Without a quorum, callers are better served by other instances; closing their
        # connections makes them reconnect there.
        self._ingress.closing = self._is_stopping or not self._has_quorum()
        self._catalogue.look()
        self._orderer.look(self._catalogue.engines())
        self._health.retain_only(self._directory.by_id)
        await self._orderer.read_reports()
        await self._orderer.load_models()

    async def _serve_metrics(
        self, request: IngressRequest, reply: IngressReply
    ) -> None:
        measures = self._measures
        measures.members.set(len(self._membership.alive(self._clock.now())))
        measures.engines_ordered.set(self._orderer.engines)
        measures.store_lost.set(self._reader.lost_for_s)
        measures.running.set(self._ingress.running)
        table = self._catalogue.table
        if table is not None:
            measures.configuration_version.set(table.version)
            for service in table.services:
                ready = len(self._directory.ready(service))
                measures.endpoints.labels(service).set(ready)
        for level, dropped in logs.dropped_lines().items():
            measures.log_dropped.labels(level).set(dropped)
        headers = HTTPHeaders({"Content-Type": "text/plain; version=0.0.4"})
        await reply.respond(200, headers, measures.text())

    async def _serve_readiness(
        self, request: IngressRequest, reply: IngressReply
    ) -> None:
        has_table = self._catalogue.table is not None
        is_ready = has_table and not self._is_stopping and self._has_quorum()
        await reply.respond(200 if is_ready else 503, HTTPHeaders(), b"")
