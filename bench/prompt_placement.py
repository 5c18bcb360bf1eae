"""Simulates placement of long and short prompts whose parts engines keep.

Run ``python -m bench.prompt_placement`` for tables (docs/design/prompt-lengths.md).
It extends the simulation of placement by stale reports: engines prefill in chunks
between the tokens that they decode, keep parts of prompts, and differ in speed. The
same requests are placed by the product, with and without prompts, by least requests,
and by an omniscient chooser, which knows the queue and the kept parts of each engine.
"""

from __future__ import annotations

import enum
import math
import random
from typing import final

import attrs

from bench.batched_engine import BatchedEngine
from bench.batched_engine import BatchedRequest
from bench.batched_engine import Batching
from bench.batched_engine import LoadSnapshot
from bench.simulated_endpoints import MODEL
from bench.simulated_endpoints import build_endpoint
from bench.simulated_endpoints import cumulative_zipf_weights
from bench.stale_placement import LargeDeployment
from bench.stale_placement import StalePlacementSimulation
from chiveslip import hashing
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_search import EngineSearch
from chiveslip.gateway.engine_search import SearchedRequest
from chiveslip.gateway.engine_view import OwnRequest
from chiveslip.gateway.placement import Choice
from chiveslip.gateway.prompt_parts import PromptPart
from chiveslip.gateway.prompt_parts import describe_prompt

SEED = 20261206
_SNAPSHOT_INTERVAL_S = 0.05
# Weight of the delay of each request at an engine in the omniscient chooser's cost.
_HARM_WEIGHT = 0.2
# What speaks against a load of the adapter at another engine than the first in its
# order, and at one whose adapter slots are all in use.
_RANK_COST_S = 0.08
_NO_SLOT_COST_S = 3.0


class Policy(enum.Enum):
    """Who chooses the engines."""

    PROMPTS = "prompts"
    BEFORE = "before"
    LEAST_REQUESTS = "least requests"
    OMNISCIENT = "omniscient"


@attrs.frozen(kw_only=True)
class PromptKind:
    """Requests of one kind; lengths in tokens, times in seconds.

    Attributes
    ----------
    share
        Weight among the kinds.
    shared
        Mean lengths of the shared parts, each with the number of its variants.
    """

    name: str
    share: float
    objective_s: float
    priority: int
    shared: tuple[tuple[float, int], ...]
    own_tokens: float
    output_tokens: float


KINDS = (
    PromptKind(
        name="long",
        share=122.9,
        objective_s=0.808,
        priority=0,
        shared=((210.0, 3), (140.0, 89)),
        own_tokens=1_110.0,
        output_tokens=172.0,
    ),
    PromptKind(
        name="short",
        share=65.2,
        objective_s=0.806,
        priority=1,
        shared=((93.0, 3), (62.0, 36)),
        own_tokens=491.0,
        output_tokens=70.0,
    ),
)
_MAX_OWN_FACTOR = 3.5
_MAX_OUTPUT_TOKENS = 600.0


_LABEL_CLOUD = LargeDeployment(
    instances=81,
    engines=45,
    slots=16,
    adapter_slots=10,
    duration_s=14.0,
    warmup_s=4.0,
    report_interval_s=1.0,
    report_age_s=0.5,
    fetch_s=0.288,
)
_BATCHING = Batching()


