"""An engine in virtual time: chunked prefill, decoding steps, adapters and orders."""

from __future__ import annotations

import asyncio
import collections
import enum
import heapq
import itertools
from typing import final

import attrs

from bench.simulated_endpoints import MODEL
from bench.simulated_endpoints import build_endpoint
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_control import Operation
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.gateway.engine_view import Adapter

_MAX_LOADS_IN_TRANSIT = 4
_REPORT_LAG_S = 0.1


@attrs.frozen(kw_only=True)
class EngineProperties:
    """Speed and capacity of an engine.

    Attributes
    ----------
    queue
        Requests that wait for a slot; further ones are refused.
    chunk_tokens
        Prompt tokens that are prefilled between two decoding steps.
    step_per_kept_token_s
        Time in seconds that a step takes longer for each token in memory.
    prefill_start_s, prefill_per_pair_s
        Times in seconds that a prefill takes longer: once, and for each pair of a
        token that is read and an earlier one.
    copies
        Adapters that an engine keeps copies of after it dropped them.
    """

    slots: int = 64
    queue: int = 192
    adapter_slots: int = 17
    memory_tokens: int = 119_938
    chunk_tokens: int = 1024
    prefill_tokens_per_s: float = 19_100.0
    step_s: float = 0.008_87
    step_per_request_s: float = 0.000_038_8
    step_per_kept_token_s: float = 0.000_000_022_7
    prefill_start_s: float = 0.002
    prefill_per_pair_s: float = 1.47e-9
    tokens_per_event: int = 4
    model_load_s: float = 0.81
    reload_s: float = 0.025
    copies: int = 102


