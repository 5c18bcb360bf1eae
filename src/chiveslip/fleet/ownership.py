"""Ownership of keys: which instance owns a key, and whether this one may act on it.

The owner of a key is computed from the published list alone, by rendezvous hashing.
An owner may act only while it holds a lease on its view of that list. The group that
confirms a view consists of the instance and its heartbeat peers: an instance fences
itself when its view is confirmed neither by a majority of the group, nor by half of it
and the configuration service. A successor first waits for the hold-off delay, which is
longer than any lease or credit of its predecessor.

The module does no I/O and reads no clock; the caller passes the time to every method,
in seconds of one local monotonic clock.
"""

from __future__ import annotations

from typing import final

import attrs

from chiveslip import hashing
from chiveslip.configuration.model import Instance
from chiveslip.configuration.model import InstanceList
from chiveslip.configuration.model import State
from chiveslip.fleet.absence import AbsenceTracker

_MAX_CACHED_OWNERS = 100_000


@attrs.frozen(kw_only=True)
class LeaseLimits:
    """Durations of the lease on a view in seconds, and limit of the confirming peers.

    Attributes
    ----------
    lease_s
        How long a confirmation of the view is valid.
    hold_off_s
        How long a new owner waits before it acts.
    max_heartbeat_peers
        Upper limit of the peers that confirm the view of one instance.
    """

    lease_s: float
    hold_off_s: float
    max_heartbeat_peers: int


@attrs.frozen(kw_only=True)
class _PastView:
    """Members of an earlier view that were not absent, and when its hold-off began."""

    members: tuple[str, ...]
    ended_at: float | None


