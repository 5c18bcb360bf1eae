"""Which services this instance cannot open connections to, although others can.

An instance may lose its paths to endpoints while callers, the store and other instances
still reach it. Several endpoints of a service that cannot be reached at once are taken
for such a loss; a single one has failed itself.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from typing import final

import attrs

from chiveslip.clock import Clock

# Endpoints of a service that must be unreachable, unless it has fewer.
MIN_UNREACHED = 3
# A connection that could not be opened counts for this long.
_EVIDENCE_S = 3.0
# A service is probed if its endpoints have answered nothing for this long.
_MAX_SILENCE_S = 0.4
# The same if answers have begun: a busy engine may pause for longer between events.
_MAX_PAUSE_S = 0.8


@attrs.define
class _Wait:
    """A request whose answer is awaited.

    Attributes
    ----------
    since
        Local time in seconds at which it was sent, or at which its answer last went on.
    give_up
        Ends the wait, so that the request can be repeated; None if it cannot be.
    """

    since: float
    give_up: Callable[[], None] | None
    has_head: bool = False


@attrs.define
class _ServicePaths:
    """Evidence of the paths to one service, with local times in seconds.

    Attributes
    ----------
    unreached
        When connections to endpoints could not be opened, since one last could.
    waits
        Requests whose answers are not complete, by their numbers.
    answered_at
        When an answer last began or went on.
    """

    unreached: dict[str, float] = attrs.field(factory=dict)
    waits: dict[int, _Wait] = attrs.field(factory=dict)
    answered_at: float = float("-inf")


@final
class EndpointPaths:
    """Evidence of the paths from this instance to the endpoints of services.

    Parameters
    ----------
    ready_endpoints
        Returns the ids of the endpoints of a service that are listed as ready.
    """

    def __init__(
        self, clock: Clock, ready_endpoints: Callable[[str], Collection[str]]
    ) -> None:
        self._clock = clock
        self._ready_endpoints = ready_endpoints
        self._services: dict[str, _ServicePaths] = {}
        self._next_number = 0

    def record_opened(self, service: str) -> None:
        """Record that a new connection to an endpoint was opened."""
        self._paths(service).unreached.clear()

    def record_not_opened(self, service: str, endpoint: str) -> None:
        """Record that no connection to an endpoint could be opened."""
        self._paths(service).unreached[endpoint] = self._clock.now()

    def record_sent(
        self, service: str, give_up: Callable[[], None] | None = None
    ) -> int:
        """Record that a request was sent, and return its number for the next calls.

        Parameters
        ----------
        give_up
            Ends the wait for the answer, so that the request can be repeated; None if
            it may not be.
        """
        self._next_number += 1
        wait = _Wait(self._clock.now(), give_up)
        self._paths(service).waits[self._next_number] = wait
        return self._next_number

    def record_answer(self, service: str, number: int) -> None:
        """Record that the answer to a request has begun or gone on."""
        paths = self._paths(service)
        wait = paths.waits[number]
        wait.has_head = True
        wait.since = paths.answered_at = self._clock.now()

    def record_end(self, service: str, number: int) -> None:
        """Record that the answer to a request is no longer awaited."""
        del self._paths(service).waits[number]

    def give_up_waiting(self) -> int:
        """End the waits for answers that the lost paths hold up; return their number.

        A request that may be repeated has a better chance through a peer. Nothing is
        given up while answers of the service still arrive: connections that are open
        may outlive the path for new ones.
        """
        silent_since = self._clock.now() - _MAX_SILENCE_S
        held_up = [
            wait
            for service, paths in self._services.items()
            if paths.answered_at <= silent_since and self.is_cut(service)
            for wait in paths.waits.values()
            if wait.give_up is not None and wait.since <= silent_since
        ]
        for wait in held_up:
            assert wait.give_up is not None
            wait.give_up()
            wait.give_up = None
        return len(held_up)

    def is_cut(self, service: str) -> bool:
        """Return whether this instance has lost its paths to a service."""
        unreached = self._recently_unreached(service)
        if not unreached:
            return False
        endpoints = self._ready_endpoints(service)
        unreached = unreached.intersection(endpoints)
        if not unreached or len(unreached) < min(MIN_UNREACHED, len(endpoints)):
            return False
        # One endpoint alone may have failed; that other services are lost too shows
        # that it has not.
        return len(unreached) > 1 or any(
            self._recently_unreached(name) for name in self._services if name != service
        )

    def may_reach(self, service: str) -> bool:
        """Return whether a ready endpoint of a service may still be reached."""
        endpoints = self._ready_endpoints(service)
        return not self._recently_unreached(service).issuperset(endpoints)

    def services_to_probe(self) -> list[str]:
        """Return the services to whose endpoints the paths are in doubt."""
        return [
            name
            for name, paths in self._services.items()
            if self._is_silent(paths) or self._recently_unreached(name)
        ]

    def _is_silent(self, paths: _ServicePaths) -> bool:
        now = self._clock.now()
        return any(
            now - paths.answered_at > _MAX_PAUSE_S
            if wait.has_head
            else paths.answered_at < wait.since < now - _MAX_SILENCE_S
            for wait in paths.waits.values()
        )

    def _recently_unreached(self, service: str) -> set[str]:
        paths = self._services.get(service)
        if paths is None:
            return set()
        since = self._clock.now() - _EVIDENCE_S
        return {name for name, at in paths.unreached.items() if at > since}

    def _paths(self, service: str) -> _ServicePaths:
        paths = self._services.get(service)
        if paths is None:
            paths = self._services[service] = _ServicePaths()
        return paths
