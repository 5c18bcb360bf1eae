"""Requests that engines failed without an answer, counted over all instances.

An engine can report that it is well and fail every request. An instance of a large
fleet sends a request to each engine only every ten seconds, so it would learn that by
losing its own ones. Instances therefore tell each other how many requests failed.
"""

from __future__ import annotations

import math
from typing import final

import attrs

from chiveslip.gateway.endpoints import ListedEndpoint

# Time constant with which failures are forgotten.
_WINDOW_S = 3.0
# Fewer failures over all instances can be chance.
_MIN_FAILURES = 2.0
_MIN_TOLD_FAILURES = 0.1
# An instance that has sent fewer requests within the window does not know their rate.
_MIN_OWN_REQUESTS = 3.0

EngineStart = tuple[str, int]
"""Engine and the number of its start: a restart ends what caused the failures."""


@attrs.frozen
class _Count:
    failures: float
    counted_at: float

    def at(self, now: float) -> float:
        return self.failures * math.exp(min(self.counted_at - now, 0.0) / _WINDOW_S)


_NO_FAILURES = _Count(0.0, 0.0)


@final
class EngineFailures:
    """Decaying counts of failed requests, own ones and those of peers."""

    def __init__(self) -> None:
        self._own: dict[EngineStart, _Count] = {}
        self._peers: dict[EngineStart, dict[str, _Count]] = {}
        self._requests = _NO_FAILURES

    def record_request(self, now: float) -> None:
        """Count a request of this instance, at whichever engine."""
        self._requests = _Count(self._requests.at(now) + 1.0, now)

    def record_failure(self, engine: ListedEndpoint, now: float) -> None:
        """Count a request of this instance that an engine failed."""
        start = (engine.id, engine.started)
        count = self._own.get(start, _NO_FAILURES)
        self._own[start] = _Count(count.at(now) + 1.0, now)

    def own_failures(self, now: float) -> dict[EngineStart, float]:
        """Return the own recent failures, to tell peers, and forget older ones."""
        self._forget_old_peer_failures(now)
        failures = {start: count.at(now) for start, count in self._own.items()}
        recent = {s: f for s, f in failures.items() if f >= _MIN_TOLD_FAILURES}
        self._own = {start: self._own[start] for start in recent}
        return recent

    def apply_peer_failures(
        self, peer: str, failures: dict[EngineStart, float], counted_at: float
    ) -> None:
        """Replace what a peer has told.

        Parameters
        ----------
        counted_at
            Local time in seconds at which the peer counted them.
        """
        for counts in self._peers.values():
            counts.pop(peer, None)
        for start, count in failures.items():
            if 0.0 <= count < math.inf:
                self._peers.setdefault(start, {})[peer] = _Count(count, counted_at)
        self._peers = {start: counts for start, counts in self._peers.items() if counts}

    def _forget_old_peer_failures(self, now: float) -> None:
        for counts in self._peers.values():
            old = [p for p, c in counts.items() if c.at(now) < _MIN_TOLD_FAILURES]
            for peer in old:
                del counts[peer]
        self._peers = {start: counts for start, counts in self._peers.items() if counts}

    def failing_share(
        self, engine: ListedEndpoint, instances: int, engines: int, now: float
    ) -> float:
        """Return the estimated share of an engine's requests that it fails, 0 to 1.

        Parameters
        ----------
        instances, engines
            How many there are; instances are assumed to send as much as this one, and
            engines to receive as much as each other.
        """
        start = (engine.id, engine.started)
        if start not in self._own and start not in self._peers:
            return 0.0
        failures = self._own.get(start, _NO_FAILURES).at(now)
        failures += sum(count.at(now) for count in self._peers.get(start, {}).values())
        if failures < _MIN_FAILURES:
            return 0.0
        own_requests = max(self._requests.at(now), _MIN_OWN_REQUESTS)
        expected = own_requests * instances / max(engines, 1)
        return failures / max(expected, failures)
