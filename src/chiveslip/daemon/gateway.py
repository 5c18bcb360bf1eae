"""Creates and connects the parts of a gateway, and runs its servers and tasks."""

from __future__ import annotations

import abc
import asyncio
import math
import random
import resource
import time
from typing import final

from grpclib.server import Server
from tornado.httputil import HTTPHeaders

from chiveslip import logs
from chiveslip.audit import AuditTrail
from chiveslip.clock import Clock
from chiveslip.dispatch.connection import ConnectionPool
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.dispatch.part_suspects import PartSuspects
from chiveslip.dispatch.retry_budget import RetryBudget
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.fleet.gossip import GatewayPeerService
from chiveslip.fleet.gossip import Gossip
from chiveslip.fleet.gossip_messages import GossipMessages
from chiveslip.fleet.gossip_messages import GossipParts
from chiveslip.fleet.gossip_schedule import GossipSchedule
from chiveslip.fleet.gossip_schedule import GossipScheduleSettings
from chiveslip.fleet.gossip_schedule import schedule_for
from chiveslip.fleet.member_log import MemberLog
from chiveslip.fleet.membership import Membership
from chiveslip.fleet.store_pulls import StorePulls
from chiveslip.fleet.use_notifier import UseNotifier
from chiveslip.gateway.allowance_requests import AllowanceRequests
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.caller_budget import CallerLimits
from chiveslip.gateway.caller_budget import count_connections
from chiveslip.gateway.caller_budget import served_size
from chiveslip.gateway.catalogue import Catalogue
from chiveslip.gateway.cold_endpoints import ColdEndpoints
from chiveslip.gateway.coordinator_rights import CoordinatorRights
from chiveslip.gateway.crash_detection import CrashDetector
from chiveslip.gateway.crash_guard import CrashGuard
from chiveslip.gateway.delivery import Deliveries
from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_coordinator import EngineCoordinator
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_reports import EngineReports
from chiveslip.gateway.engine_selection import EngineTargetSelector
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.evacuations import Evacuations
from chiveslip.gateway.forwarded import ForwardedRequests
from chiveslip.gateway.forwarding import Gateway
from chiveslip.gateway.forwarding import GatewayDependencies
from chiveslip.gateway.handover import Handover
from chiveslip.gateway.ingress import Ingress
from chiveslip.gateway.ingress import IngressReply
from chiveslip.gateway.ingress import IngressRequest
from chiveslip.gateway.limit_grants import LimitGrantor
from chiveslip.gateway.limit_requests import LimitRequests
from chiveslip.gateway.load_requests import LoadRequests
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.path_probing import PathProber
from chiveslip.gateway.path_probing import WatchedConnector
from chiveslip.gateway.paths import EndpointPaths
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.protocol import GatewayProtocol
from chiveslip.gateway.regions import AllowedRegions
from chiveslip.gateway.regions import Regions
from chiveslip.gateway.report_log import ReportLog
from chiveslip.gateway.rooms import EndpointRooms
from chiveslip.gateway.sending import Sender
from chiveslip.gateway.service_selection import ServiceTargetSelector
from chiveslip.gateway.statement_recorder import StatementRecorder
from chiveslip.gateway.stop_plan import StopPlan
from chiveslip.gateway.telemetry import RequestTelemetry
from chiveslip.generated.settings import Settings
from chiveslip.services.endpoint_selector import EndpointSelector
from chiveslip.services.health import EndpointHealth
from chiveslip.store.catch_up import PeerCatchUp
from chiveslip.store.client import KeyValueStore
from chiveslip.store.contact import StoreContact
from chiveslip.store.mirror import EraChange
from chiveslip.store.mirror import Listener
from chiveslip.store.mirror import StoreMirror
from chiveslip.store.reader import StoreReader
from chiveslip.tasks import TaskSet

