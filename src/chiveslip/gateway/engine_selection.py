"""Selects engines for requests and has missing adapters loaded there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

import attrs

from chiveslip.clock import Clock
from chiveslip.gateway.call import Call
from chiveslip.gateway.call import EngineEstimate
from chiveslip.gateway.call import LoadWait
from chiveslip.gateway.call import PromptEstimate
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_coordinator import LoadOutcome
from chiveslip.gateway.engine_coordinator import LoadResult
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_reports import EngineReports
from chiveslip.gateway.engine_reports import ReadResult
from chiveslip.gateway.engine_search import EngineSearch
from chiveslip.gateway.engine_search import SearchedRequest
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.engine_view import OwnRequest
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
from chiveslip.gateway.sending import Attempt
from chiveslip.gateway.sending import AttemptResult
from chiveslip.generated import result_codes
from chiveslip.results import Refusal

_DEFAULT_PROMPT_TOKENS = 500
# Engines that may be asked to load the adapter of one request before it is refused.
_MAX_LOAD_REQUESTS = 3
# Coordinators that may answer that they hold off, in addition.
_MAX_HELD_OFF = 16
# Engines with a limit for which no request may be granted, in addition.
_MAX_OVER_LIMIT = 4
# A request that waits for a hold-off looks again after this time whether another engine
# has got its adapter meanwhile, or may load it.
_MAX_HELD_WAIT_S = 0.25
_RETRY_AFTER_S = 0.3
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
    prompt: Prompt | None = None
    cached_tokens: float = 0.0
    own: OwnRequest | None = None


@attrs.define
class _FailedLoads:
    """Engines that cannot take a request, and why.

    Attributes
    ----------
    asked
        Engines for which a load was requested.
    held_off
        Answers of coordinators that they hold off.
    over_limit
        Engines that get as many requests as they take.
    """

    asked: int = 0
    held_off: int = 0
    over_limit: int = 0
    min_load_s: float | None = None
    outcomes: list[str] = attrs.field(factory=list)

    @property
    def may_ask(self) -> bool:
        """Whether another engine may be tried."""
        return (
            self.asked < _MAX_LOAD_REQUESTS
            and self.held_off < _MAX_HELD_OFF
            and self.over_limit < _MAX_OVER_LIMIT
        )

    def record_over_limit(self, engine: str) -> None:
        """Record an engine that gets as many requests as its limit allows."""
        self.over_limit += 1
        self.outcomes.append(f"{engine} over limit")

    def record_held_off(self, engine: str) -> None:
        """Record an engine whose coordinator may not order yet."""
        self.held_off += 1
        self.outcomes.append(f"{engine} {LoadOutcome.HELD_OFF.value}")

    def record_load(self, engine: str, load: LoadResult) -> None:
        """Record an engine that cannot have the adapter in time."""
        if load.outcome is not LoadOutcome.NOT_ASKED:
            self.asked += 1
        self.outcomes.append(f"{engine} {load.outcome.value}")
        if load.outcome is LoadOutcome.TOO_LATE:
            self.min_load_s = min(self.min_load_s or load.ready_in_s, load.ready_in_s)

    def record_leaving(self, engine: str) -> None:
        """Record an engine that began to leave or disappeared during the search."""
        self.asked += 1
        self.outcomes.append(f"{engine} leaves")

    def build_refusal(self, *, is_any_excluded: bool) -> Refusal:
        """Return the refusal for a search that found no engine."""
        if self.min_load_s is not None:
            return _too_late(self.min_load_s)
        outcomes = ", ".join(self.outcomes) or "none is left"
        code = result_codes.LOAD_FAILED if is_any_excluded else result_codes.NO_ENDPOINT
        return Refusal(
            code=code,
            detail=f"No engine can take the request: {outcomes}.",
            retry_after_s=_RETRY_AFTER_S,
        )


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
        limits: LimitRequests,
        newest_version: Callable[[str], int],
        clock: Clock,
        places_prompts: bool = True,
    ) -> None:
        self._directory = directory
        self._places_prompts = places_prompts
        self._limits = limits
        self._view = view
        self._placement = placement
        self._load_requests = load_requests
        self._load_times = load_times
        self._reports = reports
        self._failures = failures
        self._newest_version = newest_version
        self._clock = clock
        self._placed: dict[Call, _PlacedRequest] = {}

    async def select_target(self, call: Call) -> Target | Refusal:
        """Return the engine that answers soonest, once its adapter is usable there.

        Requests the load of a missing adapter and waits for it.
        """
        request = self._describe_request(call)
        search = EngineSearch(
            self._placement, self._view, request, self._reset_exclusions(call)
        )
        failed_loads = _FailedLoads()
        if call.attempts == 0:
            self._placement.record_request(
                request.adapter,
                request.prompt_tokens,
                self._clock.now(),
                request.prompt,
            )
        while failed_loads.may_ask:
            choice = await self._choose_engine(call, search)
            if choice is None:
                break
            started_at = self._clock.now()
            left_s = call.first_event_deadline - started_at
            if choice.wait_s > left_s:
                return _too_late(choice.wait_s - left_s)
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
            load = await self._ensure_adapter(
                call, choice.engine.id, request.adapter, left_s
            )
            if load.outcome is LoadOutcome.HELD_OFF:
                search.reconsider(choice.engine.id)
                failed_loads.record_held_off(choice.engine.id)
                continue
            if load.outcome is not LoadOutcome.USABLE:
                search.exclude(choice.engine.id)
                failed_loads.record_load(choice.engine.id, load)
                continue
            if load.ready_in_s > left_s:
                return _too_late(load.ready_in_s)
            estimate_s = max(choice.wait_s, load.ready_in_s)
            call.estimate_s = estimate_s
            if load.ready_in_s > 0:
                await asyncio.sleep(load.ready_in_s)
            call.load_wait_s += self._clock.now() - started_at
            if not self._directory.accepts_work(choice.engine):
                # The engine began to leave or disappeared while the request waited.
                search.exclude(choice.engine.id)
                failed_loads.record_leaving(choice.engine.id)
                continue
            estimate = EngineEstimate(
                first_event_s=estimate_s,
                known_load=known_load,
                prompt=self._describe_parts(request, choice),
            )
            return self._place(call, request, choice, load, estimate, started_at)
        refusal = failed_loads.build_refusal(is_any_excluded=bool(search.excluded))
        wait_s = self._directory.wait_s(call.service)
        if wait_s <= 0 or self._directory.find_available(call.service):
            return refusal
        return attrs.evolve(refusal, retry_after_s=max(wait_s, _MIN_RETRY_AFTER_S))

    async def _choose_engine(self, call: Call, search: EngineSearch) -> Choice | None:
        """Return an engine that has answered recently, or None if there is none."""
        silent: list[tuple[ListedEndpoint, float]] = []
        while True:
            engines = await find_available_soon(self._directory, call, self._clock)
            choice = search.choose(engines, self._clock.now())
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

    def record_first_event(self, call: Call, target: Target) -> None:
        """Record that the prefill has finished."""
        placed = self._placed[call]
        if placed.own is not None:
            placed.own.has_first_event = True
        if placed.waited_for_load:
            self._load_times.record_timely_load()

    def record_end(self, call: Call, target: Target, attempt: Attempt | None) -> None:
        """Stop counting the request, and update the view from its result."""
        placed = self._placed.pop(call)
        engine = target.endpoint.id
        if placed.own is not None:
            self._view.record_request_end(placed.own)
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
        self, call: Call, engine: str, adapter: Adapter | None, max_wait_s: float
    ) -> LoadResult:
        """Return when the adapter is usable at the engine; load it if it is absent."""
        if adapter is None:
            return LoadResult(outcome=LoadOutcome.USABLE)
        ready_at = self._view.ready_at(engine, adapter)
        if ready_at is None:
            wait = LoadWait(engine=engine, started_at=self._clock.now())
            call.load_waits.append(wait)
            load = await self._load_requests.request_adapter(
                engine, adapter, max_wait_s
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
