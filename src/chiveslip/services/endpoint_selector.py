"""Selects the service endpoint with the fewest requests, preferably a nearby one.

It suits short calls to endpoints with few slots, which refuse requests beyond these.
The gateway and the HTTP interface of an instance both use it.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from collections.abc import Iterable
from typing import Protocol
from typing import TypeVar
from typing import final

from chiveslip.services.health import EndpointHealth
from chiveslip.services.response_times import ResponseTimes

# Costs are in units of one running request. A call to another data centre takes one or
# two milliseconds longer, less than a tenth of the duration of a call, so a remote
# endpoint is preferred if it has one request fewer.
_REMOTE_COST = 0.75
# An endpoint that fails every request counts as this many running requests.
_FAILURE_COST = 4.0
# The choice between endpoints of about the same cost is random.
_RANDOM_COST = 0.5


class ServiceEndpoint(Protocol):
    """Properties of an endpoint that the selection uses."""

    @property
    def id(self) -> str:
        """Unique name of the endpoint."""

    @property
    def data_centre(self) -> str:
        """Data centre in which the endpoint runs."""


AnyEndpoint = TypeVar("AnyEndpoint", bound=ServiceEndpoint)


@final
class EndpointSelector:
    """Selects endpoints by requests, failures and response times of this instance."""

    def __init__(
        self, health: EndpointHealth, data_centre: str, generator: random.Random
    ) -> None:
        self._health = health
        self._data_centre = data_centre
        self._random = generator
        self._running: dict[str, int] = {}
        self._times = ResponseTimes()

    @property
    def health(self) -> EndpointHealth:
        """Failures of the endpoints."""
        return self._health

    def select_endpoint(
        self, endpoints: Iterable[AnyEndpoint], tried: Collection[str], now: float
    ) -> AnyEndpoint | None:
        """Return the endpoint for the next attempt, or None if all were tried."""
        untried = [endpoint for endpoint in endpoints if endpoint.id not in tried]
        available = [
            e for e in untried if self._health.is_available(e.id, now)
        ] or untried
        relative_times = self._times.compare((e.id for e in available), now)
        return min(
            available,
            key=lambda e: self._calculate_cost(e, relative_times.get(e.id, 1.0)),
            default=None,
        )

    def record_start(self, endpoint: str) -> None:
        """Count a request that starts at an endpoint."""
        self._running[endpoint] = self._running.get(endpoint, 0) + 1

    def record_end(self, endpoint: str) -> None:
        """Stop counting a request that has ended."""
        remaining = self._running.get(endpoint, 1) - 1
        if remaining > 0:
            self._running[endpoint] = remaining
        else:
            self._running.pop(endpoint, None)

    def record_response(self, endpoint: str, response_s: float, now: float) -> None:
        """Record the time in seconds from sending a request to its whole answer."""
        self._times.record(endpoint, response_s, now)

    def _calculate_cost(self, endpoint: ServiceEndpoint, relative_time: float) -> float:
        """Return the cost of one more request at an endpoint.

        Parameters
        ----------
        relative_time
            Time that the endpoint takes for a request; 1 is the median.
        """
        remote = 0.0 if endpoint.data_centre == self._data_centre else _REMOTE_COST
        failing = self._health.failure_share(endpoint.id) * _FAILURE_COST
        running = self._running.get(endpoint.id, 0)
        slowness = (running + 1) * (relative_time - 1.0)
        chance = self._random.random() * _RANDOM_COST
        return running + remote + failing + chance + slowness
