"""A large fleet in virtual time, and what it earns of the worth owed to its callers.

Instances run the product's gateway, engine selection, placement, endpoint health and
engine coordination. The engines, the callers, the exchange of reports and the network
are simulated, and processing takes an instance no time.
"""

from __future__ import annotations

import asyncio
import collections
import enum
import itertools
import random
from collections.abc import Callable
from collections.abc import Coroutine
from typing import cast
from typing import final

import attrs
import looptime
from tornado.httputil import HTTPHeaders

from bench.fleet_faults import Fault
from bench.fleet_load import MAX_PAUSE_S
from bench.fleet_load import Load
from bench.fleet_load import RequestGenerator
from bench.fleet_load import StreamClass
from bench.fleet_load import StreamRequest
from bench.simulated_endpoints import MODEL
from bench.simulated_endpoints import SERVICE
from bench.simulated_engine import EngineProperties
from bench.simulated_engine import EngineRun
from bench.simulated_engine import EngineState
from bench.simulated_engine import RunAnswer
from bench.simulated_engine import SimulatedEngine
from bench.simulated_engine import WeightStore
from chiveslip import hashing
from chiveslip.clock import Clock
from chiveslip.dispatch.part_suspects import PartSuspects
from chiveslip.dispatch.retry_budget import RetryBudget
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.fleet.gossip_schedule import MIN_FAN_OUT
from chiveslip.fleet.gossip_schedule import GossipSchedule
from chiveslip.fleet.gossip_schedule import GossipScheduleSettings
from chiveslip.fleet.gossip_schedule import schedule_for
from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.fleet.gossip_updates import EngineUseUpdate
from chiveslip.fleet.use_notices import UseNotices
from chiveslip.fleet.use_notices import Uses
from chiveslip.fleet.use_notifier import UseNotifier
from chiveslip.fleet.use_notifier import UsePeers
from chiveslip.gateway.adapter_waits import SlotNeed
from chiveslip.gateway.allowance_requests import AllowanceRequests
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.call import Call
from chiveslip.gateway.coordinator_rights import CoordinatorRights
from chiveslip.gateway.crash_detection import CrashDetector
from chiveslip.gateway.crash_guard import CrashGuard
from chiveslip.gateway.delivery import LOCAL_DELIVERY
from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.gateway.engine_coordinator import EngineCoordinator
from chiveslip.gateway.engine_coordinator import LoadResult
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_failures import EngineStart
from chiveslip.gateway.engine_reports import EngineReports
from chiveslip.gateway.engine_selection import EngineTargetSelector
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_speeds import SpeedEvidence
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.event_pauses import WINDOW_S
from chiveslip.gateway.forwarding import Gateway
from chiveslip.gateway.forwarding import GatewayDependencies
from chiveslip.gateway.handover import Handover
from chiveslip.gateway.handover import PeerForwarder
from chiveslip.gateway.ingress import IngressReply
from chiveslip.gateway.ingress import IngressRequest
from chiveslip.gateway.limit_grants import LimitGrantor
from chiveslip.gateway.limit_requests import LimitPeers
from chiveslip.gateway.limit_requests import LimitRequests
from chiveslip.gateway.load_requests import LoadRequests
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.protocol import AnswerMetadata
from chiveslip.gateway.protocol import ForwardingContext
from chiveslip.gateway.protocol import GatewayProtocol
from chiveslip.gateway.protocol import RequestMetadata
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.gateway.routing import Route
from chiveslip.gateway.routing import RoutingTable
from chiveslip.gateway.routing import Service
from chiveslip.gateway.routing import group_by_host
from chiveslip.gateway.sending import Attempt
from chiveslip.gateway.sending import AttemptResult
from chiveslip.gateway.sending import Sender
from chiveslip.gateway.sending import StreamState
from chiveslip.gateway.stop_plan import StopPlan
from chiveslip.gateway.telemetry import RequestTelemetry
from chiveslip.services.health import EndpointHealth

_HOST = "entry"
_GOSSIP = GossipScheduleSettings(
    interval_s=0.25,
    fan_out=6,
    heartbeat_timeout_s=1.5,
    batch_delay_s=0.35,
    max_watch_s=1.0,
)
_LEASE_S = 3.0
_RETRY_SHARE = 0.2
_RETRY_SLACK = 222.0
_RETRY_WINDOW_S = 10.0
# Instances run for this time before the traffic begins.
_LEAD_S = 4.5
_MODEL_LOADS_PER_S = 19.0
_MODEL_MB = 72_700.0
_ENGINE_MB = 75_300.0
# One way within the deployment, and to a caller.
_HOP_S = 0.0005
_CALLER_HOP_S = 0.003
_CONNECT_TIMEOUT_S = 1.0
_REPORT_TIMEOUT_S = 1.0
_LOAD_REQUEST_TIMEOUT_S = 1.2
_IDLE_CONNECTION_S = 4.0
# The store lists an engine this long after its start, and until this long after its
# last heartbeat.
_LISTING_LAG_S = 0.8
_LISTING_EXPIRY_S = 3 * 1.2
# Bounds of the delay until an instance has read a change of the store, and until it
# has the change from its peers instead.
_READ_DELAY_S = (0.0, 1.2)
_PEER_DELAY_S = (1.2, 3.0)
_MAX_CALLER_ATTEMPTS = 2


