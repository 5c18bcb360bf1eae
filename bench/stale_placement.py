"""Simulates placement by stale reports: many instances, each with little of the load.

Run ``python -m bench.stale_placement`` for the table of docs/BENCH.md. Every instance
chooses engines on its own, from reports that are seconds old and from its own requests,
which it sees at once. Engines run prefills one after the other, decode in steps of
constant time, and queue the requests for which they have no slot. The defaults are
those of the users' large deployment. The simulation runs in virtual time.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random

import attrs

from bench.simulated_endpoints import MODEL
from bench.simulated_endpoints import build_endpoint
from bench.simulated_endpoints import cumulative_zipf_weights
from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_search import EngineSearch
from chiveslip.gateway.engine_search import SearchedRequest
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.engine_view import OwnRequest
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.placement import Choice
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.services.health import EndpointHealth

SEED = 20261204


@attrs.frozen(kw_only=True)
class LargeDeployment:
    """A large deployment and its load; times in seconds.

    Attributes
    ----------
    slots
        Requests that an engine runs at a time.
    adapter_slots
        Adapters that an engine holds at a time.
    zipf
        Exponent of the Zipf distribution of the adapters' popularity.
    warmup_s
        Time at the start whose requests are left out of the results.
    report_interval_s
        Interval at which an engine makes a report.
    report_age_s
        Age of a report when it reaches the instances.
    prefill_tokens_per_s
        Prompt tokens that an engine prefills in a second.
    step_s
        Time of a decoding step.
    fetch_s
        Time to load an adapter.
    """

    instances: int = 81
    engines: int = 70
    slots: int = 12
    adapter_slots: int = 9
    adapters: int = 10_000
    zipf: float = 1.2
    requests_per_s: float = 230.0
    duration_s: float = 15.0
    warmup_s: float = 5.0
    report_interval_s: float = 1.0
    report_age_s: float = 2.2
    prefill_tokens_per_s: float = 19_100.0
    step_s: float = 0.0095
    prompt_tokens: float = 1_000.0
    output_tokens: float = 150.0
    fetch_s: float = 0.25


FEW_SLOTS = LargeDeployment()
# Prefill speed, not slots, limits the requests that these engines serve in time.
MANY_SLOTS = LargeDeployment(
    instances=91, engines=30, slots=64, adapter_slots=17, prompt_tokens=1_200.0
)


@attrs.define(eq=False)
class _SimulatedEngine:
    listed: ListedEndpoint
    running: int = 0
    prefill_ends_at: float = 0.0
    waiting: collections.deque[_Request] = attrs.field(factory=collections.deque)
    used_at: dict[Adapter, float] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Request:
    at: float
    instance: int
    adapter: Adapter
    prompt_tokens: float
    output_tokens: float
    engine: str = ""
    ready_at: float = 0.0
    own: OwnRequest | None = None


class StalePlacementSimulation:
    """One run of the load of a deployment."""

    def __init__(self, deployment: LargeDeployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._engines = {
            f"engine-{number}": _SimulatedEngine(
                build_endpoint(f"engine-{number}", deployment.slots)
            )
            for number in range(deployment.engines)
        }
        self._endpoints = [engine.listed for engine in self._engines.values()]
        self._limits = EngineCapacity(
            models={MODEL: 1.0},
            slots=deployment.slots,
            cache_tokens=60_662,
            adapter_slots=deployment.adapter_slots,
            memory_mb=1.0,
            model_loads_per_s=1.0,
        )
        self._views = [
            EngineView(receives_all_peers=lambda: False)
            for _ in range(deployment.instances)
        ]
        self._placements = [
            Placement(
                view,
                EndpointHealth(),
                LoadTimes(
                    fetch_s=deployment.fetch_s,
                    reload_s=0.025,
                    max_full_speed_fetches=48,
                ),
                failures=EngineFailures(),
                speeds=EngineSpeeds(),
                instance_count=lambda: deployment.instances,
                generator=self._random,
            )
            for view in self._views
        ]
        self._events: list[tuple[float, int, str, object]] = []
        self._numbers = itertools.count()
        self._first_token_s: list[float] = []
        self.fetches = 0

    def run(self) -> list[float]:
        """Return the sorted times to the first token in seconds, without warm-up."""
        for request in self._generate_requests():
            self._schedule(request.at, "arrival", request)
        for engine in self._engines.values():
            self._schedule(
                self._random.random() * self._deployment.report_interval_s,
                "report",
                engine,
            )
        self._process_events()
        return sorted(self._first_token_s)

    def _process_events(self) -> None:
        while self._events:
            now, _, kind, subject = heapq.heappop(self._events)
            if kind == "report" and now > self._deployment.duration_s:
                continue
            getattr(self, f"_handle_{kind}")(subject, now)

    def _generate_requests(self) -> list[_Request]:
        deployment = self._deployment
        weights = cumulative_zipf_weights(deployment.adapters, deployment.zipf)
        requests = []
        now = 0.0
        while now < deployment.duration_s:
            now += self._random.expovariate(deployment.requests_per_s)
            (index,) = self._random.choices(
                range(deployment.adapters), cum_weights=weights
            )
            requests.append(
                _Request(
                    at=now,
                    instance=self._random.randrange(deployment.instances),
                    adapter=(f"{MODEL}/a{index}", 1),
                    prompt_tokens=deployment.prompt_tokens
                    * self._random.lognormvariate(-0.3, 0.8),
                    output_tokens=deployment.output_tokens
                    * self._random.lognormvariate(-0.3, 0.8),
                )
            )
        return requests

    def _schedule(self, when: float, kind: str, subject: object) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), kind, subject))

    def _handle_arrival(self, request: _Request, now: float) -> None:
        view = self._views[request.instance]
        choice = self._choose_engine(request, now)
        request.engine = choice.engine.id
        engine = self._engines[request.engine]
        request.ready_at = now
        if request.adapter not in engine.used_at:
            self.fetches += 1
            request.ready_at = now + self._deployment.fetch_s
            view.expect_adapter(request.engine, request.adapter, request.ready_at)
            if len(engine.used_at) >= self._deployment.adapter_slots:
                del engine.used_at[min(engine.used_at, key=engine.used_at.__getitem__)]
        engine.used_at[request.adapter] = request.ready_at
        request.own = view.record_request_start(
            request.engine,
            request.adapter,
            request.prompt_tokens,
            now,
            choice.wait_s,
        )
        self._schedule(request.ready_at, "ready", request)

    def _choose_engine(self, request: _Request, now: float) -> Choice:
        view = self._views[request.instance]
        placement = self._placements[request.instance]
        placement.record_request(request.adapter, request.prompt_tokens, now)
        searched = SearchedRequest(
            model="",
            adapter=request.adapter,
            prompt_tokens=request.prompt_tokens,
            capacity=self._limits,
        )
        search = EngineSearch(placement, view, searched, ())
        while True:
            choice = search.choose(self._endpoints, now)
            assert choice is not None
            if not search.needs_report(choice, now):
                return choice
            report = _report_engine(self._engines[choice.engine.id])
            view.apply_engine_report(choice.engine.id, report, now)

    def _handle_ready(self, request: _Request, now: float) -> None:
        engine = self._engines[request.engine]
        if engine.running < self._deployment.slots:
            self._start_request(request, now)
        else:
            engine.waiting.append(request)

    def _start_request(self, request: _Request, now: float) -> None:
        engine = self._engines[request.engine]
        engine.running += 1
        prefill_s = request.prompt_tokens / self._deployment.prefill_tokens_per_s
        engine.prefill_ends_at = max(engine.prefill_ends_at, now) + prefill_s
        first_at = engine.prefill_ends_at + self._deployment.step_s
        if request.at >= self._deployment.warmup_s:
            self._first_token_s.append(first_at - request.at)
        assert request.own is not None
        request.own.has_first_event = True
        self._schedule(
            first_at + request.output_tokens * self._deployment.step_s, "end", request
        )

    def _handle_end(self, request: _Request, now: float) -> None:
        engine = self._engines[request.engine]
        engine.running -= 1
        assert request.own is not None
        self._views[request.instance].record_request_end(request.own)
        if engine.waiting:
            self._start_request(engine.waiting.popleft(), now)

    def _handle_report(self, engine: _SimulatedEngine, now: float) -> None:
        report = EngineStateUpdate(
            engine=engine.listed.id,
            started=1,
            models=frozenset({MODEL}),
            adapters=frozenset(engine.used_at),
            running=engine.running,
            waiting=len(engine.waiting),
            cache_used=0,
            age_s=self._deployment.report_age_s,
        )
        self._schedule(now + self._deployment.report_age_s, "delivery", report)
        self._schedule(now + self._deployment.report_interval_s, "report", engine)

    def _handle_delivery(self, report: EngineStateUpdate, now: float) -> None:
        for view in self._views:
            view.apply_coordinator_report("coordinator", report, now)


def _report_engine(engine: _SimulatedEngine) -> EngineReport:
    return EngineReport(
        started=1,
        accepted_orders=0,
        models=frozenset({MODEL}),
        adapters=frozenset(engine.used_at),
        loading_adapters=frozenset(),
        running=engine.running,
        waiting=len(engine.waiting),
        cache_used=0,
    )


def main() -> None:
    """Run the simulation for several report ages and print a table."""
    print("engines | slots | report age s | fetches | first token p50, p95, p99 ms")
    for deployment in (FEW_SLOTS, MANY_SLOTS):
        for age_s in (0.0, 1.0, 2.2, 4.0):
            simulation = StalePlacementSimulation(
                attrs.evolve(deployment, report_age_s=age_s), SEED
            )
            first_token_s = simulation.run()
            p50, p95, p99 = (
                first_token_s[int(len(first_token_s) * fraction)] * 1000
                for fraction in (0.5, 0.95, 0.99)
            )
            print(
                f"{deployment.engines} | {deployment.slots} | {age_s} "
                f"| {simulation.fetches} | {p50:.0f}, {p95:.0f}, {p99:.0f}"
            )


if __name__ == "__main__":
    main()
