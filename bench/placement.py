"""Placement policies side by side on a small model of engines, in virtual time.

Played by ``bench.experiment`` for the table of docs/BENCH.md. The model has what
placing depends on: places for adapters, fetches from a store that slows down when
crowded, copies that come back faster, prompts read one after the other, a batch whose
steps grow. It has no cache of prompts, no network and one instance that knows all.
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
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address

SEED = 20261204
MODEL = "m"


@attrs.frozen(kw_only=True)
class Load:
    """A load and the engines it meets; figures of the users' sheets.

    Attributes
    ----------
    rate
        Requests a second.
    zipf
        Exponent of the adapters' popularity.
    shift_s
        Every so many seconds the most popular adapters fall silent and others rise.
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
    """A request."""

    at: float
    adapter: Adapter
    organisation: int
    prompt: float
    output: float


@attrs.frozen(kw_only=True)
class Result:
    """What a policy came to.

    Attributes
    ----------
    fetches
        Adapters brought from the store.
    stalls_s
        Waits for an adapter of the requests that had one, in seconds.
    first_s
        Times to the first token by organisation, in seconds.
    refused
        Requests for which no place came free in time.
    """

    requests: int
    fetches: int
    stalls_s: list[float]
    first_s: dict[int, list[float]]
    refused: int


def arrivals(load: Load, seed: int) -> list[Arrival]:
    """Return a seeded sequence of requests."""
    generator = random.Random(seed)
    order = list(range(load.adapters))
    generator.shuffle(order)
    weights = [1.0 / (rank + 1) ** load.zipf for rank in range(load.adapters)]
    now = 0.0
    found = []
    shift = 0
    while now < load.length_s:
        now += generator.expovariate(load.rate)
        if int(now / load.shift_s) > shift:
            shift += 1
            order = order[1:] + order[:1]
        index = generator.choices(order, weights)[0]
        found.append(
            Arrival(
                at=now,
                adapter=(f"{MODEL}/a{index}", 1),
                organisation=min(int(generator.expovariate(0.7)), 4),
                prompt=load.prompt_tokens * generator.lognormvariate(-0.3, 0.8),
                output=load.output_tokens * generator.lognormvariate(-0.3, 0.8),
            )
        )
    return found


@attrs.define(kw_only=True, eq=False)
class Engine:
    """State of one engine."""

    name: str
    present: dict[Adapter, float] = attrs.field(factory=dict)
    used_at: dict[Adapter, float] = attrs.field(factory=dict)
    in_use: collections.Counter[Adapter] = attrs.field(factory=collections.Counter)
    copies: collections.OrderedDict[Adapter, None] = attrs.field(
        factory=collections.OrderedDict
    )
    read_until: float = 0.0
    running: int = 0


class Policy(abc.ABC):
    """Chooses engines and victims."""

    def __init__(self, load: Load, engines: dict[str, Engine]) -> None:
        self.load = load
        self.engines = engines

    @abc.abstractmethod
    def choose(self, arrival: Arrival) -> Engine:
        """Return the engine for a request."""

    def victim(self, engine: Engine, now: float) -> Adapter | None:
        """Return the adapter to drop: the one used least recently."""
        idle = [
            (engine.used_at[adapter], adapter)
            for adapter, ready_at in engine.present.items()
            if not engine.in_use[adapter] and ready_at <= now
        ]
        return min(idle)[1] if idle else None

    def loaded(self, engine: Engine, adapter: Adapter, now: float) -> None:
        """Note an order to load."""
        return

    def dropped(self, engine: Engine, adapter: Adapter, now: float) -> None:
        """Note a dropped adapter."""
        return

    def begins(self, engine: Engine, arrival: Arrival) -> None:
        """Note a request that was sent."""
        return

    def first_token(self, engine: Engine, arrival: Arrival) -> None:
        """Note a first token."""
        return

    def ends(self, engine: Engine, arrival: Arrival) -> None:
        """Note the end of a request."""
        return