@final
class Ownership:
    """Ownership of keys according to the current view of this instance."""

    def __init__(self, instance_id: str, limits: LeaseLimits) -> None:
        self._instance_id = instance_id
        self._limits = limits
        self._view = InstanceList(revision=0, instances={})
        self._members: tuple[str, ...] = ()
        self._heartbeat_peers: tuple[str, ...] = ()
        self._past_views: list[_PastView] = []
        self._confirmed_at: dict[str, float] = {}
        self._service_read_at = float("-inf")
        self._lease_until = float("-inf")
        self._lease_since: float | None = None
        self._term = 0
        self._handed_over: set[str] = set()
        self._owner_cache: dict[str, str] = {}
        self._absence_tracker = AbsenceTracker(
            instance_id, lease_s=limits.lease_s, hold_off_s=limits.hold_off_s
        )
        self._excluded_members: frozenset[str] = frozenset()
        self._owners_changed = False

    @property
    def view(self) -> InstanceList:
        """The current list of instances."""
        return self._view

    @property
    def members(self) -> tuple[str, ...]:
        """The live instances of the view, sorted by id."""
        return self._members

    @property
    def heartbeat_peers(self) -> tuple[str, ...]:
        """The peers that have to confirm the view of this instance."""
        return self._heartbeat_peers

    @property
    def term(self) -> int:
        """Number of the current lease.

        A decision that was made in another term is void.
        """
        return self._term

    def find_instance(self, instance: str) -> Instance | None:
        """Return the published entry of `instance`, or None if it has none."""
        return self._view.instances.get(instance)

    def update_view(self, view: InstanceList, now: float) -> bool:
        """Replace the view if `view` is newer; return whether it was."""
        if view.revision <= self._view.revision:
            return False
        if self._view.revision and view.revision > self._view.revision + 1:
            # In a view that was skipped another instance may have been the owner.
            self._lose_lease()
        self._past_views = [
            past for past in self._past_views if self._is_recent(past, now)
        ]
        if self._view.revision:
            absent = self._refresh_absent_members(now)
            acting = tuple(m for m in self._members if m not in absent)
            self._past_views.append(_PastView(members=acting, ended_at=None))
        self._view = view
        self._members = tuple(
            sorted(i.id for i in view.instances.values() if i.state is State.LIVE)
        )
        # Instances that are leaving own nothing but still confirm the view. Without
        # them a few instances could be the majority of a long list.
        others = [name for name in view.instances if name != self._instance_id]
        ranked = hashing.rank(f"witness/{self._instance_id}", others)
        self._heartbeat_peers = tuple(ranked[: self._limits.max_heartbeat_peers])
        self._confirmed_at.clear()
        self._handed_over.clear()
        self._owner_cache.clear()
        self._absence_tracker.reset(self._quorum_group, now)
        self._excluded_members = frozenset()
        # Only confirmations of the new view renew the lease; those of the old view
        # do not extend the current lease.
        return True

    def record_confirmation(
        self, peer: str, revision: int, sent_at: float, now: float
    ) -> None:
        """Record the reply of `peer` to a heartbeat that was sent at `sent_at`.

        Parameters
        ----------
        revision
            The peer's view revision. Only an equal revision confirms the view: a
            peer with a higher one has a newer view, and a peer with a lower one may
            still confirm a predecessor.
        """
        if peer not in self._heartbeat_peers or revision != self._view.revision:
            return
        previous = self._confirmed_at.get(peer, float("-inf"))
        self._confirmed_at[peer] = max(previous, sent_at)
        self._renew_lease(now)

    def record_service_read(
        self, revision: int, requested_at: float, now: float
    ) -> None:
        """Record that the configuration service returned `revision`.

        Parameters
        ----------
        requested_at
            When the request was sent. A revision lower than the view's is ignored.
        """
        if revision < self._view.revision:
            return
        self._service_read_at = max(self._service_read_at, requested_at)
        self._renew_lease(now)

    def check_lease(self, now: float) -> bool:
        """Return whether the lease is valid; end the term if the lease lapsed."""
        if now < self._lease_until:
            return True
        if self._lease_since is not None:
            self._lose_lease()
        return False

    def record_heartbeat(self, peer: str, now: float) -> None:
        """Record that a message from `peer` arrived."""
        self._absence_tracker.record_heartbeat(peer, now)

    def suspected_members(self, now: float) -> frozenset[str]:
        """Return the members whose view this instance no longer confirms."""
        return self._absence_tracker.suspected_members(now)

    def record_suspicions(
        self, peer: str, suspected: frozenset[str], sent_at: float, now: float
    ) -> None:
        """Record which members `peer`, which has the same view, suspects."""
        self._absence_tracker.record_suspicions(peer, suspected, sent_at, now)

    def update_absent_members(self, now: float) -> None:
        """Recompute the absent members; drop cached owners if they changed."""
        absent = self._refresh_absent_members(now)
        if absent != self._excluded_members:
            self._excluded_members = absent
            self._owner_cache.clear()
            self._owners_changed = True

    def pop_owners_changed(self) -> bool:
        """Return whether owners changed within the view since the last call."""
        changed = self._owners_changed
        self._owners_changed = False
        return changed

    def owner_of(self, key: str) -> str | None:
        """Return the instance that owns `key` in this view, or None without members.

        Members that a majority has suspected for the hold-off delay are skipped.
        """
        cached = self._owner_cache.get(key)
        if cached is not None:
            return cached
        members = tuple(m for m in self._members if m not in self._excluded_members)
        if not members:
            return None
        if len(self._owner_cache) >= _MAX_CACHED_OWNERS:
            self._owner_cache.clear()
        owner = _owner_among(members, key)
        self._owner_cache[key] = owner
        return owner

    def check_ownership(self, key: str, now: float) -> bool:
        """Return whether this instance may act as the owner of `key` now.

        Updates the absent members, and ends the term if the lease lapsed.
        """
        self.update_absent_members(now)
        if not self.check_lease(now) or self.owner_of(key) != self._instance_id:
            return False
        if self._lease_since is None or now < self._lease_since + self._hold_off_s:
            return key in self._handed_over
        return all(self._was_owner(past, key, now) for past in self._past_views)

    def record_handover(self, key: str, revision: int) -> None:
        """Record that the predecessor handed `key` over for view `revision`."""
        if revision == self._view.revision:
            self._handed_over.add(key)

    @property
    def _hold_off_s(self) -> float:
        return self._limits.hold_off_s

    def _was_owner(self, past: _PastView, key: str, now: float) -> bool:
        if key in self._handed_over or not self._is_recent(past, now):
            return True
        return (
            bool(past.members) and _owner_among(past.members, key) == self._instance_id
        )

    @property
    def _quorum_group(self) -> tuple[str, ...]:
        return (self._instance_id, *self._heartbeat_peers)

    def _refresh_absent_members(self, now: float) -> frozenset[str]:
        # All instances compute majorities over the same group only if each is a
        # heartbeat peer of every other.
        if len(self._quorum_group) < len(self._view.instances):
            return frozenset()
        return self._absence_tracker.refresh_absent_members(now) - {self._instance_id}

    def _is_recent(self, past: _PastView, now: float) -> bool:
        return past.ended_at is None or now < past.ended_at + self._hold_off_s

    def _renew_lease(self, now: float) -> None:
        sent = sorted(self._confirmed_at.values(), reverse=True)
        group = len(self._heartbeat_peers) + 1
        needed = group // 2
        until = self._majority_confirmed_until(sent, needed, now)
        if group % 2 == 0 and self._service_read_at > float("-inf"):
            with_service = self._majority_confirmed_until(sent, needed - 1, now)
            service_until = self._service_read_at + self._limits.lease_s
            until = max(until, min(with_service, service_until))
        if until <= now:
            return
        if not self.check_lease(now):
            self._lease_since = now
            self._term += 1
        self._lease_until = max(self._lease_until, until)
        # The hold-off delay starts at the first confirmation of the new view, because
        # a predecessor may have been confirmed until then.
        self._past_views = [
            past if past.ended_at is not None else attrs.evolve(past, ended_at=now)
            for past in self._past_views
        ]

    def _majority_confirmed_until(
        self, sent: list[float], needed: int, now: float
    ) -> float:
        """Return until when `needed` heartbeat peers confirm the view.

        This instance counts itself in addition to them.
        """
        if needed <= 0:
            return now + self._limits.lease_s
        if len(sent) < needed:
            return float("-inf")
        return sent[needed - 1] + self._limits.lease_s

    def _lose_lease(self) -> None:
        self._lease_since = None
        self._lease_until = float("-inf")
        self._handed_over.clear()
        self._confirmed_at.clear()
        self._service_read_at = float("-inf")


def _owner_among(members: tuple[str, ...], key: str) -> str:
    return max(members, key=lambda member: (hashing.score(key, member), member))
