"""Counts callers that are given up, and logs a bounded number of lines about them."""

from __future__ import annotations

import collections
from typing import final

from chiveslip import logs
from chiveslip.clock import Clock

# Between two lines about one kind.
_INTERVAL_S = 10.0
_MAX_ADDRESSES = 3
# Different addresses that are counted between two lines.
_MAX_COUNTED_ADDRESSES = 1000


@final
class CallerLog:
    """Callers that were refused or whose connections were closed, by kind."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = logs.get_logger("callers")
        self._given_up: collections.Counter[str] = collections.Counter()
        self._unlogged: dict[str, collections.Counter[str]] = {}
        self._logged_at: dict[str, float] = {}

    def record(self, kind: str, address: str) -> None:
        """Count a caller."""
        self._given_up[kind] += 1
        addresses = self._unlogged.setdefault(kind, collections.Counter())
        if address not in addresses and len(addresses) >= _MAX_COUNTED_ADDRESSES:
            address = "others"
        addresses[address] += 1

    def take_given_up(self) -> dict[str, int]:
        """Return how many callers were given up since the last call, by kind."""
        given_up = dict(self._given_up)
        self._given_up.clear()
        return given_up

    def write(self) -> None:
        """Write a line about each kind whose last line is old enough."""
        now = self._clock.now()
        for kind, addresses in list(self._unlogged.items()):
            if now - self._logged_at.get(kind, float("-inf")) < _INTERVAL_S:
                continue
            self._logged_at[kind] = now
            del self._unlogged[kind]
            self._log.warning(
                "Callers given up.",
                kind=kind,
                callers=addresses.total(),
                addresses=dict(addresses.most_common(_MAX_ADDRESSES)),
            )
