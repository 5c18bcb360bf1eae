"""Requests that were running when their endpoint broke off.

A request whose endpoint crashed is a suspect. A suspect that has broken off twice
is blocked everywhere for a while; its fingerprint goes round with the heartbeats.
"""

from __future__ import annotations

from typing import final

import attrs

MOST_CRASHES = 2
MEMORY_S = 120.0
_MOST_SUSPECTS = 1000


@attrs.frozen(kw_only=True)
class KnownSuspect:
    """What is known of a suspect; `age_s` in seconds since its last crash."""

    crashes: int
    age_s: float


@attrs.define
class _Suspect:
    crashes: int
    seen_at: float


@final
class CrashSuspects:
    """Fingerprints of suspect requests at one instance."""

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}

    def crashed(self, fingerprint: str, now: float) -> None:
        """Note that an endpoint broke off while it ran the request."""
        self._expire(now)
        suspect = self._suspects.setdefault(fingerprint, _Suspect(0, now))
        suspect.crashes += 1
        suspect.seen_at = now

    def heard(self, fingerprint: str, crashes: int, seen_at: float, now: float) -> None:
        """Take over what a peer knows; the higher count holds.

        Parameters
        ----------
        seen_at
            Time of the last crash on the local clock, so that news that go round
            grow old.
        """
        if now >= seen_at + MEMORY_S:
            return
        suspect = self._suspects.setdefault(fingerprint, _Suspect(0, seen_at))
        suspect.crashes = max(suspect.crashes, crashes)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether the request must not run now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now >= suspect.seen_at + MEMORY_S:
            return False
        return suspect.crashes >= MOST_CRASHES

    def known(self, now: float) -> dict[str, KnownSuspect]:
        """Return all suspects, for the peers."""
        self._expire(now)
        return {
            name: KnownSuspect(crashes=suspect.crashes, age_s=now - suspect.seen_at)
            for name, suspect in self._suspects.items()
        }

    def _expire(self, now: float) -> None:
        old = [n for n, s in self._suspects.items() if now >= s.seen_at + MEMORY_S]
        for name in old:
            del self._suspects[name]
        while len(self._suspects) > _MOST_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]
