"""The endpoints that the store lists, and when each was last heard of."""

from __future__ import annotations

import enum
from typing import final

import attrs

from chiveslip.settings.fields import Address


class EndpointState(enum.Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class ListedEndpoint:
    """An endpoint as it describes itself.

    Attributes
    ----------
    started
        Time of its start as it gives it, an opaque number that differs between two
        starts under the same id; 0 where it gives none.
    adapters
        Adapters it held at the time of its entry, as MODEL/NAME with a version.
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


@final
class EndpointDirectory:
    """Endpoints by id and by service."""

    def __init__(self) -> None:
        self._by_id: dict[str, ListedEndpoint] = {}
        self._ready: dict[str, list[ListedEndpoint]] = {}

    @property
    def by_id(self) -> dict[str, ListedEndpoint]:
        """All listed endpoints, also those that leave."""
        return self._by_id

    def put(self, endpoint: ListedEndpoint) -> None:
        """Add an endpoint, or take over what it says now."""
        self._by_id[endpoint.id] = endpoint
        self._ready.clear()

    def remove(self, endpoint: str) -> None:
        """Drop an endpoint that is gone or whose entry cannot be read."""
        self._by_id.pop(endpoint, None)
        self._ready.clear()

    def is_ready(self, endpoint: str) -> bool:
        """Return whether an endpoint takes new work now."""
        listed = self._by_id.get(endpoint)
        return listed is not None and listed.state is EndpointState.READY

    def ready(self, service: str) -> list[ListedEndpoint]:
        """Return the endpoints of `service` that take new work, in a fixed order."""
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
