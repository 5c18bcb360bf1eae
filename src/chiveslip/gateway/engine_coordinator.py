"""Sends load and unload orders to the engines that this instance coordinates.

Every order carries a fencing number that no other instance can use and the number of
orders that the engine must have accepted before. Engines without a coordinator keep
serving the adapters they hold. `coordinator_rights` decides which instance
coordinates which engine.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import math
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import final

import attrs

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.gateway.adapter_slots import MAX_CONCURRENT_FETCHES
from chiveslip.gateway.adapter_slots import REPORT_LAG_S
from chiveslip.gateway.adapter_slots import AdapterSlots
from chiveslip.gateway.adapter_waits import MAX_SLOT_WAIT_S
from chiveslip.gateway.adapter_waits import AdapterWaits
from chiveslip.gateway.adapter_waits import SlotNeed
from chiveslip.gateway.adapter_waits import SlotWait
from chiveslip.gateway.coordinator_rights import CoordinatorRights
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import Operation
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.model_loads import ModelLoadLimiter
from chiveslip.gateway.model_loads import select_missing_model
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.gateway.routing import has_scarce_adapter_slots
from chiveslip.tasks import TaskSet

_REPORT_INTERVAL_S = 1.0
# From the request of a load to its order; below the time for which peers wait.
_MAX_ORDER_WAIT_S = 0.8
# After a failed report, loads fail for this time without another attempt to read it.
_REPORT_RETRY_S = 0.5
_FETCH_OVERCOMMIT = 1.5
# An order for a base model is repeated after this time if its load did not begin.
_MODEL_ORDER_INTERVAL_S = 2.0
# An engine with enough adapters in transit refuses further loads with a conflict.
_MAX_CONFLICTS = 4
_CONFLICT_PAUSE_S = 0.06
# An engine that drops an adapter once its requests have ended refuses other unloads
# until then; the requests of the users' sheets last one or two seconds.
_UNLOAD_RETRY_S = 0.25
# Without paths to the engines, the coordinator is asked again after this time.
_LOST_PATHS_PAUSE_S = 0.5
# Interval of the checks for a slot while loads wait for one.
_SLOT_POLL_S = 0.03
_NO_NEED = SlotNeed()
# A load that waits is answered after this time at the latest, as peers wait no longer.
_MAX_ANSWER_S = 1.2


class LoadOutcome(enum.Enum):
    """Outcome of a request to load an adapter."""

    USABLE = "usable"
    NO_ROOM = "no room"
    NOT_COORDINATOR = "not the coordinator"
    HELD_OFF = "held off"
    """Orders of the previous coordinator are not ruled out yet, or the coordinator
    does not reach the engine now."""
    TOO_LATE = "too late"
    NO_ANSWER = "no answer from the coordinator"
    NOT_ASKED = "not asked, as the coordinator did not answer"
    FAILED = "failed"


@attrs.frozen(kw_only=True)
class LoadResult:
    """Outcome of a load request.

    Attributes
    ----------
    ready_in_s
        Time in seconds until the adapter is usable, or would be if it is too late; if
        the coordinator holds off, until it may order.
    """

    outcome: LoadOutcome
    ready_in_s: float = 0.0


@attrs.define(kw_only=True, eq=False)
class _CoordinatedEngine:
    listed: ListedEndpoint
    capacity: EngineCapacity
    orders_allowed_from: float
    fence: int = 0
    started: int = 0
    accepted_orders: int | None = None
    models: frozenset[str] = frozenset()
    model_ordered_at: float = float("-inf")
    slots: AdapterSlots = attrs.field(factory=AdapterSlots)
    running: int = 0
    waiting: int = 0
    cache_used: int = 0
    report_requested_at: float = float("-inf")
    last_report_at: float = float("-inf")
    report_failed_at: float = float("-inf")
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    queued_loads: int = 0
    last_order_at: float = float("-inf")
    unloads_allowed_from: float = float("-inf")
    waits: AdapterWaits = attrs.field(factory=AdapterWaits)
    answers: dict[SlotWait, asyncio.Future[LoadResult]] = attrs.field(factory=dict)
    serving: asyncio.Task[None] | None = None


@final
class EngineCoordinator:
    """Orders loads and unloads at the engines that this instance coordinates.

    Parameters
    ----------
    has_paths
        Returns whether this instance reaches the engines of a service.
    is_evacuated
        Returns whether the data centre of an engine is evacuated.
    """

    def __init__(
        self,
        *,
        rights: CoordinatorRights,
        control: EngineControl,
        view: EngineView,
        load_times: LoadTimes,
        has_paths: Callable[[str], bool],
        clock: Clock,
        metrics: GatewayMetrics,
        is_evacuated: Callable[[ListedEndpoint], bool] = lambda _engine: False,
    ) -> None:
        self._rights = rights
        self._is_evacuated = is_evacuated
        self._control = control
        self._view = view
        self._load_times = load_times
        self._has_paths = has_paths
        self._clock = clock
        self._metrics = metrics
        self._engines: dict[str, _CoordinatedEngine] = {}
        self._model_load_limiter = ModelLoadLimiter()
        self._tasks = TaskSet("orders")
        self._log = logs.get_logger("orders")

    @property
    def rights(self) -> CoordinatorRights:
        """Which instance coordinates which engine."""
        return self._rights

    def record_peer_order(self, engine: str, fence: int, age_s: float) -> None:
        """Record the last order of another instance, sent `age_s` seconds ago."""
        ordered_at = self._rights.record_peer_order(engine, fence, age_s)
        coordinated = self._engines.get(engine)
        if coordinated is not None:
            coordinated.orders_allowed_from = max(
                coordinated.orders_allowed_from, ordered_at + self._rights.hold_off_s
            )

    @property
    def engine_count(self) -> int:
        """Number of engines that this instance coordinates."""
        return len(self._engines)

    def update_engines(
        self, engines: list[tuple[ListedEndpoint, EngineCapacity]]
    ) -> None:
        """Start and stop coordinating engines according to the live instances."""
        if self._rights.update_live_instances():
            self._engines.clear()
        live_count = self._rights.live_count
        by_id = {engine.id: (engine, capacity) for engine, capacity in engines}
        own = (
            self._rights.coordinated_engines(by_id) if self._rights.has_joined() else []
        )
        coordinated = {name: by_id[name] for name in own}
        for name in [name for name in self._engines if name not in coordinated]:
            del self._engines[name]
            self._log.info("Stopped coordinating.", engine=name, alive=live_count)
        for name, (listed, capacity) in coordinated.items():
            known = self._engines.get(name)
            if known is None:
                self._engines[name] = _CoordinatedEngine(
                    listed=listed,
                    capacity=capacity,
                    orders_allowed_from=self._rights.orders_allowed_from(name),
                )
                self._log.info("Started coordinating.", engine=name, alive=live_count)
                continue
            known.listed, known.capacity = listed, capacity
        self._load_times.update_engines(len(self._engines), len(engines))

    async def read_reports(self) -> None:
        """Read the engine reports that are due."""
        now = self._clock.now()
        due = [
            engine
            for engine in self._engines.values()
            if now - engine.report_requested_at >= _REPORT_INTERVAL_S
            and not self._is_evacuated(engine.listed)
        ]
        await asyncio.gather(*(self._read_report(engine) for engine in due))

    async def load_models(self) -> None:
        """Order missing base models at engines, within the weight store's rate."""
        now = self._clock.now()
        for engine in list(self._engines.values()):
            model = select_missing_model(engine.models, engine.capacity, self._view)
            if model is None or not self._can_order(engine):
                continue
            if (
                engine.lock.locked()
                or now < engine.model_ordered_at + _MODEL_ORDER_INTERVAL_S
            ):
                continue
            if engine.accepted_orders is None:
                continue
            if not self._model_load_limiter.try_acquire(
                engine.capacity, self._rights.live_count, now
            ):
                continue
            engine.model_ordered_at = now
            async with engine.lock:
                await self._send_order(engine, Operation.LOAD, model)

    def record_metrics(self) -> None:
        """Update the gauges of free adapter slots and of waiting loads."""
        self._metrics.free_adapter_slots.clear()
        self._metrics.waiting_loads.clear()
        for engine in self._engines.values():
            free = self._count_free_slots(engine)
            if free is not None:
                self._metrics.free_adapter_slots.labels(engine.listed.id).set(free)
            for wait in engine.waits.waits:
                self._metrics.waiting_loads.labels(str(wait.need.priority)).inc()

    async def close(self) -> None:
        """Stop giving slots to the loads that wait for them."""
        await self._tasks.close()

    def engine_states(self) -> list[EngineStateUpdate]:
        """Return the state of the coordinated engines, to send to peers."""
        now = self._clock.now()
        return [
            self._describe_state(engine)
            for engine in self._engines.values()
            if engine.last_report_at > now - 5 * _REPORT_INTERVAL_S
        ]

    async def load_adapter(
        self,
        engine: str,
        adapter: Adapter,
        max_wait_s: float,
        asker: str = "",
        need: SlotNeed = _NO_NEED,
    ) -> LoadResult:
        """Load an adapter at an engine unless it takes longer than `max_wait_s`.

        Returns without waiting for the load itself: the result says in how many
        seconds the adapter is expected to be usable.

        Parameters
        ----------
        asker
            Instance that is going to use the adapter; empty if it does not tell.
        need
            What needs the adapter, and how long it can wait for a slot.
        """
        coordinated = self._engines.get(engine)
        if coordinated is None or not self._rights.is_coordinator_of(engine):
            return LoadResult(outcome=LoadOutcome.NOT_COORDINATOR)
        if self._is_evacuated(coordinated.listed):
            return LoadResult(outcome=LoadOutcome.FAILED)
        user = asker or None
        known = self._known_result(coordinated, adapter, user)
        if known is not None:
            return known
        held_s = coordinated.orders_allowed_from - self._clock.now()
        if held_s > 0:
            return LoadResult(outcome=LoadOutcome.HELD_OFF, ready_in_s=held_s)
        if not self._has_paths(coordinated.listed.service):
            return LoadResult(
                outcome=LoadOutcome.HELD_OFF, ready_in_s=_LOST_PATHS_PAUSE_S
            )
        order_by = self._clock.now() + _MAX_ORDER_WAIT_S
        expected_s = self._expected_load_s(coordinated, adapter)
        if expected_s > max_wait_s:
            return LoadResult(outcome=LoadOutcome.TOO_LATE, ready_in_s=expected_s)
        if not coordinated.waits:
            async with self._order_turn(coordinated):
                known = self._known_result(coordinated, adapter, user)
                if known is not None:
                    return known
                load = await self._order_load(
                    coordinated, adapter, order_by, user, need
                )
            if load.outcome is not LoadOutcome.NO_ROOM:
                return load
        now = self._clock.now()
        wait = SlotWait(
            adapter=adapter,
            need=need,
            user=user,
            since=now,
            until=min(now + min(need.max_wait_s, MAX_SLOT_WAIT_S), order_by),
            order_by=order_by,
        )
        return await self._wait_for_slot(coordinated, wait)

    @contextlib.asynccontextmanager
    async def _order_turn(self, engine: _CoordinatedEngine) -> AsyncIterator[None]:
        """Wait until no other order for an engine is under way."""
        engine.queued_loads += 1
        try:
            async with engine.lock:
                yield
        finally:
            engine.queued_loads -= 1

    async def _wait_for_slot(
        self, engine: _CoordinatedEngine, wait: SlotWait
    ) -> LoadResult:
        """Wait until a load gets a slot, for as long as its request can use it."""
        now = self._clock.now()
        if wait.until - now < _SLOT_POLL_S or not self._frees_slots_early(engine):
            return self._no_room(engine)
        answer: asyncio.Future[LoadResult] = asyncio.get_running_loop().create_future()
        engine.answers[wait] = answer
        displaced = engine.waits.add(wait, now)
        if displaced is not None:
            self._answer_wait(engine, displaced, self._no_room(engine))
        if engine.serving is None or engine.serving.done():
            engine.serving = self._tasks.start(self._serve_waits(engine))
        try:
            async with asyncio.timeout(_MAX_ANSWER_S):
                return await answer
        except TimeoutError:
            return LoadResult(outcome=LoadOutcome.FAILED)
        finally:
            engine.waits.remove(wait)
            engine.answers.pop(wait, None)

    async def _serve_waits(self, engine: _CoordinatedEngine) -> None:
        """Give slots that become free to the loads that wait for them."""
        started_at = self._clock.now()
        served = 0
        while engine.waits:
            self._answer_finished_waits(engine)
            wait = engine.waits.first(self._clock.now())
            if wait is not None and await self._serve_wait(engine, wait):
                served += 1
                continue
            await asyncio.sleep(_SLOT_POLL_S)
        self._log.info(
            "Loads have waited for adapter slots.",
            engine=engine.listed.id,
            ordered=served,
            lasted_s=round(self._clock.now() - started_at, 3),
        )

    async def _serve_wait(self, engine: _CoordinatedEngine, wait: SlotWait) -> bool:
        """Return whether a waiting load was ordered or has failed."""
        if not self._has_room(engine):
            return False
        async with self._order_turn(engine):
            if wait not in engine.waits.waits:
                return True
            load = await self._order_load(
                engine, wait.adapter, wait.order_by, wait.user, wait.need
            )
        if load.outcome is LoadOutcome.NO_ROOM:
            return False
        self._answer_wait(engine, wait, load)
        return True

    def _answer_finished_waits(self, engine: _CoordinatedEngine) -> None:
        """Answer the waiting loads that need no slot any more, or cannot get one."""
        now = self._clock.now()
        lost = self._find_lost_right(engine)
        for wait in engine.waits.waits:
            load = lost or self._known_result(engine, wait.adapter, wait.user)
            if load is None and now >= wait.until:
                load = self._no_room(engine)
            if load is not None:
                self._answer_wait(engine, wait, load)

    def _find_lost_right(self, engine: _CoordinatedEngine) -> LoadResult | None:
        """Return why this instance may not order at an engine now, or None."""
        name = engine.listed.id
        is_coordinated = self._engines.get(name) is engine
        if not is_coordinated or not self._rights.is_coordinator_of(name):
            return LoadResult(outcome=LoadOutcome.NOT_COORDINATOR)
        held_s = engine.orders_allowed_from - self._clock.now()
        if held_s > 0:
            return LoadResult(outcome=LoadOutcome.HELD_OFF, ready_in_s=held_s)
        return None

    def _answer_wait(
        self, engine: _CoordinatedEngine, wait: SlotWait, load: LoadResult
    ) -> None:
        engine.waits.remove(wait)
        answer = engine.answers.pop(wait, None)
        if answer is None or answer.done():
            return
        answer.set_result(load)
        if load.outcome is LoadOutcome.NO_ROOM:
            engine.waits.record_given_up(self._clock.now())
        waited_s = max(self._clock.now() - wait.since, 0.0)
        self._metrics.slot_wait.labels(load.outcome.value).observe(waited_s)

    def _no_room(self, engine: _CoordinatedEngine) -> LoadResult:
        wait_s = 0.0
        if self._frees_slots_early(engine):
            wait_s = engine.waits.expected_wait_s(self._clock.now())
        return LoadResult(outcome=LoadOutcome.NO_ROOM, ready_in_s=wait_s)

    def _has_room(self, engine: _CoordinatedEngine) -> bool:
        """Return whether an engine has a slot, or an adapter that may be unloaded."""
        if len(engine.slots) < engine.capacity.adapter_slots:
            return True
        now = self._clock.now()
        if now < engine.unloads_allowed_from:
            return False
        return bool(self._find_idle_adapters(engine, now))

    def _can_order(self, engine: _CoordinatedEngine) -> bool:
        """Return whether this instance may send orders to an engine right now."""
        if self._is_evacuated(engine.listed):
            return False
        is_allowed = self._clock.now() >= engine.orders_allowed_from
        return is_allowed and self._rights.is_coordinator_of(engine.listed.id)

    def _may_send(self, engine: _CoordinatedEngine) -> bool:
        """Return whether an order may be sent to an engine right now."""
        is_coordinated = self._engines.get(engine.listed.id) is engine
        return is_coordinated and self._can_order(engine)

    def _may_read_report(self, engine: _CoordinatedEngine) -> bool:
        """Return whether an engine may answer; one that just failed to does not."""
        return self._clock.now() >= engine.report_failed_at + _REPORT_RETRY_S

    def _expected_load_s(self, engine: _CoordinatedEngine, adapter: Adapter) -> float:
        """Return the time in seconds until an adapter ordered now is usable."""
        now = self._clock.now()
        load_s = self._load_times.expected_load_s(engine.listed.id, adapter, now)
        if self._load_times.has_copy(engine.listed.id, adapter):
            return load_s
        queued = sum(engine.queued_loads for engine in self._engines.values())
        return load_s * (1 + queued / self._max_own_fetches())

    def _known_result(
        self, engine: _CoordinatedEngine, adapter: Adapter, user: str | None
    ) -> LoadResult | None:
        if engine.slots.is_unloading(adapter):
            return LoadResult(outcome=LoadOutcome.NO_ROOM)
        ready_at = engine.slots.ready_at(adapter)
        if ready_at is None:
            return None
        # The asker is about to send a request for it.
        used_at = max(ready_at, self._clock.now())
        engine.slots.record_last_use(adapter, used_at, user)
        ready_in_s = max(ready_at - self._clock.now(), 0.0)
        return LoadResult(outcome=LoadOutcome.USABLE, ready_in_s=ready_in_s)

    async def _order_load(
        self,
        engine: _CoordinatedEngine,
        adapter: Adapter,
        order_by: float,
        user: str | None,
        need: SlotNeed,
    ) -> LoadResult:
        if self._clock.now() > order_by:
            return LoadResult(outcome=LoadOutcome.FAILED)
        if engine.accepted_orders is None and self._may_read_report(engine):
            await self._read_report(engine)
        if engine.accepted_orders is None:
            return LoadResult(outcome=LoadOutcome.FAILED)
        if not await self._wait_for_fetch_capacity(engine, adapter, order_by):
            return LoadResult(outcome=LoadOutcome.FAILED)
        if len(engine.slots) >= engine.capacity.adapter_slots:
            is_freed = await self._free_slot(engine)
            if not is_freed:
                return self._no_room(engine)
        now = self._clock.now()
        ready_at = self._load_times.record_load(engine.listed.id, adapter, now)
        engine.slots.record_load(adapter, now, ready_at, user)
        engine.waits.record_load(need, now)
        answer = await self._send_load_with_retries(engine, adapter)
        if answer in (OrderAnswer.IN_PROGRESS, OrderAnswer.ALREADY_DONE):
            self._view.expect_adapter(engine.listed.id, adapter, ready_at)
            ready_in_s = max(ready_at - self._clock.now(), 0.0)
            return LoadResult(outcome=LoadOutcome.USABLE, ready_in_s=ready_in_s)
        if answer is not None:
            engine.slots.cancel_load(adapter)
        return LoadResult(outcome=LoadOutcome.FAILED)

    async def _send_load_with_retries(
        self, engine: _CoordinatedEngine, adapter: Adapter
    ) -> OrderAnswer | None:
        """Order a load, and again after a pause while others are in transit."""
        answer = None
        for _ in range(_MAX_CONFLICTS):
            answer = await self._send_order(
                engine, Operation.LOAD, adapter[0], adapter[1]
            )
            if answer is not OrderAnswer.CONFLICT:
                return answer
            await asyncio.sleep(_CONFLICT_PAUSE_S)
            # Another instance may have sent orders; their adapters occupy slots.
            await self._read_report(engine)
            if len(engine.slots) > engine.capacity.adapter_slots:
                return answer
        return answer

    async def _wait_for_fetch_capacity(
        self, engine: _CoordinatedEngine, adapter: Adapter, ends_at: float
    ) -> bool:
        """Wait until this engine and this instance may begin another fetch."""
        while True:
            now = self._clock.now()
            pending = engine.slots.pending_ready_times(now)
            allowed_at = now
            if len(pending) >= MAX_CONCURRENT_FETCHES:
                allowed_at = pending[len(pending) - MAX_CONCURRENT_FETCHES]
            allowed_at = max(
                allowed_at, self._fetch_allowed_at(engine.listed.id, adapter, now)
            )
            if allowed_at <= now:
                return True
            if allowed_at > ends_at:
                return False
            await asyncio.sleep(allowed_at - now)

    def _fetch_allowed_at(self, engine: str, adapter: Adapter, now: float) -> float:
        """Return when this instance may fetch another adapter from the weight store.

        More fetches than the store serves at full speed slow all of them down, so
        each instance uses only its share of them.
        """
        if self._load_times.has_copy(engine, adapter):
            return now
        return self._load_times.fetch_allowed_at(self._max_own_fetches(), now)

    def _max_own_fetches(self) -> int:
        """Return the number of fetches this instance may have in progress.

        The store completes as many per second when more are in progress, so the
        shares add up to more than it serves at full speed: it is never idle.
        """
        return math.ceil(self._load_times.own_full_speed_fetches * _FETCH_OVERCOMMIT)

    async def _free_slot(self, engine: _CoordinatedEngine) -> bool:
        now = self._clock.now()
        if now < engine.unloads_allowed_from:
            return False
        idle = self._find_idle_adapters(engine, now)
        if not idle:
            return False
        victim = idle[0]
        answer = await self._send_order(engine, Operation.UNLOAD, victim[0])
        if answer in (OrderAnswer.IN_PROGRESS, OrderAnswer.CONFLICT):
            engine.unloads_allowed_from = self._clock.now() + _UNLOAD_RETRY_S
        if answer is OrderAnswer.IN_PROGRESS:
            # A request that no instance has reported yet uses the adapter.
            engine.slots.record_unloading(victim, self._clock.now())
            self._view.record_missing_adapter(
                engine.listed.id, victim, self._clock.now()
            )
            return False
        if answer is not OrderAnswer.ALREADY_DONE:
            return False
        self._metrics.evictions.inc()
        engine.slots.record_unloaded(victim, self._clock.now())
        self._view.record_missing_adapter(engine.listed.id, victim, self._clock.now())
        return True

    def _record_uses(self, engine: _CoordinatedEngine, now: float) -> set[Adapter]:
        """Record the uses of an engine's adapters; return those in use."""
        in_use = self._view.adapters_in_use(engine.listed.id, now)
        engine.slots.record_use(in_use, now)
        if self._frees_slots_early(engine):
            for adapter, end in self._view.last_use_ends(engine.listed.id).items():
                user = end.instance or self._rights.instance
                engine.slots.record_last_use(adapter, end.at, user)
        return in_use

    def _find_idle_adapters(
        self, engine: _CoordinatedEngine, now: float
    ) -> list[Adapter]:
        """Return the adapters that may be unloaded, the least recently used first."""
        in_use = self._record_uses(engine, now)
        is_prompt_user = self._is_prompt_user
        if not self._frees_slots_early(engine):
            is_prompt_user = _is_no_prompt_user
        return engine.slots.find_idle(
            in_use, now, self._view.use_notice_s, is_prompt_user
        )

    def _count_free_slots(self, engine: _CoordinatedEngine) -> int | None:
        """Return how many adapters an engine can take now, or None if not counted."""
        if not self._frees_slots_early(engine):
            return None
        unused = engine.capacity.adapter_slots - len(engine.slots)
        idle = self._find_idle_adapters(engine, self._clock.now())
        return max(unused + len(idle), 0)

    def _describe_state(self, engine: _CoordinatedEngine) -> EngineStateUpdate:
        return EngineStateUpdate(
            engine=engine.listed.id,
            started=engine.started,
            models=engine.models,
            adapters=engine.slots.adapters,
            running=engine.running,
            waiting=engine.waiting,
            cache_used=engine.cache_used,
            age_s=self._clock.now() - engine.last_report_at,
            free_adapter_slots=self._count_free_slots(engine),
        )

    def _frees_slots_early(self, engine: _CoordinatedEngine) -> bool:
        """Return whether uses of an engine are told at once, beside the gossip."""
        if self._view.receives_all_peers:
            return False
        return has_scarce_adapter_slots(engine.capacity)

    def _is_prompt_user(self, user: str, since: float) -> bool:
        """Return whether it is certain that a user's last use has ended."""
        is_own = user == self._rights.instance
        return is_own or self._view.is_told_at_once(user, since)

    async def _send_order(
        self,
        engine: _CoordinatedEngine,
        operation: Operation,
        target: str,
        version: int = 0,
    ) -> OrderAnswer | None:
        if not self._can_order(engine) or engine.accepted_orders is None:
            return None
        if engine.fence == 0:
            engine.fence = self._rights.allocate_fence(engine.listed.id)
        order = EngineOrder(
            operation=operation,
            target=target,
            version=version,
            holder=self._rights.instance,
            fence=engine.fence,
            after_orders=engine.accepted_orders,
        )
        self._rights.record_own_order(engine.listed.id, engine.fence)
        try:
            answer = await self._control.send_order(
                engine.listed, order, lambda: self._may_send(engine)
            )
        except EngineControlError as error:
            self._log.warning(
                "No answer to an order.",
                engine=engine.listed.id,
                operation=operation.value,
                target=target,
                cause=str(error),
            )
            engine.accepted_orders = None
            return None
        self._record_answer(engine, order, answer)
        return answer

    def _record_answer(
        self,
        engine: _CoordinatedEngine,
        order: EngineOrder,
        answer: OrderAnswer,
    ) -> None:
        labels = (order.operation.value, answer.value)
        self._metrics.orders.labels(*labels).inc()
        if answer in (OrderAnswer.IN_PROGRESS, OrderAnswer.ALREADY_DONE):
            self._log.info(
                "Order accepted.",
                engine=engine.listed.id,
                operation=order.operation.value,
                target=order.target,
                version=order.version,
                answer=answer.value,
                after_orders=engine.accepted_orders,
                places=len(engine.slots),
            )
            engine.last_order_at = self._clock.now()
            if engine.accepted_orders is not None:
                engine.accepted_orders += 1
            return
        self._log.info(
            "Order not accepted.",
            engine=engine.listed.id,
            operation=order.operation.value,
            target=order.target,
            version=order.version,
            answer=answer.value,
            after_orders=engine.accepted_orders,
            fence=engine.fence,
        )
        if answer is not OrderAnswer.CONFLICT:
            engine.accepted_orders = None
        if answer is OrderAnswer.FENCED:
            # Another instance has sent orders: hold off until its lease has expired.
            engine.orders_allowed_from = self._clock.now() + self._rights.hold_off_s
            self._rights.record_fenced_order(engine.listed.id, engine.fence)
            engine.fence = 0
        if answer is OrderAnswer.WRONG_ENGINE:
            self._engines.pop(engine.listed.id, None)

    async def _read_report(self, engine: _CoordinatedEngine) -> None:
        requested_at = self._clock.now()
        engine.report_requested_at = requested_at
        try:
            report = await self._control.read_report(engine.listed)
        except EngineControlError as error:
            engine.accepted_orders = None
            engine.report_failed_at = self._clock.now()
            self._log.info(
                "Engine report unavailable.", engine=engine.listed.id, cause=str(error)
            )
            return
        if report.started != engine.started:
            engine.started = report.started
            engine.accepted_orders = None
            engine.slots = AdapterSlots()
            for wait in engine.waits.waits:
                # The engine has to load its base model first.
                failed = LoadResult(outcome=LoadOutcome.FAILED)
                self._answer_wait(engine, wait, failed)
            self._load_times.forget_copies(engine.listed.id)
        engine.last_report_at = requested_at
        engine.models = report.models
        engine.slots.apply_report(report, requested_at)
        # A report lags, so its count of accepted orders may be too low. A later one is
        # right, also if an order was counted here that the engine did not count.
        is_recent = requested_at <= engine.last_order_at + REPORT_LAG_S
        known_orders = (engine.accepted_orders or 0) if is_recent else 0
        engine.accepted_orders = max(known_orders, report.accepted_orders)
        engine.running = report.running
        engine.waiting = report.waiting
        engine.cache_used = report.cache_used
        self._record_uses(engine, requested_at)
        for adapter in report.adapters:
            self._load_times.record_copy(engine.listed.id, adapter)
        state = self._describe_state(engine)
        self._view.apply_coordinator_report(
            self._rights.instance, state, self._clock.now()
        )


def _is_no_prompt_user(user: str, since: float) -> bool:
    return False
