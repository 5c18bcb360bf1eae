"""Rate limits of organisations, shared by all instances without an owner.

Each instance counts the units that it admits and publishes the sums to its peers. A
request is decided at once, from the local bucket less the use that peers have
reported. What peers used since their last report is charged when the next report
arrives, so a bucket may fall below zero and recover later. This serves an
organisation that sends many times its rate through several instances.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import final

import attrs

from chiveslip.fleet.gossip_schedule import GossipSchedule
from chiveslip.gateway.routing import Organisation

# Shortest retry delay that a refused caller is told.
_MIN_RETRY_AFTER_S = 0.1
# Until the use of peers is reported, all instances together admit at most this many
# times the units in a bucket, and one instance at most half of those units.
_MAX_FLEET_SHARE = 4.0
_MAX_INSTANCE_SHARE = 0.5


@attrs.define
class _Bucket:
    """A token bucket, and the share of it that this instance may use by itself.

    Attributes
    ----------
    rate
        Units added per second.
    burst
        Capacity in units.
    level
        Units in the bucket at `updated_at`; negative when overdrawn.
    slice_ends_at
        Local time in seconds at which the share of this instance is renewed.
    slice_left
        Units that this instance may admit until then.
    """

    rate: float
    burst: float
    level: float
    updated_at: float
    slice_ends_at: float = float("-inf")
    slice_left: float = 0.0


@final
class SharedAllowances:
    """Buckets of all organisations as this instance knows them.

    Parameters
    ----------
    schedule
        Returns the active gossip schedule, which says when peers receive the use of
        this instance.
    instance_count
        Returns the number of instances, including those lost recently.
    """

    def __init__(
        self,
        *,
        schedule: Callable[[], GossipSchedule],
        instance_count: Callable[[], int],
    ) -> None:
        self._schedule = schedule
        self._instance_count = instance_count
        self._buckets: dict[str, _Bucket] = {}
        self._used: dict[str, float] = {}
        self._peer_levels: dict[str, tuple[float, float]] = {}
        self._peer_use: dict[tuple[str, int], dict[str, float]] = {}

    @property
    def used(self) -> dict[str, float]:
        """Units that this instance admitted since its start, by organisation."""
        return self._used

    def admit(
        self, organisation: Organisation, units: float, now: float, *, is_alone: bool
    ) -> float:
        """Charge a request, or return how long to wait until it can be charged.

        Parameters
        ----------
        units
            Tokens or requests, as the organisation counts them.
        now
            Local time in seconds.
        is_alone
            Whether no other instance is alive that could use the bucket.

        Returns
        -------
        float
            0 if the request was charged, else seconds until the bucket is likely
            to cover it.
        """
        name = organisation.name
        if organisation.rate > 0:
            bucket = self._refilled_bucket(organisation, now)
            # A request larger than the burst is admitted when the bucket is full.
            needed = min(units, bucket.burst)
            if bucket.level < needed:
                missing_s = (needed - bucket.level) / bucket.rate
                return max(missing_s, _MIN_RETRY_AFTER_S)
            if bucket.slice_left <= 0 and not is_alone:
                return max(bucket.slice_ends_at - now, _MIN_RETRY_AFTER_S)
            bucket.slice_left -= units
            bucket.level -= units
        self._used[name] = self._used.get(name, 0.0) + units
        return 0.0

    def refund(self, organisation: Organisation, units: float, now: float) -> None:
        """Put the units of a request that was not run back into its bucket."""
        name = organisation.name
        self._used[name] = self._used.get(name, 0.0) - units
        if organisation.rate > 0:
            bucket = self._refilled_bucket(organisation, now)
            bucket.level = min(bucket.level + units, bucket.burst)

    def current_levels(self, now: float) -> dict[str, float]:
        """Return the units in each bucket, for instances that have just started."""
        return {
            name: min(
                bucket.level + bucket.rate * (now - bucket.updated_at), bucket.burst
            )
            for name, bucket in self._buckets.items()
        }

    def lower_to_peer_levels(self, levels: Mapping[str, float], now: float) -> None:
        """Lower the buckets to those of a peer that started before this instance.

        If all instances were restarted, no peer knows what was used before. Buckets
        are then full, and a window across the restart admits two bursts.
        """
        for name, level in levels.items():
            known = self._peer_levels.get(name)
            if known is None or level < known[0]:
                self._peer_levels[name] = (level, now)
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level = min(bucket.level, level)

    def record_peer_use(
        self, peer: str, incarnation: int, used: Mapping[str, float]
    ) -> None:
        """Charge what a peer used since its last report.

        Parameters
        ----------
        used
            Units admitted since the peer's start, by organisation. The units of its
            first report are not charged, because it is unknown when they were used.
        """
        sender = (peer, incarnation)
        previous = self._peer_use.get(sender)
        if previous is None:
            self.forget_peer(peer)
        self._peer_use[sender] = dict(used)
        if previous is None:
            return
        for name, units in used.items():
            change = units - previous.get(name, 0.0)
            bucket = self._buckets.get(name) if change else None
            if bucket is not None:
                bucket.level = min(bucket.level - change, bucket.burst)

    def forget_peer(self, peer: str) -> None:
        """Forget the reported use of a peer that has left."""
        for key in [key for key in self._peer_use if key[0] == peer]:
            del self._peer_use[key]

    def _refilled_bucket(self, organisation: Organisation, now: float) -> _Bucket:
        """Refill the organisation's bucket up to `now` and return it."""
        rate, burst = organisation.rate, max(organisation.burst, organisation.rate / 10)
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            level, at = self._peer_levels.get(organisation.name, (burst, now))
            bucket = _Bucket(rate, burst, level, at)
            self._buckets[organisation.name] = bucket
        bucket.level = min(
            bucket.level + bucket.rate * (now - bucket.updated_at), bucket.burst
        )
        bucket.updated_at = now
        if now >= bucket.slice_ends_at:
            schedule = self._schedule()
            bucket.slice_ends_at = now + max(
                schedule.interval_s, schedule.propagation_s
            )
            share = min(_MAX_FLEET_SHARE / self._instance_count(), _MAX_INSTANCE_SHARE)
            bucket.slice_left = (bucket.level + rate * schedule.propagation_s) * share
        if (bucket.rate, bucket.burst) != (rate, burst):
            bucket.rate, bucket.burst = rate, burst
            bucket.level = min(bucket.level, burst)
        return bucket