@attrs.frozen(kw_only=True)
class EngineFleet:
    """The engines of a deployment and its weight store.

    Attributes
    ----------
    fetch_s
        Time in seconds of a fetch from the weight store at full speed.
    """

    engines: int = 30
    properties: EngineProperties = attrs.field(factory=EngineProperties)
    fetch_s: float = 0.25
    max_full_speed_fetches: int = 40


@attrs.frozen(kw_only=True)
class Scenario:
    """A load, the faults that occur under it, and what has to be earned.

    Attributes
    ----------
    data_centre_floor, class_floor
        Share of the worth owed that each data centre and each class has to earn.
    tells_uses_at_once
        Whether instances tell coordinators the adapters in use in calls of their own,
        or by gossip only, as older ones do.
    engine_speeds
        Speeds of the engines, in turn.
    uses_speeds
        Whether placement uses what the instances learn of the engines' speeds.
    """

    name: str
    load: Load
    faults: tuple[Fault, ...] = ()
    data_centre_floor: float = 0.0
    class_floor: float = 0.0
    engine_fleet: EngineFleet = EngineFleet()
    tells_uses_at_once: bool = True
    engine_speeds: tuple[float, ...] = (1.0,)
    uses_speeds: bool = True


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"
    """The caller left without an event."""


@attrs.frozen(kw_only=True, eq=False)
class RequestResult:
    """What a request earned.

    Attributes
    ----------
    first_event_s, first_sent_s, sent_s
        Times in seconds from the caller's first attempt to the first event, and to the
        first and the last sending to an engine in the last attempt.
    max_pause_s
        Longest time in seconds between two events.
    engine
        Engine of the last attempt, or empty if no engine was asked.
    """

    request: StreamRequest
    outcome: Outcome
    earned: float
    first_event_s: float | None
    first_sent_s: float | None
    sent_s: float | None
    max_pause_s: float
    engine: str


@attrs.frozen(kw_only=True, eq=False)
class FleetResult:
    """Results of a run.

    Attributes
    ----------
    max_queues
        Largest queue of each engine.
    report_ages_s
        Times from the reading of a report to its arrival at an instance, sorted.
    engine_refusals
        Arrivals at engines that were not run, by result.
    use_notices_per_s
        Notices of uses per second and instance.
    crashes
        Engines that crashed, as they were ordered to hold too many adapters.
    """

    requests: list[RequestResult]
    max_queues: dict[str, int]
    report_ages_s: list[float]
    fetches: int
    engine_refusals: dict[AttemptResult, int]
    use_notices_per_s: float = 0.0
    crashes: int = 0

    @property
    def earned_share(self) -> float:
        """Share of all worth that was earned."""
        return _earned_share(self.requests)

    def earned_by_data_centre(self) -> dict[str, float]:
        """Return the earned share by data centre."""
        return self._earned_by(lambda result: result.request.data_centre)

    def earned_by_class(self) -> dict[str, float]:
        """Return the earned share by class of requests."""
        return self._earned_by(lambda result: result.request.stream_class.name)

    def served_by_class(self) -> dict[str, float]:
        """Return the share of the requests of each class that were served."""
        groups: dict[str, list[bool]] = collections.defaultdict(list)
        for result in self.requests:
            is_served = result.outcome in (Outcome.IN_TIME, Outcome.LATE)
            groups[result.request.stream_class.name].append(is_served)
        return {name: sum(groups[name]) / len(groups[name]) for name in sorted(groups)}

    def share_with(self, outcome: Outcome) -> float:
        """Return the share of the worth owed to requests with an outcome."""
        owed = sum(result.request.worth for result in self.requests)
        lost = sum(r.request.worth for r in self.requests if r.outcome is outcome)
        return lost / owed

    def late_shares(self) -> tuple[float, float, float]:
        """Return the shares of worth that are late, by cause.

        Returns
        -------
        tuple
            Late mostly before the sending to an engine, mostly at the engine, and only
            because of a pause.
        """
        late = [r for r in self.requests if r.outcome is Outcome.LATE]
        before = at_engine = pauses = 0.0
        for result in late:
            assert result.first_event_s is not None
            assert result.sent_s is not None
            if result.first_event_s <= result.request.stream_class.aim_s:
                pauses += result.request.worth
            elif result.sent_s > result.first_event_s / 2:
                before += result.request.worth
            else:
                at_engine += result.request.worth
        owed = sum(result.request.worth for result in self.requests)
        return before / owed, at_engine / owed, pauses / owed

    def _earned_by(self, key: Callable[[RequestResult], str]) -> dict[str, float]:
        groups: dict[str, list[RequestResult]] = collections.defaultdict(list)
        for result in self.requests:
            groups[key(result)].append(result)
        return {name: _earned_share(groups[name]) for name in sorted(groups)}


def _earned_share(results: list[RequestResult]) -> float:
    owed = sum(result.request.worth for result in results)
    return sum(result.earned for result in results) / owed


