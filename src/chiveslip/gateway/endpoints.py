"""Directory of the endpoints that are listed in the store."""

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
        """All listed endpoints, including those that are leaving."""
        return self._by_id

    def put(self, endpoint: ListedEndpoint) -> None:
        """Add an endpoint or replace its description."""
        self._by_id[endpoint.id] = endpoint
        self._ready.clear()

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint, if it is listed."""
        self._by_id.pop(endpoint, None)
        self._ready.clear()

    def accepts_work(self, chosen: ListedEndpoint) -> bool:
        """Return whether an endpoint that was chosen earlier still takes new work.

        An id or an address that has been used again since belongs to another endpoint.
        """
        listed = self._by_id.get(chosen.id)
        return (
            listed is not None
            and listed.state is EndpointState.READY
            and listed.address == chosen.address
            and listed.service == chosen.service
            and listed.started == chosen.started
        )

    def find_ready(self, service: str) -> list[ListedEndpoint]:
        """Return the endpoints of `service` that take new work, sorted by id."""
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