@final
class RandomLru(Policy):
    """Any engine."""

    def __init__(self, load: Load, engines: dict[str, Engine]) -> None:
        super().__init__(load, engines)
        self._random = random.Random(SEED)

    def choose(self, arrival: Arrival) -> Engine:
        """Return any engine."""
        return self._random.choice(list(self.engines.values()))


@final
class HashLru(Policy):
    """The first engine in the adapter's rendezvous order."""

    def choose(self, arrival: Arrival) -> Engine:
        """Return the adapter's engine."""
        return self.engines[hashing.rank(arrival.adapter[0], self.engines)[0]]


@final
class LeastLoadedLru(Policy):
    """The engine with the fewest requests."""

    def choose(self, arrival: Arrival) -> Engine:
        """Return the emptiest engine."""
        return min(self.engines.values(), key=lambda e: (e.running, e.name))


@final
class Chiveslip(Policy):
    """The gateway's own decisions."""

    def __init__(self, load: Load, engines: dict[str, Engine]) -> None:
        super().__init__(load, engines)
        self._view = EngineView()
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
            instance_count=lambda: 1,
            generator=random.Random(SEED),
        )
        self._places = {name: AdapterSlots() for name in engines}
        self._limits = EngineCapacity(
            slots=64,
            cache_tokens=120_000,
            adapter_slots=load.places,
            models={MODEL: 1.0},
            memory_mb=1.0,
            model_loads_per_s=1.0,
        )
        self._listed = [_listed(name) for name in engines]
        for name in engines:
            self._view.update_engine(name, 1, frozenset({MODEL}), frozenset(), 0.0)

    def choose(self, arrival: Arrival) -> Engine:
        """Return the engine with the least cost."""
        choice = self._placement.choose_engine(
            self._listed,
            self._limits,
            MODEL,
            arrival.adapter,
            arrival.prompt,
            (),
            arrival.at,
        )
        assert choice is not None
        return self.engines[choice.engine.id]

    def victim(self, engine: Engine, now: float) -> Adapter | None:
        """Return what the orderer would drop."""
        in_use = self._view.adapters_in_use(engine.name, now)
        self._places[engine.name].record_use(in_use, now)
        return self._places[engine.name].select_victim(in_use, now)

    def loaded(self, engine: Engine, adapter: Adapter, now: float) -> None:
        """Note an order to load."""
        self._times.record_load(engine.name, adapter, now)
        ready_at = engine.present[adapter]
        self._places[engine.name].record_load(adapter, now, ready_at)
        self._view.expect_adapter(engine.name, adapter, ready_at)

    def dropped(self, engine: Engine, adapter: Adapter, now: float) -> None:
        """Note a dropped adapter."""
        self._places[engine.name].record_unloaded(adapter, now)
        self._view.record_missing_adapter(engine.name, adapter)

    def begins(self, engine: Engine, arrival: Arrival) -> None:
        """Note a request that was sent."""
        self._view.record_request_start(engine.name, arrival.adapter, arrival.prompt)

    def first_token(self, engine: Engine, arrival: Arrival) -> None:
        """Note a first token."""
        self._view.record_prefill_end(engine.name, arrival.prompt)

    def ends(self, engine: Engine, arrival: Arrival) -> None:
        """Note the end of a request."""
        self._view.record_request_end(engine.name, arrival.adapter)


def _listed(name: str) -> ListedEndpoint:
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
    "chiveslip": Chiveslip,
    "random + LRU": RandomLru,
    "consistent hash + LRU": HashLru,
    "least loaded + LRU": LeastLoadedLru,
}


