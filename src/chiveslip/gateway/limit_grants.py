"""Who grants the requests that an endpoint with a limit may get, and how many.

The first live instance in the endpoint's rendezvous order grants them from a bucket
that fills at the limit. The second one grants a part while the first is out of reach.
An instance that has just become the first may have a predecessor that others still ask,
so it begins with that part, too: both together stay below half more than the limit.

Only instances that have been heard for some time are ranked, so that all agree on them.
An instance that hears a part of the fleet grants only this part of the limit: the rest
may be alive and grant, too. The module does no I/O.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable
from collections.abc import Iterable
from typing import final

import attrs

from chiveslip import hashing
from chiveslip.clock import Clock
from chiveslip.gateway.endpoint_limits import NamedLimit
from chiveslip.gateway.endpoint_statements import Incarnation

# Instances that may be asked for requests to an endpoint.
_MAX_GRANTORS = 2
# Part of a limit that is granted while another instance may grant it, too.
_BACKUP_SHARE = 0.25
# An instance grants a whole limit when it has been the first for this time.
_TAKEOVER_S = 4.0
# Longest time between two rounds of gossip.
_ROUND_S = 0.5
# An instance that paused for longer may have been lost, and replaced as a grantor.
_MAX_PAUSE_S = 1.25
# Capacity of a bucket: some requests, and those of a fraction of a second.
_BURST_REQUESTS = 1.5
_BURST_S = 0.125
# For a cold endpoint, whose requests are counted within one second: capacity of a
# bucket beyond one request, part of the rate that is granted, and part of it that is
# granted while another instance may grant it, too. With grants that are used up to
# 0.33 s late, two grantors grant 0.95 x 1.2 x 1.33 times the rate and 3.8 requests for
# one second.
_COLD_BURST_REQUESTS = 1.5
_COLD_SHARE = 0.95
_COLD_BACKUP_SHARE = 0.2
# A bucket is kept for this long after its limit ended here; others may still ask.
_BUCKET_RETENTION_S = 5.0
# Requests are granted ahead only from what a bucket holds beyond this part of it.
_MIN_LEVEL_AHEAD = 0.5
_MIN_RETRY_AFTER_S = 0.02


@attrs.frozen(kw_only=True)
class LimitGrant:
    """Answer to an instance that asks for requests to an endpoint.

    Attributes
    ----------
    requests
        Requests granted, or 0.
    retry_after_s
        Without a grant, seconds after which the next one is likely.
    """

    requests: int = 0
    retry_after_s: float = 0.0


@attrs.define
class _Bucket:
    """Requests that may be granted.

    Attributes
    ----------
    level
        Requests in the bucket at `updated_at`.
    """

    level: float
    updated_at: float

    def refill(self, requests_per_s: float, burst: float, now: float) -> None:
        elapsed_s = max(now - self.updated_at, 0.0)
        self.level = min(self.level + requests_per_s * elapsed_s, burst)
        self.updated_at = now


@attrs.frozen
class _Loss:
    """When an instance was lost, and the number of its start.

    The same start may go on granting for instances that have not lost it.
    """

    at: float
    incarnation: int


@final
class LimitGrantor:
    """Ranks instances as grantors, and grants requests where this one is ranked.

    Parameters
    ----------
    live_instances
        Returns the names of the live instances, this one included unless it stops.
    fleet_members
        Returns the live instances and those that were lost without notice.
    incarnation_of
        Returns the number of the last known start of an instance.
    heard_share
        Returns the part of the fleet that was heard within the last rounds, 0 to 1.
    has_older_members
        Returns whether this instance has just started in a fleet that had started
        well before.
    propagation_s
        Returns the time in seconds until all instances know what one knows.
    is_alone
        Returns whether this instance has peers and has heard none of them yet. It does
        not know its part of a limit then, and grants nothing for cold endpoints.
    """

    def __init__(
        self,
        *,
        instance: str,
        live_instances: Callable[[], list[str]],
        fleet_members: Callable[[], Iterable[str]],
        incarnation_of: Callable[[str], int],
        heard_share: Callable[[], float],
        has_older_members: Callable[[], bool],
        propagation_s: Callable[[], float],
        clock: Clock,
        is_alone: Callable[[], bool] = lambda: False,
    ) -> None:
        self._instance = instance
        self._is_alone = is_alone
        self._live_instances = live_instances
        self._fleet_members = fleet_members
        self._incarnation_of = incarnation_of
        self._heard_share = heard_share
        self._has_older_members = has_older_members
        self._has_joined_others = False
        self._propagation_s = propagation_s
        self._clock = clock
        self._joined_at = self._updated_at = clock.now()
        self._live_since: dict[str, float] = {}
        self._losses: dict[str, _Loss] = {}
        self._buckets: dict[Incarnation, _Bucket] = {}
        # The heard part of the fleet in the last rounds, with their times.
        self._heard: collections.deque[tuple[float, float]] = collections.deque()
        self._ranked_instances: list[str] = []
        self._grantors: dict[str, list[str]] = {}

    def grantors_of(self, endpoint: str) -> list[str]:
        """Return the instances to ask for requests to an endpoint, in this order."""
        established = self._established()
        if established != self._ranked_instances:
            self._ranked_instances = established
            self._grantors.clear()
        grantors = self._grantors.get(endpoint)
        if grantors is None:
            ranked = hashing.rank(f"limit/{endpoint}", established)
            grantors = self._grantors[endpoint] = ranked[:_MAX_GRANTORS]
        return grantors

    def grant(self, limit: NamedLimit, ahead: int) -> LimitGrant | None:
        """Grant a request to an endpoint, or say when to ask again.

        Parameters
        ----------
        ahead
            Requests wanted beyond the present one.

        Returns
        -------
        LimitGrant or None
            None if this instance does not grant requests to the endpoint.
        """
        backup_share = _COLD_BACKUP_SHARE if limit.is_cold else _BACKUP_SHARE
        share = self._find_share(limit.incarnation.endpoint, backup_share)
        if limit.is_cold:
            share = min(share, self._lowest_heard())
        if share <= 0 or (limit.is_cold and self._is_alone()):
            return None
        rate = limit.requests_per_s * share
        burst = _burst(rate)
        if limit.is_cold:
            rate *= _COLD_SHARE
            burst = 1 + _COLD_BURST_REQUESTS * share
        now = self._clock.now()
        bucket = self._buckets.get(limit.incarnation)
        if bucket is None:
            level = burst if share > backup_share else 0.0
            bucket = self._buckets[limit.incarnation] = _Bucket(level, now)
        bucket.refill(rate, burst, now)
        if bucket.level < 1:
            wait_s = (1 - bucket.level) / rate
            return LimitGrant(retry_after_s=max(wait_s, _MIN_RETRY_AFTER_S))
        spare = bucket.level - 1 - burst * _MIN_LEVEL_AHEAD
        granted = 1 + min(ahead, max(int(spare), 0))
        bucket.level -= granted
        return LimitGrant(requests=granted)

    def update(self, limited: Iterable[Incarnation]) -> None:
        """Follow changes of the fleet, and drop what belongs to limits that ended."""
        now = self._clock.now()
        is_starting = now - self._joined_at < _TAKEOVER_S
        if is_starting and self._has_older_members():
            self._has_joined_others = True
        if now - self._updated_at > _MAX_PAUSE_S:
            self._has_joined_others = True
            self._joined_at = now
        self._updated_at = now
        self._heard.append((now, self._heard_share()))
        while self._heard[0][0] < now - self._known_to_all_s:
            self._heard.popleft()
        live = set(self._live_instances())
        for name in self._live_since.keys() - live:
            self._losses[name] = _Loss(now, self._incarnation_of(name))
        # Members found at the start may be as old as the fleet.
        since = -math.inf if is_starting else now
        self._live_since = {name: self._live_since.get(name, since) for name in live}
        if self._has_joined_others:
            self._live_since[self._instance] = self._joined_at
        self._losses = {
            name: loss
            for name, loss in self._losses.items()
            if loss.incarnation == self._incarnation_of(name)
            and now - max(loss.at, self._live_since.get(name, -math.inf)) < _TAKEOVER_S
        }
        known = set(limited)
        endpoints = {incarnation.endpoint for incarnation in known}
        for endpoint in self._grantors.keys() - endpoints:
            del self._grantors[endpoint]
        self._buckets = {
            incarnation: bucket
            for incarnation, bucket in self._buckets.items()
            if incarnation in known or now - bucket.updated_at < _BUCKET_RETENTION_S
        }

    @property
    def _known_to_all_s(self) -> float:
        """Time in seconds after which all instances rank one that came or returned."""
        return _TAKEOVER_S + _ROUND_S + self._propagation_s()

    def _lowest_heard(self) -> float:
        """Return the lowest part of the fleet that was heard in the last rounds.

        After a partition, each part goes on with its part of a limit until all
        instances agree on who grants: until then each part has a grantor of its own.
        """
        return min((heard for _, heard in self._heard), default=1.0)

    def _established(self) -> list[str]:
        """Return the live instances that all others know, sorted by name."""
        now = self._clock.now()
        live = self._live_instances()
        established = [
            name
            for name in live
            if now - self._live_since.get(name, now) >= _TAKEOVER_S
        ]
        return established or live

    def _find_share(self, endpoint: str, backup_share: float) -> float:
        """Return the part of a limit that this instance grants; 0 if it grants none.

        Parameters
        ----------
        backup_share
            Part that it grants while another instance may grant, too.
        """
        grantors = self.grantors_of(endpoint)
        has_paused = self._clock.now() - self._updated_at > _MAX_PAUSE_S
        if self._instance not in grantors or has_paused:
            return 0.0
        heard = self._heard_share()
        if grantors[0] != self._instance or self._may_have_predecessor(endpoint):
            return heard * backup_share
        return heard

    def _may_have_predecessor(self, endpoint: str) -> bool:
        """Return whether instances may still ask another one as the first."""
        now = self._clock.now()
        joined_s = now - self._joined_at
        if self._has_joined_others and joined_s < self._known_to_all_s:
            return True
        unannounced = self._losses.keys() & set(self._fleet_members())
        if not unannounced:
            return False
        ranked = hashing.rank(f"limit/{endpoint}", [self._instance, *unannounced])
        return ranked[0] != self._instance


def _burst(requests_per_s: float) -> float:
    return _BURST_REQUESTS + requests_per_s * _BURST_S
