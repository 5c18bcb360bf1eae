"""Search for the engine of one request, with reports that are read on the way.

What other instances tell of an engine's load is seconds old in a large fleet, and all
instances would choose by it alike. Therefore an engine is asked for its report before a
request is sent to it, and another one is chosen if it is worse than was believed. An
engine that does not answer is not used. The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import final

import attrs

from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.placement import Choice
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.prompt_parts import Prompt
from chiveslip.gateway.routing import EngineCapacity

# Engines that are asked for one request, and those of them that do not answer.
MAX_REPORTS_READ = 3
MAX_UNANSWERED = 2
# An engine with a younger report is not asked.
_MAX_REPORT_AGE_S = 0.3
# The same where the requests of all instances are known, so that a report tells only
# that the engine answers. Its coordinator reads one each second.
_MAX_SILENCE_S = 2.0
# An engine is used if it costs at most this much more than was believed.
_MAX_COST_INCREASE_S = 0.1


@attrs.frozen(kw_only=True)
class SearchedRequest:
    """What a search knows of its request.

    Attributes
    ----------
    prompt
        Its parts, or None if they have no influence.
    """

    model: str
    adapter: Adapter | None
    prompt_tokens: float
    capacity: EngineCapacity
    prompt: Prompt | None = None


@final
class EngineSearch:
    """Chooses an engine, step by step.

    `choose` returns a candidate. As long as `needs_report` says so, its report has to
    be read: it goes to `EngineView.apply_engine_report`, an engine without an answer to
    `record_no_answer`, and `choose` is called again.

    Parameters
    ----------
    excluded
        Engines that must not be chosen.
    """

    def __init__(
        self,
        placement: Placement,
        view: EngineView,
        request: SearchedRequest,
        excluded: Collection[str],
    ) -> None:
        self._placement = placement
        self._view = view
        self._request = request
        self._excluded = set(excluded)
        self._reports_read = 0
        self._unanswered = 0
        self._asked: dict[str, Choice] = {}
        self._last_asked: Choice | None = None

    @property
    def excluded(self) -> Collection[str]:
        """Engines that are not chosen any more."""
        return self._excluded

    def exclude(self, engine: str) -> None:
        """Do not choose an engine any more."""
        self._excluded.add(engine)
        self._asked.pop(engine, None)
        self._last_asked = None

    def reconsider(self, engine: str) -> None:
        """Compare an engine that turned out worse with all others again."""
        self._asked.pop(engine, None)
        self._last_asked = None

    def record_no_answer(self, engine: str) -> None:
        """Record that an engine that was asked did not answer."""
        self.exclude(engine)
        self._unanswered += 1

    def choose(self, engines: list[ListedEndpoint], now: float) -> Choice | None:
        """Return the engine to use or to ask next, or None if there is none."""
        expected, self._last_asked = self._last_asked, None
        if expected is not None:
            reported = self._rate(expected.engine, now)
            if reported is not None and (
                _cost(reported) <= _cost(expected) + _MAX_COST_INCREASE_S
            ):
                return reported
        if not self._may_ask:
            rated = [self._rate(choice.engine, now) for choice in self._asked.values()]
            answered = [choice for choice in rated if choice is not None]
            if answered:
                return min(answered, key=_cost)
        request = self._request
        return self._placement.choose_engine(
            engines,
            request.capacity,
            request.model,
            request.adapter,
            request.prompt_tokens,
            self._excluded,
            now,
            request.prompt,
        )

    def needs_report(self, choice: Choice, now: float) -> bool:
        """Return whether a chosen engine must be asked first; counts it as asked."""
        engine = choice.engine.id
        if engine in self._asked or not self._may_ask:
            return False
        knows_requests = self._view.receives_all_peers
        max_age_s = _MAX_SILENCE_S if knows_requests else _MAX_REPORT_AGE_S
        age_s = self._view.report_age_s(engine, now)
        if age_s is not None and age_s <= max_age_s:
            return False
        self._reports_read += 1
        self._asked[engine] = self._last_asked = choice
        return True

    @property
    def _may_ask(self) -> bool:
        answered = self._reports_read - self._unanswered
        return answered < MAX_REPORTS_READ and self._unanswered < MAX_UNANSWERED

    def _rate(self, engine: ListedEndpoint, now: float) -> Choice | None:
        """Return the present rating of an engine, or None if it is not usable."""
        request = self._request
        choices = self._placement.rate_engines(
            [engine],
            request.capacity,
            request.model,
            request.adapter,
            request.prompt_tokens,
            self._excluded,
            now,
            request.prompt,
        )
        return choices[0] if choices else None


def _cost(choice: Choice) -> float:
    """Return the cost of an engine by what it reports, without its place in order."""
    return choice.cost_s - choice.rank_cost_s
