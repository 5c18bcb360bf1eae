"""Routes, services and organisations of one configuration, ready for lookups."""

from __future__ import annotations

import enum
import random
from collections.abc import Mapping

import attrs


class Repeat(enum.Enum):
    """What may be repeated after a request has been sent."""

    ONCE = "once"
    """Never sent twice, unless an endpoint says that it did not run."""
    RESUMABLE = "resumable"
    """A stream that another endpoint may go on with after its last event."""
    FREELY = "freely"
    """Idempotent."""


@attrs.frozen(kw_only=True)
class Route:
    """Requests for one host whose path begins with a prefix.

    Attributes
    ----------
    timeout_s
        Longest time in seconds that a caller is kept waiting.
    target_s
        Time in seconds to the answer, of a stream to its first event.
    patience_s
        Time in seconds after which a caller leaves that has seen no event of its
        stream; the timeout where the answer is no stream.
    priority
        Rank, 0 being the most urgent.
    services
        Names of services with the share of requests that each gets.
    most_tries
        Endpoints that one request may be sent to.
    is_public
        Whether a request needs no key.
    """

    name: str
    host: str
    prefix: str
    is_stream: bool
    repeat: Repeat
    timeout_s: float
    target_s: float
    patience_s: float
    priority: int
    services: tuple[tuple[str, float], ...]
    most_tries: int
    is_public: bool

    def choose_service(self, generator: random.Random) -> str:
        """Return the service that the next request goes to."""
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        weights = [weight for _, weight in self.services]
        return generator.choices(names, weights)[0]


@attrs.frozen(kw_only=True)
class EngineLimits:
    """What each engine of a service has.

    Attributes
    ----------
    slots
        Requests that run at once.
    cache_tokens
        Memory in tokens.
    adapter_places
        Adapters that are present or on their way at once.
    models
        Base models with the memory in MB that each takes.
    memory_mb
        Memory in MB for base models and adapters.
    model_loads_per_s
        Loads of base models from the store that all engines together may begin.
    """

    slots: int
    cache_tokens: int
    adapter_places: int
    models: Mapping[str, float]
    memory_mb: float
    model_loads_per_s: float


@attrs.frozen(kw_only=True)
class Service:
    """A service and, where engines run it, their limits."""

    name: str
    most_connections: int
    engine: EngineLimits | None = None


@attrs.frozen(kw_only=True)
class Organisation:
    """A caller's organisation and its allowance.

    Attributes
    ----------
    rate
        Units (tokens or requests) a second; 0 for no limit.
    burst
        Units that may be used at once.
    plain_units
        Units of a request that declares none.
    priority
        Rank of all its requests, or None where the route's holds.
    """

    name: str
    priority: int | None
    rate: float
    burst: float
    counts_tokens: bool
    plain_units: float


@attrs.frozen(kw_only=True)
class RoutingTable:
    """One configuration in force.

    Attributes
    ----------
    version
        Rises with each configuration.
    routes
        Routes by host, the longest prefix first.
    keys
        Organisations by the hash of a key.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    keys: Mapping[str, Organisation]
    needs_keys: bool

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host, the longest prefix first."""
    found: dict[str, list[Route]] = {}
    for route in routes:
        found.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(of_host, key=lambda route: -len(route.prefix)))
        for host, of_host in found.items()
    }
