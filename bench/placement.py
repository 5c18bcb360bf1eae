"""Simulates engines in virtual time under different placement policies.

Run by ``bench.experiment`` for the table of docs/BENCH.md. The simulation includes what
placement depends on: adapter slots, fetches from a weight store that slow down when
there are many at a time, faster reloads of adapters that the engine keeps a copy of,
prefills one after the other, and decoding steps that take longer in larger batches. It
leaves out prompt caches and the network, and has a single instance with a complete
view of the engines.
"""

from __future__ import annotations

import abc
import collections
import heapq
import random
from typing import final

import attrs

from chiveslip import hashing
from chiveslip.gateway.adapter_slots import AdapterSlots
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.engine_view import OwnRequest
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address

SEED = 20261204
MODEL = "m"


@attrs.frozen(kw_only=True)
class Load:
    """A load and the engines that serve it, by default as the users specify them.

    Attributes
    ----------
    places
        Adapter slots of each engine.
    copies
        Adapters of which each engine keeps a copy that it can reload.
    zipf
        Exponent of the Zipf distribution of the adapters' popularity.
    rate
        Requests a second.
    shift_s
        Interval in seconds after which the most popular adapter becomes the least
        popular, and all others rise by one rank.
    fetch_s
        Time in seconds to load an adapter from the weight store.
    reload_s
        Time in seconds to load an adapter from the engine's copy.
    most_fetches
        Fetches at a time above which the weight store slows each down.
    read_tokens_per_s
        Prompt tokens that an engine prefills in a second.
    step_s, step_per_request_s
        Time in seconds of a decoding step, and its increase by each running request.
    """

    engines: int = 9
    places: int = 17
    copies: int = 102
    adapters: int = 3000
    zipf: float = 1.2
    rate: float = 57.0
    length_s: float = 60.0
    shift_s: float = 10.0
    organisations: int = 5
    prompt_tokens: float = 1100.0
    output_tokens: float = 150.0
    fetch_s: float = 0.25
    reload_s: float = 0.025
    most_fetches: int = 8
    read_tokens_per_s: float = 19_100.0
    step_s: float = 0.009
    step_per_request_s: float = 0.00004


@attrs.frozen(kw_only=True)
class Arrival:
    """A request; `at` is in seconds, `prompt` and `output` are in tokens."""

    at: float
    adapter: Adapter
    organisation: int
    prompt: float
    output: float


@attrs.frozen(kw_only=True)
class Result:
    """Result of a load under a policy.

    Attributes
    ----------
    fetches
        Loads of adapters from the weight store.
    stalls_s
        Times in seconds that requests waited for their adapter, without zeros.
    first_s
        Times to the first token in seconds, by organisation.
    refused
        Requests that found all adapter slots of their engine in use or loading.
    """

    requests: int
    fetches: int
    stalls_s: list[float]
    first_s: dict[int, list[float]]
    refused: int


def generate_arrivals(load: Load, seed: int) -> list[Arrival]:
    """Return the requests of a load, reproducible by the seed."""
    generator = random.Random(seed)
    order = list(range(load.adapters))
    generator.shuffle(order)
    weights = [1.0 / (rank + 1) ** load.zipf for rank in range(load.adapters)]
    now = 0.0
    generated = []
    shift = 0
    while now < load.length_s:
        now += generator.expovariate(load.rate)
        if int(now / load.shift_s) > shift:
            shift += 1
            order = order[1:] + order[:1]
        index = generator.choices(order, weights)[0]
        generated.append(
            Arrival(
                at=now,
                adapter=(f"{MODEL}/a{index}", 1),
                organisation=min(int(generator.expovariate(0.7)), 4),
                prompt=load.prompt_tokens * generator.lognormvariate(-0.3, 0.8),
                output=load.output_tokens * generator.lognormvariate(-0.3, 0.8),
            )
        )
    return generated


