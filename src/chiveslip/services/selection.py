"""Which endpoint of a plain service a call goes to."""

from __future__ import annotations

import random
from collections.abc import Collection
from typing import final

import attrs

from chiveslip.configuration.model import Endpoint
from chiveslip.configuration.model import EndpointKind
from chiveslip.configuration.model import EndpointList
from chiveslip.configuration.model import State

EJECTED_S = 2.0
_FAILURES_TO_EJECT = 2


@attrs.define
class _Health:
    failures: int = 0
    ejected_until: float = float("-inf")
    running: int = 0


@final
class ServiceSelection:
    """Chooses among endpoints by what this instance has seen of them.

    Endpoints of the own data centre go first while they have room. Endpoints that
    failed twice in a row are passed over for a while, but never all of them.
    """

    def __init__(self, data_centre: str, generator: random.Random) -> None:
        self._data_centre = data_centre
        self._random = generator
        self._health: dict[str, _Health] = {}

    def choose(
        self, service: str, endpoints: EndpointList, tried: Collection[str], now: float
    ) -> Endpoint | None:
        """Return the endpoint for the next try, or None if none is left."""
        live = [
            e
            for e in endpoints.endpoints.values()
            if e.kind is EndpointKind.SERVICE
            and e.serves == service
            and e.state is State.LIVE
            and e.id not in tried
        ]
        if not live:
            return None
        sound = [e for e in live if self._of(e.id).ejected_until <= now] or live
        free = [e for e in sound if self._of(e.id).running < e.concurrency] or sound
        near = [e for e in free if e.data_centre == self._data_centre] or free
        pair = self._random.sample(near, min(2, len(near)))
        return min(pair, key=lambda e: self._of(e.id).running / e.concurrency)

    def started(self, endpoint: str) -> None:
        """Note that a call was sent to `endpoint`."""
        self._of(endpoint).running += 1

    def ended(self, endpoint: str, *, failed: bool, now: float) -> None:
        """Note how a call ended."""
        health = self._of(endpoint)
        health.running -= 1
        self.judged(endpoint, failed=failed, now=now)

    def judged(self, endpoint: str, *, failed: bool, now: float) -> None:
        """Note a failure, or a success that clears earlier ones."""
        health = self._of(endpoint)
        if not failed:
            health.failures = 0
            health.ejected_until = float("-inf")
            return
        health.failures += 1
        if health.failures >= _FAILURES_TO_EJECT:
            health.ejected_until = now + EJECTED_S

    def _of(self, endpoint: str) -> _Health:
        return self._health.setdefault(endpoint, _Health())
