"""Selects engines for requests and has missing adapters loaded there."""

from __future__ import annotations

import asyncio
import random
import statistics
from collections.abc import Callable
from typing import final

import attrs

from chiveslip.clock import Clock
from chiveslip.gateway.adapter_waits import SlotNeed
from chiveslip.gateway.call import Call
from chiveslip.gateway.call import EngineEstimate
from chiveslip.gateway.call import LoadWait
from chiveslip.gateway.call import PromptEstimate
from chiveslip.gateway.cold_endpoints import prefer_warm
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_coordinator import LoadOutcome
from chiveslip.gateway.engine_coordinator import LoadResult
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_reports import EngineReports
from chiveslip.gateway.engine_reports import ReadResult
from chiveslip.gateway.engine_search import EngineSearch
from chiveslip.gateway.engine_search import SearchedRequest
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.engine_view import OwnRequest
from chiveslip.gateway.event_pauses import EventPauses
from chiveslip.gateway.forwarding import Target
from chiveslip.gateway.forwarding import TargetSelector
from chiveslip.gateway.limit_requests import LimitRequests
from chiveslip.gateway.limit_waits import find_available_soon
from chiveslip.gateway.load_requests import LoadRequests
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.placement import Choice
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.prompt_parts import Prompt
from chiveslip.gateway.prompt_parts import describe_prompt
from chiveslip.gateway.routing import RoutingTable
from chiveslip.gateway.sending import Attempt
from chiveslip.gateway.sending import AttemptResult
from chiveslip.gateway.shortage import has_returned
from chiveslip.gateway.shortage import max_queue_s
from chiveslip.generated import result_codes
from chiveslip.results import Refusal

_DEFAULT_PROMPT_TOKENS = 500
# Engines that may be asked to load the adapter of one request before it is refused.
_MAX_LOAD_REQUESTS = 3
# The same in a large fleet, where news of free adapter slots is seconds old: with 3,
# requests are refused while a third of the engines have room.
_MAX_LOAD_REQUESTS_LARGE = 8
# Coordinators that may answer that they hold off, in addition.
_MAX_HELD_OFF = 16
# Engines with a limit for which no request may be granted, in addition.
_MAX_OVER_LIMIT = 4
# Engines that are too busy, in addition.
_MAX_BUSY = 6
# A request that waits for a hold-off looks again after this time whether another engine
# has got its adapter meanwhile, or may load it.
_MAX_HELD_WAIT_S = 0.25
_RETRY_AFTER_S = 0.3
# Longest time after which a caller is told to return when there is no adapter slot.
# Callers follow it up to a third of their remaining time, which is up to 15 s.
_MAX_SLOT_RETRY_S = 3.0
# Callers that are refused together are told times that differ by up to this share.
_RETRY_SPREAD = 0.5
_MIN_RETRY_AFTER_S = 0.1
# A request that its caller gave up after this time without an event counts as failed.
_MIN_UNANSWERED_S = 1.0
# An adapter that is not usable at the expected time is expected this much later.
_LATE_LOAD_S = 0.06


@attrs.define
class _PlacedRequest:
    adapter: Adapter | None
    prompt_tokens: float
    estimate_s: float
    waited_for_load: bool
    speed: float
    prompt: Prompt | None = None
    cached_tokens: float = 0.0
    own: OwnRequest | None = None


