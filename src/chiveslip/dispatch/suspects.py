"""Requests that were running when their endpoint broke off.

A request whose endpoint broke off is a suspect. One that two endpoints broke off
under is blocked everywhere for a while; what is known goes round with the
heartbeats. An endpoint counts once per incarnation, however many copies of the
request it was running, so that copies that ran side by side are not blamed twice.
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
    """An endpoint in one of its incarnations."""

    endpoint: str
    incarnation: str

    def __str__(self) -> str:
        return f"{self.endpoint}/{self.incarnation}"


@final
class CrashSuspects:
    """Fingerprints of suspect requests, with the endpoints that broke off.

    Parameters
    ----------
    max_crashes
        Endpoints that a request may take down before it is blocked.
    """

    def __init__(self, max_crashes: int = MAX_CRASHES) -> None:
        self._max_crashes = max_crashes
        self._cleared: dict[str, float] = {}
        self._suspects: dict[str, dict[str, float]] = {}

    def record_crash(
        self, fingerprint: str, endpoint: CrashedEndpoint, now: float
    ) -> None:
        """Note that an endpoint broke off while it ran the request."""
        self.record_peer_crash(fingerprint, str(endpoint), now, now)

    def record_peer_crash(
        self, fingerprint: str, endpoint: str, at: float, now: float
    ) -> None:
        """Take over what a peer knows.

        Parameters
        ----------
        at
            Time of the crash on the local clock, so that news that go round grow
            old.
        """
        if now >= at + RETENTION_S or at <= self._cleared.get(fingerprint, -math.inf):
            return
        crashes = self._suspects.setdefault(fingerprint, {})
        crashes.setdefault(endpoint, at)
        while len(self._suspects) > _MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    def clear(self, fingerprint: str, now: float) -> None:
        """Clear a suspect that an endpoint has run well.

        A request that takes endpoints down takes each one down that runs it.
        """
        if self._suspects.pop(fingerprint, None) is None:
            return
        self._cleared[fingerprint] = now
        for name in [n for n, at in self._cleared.items() if now >= at + RETENTION_S]:
            del self._cleared[name]

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether the request must not run now."""
        return self.blocked_for_s(fingerprint, now) > 0

    def blocked_for_s(self, fingerprint: str, now: float) -> float:
        """Return the time in seconds until the request may run again, or 0."""
        crashes = self._suspects.get(fingerprint, {})
        newest = sorted(crashes.values(), reverse=True)[: self._max_crashes]
        if len(newest) < self._max_crashes:
            return 0.0
        return max(newest[-1] + RETENTION_S - now, 0.0)

    def prune_crashes(self, now: float) -> dict[str, dict[str, float]]:
        """Return the time of each crash by fingerprint and endpoint, for peers."""
        for fingerprint, crashes in list(self._suspects.items()):
            for endpoint in [e for e, at in crashes.items() if now >= at + RETENTION_S]:
                del crashes[endpoint]
            if not crashes:
                del self._suspects[fingerprint]
        return self._suspects
