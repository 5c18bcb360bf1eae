"""The configuration as the other parts see it: rendered and checked."""

from __future__ import annotations

import enum
import fnmatch

import attrs

from chiveslip.settings.fields import Address


class State(enum.Enum):
    """State of an instance or endpoint in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class EndpointKind(enum.Enum):
    """What stands behind an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen(kw_only=True)
class Key:
    """A caller's key, known only by its hash."""

    id: str
    hash: str
    withdrawn: bool


@attrs.frozen(kw_only=True)
class Organisation:
    """An organisation rendered from its template and parameters.

    Attributes
    ----------
    rate
        Tokens per second, over the whole fleet.
    burst
        Tokens that may be used at once, over the whole fleet.
    priority
        0 is served first, 9 last.
    weight
        Share of a busy engine against other organisations.
    """

    name: str
    template: str
    rate: float
    burst: float
    priority: int
    weight: float
    adapters: tuple[str, ...]
    keys: tuple[Key, ...]

    def may_use(self, adapter: str) -> bool:
        """Return whether one of the adapter patterns covers `adapter`."""
        return any(fnmatch.fnmatchcase(adapter, p) for p in self.adapters)


@attrs.frozen(kw_only=True)
class Adapter:
    """An adapter and its versions; a call that names none gets `current`."""

    name: str
    base_model: str
    current: str
    versions: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Route:
    """A path prefix that goes to a plain service.

    Attributes
    ----------
    tokens
        What one call counts against its organisation's allowance, in tokens.
    """

    prefix: str
    methods: tuple[str, ...]
    service: str
    idempotent: bool
    open: bool
    tokens: float


@attrs.frozen(kw_only=True)
class WeightStore:
    """What the weight store allows, fleet-wide."""

    loads_per_s: float
    loads_in_flight: int


@attrs.frozen(kw_only=True)
class Configuration:
    """One accepted revision."""

    revision: int
    organisations: dict[str, Organisation]
    adapters: dict[str, Adapter]
    routes: tuple[Route, ...]
    weight_store: WeightStore
    keys: dict[str, tuple[Organisation, Key]] = attrs.field(repr=False)

    def route(self, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`."""
        fitting = [r for r in self.routes if path.startswith(r.prefix)]
        return max(fitting, key=lambda r: len(r.prefix), default=None)


@attrs.frozen(kw_only=True)
class Instance:
    """An instance in the platform's list."""

    id: str
    data_centre: str
    peers: Address
    state: State


@attrs.frozen(kw_only=True)
class InstanceList:
    """The platform's list of instances at one revision."""

    revision: int
    instances: dict[str, Instance]


@attrs.frozen(kw_only=True)
class Endpoint:
    """An endpoint in the platform's list.

    Attributes
    ----------
    serves
        The base model of an engine, the service's name otherwise.
    adapter_slots
        Adapters that an engine holds at once.
    concurrency
        Calls that it runs at once.
    checks_fencing
        Whether the engine refuses an order with an old fencing number.
    """

    id: str
    kind: EndpointKind
    serves: str
    address: Address
    data_centre: str
    state: State
    adapter_slots: int
    concurrency: int
    checks_fencing: bool


@attrs.frozen(kw_only=True)
class EndpointList:
    """The platform's list of endpoints at one revision."""

    revision: int
    endpoints: dict[str, Endpoint]

    def live_of(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a plain service that take new work."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.kind is EndpointKind.SERVICE
            and endpoint.serves == service
            and endpoint.state is State.LIVE
        ]