# Part of the stop grace period, after which the platform kills the process, that is
# reserved for sending the last bytes.
_STOP_MARGIN_S = 0.5
# Endpoints that one request may crash before it is blocked; with fewer, two endpoints
# that crash by chance while they run the same polling request would block it.
_MAX_CRASHES = 3
# Interval of the checks for running requests while stopping.
_STOP_POLL_S = 0.05
# In the first second, gossip rounds are more frequent, so that a fleet whose processes
# were all killed agrees on its live members before callers reconnect.
_STARTUP_S = 1.0
_STARTUP_INTERVAL_FACTOR = 0.4
_MAX_HEAD_BYTES = 64 << 10
# For the readiness and the metrics each, and for what both hold.
_MAX_OPERATORS_CONNECTIONS = 32
_MAX_OPERATORS_BYTES = 4 << 20
# A round that begins this much late is logged: reads of the store and answers of peers
# were processed as late.
_LATE_ROUND_S = 0.5


class PlatformInterfaces(abc.ABC):
    """Creates the parts of a gateway that depend on the platform it runs on."""

    @abc.abstractmethod
    def make_protocol(self) -> GatewayProtocol:
        """Return the protocol of callers and endpoints."""

    @abc.abstractmethod
    def make_store(self, connector: Connector, settings: Settings) -> KeyValueStore:
        """Return the client of the key-value store."""

    @abc.abstractmethod
    def make_engine_control(
        self, connector: Connector, clock: Clock, statements: StatementRecorder
    ) -> EngineControl:
        """Return the client for the reports and orders of engines."""

    @abc.abstractmethod
    def choose_store_value(
        self, key: str, known: bytes | None, copy: bytes | None
    ) -> bytes | None:
        """Return the value of a key that holds after the store returned from a copy."""

    @abc.abstractmethod
    def make_store_listener(self, catalogue: Catalogue) -> Listener:
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
        self._started_at = clock.now()
        self._stop_plan = StopPlan(clock)
        self._is_stopping = False
        self._refuses_requests_from = math.inf
        self._schedule_settings = GossipScheduleSettings(
            interval_s=settings.fleet.gossip,
            fan_out=settings.fleet.fan_out,
            heartbeat_timeout_s=settings.fleet.silence,
            batch_delay_s=settings.store.gather,
            max_watch_s=settings.store.watch,
        )
        self._current_schedule = schedule_for(1, self._schedule_settings)
        caller_limits = self._caller_limits()
        self._held = HeldBytes.for_memory(
            settings.limits.memory,
            served_size(caller_limits.head_bytes, caller_limits.body_bytes),
            clock,
        )
        pool = ConnectionPool(clock, settings.services.connect, self._held)
        protocol = interfaces.make_protocol()
        self._membership = Membership(
            instance=settings.instance.id,
            address=settings.listen.peers,
            # Peers require only that a later start has a larger number.
            incarnation=int(time.time() * 1000),
            heartbeat_timeout_for=lambda members: (
                schedule_for(members, self._schedule_settings).heartbeat_timeout_s
            ),
            data_centre=settings.instance.data_centre,
        )
        self._regions = Regions(settings.fleet.regions)
        self._member_log = MemberLog(settings.instance.id)
        view = EngineView(
            receives_all_peers=lambda: not self._schedule().relays_reports
        )
        self._statements = EndpointStatements(clock)
        self._rooms = EndpointRooms(
            settings.instance.id,
            lambda: self._membership.fleet_members(clock.now()),
            clock,
            lambda engine: view.count_reported_waiting(engine, clock.now()),
            self._has_all_slots,
        )
        self._cold = ColdEndpoints(
            lambda endpoint: self._catalogue.find_service(endpoint),
            self._is_unsure,
            clock.now(),
        )
        self._limits = EndpointLimits(clock, self._cold)
        self._limit_grantor = LimitGrantor(
            instance=settings.instance.id,
            live_instances=lambda: self._membership.live_members(clock.now()),
            fleet_members=lambda: self._membership.fleet_members(clock.now()),
            incarnation_of=self._membership.incarnation_of,
            heard_share=self._heard_share,
            has_older_members=self._membership.has_older_members,
            propagation_s=lambda: self._schedule().propagation_s,
            clock=clock,
            is_alone=self._is_alone,
        )
        self._evacuations = Evacuations()
        directory = EndpointDirectory(
            self._statements,
            self._rooms.has_room,
            self._limits,
            self._evacuations,
            self._regions,
        )
        paths = EndpointPaths(
            clock, lambda service: {e.id for e in directory.find_ready(service)}
        )
        self._health = EndpointHealth()
        connector = WatchedConnector(pool, directory, paths, self._health)
        self._path_prober = PathProber(connector, directory, paths, self._random)
        self._directory = directory
        engine_failures = EngineFailures()
        self._engine_speeds = EngineSpeeds()
        self._view = view
        self._report_log = ReportLog(view)
        load_times = LoadTimes(
            fetch_s=settings.gateway.adapter_load,
            reload_s=settings.gateway.adapter_reload,
            max_full_speed_fetches=settings.gateway.adapter_loads,
        )
        self._mirror = StoreMirror(interfaces.choose_store_value)
        self._metrics = GatewayMetrics()
        self._store_contact = StoreContact(clock)
        self._reader = StoreReader(
            interfaces.make_store(connector, settings),
            self._mirror,
            self._store_contact,
            clock,
            self._random,
            max_watch_s=lambda: self._schedule().max_watch_s,
            retry_delay_s=settings.store.pause,
            batch_delay_s=lambda: self._schedule().batch_delay_s,
        )
        self._catalogue = Catalogue(
            directory=directory,
            view=view,
            audit=AuditTrail(settings.instance.id, settings.audit.lines),
            clock=clock,
            store_contact=self._store_contact,
            evacuations=self._evacuations,
            cold=self._cold,
        )
        self._mirror.add_era_listener(self._record_era)
        self._mirror.add_listener(interfaces.make_store_listener(self._catalogue))
        rights = CoordinatorRights(
            instance=settings.instance.id,
            lease_s=settings.gateway.order_lease,
            propagation_s=lambda: self._schedule().propagation_s,
            live_instances=lambda: self._membership.live_members(clock.now()),
            has_quorum=self._has_quorum,
            clock=clock,
        )
        recorder = StatementRecorder(self._statements, self._rooms, self._limits)
        control = interfaces.make_engine_control(connector, clock, recorder)
        self._coordinator = EngineCoordinator(
            rights=rights,
            control=control,
            view=view,
            load_times=load_times,
            has_paths=lambda service: not paths.is_cut(service),
            clock=clock,
            metrics=self._metrics,
            is_evacuated=directory.is_evacuated,
        )
        allowances = SharedAllowances(
            schedule=self._schedule,
            instance_count=lambda: self._membership.size,
            live_instances=lambda: self._membership.live_members(clock.now()),
            heard_share=self._heard_share,
        )
        suspects = CrashSuspects(_MAX_CRASHES)
        part_suspects = PartSuspects()
        parts = GossipParts(
            membership=self._membership,
            allowances=allowances,
            engine_view=view,
            engine_failures=engine_failures,
            engine_speeds=self._engine_speeds,
            coordinator=self._coordinator,
            suspects=suspects,
            part_suspects=part_suspects,
            statements=self._statements,
            rooms=self._rooms,
            limits=self._limits,
            cold=self._cold,
            limit_grantor=self._limit_grantor,
            mirror=self._mirror,
            store_contact=self._store_contact,
            schedule=self._schedule,
            metrics=self._metrics,
            clock=clock,
        )
        messages = GossipMessages(parts, self._random)
        self._peers = GatewayPeers(
            self._membership.address_of,
            settings.fleet.peer_timeout,
            settings.instance.id,
        )
        self._use_notifier = UseNotifier(
            instance=settings.instance.id,
            incarnation=self._membership.incarnation,
            view=view,
            rights=rights,
            peers=self._peers,
            reachable=lambda: (
                update.instance for update in self._membership.reachable(clock.now())
            ),
            clock=clock,
            metrics=self._metrics,
        )
        store_pulls = StorePulls(
            mirror=self._mirror,
            catch_up=PeerCatchUp(
                own_revision=lambda: self._mirror.revision,
                read_began_at=lambda: self._reader.read_began_at,
                is_store_lost=lambda: self._store_contact.is_lost,
            ),
            peers=self._peers,
            clock=clock,
        )
        self._gossip = Gossip(
            messages=messages,
            parts=parts,
            peers=self._peers,
            store_pulls=store_pulls,
            seeds=settings.fleet.seeds,
            generator=self._random,
        )
        load_requests = LoadRequests(
            instance=settings.instance.id,
            coordinator=self._coordinator,
            peers=self._peers,
            view=view,
            clock=clock,
        )
        limit_requests = LimitRequests(
            instance=settings.instance.id,
            limits=self._limits,
            grantor=self._limit_grantor,
            peers=self._peers,
            metrics=self._metrics,
            clock=clock,
        )
        sender = Sender(
            connector,
            protocol,
            clock,
            directory.accepts_work,
            recorder,
            paths,
            self._rooms,
            limit_requests,
        )
        deliveries = Deliveries(
            instance=settings.instance.id,
            directory=directory,
            paths=paths,
            rooms=self._rooms,
            live_instances=lambda: self._membership.live_members(clock.now()),
            has_adapter=self._has_adapter,
            without_paths=self._membership.members_without_paths,
        )
        telemetry = RequestTelemetry(self._metrics, clock)
        self._crash_guard = CrashGuard(
            requests=suspects,
            parts=part_suspects,
            detector=CrashDetector(
                sender,
                control,
                lambda endpoint: directory.sample_others(endpoint, self._random),
            ),
            may_try=lambda part: rights.has_joined() and rights.is_coordinator_of(part),
            telemetry=telemetry,
            clock=clock,
        )
        gateway = Gateway(
            GatewayDependencies(
                clock=clock,
                protocol=protocol,
                telemetry=telemetry,
                sender=sender,
                allowances=AllowanceRequests(
                    instance=settings.instance.id,
                    allowances=allowances,
                    peers=self._peers,
                    metrics=self._metrics,
                    clock=clock,
                ),
                retry_budget=RetryBudget(
                    share=settings.gateway.retry_share,
                    slack=settings.gateway.retry_slack,
                    window_s=settings.gateway.retry_window,
                ),
                endpoint_health=self._health,
                crash_guard=self._crash_guard,
                engine_selector=EngineTargetSelector(
                    directory=directory,
                    view=view,
                    placement=Placement(
                        view,
                        self._health,
                        load_times,
                        failures=engine_failures,
                        speeds=self._engine_speeds,
                        instance_count=lambda: self._membership.size,
                        generator=self._random,
                    ),
                    load_requests=load_requests,
                    load_times=load_times,
                    reports=EngineReports(
                        control=control, view=view, health=self._health, clock=clock
                    ),
                    failures=engine_failures,
                    speeds=self._engine_speeds,
                    limits=limit_requests,
                    newest_version=self._catalogue.newest_version,
                    clock=clock,
                    places_prompts=settings.gateway.prompt_placement == "on",
                    generator=self._random,
                ),
                service_selector=ServiceTargetSelector(
                    directory=directory,
                    endpoint_selector=EndpointSelector(
                        self._health, settings.instance.data_centre, self._random
                    ),
                    clock=clock,
                ),
                generator=self._random,
                active_table=lambda: self._catalogue.table,
                find_organisation=self._catalogue.find_organisation,
                fleet_size=lambda: len(self._membership.fleet_members(clock.now())),
                accepts_requests=lambda: clock.now() < self._refuses_requests_from,
                handover=Handover(
                    instance=settings.instance.id,
                    forwarder=self._peers,
                    protocol=protocol,
                    statements=self._statements,
                    find_peers=deliveries.find_peers,
                    clock=clock,
                    generator=self._random,
                    may_receive=self._may_receive,
                ),
                choose_delivery=deliveries.choose,
                stop_plan=self._stop_plan,
            )
        )
        self._forwarded = ForwardedRequests(
            gateway,
            lambda: not self._is_stopping,
            deliveries.can_deliver,
            directory.find_leaving,
        )
        self._rooms.on_news = self._start_round
        self._limits.on_news = self._start_round
        self._cold.on_news = self._start_round
        self._path_prober.on_change = self._tell_lost_services
        service = GatewayPeerService(
            messages,
            parts,
            store_pulls,
            self._mirror.build_changes_reply,
            self._catalogue.find_organisation,
            self._forwarded,
        )
        self._peer_server = Server([service])
        self._ingress = Ingress(gateway.handle, caller_limits, self._held, clock)
        # Reachable also when callers have used up their budget.
        own_limits = CallerLimits(
            body_bytes=1 << 10,
            head_bytes=_MAX_HEAD_BYTES,
            connections=_MAX_OPERATORS_CONNECTIONS,
        )
        own_held = HeldBytes(_MAX_OPERATORS_BYTES, clock)
        self._metrics_server = Ingress(self._serve_metrics, own_limits, own_held, clock)
        self._readiness_server = Ingress(
            self._serve_readiness, own_limits, own_held, clock
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
        self._metrics_server.listen(listen.metrics.host, listen.metrics.port)
        self._readiness_server.listen(listen.readiness.host, listen.readiness.port)
        self._ingress.listen(listen.callers.host, listen.callers.port)
        self._tasks.start_lasting("reads of the store", self._reader.run)
        self._tasks.start_lasting("rounds of gossip", self._run_rounds)
        self._tasks.start_lasting("probes of paths", self._path_prober.run)
        self._tasks.start_lasting("notices of uses", self._use_notifier.run)
        instance = self._settings.instance
        self._log.info(
            "Started.", instance=instance.id, data_centre=instance.data_centre
        )

    def reload(self, settings: Settings) -> None:
        """Apply the settings that can change while running: the seeds."""
        self._gossip.update_seeds(settings.fleet.seeds)
        self._log.info("Reloaded.", seeds=[str(s) for s in settings.fleet.seeds])

    async def stop(self) -> None:
        """Answer running requests, refuse new ones after the notice time, and close."""
        started_at = self._clock.now()
        self._is_stopping = True
        self._membership.stopping = True
        self._start_round()
        self._ingress.closes_connections = True
        self._log.info("Stopping.", running=self._ingress.running_requests)
        ends_at = started_at + self._settings.gateway.stop_grace - _STOP_MARGIN_S
        noticed_at = started_at + self._settings.stop.notice
        self._stop_plan.begin(ends_at)
        # A request that comes later on a persistent connection might not end in time.
        self._refuses_requests_from = noticed_at
        while self._clock.now() < ends_at:
            if self._clock.now() >= noticed_at and self._running_requests == 0:
                break
            await asyncio.sleep(_STOP_POLL_S)
        self._log.info("Stopped.", cut=self._running_requests)
        self._stop_plan.is_cutting = True
        await self._ingress.close()
        await self._readiness_server.close()
        await self._metrics_server.close()
        await self._tasks.close()
        await self._use_notifier.close()
        await self._coordinator.close()
        self._peer_server.close()
        self._peers.close()

    def _caller_limits(self) -> CallerLimits:
        limits = self._settings.limits
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if limits.descriptors:
            descriptors = min(descriptors, limits.descriptors)
        return CallerLimits(
            body_bytes=limits.body,
            head_bytes=_MAX_HEAD_BYTES,
            connections=count_connections(descriptors),
            idle_s=limits.idle_connection,
            head_s=limits.head_time,
            stall_s=limits.body_stall,
            body_bytes_per_s=limits.body_rate,
            unread_s=limits.slow_reader,
        )

    @property
    def _running_requests(self) -> int:
        return self._ingress.running_requests + self._forwarded.running

    def _has_all_slots(self, service: str) -> bool:
        """Return whether nothing but its slots limits what an endpoint runs."""
        table = self._catalogue.table
        return table is not None and not table.is_for_engine(service)

    def _may_receive(self, peer: str, allowed: AllowedRegions) -> bool:
        """Return whether a peer may have the body of a request."""
        return self._regions.allows_instance(
            self._membership.data_centre_of(peer),
            allowed,
            self._settings.instance.data_centre,
        )

    def _is_alone(self) -> bool:
        """Return whether this instance has peers and has heard none of them yet."""
        if self._membership.known_members:
            return False
        own = self._settings.listen.peers
        return any(seed != own for seed in self._settings.fleet.seeds)

    def _is_unsure(self) -> bool:
        """Return whether this instance may not know yet what its peers know.

        A peer that has just started, too, knows no more.
        """
        if not self._settings.fleet.seeds:
            return False
        is_starting = self._clock.now() < self._started_at + _STARTUP_S
        if is_starting and not self._membership.has_older_members():
            return True
        return self._is_alone()

    def _has_adapter(self, engine: str, adapter: str) -> bool:
        version = self._catalogue.newest_version(adapter)
        return self._view.ready_at(engine, (adapter, version)) is not None

    def _tell_lost_services(self, services: frozenset[str]) -> None:
        """Tell peers at once to which services this instance has lost its paths."""
        self._membership.lost_services = services
        self._membership.advance_heartbeat(self._clock.now())
        self._start_round()

    def _start_round(self) -> None:
        self._tasks.start(self._gossip.run_round())

    async def _run_rounds(self) -> None:
        """Run gossip and maintenance in each interval, a shorter one at the start."""
        started_at = self._clock.now()
        while True:
            self._current_schedule = schedule_for(
                self._membership.size, self._schedule_settings
            )
            self._start_round()
            self._tasks.start(self._run_maintenance())
            is_starting = self._clock.now() - started_at < _STARTUP_S
            interval_s = self._schedule().interval_s
            if is_starting:
                interval_s *= _STARTUP_INTERVAL_FACTOR
            due_at = self._clock.now() + interval_s
            await asyncio.sleep(interval_s)
            self._record_round_delay(self._clock.now() - due_at)

    def _record_era(self, change: EraChange) -> None:
        self._store_contact.record_return()
        self._metrics.store_returns.inc()
        self._log.warning(
            "Store returned from an older copy.",
            source=change.source,
            known=str(change.known),
            copy=str(change.copy),
            kept=change.kept_keys,
        )

    def _record_round_delay(self, late_s: float) -> None:
        self._metrics.round_delay.observe(max(late_s, 0.0))
        if late_s >= _LATE_ROUND_S:
            self._log.warning("Round late.", late_s=round(late_s, 3))

    def _schedule(self) -> GossipSchedule:
        return self._current_schedule

    def _heard_share(self) -> float:
        return self._membership.heard_share(
            self._schedule().max_heartbeat_age_s, self._clock.now()
        )

    def _has_quorum(self) -> bool:
        return self._membership.has_quorum(self._clock.now())

    async def _run_maintenance(self) -> None:
        logs.flush()
        live_members = self._membership.live_members(self._clock.now())
        self._member_log.log_changes(live_members, has_quorum=self._has_quorum())
        # Without a quorum, callers are better served by other instances; closing their
        # connections makes them reconnect there.
        self._ingress.closes_connections = self._is_stopping or not self._has_quorum()
        self._catalogue.drop_expired_endpoints()
        engines = self._catalogue.ready_engines()
        self._report_log.log_changes(
            (engine.id for engine, _ in engines), self._clock.now()
        )
        self._coordinator.update_engines(engines)
        self._evacuations.record_running(
            self._count_evacuated_requests(), self._clock.now()
        )
        self._use_notifier.update_engines(engines)
        self._health.retain_only(self._directory.by_id)
        self._statements.drop_expired(self._directory.by_id)
        self._rooms.retain_only(self._directory.by_id.values())
        self._limit_grantor.update(self._limits.limited())
        await self._coordinator.read_reports()
        await self._coordinator.load_models()

    def _count_evacuated_requests(self) -> dict[str, int]:
        """Return the own requests that run in evacuated data centres, by centre."""
        running = dict.fromkeys(self._evacuations.data_centres, 0)
        for endpoint in self._directory.by_id.values():
            if endpoint.data_centre in running:
                running[endpoint.data_centre] += self._rooms.count_running(endpoint.id)
        return running

    async def _serve_metrics(
        self, request: IngressRequest, reply: IngressReply
    ) -> None:
        metrics = self._metrics
        metrics.live_members.set(len(self._membership.live_members(self._clock.now())))
        metrics.coordinated_engines.set(self._coordinator.engine_count)
        self._coordinator.record_metrics()
        metrics.store_outage.set(self._store_contact.outage_s)
        metrics.store_era.set(self._mirror.revision.era)
        metrics.blocked_parts.set(self._crash_guard.count_blocked())
        metrics.running_requests.set(self._ingress.running_requests)
        metrics.forwarded_requests.set(self._forwarded.running)
        metrics.cut_services.set(self._path_prober.cut_services)
        metrics.brittle_services.set(len(self._rooms.brittle_services()))
        evacuated = self._count_evacuated_requests()
        metrics.evacuated_data_centres.set(len(evacuated))
        metrics.evacuated_requests.set(sum(evacuated.values()))
        metrics.cold_endpoints.set(len(self._cold.current(self._clock.now())))
        metrics.limited_endpoints.set(len(self._limits.named()))
        metrics.record_held_bytes(self._held)
        self._update_engines()
        metrics.record_callers(
            self._ingress.count_connections(), self._ingress.take_given_up()
        )
        table = self._catalogue.table
        if table is not None:
            metrics.configuration_version.set(table.version)
            for service in table.services:
                ready = len(self._directory.find_ready(service))
                metrics.ready_endpoints.labels(service).set(ready)
        for level, dropped in logs.dropped_lines().items():
            metrics.dropped_log_lines.labels(level).set(dropped)
        headers = HTTPHeaders({"Content-Type": "text/plain; version=0.0.4"})
        await reply.respond(200, headers, metrics.render_text())

    def _update_engines(self) -> None:
        now = self._clock.now()
        ages = self._metrics.engine_report_age
        speeds = self._metrics.engine_speed
        ages.clear()
        speeds.clear()
        engines = [engine for engine, _ in self._catalogue.ready_engines()]
        for service in {engine.service for engine in engines}:
            own = [engine for engine in engines if engine.service == service]
            self._engine_speeds.refresh(service, own, now)
        for engine in engines:
            age_s = self._view.report_age_s(engine.id, now)
            ages.labels(engine.id).set(math.inf if age_s is None else age_s)
            speeds.labels(engine.id).set(self._engine_speeds.relative_speed(engine))

    async def _serve_readiness(
        self, request: IngressRequest, reply: IngressReply
    ) -> None:
        has_table = self._catalogue.table is not None
        is_ready = has_table and not self._is_stopping and self._has_quorum()
        await reply.respond(200 if is_ready else 503, HTTPHeaders(), b"")
