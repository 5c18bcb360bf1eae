"""Retries of the whole fleet, each instance with a share of the common slack.

The bound is a share of a service's requests plus a slack in any window. Each
instance spends at most the share of its own requests and its part of the slack, so
the sum holds without a message between instances.
"""

from __future__ import annotations

import collections
from typing import final


@final
class RetryBudget:
    """Requests and retries to services in a sliding window.

    Parameters
    ----------
    share
        Retries as a share of requests.
    slack
        Retries of the whole fleet beyond that in one window.
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
        """Note a caller's request to `service`."""
        self._recent_times(self._requests, service, now).append(now)

    def take_retry(self, service: str, instances: int, now: float) -> bool:
        """Take one retry, or say that none is left.

        Parameters
        ----------
        instances
            Instances that share the slack.
        """
        requests = len(self._recent_times(self._requests, service, now))
        retries = self._recent_times(self._retries, service, now)
        # Restarted instances forget what they spent, so a third is left unused.
        slack = self._slack * 0.67 / max(instances, 1)
        if len(retries) + 1 > self._share * requests + slack:
            return False
        retries.append(now)
        return True

    def _recent_times(
        self, kept: dict[str, collections.deque[float]], service: str, now: float
    ) -> collections.deque[float]:
        times = kept.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times
