"""Decides whether this instance delivers a request itself or has a peer do so.

A peer delivers it if this instance has lost its paths to the service, or if the
endpoints that suit the request are brittle and this instance has no room there. The
module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import final

import attrs

from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.paths import EndpointPaths
from chiveslip.gateway.regions import AllowedRegions
from chiveslip.gateway.rooms import EndpointRooms


@attrs.frozen(kw_only=True)
class Delivery:
    """Who may deliver a request.

    Attributes
    ----------
    is_local_first
        Whether this instance delivers it without asking a peer.
    is_local_possible
        Whether this instance may still deliver it if no peer takes it.
    """

    is_local_first: bool
    is_local_possible: bool


LOCAL_DELIVERY = Delivery(is_local_first=True, is_local_possible=True)


@final
class Deliveries:
    """Chooses between this instance and its peers.

    Parameters
    ----------
    live_instances
        Returns the names of the live instances, this one included.
    has_adapter
        Returns whether an engine, given by its id, holds an adapter.
    without_paths
        Returns the other instances that say that they have lost their paths to a
        service.
    """

    def __init__(
        self,
        *,
        instance: str,
        directory: EndpointDirectory,
        paths: EndpointPaths,
        rooms: EndpointRooms,
        live_instances: Callable[[], Iterable[str]],
        has_adapter: Callable[[str, str], bool],
        without_paths: Callable[[str], Iterable[str]],
    ) -> None:
        self._instance = instance
        self._directory = directory
        self._paths = paths
        self._rooms = rooms
        self._live_instances = live_instances
        self._has_adapter = has_adapter
        self._without_paths = without_paths

    def choose(
        self, service: str, adapter: str = "", allowed: AllowedRegions = None
    ) -> Delivery:
        """Return who may deliver a request of a service.

        Parameters
        ----------
        adapter
            Adapter that the request needs, or empty.
        allowed
            Regions that it may be sent to, or None for all.
        """
        if self._paths.is_cut(service):
            has_room = self._has_room(service, allowed)
            is_possible = self._paths.may_reach(service) and has_room
            return Delivery(is_local_first=False, is_local_possible=is_possible)
        if not self._rooms.is_brittle(service):
            return LOCAL_DELIVERY
        suitable = self._find_suitable(service, adapter, allowed)
        return Delivery(
            is_local_first=any(map(self._rooms.has_room, suitable)),
            is_local_possible=self._has_room(service, allowed),
        )

    def can_deliver(self, service: str) -> bool:
        """Return whether this instance can deliver a request for a peer.

        One that has just started may know no endpoint yet.
        """
        return (
            bool(self._directory.find_ready(service))
            and not self._paths.is_cut(service)
            and self._has_room(service)
        )

    def find_peers(
        self, service: str, adapter: str = "", allowed: AllowedRegions = None
    ) -> list[str]:
        """Return the other instances that may deliver a request, sorted by name."""
        peers = set(self._live_instances())
        peers.discard(self._instance)
        if self._rooms.is_brittle(service):
            suitable = self._find_suitable(service, adapter, allowed)
            peers &= self._rooms.find_holders(suitable)
        # If all say so, the paths of some may be back since.
        return sorted(peers.difference(self._without_paths(service)) or peers)

    def _has_room(self, service: str, allowed: AllowedRegions = None) -> bool:
        if not self._rooms.is_brittle(service):
            return True
        ready = self._directory.find_ready(service, allowed)
        return any(map(self._rooms.has_room, ready))

    def _find_suitable(
        self, service: str, adapter: str, allowed: AllowedRegions
    ) -> list[ListedEndpoint]:
        """Return the endpoints that hold an adapter; all of them if none does."""
        ready = self._directory.find_ready(service, allowed)
        holding = [e for e in ready if adapter and self._has_adapter(e.id, adapter)]
        return holding or ready
