"""Rate and burst of organisations, counted over all instances without a home.

Each instance counts what it admits itself and tells its peers the sums. A request is
decided at once, from the own bucket less all that peers have told; what they used
since their last message is charged when it is told, so a bucket may fall below
zero and then recovers. Answers the load of one organisation that sends many times
its rate through several instances.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import final

import attrs

from chiveslip.fleet.gossip_schedule import GossipSchedule
from chiveslip.gateway.routing import Organisation

# A request is worth waiting for this much of the bucket at most: a caller that
# waits longer is better told when to come back.
_SHORTEST_PAUSE_S = 0.1
# Until peers have told what they used, all instances together take at most so many
# times what a bucket held, and one of them at most half of it.
_TIMES_BEFORE_NEWS = 4.0
_MOST_BEFORE_NEWS = 0.5


@attrs.define
class _Bucket:
    rate: float
    burst: float
    level: float
    at: float
    slice_ends: float = float("-inf")
    slice_left: float = 0.0


@final
class SharedAllowances:
    """Buckets of all organisations as this instance knows them.

    Parameters
    ----------
    pace
        Returns the pace at which peers learn what this instance used.
    instances
        Returns the number of instances.
    """

    def __init__(
        self, *, pace: Callable[[], GossipSchedule], instances: Callable[[], int]
    ) -> None:
        self._pace = pace
        self._instances = instances
        self._buckets: dict[str, _Bucket] = {}
        self._used: dict[str, float] = {}
        self._told_levels: dict[str, tuple[float, float]] = {}
        self._told: dict[tuple[str, int], dict[str, float]] = {}

    @property
    def used(self) -> dict[str, float]:
        """Units that this instance admitted since its start, by organisation."""
        return self._used

    def admit(
        self, organisation: Organisation, units: float, now: float, *, alone: bool
    ) -> float:
        """Charge a request, or say when it would fit.

        Parameters
        ----------
        alone
            Whether no other instance is alive that could use the bucket.

        Returns
        -------
        float
            0 if the request was charged, else seconds until the bucket is likely
            to cover it.
        """
        name = organisation.name
        if organisation.rate > 0:
            bucket = self._bucket(organisation, now)
            # A request larger than the burst passes when the bucket is full.
            needed = min(units, bucket.burst)
            if bucket.level < needed:
                missing = (needed - bucket.level) / bucket.rate
                return max(missing, _SHORTEST_PAUSE_S)
            if bucket.slice_left <= 0 and not alone:
                return max(bucket.slice_ends - now, _SHORTEST_PAUSE_S)
            bucket.slice_left -= units
            bucket.level -= units
        self._used[name] = self._used.get(name, 0.0) + units
        return 0.0

    def give_back(self, organisation: Organisation, units: float, now: float) -> None:
        """Take back the charge of a request that was not run."""
        name = organisation.name
        self._used[name] = self._used.get(name, 0.0) - units
        if organisation.rate > 0:
            bucket = self._bucket(organisation, now)
            bucket.level = min(bucket.level + units, bucket.burst)

    def levels(self, now: float) -> dict[str, float]:
        """Return what each bucket holds, for instances that have just started."""
        return {
            name: min(bucket.level + bucket.rate * (now - bucket.at), bucket.burst)
            for name, bucket in self._buckets.items()
        }

    def started_among(self, levels: Mapping[str, float], now: float) -> None:
        """Take over the buckets of a peer that was running before this instance.

        Without such a peer nobody runs that knows what was used; then buckets are
        full, and a window across the restart holds two bursts.
        """
        for name, level in levels.items():
            known = self._told_levels.get(name)
            if known is None or level < known[0]:
                self._told_levels[name] = (level, now)
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level = min(bucket.level, level)

    def heard(self, peer: str, incarnation: int, used: Mapping[str, float]) -> None:
        """Charge what a peer used since it last told.

        Parameters
        ----------
        used
            Sums since the peer's start, by organisation. What it used before its
            first message is not charged: nobody knows when that was.
        """
        sender = (peer, incarnation)
        before = self._told.get(sender)
        if before is None:
            self.forget_peer(peer)
        self._told[sender] = dict(used)
        if before is None:
            return
        for name, units in used.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level -= units - before.get(name, 0.0)
                bucket.level = min(bucket.level, bucket.burst)

    def forget_peer(self, peer: str) -> None:
        """Drop the sums of a peer that is gone."""
        for key in [key for key in self._told if key[0] == peer]:
            del self._told[key]

    def _bucket(self, organisation: Organisation, now: float) -> _Bucket:
        rate, burst = organisation.rate, max(organisation.burst, organisation.rate / 10)
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            level, at = self._told_levels.get(organisation.name, (burst, now))
            bucket = _Bucket(rate, burst, level, at)
            self._buckets[organisation.name] = bucket
        bucket.level = min(bucket.level + bucket.rate * (now - bucket.at), bucket.burst)
        bucket.at = now
        if now >= bucket.slice_ends:
            pace = self._pace()
            bucket.slice_ends = now + max(pace.interval_s, pace.propagation_s)
            share = min(_TIMES_BEFORE_NEWS / self._instances(), _MOST_BEFORE_NEWS)
            bucket.slice_left = (bucket.level + rate * pace.propagation_s) * share
        if (bucket.rate, bucket.burst) != (rate, burst):
            bucket.rate, bucket.burst = rate, burst
            bucket.level = min(bucket.level, burst)
        return bucket
