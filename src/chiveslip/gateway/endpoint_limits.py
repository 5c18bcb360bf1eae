"""Limits of endpoints: requests a second from all instances together.

A limit holds for the start of the endpoint that named it, until an answer to a later
request names none, or until nothing was heard of it for some time. A cold endpoint has
a limit, too; if both apply, the lower one holds. The module does no I/O.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable
from typing import final

import attrs

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.gateway.averages import AverageRate
from chiveslip.gateway.cold_endpoints import MAX_COLD_S
from chiveslip.gateway.cold_endpoints import ColdEndpoints
from chiveslip.gateway.endpoint_statements import Incarnation

# Lower limits are raised to this one: an endpoint that gets no request cannot say that
# its limit has ended.
MIN_REQUESTS_PER_S = 0.1
MAX_REQUESTS_PER_S = 1e6
# A limit ends when no answer has named it for this time and that of some requests at
# its rate.
_RETENTION_S = 5.0
_RETENTION_REQUESTS = 3.0
# An endpoint whose limit is used up is not chosen for at least this long.
_MIN_SPENT_S = 0.02
# Requests granted ahead are those of this time, and are dropped when unused.
_AHEAD_S = 0.2
_HELD_S = 0.5
_DEMAND_S = 1.0
# Peers are told of new limits at most this often between two rounds of gossip.
_NEWS_INTERVAL_S = 0.25


@attrs.frozen(kw_only=True)
class NamedLimit:
    """A limit that an endpoint named.

    Attributes
    ----------
    requests_per_s
        Requests a second that the endpoint takes from all instances together.
    said_at
        Local time in seconds of the last answer that named it.
    cold_until
        Local time in seconds until which the endpoint is cold, or minus infinity. What
        is granted for a cold endpoint has to be used sooner.
    """

    incarnation: Incarnation
    requests_per_s: float
    said_at: float
    cold_until: float = -math.inf

    @property
    def is_cold(self) -> bool:
        """Whether the endpoint is cold."""
        return self.cold_until > -math.inf

    @property
    def ends_at(self) -> float:
        """Local time in seconds until which it holds without another answer."""
        return self.said_at + _RETENTION_S + _RETENTION_REQUESTS / self.requests_per_s


def make_limit(
    incarnation: Incarnation,
    requests_per_s: float,
    age_s: float,
    now: float,
    cold_s: float = 0.0,
) -> NamedLimit | None:
    """Return a limit that an endpoint named, or None if it is no limit.

    Parameters
    ----------
    age_s
        Time in seconds since it was named.
    now
        Local time in seconds.
    cold_s
        Time in seconds for which the endpoint is cold; 0 if it is not.
    """
    if not (0 <= requests_per_s < math.inf and 0 <= age_s < math.inf):
        return None
    bounded = min(max(requests_per_s, MIN_REQUESTS_PER_S), MAX_REQUESTS_PER_S)
    is_cold = 0 < cold_s < math.inf
    return NamedLimit(
        incarnation=incarnation,
        requests_per_s=bounded,
        said_at=now - age_s,
        cold_until=now + min(cold_s, MAX_COLD_S) if is_cold else -math.inf,
    )


@final
class EndpointLimits:
    """Limits in force, and what this instance may still send to each endpoint.

    Parameters
    ----------
    cold
        Where cold endpoints are kept, or None if there are none.

    Attributes
    ----------
    on_news
        Called when an endpoint names a limit that this instance did not know, so that
        peers can be told at once.
    """

    def __init__(self, clock: Clock, cold: ColdEndpoints | None = None) -> None:
        self._cold = cold or ColdEndpoints(lambda _endpoint: None)
        self.on_news: Callable[[], None] | None = None
        self._clock = clock
        self._limits: dict[Incarnation, NamedLimit] = {}
        self._spent_until: dict[Incarnation, float] = {}
        # When each request that was granted ahead has to be sent at the latest.
        self._held: dict[Incarnation, collections.deque[float]] = {}
        self._demands: dict[Incarnation, AverageRate] = {}
        self._told_at = -math.inf
        self._log = logs.get_logger("limits")

    @property
    def is_empty(self) -> bool:
        """Whether no limit is known."""
        return not self._limits and self._cold.is_empty

    def record_named(self, incarnation: Incarnation, requests_per_s: float) -> None:
        """Record an answer to this instance that named a limit."""
        limit = make_limit(incarnation, requests_per_s, 0.0, self._clock.now())
        if limit is not None:
            self.record_limit(limit, source=incarnation.endpoint)

    def record_cold(self, incarnation: Incarnation, remaining_s: float) -> None:
        """Record an answer that said for how many seconds its endpoint is cold."""
        self._cold.record(
            incarnation, remaining_s, self._clock.now(), source=incarnation.endpoint
        )

    def record_limit(self, limit: NamedLimit, *, source: str) -> None:
        """Record that an endpoint named a limit.

        Parameters
        ----------
        source
            Who tells this, for the log.
        """
        now = self._clock.now()
        incarnation = limit.incarnation
        known = self._limits.get(incarnation)
        if limit.ends_at <= now or (
            known is not None and known.said_at >= limit.said_at
        ):
            return
        self._limits[incarnation] = limit
        if known is not None:
            return
        self._log.info(
            "Endpoint names a limit.",
            endpoint=incarnation.endpoint,
            started=incarnation.started,
            requests_per_s=limit.requests_per_s,
            source=source,
            age_s=round(now - limit.said_at, 3),
        )
        if self.on_news is not None and now - self._told_at >= _NEWS_INTERVAL_S:
            self._told_at = now
            self.on_news()

    def record_no_limit(self, incarnation: Incarnation, sent_at: float) -> None:
        """Record an answer that named no limit.

        Parameters
        ----------
        sent_at
            Local time in seconds at which its request was sent. Answers overtake each
            other, so only one to a request after the last naming ends a limit.
        """
        known = self._limits.get(incarnation)
        if known is not None and sent_at > known.said_at:
            self._forget(incarnation)
            self._log.info(
                "Endpoint names no limit any more.", endpoint=incarnation.endpoint
            )

    def find(self, incarnation: Incarnation) -> NamedLimit | None:
        """Return the limit of an endpoint, or None if it has none."""
        now = self._clock.now()
        named = self._find_named(incarnation, now)
        if self._cold.is_empty:
            return named
        cold = self._cold.find(incarnation, now)
        if cold is None:
            return named
        rate, until = cold
        rate = max(rate, MIN_REQUESTS_PER_S)
        if named is not None:
            rate = min(rate, named.requests_per_s)
        return NamedLimit(
            incarnation=incarnation,
            requests_per_s=rate,
            said_at=now if named is None else named.said_at,
            cold_until=until,
        )

    def find_told(self, told: NamedLimit) -> NamedLimit:
        """Return the limit of an endpoint, given what a peer tells of it.

        A peer may know sooner, or alone, that an endpoint is cold.
        """
        known = self.find(told.incarnation)
        if known is None:
            return told
        if not told.is_cold:
            return known
        return attrs.evolve(
            known,
            requests_per_s=min(known.requests_per_s, told.requests_per_s),
            cold_until=max(known.cold_until, told.cold_until),
        )

    def named(self) -> list[NamedLimit]:
        """Return all limits that were named, to tell peers, and drop the others."""
        now = self._clock.now()
        found = [self._find_named(incarnation, now) for incarnation in [*self._limits]]
        return [limit for limit in found if limit is not None]

    def limited(self) -> list[Incarnation]:
        """Return all endpoints with a limit, named or because they are cold."""
        named = [limit.incarnation for limit in self.named()]
        cold = [time.incarnation for time in self._cold.current(self._clock.now())]
        return list(dict.fromkeys((*named, *cold)))

    def _find_named(self, incarnation: Incarnation, now: float) -> NamedLimit | None:
        limit = self._limits.get(incarnation)
        if limit is None or limit.ends_at > now:
            return limit
        self._forget(incarnation)
        return None

    def spent_s(self, incarnation: Incarnation) -> float:
        """Return the time in seconds until an endpoint may get another request."""
        if self.find(incarnation) is None:
            return 0.0
        until = self._spent_until.get(incarnation, -math.inf)
        return max(until - self._clock.now(), 0.0)

    def record_spent(self, incarnation: Incarnation, for_s: float) -> None:
        """Record that an endpoint may get no request for some seconds."""
        until = self._clock.now() + max(for_s, _MIN_SPENT_S)
        self._spent_until[incarnation] = until

    def record_demand(self, incarnation: Incarnation) -> int:
        """Record a request for an endpoint; return how many to ask for ahead."""
        demand = self._demands.setdefault(incarnation, AverageRate(_DEMAND_S))
        demand.add(1.0, self._clock.now())
        return int(demand.rate * _AHEAD_S)

    def hold(
        self, incarnation: Incarnation, requests: int, until: float | None = None
    ) -> None:
        """Keep requests that were granted and are not sent yet.

        Parameters
        ----------
        until
            Local time in seconds until which they may be taken, or None for the usual
            time.
        """
        held = self._held.setdefault(incarnation, collections.deque())
        ends_at = self._clock.now() + _HELD_S if until is None else until
        held.extend([ends_at] * requests)

    def take_held(self, incarnation: Incarnation) -> float | None:
        """Take a request that was granted before.

        Returns
        -------
        float or None
            Local time in seconds until which it was kept, or None if there is none.
        """
        held = self._held.get(incarnation)
        while held:
            ends_at = held.popleft()
            if ends_at > self._clock.now():
                return ends_at
        return None

    def _forget(self, incarnation: Incarnation) -> None:
        for known in (self._limits, self._spent_until, self._held, self._demands):
            known.pop(incarnation, None)
