"""Orders to the engines that this instance orders at.

Every order has a fencing number that no other instance can have and the number of
orders that the engine must have accepted. Without an orderer, engines go on serving
what they hold. Who orders where is decided in `order_rights`.
"""

from __future__ import annotations

import asyncio
import enum
import math
from typing import final

import attrs

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import Operation
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.loads import LoadTimes
from chiveslip.gateway.measures import GatewayMeasures
from chiveslip.gateway.model_loads import ModelLoads
from chiveslip.gateway.model_loads import missing_model
from chiveslip.gateway.order_rights import OrderRights
from chiveslip.gateway.places import MOST_COMING
from chiveslip.gateway.places import AdapterPlaces
from chiveslip.gateway.routing import EngineLimits

_REPORT_INTERVAL_S = 1.0
_MOST_WAIT_S = 1.5
_OVERLAP = 1.5
# An order for a model is repeated after this long if its load did not begin.
_MODEL_LOAD_LOOK_S = 2.0
# An engine that has enough adapters on their way refuses more with a conflict.
_MOST_CONFLICTS = 4
_CONFLICT_PAUSE_S = 0.06


class LoadOutcome(enum.Enum):
    """What became of a request for an adapter."""

    USABLE = "usable"
    NO_ROOM = "no room"
    NOT_HOME = "not home"
    TOO_LATE = "too late"
    FAILED = "failed"


@attrs.frozen(kw_only=True)
class Loaded:
    """The outcome, and in how many seconds the adapter is or would be usable."""

    outcome: LoadOutcome
    after_s: float = 0.0


@attrs.define(kw_only=True, eq=False)
class _Engine:
    listed: ListedEndpoint
    limits: EngineLimits
    usable_from: float
    fence: int = 0
    started: int = 0
    orders: int | None = None
    models: frozenset[str] = frozenset()
    model_ordered_at: float = float("-inf")
    places: AdapterPlaces = attrs.field(factory=AdapterPlaces)
    running: int = 0
    waiting: int = 0
    cache_used: int = 0
    reported_at: float = float("-inf")
    read_at: float = float("-inf")
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    queued: int = 0


