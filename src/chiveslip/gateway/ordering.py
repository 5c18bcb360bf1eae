"""Who orders loads at which engine, and the orders themselves.

Each engine has one orderer: the first live instance in its rendezvous order. An
instance that becomes orderer holds off until the one before has surely stopped, and
sends every order with a fencing number that no other instance can have and with the
number of orders the engine must have accepted. Without an orderer, engines go on
serving what they hold.
"""

from __future__ import annotations

import asyncio
import enum
import math
import time
from collections.abc import Callable
from typing import final

import attrs

from chiveslip import hashing
from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.fleet.gossip_news import EngineStateNews
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
from chiveslip.gateway.places import MOST_COMING
from chiveslip.gateway.places import AdapterPlaces
from chiveslip.gateway.routing import EngineLimits

# Added to the lease: the time that members need to agree on who is alive.
_AGREEMENT_S = 0.8
# An own pause longer than this may have cost the orderer's role.
_LONGEST_PAUSE_S = 1.0
_REPORT_INTERVAL_S = 1.0
# A started instance has heard of the live ones after this long.
_JOIN_S = 0.5
_MOST_WAIT_S = 1.5
_OVERLAP = 1.5
# An order for a model is repeated after this long if its load did not begin.
_MODEL_LOAD_LOOK_S = 2.0
# Window of the store's bound on loads of models, and the part of its rate that is
# used beside one window's burst.
_MODEL_WINDOW_S = 5.0
_MODEL_RATE_PART = 0.7
# An engine that has enough adapters on their way refuses more with a conflict.
_MOST_CONFLICTS = 4
_CONFLICT_PAUSE_S = 0.06
# A fencing number is a term above and a part of its own for each instance below.
_INSTANCE_BITS = 20
# Terms follow the time of day in tenths of a second, so that they rise over a
# restart of all instances; a lower one only costs a refusal.
_TERM_S = 0.1
_TERM_JUMP = 50


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
    """Gives orders to the engines that this instance is responsible for.

    Parameters
    ----------
    lease_s
        Time in seconds that must pass between the orders of two instances.
    spread_s
        Returns the time in seconds in which all instances have the news of one.
    alive
        Names of the live instances, this one included.
    has_quorum
        Whether this instance hears most of the others; without, it gives no orders.
    """

    def __init__(
        self,
        *,
        instance: str,
        lease_s: float,
        spread_s: Callable[[], float],
        control: EngineControl,
        view: EngineView,
        load_times: LoadTimes,
        alive: Callable[[], list[str]],
        has_quorum: Callable[[], bool],
        clock: Clock,
        measures: GatewayMeasures,
    ) -> None:
        self._measures = measures
        self._instance = instance
        self._lease_s = lease_s
        self._spread_s = spread_s
        self._control = control
        self._view = view
        self._load_times = load_times
        self._alive = alive
        self._has_quorum = has_quorum
        self._started_at = clock.now()
        self._last_orders: dict[str, tuple[float, int]] = {}
        self._peers_ordered_at: dict[str, float] = {}
        self._ranked_among: list[str] = []
        self._first: dict[str, str] = {}
        self._was_alive: set[str] = set()
        self._announced: set[str] = set()
        self._lost_at = float("-inf")
        self._changed_at = float("-inf")
        self._clock = clock
        self._engines: dict[str, _Engine] = {}
        self._fences: dict[str, int] = {}
        self._looked_at = clock.now()
        self._all_engines = 0
        self._model_loads = 0.0
        self._model_loads_at: float | None = None
        self._log = logs.get_logger("orders")

    @property
    def _hold_off_s(self) -> float:
        return self._lease_s + max(_AGREEMENT_S, self._spread_s())

    def orderer_of(self, engine: str) -> str:
        """Return the instance that orders loads at an engine."""
        alive = self._alive()
        if alive != self._ranked_among:
            self._ranked_among = list(alive)
            self._first.clear()
        first = self._first.get(engine)
        if first is None:
            first = hashing.rank(engine, alive)[0] if alive else self._instance
            self._first[engine] = first
        return first

    def heard_order(self, engine: str, fence: int, age_s: float) -> None:
        """Note the last order of another instance."""
        self._fences[engine] = max(self._fences.get(engine, 0), fence)
        at = self._clock.now() - age_s
        known = self._peers_ordered_at.get(engine, float("-inf"))
        self._peers_ordered_at[engine] = max(known, at)
        held = self._engines.get(engine)
        if held is not None:
            held.usable_from = max(held.usable_from, at + self._hold_off_s)

    @property
    def engines(self) -> int:
        """Number of engines that this instance orders at."""
        return len(self._engines)

    def last_orders(self) -> list[tuple[str, float, int]]:
        """Return the engines ordered at within a lease: age in seconds and fence."""
        now = self._clock.now()
        return [
            (engine, now - at, fence)
            for engine, (at, fence) in self._last_orders.items()
            if now - at <= self._hold_off_s
        ]

    def look(self, engines: list[tuple[ListedEndpoint, EngineLimits]]) -> None:
        """Take up and lay down engines, by who is alive now."""
        now = self._clock.now()
        if now - self._looked_at > _LONGEST_PAUSE_S:
            self._engines.clear()
            self._lost_at = now
        self._looked_at = now
        self._all_engines = len(engines)
        alive = self._alive()
        self._note_lost(alive, now)
        mine = {
            engine.id: (engine, limits)
            for engine, limits in engines
            if self._may_order(now)
            and alive
            and self.orderer_of(engine.id) == self._instance
        }
        for name in [name for name in self._engines if name not in mine]:
            del self._engines[name]
            self._log.info("No longer orderer.", engine=name, alive=len(alive))
        for name, (listed, limits) in mine.items():
            held = self._engines.get(name)
            if held is None:
                self._engines[name] = _Engine(
                    listed=listed,
                    limits=limits,
                    usable_from=self._usable_from(name, now),
                )
                self._log.info("Orderer from now on.", engine=name, alive=len(alive))
                continue
            held.listed, held.limits = listed, limits
        self._load_times.orders_share(self._share())

    def heard_stop(self, instance: str) -> None:
        """Note that an instance said itself that it stops, and so gives no orders."""
        self._announced.add(instance)

    def _note_lost(self, alive: list[str], now: float) -> None:
        """Note when who is alive changed, and when one was lost unannounced.

        The latter may still give orders unnoticed.
        """
        present = set(alive)
        if present != self._was_alive:
            self._changed_at = now
        if self._was_alive - present - self._announced:
            self._lost_at = now
        self._announced -= present
        self._was_alive = present

    def _may_order(self, now: float) -> bool:
        joined_at = self._started_at + max(_JOIN_S, self._spread_s())
        return now >= joined_at and self._has_quorum()

    def _usable_from(self, engine: str, now: float) -> float:
        """Return when no other instance's orders can come any more.

        Peers tell their orders, and until all have heard who is alive, the orderer
        before goes on; one that was lost since may have given more.
        """
        told_at = self._peers_ordered_at.get(engine, float("-inf"))
        held_off_until = max(told_at, self._lost_at) + self._hold_off_s
        return max(now, self._changed_at + self._spread_s(), held_off_until)

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
            model = self._missing_model(held)
            if model is None or not self._may_order_at(held):
                continue
            if held.lock.locked() or now < held.model_ordered_at + _MODEL_LOAD_LOOK_S:
                continue
            if held.orders is None or not self._may_load_model(held.limits, now):
                continue
            held.model_ordered_at = now
            async with held.lock:
                await self._order(held, Operation.LOAD, model)

    def _missing_model(self, held: _Engine) -> str | None:
        """Return the model that the engine has room for and the fewest others hold."""
        taken = sum(held.limits.models.get(model, 0.0) for model in held.models)
        room = held.limits.memory_mb - taken
        missing = [
            (self._view.model_holders(model), model)
            for model, size in held.limits.models.items()
            if model not in held.models and size <= room
        ]
        return min(missing)[1] if missing else None

    def _may_load_model(self, limits: EngineLimits, now: float) -> bool:
        """Take one load out of this instance's part of the store's rate."""
        alive = max(len(self._alive()), 1)
        burst = max(int(limits.model_loads_per_s * _MODEL_WINDOW_S / alive), 1)
        rate = limits.model_loads_per_s * _MODEL_RATE_PART / alive
        if self._model_loads_at is None:
            self._model_loads = float(burst)
        else:
            elapsed_s = now - self._model_loads_at
            self._model_loads = min(self._model_loads + elapsed_s * rate, burst)
        self._model_loads_at = now
        if self._model_loads < 1:
            return False
        self._model_loads -= 1
        return True

    def states(self) -> list[EngineStateNews]:
        """Return what this instance knows of its engines, for peers."""
        now = self._clock.now()
        return [
            EngineStateNews(
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
        name = held.listed.id
        return (
            self._clock.now() >= held.usable_from
            and self._has_quorum()
            and self.orderer_of(name) == self._instance
        )

    def _expected_s(self, held: _Engine, adapter: Adapter) -> float:
        """Return in how many seconds an adapter ordered now would be usable."""
        now = self._clock.now()
        load_s = self._load_times.expected_s(held.listed.id, adapter, now)
        if self._load_times.has_copy(held.listed.id, adapter):
            return load_s
        waiting = sum(engine.queued for engine in self._engines.values())
        return load_s * (1 + waiting / self._fetch_part())

    def _known(self, held: _Engine, adapter: Adapter) -> Loaded | None:
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
            held.fence = self._new_fence(held.listed.id)
        order = EngineOrder(
            operation=operation,
            target=target,
            version=version,
            holder=self._instance,
            fence=held.fence,
            after_orders=held.orders,
        )
        self._last_orders[held.listed.id] = (self._clock.now(), held.fence)
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
            held.usable_from = self._clock.now() + self._hold_off_s
            self._fences[held.listed.id] = held.fence + (_TERM_JUMP << _INSTANCE_BITS)
            held.fence = 0
        if answer is OrderAnswer.OTHER_ENGINE:
            self._engines.pop(held.listed.id, None)

    def _new_fence(self, engine: str) -> int:
        known_term = self._fences.get(engine, 0) >> _INSTANCE_BITS
        term = max(known_term + 1, int(time.time() / _TERM_S))
        own = hashing.score("fence", self._instance) % (1 << _INSTANCE_BITS)
        fence = (term << _INSTANCE_BITS) + own
        self._fences[engine] = fence
        return fence

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
