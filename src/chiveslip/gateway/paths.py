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


@attrs.define
class _ServicePaths:
    """Evidence of the paths to one service, with local times in seconds.

    Attributes
    ----------
    unreached
        When connections to endpoints could not be opened, since one last could.
    waiting
        When each request without an answer was sent, by its number.
    """

    unreached: dict[str, float] = attrs.field(factory=dict)
    waiting: dict[int, float] = attrs.field(factory=dict)
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

    def record_sent(self, service: str) -> int:
        """Record that a request was sent; return its number for `record_answer`."""
        self._next_number += 1
        self._paths(service).waiting[self._next_number] = self._clock.now()
        return self._next_number

    def record_answer(self, service: str, number: int, *, is_answered: bool) -> None:
        """Record that a request was answered, or is no longer waited for."""
        paths = self._paths(service)
        paths.waiting.pop(number, None)
        if is_answered:
            paths.answered_at = self._clock.now()

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
        unanswered = [at for at in paths.waiting.values() if at > paths.answered_at]
        now = self._clock.now()
        return bool(unanswered) and min(unanswered) < now - _MAX_SILENCE_S

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