@final
class Orderer:
    """Gives orders to the engines that this instance is responsible for."""

    def __init__(
        self,
        *,
        rights: OrderRights,
        control: EngineControl,
        view: EngineView,
        load_times: LoadTimes,
        clock: Clock,
        measures: GatewayMeasures,
    ) -> None:
        self._rights = rights
        self._control = control
        self._view = view
        self._load_times = load_times
        self._clock = clock
        self._measures = measures
        self._engines: dict[str, _Engine] = {}
        self._all_engines = 0
        self._model_loads = ModelLoads()
        self._log = logs.get_logger("orders")

    @property
    def rights(self) -> OrderRights:
        """Which instance orders where."""
        return self._rights

    def heard_order(self, engine: str, fence: int, age_s: float) -> None:
        """Note the last order of another instance."""
        at = self._rights.heard_order(engine, fence, age_s)
        held = self._engines.get(engine)
        if held is not None:
            held.usable_from = max(held.usable_from, at + self._rights.hold_off_s)

    @property
    def engines(self) -> int:
        """Number of engines that this instance orders at."""
        return len(self._engines)

    def look(self, engines: list[tuple[ListedEndpoint, EngineLimits]]) -> None:
        """Take up and lay down engines, by who is alive now."""
        if self._rights.look():
            self._engines.clear()
        self._all_engines = len(engines)
        alive = self._rights.live
        by_id = {engine.id: (engine, limits) for engine, limits in engines}
        own = self._rights.own_of(by_id) if self._rights.has_joined() else []
        mine = {name: by_id[name] for name in own}
        for name in [name for name in self._engines if name not in mine]:
            del self._engines[name]
            self._log.info("No longer orderer.", engine=name, alive=alive)
        for name, (listed, limits) in mine.items():
            held = self._engines.get(name)
            if held is None:
                self._engines[name] = _Engine(
                    listed=listed,
                    limits=limits,
                    usable_from=self._rights.usable_from(name),
                )
                self._log.info("Orderer from now on.", engine=name, alive=alive)
                continue
            held.listed, held.limits = listed, limits
        self._load_times.orders_share(self._share())

    async def read_reports(self) -> None:
        """Read the reports that are due."""
        now = self._clock.now()
        due = [
            engine
            for engine in self._engines.values()
            if now - engine.reported_at >= _REPORT_INTERVAL_S
        ]
        await asyncio.gather(*(self._read_report(engine) for engine in due))

    async def load_models(self) -> None:
        """Have engines that lack base models load them, within the store's rate."""
        now = self._clock.now()
        for held in list(self._engines.values()):
            model = missing_model(held.models, held.limits, self._view)
            if model is None or not self._may_order_at(held):
                continue
            if held.lock.locked() or now < held.model_ordered_at + _MODEL_LOAD_LOOK_S:
                continue
            if held.orders is None:
                continue
            if not self._model_loads.take(held.limits, self._rights.live, now):
                continue
            held.model_ordered_at = now
            async with held.lock:
                await self._order(held, Operation.LOAD, model)

    def states(self) -> list[EngineStateUpdate]:
        """Return what this instance knows of its engines, for peers."""
        now = self._clock.now()
        return [
            EngineStateUpdate(
                engine=name,
                started=engine.started,
                models=engine.models,
                adapters=engine.places.adapters,
                running=engine.running,
                waiting=engine.waiting,
                cache_used=engine.cache_used,
                age_s=0.0,
            )
            for name, engine in self._engines.items()
            if engine.read_at > now - 5 * _REPORT_INTERVAL_S
        ]

    async def load(self, engine: str, adapter: Adapter, patience_s: float) -> Loaded:
        """Have an adapter usable at an engine, if it comes within `patience_s`."""
        held = self._engines.get(engine)
        if held is None or not self._may_order_at(held):
            return Loaded(outcome=LoadOutcome.NOT_HOME)
        known = self._known(held, adapter)
        if known is not None:
            return known
        expected_s = self._expected_s(held, adapter)
        if expected_s > patience_s:
            return Loaded(outcome=LoadOutcome.TOO_LATE, after_s=expected_s)
        held.queued += 1
        try:
            async with held.lock:
                known = self._known(held, adapter)
                if known is not None:
                    return known
                return await self._load(held, adapter)
        finally:
            held.queued -= 1

    def _may_order_at(self, held: _Engine) -> bool:
        """Return whether this instance is the orderer at this very moment."""
        is_usable = self._clock.now() >= held.usable_from
        return is_usable and self._rights.is_own(held.listed.id)

    def _expected_s(self, held: _Engine, adapter: Adapter) -> float:
        """Return in how many seconds an adapter ordered now would be usable."""
        now = self._clock.now()
        load_s = self._load_times.expected_s(held.listed.id, adapter, now)
        if self._load_times.has_copy(held.listed.id, adapter):
            return load_s
        waiting = sum(engine.queued for engine in self._engines.values())
        return load_s * (1 + waiting / self._fetch_part())

    def _known(self, held: _Engine, adapter: Adapter) -> Loaded | None:
        if held.places.is_leaving(adapter):
            return Loaded(outcome=LoadOutcome.NO_ROOM)
        ready_at = held.places.ready_at(adapter)
        if ready_at is None:
            return None
        after_s = max(ready_at - self._clock.now(), 0.0)
        return Loaded(outcome=LoadOutcome.USABLE, after_s=after_s)

    async def _load(self, held: _Engine, adapter: Adapter) -> Loaded:
        if held.orders is None:
            await self._read_report(held)
        if held.orders is None:
            return Loaded(outcome=LoadOutcome.FAILED)
        if not await self._wait_for_transit(held, adapter):
            return Loaded(outcome=LoadOutcome.FAILED)
        if len(held.places) >= held.limits.adapter_places:
            freed = await self._free_place(held)
            if not freed:
                return Loaded(outcome=LoadOutcome.NO_ROOM)
        now = self._clock.now()
        ready_at = self._load_times.ordered(held.listed.id, adapter, now)
        held.places.ordered(adapter, now, ready_at)
        answer = await self._order_patiently(held, adapter)
        if answer in (OrderAnswer.UNDER_WAY, OrderAnswer.HOLDS_ALREADY):
            self._view.becomes_ready(held.listed.id, adapter, ready_at)
            after_s = max(ready_at - self._clock.now(), 0.0)
            return Loaded(outcome=LoadOutcome.USABLE, after_s=after_s)
        if answer is not None:
            held.places.refused(adapter)
        return Loaded(outcome=LoadOutcome.FAILED)

    async def _order_patiently(
        self, held: _Engine, adapter: Adapter
    ) -> OrderAnswer | None:
        """Order a load; where others are still on their way, again a little later."""
        answer = None
        for _ in range(_MOST_CONFLICTS):
            answer = await self._order(held, Operation.LOAD, adapter[0], adapter[1])
            if answer is not OrderAnswer.CONFLICT:
                return answer
            await asyncio.sleep(_CONFLICT_PAUSE_S)
            # Another instance may have given orders: what these brought takes places.
            await self._read_report(held)
            if len(held.places) > held.limits.adapter_places:
                return answer
        return answer

    async def _wait_for_transit(self, held: _Engine, adapter: Adapter) -> bool:
        """Wait until another fetch may begin, at this engine and from here."""
        ends_at = self._clock.now() + _MOST_WAIT_S
        while True:
            now = self._clock.now()
            coming = held.places.coming(now)
            free_at = now
            if len(coming) >= MOST_COMING:
                free_at = coming[len(coming) - MOST_COMING]
            free_at = max(free_at, self._fetch_free_at(held.listed.id, adapter, now))
            if free_at <= now:
                return True
            if free_at > ends_at:
                return False
            await asyncio.sleep(free_at - now)

    def _fetch_free_at(self, engine: str, adapter: Adapter, now: float) -> float:
        """Return when this instance may fetch another adapter from the store.

        Fetches beyond what the store serves at full speed make all of them slow, so
        each instance takes its part of them.
        """
        if self._load_times.has_copy(engine, adapter):
            return now
        return self._load_times.free_at(self._fetch_part(), now)

    def _fetch_part(self) -> int:
        """Return how many fetches this instance may have under way.

        The store serves as many a second when more are under way, so the parts add
        up to more than it serves at full speed: none of it is left idle.
        """
        most = self._load_times.most_fetches * _OVERLAP
        return max(math.ceil(most * self._share()), 1)

    def _share(self) -> float:
        return len(self._engines) / max(self._all_engines, 1)

    async def _free_place(self, held: _Engine) -> bool:
        now = self._clock.now()
        in_use = self._view.adapters_in_use(held.listed.id, now)
        held.places.used(in_use, now)
        victim = held.places.victim(in_use, now)
        if victim is None:
            return False
        answer = await self._order(held, Operation.UNLOAD, victim[0])
        if answer is OrderAnswer.UNDER_WAY:
            # A request that nobody has told of yet uses it.
            held.places.leaves(victim, self._clock.now())
            self._view.missing(held.listed.id, victim)
            return False
        if answer is not OrderAnswer.HOLDS_ALREADY:
            return False
        held.places.unloaded(victim, self._clock.now())
        self._view.missing(held.listed.id, victim)
        return True

    async def _order(
        self, held: _Engine, operation: Operation, target: str, version: int = 0
    ) -> OrderAnswer | None:
        if not self._may_order_at(held):
            return None
        if held.fence == 0:
            held.fence = self._rights.new_fence(held.listed.id)
        order = EngineOrder(
            operation=operation,
            target=target,
            version=version,
            holder=self._rights.instance,
            fence=held.fence,
            after_orders=held.orders,
        )
        self._rights.gives_order(held.listed.id, held.fence)
        try:
            answer = await self._control.order(held.listed, order)
        except EngineControlError as error:
            self._log.warning(
                "No answer to an order.",
                engine=held.listed.id,
                operation=operation.value,
                target=target,
                cause=str(error),
            )
            held.orders = None
            return None
        self._note(held, order, answer)
        return answer

    def _note(
        self,
        held: _Engine,
        order: EngineOrder,
        answer: OrderAnswer,
    ) -> None:
        labels = (order.operation.value, answer.value)
        self._measures.orders.labels(*labels).inc()
        if answer in (OrderAnswer.UNDER_WAY, OrderAnswer.HOLDS_ALREADY):
            self._log.info(
                "Order accepted.",
                engine=held.listed.id,
                operation=order.operation.value,
                target=order.target,
                version=order.version,
                answer=answer.value,
                after_orders=held.orders,
                places=len(held.places),
            )
            if held.orders is not None:
                held.orders += 1
            return
        self._log.info(
            "Order not accepted.",
            engine=held.listed.id,
            operation=order.operation.value,
            target=order.target,
            version=order.version,
            answer=answer.value,
            after_orders=held.orders,
            fence=held.fence,
        )
        if answer is not OrderAnswer.CONFLICT:
            held.orders = None
        if answer is OrderAnswer.FENCED:
            # Another instance gave orders: wait its lease out again.
            held.usable_from = self._clock.now() + self._rights.hold_off_s
            self._rights.was_fenced(held.listed.id, held.fence)
            held.fence = 0
        if answer is OrderAnswer.OTHER_ENGINE:
            self._engines.pop(held.listed.id, None)

    async def _read_report(self, held: _Engine) -> None:
        asked_at = self._clock.now()
        held.reported_at = asked_at
        try:
            report = await self._control.report(held.listed)
        except EngineControlError as error:
            held.orders = None
            self._log.info("No report.", engine=held.listed.id, cause=str(error))
            return
        if report.started != held.started:
            held.started = report.started
            held.orders = None
            held.places = AdapterPlaces()
            self._load_times.restarted(held.listed.id)
        held.read_at = asked_at
        held.models = report.models
        held.places.reported(report, asked_at)
        # A report is old, so it can only tell of too few orders.
        held.orders = max(held.orders or 0, report.orders)
        held.running = report.running
        held.waiting = report.waiting
        held.cache_used = report.cache_used
        in_use = self._view.adapters_in_use(held.listed.id, asked_at)
        held.places.used(in_use, asked_at)
        for adapter in report.adapters:
            self._load_times.held(held.listed.id, adapter)
        self._view.seen(
            held.listed.id,
            held.started,
            held.models,
            held.places.adapters,
            asked_at,
        )
