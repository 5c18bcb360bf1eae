"""Chooses the engine for a request.

Thousands of adapters with skewed demand share engines that have few adapter slots.
Every instance ranks the engines for an adapter in the same way (rendezvous hashing):
a rare adapter is fetched only once, and a popular one spreads over more engines only
as far as its queue justifies the additional fetches.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from collections.abc import Collection
from typing import final

import attrs

from chiveslip import hashing
from chiveslip.gateway.demand import AdapterDemand
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_speeds import PREFILL_TOKENS_PER_S
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.prompt_lengths import EngineState
from chiveslip.gateway.prompt_lengths import delay_of_others_s
from chiveslip.gateway.prompt_lengths import displacement_cost_s
from chiveslip.gateway.prompt_lengths import first_event_s
from chiveslip.gateway.prompt_lengths import weighted_first_event_s
from chiveslip.gateway.prompt_parts import Prompt
from chiveslip.gateway.prompt_parts import PromptParts
from chiveslip.gateway.prompt_parts import order_engines
from chiveslip.gateway.prompt_parts import ordered_tokens
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.services.health import EndpointHealth

# Cost per rank of an engine after the first in the adapter's ranking; a third of the
# time of a fetch.
_RANK_COST_S = 0.08
# The same for a prompt with parts, which each engine more of an adapter prefills
# again. In the model, 0.08 left 0.118 of the shared tokens to be prefilled again.
_PROMPT_RANK_COST_S = 0.16
# The prefill of each request runs between the decoding steps of the other requests of
# the batch, so a stream of several hundred tokens takes this much longer to end for
# each request at the engine.
_REQUEST_COST_S = 0.012
# An engine whose adapter slots are all in use cannot load another adapter. The cost is
# lower if that is uncertain, or if few slots are free that others may take.
_NO_SLOT_COST_S = 3.0
# When requests are spread over several engines, an engine that costs this much more is
# chosen e times less often.
_SAMPLING_SCALE_S = 0.2
_MAX_OVERDUE_S = 1.0
# Candidates per engine that the adapter needs: as many again are in reserve.
_CANDIDATES_PER_ENGINE = 2
# Above this share of the request slots, the pauses of an engine grow.
_OVERLOAD_SHARE = 0.9
_OVERLOAD_COST_S = 1.0


@attrs.frozen(kw_only=True)
class Choice:
    """The engine chosen for a request.

    Attributes
    ----------
    cost_s
        Cost by which it was chosen; the wait with what speaks against the engine.
    rank_cost_s
        Part of the cost that is due to its place in the adapter's order.
    wait_s
        Estimated time in seconds to the first event.
    is_present
        Whether the adapter is present or being loaded.
    queue_s
        Part of that wait in seconds that is due to other requests.
    cached_tokens
        Tokens of the prompt that the engine is expected to keep.
    speed
        Speed of the engine that was assumed; 1 is the median of its service.
    """

    engine: ListedEndpoint
    cost_s: float
    rank_cost_s: float
    wait_s: float
    is_present: bool
    queue_s: float = 0.0
    cached_tokens: float = 0.0
    speed: float = 1.0


@final
class Placement:
    """Ranks engines by the estimated time to the first event of a request.

    Parameters
    ----------
    instance_count
        Returns the number of instances, including those lost recently.
    """

    def __init__(
        self,
        view: EngineView,
        health: EndpointHealth,
        load_times: LoadTimes,
        *,
        failures: EngineFailures,
        speeds: EngineSpeeds,
        instance_count: Callable[[], int],
        generator: random.Random,
    ) -> None:
        self._instance_count = instance_count
        self._demand = AdapterDemand()
        self._part_demand = AdapterDemand()
        self._random = generator
        self._view = view
        self._health = health
        self._load_times = load_times
        self._failures = failures
        self._speeds = speeds
        self._engine_count = 1
        self.prompt_parts = PromptParts()

    def record_request(
        self,
        adapter: Adapter | None,
        prompt_tokens: float,
        now: float,
        prompt: Prompt | None = None,
    ) -> None:
        """Count a request in the demand for its adapter; once, before the choice."""
        self._failures.record_request(now)
        if self._view.receives_all_peers:
            return
        if adapter is not None:
            self._demand.record_request(adapter, prompt_tokens, now)
        if prompt is not None and prompt.order_key:
            self._part_demand.record_request((prompt.order_key, 0), prompt_tokens, now)

    def choose_engine(
        self,
        engines: list[ListedEndpoint],
        capacity: EngineCapacity,
        model: str,
        adapter: Adapter | None,
        prompt_tokens: float,
        excluded: Collection[str],
        now: float,
        prompt: Prompt | None = None,
    ) -> Choice | None:
        """Return an engine that is not in `excluded`, or None if there is none.

        The cheapest engine is chosen if all requests in progress are known. In a large
        fleet, where the instances choose from the same old reports, the engines that
        have the adapter, or that it needs, share its requests at random, cheaper ones
        more often.

        Parameters
        ----------
        prompt
            Its parts, if engines that keep them are to be preferred.
        """
        self._engine_count = len(engines)
        if engines:
            self._speeds.refresh(engines[0].service, engines, now)
        choices = self.rate_engines(
            engines, capacity, model, adapter, prompt_tokens, excluded, now, prompt
        )
        if not choices:
            return None
        cheapest = min(choices, key=_cost)
        if self._view.receives_all_peers:
            return self._prefer_kept(choices, cheapest, capacity, prompt, now)
        engines_needed = self._count_engines_needed(adapter, capacity, now)
        needed = 0 if engines_needed == 1 else engines_needed * _CANDIDATES_PER_ENGINE
        shared = [
            choice
            for rank, choice in enumerate(choices)
            if rank < needed or choice.is_present or choice is cheapest
        ]
        sampled = self._sample_choice(shared)
        return self._prefer_kept(shared, sampled, capacity, prompt, now)

    def rate_engines(
        self,
        engines: list[ListedEndpoint],
        capacity: EngineCapacity,
        model: str,
        adapter: Adapter | None,
        prompt_tokens: float,
        excluded: Collection[str],
        now: float,
        prompt: Prompt | None = None,
    ) -> list[Choice]:
        """Return the engines that are not in `excluded`, in the adapter's order."""
        candidates = [
            engine
            for engine in engines
            if engine.id not in excluded
            and (not model or self._view.has_model(engine.id, model))
        ]
        available = [
            e for e in candidates if self._health.is_available(e.id, now)
        ] or candidates
        # Without an adapter, no engine is preferred to another.
        rank_cost = 0.0
        if adapter is not None:
            engines_needed = self._count_engines_needed(adapter, capacity, now)
            cost_s = _RANK_COST_S if prompt is None else _PROMPT_RANK_COST_S
            rank_cost = cost_s / engines_needed
        return [
            self._rate_engine(
                engine, capacity, adapter, prompt_tokens, rank * rank_cost, now, prompt
            )
            for rank, engine in enumerate(_rank_engines(adapter, available))
        ]

    def _count_engines_needed(
        self, adapter: Adapter | None, capacity: EngineCapacity, now: float
    ) -> int:
        """Return how many engines the requests for an adapter need."""
        if adapter is None or self._view.receives_all_peers:
            return 1
        return self._demand.engines_needed(
            adapter,
            instances=self._instance_count(),
            slots=capacity.slots,
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
            now=now,
        )

    def _prefer_kept(
        self,
        choices: list[Choice],
        chosen: Choice,
        capacity: EngineCapacity,
        prompt: Prompt | None,
        now: float,
    ) -> Choice:
        """Return an engine that keeps parts of a prompt if it costs no more.

        It may cost as much more than the chosen engine as it saves in prefill. An
        engine that is chosen to load the adapter stays chosen, or a popular adapter
        would not spread. Of the others, one that is known to keep more than the shared
        parts is preferred, then the first in the order for the adapter and the shared
        parts; as many share them as their demand needs.
        """
        if prompt is None or not prompt.prefixes or not chosen.is_present:
            return chosen
        present = {c.engine.id: c for c in choices if c.is_present}
        most_kept = max(present.values(), key=lambda choice: choice.cached_tokens)
        max_cost_s = _cost_without_rank(chosen)
        # The prefill saved is part of its cost, as the parts are known to be there.
        if (
            most_kept.cached_tokens > prompt.shared_tokens
            and _cost_without_rank(most_kept) <= max_cost_s
        ):
            return most_kept
        if not prompt.order_key:
            return chosen
        engines_needed = self._count_part_engines(prompt, capacity, now)
        first = order_engines(prompt, present)[:engines_needed]
        preferred = min((present[name] for name in first), key=_cost_without_rank)
        ordered = ordered_tokens(prompt)
        saved_s = max(ordered - preferred.cached_tokens, 0.0) / PREFILL_TOKENS_PER_S
        if _cost_without_rank(preferred) > max_cost_s + saved_s:
            return chosen
        cached_tokens = max(preferred.cached_tokens, ordered)
        return attrs.evolve(preferred, cached_tokens=cached_tokens)

    def _count_part_engines(
        self, prompt: Prompt, capacity: EngineCapacity, now: float
    ) -> int:
        """Return how many engines the requests with the first part need."""
        if self._view.receives_all_peers:
            return 1
        return self._part_demand.engines_needed(
            (prompt.order_key, 0),
            instances=self._instance_count(),
            slots=capacity.slots,
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
            now=now,
        )

    def _sample_choice(self, choices: list[Choice]) -> Choice:
        """Return one of several choices at random, cheaper ones more often."""
        min_cost = min(choices, key=_cost).cost_s
        weights = [
            math.exp((min_cost - choice.cost_s) / _SAMPLING_SCALE_S)
            for choice in choices
        ]
        return self._random.choices(choices, weights)[0]

    def _rate_engine(
        self,
        engine: ListedEndpoint,
        capacity: EngineCapacity,
        adapter: Adapter | None,
        prompt_tokens: float,
        rank_cost: float,
        now: float,
        prompt: Prompt | None = None,
    ) -> Choice:
        """Return the choice that an engine would be, with its cost."""
        cached_tokens = displacement_s = queue_s = 0.0
        speed = self._speeds.relative_speed(engine)
        if prompt is None:
            wait_s = self._estimate_wait_s(engine, capacity, prompt_tokens, now)
            weighted_s = wait_s
            requests = self._view.count_requests(engine.id, now)
            harm_s = requests * _REQUEST_COST_S / speed
        else:
            kept_tokens = self.prompt_parts.cached_tokens(engine, prompt, now)
            cached_tokens = min(kept_tokens, prompt_tokens)
            state = self._describe_engine(engine, capacity, now)
            wait_s = first_event_s(state, prompt_tokens - cached_tokens)
            queue_s = first_event_s(state, 0.0)
            weighted_s = weighted_first_event_s(state, prompt_tokens - cached_tokens)
            harm_s = delay_of_others_s(state, prompt_tokens - cached_tokens)
            displacement_s = displacement_cost_s(state)
        is_present = True
        held_s = 0.0
        load_s = 0.0
        no_slot_cost = 0.0
        if adapter is not None:
            ready_at = self._view.ready_at(engine.id, adapter)
            is_present = ready_at is not None
            if ready_at is None:
                held_s = self._view.loads_held_s(engine.id, now)
                load_s = self._load_times.expected_load_s(engine.id, adapter, now)
                harm_s += displacement_s
                no_slot_cost = _NO_SLOT_COST_S * self._view.slot_shortage(
                    engine.id, capacity.adapter_slots, now
                )
            else:
                load_s = max(ready_at - now, 0.0)
        estimate_s = max(wait_s, held_s + load_s) + load_s / 10
        weighted_s = max(weighted_s, held_s + load_s) + load_s / 10
        # A first event that is overdue here shows what no report has told yet. It does
        # not refuse requests: a less urgent one may wait rightly.
        overdue_s = min(self._view.overdue_s(engine.id, now), _MAX_OVERDUE_S)
        failing_share = max(
            self._health.failure_share(engine.id),
            self._failures.failing_share(
                engine, self._instance_count(), self._engine_count, now
            ),
        )
        cost_s = max(weighted_s, overdue_s) + harm_s + no_slot_cost + failing_share
        return Choice(
            engine=engine,
            cost_s=cost_s + rank_cost,
            rank_cost_s=rank_cost,
            wait_s=estimate_s,
            is_present=is_present,
            queue_s=queue_s,
            cached_tokens=cached_tokens,
            speed=speed,
        )

    def _describe_engine(
        self, engine: ListedEndpoint, capacity: EngineCapacity, now: float
    ) -> EngineState:
        requests = self._view.count_requests(engine.id, now)
        return EngineState(
            requests=requests,
            pending_tokens=self._view.pending_prefill_tokens(engine.id, now),
            slots=capacity.slots,
            prefill_tokens_per_s=self._speeds.prefill_tokens_per_s(engine),
            step_s=self._speeds.step_s(engine, requests),
        )

    def _estimate_wait_s(
        self,
        engine: ListedEndpoint,
        capacity: EngineCapacity,
        prompt_tokens: float,
        now: float,
    ) -> float:
        """Return the estimated time in seconds to a prompt's first token."""
        requests = self._view.count_requests(engine.id, now)
        tokens = self._view.pending_prefill_tokens(engine.id, now) + prompt_tokens
        prefill_s = tokens / self._speeds.prefill_tokens_per_s(engine)
        wait_s = prefill_s + self._speeds.step_s(engine, requests)
        excess = requests / capacity.slots - _OVERLOAD_SHARE if capacity.slots else 0.0
        return wait_s + (_OVERLOAD_COST_S * (1 + excess * 10) if excess > 0 else 0.0)


def _rank_engines(
    adapter: Adapter | None, engines: list[ListedEndpoint]
) -> list[ListedEndpoint]:
    if adapter is None:
        return engines
    by_id = {engine.id: engine for engine in engines}
    return [by_id[name] for name in hashing.rank(adapter[0], by_id)]


def _cost(choice: Choice) -> float:
    return choice.cost_s


def _cost_without_rank(choice: Choice) -> float:
    """Return the cost of an engine that has the adapter, whatever its place."""
    return choice.cost_s - choice.rank_cost_s