@final
class Simulation:
    """Plays a load against engines under one policy."""

    def __init__(self, load: Load, policy: type[Policy]) -> None:
        self._load = load
        self._engines = {f"e{n}": Engine(name=f"e{n}") for n in range(load.engines)}
        self._policy = policy(load, self._engines)
        self._fetch_ends: list[float] = []
        self._events: list[tuple[float, int, str, Engine, Arrival]] = []
        self._number = 0
        self._fetches = 0
        self._refused = 0
        self._stalls: list[float] = []
        self._first: dict[int, list[float]] = collections.defaultdict(list)

    def play(self, requests: list[Arrival]) -> Result:
        """Return what came of the requests."""
        for arrival in requests:
            self._until(arrival.at)
            self._arrive(arrival)
        self._until(float("inf"))
        return Result(
            requests=len(requests),
            fetches=self._fetches,
            stalls_s=sorted(self._stalls),
            first_s={name: sorted(times) for name, times in self._first.items()},
            refused=self._refused,
        )

    def _arrive(self, arrival: Arrival) -> None:
        engine = self._policy.choose(arrival)
        ready_at = self._ready_at(engine, arrival)
        if ready_at is None:
            self._refused += 1
            return
        engine.in_use[arrival.adapter] += 1
        engine.running += 1
        engine.used_at[arrival.adapter] = arrival.at
        self._policy.begins(engine, arrival)
        stall = max(ready_at - arrival.at, 0.0)
        if stall > 0:
            self._stalls.append(stall)
        start = max(ready_at, arrival.at, engine.read_until)
        engine.read_until = start + arrival.prompt / self._load.read_tokens_per_s
        step = self._load.step_s + engine.running * self._load.step_per_request_s
        first = engine.read_until + step
        self._first[arrival.organisation].append(first - arrival.at)
        self._push(first, "first", engine, arrival)
        self._push(first + arrival.output * step, "end", engine, arrival)

    def _ready_at(self, engine: Engine, arrival: Arrival) -> float | None:
        """Return when the adapter is there, loading it if it must be."""
        now, adapter = arrival.at, arrival.adapter
        if adapter in engine.present:
            return engine.present[adapter]
        if len(engine.present) >= self._load.places:
            victim = self._policy.victim(engine, now)
            if victim is None:
                return None
            del engine.present[victim]
            self._policy.dropped(engine, victim, now)
        engine.present[adapter] = now + self._load_s(engine, adapter, now)
        self._policy.loaded(engine, adapter, now)
        return engine.present[adapter]

    def _load_s(self, engine: Engine, adapter: Adapter, now: float) -> float:
        has_copy = adapter in engine.copies
        engine.copies[adapter] = None
        engine.copies.move_to_end(adapter)
        while len(engine.copies) > self._load.copies:
            engine.copies.popitem(last=False)
        if has_copy:
            return self._load.reload_s
        self._fetches += 1
        self._fetch_ends = [end for end in self._fetch_ends if end > now]
        crowding = (len(self._fetch_ends) + 1) / self._load.most_fetches
        took = self._load.fetch_s * max(crowding, 1.0)
        self._fetch_ends.append(now + took)
        return took

    def _until(self, now: float) -> None:
        while self._events and self._events[0][0] <= now:
            at, _, kind, engine, arrival = heapq.heappop(self._events)
            if kind == "first":
                self._policy.first_token(engine, arrival)
                continue
            engine.running -= 1
            engine.in_use[arrival.adapter] -= 1
            engine.used_at[arrival.adapter] = at
            self._policy.ends(engine, arrival)

    def _push(self, at: float, kind: str, engine: Engine, arrival: Arrival) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, kind, engine, arrival))


def share(values: list[float], part: float) -> float:
    """Return the value below which `part` of the sorted values lie, or 0."""
    return values[int(part * (len(values) - 1))] if values else 0.0


def worst_p99(result: Result) -> float:
    """Return the worst organisation's 99th percentile over the median one's."""
    tails = sorted(share(times, 0.99) for times in result.first_s.values())
    return tails[-1] / tails[len(tails) // 2]


def first_p99(result: Result) -> float:
    """Return the 99th percentile of all times to the first token, in seconds."""
    merged = sorted(time for times in result.first_s.values() for time in times)
    return share(merged, 0.99)


def fewest_fetches(requests: list[Arrival]) -> int:
    """Return the fetches of a clairvoyant: each adapter once, copies for ever."""
    return len({arrival.adapter for arrival in requests})
