"""Requests that are suspected of crashing their endpoints.

A request is a suspect if an exchange with an endpoint was interrupted while it ran,
which counts as a crash of the endpoint. After crashes of two endpoints, the request is
blocked on all instances until the crashes expire; instances exchange their suspects
with the heartbeats. An endpoint counts once per incarnation, however many copies of
the request it was running, so that concurrent copies are not counted twice.
"""

from __future__ import annotations

import math
from typing import final

import attrs

MAX_CRASHES = 2
RETENTION_S = 60.0
_MAX_SUSPECTS = 1000


@attrs.frozen
class CrashedEndpoint:
    """An endpoint that crashed, and its incarnation at that time."""

    endpoint: str
    incarnation: str

    def __str__(self) -> str:
        return f"{self.endpoint}/{self.incarnation}"


@final
class CrashSuspects:
    """Fingerprints of suspect requests, with the endpoints that crashed.

    Parameters
    ----------
    max_crashes
        Number of crashed endpoints at which a request is blocked.
    """

    def __init__(self, max_crashes: int = MAX_CRASHES) -> None:
        self._max_crashes = max_crashes
        self._cleared: dict[str, float] = {}
        self._suspects: dict[str, dict[str, float]] = {}

    def record_crash(
        self, fingerprint: str, endpoint: CrashedEndpoint, now: float
    ) -> None:
        """Record that an endpoint crashed while it ran the request."""
        self.record_peer_crash(fingerprint, str(endpoint), now, now)

    def record_peer_crash(
        self, fingerprint: str, endpoint: str, crashed_at: float, now: float
    ) -> None:
        """Record a crash that a peer reported.

        Parameters
        ----------
        crashed_at
            Local time of the crash in seconds, so that a crash expires although
            peers keep reporting it.
        """
        if now >= crashed_at + RETENTION_S or crashed_at <= self._cleared.get(
            fingerprint, -math.inf
        ):
            return
        crashes = self._suspects.setdefault(fingerprint, {})
        crashes.setdefault(endpoint, crashed_at)
        while len(self._suspects) > _MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    def clear(self, fingerprint: str, now: float) -> None:
        """Clear a request that an endpoint has completed.

        A request that crashes endpoints is assumed to crash every endpoint that
        runs it, so one success disproves the suspicion.
        """
        if self._suspects.pop(fingerprint, None) is None:
            return
        self._cleared[fingerprint] = now
        for name in [
            n
            for n, cleared_at in self._cleared.items()
            if now >= cleared_at + RETENTION_S
        ]:
            del self._cleared[name]

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether the request must not be run now."""
        return self.blocked_for_s(fingerprint, now) > 0

    def blocked_for_s(self, fingerprint: str, now: float) -> float:
        """Return the time in seconds until the request may be run again, or 0."""
        crashes = self._suspects.get(fingerprint, {})
        newest = sorted(crashes.values(), reverse=True)[: self._max_crashes]
        if len(newest) < self._max_crashes:
            return 0.0
        return max(newest[-1] + RETENTION_S - now, 0.0)

    def prune_crashes(self, now: float) -> dict[str, dict[str, float]]:
        """Drop expired crashes; return the others, by fingerprint and endpoint.

        The value of each crash is its time on the local clock in seconds.
        """
        for fingerprint, crashes in list(self._suspects.items()):
            for endpoint in [
                e
                for e, crashed_at in crashes.items()
                if now >= crashed_at + RETENTION_S
            ]:
                del crashes[endpoint]
            if not crashes:
                del self._suspects[fingerprint]
        return self._suspects
