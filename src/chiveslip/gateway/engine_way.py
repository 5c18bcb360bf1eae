"""Engines: places requests where their adapter is, or has it fetched there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

import attrs

from chiveslip.clock import Clock
from chiveslip.gateway.call import Call
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.forwarding import Target
from chiveslip.gateway.forwarding import TargetSelector
from chiveslip.gateway.load_requests import LoadRequests
from chiveslip.gateway.loads import LoadTimes
from chiveslip.gateway.ordering import Loaded
from chiveslip.gateway.ordering import LoadOutcome
from chiveslip.gateway.placement import Choice
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.sending import AttemptResult
from chiveslip.generated import result_codes
from chiveslip.results import Refusal

_DEFAULT_PROMPT_TOKENS = 500
# Engines at which a request may ask for its adapter before it is refused.
_MOST_LOAD_REQUESTS = 3
_RETRY_AFTER_S = 0.3
# An adapter that was not there when it was due is expected this much later.
_LATE_LOAD_S = 0.06


@attrs.define
class _Placed:
    adapter: Adapter | None
    unread: float
    waited_for_load: bool


@attrs.define
class _Search:
    """What is known of one request while an engine is sought for it."""

    adapter: Adapter | None
    prompt: float
    excluded: set[str]
    soonest_s: float | None = None
    outcomes: list[str] = attrs.field(factory=list)

    def passes_over(self, engine: str, loaded: Loaded) -> None:
        """Note why an engine cannot have the adapter in time."""
        self.excluded.add(engine)
        self.outcomes.append(f"{engine} {loaded.outcome.value}")
        if loaded.outcome is LoadOutcome.TOO_LATE:
            self.soonest_s = min(self.soonest_s or loaded.after_s, loaded.after_s)

    def leaves(self, engine: str) -> None:
        """Note that an engine left meanwhile."""
        self.excluded.add(engine)
        self.outcomes.append(f"{engine} leaves")

    def refusal(self) -> Refusal:
        """Return the refusal when no engine is left to ask."""
        if self.soonest_s is not None:
            return _too_late(self.soonest_s)
        tried = ", ".join(self.outcomes) or "none is left"
        code = result_codes.LOAD_FAILED if self.excluded else result_codes.NO_ENDPOINT
        return Refusal(
            code=code,
            detail=f"No engine can take it: {tried}.",
            retry_after_s=_RETRY_AFTER_S,
        )


@final
class EngineWay(TargetSelector):
    """Chooses engines by their adapters and their load."""

    def __init__(
        self,
        *,
        directory: EndpointDirectory,
        view: EngineView,
        placement: Placement,
        load_requests: LoadRequests,
        load_times: LoadTimes,
        versions: Callable[[str], int],
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._view = view
        self._placement = placement
        self._load_requests = load_requests
        self._load_times = load_times
        self._versions = versions
        self._clock = clock
        self._placed: dict[Call, _Placed] = {}

    async def select_target(self, call: Call) -> Target | Refusal:
        """Return the engine that answers soonest, its adapter being there."""
        search = _Search(
            adapter=self._adapter(call),
            prompt=float(call.metadata.prompt_tokens or _DEFAULT_PROMPT_TOKENS),
            excluded=self._excluded(call),
        )
        for _ in range(_MOST_LOAD_REQUESTS):
            began = self._clock.now()
            choice = self._best(call, search, began)
            if choice is None:
                break
            left_s = call.first_event_deadline - began
            if choice.wait_s > left_s:
                return _too_late(choice.wait_s - left_s)
            loaded = await self._have_adapter(choice.engine.id, search.adapter, left_s)
            if loaded.outcome is not LoadOutcome.USABLE:
                search.passes_over(choice.engine.id, loaded)
                continue
            if loaded.after_s > left_s:
                return _too_late(loaded.after_s)
            call.estimate_s = max(choice.wait_s, loaded.after_s)
            if loaded.after_s > 0:
                await asyncio.sleep(loaded.after_s)
            call.load_wait_s += self._clock.now() - began
            if not self._directory.is_ready(choice.engine.id):
                # It began to leave, or was gone, while the request waited.
                search.leaves(choice.engine.id)
                continue
            return self._target(call, search, choice, loaded)
        return search.refusal()

    def _best(self, call: Call, search: _Search, now: float) -> Choice | None:
        limits = call.table.services[call.service].engine
        assert limits is not None
        return self._placement.choose(
            self._directory.ready(call.service),
            limits,
            call.metadata.model,
            search.adapter,
            search.prompt,
            search.excluded,
            now,
        )

    def _target(
        self, call: Call, search: _Search, choice: Choice, loaded: Loaded
    ) -> Target:
        adapter = search.adapter
        self._placed[call] = _Placed(adapter, search.prompt, loaded.after_s > 0)
        version = adapter[1] if adapter is not None and adapter[1] else None
        return Target(endpoint=choice.engine, version=version)

    def record_start(self, call: Call, target: Target) -> None:
        """Count the request and its prompt at the engine."""
        placed = self._placed[call]
        self._view.begins(target.endpoint.id, placed.adapter, placed.unread)

    def record_first_event(self, call: Call, target: Target) -> None:
        """Note that the prompt has been read."""
        placed = self._placed[call]
        self._view.has_read(target.endpoint.id, placed.unread)
        placed.unread = 0.0
        if placed.waited_for_load:
            self._load_times.came_in_time()

    def record_end(
        self, call: Call, target: Target, result: AttemptResult | None
    ) -> None:
        """Count the request no more, and learn from what the engine said."""
        placed = self._placed.pop(call)
        engine = target.endpoint.id
        self._view.has_read(engine, placed.unread)
        self._view.ends(engine, placed.adapter)
        if placed.adapter is None:
            return
        lacks = result is AttemptResult.LACKS_ADAPTER
        if lacks and not placed.waited_for_load:
            self._view.missing(engine, placed.adapter)
        elif placed.waited_for_load and (lacks or result is AttemptResult.NOT_RUN):
            self._load_times.came_late()
            again = self._clock.now() + _LATE_LOAD_S
            self._view.becomes_ready(engine, placed.adapter, again)
            call.retryable_endpoint = engine

    def _excluded(self, call: Call) -> set[str]:
        excluded = set(call.attempted_endpoints)
        # An engine that was only not ready yet may be asked again.
        excluded.discard(call.retryable_endpoint)
        call.retryable_endpoint = ""
        return excluded

    def _adapter(self, call: Call) -> Adapter | None:
        if not call.metadata.adapter:
            return None
        name = f"{call.metadata.model}/{call.metadata.adapter}"
        return (name, self._versions(name))

    async def _have_adapter(
        self, engine: str, adapter: Adapter | None, patience_s: float
    ) -> Loaded:
        """Return in how many seconds the adapter is at the engine, if it can be."""
        if adapter is None:
            return Loaded(outcome=LoadOutcome.USABLE)
        ready_at = self._view.ready_at(engine, adapter)
        if ready_at is None:
            return await self._load_requests.ask(engine, adapter, patience_s)
        after_s = max(ready_at - self._clock.now(), 0.0)
        return Loaded(outcome=LoadOutcome.USABLE, after_s=after_s)


def _too_late(after_s: float) -> Refusal:
    return Refusal(
        code=result_codes.QUEUE_FULL,
        detail="No engine can answer while the caller waits.",
        retry_after_s=max(after_s, _RETRY_AFTER_S),
    )
