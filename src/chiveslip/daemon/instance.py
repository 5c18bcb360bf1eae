"""One instance: all parts wired together, started and stopped in order."""

from __future__ import annotations

import asyncio
import random
import uuid
from pathlib import Path
from typing import final

from grpclib.server import Server as PeerServer
from tornado.httpserver import HTTPServer
from tornado.web import Application

import chiveslip
from chiveslip import logs
from chiveslip.allowance.desk import AllowanceDesk
from chiveslip.allowance.desk import DeskTimes
from chiveslip.allowance.home import Limits
from chiveslip.audit import AuditTrail
from chiveslip.clock import Clock
from chiveslip.configuration.keeper import ConfigurationKeeper
from chiveslip.configuration.keeper import KeeperTimes
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.model import EndpointList
from chiveslip.configuration.service_source import ServiceSource
from chiveslip.configuration.source import ConfigurationSource
from chiveslip.configuration.source import DirectorySource
from chiveslip.dispatch.connection import ConnectionPool
from chiveslip.dispatch.engine_calls import EngineCallTools
from chiveslip.dispatch.retry_budget import RetryBudget
from chiveslip.dispatch.service_calls import ServiceCallTools
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.engines.dialect import OpenAIDialect
from chiveslip.engines.homes import EngineHomes
from chiveslip.engines.task import STORE_ACCOUNT
from chiveslip.engines.task import EngineTimes
from chiveslip.engines.task import EngineTools
from chiveslip.fleet.fleet import ConfigurationKnowledge
from chiveslip.fleet.fleet import Fleet
from chiveslip.fleet.fleet import FleetTimes
from chiveslip.fleet.handover import HandOvers
from chiveslip.fleet.ownership import LeaseTerms
from chiveslip.fleet.ownership import Ownership
from chiveslip.fleet.peers import GrpcPeers
from chiveslip.fleet.service import PeerParts
from chiveslip.fleet.service import PeerService
from chiveslip.generated.settings import Settings
from chiveslip.http import operators
from chiveslip.http.admission import Admission
from chiveslip.http.handlers import CallerHandler
from chiveslip.http.handlers import CallerTools
from chiveslip.http.traces import Traces
from chiveslip.idempotency.claims import Claims
from chiveslip.idempotency.records import RecordLimits
from chiveslip.idempotency.records import Records
from chiveslip.metrics import Metrics
from chiveslip.services.dialect import PlainHttpDialect
from chiveslip.services.selection import ServiceSelection
from chiveslip.settings.fields import Address

_JOIN_POLL_S = 0.05


