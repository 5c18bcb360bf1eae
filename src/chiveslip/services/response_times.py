"""Response times of endpoints relative to each other, as this instance observed them.

An instance sends a plain endpoint a request every few seconds, so this shows lasting
differences only, not slow spells of less than a second. The module does no I/O and
reads no clock.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable
from typing import final

import attrs

# Time constant with which responses are forgotten: that of some two responses of each
# endpoint on the users' deployments.
_WINDOW_S = 8.0
# Responses worth as much as the assumption that all endpoints are equal: the times of
# single requests differ by twice and more.
_PRIOR_RESPONSES = 2.0
_MIN_RESPONSES = 0.5
# An endpoint that differs less counts as equal, so that chance does not move requests.
_EQUAL_FACTOR = 1.25
_MIN_RELATIVE = 0.2
_MAX_RELATIVE = 5.0
# A single response counts as no further than this factor from the average so far.
_MAX_OUTLIER_LOG = math.log(3.0)
_SHORTEST_S = 1e-4


@attrs.define
class _Average:
    """Decaying mean of the logarithms of response times."""

    mean: float
    responses: float = 0.0
    updated_at: float = 0.0

    def add(self, log: float, now: float) -> None:
        known = self.responses_at(now)
        if known >= 1.0:
            log = min(
                max(log, self.mean - _MAX_OUTLIER_LOG), self.mean + _MAX_OUTLIER_LOG
            )
        self.responses = known + 1.0
        self.mean += (log - self.mean) / self.responses
        self.updated_at = now

    def responses_at(self, now: float) -> float:
        elapsed_s = max(now - self.updated_at, 0.0)
        return self.responses * math.exp(-elapsed_s / _WINDOW_S)


@final
class ResponseTimes:
    """Decaying averages of the response times of endpoints."""

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}

    def record(self, endpoint: str, response_s: float, now: float) -> None:
        """Record the time in seconds that an endpoint took for an answer."""
        log = math.log(max(response_s, _SHORTEST_S))
        self._averages.setdefault(endpoint, _Average(log)).add(log, now)

    def compare(self, endpoints: Iterable[str], now: float) -> dict[str, float]:
        """Return the response times relative to the median of the endpoints.

        Endpoints that are about as fast as the median, or of which too little is
        known, are left out.
        """
        known = {}
        for endpoint in endpoints:
            average = self._averages.get(endpoint)
            if average is None:
                continue
            responses = average.responses_at(now)
            if responses < _MIN_RESPONSES:
                del self._averages[endpoint]
                continue
            known[endpoint] = (average.mean, responses)
        if len(known) < 2:
            return {}
        median = statistics.median(mean for mean, _ in known.values())
        relative = {}
        for endpoint, (mean, responses) in known.items():
            difference = (mean - median) * responses / (responses + _PRIOR_RESPONSES)
            if abs(difference) >= math.log(_EQUAL_FACTOR):
                factor = math.exp(difference)
                relative[endpoint] = min(max(factor, _MIN_RELATIVE), _MAX_RELATIVE)
        return relative