@attrs.frozen(kw_only=True)
class PromptDeployment:
    """A deployment and its load.

    Attributes
    ----------
    load
        Requests as a share of those that the engines can sustain.
    speeds
        Speeds of the engines, in turn.
    belief_age_s
        Age in seconds of what a report tells when it is read.
    restart_at
        Time in seconds at which a tenth of the engines loses what it keeps, or None.
    """

    base: LargeDeployment = _LABEL_CLOUD
    kinds: tuple[PromptKind, ...] = KINDS
    batching: Batching = _BATCHING
    load: float = 0.9
    speeds: tuple[float, ...] = (1.0,)
    belief_age_s: float = 0.5
    session_share: float = 0.25
    restart_at: float | None = None

    @property
    def requests_per_s(self) -> float:
        """Requests per second that the load stands for.

        The engines are full when their slots are, which prefills between the steps
        keep longer: x = slots / (output x step + slots x prefill).
        """
        total = sum(kind.share for kind in self.kinds)
        output = sum(k.share * k.output_tokens for k in self.kinds) / total
        own = sum(k.share * k.own_tokens for k in self.kinds) / total
        batching = self.batching
        step_s = batching.step_s + batching.step_per_request_s * batching.slots
        prefill_s = own / batching.prefill_tokens_per_s
        room = batching.slots / (output * step_s + batching.slots * prefill_s)
        speed = sum(self.speeds) / len(self.speeds)
        return self.load * room * speed * self.base.engines


LABEL_CLOUD = PromptDeployment()
FRANCHISE_MINUTES = PromptDeployment(
    base=attrs.evolve(
        _LABEL_CLOUD,
        instances=59,
        engines=30,
        slots=48,
        adapter_slots=17,
        fetch_s=0.25,
    ),
    batching=Batching(
        slots=48,
        memory_tokens=113_088,
        prefill_tokens_per_s=19_200.0,
        step_s=0.009_47,
    ),
    speeds=(0.6, 1.0, 1.6),
)