@final
class Instance:
    """An instance in this process."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._log = logs.get_logger("daemon")
        self._me = settings.instance.id
        self._incarnation = uuid.uuid4().hex
        self._audit = AuditTrail(self._me, settings.audit.lines)
        self._metrics = Metrics(settings.metrics.statsd, settings.metrics.prefix)
        self._source = _source(settings)
        self._ownership = Ownership(
            self._me,
            LeaseTerms(
                lease_s=settings.fleet.lease,
                hold_off_s=settings.fleet.hold_off,
                witnesses=settings.fleet.witnesses,
            ),
        )
        self._peers = GrpcPeers(self._address_of, settings.fleet.peer_timeout)
        self._fleet = self._make_fleet()
        self._keeper = self._make_keeper()
        self._fleet.configuration = ConfigurationKnowledge(
            lambda: self._keeper.store.newest_revision, self._keeper.heard
        )
        self._desk = self._make_desk()
        self._pool = ConnectionPool(clock, settings.services.connect)
        self._homes = self._make_homes()
        self._records = Records(
            RecordLimits(
                retention_s=settings.idempotency.retention,
                most=settings.idempotency.records,
                answer_bytes=settings.idempotency.answer,
            ),
            known_since=clock.now(),
        )
        self._claims = Claims(
            me=self._me,
            clock=clock,
            ownership=self._ownership,
            peers=self._peers,
            records=self._records,
            replicas=settings.idempotency.replicas,
        )
        self._hand_overs = HandOvers(
            me=self._me,
            clock=clock,
            ownership=self._ownership,
            peers=self._peers,
            home=self._desk.home,
            limits_of=self._limits_of,
        )
        self._fleet.on_view = self._hand_overs.before_view
        self._admission = Admission(lambda: self._keeper.current)
        self._traces = Traces()
        self._peer_server = PeerServer([PeerService(self._peer_parts())])
        self._caller_server = self._make_caller_server()
        self._operator_server = HTTPServer(operators.application(self._operators()))

    async def start(self) -> None:
        """Open the sockets and join the fleet."""
        listen = self._settings.listen
        await self._peer_server.start(listen.peers.host, listen.peers.port)
        self._operator_server.listen(listen.operators.port, listen.operators.host)
        self._caller_server.listen(listen.callers.port, listen.callers.host)
        self._fleet.start()
        self._keeper.start()
        self._homes.start()
        self._log.info("Started.", instance=self._me, callers=str(listen.callers))

    async def join(self) -> None:
        """Wait until this instance knows what the fleet knows, then serve."""
        while not self._has_joined():
            await asyncio.sleep(_JOIN_POLL_S)
        if not self._fleet.found_serving_peer:
            # Nobody served before, so no call can have been forgotten.
            self._records.know_all_since(float("-inf"))
        # What was home before this instance came has surely ended by then.
        await asyncio.sleep(self._settings.fleet.hold_off)
        self._fleet.serving = True
        self._admission.joined()
        self._log.info("Ready.", instance=self._me)

    async def stop(self) -> None:
        """Stop without cutting a call."""
        self._log.info("Stopping.", running=self._admission.running)
        self._admission.is_stopping = True
        self._fleet.stopping = True
        await asyncio.sleep(self._settings.stop.notice)
        self._caller_server.stop()
        if not await self._admission.drained(self._settings.stop.drain):
            self._log.warning("Calls still run.", running=self._admission.running)
        self._admission.refuses = True
        await self._caller_server.close_all_connections()
        await self._close_parts()
        self._log.info("Stopped.", instance=self._me)

    def status(self) -> operators.Status:
        """Return the status for operators."""
        now = self._clock.now()
        store = self._keeper.store
        refusal = store.refusal
        return operators.Status(
            instance=self._me,
            incarnation=self._incarnation,
            version=chiveslip.__version__,
            ready=self._admission.is_ready,
            stopping=self._admission.is_stopping,
            lease=self._ownership.has_lease(now),
            view_revision=self._ownership.view.revision,
            endpoints_revision=self._fleet.endpoints.revision,
            configuration_revision=store.revision,
            newest_revision=store.newest_revision,
            refused_because=refusal.reasons if refusal else (),
            running_calls=self._admission.running,
            peers=tuple(
                operators.PeerLine(
                    id=name,
                    serving=peer.serving,
                    view_revision=peer.view_revision,
                    configuration_revision=peer.configuration_revision,
                    silent_s=round(now - peer.heard_at, 3),
                )
                for name, peer in sorted(self._fleet.heard.items())
            ),
            engines=tuple(
                operators.EngineLine(
                    id=name,
                    incarnation=home.incarnation,
                    loaded=tuple(sorted(str(adapter) for adapter in home.loaded)),
                    running=home.running,
                    queued=home.queue_length,
                )
                for name, home in sorted(self._homes.engines.items())
            ),
            allowances=self._desk.home.organisations,
        )

    async def _close_parts(self) -> None:
        self._peer_server.close()
        await self._homes.close()
        await self._desk.close()
        await self._claims.close()
        await self._hand_overs.close()
        await self._keeper.close()
        await self._fleet.close()
        self._operator_server.stop()
        await self._peers.close()
        self._pool.close()
        await self._source.close()
        await self._peer_server.wait_closed()

    def _has_joined(self) -> bool:
        known = self._keeper.current is not None and self._fleet.endpoints.revision > 0
        return known and self._ownership.has_lease(self._clock.now())

    def _address_of(self, instance: str) -> Address | None:
        entry = self._ownership.member(instance)
        return entry.peers if entry else None

    def _limits_of(self, account: str) -> Limits | None:
        configuration = self._keeper.current
        if configuration is None:
            return None
        if account == STORE_ACCOUNT:
            return _store_limits(configuration)
        _, _, name = account.partition("/")
        organisation = configuration.organisations.get(name)
        if organisation is None:
            return None
        return Limits(rate=organisation.rate, burst=organisation.burst)

    def _endpoints(self) -> EndpointList:
        return self._fleet.endpoints

    def _make_fleet(self) -> Fleet:
        return Fleet(
            me=self._me,
            data_centre=self._settings.instance.data_centre,
            incarnation=self._incarnation,
            ownership=self._ownership,
            peers=self._peers,
            source=self._source,
            clock=self._clock,
            times=FleetTimes(
                confirm_s=self._settings.fleet.confirm,
                watch_s=self._settings.configuration.watch,
                retry_s=self._settings.configuration.retry,
            ),
            audit=self._audit,
        )

    def _make_keeper(self) -> ConfigurationKeeper:
        return ConfigurationKeeper(
            me=self._me,
            source=self._source,
            peers=self._peers,
            audit=self._audit,
            times=KeeperTimes(
                watch_s=self._settings.configuration.watch,
                retry_s=self._settings.configuration.retry,
            ),
            reads_itself=self._fleet.reads_itself,
        )

    def _make_desk(self) -> AllowanceDesk:
        return AllowanceDesk(
            me=self._me,
            incarnation=self._incarnation,
            clock=self._clock,
            peers=self._peers,
            ownership=self._ownership,
            limits_of=self._limits_of,
            times=DeskTimes(
                credit_s=self._settings.allowance.credit,
                horizon_s=self._settings.allowance.horizon,
            ),
        )

    def _make_homes(self) -> EngineHomes:
        tools = EngineTools(
            clock=self._clock,
            pool=self._pool,
            dialect=OpenAIDialect(),
            desk=self._desk,
            audit=self._audit,
            times=EngineTimes(
                report_s=self._settings.engines.report,
                load_timeout_s=self._settings.engines.load_timeout,
            ),
        )
        return EngineHomes(
            me=self._me,
            fleet=self._fleet,
            peers=self._peers,
            tools=tools,
            queue=self._settings.engines.queue,
        )

    def _peer_parts(self) -> PeerParts:
        return PeerParts(
            fleet=self._fleet,
            keeper=self._keeper,
            desk=self._desk,
            homes=self._homes,
            claims=self._claims,
            hand_overs=self._hand_overs,
        )

    def _make_caller_server(self) -> HTTPServer:
        limits = self._settings.limits
        tools = CallerTools(
            clock=self._clock,
            limits=limits,
            engine_calls=self._engine_call_tools(),
            service_calls=self._service_call_tools(),
            admission=self._admission,
            traces=self._traces,
            metrics=self._metrics,
        )
        return HTTPServer(
            Application([(".*", CallerHandler, {"tools": tools})]),
            idle_connection_timeout=limits.idle_connection,
            body_timeout=limits.default_deadline,
            max_header_size=limits.headers,
            max_body_size=limits.body,
        )

    def _engine_call_tools(self) -> EngineCallTools:
        return EngineCallTools(
            me=self._me,
            clock=self._clock,
            desk=self._desk,
            homes=self._homes,
            pool=self._pool,
            dialect=OpenAIDialect(),
            budget=RetryBudget(self._settings.services.retry_budget),
            suspects=CrashSuspects(),
            configuration=lambda: self._keeper.current,
            endpoints=self._endpoints,
            chunk_silence_s=self._settings.engines.chunk_silence,
        )

    def _service_call_tools(self) -> ServiceCallTools:
        return ServiceCallTools(
            me=self._me,
            clock=self._clock,
            desk=self._desk,
            claims=self._claims,
            pool=self._pool,
            dialect=PlainHttpDialect(),
            selection=ServiceSelection(
                self._settings.instance.data_centre, random.Random()
            ),
            budget=RetryBudget(self._settings.services.retry_budget),
            configuration=lambda: self._keeper.current,
            endpoints=self._endpoints,
            retries=self._settings.services.retries,
        )

    def _operators(self) -> operators.OperatorTools:
        return operators.OperatorTools(
            admission=self._admission,
            traces=self._traces,
            audit=self._audit,
            status=self.status,
        )


def _source(settings: Settings) -> ConfigurationSource:
    if settings.configuration.source == "directory":
        return DirectorySource(Path(settings.configuration.directory))
    return ServiceSource(
        settings.configuration.service, settings.configuration.read_timeout
    )


def _store_limits(configuration: Configuration) -> Limits:
    store = configuration.weight_store
    # Half of the loads in flight may start at once; the rest of the room is for
    # loads that take longer than they should.
    return Limits(rate=store.loads_per_s, burst=max(store.loads_in_flight / 2, 1.0))
