"""Which engine a request goes to.

Answers the load of thousands of adapters with skewed demand over engines with few
places: every instance ranks the engines for an adapter the same way (rendezvous
hashing), so a rare adapter is fetched once and a frequent one spreads over more
engines only as far as its queue is worth it.
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
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.loads import LoadTimes
from chiveslip.gateway.routing import EngineLimits
from chiveslip.services.health import EndpointHealth

# Prompt tokens that an engine reads in a second; the users' engines read 19.1 a ms.
READ_TOKENS_PER_S = 19_000.0
# The first token waits for a step: 8.87 ms alone on the users' engines, and longer by
# each request of the batch, reads of prompts between them included.
_STEP_S = 0.009
_STEP_PER_REQUEST_S = 0.0004
# Cost of leaving the order of an adapter's engines by one place; a third of a fetch.
_RANK_COST_S = 0.08
# Each request of the batch has its prompt read between the tokens of the others, so a
# stream of several hundred tokens on a fuller engine takes that much longer to end.
_REQUEST_COST_S = 0.012
# An engine whose places are all in use cannot take another adapter.
_NO_PLACE_COST_S = 3.0
# Where the requests of an adapter are spread, an engine that costs this much more is
# chosen e times as seldom, and beyond those needed as many again are held in reserve.
_LIKELY_COST_S = 0.2
_RESERVE = 2
# From this share of its slots on, an engine's pauses grow.
_FULL_SHARE = 0.9
_FULL_COST_S = 1.0


@attrs.frozen(kw_only=True)
class Choice:
    """An engine for a request.

    Attributes
    ----------
    wait_s
        Estimated time in seconds to the first event.
    is_present
        Whether the adapter is there or on its way.
    """

    engine: ListedEndpoint
    wait_s: float
    is_present: bool


@final
class Placement:
    """Ranks engines by the estimated time to a request's first event."""

    def __init__(
        self,
        view: EngineView,
        health: EndpointHealth,
        loads: LoadTimes,
        *,
        instances: Callable[[], int],
        generator: random.Random,
    ) -> None:
        self._instances = instances
        self._demand = AdapterDemand()
        self._random = generator
        self._view = view
        self._health = health
        self._loads = loads

    def choose(
        self,
        engines: list[ListedEndpoint],
        limits: EngineLimits,
        model: str,
        adapter: Adapter | None,
        prompt_tokens: float,
        tried: Collection[str],
        now: float,
    ) -> Choice | None:
        """Return the best engine that was not tried, or None if there is none."""
        left = [
            engine
            for engine in engines
            if engine.id not in tried
            and (not model or self._view.has_model(engine.id, model))
        ]
        sound = [e for e in left if self._health.is_available(e.id, now)] or left
        if not sound:
            return None
        ranks = _ranks(adapter, sound)
        spread = self._spread(adapter, limits, now)
        rank_cost = _RANK_COST_S / spread
        choices = [
            self._judge(engine, limits, adapter, prompt_tokens, rank * rank_cost, now)
            for rank, engine in enumerate(ranks)
        ]
        if spread == 1:
            return min(choices, key=_cost)[1]
        return self._one_of(choices[: spread * _RESERVE])

    def _spread(self, adapter: Adapter | None, limits: EngineLimits, now: float) -> int:
        """Return over how many engines the requests of an adapter are spread."""
        if adapter is None or self._view.hears_all:
            return 1
        self._demand.note(adapter, now)
        return self._demand.engines_for(
            adapter, instances=self._instances(), slots=limits.slots, now=now
        )

    def _one_of(self, choices: list[tuple[float, Choice]]) -> Choice:
        """Return one of several engines, one that costs little most likely."""
        least = min(choices, key=_cost)[0]
        weights = [math.exp((least - cost) / _LIKELY_COST_S) for cost, _ in choices]
        return self._random.choices(choices, weights)[0][1]

    def _judge(
        self,
        engine: ListedEndpoint,
        limits: EngineLimits,
        adapter: Adapter | None,
        prompt_tokens: float,
        rank_cost: float,
        now: float,
    ) -> tuple[float, Choice]:
        wait = self.wait_s(engine.id, limits, prompt_tokens, now)
        is_present = True
        load = 0.0
        crowded = 0.0
        if adapter is not None:
            ready_at = self._view.ready_at(engine.id, adapter)
            is_present = ready_at is not None
            if ready_at is None:
                load = self._loads.expected_s(engine.id, adapter, now)
                in_use = self._view.adapters_in_use(engine.id, now)
                if len(in_use) >= limits.adapter_places:
                    crowded = _NO_PLACE_COST_S
            else:
                load = max(ready_at - now, 0.0)
        estimate = max(wait, load) + load / 10
        failing = self._health.failure_share(engine.id)
        fullness = self._view.requests(engine.id, now) * _REQUEST_COST_S
        cost = estimate + fullness + crowded + rank_cost + failing
        choice = Choice(engine=engine, wait_s=estimate, is_present=is_present)
        return cost, choice

    def wait_s(
        self, engine: str, limits: EngineLimits, prompt_tokens: float, now: float
    ) -> float:
        """Return the estimated time in seconds to read a prompt and make a token."""
        requests = self._view.requests(engine, now)
        unread = self._view.unread_tokens(engine, now) + prompt_tokens
        step = _STEP_S + _STEP_PER_REQUEST_S * requests
        wait = unread / READ_TOKENS_PER_S + step
        over = requests / limits.slots - _FULL_SHARE if limits.slots else 0.0
        return wait + (_FULL_COST_S * (1 + over * 10) if over > 0 else 0.0)


def _ranks(
    adapter: Adapter | None, engines: list[ListedEndpoint]
) -> list[ListedEndpoint]:
    if adapter is None:
        return engines
    by_id = {engine.id: engine for engine in engines}
    return [by_id[name] for name in hashing.rank(adapter[0], by_id)]


def _cost(choice: tuple[float, Choice]) -> float:
    return choice[0]