@final
class PromptPlacementSimulation(StalePlacementSimulation):
    """One run of the load of a deployment under one policy."""

    def __init__(self, deployment: PromptDeployment, policy: Policy, seed: int) -> None:
        super().__init__(deployment.base, seed)
        self._prompts = deployment
        self._policy = policy
        speeds = deployment.speeds
        self._batched = {
            name: BatchedEngine(
                build_endpoint(name, deployment.batching.slots),
                deployment.batching,
                speeds[number % len(speeds)],
            )
            for number, name in enumerate(self._engines)
        }
        # Draws for the requests are the same under all policies.
        self._draws = random.Random(seed)
        self._own: dict[int, OwnRequest] = {}
        self.done: list[BatchedRequest] = []
        self.estimates: list[tuple[float, BatchedRequest]] = []
        self.still_open: list[BatchedRequest] = []

    def simulate(self) -> list[BatchedRequest]:
        """Return the requests after the warm-up that got their first event."""
        requests = self._generate_prompts()
        for request in requests:
            self._schedule(request.at, "prompt", request)
        for engine in self._batched.values():
            at = self._draws.random() * self._deployment.report_interval_s
            self._schedule(at, "told", engine)
            self._schedule(0.0, "snapshot", engine)
        if self._prompts.restart_at is not None:
            for number, engine in enumerate(self._batched.values()):
                if number % 10 == 0:
                    self._schedule(self._prompts.restart_at, "restart", engine)
        self._process_events()
        warmup_s = self._deployment.warmup_s
        return [request for request in requests if request.at >= warmup_s]

    def _generate_prompts(self) -> list[BatchedRequest]:
        deployment = self._deployment
        draws = self._draws
        weights = cumulative_zipf_weights(deployment.adapters, deployment.zipf)
        kinds = self._prompts.kinds
        sizes: dict[str, int] = {}
        sessions: list[tuple[int, PromptKind, list[PromptPart]]] = []
        requests = []
        now = 0.0
        while now < deployment.duration_s:
            now += draws.expovariate(self._prompts.requests_per_s)
            if sessions and draws.random() < self._prompts.session_share:
                index, kind, parts = draws.choice(sessions[-200:])
            else:
                (index,) = draws.choices(
                    range(deployment.adapters), cum_weights=weights
                )
                (kind,) = draws.choices(kinds, [kind.share for kind in kinds])
                parts = self._draw_parts(kind, sizes, len(requests))
                sessions.append((index, kind, parts))
            output = min(
                kind.output_tokens * draws.lognormvariate(-0.4, 0.89),
                _MAX_OUTPUT_TOKENS,
            )
            adapter = (f"{MODEL}/a{index}", 1)
            requests.append(
                BatchedRequest(
                    kind=kind.name,
                    at=now,
                    instance=draws.randrange(deployment.instances),
                    adapter=adapter,
                    prompt=describe_prompt(MODEL, adapter, parts),
                    prompt_tokens=float(sum(part.tokens for part in parts)),
                    output_tokens=max(int(output), 1),
                    priority=kind.priority,
                )
            )
        return requests

    def _draw_parts(
        self, kind: PromptKind, sizes: dict[str, int], number: int
    ) -> list[PromptPart]:
        draws = self._draws
        parts = []
        for place, (mean, variants) in enumerate(kind.shared):
            name = f"{kind.name}-{place}-{draws.randrange(variants)}"
            if name not in sizes:
                sizes[name] = max(int(mean * draws.lognormvariate(-0.08, 0.4)), 1)
            parts.append(PromptPart(name, sizes[name]))
        own = kind.own_tokens * min(draws.lognormvariate(-0.5, 1.0), _MAX_OWN_FACTOR)
        return [*parts, PromptPart(f"own-{number}", max(int(own), 1))]

    def _handle_prompt(self, request: BatchedRequest, now: float) -> None:
        if self._policy is Policy.OMNISCIENT:
            engine = self._choose_best(request, now)
            cached_tokens = wait_s = 0.0
        elif self._policy is Policy.LEAST_REQUESTS:
            engine = self._choose_least(request, now)
            cached_tokens = wait_s = 0.0
        else:
            choice = self._choose_for_prompt(request, now)
            engine = self._batched[choice.engine.id]
            cached_tokens = min(choice.cached_tokens, request.prompt_tokens)
            wait_s = choice.wait_s
        request.best_kept_tokens = min(
            max(e.kept_tokens(request.prompt) for e in self._batched.values()),
            request.prompt.shared_tokens,
        )
        engine.coming.add(request)
        view = self._views[request.instance]
        request.engine = engine.listed.id
        ready_at = engine.used_at.get(request.adapter)
        if ready_at is None:
            self.fetches += 1
            ready_at = now + self._deployment.fetch_s
            view.expect_adapter(request.engine, request.adapter, ready_at)
            self._make_adapter_slot(engine)
        engine.used_at[request.adapter] = max(ready_at, now)
        self._own[id(request)] = view.record_request_start(
            request.engine,
            request.adapter,
            request.prompt_tokens - cached_tokens,
            now,
            wait_s,
        )
        if self._policy is Policy.PROMPTS:
            self._placements[request.instance].prompt_parts.record_sent(
                engine.listed, request.prompt, now
            )
        self._schedule(max(ready_at, now), "offer", request)

    def _make_adapter_slot(self, engine: BatchedEngine) -> None:
        if len(engine.used_at) < self._deployment.adapter_slots:
            return
        in_use = {request.adapter for request in engine.requests}
        idle = [adapter for adapter in engine.used_at if adapter not in in_use]
        candidates = idle or list(engine.used_at)
        del engine.used_at[min(candidates, key=engine.used_at.__getitem__)]

    def _choose_for_prompt(self, request: BatchedRequest, now: float) -> Choice:
        view = self._views[request.instance]
        placement = self._placements[request.instance]
        prompt = request.prompt if self._policy is Policy.PROMPTS else None
        placement.record_request(request.adapter, request.prompt_tokens, now, prompt)
        searched = SearchedRequest(
            model="",
            adapter=request.adapter,
            prompt_tokens=request.prompt_tokens,
            capacity=self._limits,
            prompt=prompt,
        )
        search = EngineSearch(placement, view, searched, ())
        while True:
            choice = search.choose(self._endpoints, now)
            assert choice is not None
            if not search.needs_report(choice, now):
                return choice
            self._read_report(self._batched[choice.engine.id], request.instance, now)

    def _choose_least(self, request: BatchedRequest, now: float) -> BatchedEngine:
        """Return the engine with the least requests by beliefs, its adapter first."""
        view = self._views[request.instance]

        def key(engine: BatchedEngine) -> tuple[float, float]:
            name = engine.listed.id
            count = view.count_requests(name, now)
            lacks = view.ready_at(name, request.adapter) is None
            return count + (4.0 if lacks else 0.0), self._random.random()

        return min(self._batched.values(), key=key)

    def _choose_best(self, request: BatchedRequest, now: float) -> BatchedEngine:
        """Return the engine that is best by what is true of all engines."""
        names = hashing.rank(request.adapter[0], self._batched)
        rank_cost_s = {name: _RANK_COST_S * rank for rank, name in enumerate(names)}

        def cost_s(engine: BatchedEngine) -> float:
            cost_s = self._true_cost_s(engine, request, now)
            if request.adapter in engine.used_at:
                return cost_s
            in_use = {other.adapter for other in engine.requests}
            if len(in_use) >= self._deployment.adapter_slots:
                cost_s += _NO_SLOT_COST_S
            return cost_s + rank_cost_s[engine.listed.id]

        return min(self._batched.values(), key=cost_s)

    def _true_cost_s(
        self, engine: BatchedEngine, request: BatchedRequest, now: float
    ) -> float:
        batching = engine.batching
        speed = batching.prefill_tokens_per_s * engine.speed
        pending = engine.pending_tokens()
        uncached = request.prompt_tokens - engine.kept_tokens(request.prompt)
        count = len(engine.requests)
        step_s = (batching.step_s + batching.step_per_request_s * count) / engine.speed
        excess = count + 1 - batching.slots
        slot_wait_s = max(excess, 0) * 100 * step_s / batching.slots
        ready_at = engine.used_at.get(request.adapter)
        load_s = self._deployment.fetch_s
        if ready_at is not None:
            load_s = max(ready_at - now, 0.0)
        wait_s = max((pending + uncached) / speed + slot_wait_s, load_s) + step_s
        return wait_s + load_s / 2 + count * uncached / speed * _HARM_WEIGHT

    def _handle_offer(self, request: BatchedRequest, now: float) -> None:
        engine = self._batched[request.engine]
        engine.offer(request)
        if not engine.is_stepping:
            engine.is_stepping = True
            self._begin_step(engine, now)

    def _begin_step(self, engine: BatchedEngine, now: float) -> None:
        step_s = engine.begin_step()
        if step_s is None:
            engine.is_stepping = False
            return
        self._schedule(now + step_s, "step_end", engine)

    def _handle_step_end(self, engine: BatchedEngine, now: float) -> None:
        ended = engine.end_step(now)
        for request in engine.requests:
            if request.first_at == now:
                self._own[id(request)].has_first_event = True
        for request in ended:
            own = self._own.pop(id(request))
            own.has_first_event = True
            self._views[request.instance].record_request_end(own)
            if self._policy is Policy.PROMPTS:
                self._placements[request.instance].prompt_parts.record_end(
                    engine.listed, request.prompt, now, has_run=True
                )
        self._begin_step(engine, now)

    def _handle_restart(self, engine: BatchedEngine, now: float) -> None:
        engine.restart()
        self._endpoints = [engine.listed for engine in self._batched.values()]

    def _handle_snapshot(self, engine: BatchedEngine, now: float) -> None:
        snapshot = LoadSnapshot(now, engine.running, engine.waiting)
        engine.snapshots.append(snapshot)
        if now < self._deployment.duration_s:
            self._schedule(now + _SNAPSHOT_INTERVAL_S, "snapshot", engine)

    def _handle_told(self, engine: BatchedEngine, now: float) -> None:
        for instance in range(self._deployment.instances):
            self._read_report(engine, instance, now)
        if now < self._deployment.duration_s:
            self._schedule(now + self._deployment.report_interval_s, "told", engine)

    def _read_report(self, engine: BatchedEngine, instance: int, now: float) -> None:
        """Apply a report that shows the load of a moment ago."""
        shown_at = now - self._prompts.belief_age_s
        shown = next(
            (s for s in reversed(engine.snapshots) if s.at <= shown_at),
            LoadSnapshot(now, 0, 0),
        )
        view = self._views[instance]
        report = EngineReport(
            started=engine.listed.started,
            accepted_orders=0,
            models=frozenset({MODEL}),
            adapters=frozenset(engine.used_at),
            loading_adapters=frozenset(),
            running=shown.running,
            waiting=shown.waiting,
            cache_used=0,
        )
        view.apply_engine_report(engine.listed.id, report, now)
        view.update_engine(
            engine.listed.id, report.started, report.models, report.adapters, now
        )