@final
class LoopClock(Clock):
    """Clock of an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._loop.time()


@final
class SimulatedReply:
    """A caller's side of one attempt."""

    def __init__(self, request: StreamRequest) -> None:
        self.request = request
        self.first_event_at: float | None = None
        self.max_pause_s = 0.0
        self.last_event_at: float | None = None
        self.first_sent_at: float | None = None
        self.sent_at: float | None = None
        self.is_complete = False
        self.is_refused = False
        self.status = 0
        self.retry_after_s: float | None = None
        self.engine = ""

    @property
    def has_started(self) -> bool:
        """Whether the head of the answer was written."""
        return self.first_event_at is not None

    async def respond(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Record a refusal."""
        advice = headers.get("Retry-After")
        self.is_refused = True
        self.status = status
        self.retry_after_s = None if advice is None else float(advice)

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Record the first event."""
        self.status = status
        self.first_event_at = asyncio.get_running_loop().time() + _CALLER_HOP_S

    def end(self) -> None:
        """Record the end of a complete stream."""
        self.is_complete = True

    def abort(self) -> None:
        """Record that the stream was broken off."""


@final
class SimulatedProtocol(GatewayProtocol):
    """Headers of the simulated callers."""

    def parse_request(self, headers: HTTPHeaders) -> RequestMetadata:
        """Return the metadata in a caller's headers."""
        return RequestMetadata(
            request_id=headers["X-Request-Id"],
            key="",
            max_wait_s=None,
            model=MODEL,
            adapter=headers.get("X-Adapter", ""),
            prompt_tokens=int(headers["X-Prompt-Tokens"]),
            output_tokens=int(headers["X-Output-Tokens"]),
            last_event_id="",
        )

    def build_endpoint_headers(
        self, headers: HTTPHeaders, context: ForwardingContext
    ) -> dict[str, str]:
        """Return no headers; simulated engines need none."""
        return {}

    def build_forwarded_headers(
        self, headers: HTTPHeaders, last_event_id: str
    ) -> HTTPHeaders:
        """Return the headers unchanged."""
        return headers

    def parse_answer(self, status: int, headers: HTTPHeaders) -> AnswerMetadata:
        """Return the metadata of a genuine answer."""
        return AnswerMetadata(is_genuine=True, did_not_run=False, lacks_adapter=False)

    def build_answer_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers unchanged."""
        return headers

    def build_refusal_headers(self, request_id: str, code: int) -> HTTPHeaders:
        """Return the headers of a refusal."""
        return HTTPHeaders()


@final
class SimulatedSender:
    """Sends the requests of one instance to simulated engines."""

    def __init__(self, fleet: SimulatedFleet, directory: EndpointDirectory) -> None:
        self._fleet = fleet
        self._directory = directory
        self._idle_connections: dict[str, list[float]] = {}

    async def is_reachable(self, endpoint: ListedEndpoint) -> bool:
        """Return whether a new connection to an endpoint can be opened."""
        engine = self._fleet.process(endpoint)
        if engine.state is EngineState.DARK:
            await asyncio.sleep(_CONNECT_TIMEOUT_S)
        return engine.state is EngineState.UP

    async def send(
        self,
        call: Call,
        context: ForwardingContext,
        stream: StreamState,
        *,
        withholds_failure: bool,
        may_send: Callable[[], bool],
        on_first_event: Callable[[], None],
        on_progress: Callable[[], None],
    ) -> Attempt:
        """Send a request to an engine and forward its answer."""
        engine = self._fleet.process(context.endpoint)
        if not await self._connect(engine):
            return Attempt(result=AttemptResult.NOT_SENT)
        if not self._directory.accepts_work(context.endpoint):
            return Attempt(result=AttemptResult.ENDPOINT_LEFT)
        call.was_sent = True
        reply = cast(SimulatedReply, call.reply)
        reply.engine = context.endpoint.id
        reply.sent_at = asyncio.get_running_loop().time()
        call.attempt_times[-1].sent_at = reply.sent_at
        reply.first_sent_at = reply.first_sent_at or reply.sent_at
        try:
            async with asyncio.timeout(context.remaining_s):
                return await self._exchange(
                    engine, call, context, stream, on_first_event
                )
        except TimeoutError:
            return _interrupted(stream, AttemptResult.DEADLINE_PASSED)

    async def _connect(self, engine: SimulatedEngine) -> bool:
        """Return whether a connection is open, an idle one or a new one."""
        now = asyncio.get_running_loop().time()
        idle = self._idle_connections.get(engine.listed.id, [])
        while idle:
            if idle.pop() > now and engine.state is not EngineState.DOWN:
                return True
        if engine.state is EngineState.DARK:
            await asyncio.sleep(_CONNECT_TIMEOUT_S)
            return False
        await asyncio.sleep(2 * _HOP_S)
        return engine.state is EngineState.UP

    def _keep_connection(self, engine: SimulatedEngine) -> None:
        idle = self._idle_connections.setdefault(engine.listed.id, [])
        idle.append(asyncio.get_running_loop().time() + _IDLE_CONNECTION_S)

    async def _exchange(
        self,
        engine: SimulatedEngine,
        call: Call,
        context: ForwardingContext,
        stream: StreamState,
        on_first_event: Callable[[], None],
    ) -> Attempt:
        await asyncio.sleep(_HOP_S)
        if self._fleet.random.random() < engine.reset_share:
            return Attempt(result=AttemptResult.UNKNOWN)
        if engine.state is not EngineState.UP:
            await engine.ended
            return _interrupted(stream, AttemptResult.UNKNOWN)
        run = _build_run(call, context)
        answer = engine.offer(run)
        if answer is not RunAnswer.ACCEPTED:
            await asyncio.sleep(_HOP_S)
            self._keep_connection(engine)
            call.was_sent = False
            result = (
                AttemptResult.LACKS_ADAPTER
                if answer is RunAnswer.LACKS_ADAPTER
                else AttemptResult.NOT_RUN
            )
            self._fleet.record_engine_refusal(result)
            return Attempt(result=result)
        try:
            attempt = await self._forward(engine, run, call, stream, on_first_event)
        finally:
            engine.cancel(run)
        if attempt.result is AttemptResult.ANSWERED:
            self._keep_connection(engine)
        return attempt

    async def _forward(
        self,
        engine: SimulatedEngine,
        run: EngineRun,
        call: Call,
        stream: StreamState,
        on_first_event: Callable[[], None],
    ) -> Attempt:
        reply = cast(SimulatedReply, call.reply)
        if not await run.first_event:
            return _interrupted(stream, AttemptResult.UNKNOWN)
        await asyncio.sleep(_HOP_S)
        on_first_event()
        now = asyncio.get_running_loop().time()
        if reply.last_event_at is not None:
            reply.max_pause_s = max(reply.max_pause_s, now - reply.last_event_at)
        if not stream.has_head:
            stream.has_head = True
            call.reply.start(200, HTTPHeaders())
        is_whole = await self._observe(engine, run, call)
        reply.max_pause_s = max(reply.max_pause_s, run.max_pause_s)
        reply.last_event_at = asyncio.get_running_loop().time()
        events = int(stream.splitter.last_event_id or 0) + run.events
        stream.splitter.feed(f"id: {events}\ndata:\n\n".encode())
        if not is_whole:
            return _interrupted(stream, AttemptResult.UNKNOWN)
        call.reply.end()
        return Attempt(result=AttemptResult.ANSWERED)

    async def _observe(
        self, engine: SimulatedEngine, run: EngineRun, call: Call
    ) -> bool:
        """Record the pauses of a run until its end; return whether it is whole."""
        pauses = call.attempt_times[-1].pauses
        assert pauses is not None
        recorded = 0
        while not run.end.done():
            await asyncio.wait({run.end}, timeout=WINDOW_S)
            times = engine.event_times(run)[recorded:]
            recorded += len(times)
            for at in times:
                pauses.record_events(1, at)
        return run.end.result()


def _interrupted(stream: StreamState, result_before_head: AttemptResult) -> Attempt:
    result = AttemptResult.TRUNCATED if stream.has_head else result_before_head
    return Attempt(result=result)


def _build_run(call: Call, context: ForwardingContext) -> EngineRun:
    loop = asyncio.get_running_loop()
    request = cast(SimulatedReply, call.reply).request
    made_tokens = int(context.last_event_id or 0) * 4
    return EngineRun(
        adapter=request.adapter,
        shared_parts=request.shared_parts,
        own_tokens=request.own_tokens + made_tokens,
        output_tokens=max(request.output_tokens - made_tokens, 1),
        priority=5 if context.priority is None else context.priority,
        first_event=loop.create_future(),
        end=loop.create_future(),
    )


@final
class SimulatedControl(EngineControl):
    """Reports of simulated engines, and orders to them."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet

    async def read_report(self, engine: ListedEndpoint) -> EngineReport:
        """Read an engine's report."""
        process = await self._reach(engine)
        if process.reports_fail:
            raise EngineControlError("the report cannot be read")
        self._fleet.record_read(engine)
        return process.report

    async def send_order(
        self, engine: ListedEndpoint, order: EngineOrder, may_send: Callable[[], bool]
    ) -> OrderAnswer:
        """Send an order to an engine."""
        process = await self._reach(engine)
        if not may_send():
            return OrderAnswer.WITHHELD
        answer = process.accept_order(order)
        await asyncio.sleep(_HOP_S)
        return answer

    async def _reach(self, engine: ListedEndpoint) -> SimulatedEngine:
        process = self._fleet.process(engine)
        if process.state is EngineState.DARK:
            await asyncio.sleep(_REPORT_TIMEOUT_S)
        else:
            await asyncio.sleep(2 * _HOP_S)
        if process.state is not EngineState.UP:
            raise EngineControlError("the engine does not answer")
        return process


@final
class SimulatedPeers:
    """Delivers load requests and notices of uses to other instances."""

    def __init__(self, fleet: SimulatedFleet, instance: str) -> None:
        self._fleet = fleet
        self._instance = instance

    async def tell_uses(
        self, peer: str, number: tuple[int, int], uses: list[EngineUseUpdate]
    ) -> None:
        """Tell a peer all uses of an instance."""
        self._fleet.use_notices += 1
        await asyncio.sleep(_HOP_S)
        view = self._fleet.instances[peer].view
        view.apply_use_notice(self._instance, uses, self._fleet.now(), number)
        await asyncio.sleep(_HOP_S)

    async def load(
        self,
        peer: str,
        engine: str,
        adapter: tuple[str, int],
        max_wait_s: float,
        need: SlotNeed,
    ) -> LoadResult:
        """Ask the coordinator of an engine to load an adapter."""
        await asyncio.sleep(2 * _HOP_S)
        coordinator = self._fleet.instances[peer].coordinator
        try:
            async with asyncio.timeout(_LOAD_REQUEST_TIMEOUT_S):
                return await coordinator.load_adapter(
                    engine, adapter, max_wait_s, self._instance, need
                )
        except TimeoutError as error:
            raise PeerError("the coordinator does not answer") from error


@attrs.frozen(kw_only=True)
class RelayedReport:
    """The engine states of one heartbeat of an instance.

    Attributes
    ----------
    read_at
        Time at which each state was read from its engine.
    """

    heartbeat: int
    made_at: float
    states: tuple[EngineStateUpdate, ...]
    read_at: dict[str, float]
    failures: dict[EngineStart, float] = attrs.field(factory=dict)
    speeds: dict[EngineStart, SpeedEvidence] = attrs.field(factory=dict)


@final
class SimulatedInstance:
    """One instance: the product's gateway, and its exchange with peers."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        fleet: SimulatedFleet,
        schedule: GossipSchedule,
    ) -> None:
        self._fleet = fleet
        self._schedule = schedule
        self._rounds = 0
        clock = fleet.clock
        self.name = name
        self.data_centre = data_centre
        self.has_quorum = True
        self.reads_store = True
        self.live_instances = fleet.instance_names
        self.directory = EndpointDirectory(EndpointStatements(clock))
        self.withheld_engines: set[str] = set()
        self.relayed: dict[str, RelayedReport] = {}
        self.view = EngineView(receives_all_peers=lambda: not schedule.relays_reports)
        self.health = EndpointHealth()
        self._failures = EngineFailures()
        self._speeds = EngineSpeeds()
        self._use_notices = UseNotices()
        control = SimulatedControl(fleet)
        load_times = LoadTimes(
            fetch_s=fleet.engine_fleet.fetch_s,
            reload_s=fleet.engine_fleet.properties.reload_s,
            max_full_speed_fetches=0,
        )
        peers = SimulatedPeers(fleet, name)
        rights = CoordinatorRights(
            instance=name,
            lease_s=_LEASE_S,
            propagation_s=lambda: schedule.propagation_s,
            live_instances=lambda: self.live_instances,
            has_quorum=lambda: self.has_quorum,
            clock=clock,
        )
        self._use_notifier = UseNotifier(
            instance=name,
            incarnation=1,
            view=self.view,
            rights=rights,
            peers=cast(UsePeers, peers),
            reachable=lambda: fleet.instance_names,
            clock=clock,
            metrics=fleet.metrics,
        )
        self.coordinator = EngineCoordinator(
            rights=rights,
            control=control,
            view=self.view,
            load_times=load_times,
            has_paths=lambda _service: True,
            clock=clock,
            metrics=fleet.metrics,
        )
        limit_requests = LimitRequests(
            instance=name,
            limits=EndpointLimits(clock),
            grantor=LimitGrantor(
                instance=name,
                live_instances=lambda: list(fleet.instance_names),
                fleet_members=lambda: fleet.instance_names,
                incarnation_of=lambda _name: 1,
                heard_share=lambda: 1.0,
                has_older_members=lambda: False,
                propagation_s=lambda: 0.0,
                clock=clock,
            ),
            peers=cast(LimitPeers, peers),
            metrics=fleet.metrics,
            clock=clock,
        )
        selector = EngineTargetSelector(
            directory=self.directory,
            view=self.view,
            placement=Placement(
                self.view,
                self.health,
                load_times,
                failures=self._failures,
                speeds=self._speeds if fleet.uses_speeds else EngineSpeeds(),
                instance_count=lambda: len(fleet.instance_names),
                generator=fleet.random,
            ),
            load_requests=LoadRequests(
                instance=name,
                coordinator=self.coordinator,
                peers=cast(GatewayPeers, peers),
                view=self.view,
                clock=clock,
            ),
            load_times=load_times,
            reports=EngineReports(
                control=control, view=self.view, health=self.health, clock=clock
            ),
            failures=self._failures,
            speeds=self._speeds,
            limits=limit_requests,
            newest_version=lambda adapter: 1,
            clock=clock,
            generator=fleet.random,
        )
        sender = cast(Sender, SimulatedSender(fleet, self.directory))
        telemetry = RequestTelemetry(fleet.metrics, clock)
        self.gateway = Gateway(
            GatewayDependencies(
                clock=clock,
                protocol=SimulatedProtocol(),
                telemetry=telemetry,
                sender=sender,
                allowances=AllowanceRequests(
                    instance=name,
                    allowances=SharedAllowances(
                        schedule=lambda: schedule,
                        instance_count=lambda: len(fleet.instance_names),
                        live_instances=lambda: fleet.instance_names,
                        heard_share=lambda: 1.0,
                    ),
                    peers=cast(GatewayPeers, peers),
                    metrics=fleet.metrics,
                    clock=clock,
                ),
                retry_budget=RetryBudget(
                    share=_RETRY_SHARE, slack=_RETRY_SLACK, window_s=_RETRY_WINDOW_S
                ),
                endpoint_health=self.health,
                crash_guard=CrashGuard(
                    requests=CrashSuspects(3),
                    parts=PartSuspects(),
                    detector=CrashDetector(
                        sender,
                        control,
                        lambda endpoint: self.directory.sample_others(
                            endpoint, fleet.random
                        ),
                    ),
                    may_try=lambda _part: False,
                    telemetry=telemetry,
                    clock=clock,
                ),
                engine_selector=selector,
                service_selector=selector,
                generator=fleet.random,
                active_table=lambda: fleet.table,
                fleet_size=lambda: len(fleet.instance_names),
                accepts_requests=lambda: True,
                find_organisation=lambda _name: None,
                handover=Handover(
                    instance=name,
                    forwarder=cast(PeerForwarder, peers),
                    protocol=SimulatedProtocol(),
                    statements=EndpointStatements(clock),
                    find_peers=lambda *_: [],
                    clock=clock,
                    generator=fleet.random,
                ),
                choose_delivery=lambda *_: LOCAL_DELIVERY,
                stop_plan=StopPlan(clock),
            )
        )

    async def run_rounds(self) -> None:
        """Exchange with peers and coordinate engines, in rounds, without end."""
        interval_s = self._schedule.interval_s
        await asyncio.sleep(self._fleet.random.random() * interval_s)
        while True:
            started_at = self._fleet.clock.now()
            self._exchange_with_peers()
            self.coordinator.update_engines(self._listed_engines())
            self._use_notifier.update_engines(self._listed_engines())
            self.health.retain_only(self.directory.by_id)
            await self.coordinator.read_reports()
            await self.coordinator.load_models()
            jitter = 0.8 + 0.4 * self._fleet.random.random()
            left_s = started_at + interval_s * jitter - self._fleet.clock.now()
            await asyncio.sleep(max(left_s, 0.0))

    async def run_use_notices(self) -> None:
        """Tell coordinators the uses of adapters, without end."""
        await asyncio.sleep(self._fleet.random.random() * 0.1)
        await self._use_notifier.run()

    def add_engine(self, process: SimulatedEngine) -> None:
        """Add an engine that the store lists."""
        listed = process.listed
        self.directory.put(listed)
        now = self._fleet.clock.now()
        models = frozenset(listed.models)
        self.view.update_engine(listed.id, listed.started, models, frozenset(), now)

    def remove_engine(self, engine: str) -> None:
        """Remove an engine that the store no longer lists."""
        self.directory.remove(engine)
        self.view.forget_engine(engine)

    def receive_own(self, peer: SimulatedInstance) -> None:
        """Apply what a peer says of itself, in a request or a reply."""
        now = self._fleet.clock.now()
        self.view.apply_peer_uses(peer.name, peer.view.own_uses(), now)
        report = peer.relayed.get(peer.name)
        if report is not None:
            self._apply_if_newer(peer.name, report, now)

    def receive_relayed(self, peer: SimulatedInstance) -> None:
        """Apply the reports of others that a peer passes on in a reply."""
        now = self._fleet.clock.now()
        for name, report in peer.relayed.items():
            if report is not self.relayed.get(name) and name != self.name:
                self._apply_if_newer(name, report, now)

    def _listed_engines(self) -> list[tuple[ListedEndpoint, EngineCapacity]]:
        capacity = self._fleet.capacity
        return [(engine, capacity) for engine in self.directory.find_ready(SERVICE)]

    def _exchange_with_peers(self) -> None:
        now = self._fleet.clock.now()
        if self._rounds % self._schedule.rounds_per_heartbeat == 0:
            states = tuple(self.coordinator.engine_states())
            failures = self._failures.own_failures(now)
            speeds = self._speeds.summaries(now)
            if states or failures or speeds or self.name in self.relayed:
                self.relayed[self.name] = RelayedReport(
                    heartbeat=self._rounds,
                    made_at=now,
                    states=states,
                    read_at={s.engine: self._fleet.read_at(s.engine) for s in states},
                    failures=failures,
                    speeds=speeds,
                )
        self._rounds += 1
        others = [n for n in self._fleet.instance_names if n != self.name]
        told = self._use_notices.select(
            self._group_uses_by_coordinator(), others, self._schedule.fan_out - 1
        )
        untold = [name for name in others if name not in told]
        random_count = max(1, MIN_FAN_OUT - len(told))
        for name in [*told, *self._fleet.random.sample(untold, random_count)]:
            peer = self._fleet.instances[name]
            peer.receive_own(self)
            self.receive_own(peer)
            self.receive_relayed(peer)

    def _group_uses_by_coordinator(self) -> dict[str, Uses]:
        grouped: dict[str, set[tuple[str, frozenset[Adapter]]]] = {}
        for use in self.view.own_uses():
            coordinator = self.coordinator.rights.coordinator_of(use.engine)
            grouped.setdefault(coordinator, set()).add((use.engine, use.adapters))
        return {name: frozenset(uses) for name, uses in grouped.items()}

    def _apply_if_newer(self, sender: str, report: RelayedReport, now: float) -> None:
        known = self.relayed.get(sender)
        if known is not None and known.heartbeat >= report.heartbeat:
            return
        self.relayed[sender] = report
        age_s = now - report.made_at
        self._failures.apply_peer_failures(sender, report.failures, report.made_at)
        self._speeds.apply_peer(sender, report.speeds, report.made_at)
        for state in report.states:
            if state.engine in self.withheld_engines:
                continue
            relayed = attrs.evolve(state, age_s=state.age_s + age_s, told_s=age_s)
            self.view.apply_coordinator_report(sender, relayed, now)
            self._fleet.record_report_age(now - report.read_at[state.engine])


@final
class SimulatedFleet:
    """Instances, engines and callers of a deployment, on the running event loop."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._loop = asyncio.get_running_loop()
        self.engine_fleet = scenario.engine_fleet
        self._properties = scenario.engine_fleet.properties
        self._store = WeightStore(
            fetch_s=scenario.engine_fleet.fetch_s,
            max_full_speed_fetches=scenario.engine_fleet.max_full_speed_fetches,
        )
        self._report_ages_s: list[float] = []
        self._engine_refusals: collections.Counter[AttemptResult] = (
            collections.Counter()
        )
        self._read_at: dict[str, float] = {}
        self._processes: dict[str, SimulatedEngine] = {}
        self._current: dict[str, SimulatedEngine] = {}
        self._starts = itertools.count(1)
        self.random = random.Random(seed)
        self.uses_speeds = scenario.uses_speeds
        self.clock = LoopClock(self._loop)
        self.metrics = GatewayMetrics()
        self.use_notices = 0
        self.capacity = EngineCapacity(
            slots=self._properties.slots,
            cache_tokens=self._properties.memory_tokens,
            adapter_slots=self._properties.adapter_slots,
            models={MODEL: _MODEL_MB},
            memory_mb=_ENGINE_MB,
            model_loads_per_s=_MODEL_LOADS_PER_S,
        )
        load = scenario.load
        self.table = _build_table(self.capacity, load.stream_classes)
        names = [
            (f"{centre.name}-{number}", centre.name)
            for centre in load.data_centres
            for number in range(centre.instances)
        ]
        self.instance_names = sorted(name for name, _ in names)
        schedule = schedule_for(len(names), _GOSSIP)
        self.instances = {
            name: SimulatedInstance(name, centre, self, schedule)
            for name, centre in names
        }
        for number in range(self.engine_fleet.engines):
            self._start_engine(f"engine-{number:02}", has_model=True)
        for process in self._current.values():
            for instance in self.instances.values():
                instance.add_engine(process)
        self._instances_of_clients = {
            centre.name: self._assign_clients(centre.name, centre.clients)
            for centre in load.data_centres
        }

    async def run(self) -> FleetResult:
        """Run the traffic and the faults, and return the results."""
        requests = RequestGenerator(self._scenario.load, self.random).generate()
        rounds = [
            self._loop.create_task(work)
            for instance in self.instances.values()
            for work in self._start_instance(instance)
        ]
        await asyncio.sleep(_LEAD_S)
        started_at = self.now()
        faults = [
            self._loop.create_task(self._inject(fault))
            for fault in self._scenario.faults
        ]
        results = await asyncio.gather(
            *(self._call(request, started_at) for request in requests)
        )
        for instance in self.instances.values():
            await instance.gateway.join()
        for task in [*rounds, *faults]:
            task.cancel()
        await asyncio.gather(*rounds, *faults, return_exceptions=True)
        return FleetResult(
            requests=results,
            max_queues=self._collect_max_queues(),
            report_ages_s=sorted(self._report_ages_s),
            fetches=self._store.fetches,
            engine_refusals=dict(self._engine_refusals),
            use_notices_per_s=self.use_notices
            / len(self.instances)
            / self._scenario.load.duration_s,
            crashes=sum(p.state is EngineState.DOWN for p in self._processes.values()),
        )

    def _start_instance(
        self, instance: SimulatedInstance
    ) -> list[Coroutine[None, None, None]]:
        work = [instance.run_rounds()]
        if self._scenario.tells_uses_at_once:
            work.append(instance.run_use_notices())
        return work

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._loop.time()

    async def sleep(self, seconds: float) -> None:
        """Wait in virtual time."""
        await asyncio.sleep(seconds)

    def engine(self, name: str) -> SimulatedEngine:
        """Return the current process of an engine."""
        return self._current[name]

    def process(self, endpoint: ListedEndpoint) -> SimulatedEngine:
        """Return the process that an entry of the store describes."""
        return self._processes[endpoint.id]

    def coordinator_of(self, engine: str) -> SimulatedInstance:
        """Return the instance that coordinates an engine."""
        listed = self._current[engine].listed.id
        return self.instances[hashing.rank(listed, self.instance_names)[0]]

    def draw_instances(self, share: float) -> list[SimulatedInstance]:
        """Return a random share of the instances."""
        count = round(share * len(self.instance_names))
        names = self.random.sample(self.instance_names, count)
        return [self.instances[name] for name in names]

    def record_read(self, engine: ListedEndpoint) -> None:
        """Record that an engine's report was read."""
        self._read_at[engine.id] = self.now()

    def read_at(self, engine: str) -> float:
        """Return when an engine's report was last read."""
        return self._read_at[engine]

    def record_engine_refusal(self, result: AttemptResult) -> None:
        """Count a request that an engine did not run."""
        self._engine_refusals[result] += 1

    def record_report_age(self, age_s: float) -> None:
        """Record the age of a report that reached an instance."""
        self._report_ages_s.append(age_s)

    def restart(self, name: str) -> None:
        """Start an engine anew, without models or adapters."""
        if self._current[name].state is not EngineState.DOWN:
            self._current[name].crash()
        process = self._start_engine(name, has_model=False)
        self._list(process)

    def _start_engine(self, name: str, *, has_model: bool) -> SimulatedEngine:
        started = next(self._starts)
        speeds = self._scenario.engine_speeds
        process = SimulatedEngine(
            f"{name}.{started}",
            self._properties,
            self._store,
            started=started,
            has_model=has_model,
            speed=speeds[int(name.rpartition("-")[2]) % len(speeds)],
        )
        self._current[name] = self._processes[process.listed.id] = process
        process.ended.add_done_callback(lambda _: self._expire(process))
        return process

    def _list(self, process: SimulatedEngine) -> None:
        for instance in self.instances.values():
            self._loop.call_later(
                self._draw_listing_delay_s(instance), instance.add_engine, process
            )

    def _expire(self, process: SimulatedEngine) -> None:
        for instance in self.instances.values():
            delay_s = _LISTING_EXPIRY_S + self._draw_listing_delay_s(instance)
            self._loop.call_later(delay_s, instance.remove_engine, process.listed.id)

    def _draw_listing_delay_s(self, instance: SimulatedInstance) -> float:
        """Return the delay with which an instance learns of a change of the list."""
        bounds = _READ_DELAY_S if instance.reads_store else _PEER_DELAY_S
        return _LISTING_LAG_S + self.random.uniform(*bounds)

    def _assign_clients(self, data_centre: str, clients: int) -> list[str]:
        names = [
            instance.name
            for instance in self.instances.values()
            if instance.data_centre == data_centre
        ]
        return [self.random.choice(names) for _ in range(clients)]

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        count = max(round(fault.share * self.engine_fleet.engines), 1)
        up = [
            name
            for name, process in self._current.items()
            if process.state is EngineState.UP
        ]
        await fault.run(self, self.random.sample(up, count))

    async def _call(self, request: StreamRequest, started_at: float) -> RequestResult:
        """Send a request as its caller does, and return what it earned."""
        first_sent_at = started_at + request.at
        await asyncio.sleep(first_sent_at - self.now())
        reply = SimulatedReply(request)
        for attempt in range(_MAX_CALLER_ATTEMPTS):
            if attempt > 0:
                assert reply.retry_after_s is not None
                await asyncio.sleep(reply.retry_after_s)
            reply = SimulatedReply(request)
            is_left = await self._attempt(request, reply)
            if is_left or not reply.is_refused or reply.retry_after_s is None:
                break
        return _rate(request, reply, first_sent_at)

    async def _attempt(self, request: StreamRequest, reply: SimulatedReply) -> bool:
        """Send a request once; return whether the caller left without an event."""
        name = self.random.choice(self._instances_of_clients[request.data_centre])
        await asyncio.sleep(_CALLER_HOP_S)
        handling = self._loop.create_task(
            self.instances[name].gateway.handle(
                _build_ingress_request(request), cast(IngressReply, reply)
            )
        )
        stream_class = request.stream_class
        await asyncio.wait({handling}, timeout=stream_class.first_event_wait_s)
        is_left = not handling.done() and not reply.has_started
        if not is_left and not handling.done():
            await asyncio.wait({handling}, timeout=stream_class.deadline_s)
        if not handling.done():
            handling.cancel()
        await asyncio.gather(handling, return_exceptions=True)
        if not handling.cancelled():
            handling.result()
        return is_left

    def _collect_max_queues(self) -> dict[str, int]:
        queues: collections.Counter[str] = collections.Counter()
        for name, process in self._processes.items():
            engine = name.partition(".")[0]
            queues[engine] = max(queues[engine], process.max_queue)
        return dict(queues)


def _rate(
    request: StreamRequest, reply: SimulatedReply, first_sent_at: float
) -> RequestResult:
    first_event_s = _elapsed_s(first_sent_at, reply.first_event_at)
    outcome = _find_outcome(request, reply, first_event_s)
    stream_class = request.stream_class
    late_share = stream_class.late_worth / stream_class.worth
    earned_shares = {Outcome.IN_TIME: 1.0, Outcome.LATE: late_share}
    return RequestResult(
        request=request,
        outcome=outcome,
        earned=request.worth * earned_shares.get(outcome, 0.0),
        first_event_s=first_event_s,
        first_sent_s=_elapsed_s(first_sent_at, reply.first_sent_at),
        sent_s=_elapsed_s(first_sent_at, reply.sent_at),
        max_pause_s=reply.max_pause_s,
        engine=reply.engine,
    )


def _elapsed_s(started_at: float, ended_at: float | None) -> float | None:
    return None if ended_at is None else ended_at - started_at


def _find_outcome(
    request: StreamRequest, reply: SimulatedReply, first_event_s: float | None
) -> Outcome:
    if reply.is_refused:
        return Outcome.REFUSED if reply.retry_after_s is not None else Outcome.FAILED
    if first_event_s is None:
        return Outcome.ABANDONED
    if not reply.is_complete:
        return Outcome.FAILED
    is_timely = first_event_s <= request.stream_class.aim_s
    return (
        Outcome.IN_TIME
        if is_timely and reply.max_pause_s <= MAX_PAUSE_S
        else Outcome.LATE
    )


def _build_ingress_request(request: StreamRequest) -> IngressRequest:
    headers = HTTPHeaders(
        {
            "Host": _HOST,
            "X-Request-Id": str(request.number),
            "X-Prompt-Tokens": str(request.prompt_tokens),
            "X-Output-Tokens": str(request.output_tokens),
        }
    )
    if request.adapter is not None:
        headers["X-Adapter"] = request.adapter[0].partition("/")[2]
    return IngressRequest(
        method="POST",
        target=f"/{request.stream_class.name}/{request.number}",
        headers=headers,
        body=b"",
    )


def _build_table(
    capacity: EngineCapacity, stream_classes: tuple[StreamClass, ...]
) -> RoutingTable:
    routes = [
        Route(
            name=stream_class.name,
            host=_HOST,
            prefix=f"/{stream_class.name}/",
            is_stream=True,
            retry_policy=stream_class.retry_policy,
            timeout_s=stream_class.deadline_s,
            target_latency_s=stream_class.aim_s,
            max_first_event_wait_s=stream_class.first_event_wait_s,
            priority=stream_class.priority,
            services=((SERVICE, 1.0),),
            max_runs=stream_class.max_runs,
            is_public=True,
        )
        for stream_class in stream_classes
    ]
    return RoutingTable(
        version=1,
        routes=group_by_host(routes),
        services={SERVICE: Service(name=SERVICE, max_connections=870, engine=capacity)},
        keys={},
        requires_keys=False,
    )


def simulate(scenario: Scenario, seed: int) -> FleetResult:
    """Run a scenario in virtual time on an event loop of its own."""
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_simulate(scenario, seed))
    finally:
        loop.close()
        asyncio.set_event_loop(None)


async def _simulate(scenario: Scenario, seed: int) -> FleetResult:
    return await SimulatedFleet(scenario, seed).run()