@attrs.define
class _FailedLoads:
    """Engines that cannot take a request, and why.

    Attributes
    ----------
    max_asked
        Engines for which a load may be requested.
    asked
        Engines for which a load was requested.
    held_off
        Answers of coordinators that they hold off.
    over_limit
        Engines that get as many requests as they take.
    without_room
        Engines without an adapter slot, with the time in seconds until one is likely
        to be free.
    has_waited
        Whether the request has waited for a slot.
    busy_s
        Times in seconds by which engines were too busy to answer in time.
    slot_s
        Times in seconds until engines are likely to have an adapter slot.
    """

    max_asked: int = _MAX_LOAD_REQUESTS
    asked: int = 0
    held_off: int = 0
    over_limit: int = 0
    min_load_s: float | None = None
    without_room: dict[str, tuple[float, Choice]] = attrs.field(factory=dict)
    has_waited: bool = False
    busy_s: list[float] = attrs.field(factory=list)
    slot_s: list[float] = attrs.field(factory=list)
    outcomes: list[str] = attrs.field(factory=list)

    @property
    def may_ask(self) -> bool:
        """Whether another engine may be tried."""
        return (
            self.asked < self.max_asked
            and self.held_off < _MAX_HELD_OFF
            and self.over_limit < _MAX_OVER_LIMIT
        )

    def record_over_limit(self, engine: str) -> None:
        """Record an engine that gets as many requests as its limit allows."""
        self.over_limit += 1
        self.outcomes.append(f"{engine} over limit")

    def record_busy(self, engine: str, late_s: float) -> None:
        """Record an engine that would answer too late by some seconds."""
        self.busy_s.append(late_s)
        self.outcomes.append(f"{engine} busy")

    def record_held_off(self, engine: str) -> None:
        """Record an engine whose coordinator may not order yet."""
        self.held_off += 1
        self.outcomes.append(f"{engine} {LoadOutcome.HELD_OFF.value}")

    def record_load(self, choice: Choice, load: LoadResult) -> None:
        """Record an engine that cannot have the adapter in time."""
        engine = choice.engine.id
        if load.outcome is LoadOutcome.NO_ROOM and load.ready_in_s > 0:
            self.without_room[engine] = (load.ready_in_s, choice)
            self.slot_s.append(load.ready_in_s)
        if load.outcome is not LoadOutcome.NOT_ASKED:
            self.asked += 1
        self.outcomes.append(f"{engine} {load.outcome.value}")
        if load.outcome is LoadOutcome.TOO_LATE:
            self.min_load_s = min(self.min_load_s or load.ready_in_s, load.ready_in_s)

    def take_engine_to_wait_for(self) -> Choice | None:
        """Return the engine that is likely to have a slot first; once, else None."""
        if self.has_waited or not self.without_room:
            return None
        self.has_waited = True
        return min(self.without_room.values(), key=lambda told: told[0])[1]

    def record_leaving(self, engine: str) -> None:
        """Record an engine that began to leave or disappeared during the search."""
        self.asked += 1
        self.outcomes.append(f"{engine} leaves")

    def build_refusal(self, *, is_any_excluded: bool, spread: float) -> Refusal:
        """Return the refusal for a search that found no engine.

        Parameters
        ----------
        spread
            Random number from 0 to 1, so that callers don't return together.
        """
        if self.min_load_s is not None:
            return _too_late(self.min_load_s)
        if self.busy_s and not self.without_room and not self.has_waited:
            # Callers that are refused together do not return together.
            return _too_late(min(self.busy_s) * (1 + spread) + spread)
        outcomes = ", ".join(self.outcomes) or "none is left"
        code = result_codes.LOAD_FAILED if is_any_excluded else result_codes.NO_ENDPOINT
        return Refusal(
            code=code,
            detail=f"No engine can take the request: {outcomes}.",
            retry_after_s=self._retry_after_s(spread),
        )

    def _retry_after_s(self, spread: float) -> float:
        """Return the time in seconds after which there is likely to be room."""
        if not self.slot_s:
            return _RETRY_AFTER_S
        wait_s = min(statistics.median(self.slot_s), _MAX_SLOT_RETRY_S)
        return max(wait_s, _RETRY_AFTER_S) * (1 + _RETRY_SPREAD * spread)