@attrs.frozen(kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    name: str
    tokens: int


@final
@attrs.define(eq=False, kw_only=True)
class EngineRun:
    """A request at an engine.

    Attributes
    ----------
    own_tokens
        Prompt tokens after the shared parts.
    first_event
        Whether the first event came; False if the connection was reset before.
    end
        Whether the stream is complete; False if the connection was reset before.
    memory_tokens
        Tokens of memory that the run occupies at its end.
    max_pause_s
        Longest time in seconds between two events.
    events
        Events that were sent when the run ended.
    is_over
        Whether the run has ended, or its connection was closed.
    """

    adapter: Adapter | None
    shared_parts: tuple[PromptPart, ...]
    own_tokens: int
    output_tokens: int
    priority: int
    first_event: asyncio.Future[bool]
    end: asyncio.Future[bool]
    unread_tokens: int = 0
    first_step: int | None = None
    max_pause_s: float = 0.0
    events: int = 0
    is_over: bool = False
    memory_tokens: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        shared_tokens = sum(part.tokens for part in self.shared_parts)
        self.memory_tokens = shared_tokens + self.own_tokens + self.output_tokens


class RunAnswer(enum.Enum):
    """An engine's first reaction to a request."""

    ACCEPTED = "accepted"
    LACKS_ADAPTER = "lacks adapter"
    NOT_RUN = "not run"


class EngineState(enum.Enum):
    """Whether an engine works."""

    UP = "up"
    DARK = "dark"
    """Accepts and answers nothing, but its connections stay open."""
    DOWN = "down"


@final
class WeightStore:
    """Source of adapters, slower when many are fetched at once."""

    def __init__(self, *, fetch_s: float, max_full_speed_fetches: int) -> None:
        self._fetch_s = fetch_s
        self._max_full_speed_fetches = max_full_speed_fetches
        self._ends: list[float] = []
        self.fetches = 0

    def begin_fetch(self, now: float) -> float:
        """Return the time in seconds that a fetch takes from now."""
        self.fetches += 1
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        crowding = (len(self._ends) + 1) / self._max_full_speed_fetches
        fetch_s = self._fetch_s * max(crowding, 1.0)
        heapq.heappush(self._ends, now + fetch_s)
        return fetch_s


@final
class SimulatedEngine:
    """One engine process; a restart is a new one.

    Parameters
    ----------
    speed
        Speed as a multiple of that of the properties.
    """

    def __init__(
        self,
        name: str,
        properties: EngineProperties,
        store: WeightStore,
        *,
        started: int,
        has_model: bool,
        speed: float = 1.0,
    ) -> None:
        self._properties = properties
        self._speed = speed
        self._store = store
        self._loop = asyncio.get_running_loop()
        self._state = EngineState.UP
        self._waiting: list[tuple[int, int, EngineRun]] = []
        self._numbers = itertools.count()
        self._running: dict[EngineRun, None] = {}
        self._running_tokens = 0
        self._prefills: collections.deque[EngineRun] = collections.deque()
        self._due: dict[int, list[EngineRun]] = {}
        self._step_ends: list[float] = []
        self._is_stepping = False
        self._adapters: dict[Adapter, float] = {}
        self._uses: collections.Counter[Adapter] = collections.Counter()
        self._read_parts: dict[Adapter | None, set[tuple[str, ...]]] = {}
        self._copies: collections.OrderedDict[Adapter, None] = collections.OrderedDict()
        self._unloading: Adapter | None = None
        self._has_model = has_model
        self._accepted_orders = 0
        self._snapshot: EngineReport
        self.listed: ListedEndpoint = attrs.evolve(
            build_endpoint(name, properties.slots, started),
            models=(MODEL,) if has_model else (),
        )
        self.ended: asyncio.Future[None] = self._loop.create_future()
        self.slowdown = 1.0
        self.reset_share = 0.0
        self.reports_fail = False
        self.max_queue = 0
        self._take_snapshot()

    @property
    def state(self) -> EngineState:
        """Whether the engine works."""
        return self._state

    @property
    def report(self) -> EngineReport:
        """The engine's state of a moment ago."""
        return self._snapshot

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return sum(not run.is_over for _, _, run in self._waiting)

    def offer(self, run: EngineRun) -> RunAnswer:
        """Queue a request unless the engine cannot run it."""
        if not self._has_model:
            return RunAnswer.LACKS_ADAPTER
        if run.adapter is not None:
            if run.adapter == self._unloading:
                return RunAnswer.NOT_RUN
            ready_at = self._adapters.get(run.adapter)
            if ready_at is None or ready_at > self._loop.time():
                return RunAnswer.LACKS_ADAPTER
        waiting = self.waiting
        if waiting >= self._properties.queue:
            return RunAnswer.NOT_RUN
        if run.adapter is not None:
            self._uses[run.adapter] += 1
        heapq.heappush(self._waiting, (run.priority, next(self._numbers), run))
        self.max_queue = max(self.max_queue, waiting + 1)
        if not self._is_stepping:
            self._is_stepping = True
            self._loop.call_soon(self._begin_step)
        return RunAnswer.ACCEPTED

    def cancel(self, run: EngineRun) -> None:
        """Stop work on a request whose connection was closed."""
        if run.is_over:
            return
        run.is_over = True
        self._release(run)

    def event_times(self, run: EngineRun) -> list[float]:
        """Return the local times in seconds of the events that a run has sent."""
        return self._list_event_times(run, len(self._step_ends) - 1)

    def go_dark(self) -> None:
        """Stop all work and leave the connections open."""
        self._state = EngineState.DARK

    def crash(self) -> None:
        """End the process and reset its connections."""
        self._state = EngineState.DOWN
        for run in [*self._running, *(run for _, _, run in self._waiting)]:
            run.is_over = True
            self._record_events(run, len(self._step_ends) - 1)
            for future in (run.first_event, run.end):
                if not future.done():
                    future.set_result(False)
        if not self.ended.done():
            self.ended.set_result(None)

    def accept_order(self, order: EngineOrder) -> OrderAnswer:
        """Carry out an order, or refuse it."""
        if order.after_orders not in (None, self._accepted_orders):
            return OrderAnswer.CONFLICT
        if order.target == MODEL:
            answer = self._load_model()
        elif order.operation is Operation.LOAD:
            answer = self._load_adapter((order.target, order.version))
        else:
            answer = self._unload_adapter(order.target)
        if answer is not OrderAnswer.CONFLICT:
            self._accepted_orders += 1
        return answer

    def _load_model(self) -> OrderAnswer:
        if self._has_model:
            return OrderAnswer.ALREADY_DONE
        self._loop.call_later(self._properties.model_load_s, self._finish_model)
        return OrderAnswer.IN_PROGRESS

    def _finish_model(self) -> None:
        self._has_model = True

    def _load_adapter(self, adapter: Adapter) -> OrderAnswer:
        now = self._loop.time()
        if adapter in self._adapters:
            return OrderAnswer.ALREADY_DONE
        in_transit = sum(ready_at > now for ready_at in self._adapters.values())
        if in_transit >= _MAX_LOADS_IN_TRANSIT:
            return OrderAnswer.CONFLICT
        if len(self._adapters) >= self._properties.adapter_slots:
            # The users' engines crash on such an order.
            self.crash()
            return OrderAnswer.REFUSED
        is_copy = adapter in self._copies
        load_s = self._properties.reload_s if is_copy else self._store.begin_fetch(now)
        self._adapters[adapter] = now + load_s
        self._copies[adapter] = None
        self._copies.move_to_end(adapter)
        if len(self._copies) > self._properties.copies:
            self._copies.popitem(last=False)
        return OrderAnswer.IN_PROGRESS

    def _unload_adapter(self, name: str) -> OrderAnswer:
        adapter = next((held for held in self._adapters if held[0] == name), None)
        if adapter is None:
            return OrderAnswer.ALREADY_DONE
        if self._unloading is not None:
            return OrderAnswer.CONFLICT
        if self._uses[adapter] > 0:
            self._unloading = adapter
            return OrderAnswer.IN_PROGRESS
        self._drop_adapter(adapter)
        return OrderAnswer.ALREADY_DONE

    def _drop_adapter(self, adapter: Adapter) -> None:
        del self._adapters[adapter]
        self._read_parts.pop(adapter, None)
        if self._unloading == adapter:
            self._unloading = None

    def _take_snapshot(self) -> None:
        if self._state is EngineState.DOWN:
            return
        now = self._loop.time()
        loading = frozenset(a for a, at in self._adapters.items() if at > now)
        self._snapshot = EngineReport(
            started=self.listed.started,
            accepted_orders=self._accepted_orders,
            models=frozenset({MODEL}) if self._has_model else frozenset(),
            adapters=frozenset(self._adapters) - loading,
            loading_adapters=loading,
            running=len(self._running),
            waiting=self.waiting,
            cache_used=self._running_tokens,
        )
        self._loop.call_later(_REPORT_LAG_S, self._take_snapshot)

    def _begin_step(self) -> None:
        if self._state is not EngineState.UP:
            return
        self._admit_waiting()
        if not self._running:
            self._is_stepping = False
            return
        read_runs, prefill_s = self._read_chunk()
        decoding = len(self._running) - len(self._prefills) - len(read_runs)
        properties = self._properties
        step_s = (
            properties.step_s
            + properties.step_per_request_s * decoding
            + properties.step_per_kept_token_s * self._running_tokens
            + prefill_s
        )
        self._loop.call_later(
            step_s * self.slowdown / self._speed, self._end_step, read_runs
        )

    def _admit_waiting(self) -> None:
        if not self._waiting:
            return
        while self._waiting and len(self._running) < self._properties.slots:
            run = self._waiting[0][2]
            used_tokens = self._running_tokens + run.memory_tokens
            if not run.is_over and used_tokens > self._properties.memory_tokens:
                return
            heapq.heappop(self._waiting)
            if run.is_over:
                continue
            self._running_tokens += run.memory_tokens
            run.unread_tokens = run.own_tokens + self._count_unread_shared(run)
            self._running[run] = None
            self._prefills.append(run)

    def _count_unread_shared(self, run: EngineRun) -> int:
        read_parts = self._read_parts.setdefault(run.adapter, set())
        prefix: tuple[str, ...] = ()
        unread_tokens = 0
        for part in run.shared_parts:
            prefix = (*prefix, part.name)
            unread_tokens += 0 if prefix in read_parts else part.tokens
        return unread_tokens

    def _read_chunk(self) -> tuple[list[EngineRun], float]:
        """Return the runs whose prefill ends in this step, and its time in seconds."""
        properties = self._properties
        left = properties.chunk_tokens
        prefill_s = 0.0
        ended = []
        while self._prefills and left > 0:
            run = self._prefills[0]
            tokens = min(run.unread_tokens, left)
            earlier = run.memory_tokens - run.output_tokens - run.unread_tokens
            pairs = tokens * (earlier + tokens / 2)
            prefill_s += tokens / properties.prefill_tokens_per_s
            prefill_s += pairs * properties.prefill_per_pair_s
            run.unread_tokens -= tokens
            left -= tokens
            if run.unread_tokens == 0:
                prefill_s += properties.prefill_start_s
                ended.append(self._prefills.popleft())
        return ended, prefill_s

    def _end_step(self, read_runs: list[EngineRun]) -> None:
        if self._state is not EngineState.UP:
            return
        step = len(self._step_ends)
        self._step_ends.append(self._loop.time())
        for run in read_runs:
            if not run.is_over:
                self._begin_decoding(run, step)
        for run in self._due.pop(step, ()):
            if not run.is_over:
                self._advance(run, step)
        self._begin_step()

    def _begin_decoding(self, run: EngineRun, step: int) -> None:
        run.first_step = step
        read_parts = self._read_parts.setdefault(run.adapter, set())
        prefix: tuple[str, ...] = ()
        for part in run.shared_parts:
            prefix = (*prefix, part.name)
            read_parts.add(prefix)
        first_tokens = min(self._properties.tokens_per_event, run.output_tokens)
        for tokens in {first_tokens, run.output_tokens}:
            self._due.setdefault(step + tokens - 1, []).append(run)

    def _advance(self, run: EngineRun, step: int) -> None:
        assert run.first_step is not None
        if not run.first_event.done():
            run.first_event.set_result(True)
        if step - run.first_step + 1 < run.output_tokens:
            return
        run.is_over = True
        self._record_events(run, step)
        if not run.end.done():
            run.end.set_result(True)
        self._release(run)

    def _record_events(self, run: EngineRun, step: int) -> None:
        """Record how many events a run has sent until a step, and their pauses."""
        times = self._list_event_times(run, step)
        run.events = len(times)
        pauses = (after - before for before, after in itertools.pairwise(times))
        run.max_pause_s = max(pauses, default=0.0)

    def _list_event_times(self, run: EngineRun, step: int) -> list[float]:
        if run.first_step is None:
            return []
        stride = self._properties.tokens_per_event
        return self._step_ends[run.first_step : step + 1][stride - 1 :: stride]

    def _release(self, run: EngineRun) -> None:
        if run in self._running:
            del self._running[run]
            self._running_tokens -= run.memory_tokens
        if run in self._prefills:
            self._prefills.remove(run)
        if run.adapter is None:
            return
        self._uses[run.adapter] -= 1
        if self._unloading == run.adapter and self._uses[run.adapter] == 0:
            self._drop_adapter(run.adapter)
