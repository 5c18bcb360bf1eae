"""Plain services: the endpoint with the fewest requests, near ones first.

Answers the load of short calls against endpoints with few slots, which refuse what
they have no room for. Both ways in use it: the gateway's and the product's own.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from collections.abc import Iterable
from typing import Protocol
from typing import TypeVar
from typing import final

from chiveslip.services.health import EndpointHealth

# A call to another data centre costs a millisecond or two, less than a tenth of the
# work of a call; it is worth one request fewer in front.
_FAR_COST = 0.75
# An endpoint that fails every request counts as this many requests in front.
_FAILING_COST = 4.0
# Among endpoints that cost about the same, chance decides.
_CHANCE_COST = 0.5


class ServiceEndpoint(Protocol):
    """What the choice has to know of an endpoint."""

    @property
    def id(self) -> str:
        """Name of the endpoint."""

    @property
    def data_centre(self) -> str:
        """Where it runs."""


AnyEndpoint = TypeVar("AnyEndpoint", bound=ServiceEndpoint)


@final
class ServiceChoice:
    """Chooses among endpoints by what this instance has under way and has seen."""

    def __init__(
        self, health: EndpointHealth, data_centre: str, generator: random.Random
    ) -> None:
        self._health = health
        self._data_centre = data_centre
        self._random = generator
        self._running: dict[str, int] = {}

    @property
    def health(self) -> EndpointHealth:
        """What was seen of the endpoints."""
        return self._health

    def choose(
        self, endpoints: Iterable[AnyEndpoint], tried: Collection[str], now: float
    ) -> AnyEndpoint | None:
        """Return the endpoint for the next try, or None if none is left."""
        left = [endpoint for endpoint in endpoints if endpoint.id not in tried]
        sound = [e for e in left if self._health.is_sound(e.id, now)] or left
        return min(sound, key=self._cost) if sound else None

    def begins(self, endpoint: str) -> None:
        """Count a request."""
        self._running[endpoint] = self._running.get(endpoint, 0) + 1

    def ends(self, endpoint: str) -> None:
        """Count a request no more."""
        left = self._running.get(endpoint, 1) - 1
        if left > 0:
            self._running[endpoint] = left
        else:
            self._running.pop(endpoint, None)

    def _cost(self, endpoint: ServiceEndpoint) -> float:
        far = 0.0 if endpoint.data_centre == self._data_centre else _FAR_COST
        failing = self._health.failing_share(endpoint.id) * _FAILING_COST
        running = self._running.get(endpoint.id, 0)
        return running + far + failing + self._random.random() * _CHANCE_COST