@final
class EngineTargetSelector(TargetSelector):
    """Selects engines by their adapters and their load.

    Parameters
    ----------
    places_prompts
        Whether the parts of prompts have an influence on routes with sessions.
    """

    def __init__(
        self,
        *,
        directory: EndpointDirectory,
        view: EngineView,
        placement: Placement,
        load_requests: LoadRequests,
        load_times: LoadTimes,
        reports: EngineReports,
        failures: EngineFailures,
        speeds: EngineSpeeds,
        limits: LimitRequests,
        newest_version: Callable[[str], int],
        clock: Clock,
        generator: random.Random,
        places_prompts: bool = True,
    ) -> None:
        self._random = generator
        self._directory = directory
        self._places_prompts = places_prompts
        self._limits = limits
        self._view = view
        self._placement = placement
        self._load_requests = load_requests
        self._load_times = load_times
        self._reports = reports
        self._failures = failures
        self._speeds = speeds
        self._newest_version = newest_version
        self._clock = clock
        self._placed: dict[Call, _PlacedRequest] = {}
        self._objectives_table: RoutingTable | None = None
        self._objectives_s: dict[str, float] = {}

    async def select_target(self, call: Call) -> Target | Refusal:
        """Return the engine that answers soonest, once its adapter is usable there.

        Requests the load of a missing adapter and waits for it.
        """
        request = self._describe_request(call)
        search = EngineSearch(
            self._placement, self._view, request, self._reset_exclusions(call)
        )
        failed_loads = _FailedLoads(
            max_asked=_MAX_LOAD_REQUESTS
            if self._view.receives_all_peers
            else _MAX_LOAD_REQUESTS_LARGE
        )
        if call.attempts == 0:
            self._placement.record_request(
                request.adapter,
                request.prompt_tokens,
                self._clock.now(),
                request.prompt,
            )
        while True:
            choice = await self._choose_next(
                call, search, failed_loads, request.adapter
            )
            if choice is None:
                break
            started_at = self._clock.now()
            left_s = call.first_event_deadline - started_at
            excess_s = max(
                choice.wait_s - left_s, self._find_excess_queue_s(call, request, choice)
            )
            if excess_s > 0:
                if not self._may_look_further(failed_loads):
                    return _too_late(excess_s)
                search.exclude(choice.engine.id)
                failed_loads.record_busy(choice.engine.id, excess_s)
                continue
            if not await self._limits.may_send(call, choice.engine):
                # The engine is not found again until another request is granted.
                failed_loads.record_over_limit(choice.engine.id)
                continue
            if not choice.is_present:
                held_s = self._view.loads_held_s(choice.engine.id, started_at)
                if held_s > 0:
                    await asyncio.sleep(min(held_s, _MAX_HELD_WAIT_S))
                    call.load_wait_s += self._clock.now() - started_at
                    continue
            known_load = self._view.known_load(choice.engine.id, started_at)
            need = self._describe_need(call, choice, failed_loads)
            load = await self._ensure_adapter(
                call, choice.engine.id, request.adapter, left_s, need
            )
            if load.outcome is LoadOutcome.HELD_OFF:
                search.reconsider(choice.engine.id)
                failed_loads.record_held_off(choice.engine.id)
                continue
            if load.outcome is not LoadOutcome.USABLE:
                search.exclude(choice.engine.id)
                failed_loads.record_load(choice, load)
                continue
            if load.ready_in_s > left_s:
                return _too_late(load.ready_in_s)
            estimate_s = max(choice.wait_s, load.ready_in_s)
            call.estimate_s = estimate_s
            if load.ready_in_s > 0:
                await asyncio.sleep(load.ready_in_s)
            call.load_wait_s += self._clock.now() - started_at
            if not self._directory.accepts_work(choice.engine, call.allowed_regions):
                # The engine began to leave or disappeared while the request waited.
                search.exclude(choice.engine.id)
                failed_loads.record_leaving(choice.engine.id)
                continue
            estimate = EngineEstimate(
                first_event_s=estimate_s,
                known_load=known_load,
                prompt=self._describe_parts(request, choice),
                speed=choice.speed,
            )
            return self._place(call, request, choice, load, estimate, started_at)
        refusal = failed_loads.build_refusal(
            is_any_excluded=bool(search.excluded), spread=self._random.random()
        )
        allowed = call.allowed_regions
        wait_s = self._directory.wait_s(call.service, allowed)
        if wait_s <= 0 or self._directory.find_available(call.service, allowed):
            return refusal
        return attrs.evolve(refusal, retry_after_s=max(wait_s, _MIN_RETRY_AFTER_S))

    def _find_excess_queue_s(
        self, call: Call, request: SearchedRequest, choice: Choice
    ) -> float:
        """Return by how many seconds an engine's queue is too long for a request.

        Repeats of this instance and requests that a peer handed over are not judged
        again, and routes whose prompts have no influence not at all.
        """
        is_judged = request.prompt is not None and not self._view.receives_all_peers
        if not is_judged or call.attempts or call.received_by:
            return 0.0
        bound_s = max_queue_s(
            self._find_objective_s(call),
            call.priority,
            is_return=has_returned(call.metadata.max_wait_s, call.route.timeout_s),
        )
        return choice.queue_s - bound_s

    def _find_objective_s(self, call: Call) -> float:
        """Return the shortest objective in seconds of the routes to a call's service.

        It is looked for once in each table, which may have thousands of routes.
        """
        if self._objectives_table is not call.table:
            self._objectives_table = call.table
            self._objectives_s.clear()
        objective_s = self._objectives_s.get(call.service)
        if objective_s is None:
            objective_s = call.table.find_shortest_target_s(call.service)
            self._objectives_s[call.service] = objective_s
        return objective_s

    def _may_look_further(self, failed_loads: _FailedLoads) -> bool:
        """Return whether another engine is tried if one is too busy.

        In a large fleet, the engines that were asked for reports may be busier than
        others, which the request does not know.
        """
        is_certain = self._view.receives_all_peers
        return not is_certain and len(failed_loads.busy_s) < _MAX_BUSY

    async def _choose_next(
        self,
        call: Call,
        search: EngineSearch,
        failed_loads: _FailedLoads,
        adapter: Adapter | None,
    ) -> Choice | None:
        """Return the engine to ask next, or None if there is none.

        If the engines that were asked have no adapter slot, the request waits for one
        at the engine that is likely to have one first.
        """
        if failed_loads.may_ask and not failed_loads.has_waited:
            choice = await self._choose_engine(call, search, adapter)
            if choice is not None:
                return choice
        waited_for = failed_loads.without_room
        choice = failed_loads.take_engine_to_wait_for()
        if choice is None or not self._directory.accepts_work(choice.engine):
            return None
        del waited_for[choice.engine.id]
        return choice

    def _describe_need(
        self, call: Call, choice: Choice, failed_loads: _FailedLoads
    ) -> SlotNeed:
        """Return what a load is for, and how long it can wait for a slot.

        A request waits only once all engines that it may ask have no slot.
        """
        objective_at = call.arrived_at + call.route.target_latency_s
        useful_s = objective_at - self._clock.now() - choice.wait_s
        return SlotNeed(
            priority=call.priority,
            organisation=call.organisation.name if call.organisation else "",
            tokens=call.units,
            max_wait_s=max(useful_s, 0.0) if failed_loads.has_waited else 0.0,
        )

    async def _choose_engine(
        self, call: Call, search: EngineSearch, adapter: Adapter | None
    ) -> Choice | None:
        """Return an engine that has answered recently, or None if there is none.

        A cold one is chosen if it alone holds the adapter, or if the warm ones cannot
        answer in time.
        """
        silent: list[tuple[ListedEndpoint, float]] = []
        while True:
            engines = await find_available_soon(self._directory, call, self._clock)
            usable = [e for e in engines if e.id not in search.excluded]
            warm = prefer_warm(
                usable,
                self._directory.is_cold,
                lambda engine: self._holds(engine, adapter),
            )
            choice = search.choose(warm, self._clock.now())
            left_s = call.first_event_deadline - self._clock.now()
            if len(warm) < len(usable) and (choice is None or choice.wait_s > left_s):
                choice = search.choose(usable, self._clock.now())
            if choice is None or not search.needs_report(choice, self._clock.now()):
                return choice
            asked_at = self._clock.now()
            result = await self._reports.read(choice.engine)
            if result is ReadResult.NO_ANSWER:
                search.record_no_answer(choice.engine.id)
                silent.append((choice.engine, asked_at))
            elif result is ReadResult.READ:
                # The path to this instance works, so the fault is at the others.
                while silent:
                    self._reports.record_unreachable(*silent.pop())

    def _holds(self, engine: ListedEndpoint, adapter: Adapter | None) -> bool:
        return adapter is None or self._view.ready_at(engine.id, adapter) is not None

    def _describe_request(self, call: Call) -> SearchedRequest:
        capacity = call.table.services[call.service].engine
        assert capacity is not None
        metadata = call.metadata
        adapter = self._requested_adapter(call)
        prompt = None
        if self._places_prompts and call.route.has_sessions:
            prompt = describe_prompt(metadata.model, adapter, metadata.prompt_parts)
        return SearchedRequest(
            model=metadata.model,
            adapter=adapter,
            prompt_tokens=float(metadata.prompt_tokens or _DEFAULT_PROMPT_TOKENS),
            capacity=capacity,
            prompt=prompt,
        )

    def _describe_parts(
        self, request: SearchedRequest, choice: Choice
    ) -> PromptEstimate | None:
        """Return what a chosen engine is expected to keep, for the log and metrics."""
        prompt = request.prompt
        if prompt is None:
            return None
        kept = sum(prefix.tokens <= choice.cached_tokens for prefix in prompt.prefixes)
        parts = self._placement.prompt_parts
        return PromptEstimate(
            tokens=request.prompt_tokens,
            cached_tokens=choice.cached_tokens,
            kept_parts=kept,
            missing_parts=len(prompt.prefixes) - kept,
            kept_age_s=parts.evidence_age_s(choice.engine, prompt, self._clock.now()),
        )

    def _place(
        self,
        call: Call,
        request: SearchedRequest,
        choice: Choice,
        load: LoadResult,
        estimate: EngineEstimate,
        chosen_at: float,
    ) -> Target:
        """Remember what was chosen for a request, and return its target."""
        adapter = request.adapter
        self._placed[call] = _PlacedRequest(
            adapter=adapter,
            prompt_tokens=request.prompt_tokens,
            estimate_s=choice.wait_s,
            waited_for_load=load.ready_in_s > 0,
            prompt=request.prompt,
            cached_tokens=min(choice.cached_tokens, request.prompt_tokens),
            speed=choice.speed,
        )
        version = adapter[1] if adapter is not None and adapter[1] else None
        return Target(
            endpoint=choice.engine,
            chosen_at=chosen_at,
            version=version,
            estimate=estimate,
        )

    def record_start(self, call: Call, target: Target) -> None:
        """Count the request and its prompt at the engine."""
        placed = self._placed[call]
        now = self._clock.now()
        placed.own = self._view.record_request_start(
            target.endpoint.id,
            placed.adapter,
            placed.prompt_tokens - placed.cached_tokens,
            now,
            placed.estimate_s,
        )
        if placed.prompt is not None:
            parts = self._placement.prompt_parts
            parts.record_sent(target.endpoint, placed.prompt, now)
        engine = target.endpoint
        call.attempt_times[-1].pauses = EventPauses(
            lambda pause_s, covered_s, now: self._speeds.record_pauses(
                engine,
                pause_s,
                self._view.count_requests(engine.id, now),
                covered_s,
                now,
            )
        )

    def record_first_event(self, call: Call, target: Target) -> None:
        """Record that the prefill has finished."""
        placed = self._placed[call]
        if placed.own is not None:
            placed.own.has_first_event = True
        if placed.waited_for_load:
            self._load_times.record_timely_load()
            return
        sent_at = call.attempt_times[-1].sent_at
        if sent_at is None:
            return
        now = self._clock.now()
        self._speeds.record_first_event(
            target.endpoint, now - sent_at, placed.estimate_s * placed.speed, now
        )

    def record_end(self, call: Call, target: Target, attempt: Attempt | None) -> None:
        """Stop counting the request, and update the view from its result."""
        placed = self._placed.pop(call)
        engine = target.endpoint.id
        pauses = call.attempt_times[-1].pauses
        if pauses is not None:
            pauses.record_end()
        if placed.own is not None:
            self._view.record_request_end(placed.own, self._clock.now())
            self._record_failure(target, placed.own, attempt)
            self._record_parts(target, placed)
        if placed.adapter is None:
            return
        result = None if attempt is None else attempt.result
        lacks_adapter = result is AttemptResult.LACKS_ADAPTER
        if lacks_adapter:
            # It may have restarted, or dropped the parts with the adapter.
            self._placement.prompt_parts.forget_engine(engine)
        if lacks_adapter and not placed.waited_for_load:
            self._view.record_missing_adapter(engine, placed.adapter, self._clock.now())
        elif placed.waited_for_load and (
            lacks_adapter or result is AttemptResult.NOT_RUN
        ):
            self._load_times.record_late_load()
            ready_at = self._clock.now() + _LATE_LOAD_S
            self._view.expect_adapter(engine, placed.adapter, ready_at)
            call.retryable_endpoint = engine

    def _record_parts(self, target: Target, placed: _PlacedRequest) -> None:
        """Record whether an engine prefilled the prompt that was sent to it."""
        if placed.prompt is None or placed.own is None:
            return
        self._placement.prompt_parts.record_end(
            target.endpoint,
            placed.prompt,
            self._clock.now(),
            has_run=placed.own.has_first_event,
        )

    def _record_failure(
        self, target: Target, own: OwnRequest, attempt: Attempt | None
    ) -> None:
        """Count a request that the engine took and did not begin to answer."""
        if own.has_first_event:
            return
        now = self._clock.now()
        if attempt is None:
            # A caller that disconnects soon says nothing about the engine.
            is_failure = now - own.sent_at >= _MIN_UNANSWERED_S
        else:
            was_sent = attempt.result is not AttemptResult.NOT_SENT
            is_failure = was_sent and attempt.is_failure
        if is_failure:
            self._failures.record_failure(target.endpoint, now)

    def _reset_exclusions(self, call: Call) -> set[str]:
        """Return the engines to exclude, and clear the one that may be asked again."""
        excluded = set(call.attempted_endpoints)
        # An engine whose adapter was only not ready yet may be asked again, once.
        excluded.discard(call.retryable_endpoint)
        call.retryable_endpoint = ""
        return excluded

    def _requested_adapter(self, call: Call) -> Adapter | None:
        if not call.adapter:
            return None
        return (call.adapter, self._newest_version(call.adapter))

    async def _ensure_adapter(
        self,
        call: Call,
        engine: str,
        adapter: Adapter | None,
        max_wait_s: float,
        need: SlotNeed,
    ) -> LoadResult:
        """Return when the adapter is usable at the engine; load it if it is absent."""
        if adapter is None:
            return LoadResult(outcome=LoadOutcome.USABLE)
        ready_at = self._view.ready_at(engine, adapter)
        if ready_at is None:
            wait = LoadWait(engine=engine, started_at=self._clock.now())
            call.load_waits.append(wait)
            load = await self._load_requests.request_adapter(
                engine, adapter, max_wait_s, need
            )
            wait.ended_at = self._clock.now()
            wait.outcome = load.outcome.value
            return load
        ready_in_s = max(ready_at - self._clock.now(), 0.0)
        return LoadResult(outcome=LoadOutcome.USABLE, ready_in_s=ready_in_s)


def _too_late(retry_after_s: float) -> Refusal:
    return Refusal(
        code=result_codes.QUEUE_FULL,
        detail="No engine can answer before the caller's maximum wait ends.",
        retry_after_s=max(retry_after_s, _RETRY_AFTER_S),
    )
