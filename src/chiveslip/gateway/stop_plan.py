"""What an instance may still begin while it stops.

A request whose answer would not end before the process does is refused, so that its
caller repeats it elsewhere at once: one that is cut off may not be repeated if it may
run only once. Answers of the same route tell how long one takes. The module does no
I/O.
"""

from __future__ import annotations

import math
from typing import final

import attrs

from chiveslip.clock import Clock
from chiveslip.gateway.routing import RetryPolicy
from chiveslip.gateway.routing import Route

# Weight of the newest answer in the mean and in the mean deviation of a route.
_MEAN_WEIGHT = 0.125
_DEVIATION_WEIGHT = 0.25
# Deviations from the mean within which the answer to a request is expected that may run
# only once. One that may be repeated is begun if its answer is as likely as not to end.
_DEVIATIONS = 2.0


@attrs.define
class AnswerTimes:
    """How long answers of a route take, from the sending of the request to their end.

    Attributes
    ----------
    mean_s, deviation_s
        Mean, and mean deviation from it, in seconds.
    """

    mean_s: float
    deviation_s: float

    @property
    def most_s(self) -> float:
        """Time in seconds within which most answers end."""
        return self.mean_s + _DEVIATIONS * self.deviation_s

    def add(self, took_s: float) -> None:
        """Add the time of an answer."""
        difference_s = took_s - self.mean_s
        self.mean_s += _MEAN_WEIGHT * difference_s
        self.deviation_s += _DEVIATION_WEIGHT * (abs(difference_s) - self.deviation_s)


@final
class StopPlan:
    """Decides whether requests may be sent while this instance stops.

    Attributes
    ----------
    is_cutting
        Whether the requests that still run are being given up.
    """

    def __init__(self, clock: Clock) -> None:
        self.is_cutting = False
        self._clock = clock
        self._ends_at = math.inf
        self._times: dict[str, AnswerTimes] = {}

    def begin(self, ends_at: float) -> None:
        """Begin to stop.

        Parameters
        ----------
        ends_at
            Local time in seconds at which requests that still run are given up.
        """
        self._ends_at = ends_at

    def record_answer(self, route: str, took_s: float) -> None:
        """Record the time in seconds that a complete answer took."""
        times = self._times.get(route)
        if times is None:
            self._times[route] = AnswerTimes(took_s, took_s / 2)
        else:
            times.add(took_s)

    def may_begin(self, route: Route) -> bool:
        """Return whether the answer to a request that is sent now is likely to end."""
        if self._ends_at == math.inf:
            return True
        times = self._times.get(route.name)
        if times is None:
            expected_s = route.target_latency_s
        elif route.retry_policy is RetryPolicy.AT_MOST_ONCE:
            expected_s = times.most_s
        else:
            expected_s = times.mean_s
        return self._clock.now() + expected_s <= self._ends_at
