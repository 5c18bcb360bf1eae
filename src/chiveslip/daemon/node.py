"""Creates and connects all parts of one instance except its sockets.

Everything outside the process is passed in: the clock, random numbers, the source of
published documents, the other instances, and connections to endpoints.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import final

import attrs

from chiveslip import logs
from chiveslip.allowance.manager import AllowanceManager
from chiveslip.allowance.manager import CreditTimes
from chiveslip.allowance.owned_buckets import AllowanceLimits
from chiveslip.audit import AuditTrail
from chiveslip.clock import Clock
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.model import State
from chiveslip.configuration.source import ConfigurationSource
from chiveslip.configuration.updater import ConfigurationUpdater
from chiveslip.configuration.updater import UpdaterTimings
from chiveslip.dispatch.admission import Admission
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.engine_calls import EngineCallTools
from chiveslip.dispatch.pipeline import PipelineTools
from chiveslip.dispatch.retry_budget import RetryBudget
from chiveslip.dispatch.service_calls import ServiceCallTools
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.engines.permits import EnginePermits
from chiveslip.engines.protocol import OpenAIProtocol
from chiveslip.engines.task import STORE_ACCOUNT
from chiveslip.engines.task import EngineTimes
from chiveslip.engines.task import EngineTools
from chiveslip.fleet.fleet import ConfigurationHooks
from chiveslip.fleet.fleet import Fleet
from chiveslip.fleet.fleet import FleetTimes
from chiveslip.fleet.handover import HandOvers
from chiveslip.fleet.history import ViewHistory
from chiveslip.fleet.ownership import Ownership
from chiveslip.fleet.peers import Peers
from chiveslip.fleet.service import PeerParts
from chiveslip.generated.settings import Settings
from chiveslip.idempotency.claims import Claims
from chiveslip.idempotency.records import RecordLimits
from chiveslip.idempotency.records import Records
from chiveslip.idempotency.replication import RecordReplicator
from chiveslip.services.endpoint_selector import EndpointSelector
from chiveslip.services.health import EndpointHealth
from chiveslip.services.protocol import PlainHttpProtocol

_POLL_INTERVAL_S = 0.05


@attrs.frozen(kw_only=True)
class NodeDependencies:
    """Interfaces of a node to the outside of its process.

    Attributes
    ----------
    incarnation
        Unique id of this process among all that run under the same instance id.
    """

    clock: Clock
    generator: random.Random
    incarnation: str
    source: ConfigurationSource
    peers: Peers
    connector: Connector


@final
class Node:
    """All parts of an instance except its sockets."""

    def __init__(
        self, settings: Settings, dependencies: NodeDependencies, ownership: Ownership
    ) -> None:
        self._settings = settings
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._instance_id = settings.instance.id
        self._log = logs.get_logger("daemon")
        self._ownership = ownership
        self._audit = AuditTrail(self._instance_id, settings.audit.lines)
        self._suspects = CrashSuspects()
        self._history = ViewHistory(settings.idempotency.retention)
        self._fleet = self._make_fleet()
        self._updater = self._make_updater()
        self._fleet.configuration = ConfigurationHooks(
            lambda: self._updater.store.newest_revision, self._updater.pull_if_newer
        )
        self._allowances = self._make_allowances()
        self._engine_permits = self._make_engine_permits()
        self._records = self._make_records()
        self._replicator = self._make_replicator()
        self._claims = self._make_claims()
        self._hand_overs = self._make_hand_overs()
        self._fleet.before_view_change = self._hand_overs.hand_over_moved_buckets
        self._fleet.on_owners_changed = self._allowances.release_moved_buckets
        self._fleet.after_view_change = self._replicator.start_replication
        self._admission = Admission(lambda: self._updater.current)
        self._pipeline = self._make_pipeline()

    @property
    def pipeline(self) -> PipelineTools:
        """Objects that the pipelines of calls share."""
        return self._pipeline

    @property
    def admission(self) -> Admission:
        """Admission and count of calls."""
        return self._admission

    @property
    def audit(self) -> AuditTrail:
        """The audit trail."""
        return self._audit

    @property
    def fleet(self) -> Fleet:
        """Heartbeats, views and lists of the fleet."""
        return self._fleet

    @property
    def configuration_updater(self) -> ConfigurationUpdater:
        """Updater of the active configuration."""
        return self._updater

    @property
    def allowances(self) -> AllowanceManager:
        """Manager of the allowances."""
        return self._allowances

    @property
    def engine_permits(self) -> EnginePermits:
        """Permits of the engines that this instance owns."""
        return self._engine_permits

    @property
    def incarnation(self) -> str:
        """Unique id of this process among those under the same instance id."""
        return self._dependencies.incarnation

    @property
    def peer_parts(self) -> PeerParts:
        """Parts that answer requests of peers."""
        return PeerParts(
            fleet=self._fleet,
            configuration_updater=self._updater,
            allowances=self._allowances,
            engine_permits=self._engine_permits,
            claims=self._claims,
            replicator=self._replicator,
            hand_overs=self._hand_overs,
        )

    def start(self) -> None:
        """Start the tasks of all parts."""
        self._fleet.start()
        self._updater.start()
        self._engine_permits.start()

    async def join(self) -> None:
        """Wait until this instance has the state of the fleet, then serve calls."""
        while not self._has_joined():
            await asyncio.sleep(_POLL_INTERVAL_S)
        while not await self._fleet.fetch_history():
            await asyncio.sleep(_POLL_INTERVAL_S)
        if not self._fleet.has_seen_serving_peer:
            # No instance served before, so no record of a call can be missing.
            self._records.set_complete_since(float("-inf"))
        # The leases and credits of previous owners have ended after the hold-off.
        await asyncio.sleep(self._settings.fleet.hold_off)
        self._fleet.serving = True
        self._admission.mark_joined()
        self._log.info("Ready.", instance=self._instance_id)

    async def drain(self, stop_listening: Callable[[], None]) -> None:
        """Stop serving without interrupting calls, and hand over the state.

        Parameters
        ----------
        stop_listening
            Called after the time in which the load balancer learns of the stop.
        """
        stop = self._settings.stop
        self._log.info("Stopping.", running=self._admission.running)
        self._admission.is_stopping = True
        self._fleet.stopping = True
        await asyncio.sleep(stop.notice)
        stop_listening()
        if not await self._admission.wait_until_drained(stop.drain):
            self._log.warning(
                "Calls are still running after the drain timeout.",
                running=self._admission.running,
            )
        self._admission.is_refusing = True
        # Ownership moves, with its state, when the list of instances marks this one as
        # leaving; until then the other instances still rely on it.
        ends_at = self._clock.now() + stop.leave
        while self._is_listed_live() and self._clock.now() < ends_at:
            await asyncio.sleep(_POLL_INTERVAL_S)
        await self._hand_overs.wait_until_finished()
        await self._replicator.wait_until_replicated(stop.leave)

    async def close(self) -> None:
        """Stop the tasks of all parts and close the connections."""
        await self._engine_permits.close()
        await self._allowances.close()
        await self._claims.close()
        await self._replicator.close()
        await self._hand_overs.close()
        await self._updater.close()
        await self._fleet.close()
        await self._dependencies.peers.close()
        self._dependencies.connector.close()
        await self._dependencies.source.close()

    def _is_listed_live(self) -> bool:
        entry = self._ownership.find_instance(self._instance_id)
        return entry is not None and entry.state is State.LIVE

    def _has_joined(self) -> bool:
        has_documents = (
            self._updater.current is not None and self._fleet.endpoints.revision > 0
        )
        return has_documents and self._ownership.check_lease(self._clock.now())

    def _find_limits(self, account: str) -> AllowanceLimits | None:
        configuration = self._updater.current
        if configuration is None:
            return None
        if account == STORE_ACCOUNT:
            return _make_store_limits(configuration)
        _, _, name = account.partition("/")
        organisation = configuration.organisations.get(name)
        if organisation is None:
            return None
        return AllowanceLimits(rate=organisation.rate, burst=organisation.burst)

    def _make_fleet(self) -> Fleet:
        return Fleet(
            instance_id=self._instance_id,
            data_centre=self._settings.instance.data_centre,
            incarnation=self._dependencies.incarnation,
            ownership=self._ownership,
            peers=self._dependencies.peers,
            source=self._dependencies.source,
            clock=self._clock,
            times=FleetTimes(
                heartbeat_interval_s=self._settings.fleet.confirm,
                max_watch_s=self._settings.configuration.watch,
                retry_delay_s=self._settings.configuration.retry,
            ),
            audit=self._audit,
            suspects=self._suspects,
            history=self._history,
        )

    def _make_updater(self) -> ConfigurationUpdater:
        return ConfigurationUpdater(
            instance_id=self._instance_id,
            source=self._dependencies.source,
            peers=self._dependencies.peers,
            audit=self._audit,
            timings=UpdaterTimings(
                max_watch_s=self._settings.configuration.watch,
                retry_delay_s=self._settings.configuration.retry,
            ),
            reads_source=self._fleet.is_configuration_reader,
        )

    def _make_allowances(self) -> AllowanceManager:
        return AllowanceManager(
            instance_id=self._instance_id,
            incarnation=self._dependencies.incarnation,
            clock=self._clock,
            peers=self._dependencies.peers,
            ownership=self._ownership,
            get_limits=self._find_limits,
            times=CreditTimes(
                credit_s=self._settings.allowance.credit,
                horizon_s=self._settings.allowance.horizon,
            ),
        )

    def _make_engine_permits(self) -> EnginePermits:
        tools = EngineTools(
            clock=self._clock,
            pool=self._dependencies.connector,
            protocol=OpenAIProtocol(),
            allowances=self._allowances,
            audit=self._audit,
            times=EngineTimes(
                report_interval_s=self._settings.engines.report,
                load_timeout_s=self._settings.engines.load_timeout,
            ),
        )
        return EnginePermits(
            instance_id=self._instance_id,
            fleet=self._fleet,
            peers=self._dependencies.peers,
            tools=tools,
            max_queue_length=self._settings.engines.queue,
        )

    def _make_records(self) -> Records:
        limits = RecordLimits(
            retention_s=self._settings.idempotency.retention,
            max_records=self._settings.idempotency.records,
            max_answer_bytes=self._settings.idempotency.answer,
        )
        return Records(limits, complete_since=self._clock.now())

    def _make_claims(self) -> Claims:
        return Claims(
            instance_id=self._instance_id,
            clock=self._clock,
            ownership=self._ownership,
            peers=self._dependencies.peers,
            records=self._records,
            replica_count=self._settings.idempotency.replicas,
            history=self._history,
            replicator=self._replicator,
        )

    def _make_replicator(self) -> RecordReplicator:
        return RecordReplicator(
            instance_id=self._instance_id,
            clock=self._clock,
            ownership=self._ownership,
            peers=self._dependencies.peers,
            records=self._records,
            replica_count=self._settings.idempotency.replicas,
            history=self._history,
        )

    def _make_hand_overs(self) -> HandOvers:
        return HandOvers(
            instance_id=self._instance_id,
            clock=self._clock,
            ownership=self._ownership,
            peers=self._dependencies.peers,
            owned_buckets=self._allowances.owned_buckets,
            limits_of=self._find_limits,
        )

    def _make_pipeline(self) -> PipelineTools:
        return PipelineTools(
            clock=self._clock,
            limits=self._settings.limits,
            admission=self._admission,
            engine_calls=self._make_engine_call_tools(),
            service_calls=self._make_service_call_tools(),
        )

    def _make_engine_call_tools(self) -> EngineCallTools:
        return EngineCallTools(
            instance_id=self._instance_id,
            clock=self._clock,
            allowances=self._allowances,
            engine_permits=self._engine_permits,
            pool=self._dependencies.connector,
            protocol=OpenAIProtocol(),
            retry_budget=self._make_retry_budget(),
            count_instances=self._count_instances,
            suspects=self._suspects,
            configuration=lambda: self._updater.current,
            endpoints=lambda: self._fleet.endpoints,
            max_idle_s=self._settings.engines.chunk_silence,
        )

    def _make_service_call_tools(self) -> ServiceCallTools:
        return ServiceCallTools(
            instance_id=self._instance_id,
            clock=self._clock,
            allowances=self._allowances,
            claims=self._claims,
            pool=self._dependencies.connector,
            protocol=PlainHttpProtocol(),
            endpoint_selector=EndpointSelector(
                EndpointHealth(),
                self._settings.instance.data_centre,
                self._dependencies.generator,
            ),
            retry_budget=self._make_retry_budget(),
            count_instances=self._count_instances,
            configuration=lambda: self._updater.current,
            endpoints=lambda: self._fleet.endpoints,
            max_retries=self._settings.services.retries,
        )

    def _make_retry_budget(self) -> RetryBudget:
        services = self._settings.services
        return RetryBudget(
            share=services.retry_budget,
            slack=services.retry_slack,
            window_s=services.retry_window,
        )

    def _count_instances(self) -> int:
        return len(self._ownership.members)


def _make_store_limits(configuration: Configuration) -> AllowanceLimits:
    store = configuration.weight_store
    # Half of the loads in flight may start at once; the other half is reserved for
    # loads that take longer than expected.
    return AllowanceLimits(
        rate=store.loads_per_s, burst=max(store.loads_in_flight / 2, 1.0)
    )
