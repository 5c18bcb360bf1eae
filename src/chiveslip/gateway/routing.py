"""Routes, services and organisations of one configuration, indexed for lookups."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Mapping

import attrs

from chiveslip.gateway.regions import AllowedRegions


class RetryPolicy(enum.Enum):
    """Whether a request may be sent again after an endpoint may have run it."""

    AT_MOST_ONCE = "once"
    """May be sent again only if the endpoint says that it did not run the request."""
    RESUMABLE = "resumable"
    """A stream that another endpoint can resume after the last whole event."""
    IDEMPOTENT = "freely"
    """May be sent again after any failure."""


@attrs.frozen(kw_only=True)
class Route:
    """Rules for requests to one host whose path starts with a prefix.

    Attributes
    ----------
    timeout_s
        Maximum time in seconds from the arrival of a request to its answer.
    target_latency_s
        Objective in seconds for the time to the answer, or to the first event of a
        stream.
    max_first_event_wait_s
        Time in seconds after which a caller without an event of its stream
        disconnects; equal to `timeout_s` for answers that are not streamed.
    priority
        Priority of requests; 0 is the most urgent.
    services
        Names of services, each with the weight of its share of requests.
    max_runs
        Maximum number of attempts that may have run the request. Attempts that
        surely did not run it are not counted.
    is_public
        Whether a request needs no key.
    has_sessions
        Whether the last part of a prompt belongs to a session, whose requests share
        it.
    allowed_regions
        Regions whose endpoints its requests may be sent to, or None for all.
    """

    name: str
    host: str
    prefix: str
    is_stream: bool
    retry_policy: RetryPolicy
    timeout_s: float
    target_latency_s: float
    max_first_event_wait_s: float
    priority: int
    services: tuple[tuple[str, float], ...]
    max_runs: int
    is_public: bool
    has_sessions: bool = False
    allowed_regions: AllowedRegions = None

    def choose_service(self, generator: random.Random) -> str:
        """Return a service for the next request, chosen at random by weight."""
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        weights = [weight for _, weight in self.services]
        return generator.choices(names, weights)[0]


@attrs.frozen(kw_only=True)
class EngineCapacity:
    """Capacity of each engine of a service.

    Attributes
    ----------
    slots
        Requests that run concurrently.
    cache_tokens
        Size of the KV cache in tokens.
    adapter_slots
        Adapters that may be loaded or loading at the same time.
    models
        Base models with the memory in MB that each takes.
    memory_mb
        Memory in MB for base models and adapters.
    model_loads_per_s
        Loads of base models from the store that all engines together may start per
        second.
    """

    slots: int
    cache_tokens: int
    adapter_slots: int
    models: Mapping[str, float]
    memory_mb: float
    model_loads_per_s: float


def has_scarce_adapter_slots(capacity: EngineCapacity) -> bool:
    """Return whether an engine runs more requests than it can hold adapters."""
    return capacity.adapter_slots < capacity.slots


@attrs.frozen(kw_only=True)
class Service:
    """A plain service, or a service that engines run.

    Attributes
    ----------
    max_connections
        Connection limit of the configuration; the gateway does not enforce it.
    engine
        Capacity of each of its engines, or None for a plain service.
    cold_per_s
        Requests a second that a cold endpoint takes from all instances together; 0 for
        no limit.
    cold_start_s
        Time in seconds for which an endpoint is cold after its start.
    """

    name: str
    max_connections: int
    engine: EngineCapacity | None = None
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0


@attrs.frozen(kw_only=True)
class Organisation:
    """An organisation and its allowance.

    Attributes
    ----------
    rate
        Units (tokens or requests) per second; 0 for no limit.
    burst
        Units that may be used at once.
    counts_tokens
        Whether units are tokens rather than requests.
    default_units
        Units of a request that declares no tokens.
    priority
        Priority of all its requests, or None to use the route's.
    allowed_regions
        Regions whose endpoints its requests may be sent to, or None for all.
    """

    name: str
    priority: int | None
    rate: float
    burst: float
    counts_tokens: bool
    default_units: float
    allowed_regions: AllowedRegions = None


@attrs.frozen(kw_only=True)
class RoutingTable:
    """The routes, services and keys of one configuration.

    Attributes
    ----------
    version
        Increases with each configuration.
    routes
        Routes by host, the longest prefix first.
    keys
        Organisations by the hash of a key.
    requires_keys
        Whether requests to routes that are not public need a key.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    keys: Mapping[str, Organisation]
    requires_keys: bool

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_shortest_target_s(self, service: str) -> float:
        """Return the shortest latency objective in seconds of routes to a service."""
        return min(
            (
                route.target_latency_s
                for routes in self.routes.values()
                for route in routes
                if any(name == service for name, _ in route.services)
            ),
            default=math.inf,
        )

    def is_for_engine(self, service: str) -> bool:
        """Return whether engines run a service."""
        found = self.services.get(service)
        return found is not None and found.engine is not None


def group_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host, the longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.prefix)))
        for host, group in grouped.items()
    }
