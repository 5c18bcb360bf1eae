"""What this instance has seen of each endpoint, and which are passed over.

Answers the load on days when endpoints crash, fail part of their requests while
their health check is good, or turn slow. An endpoint that fails is passed over for a
time that doubles with each failure in a row, but never all endpoints of a service.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs

# After a refused or reset connection an endpoint is tried again this soon: a
# restart takes seconds, a single reset passes at once.
FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 4.0
# Share of failures, as a moving average over about ten answers, from which an
# endpoint is passed over although some of its requests go well.
_FAILING_SHARE = 0.5
_AVERAGE_WEIGHT = 0.15


@attrs.define
class _Record:
    in_a_row: int = 0
    failing: float = 0.0
    passed_over_until: float = float("-inf")


@final
class EndpointHealth:
    """Failures of endpoints, as the requests of this instance met them."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def succeeded(self, endpoint: str) -> None:
        """Note a whole answer."""
        record = self._records.get(endpoint)
        if record is None:
            return
        record.in_a_row = 0
        record.failing *= 1 - _AVERAGE_WEIGHT

    def failed(self, endpoint: str, now: float, *, surely_down: bool) -> None:
        """Note a failure.

        Parameters
        ----------
        surely_down
            Whether no connection came about, so that the next request would fail too.
        """
        record = self._records.setdefault(endpoint, _Record())
        record.in_a_row += 1
        record.failing += (1 - record.failing) * _AVERAGE_WEIGHT
        if surely_down or record.in_a_row >= 2 or record.failing >= _FAILING_SHARE:
            pause = FIRST_PAUSE_S * 2.0 ** min(record.in_a_row - 1, 8)
            record.passed_over_until = now + min(pause, LONGEST_PAUSE_S)

    def is_sound(self, endpoint: str, now: float) -> bool:
        """Return whether the endpoint is not passed over now."""
        record = self._records.get(endpoint)
        return record is None or record.passed_over_until <= now

    def failing_share(self, endpoint: str) -> float:
        """Return the share of failures, as a moving average."""
        record = self._records.get(endpoint)
        return 0.0 if record is None else record.failing

    def forget_others(self, endpoints: Iterable[str]) -> None:
        """Drop the records of all endpoints but these."""
        kept = set(endpoints)
        for endpoint in [name for name in self._records if name not in kept]:
            del self._records[endpoint]
