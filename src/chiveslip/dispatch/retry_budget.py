"""Retry budget of the whole fleet, divided among the instances.

In any window, the retries of a service are limited to a share of its requests plus a
slack. Each instance uses at most that share of its own requests plus an equal part
of the slack, so the limit holds for the fleet without coordination.
"""

from __future__ import annotations

import collections
from typing import final


@final
class RetryBudget:
    """Counts requests and retries per service in a sliding window.

    Parameters
    ----------
    share
        Allowed retries as a fraction of requests.
    slack
        Additional retries of the whole fleet in one window.
    window_s
        Length of the window in seconds.
    """

    def __init__(self, *, share: float, slack: float, window_s: float) -> None:
        self._share = share
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Record a caller's request to `service`."""
        self._prune_times(self._requests, service, now).append(now)

    def take_retry(self, service: str, instances: int, now: float) -> bool:
        """Take one retry; return False if the budget is exhausted.

        Parameters
        ----------
        instances
            Number of instances that share the slack.
        """
        requests = len(self._prune_times(self._requests, service, now))
        retries = self._prune_times(self._retries, service, now)
        # A restarted instance has lost its count of retries, so a third of the slack is
        # left unused.
        slack = self._slack * 0.67 / max(instances, 1)
        if len(retries) + 1 > self._share * requests + slack:
            return False
        retries.append(now)
        return True

    def _prune_times(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        """Drop the times before the window; return the others of the service."""
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times
