"""Directory of the endpoints that are listed in the store."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from typing import final

import attrs

from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoint_statements import Incarnation
from chiveslip.gateway.evacuations import Evacuations
from chiveslip.gateway.regions import AllowedRegions
from chiveslip.gateway.regions import Regions
from chiveslip.settings.fields import Address


class EndpointState(enum.Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class ListedEndpoint:
    """An endpoint's description of itself.

    Attributes
    ----------
    slots
        Requests that it runs concurrently.
    started
        Start time that the endpoint publishes, an opaque number that differs between
        two starts under the same id; 0 if it publishes none.
    models
        Base models that were loaded when the entry was written.
    adapters
        Adapters that were loaded when the entry was written, each as MODEL/NAME and
        version.
    cold_remaining_s
        Time in seconds for which it was cold when the entry was written; 0 if it was
        not, or does not say so.
    """

    id: str
    service: str
    address: Address
    data_centre: str
    slots: int
    state: EndpointState
    started: int
    models: tuple[str, ...] = ()
    adapters: frozenset[tuple[str, int]] = frozenset()
    cold_remaining_s: float = 0.0

    @property
    def incarnation(self) -> Incarnation:
        """The start of the endpoint that is described."""
        return Incarnation(self.id, self.started, self.address)


@final
class EndpointDirectory:
    """Endpoints by id and by service, with what they said of themselves.

    Parameters
    ----------
    has_room
        Returns whether this instance may have one more request at an endpoint.
    limits
        Limits that endpoints named, or None if nothing is limited.
    evacuations
        Data centres whose endpoints get nothing, or None if there are none. Their
        endpoints stay listed, so that they are known when they return.
    regions
        Regions of the data centres, or None if each is a region by itself.
    """

    def __init__(
        self,
        statements: EndpointStatements,
        has_room: Callable[[ListedEndpoint], bool] = lambda _endpoint: True,
        limits: EndpointLimits | None = None,
        evacuations: Evacuations | None = None,
        regions: Regions | None = None,
    ) -> None:
        self._regions = regions or Regions()
        self._statements = statements
        self._has_room = has_room
        self._limits = limits
        self._evacuations = evacuations or Evacuations()
        self._by_id: dict[str, ListedEndpoint] = {}
        self._ready: dict[str, list[ListedEndpoint]] = {}
        self._by_address: dict[Address, ListedEndpoint] = {}

    @property
    def services(self) -> set[str]:
        """Names of all services that have a listed endpoint."""
        return {endpoint.service for endpoint in self._by_id.values()}

    @property
    def by_id(self) -> dict[str, ListedEndpoint]:
        """All listed endpoints, including those that are leaving."""
        return self._by_id

    def put(self, endpoint: ListedEndpoint) -> None:
        """Add an endpoint or replace its description."""
        self.remove(endpoint.id)
        self._by_id[endpoint.id] = endpoint
        self._by_address[endpoint.address] = endpoint

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint, if it is listed."""
        self._ready.clear()
        removed = self._by_id.pop(endpoint, None)
        if removed is not None and self._by_address.get(removed.address) is removed:
            del self._by_address[removed.address]

    def find_at(self, address: Address) -> ListedEndpoint | None:
        """Return the endpoint that was listed last at an address, or None."""
        return self._by_address.get(address)

    def accepts_work(
        self, chosen: ListedEndpoint, allowed: AllowedRegions = None
    ) -> bool:
        """Return whether an endpoint that was chosen earlier still takes new work.

        An id or an address that has been used again since belongs to another endpoint.

        Parameters
        ----------
        allowed
            Regions that the request may be sent to, or None for all.
        """
        listed = self._by_id.get(chosen.id)
        return (
            listed is not None
            and listed.state is EndpointState.READY
            and listed.address == chosen.address
            and listed.service == chosen.service
            and listed.started == chosen.started
            and self._regions.allows(listed.data_centre, allowed)
            and not self._declines_work(listed)
        )

    def is_evacuated(self, endpoint: ListedEndpoint) -> bool:
        """Return whether the data centre of an endpoint is evacuated."""
        return self._evacuations.is_evacuated(endpoint.data_centre)

    def _declines_work(self, endpoint: ListedEndpoint) -> bool:
        if self.is_evacuated(endpoint) or not self._has_room(endpoint):
            return True
        if self._statements.is_empty:
            return False
        incarnation = endpoint.incarnation
        return (
            self._statements.is_leaving(incarnation)
            or self._statements.rest_s(incarnation) > 0
        )

    def find_available(
        self, service: str, allowed: AllowedRegions = None
    ) -> list[ListedEndpoint]:
        """Return the ready endpoints of `service` that want requests now.

        Parameters
        ----------
        allowed
            Regions that the request may be sent to, or None for all.
        """
        return [
            endpoint
            for endpoint in self._find_allowed(service, allowed)
            if not self._declines_work(endpoint) and self._spent_s(endpoint) <= 0
        ]

    def _spent_s(self, endpoint: ListedEndpoint) -> float:
        if self._limits is None or self._limits.is_empty:
            return 0.0
        return self._limits.spent_s(endpoint.incarnation)

    def _find_allowed(
        self, service: str, allowed: AllowedRegions
    ) -> list[ListedEndpoint]:
        found = self._find_listed_ready(service)
        if allowed is None:
            return found
        return [e for e in found if self._regions.allows(e.data_centre, allowed)]

    def spent_s(self, service: str, allowed: AllowedRegions = None) -> float:
        """Return the time in seconds until a limited endpoint may be chosen; or 0.

        Only endpoints count that would be available but for their limit.
        """
        waits = (
            self._spent_s(endpoint)
            for endpoint in self._find_allowed(service, allowed)
            if not self._declines_work(endpoint)
        )
        return min((wait_s for wait_s in waits if wait_s > 0), default=0.0)

    def wait_s(self, service: str, allowed: AllowedRegions = None) -> float:
        """Return the time in seconds until an endpoint may get a request again.

        Endpoints that ask for rest count, and those whose limit is used up; 0 if there
        is none of them.
        """
        waits = (self.rest_s(service, allowed), self.spent_s(service, allowed))
        return min((wait_s for wait_s in waits if wait_s > 0), default=0.0)

    def is_cold(self, endpoint: ListedEndpoint) -> bool:
        """Return whether an endpoint is cold, so that warm ones are preferred."""
        if self._limits is None or self._limits.is_empty:
            return False
        limit = self._limits.find(endpoint.incarnation)
        return limit is not None and limit.is_cold

    def sample_others(
        self, endpoint: ListedEndpoint, generator: random.Random
    ) -> list[ListedEndpoint]:
        """Return a random ready endpoint of the same service and one of another."""
        same = [e for e in self.find_ready(endpoint.service) if e.id != endpoint.id]
        others = sorted(
            (
                other
                for other in self._by_id.values()
                if other.service != endpoint.service
                and other.state is EndpointState.READY
                and not self.is_evacuated(other)
            ),
            key=lambda other: other.id,
        )
        return [generator.choice(group) for group in (same, others) if group]

    def rest_s(self, service: str, allowed: AllowedRegions = None) -> float:
        """Return the time in seconds until a resting endpoint wants requests; or 0."""
        rests = (
            self._statements.rest_s(endpoint.incarnation)
            for endpoint in self.find_ready(service, allowed)
        )
        return min((rest_s for rest_s in rests if rest_s > 0), default=0.0)

    def find_leaving(self, service: str) -> list[Incarnation]:
        """Return the endpoints of `service` that have said that they leave."""
        return [
            endpoint.incarnation
            for endpoint in self._find_listed_ready(service)
            if self._statements.is_leaving(endpoint.incarnation)
        ]

    def find_ready(
        self, service: str, allowed: AllowedRegions = None
    ) -> list[ListedEndpoint]:
        """Return the endpoints of `service` that take new work, sorted by id.

        Those that are leaving do not, nor those in evacuated data centres.

        Parameters
        ----------
        allowed
            Regions that the request may be sent to, or None for all.
        """
        found = self._find_allowed(service, allowed)
        if self._statements.is_empty and self._evacuations.is_empty:
            return found
        is_leaving = self._statements.is_leaving
        return [
            endpoint
            for endpoint in found
            if not is_leaving(endpoint.incarnation) and not self.is_evacuated(endpoint)
        ]

    def _find_listed_ready(self, service: str) -> list[ListedEndpoint]:
        found = self._ready.get(service)
        if found is None:
            found = sorted(
                (
                    endpoint
                    for endpoint in self._by_id.values()
                    if endpoint.service == service
                    and endpoint.state is EndpointState.READY
                ),
                key=lambda endpoint: endpoint.id,
            )
            self._ready[service] = found
        return found