@attrs.define(kw_only=True, eq=False)
class SimulatedEngine:
    """State of one engine.

    Attributes
    ----------
    ready_times
        Times at which the adapters in slots were or will be ready.
    copies
        Adapters of which the engine keeps a copy, least recently loaded first.
    prefill_ends_at
        Time at which the last prefill accepted so far ends.
    """

    name: str
    ready_times: dict[Adapter, float] = attrs.field(factory=dict)
    used_at: dict[Adapter, float] = attrs.field(factory=dict)
    in_use: collections.Counter[Adapter] = attrs.field(factory=collections.Counter)
    copies: collections.OrderedDict[Adapter, None] = attrs.field(
        factory=collections.OrderedDict
    )
    prefill_ends_at: float = 0.0
    running: int = 0


class Policy(abc.ABC):
    """Chooses an engine for each request, and the adapters to unload."""

    def __init__(self, load: Load, engines: dict[str, SimulatedEngine]) -> None:
        self.load = load
        self.engines = engines

    @abc.abstractmethod
    def choose_engine(self, arrival: Arrival) -> SimulatedEngine:
        """Return the engine for a request."""

    def select_victim(self, engine: SimulatedEngine, now: float) -> Adapter | None:
        """Return the idle adapter used least recently, or None if all are in use."""
        idle = [
            (engine.used_at[adapter], adapter)
            for adapter, ready_at in engine.ready_times.items()
            if not engine.in_use[adapter] and ready_at <= now
        ]
        return min(idle)[1] if idle else None

    def record_load(
        self, engine: SimulatedEngine, adapter: Adapter, now: float
    ) -> None:
        """Record that a load of an adapter was ordered."""
        return

    def record_unload(
        self, engine: SimulatedEngine, adapter: Adapter, now: float
    ) -> None:
        """Record that an adapter was unloaded."""
        return

    def record_request_start(self, engine: SimulatedEngine, arrival: Arrival) -> None:
        """Record that a request was sent to an engine."""
        return

    def record_first_token(self, engine: SimulatedEngine, arrival: Arrival) -> None:
        """Record that an engine sent the first token of a request."""
        return

    def record_request_end(self, engine: SimulatedEngine, arrival: Arrival) -> None:
        """Record that a request ended."""
        return


@final
class RandomLru(Policy):
    """Chooses engines at random."""

    def __init__(self, load: Load, engines: dict[str, SimulatedEngine]) -> None:
        super().__init__(load, engines)
        self._random = random.Random(SEED)

    def choose_engine(self, arrival: Arrival) -> SimulatedEngine:
        """Return a random engine."""
        return self._random.choice(list(self.engines.values()))


@final
class HashLru(Policy):
    """Chooses the first engine in the adapter's rendezvous order."""

    def choose_engine(self, arrival: Arrival) -> SimulatedEngine:
        """Return the engine to which the adapter hashes."""
        return self.engines[hashing.rank(arrival.adapter[0], self.engines)[0]]


@final
class LeastLoadedLru(Policy):
    """Chooses the engine with the fewest running requests."""

    def choose_engine(self, arrival: Arrival) -> SimulatedEngine:
        """Return the engine with the fewest running requests."""
        return min(self.engines.values(), key=lambda e: (e.running, e.name))


