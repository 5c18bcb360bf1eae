"""Configuration after validation and rendering, and the platform's two lists."""

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
    """What runs at an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen(kw_only=True)
class Key:
    """A caller's API key; only its SHA-256 hash is stored."""

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
        From 0, which is served first, to 9.
    weight
        Share of a busy engine relative to the weights of other organisations.
    adapters
        Patterns of the adapters that the organisation may use, as in `fnmatch`.
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
        """Return whether one of the adapter patterns matches `adapter`."""
        return any(fnmatch.fnmatchcase(adapter, p) for p in self.adapters)


@attrs.frozen(kw_only=True)
class Adapter:
    """An adapter and its versions; a call that names no version gets `current`."""

    name: str
    base_model: str
    current: str
    versions: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Route:
    """A path prefix whose calls go to a plain service.

    Attributes
    ----------
    idempotent
        Whether a call may be sent again after a failure.
    open
        Whether calls need no API key.
    tokens
        Cost of one call to its organisation's allowance, in tokens.
    """

    prefix: str
    methods: tuple[str, ...]
    service: str
    idempotent: bool
    open: bool
    tokens: float


@attrs.frozen(kw_only=True)
class WeightStore:
    """Limits on adapter loads from the weight store, over the whole fleet.

    Attributes
    ----------
    loads_per_s
        Loads started per second.
    loads_in_flight
        Loads expected to run at the same time; half of them may start at once.
    """

    loads_per_s: float
    loads_in_flight: int


@attrs.frozen(kw_only=True)
class Configuration:
    """One accepted revision of the configuration.

    Attributes
    ----------
    keys
        Organisation and key by the key's hash.
    """

    revision: int
    organisations: dict[str, Organisation]
    adapters: dict[str, Adapter]
    routes: tuple[Route, ...]
    weight_store: WeightStore
    keys: dict[str, tuple[Organisation, Key]] = attrs.field(repr=False)

    def find_route(self, path: str) -> Route | None:
        """Return the route with the longest prefix that matches `path`, or None."""
        matching = [r for r in self.routes if path.startswith(r.prefix)]
        return max(matching, key=lambda r: len(r.prefix), default=None)


@attrs.frozen(kw_only=True)
class Instance:
    """An instance in the platform's list.

    Attributes
    ----------
    peers
        Address at which it serves other instances.
    """

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
        Maximum number of adapters that an engine holds at once.
    concurrency
        Maximum number of calls that the endpoint runs at once.
    checks_fencing
        Whether the engine refuses an order with an outdated fencing number.
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

    def accepts_calls(self, chosen: Endpoint) -> bool:
        """Return whether an endpoint that was chosen earlier still accepts new calls.

        An id or an address that has been used again since belongs to another endpoint.
        """
        listed = self.endpoints.get(chosen.id)
        return (
            listed is not None
            and listed.state is State.LIVE
            and listed.address == chosen.address
            and listed.kind is chosen.kind
            and listed.serves == chosen.serves
        )

    def live_service_endpoints(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a plain service that accept new calls."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.kind is EndpointKind.SERVICE
            and endpoint.serves == service
            and endpoint.state is State.LIVE
        ]
