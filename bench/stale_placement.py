"""Placing by old reports: many instances, each with a small part of the load.

Run ``python -m bench.stale_placement`` for the table of docs/BENCH.md. Every instance
chooses engines by itself from reports that are seconds old, and sees at once only its
own requests. Engines read prompts one after the other, make tokens in steps that grow
with their batch, and queue what is beyond their slots. Figures of the users' grown
deployment; virtual time.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
from typing import final

import attrs

from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.routing import EngineLimits
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address

SEED = 20261204
MODEL = "m"


@attrs.frozen(kw_only=True)
class GrownLoad:
    """A grown deployment and its load; times in seconds.

    Attributes
    ----------
    report_age_s
        Age at which a report reaches the instances.
    read_tokens_per_s
        Prompt tokens that an engine reads in a second.
    """

    instances: int = 81
    engines: int = 70
    slots: int = 12
    places: int = 9
    adapters: int = 10_000
    zipf: float = 1.2
    rate: float = 230.0
    length_s: float = 15.0
    warm_s: float = 5.0
    report_s: float = 1.0
    report_age_s: float = 2.2
    read_tokens_per_s: float = 19_100.0
    step_s: float = 0.0095
    prompt_tokens: float = 1_000.0
    output_tokens: float = 150.0
    fetch_s: float = 0.25


@attrs.define(eq=False)
class _Engine:
    listed: ListedEndpoint
    running: int = 0
    read_until: float = 0.0
    waiting: collections.deque[_Request] = attrs.field(factory=collections.deque)
    used_at: dict[Adapter, float] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Request:
    at: float
    instance: int
    adapter: Adapter
    prompt: float
    output: float
    engine: str = ""
    ready_at: float = 0.0


@final
class StalePlacement:
    """One play of the load."""

    def __init__(self, load: GrownLoad, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._engines = {
            f"engine-{number}": _Engine(_listed(f"engine-{number}", load.slots))
            for number in range(load.engines)
        }
        self._listed = [engine.listed for engine in self._engines.values()]
        self._limits = EngineLimits(
            models={MODEL: 1.0},
            slots=load.slots,
            cache_tokens=60_662,
            adapter_slots=load.places,
            memory_mb=1.0,
            model_loads_per_s=1.0,
        )
        self._views = [
            EngineView(receives_all_peers=lambda: False) for _ in range(load.instances)
        ]
        self._placements = [
            Placement(
                view,
                EndpointHealth(),
                LoadTimes(
                    fetch_s=load.fetch_s, reload_s=0.025, max_full_speed_fetches=48
                ),
                instances=lambda: load.instances,
                generator=self._random,
            )
            for view in self._views
        ]
        self._events: list[tuple[float, int, str, object]] = []
        self._numbers = itertools.count()
        self._first_s: list[float] = []
        self.fetches = 0

    def play(self) -> list[float]:
        """Return the times to the first token in seconds, warming left out."""
        for request in self._arrivals():
            self._at(request.at, "arrives", request)
        for engine in self._engines.values():
            self._at(self._random.random() * self._load.report_s, "reports", engine)
        while self._events:
            now, _, kind, subject = heapq.heappop(self._events)
            if kind == "reports" and now > self._load.length_s:
                continue
            getattr(self, f"_{kind}")(subject, now)
        return sorted(self._first_s)

    def _arrivals(self) -> list[_Request]:
        load = self._load
        weights = [1.0 / (rank + 1) ** load.zipf for rank in range(load.adapters)]
        found = []
        now = 0.0
        while now < load.length_s:
            now += self._random.expovariate(load.rate)
            (index,) = self._random.choices(range(load.adapters), weights)
            found.append(
                _Request(
                    at=now,
                    instance=self._random.randrange(load.instances),
                    adapter=(f"{MODEL}/a{index}", 1),
                    prompt=load.prompt_tokens * self._random.lognormvariate(-0.3, 0.8),
                    output=load.output_tokens * self._random.lognormvariate(-0.3, 0.8),
                )
            )
        return found

    def _at(self, when: float, kind: str, subject: object) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), kind, subject))

    def _arrives(self, request: _Request, now: float) -> None:
        view = self._views[request.instance]
        choice = self._placements[request.instance].choose_engine(
            self._listed, self._limits, "", request.adapter, request.prompt, (), now
        )
        assert choice is not None
        request.engine = choice.engine.id
        engine = self._engines[request.engine]
        request.ready_at = now
        if request.adapter not in engine.used_at:
            self.fetches += 1
            request.ready_at = now + self._load.fetch_s
            view.expect_adapter(request.engine, request.adapter, request.ready_at)
            if len(engine.used_at) >= self._load.places:
                del engine.used_at[min(engine.used_at, key=engine.used_at.__getitem__)]
        engine.used_at[request.adapter] = request.ready_at
        view.record_request_start(request.engine, request.adapter, request.prompt)
        self._at(request.ready_at, "reaches", request)

    def _reaches(self, request: _Request, now: float) -> None:
        engine = self._engines[request.engine]
        if engine.running < self._load.slots:
            self._starts(request, now)
        else:
            engine.waiting.append(request)

    def _starts(self, request: _Request, now: float) -> None:
        engine = self._engines[request.engine]
        engine.running += 1
        read_s = request.prompt / self._load.read_tokens_per_s
        engine.read_until = max(engine.read_until, now) + read_s
        first_at = engine.read_until + self._load.step_s
        if request.at >= self._load.warm_s:
            self._first_s.append(first_at - request.at)
        self._views[request.instance].record_prefill_end(request.engine, request.prompt)
        self._at(first_at + request.output * self._load.step_s, "ends", request)

    def _ends(self, request: _Request, now: float) -> None:
        engine = self._engines[request.engine]
        engine.running -= 1
        self._views[request.instance].record_request_end(
            request.engine, request.adapter
        )
        if engine.waiting:
            self._starts(engine.waiting.popleft(), now)

    def _reports(self, engine: _Engine, now: float) -> None:
        news = EngineStateUpdate(
            engine=engine.listed.id,
            started=1,
            models=frozenset({MODEL}),
            adapters=frozenset(engine.used_at),
            running=engine.running,
            waiting=len(engine.waiting),
            cache_used=0,
            age_s=self._load.report_age_s,
        )
        self._at(now + self._load.report_age_s, "told", news)
        self._at(now + self._load.report_s, "reports", engine)

    def _told(self, news: EngineStateUpdate, now: float) -> None:
        for view in self._views:
            view.apply_coordinator_report("orderer", news, now)


def _listed(name: str, slots: int) -> ListedEndpoint:
    return ListedEndpoint(
        id=name,
        service="llm",
        address=Address("127.0.0.1", 1),
        data_centre="one",
        slots=slots,
        state=EndpointState.READY,
        started=1,
        models=(MODEL,),
    )


def main() -> None:
    """Print the table."""
    print("report age s | fetches | first token p50, p95, p99 ms")
    for age_s in (0.0, 1.0, 2.2, 4.0):
        play = StalePlacement(GrownLoad(report_age_s=age_s), SEED)
        first_s = play.play()
        at = [first_s[int(len(first_s) * part)] * 1000 for part in (0.5, 0.95, 0.99)]
        print(f"{age_s} | {play.fetches} | {at[0]:.0f}, {at[1]:.0f}, {at[2]:.0f}")


if __name__ == "__main__":
    main()
