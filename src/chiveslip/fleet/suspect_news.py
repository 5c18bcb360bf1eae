"""Decides which crash suspects a gossip message tells.

After the crash of a busy endpoint each request that it ran is a suspect, hundreds in a
large fleet. Every instance passes each of them on a limited number of times, which
reaches all with near certainty. Suspects of several crashes are few; they are told as
long as they are kept.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import final

# Messages that tell a crash, for each peer that an instance sends requests to in a
# round: it sends a request and a reply to each on average, so two rounds.
_MESSAGES_PER_PEER = 4

Crashes = Mapping[str, Mapping[str, float]]
"""Local time in seconds of each crash, by fingerprint and endpoint."""


@final
class SuspectNews:
    """Counts how often this instance has told each crash."""

    def __init__(self) -> None:
        self._times_told: dict[tuple[str, str], int] = {}

    def select(self, crashes: Crashes, fan_out: int) -> Crashes:
        """Return the crashes to tell in the next message.

        Parameters
        ----------
        fan_out
            Number of peers that this instance sends requests to in one round.
        """
        max_times = _MESSAGES_PER_PEER * fan_out
        known = {(f, endpoint) for f, ends in crashes.items() for endpoint in ends}
        told = {crash: n for crash, n in self._times_told.items() if crash in known}
        self._times_told = told
        return {
            fingerprint: endpoints
            for fingerprint, endpoints in crashes.items()
            if len(endpoints) > 1
            or any(told.get((fingerprint, e), 0) < max_times for e in endpoints)
        }

    def record_told(self, crashes: Iterable[tuple[str, str]]) -> None:
        """Count crashes, by fingerprint and endpoint, that a peer received."""
        for crash in crashes:
            self._times_told[crash] = self._times_told.get(crash, 0) + 1