@final
class GatewayPolicy(Policy):
    """Chooses engines and victims by the gateway's own code."""

    def __init__(self, load: Load, engines: dict[str, SimulatedEngine]) -> None:
        super().__init__(load, engines)
        self._view = EngineView()
        self._requests: dict[int, OwnRequest] = {}
        self._expected_s: dict[int, float] = {}
        self._times = LoadTimes(
            fetch_s=load.fetch_s,
            reload_s=load.reload_s,
            max_full_speed_fetches=load.most_fetches,
        )
        health = EndpointHealth()
        self._placement = Placement(
            self._view,
            health,
            self._times,
            failures=EngineFailures(),
            speeds=EngineSpeeds(),
            instance_count=lambda: 1,
            generator=random.Random(SEED),
        )
        self._slots = {name: AdapterSlots() for name in engines}
        self._limits = EngineCapacity(
            slots=64,
            cache_tokens=120_000,
            adapter_slots=load.places,
            models={MODEL: 1.0},
            memory_mb=1.0,
            model_loads_per_s=1.0,
        )
        self._listed_engines = [_build_endpoint(name) for name in engines]
        for name in engines:
            self._view.update_engine(name, 1, frozenset({MODEL}), frozenset(), 0.0)

    def choose_engine(self, arrival: Arrival) -> SimulatedEngine:
        """Return the engine with the lowest cost."""
        self._placement.record_request(arrival.adapter, arrival.prompt, arrival.at)
        choice = self._placement.choose_engine(
            self._listed_engines,
            self._limits,
            MODEL,
            arrival.adapter,
            arrival.prompt,
            (),
            arrival.at,
        )
        assert choice is not None
        self._expected_s[id(arrival)] = choice.wait_s
        return self.engines[choice.engine.id]

    def select_victim(self, engine: SimulatedEngine, now: float) -> Adapter | None:
        """Return the adapter that the coordinator would unload."""
        in_use = self._view.adapters_in_use(engine.name, now)
        slots = self._slots[engine.name]
        slots.record_use(in_use, now)
        return slots.select_victim(in_use, now, self._view.use_notice_s)

    def record_load(
        self, engine: SimulatedEngine, adapter: Adapter, now: float
    ) -> None:
        """Record that a load of an adapter was ordered."""
        self._times.record_load(engine.name, adapter, now)
        ready_at = engine.ready_times[adapter]
        self._slots[engine.name].record_load(adapter, now, ready_at)
        self._view.expect_adapter(engine.name, adapter, ready_at)

    def record_unload(
        self, engine: SimulatedEngine, adapter: Adapter, now: float
    ) -> None:
        """Record that an adapter was unloaded."""
        self._slots[engine.name].record_unloaded(adapter, now)
        self._view.record_missing_adapter(engine.name, adapter, now)

    def record_request_start(self, engine: SimulatedEngine, arrival: Arrival) -> None:
        """Record that a request was sent to an engine."""
        self._requests[id(arrival)] = self._view.record_request_start(
            engine.name,
            arrival.adapter,
            arrival.prompt,
            arrival.at,
            self._expected_s.pop(id(arrival)),
        )

    def record_first_token(self, engine: SimulatedEngine, arrival: Arrival) -> None:
        """Record that an engine sent the first token of a request."""
        self._requests[id(arrival)].has_first_event = True

    def record_request_end(self, engine: SimulatedEngine, arrival: Arrival) -> None:
        """Record that a request ended."""
        self._view.record_request_end(self._requests.pop(id(arrival)))


def _build_endpoint(name: str) -> ListedEndpoint:
    return ListedEndpoint(
        id=name,
        service="llm",
        address=Address("127.0.0.1", 1),
        data_centre="here",
        slots=64,
        state=EndpointState.READY,
        started=1,
        models=(MODEL,),
    )


POLICIES: dict[str, type[Policy]] = {
    "chiveslip": GatewayPolicy,
    "random + LRU": RandomLru,
    "consistent hash + LRU": HashLru,
    "least loaded + LRU": LeastLoadedLru,
}


