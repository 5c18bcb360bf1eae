"""Endpoint failures that this instance has observed, and the backoff after them.

Covers endpoints that crash, that fail part of their requests while their health check
passes, or that become slow. A failed endpoint is skipped for a time that doubles with
each consecutive failure, unless all endpoints of the service would be skipped.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs

# Backoff after a first refused or reset connection. A restart takes seconds, but a
# single reset is over at once.
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
# Share of failures, as a moving average over about ten responses, from which an
# endpoint is skipped although some of its requests succeed.
_MAX_FAILURE_SHARE = 0.5
# After the backoff of an endpoint that could not be reached, one request tries it. The
# others skip it until then, as connections to a silent endpoint hang.
TRIAL_S = 1.0
_AVERAGE_WEIGHT = 0.15


@attrs.define
class _FailureRecord:
    consecutive_failures: int = 0
    failure_average: float = 0.0
    is_unreachable: bool = False
    failed_at: float = float("-inf")
    skipped_until: float = float("-inf")


@final
class EndpointHealth:
    """Failures of endpoints in the requests of this instance."""

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}

    def record_success(self, endpoint: str) -> None:
        """Record a complete response."""
        record = self._records.get(endpoint)
        if record is None:
            return
        record.consecutive_failures = 0
        record.failure_average *= 1 - _AVERAGE_WEIGHT

    def record_failure(
        self,
        endpoint: str,
        now: float,
        *,
        is_unreachable: bool,
        began_at: float = float("inf"),
    ) -> None:
        """Record a failed request.

        Parameters
        ----------
        is_unreachable
            Whether the connection failed, so that the next request would fail too.
        began_at
            When the attempt began. Connections that were tried at the same time fail
            for one reason, so those begun before an earlier failure do not make the
            backoff longer.
        """
        record = self._records.setdefault(endpoint, _FailureRecord())
        if is_unreachable and record.is_unreachable and began_at <= record.failed_at:
            return
        record.consecutive_failures += 1
        record.is_unreachable = is_unreachable
        record.failed_at = now
        record.failure_average += (1 - record.failure_average) * _AVERAGE_WEIGHT
        if (
            is_unreachable
            or record.consecutive_failures >= 2
            or record.failure_average >= _MAX_FAILURE_SHARE
        ):
            backoff_s = MIN_BACKOFF_S * 2.0 ** min(record.consecutive_failures - 1, 8)
            record.skipped_until = now + min(backoff_s, MAX_BACKOFF_S)

    def begin_trial(self, endpoint: str, now: float) -> None:
        """Skip an endpoint that could not be reached while one request tries it."""
        record = self._records.get(endpoint)
        if record is None or not record.is_unreachable or record.skipped_until > now:
            return
        record.skipped_until = now + TRIAL_S

    def record_reachable(self, endpoint: str) -> None:
        """Record that an endpoint was connected or answered a question.

        This ends its unreachability.

        It may still fail its requests.
        """
        record = self._records.get(endpoint)
        if record is None or not record.is_unreachable:
            return
        record.consecutive_failures = 0
        record.is_unreachable = False
        record.skipped_until = float("-inf")

    def is_available(self, endpoint: str, now: float) -> bool:
        """Return whether the endpoint may be selected at `now`."""
        record = self._records.get(endpoint)
        return record is None or record.skipped_until <= now

    def failure_share(self, endpoint: str) -> float:
        """Return the moving average of the share of failed requests, 0 to 1."""
        record = self._records.get(endpoint)
        return 0.0 if record is None else record.failure_average

    def retain_only(self, endpoints: Iterable[str]) -> None:
        """Drop the records of all other endpoints."""
        retained = set(endpoints)
        for endpoint in [name for name in self._records if name not in retained]:
            del self._records[endpoint]