@attrs.frozen(kw_only=True)
class PromptResult:
    """Results of one run.

    Attributes
    ----------
    again_share
        Share of the tokens of shared parts that were prefilled again though another
        engine kept them.
    prefilled
        Prompt tokens prefilled per request.
    """

    mean_s: dict[str, float]
    p99_s: float
    in_time: dict[str, float]
    tenth_in_time: dict[str, float]
    again_share: float
    prefilled: float
    fetches: int


def run(deployment: PromptDeployment, policy: Policy, seed: int) -> PromptResult:
    """Simulate a deployment and return its results."""
    simulation = PromptPlacementSimulation(deployment, policy, seed)
    requests = simulation.simulate()
    first_s = {id(r): (r.first_at or math.inf) - r.at for r in requests}
    objectives = {kind.name: kind.objective_s for kind in deployment.kinds}
    mean_s, in_time, tenth = {}, {}, {}
    for name, objective_s in objectives.items():
        of_kind = [r for r in requests if r.kind == name]
        mean_s[name] = sum(first_s[id(r)] for r in of_kind) / len(of_kind)
        is_timely = [first_s[id(r)] <= objective_s for r in of_kind]
        in_time[name] = sum(is_timely) / len(of_kind)
        largest = sorted(of_kind, key=lambda r: r.prompt_tokens)[-len(of_kind) // 10 :]
        timely = sum(first_s[id(r)] <= objective_s for r in largest)
        tenth[name] = timely / len(largest)
    times = sorted(first_s.values())
    shared = sum(r.prompt.shared_tokens for r in requests)
    return PromptResult(
        mean_s=mean_s,
        p99_s=times[int(len(times) * 0.99)],
        in_time=in_time,
        tenth_in_time=tenth,
        again_share=sum(r.shared_again_tokens for r in requests) / shared,
        prefilled=sum(r.uncached_tokens for r in requests) / len(requests),
        fetches=simulation.fetches,
    )


def main() -> None:
    """Print the tables of the design note."""
    print(
        "load | policy | long, short: mean first event ms | in time | largest tenth"
        " | p99 s | shared again | prefilled | fetches"
    )
    for load in (0.6, 0.9, 1.2):
        for policy in Policy:
            result = run(PromptDeployment(load=load), policy, SEED)
            print(f"{load} | {policy.value} | {describe(result)}", flush=True)


def describe(result: PromptResult) -> str:
    """Return a row of the tables."""
    mean = ", ".join(f"{value * 1000:.0f}" for value in result.mean_s.values())
    timely = ", ".join(f"{value:.3f}" for value in result.in_time.values())
    tenth = ", ".join(f"{value:.3f}" for value in result.tenth_in_time.values())
    return (
        f"{mean} | {timely} | {tenth} | {result.p99_s:.2f} | {result.again_share:.3f}"
        f" | {result.prefilled:.0f} | {result.fetches}"
    )


if __name__ == "__main__":
    main()
