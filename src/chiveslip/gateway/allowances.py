"""Rate limits of organisations, shared by all instances.

One instance grants an organisation's units, the first live one in the organisation's
rendezvous order: it charges its bucket and answers with units that the asker may admit.
An instance asks only when the units granted to it are used up. Every instance counts
what it admitted or granted and publishes the sums, so that each of them has a bucket
from which it can grant when the one before it is gone.

This serves an organisation whose callers are connected to a few of many instances, or
move between them, at any rate up to its own. The module does no I/O and reads no clock.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import final

import attrs

from chiveslip import hashing
from chiveslip.fleet.gossip_schedule import GossipSchedule
from chiveslip.gateway.averages import AverageRate
from chiveslip.gateway.routing import Organisation

# Instances that may be asked for units: the second one while the first does not answer.
_MAX_GRANTORS = 2
# Shortest retry delay that a refused caller is told.
_MIN_RETRY_AFTER_S = 0.1
# Without a grantor, all instances together use at most this many times a bucket.
_FLEET_SHARE = 1.25
# Units are requested ahead for the demand of this time, and returned when unused.
_AHEAD_S = 0.5
_CREDIT_LIFETIME_S = 1.0
# Units are granted ahead only from what a bucket holds beyond this part of its burst,
# and at most a quarter of that at once: where they are short, some would lie unused.
_MIN_LEVEL_AHEAD = 0.5
_MAX_AHEAD_SHARE = 0.25
# Time constant of the average of an instance's demand.
_DEMAND_S = 1.0


@attrs.frozen(kw_only=True)
class Grant:
    """Answer to a request for units.

    Attributes
    ----------
    units
        Units granted; at least those that were needed, or 0.
    retry_after_s
        Without a grant, seconds after which units are likely to be left.
    """

    units: float = 0.0
    retry_after_s: float = 0.0


@attrs.define
class _Bucket:
    """A token bucket, and the part of it that is used without a grant.

    Attributes
    ----------
    rate
        Units added per second.
    burst
        Capacity in units.
    level
        Units in the bucket at `updated_at`; negative when overdrawn.
    share_ends_at
        Local time in seconds at which the share of this instance is renewed.
    share_left
        Units that this instance may admit without a grant until then.
    """

    rate: float
    burst: float
    level: float
    updated_at: float
    share_ends_at: float = float("-inf")
    share_left: float = 0.0


@attrs.define
class _Credit:
    """Units granted to this instance at one time that it has not admitted yet."""

    units: float
    expires_at: float


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
    live_instances
        Returns the names of the live instances, including this one.
    heard_share
        Returns the part of the fleet that was heard within the last rounds, from 0 to
        1. The rest may be alive and grant units itself.
    """

    def __init__(
        self,
        *,
        schedule: Callable[[], GossipSchedule],
        instance_count: Callable[[], int],
        live_instances: Callable[[], list[str]],
        heard_share: Callable[[], float],
    ) -> None:
        self._schedule = schedule
        self._instance_count = instance_count
        self._live_instances = live_instances
        self._heard_share = heard_share
        self._buckets: dict[str, _Bucket] = {}
        self._credits: dict[str, collections.deque[_Credit]] = {}
        self._demands: dict[str, AverageRate] = {}
        self._used: dict[str, float] = {}
        self._peer_levels: dict[str, tuple[float, float]] = {}
        self._peer_use: dict[tuple[str, int], dict[str, float]] = {}
        self._ranked_instances: list[str] = []
        self._grantors: dict[str, list[str]] = {}

    @property
    def used(self) -> dict[str, float]:
        """Units admitted without a grant, or granted, since the start.

        By organisation; units that were granted to this instance count where they were
        granted, and negative here once they are returned.
        """
        return self._used

    def grantors_of(self, organisation: str) -> list[str]:
        """Return the instances to ask for an organisation's units, in this order."""
        live = self._live_instances()
        if live != self._ranked_instances:
            self._ranked_instances = list(live)
            self._grantors.clear()
        grantors = self._grantors.get(organisation)
        if grantors is None:
            ranked = hashing.rank(f"allowance {organisation}", live)
            grantors = self._grantors[organisation] = ranked[:_MAX_GRANTORS]
        return grantors

    def record_demand(
        self, organisation: Organisation, units: float, now: float
    ) -> None:
        """Record a request that callers make of this instance, before it is decided."""
        demand = self._demands.setdefault(organisation.name, AverageRate(_DEMAND_S))
        demand.add(units, now)

    def units_ahead(self, organisation: Organisation) -> float:
        """Return the units to request beyond those of the present request."""
        demand = self._demands.get(organisation.name)
        return 0.0 if demand is None else demand.rate * _AHEAD_S

    def take_credit(self, organisation: Organisation, units: float, now: float) -> bool:
        """Charge a request to units that were granted; return whether they suffice."""
        self._return_expired(organisation.name, now)
        credits = self._credits.get(organisation.name, ())
        if sum(credit.units for credit in credits) < units:
            return False
        for credit in credits:
            taken = min(credit.units, units)
            credit.units -= taken
            units -= taken
        return True

    def add_credit(self, organisation: Organisation, units: float, now: float) -> None:
        """Add units that another instance granted, or that a request did not use."""
        credits = self._credits.setdefault(organisation.name, collections.deque())
        if units > 0:
            credits.append(_Credit(units, now + _CREDIT_LIFETIME_S))

    def return_expired_credits(self, now: float) -> None:
        """Give units back that were granted and not used in time."""
        for name in self._credits:
            self._return_expired(name, now)

    def grant(
        self, organisation: Organisation, units: float, ahead: float, now: float
    ) -> Grant:
        """Grant units from the bucket of this instance.

        Parameters
        ----------
        units
            Tokens or requests that are needed, as the organisation counts them.
        ahead
            Units wanted beyond these.
        now
            Local time in seconds.
        """
        if organisation.rate <= 0:
            return Grant(units=units + ahead)
        bucket = self._refilled_bucket(organisation, now)
        # A request larger than the burst is admitted when the bucket is full.
        needed = min(units, bucket.burst)
        if bucket.level < needed:
            return Grant(retry_after_s=_refill_s(bucket, needed))
        spare = bucket.level - needed - bucket.burst * _MIN_LEVEL_AHEAD
        granted = units + min(ahead, max(spare, 0.0) * _MAX_AHEAD_SHARE)
        bucket.level -= granted
        self._add_use(organisation.name, granted)
        return Grant(units=granted)

    def admit_from_share(
        self, organisation: Organisation, units: float, now: float
    ) -> float:
        """Charge a request to this instance's own part of the bucket.

        Used while no instance answers that could grant units.

        Returns
        -------
        float
            0 if the request was charged, else seconds until it may be.
        """
        if organisation.rate > 0:
            bucket = self._refilled_bucket(organisation, now)
            needed = min(units, bucket.burst)
            if bucket.level < needed:
                return _refill_s(bucket, needed)
            self._renew_share(bucket, now)
            if bucket.share_left <= 0:
                return max(bucket.share_ends_at - now, _MIN_RETRY_AFTER_S)
            bucket.share_left -= units
            bucket.level -= units
        self._add_use(organisation.name, units)
        return 0.0

    def return_units(self, organisation: str, units: float) -> None:
        """Put units that were not used back into the bucket.

        Peers learn of it from the sums.
        """
        self._add_use(organisation, -units)
        bucket = self._buckets.get(organisation)
        if bucket is not None:
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

    def _add_use(self, name: str, units: float) -> None:
        self._used[name] = self._used.get(name, 0.0) + units

    def _return_expired(self, name: str, now: float) -> None:
        credits = self._credits.get(name)
        while credits and (now >= credits[0].expires_at or not credits[0].units):
            self.return_units(name, credits.popleft().units)

    def _refilled_bucket(self, organisation: Organisation, now: float) -> _Bucket:
        """Refill the organisation's bucket up to `now` and return it."""
        rate = organisation.rate * self._heard_share()
        burst = max(organisation.burst, organisation.rate / 10)
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            level, at = self._peer_levels.get(organisation.name, (burst, now))
            bucket = _Bucket(rate, burst, level, at)
            self._buckets[organisation.name] = bucket
        bucket.level = min(
            bucket.level + bucket.rate * (now - bucket.updated_at), bucket.burst
        )
        bucket.updated_at = now
        if (bucket.rate, bucket.burst) != (rate, burst):
            bucket.rate, bucket.burst = rate, burst
            bucket.level = min(bucket.level, burst)
        return bucket

    def _renew_share(self, bucket: _Bucket, now: float) -> None:
        """Renew what this instance may admit without a grant, if it is due."""
        if now < bucket.share_ends_at:
            return
        schedule = self._schedule()
        interval_s = max(schedule.interval_s, schedule.propagation_s)
        bucket.share_ends_at = now + interval_s
        units = max(bucket.level, 0.0) + bucket.rate * schedule.propagation_s
        bucket.share_left = units * _FLEET_SHARE / max(self._instance_count(), 1)


def _refill_s(bucket: _Bucket, needed: float) -> float:
    """Return the time in seconds until a bucket holds the units of a request."""
    return max((needed - bucket.level) / bucket.rate, _MIN_RETRY_AFTER_S)