@final
class Simulation:
    """Simulates engines that serve a load under one policy."""

    def __init__(self, load: Load, policy: type[Policy]) -> None:
        self._load = load
        self._engines = {
            f"e{n}": SimulatedEngine(name=f"e{n}") for n in range(load.engines)
        }
        self._policy = policy(load, self._engines)
        self._fetch_ends: list[float] = []
        self._events: list[tuple[float, int, str, SimulatedEngine, Arrival]] = []
        self._event_count = 0
        self._fetches = 0
        self._refused = 0
        self._stalls: list[float] = []
        self._first_s: dict[int, list[float]] = collections.defaultdict(list)

    def run(self, requests: list[Arrival]) -> Result:
        """Serve the requests and return the result."""
        for arrival in requests:
            self._process_events_until(arrival.at)
            self._handle_arrival(arrival)
        self._process_events_until(float("inf"))
        return Result(
            requests=len(requests),
            fetches=self._fetches,
            stalls_s=sorted(self._stalls),
            first_s={name: sorted(times) for name, times in self._first_s.items()},
            refused=self._refused,
        )

    def _handle_arrival(self, arrival: Arrival) -> None:
        engine = self._policy.choose_engine(arrival)
        ready_at = self._ensure_loaded(engine, arrival)
        if ready_at is None:
            self._refused += 1
            return
        engine.in_use[arrival.adapter] += 1
        engine.running += 1
        engine.used_at[arrival.adapter] = arrival.at
        self._policy.record_request_start(engine, arrival)
        stall_s = max(ready_at - arrival.at, 0.0)
        if stall_s > 0:
            self._stalls.append(stall_s)
        prefill_starts_at = max(ready_at, arrival.at, engine.prefill_ends_at)
        engine.prefill_ends_at = (
            prefill_starts_at + arrival.prompt / self._load.read_tokens_per_s
        )
        step_s = self._load.step_s + engine.running * self._load.step_per_request_s
        first_token_at = engine.prefill_ends_at + step_s
        self._first_s[arrival.organisation].append(first_token_at - arrival.at)
        self._schedule(first_token_at, "first", engine, arrival)
        self._schedule(first_token_at + arrival.output * step_s, "end", engine, arrival)

    def _ensure_loaded(self, engine: SimulatedEngine, arrival: Arrival) -> float | None:
        """Load the adapter if necessary; return when it is ready, None if refused."""
        now, adapter = arrival.at, arrival.adapter
        if adapter in engine.ready_times:
            return engine.ready_times[adapter]
        if len(engine.ready_times) >= self._load.places:
            victim = self._policy.select_victim(engine, now)
            if victim is None:
                return None
            del engine.ready_times[victim]
            self._policy.record_unload(engine, victim, now)
        engine.ready_times[adapter] = now + self._start_load(engine, adapter, now)
        self._policy.record_load(engine, adapter, now)
        return engine.ready_times[adapter]

    def _start_load(
        self, engine: SimulatedEngine, adapter: Adapter, now: float
    ) -> float:
        has_copy = adapter in engine.copies
        engine.copies[adapter] = None
        engine.copies.move_to_end(adapter)
        while len(engine.copies) > self._load.copies:
            engine.copies.popitem(last=False)
        if has_copy:
            return self._load.reload_s
        self._fetches += 1
        self._fetch_ends = [end for end in self._fetch_ends if end > now]
        slowdown = (len(self._fetch_ends) + 1) / self._load.most_fetches
        duration_s = self._load.fetch_s * max(slowdown, 1.0)
        self._fetch_ends.append(now + duration_s)
        return duration_s

    def _process_events_until(self, now: float) -> None:
        while self._events and self._events[0][0] <= now:
            at, _, kind, engine, arrival = heapq.heappop(self._events)
            if kind == "first":
                self._policy.record_first_token(engine, arrival)
                continue
            engine.running -= 1
            engine.in_use[arrival.adapter] -= 1
            engine.used_at[arrival.adapter] = at
            self._policy.record_request_end(engine, arrival)

    def _schedule(
        self, at: float, kind: str, engine: SimulatedEngine, arrival: Arrival
    ) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, kind, engine, arrival))


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which `fraction` of the sorted values lie, or 0."""
    return values[int(fraction * (len(values) - 1))] if values else 0.0


def worst_p99_ratio(result: Result) -> float:
    """Return the ratio of the worst organisation's 99th percentile to the median."""
    p99s = sorted(quantile(times, 0.99) for times in result.first_s.values())
    return p99s[-1] / p99s[len(p99s) // 2]


def first_token_p99_s(result: Result) -> float:
    """Return the 99th percentile of all times to the first token in seconds."""
    all_times = sorted(time for times in result.first_s.values() for time in times)
    return quantile(all_times, 0.99)


def count_minimum_fetches(requests: list[Arrival]) -> int:
    """Return the fetches if each adapter is fetched once and its copy is kept."""
    return len({arrival.adapter for arrival in requests})
