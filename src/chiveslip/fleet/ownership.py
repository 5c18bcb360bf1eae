"""Ownership: which instance decides for a key, and whether this one may act.

The home of a key follows from the published list alone, by rendezvous hashing.
Being home is a lease on one's own belief: an instance whose view is confirmed
neither by most of its witnesses, nor by half of them and the configuration
service, fences itself. A successor waits for the hold-off first, which is longer
than any lease or credit of its predecessor.

The module holds no clock and no socket; every method is told the time in
seconds of one local monotonic clock.
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
class LeaseTerms:
    """Times in seconds, and the most witnesses of one instance."""

    lease_s: float
    hold_off_s: float
    max_heartbeat_peers: int


@attrs.frozen(kw_only=True)
class _PastView:
    members: tuple[str, ...]
    ended_at: float | None


@final
class Ownership:
    """The ownership that one instance believes in."""

    def __init__(self, instance_id: str, terms: LeaseTerms) -> None:
        self._instance_id = instance_id
        self._terms = terms
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
            instance_id, lease_s=terms.lease_s, hold_off_s=terms.hold_off_s
        )
        self._excluded_members: frozenset[str] = frozenset()
        self._owners_changed = False

    @property
    def view(self) -> InstanceList:
        """The list of instances believed in."""
        return self._view

    @property
    def members(self) -> tuple[str, ...]:
        """The live instances of the view."""
        return self._members

    @property
    def heartbeat_peers(self) -> tuple[str, ...]:
        """The peers whose confirmation this instance needs."""
        return self._heartbeat_peers

    @property
    def term(self) -> int:
        """Number of the present lease; what was decided in another one is void."""
        return self._term

    def find_instance(self, instance: str) -> Instance | None:
        """Return the published entry of `instance`."""
        return self._view.instances.get(instance)

    def update_view(self, view: InstanceList, now: float) -> bool:
        """Believe in `view` if it is newer; return whether it was."""
        if view.revision <= self._view.revision:
            return False
        if self._view.revision and view.revision > self._view.revision + 1:
            # In a skipped view another instance may have been home and acted.
            self._lose_lease()
        self._past_views = [
            past for past in self._past_views if self._is_recent(past, now)
        ]
        if self._view.revision:
            absent = self._find_absent(now)
            acting = tuple(m for m in self._members if m not in absent)
            self._past_views.append(_PastView(members=acting, ended_at=None))
        self._view = view
        self._members = tuple(
            sorted(i.id for i in view.instances.values() if i.state is State.LIVE)
        )
        # Those that are leaving decide nothing, but they still know the view; without
        # them a few would be the majority of a list that names many.
        others = [name for name in view.instances if name != self._instance_id]
        ranked = hashing.rank(f"witness/{self._instance_id}", others)
        self._heartbeat_peers = tuple(ranked[: self._terms.max_heartbeat_peers])
        self._confirmed_at.clear()
        self._handed_over.clear()
        self._owner_cache.clear()
        self._absence_tracker.reset(self._quorum_group, now)
        self._excluded_members = frozenset()
        # The new view has to be confirmed anew before anything more is decided;
        # the lease that runs is not prolonged by what was heard of the old one.
        return True

    def record_confirmation(
        self, peer: str, revision: int, sent_at: float, now: float
    ) -> None:
        """Note the answer of `peer` to a heartbeat sent at `sent_at`.

        Parameters
        ----------
        revision
            The peer's view revision. Only the same one confirms: a peer with a
            higher one knows better, and one with a lower one may still confirm a
            predecessor.
        """
        if peer not in self._heartbeat_peers or revision != self._view.revision:
            return
        previous = self._confirmed_at.get(peer, float("-inf"))
        self._confirmed_at[peer] = max(previous, sent_at)
        self._renew(now)

    def record_service_read(self, revision: int, asked_at: float, now: float) -> None:
        """Note that the service, asked at `asked_at`, still gave this view."""
        if revision < self._view.revision:
            return
        self._service_read_at = max(self._service_read_at, asked_at)
        self._renew(now)

    def check_lease(self, now: float) -> bool:
        """Return whether the view is confirmed; a lapse ends the term."""
        if now < self._lease_until:
            return True
        if self._lease_since is not None:
            self._lose_lease()
        return False

    def record_heartbeat(self, peer: str, now: float) -> None:
        """Note a sign of life of `peer`."""
        self._absence_tracker.record_heartbeat(peer, now)

    def suspected_members(self, now: float) -> frozenset[str]:
        """Return the members that this instance confirms no more."""
        return self._absence_tracker.suspected_members(now)

    def record_suspicions(
        self, peer: str, suspected: frozenset[str], sent_at: float, now: float
    ) -> None:
        """Note whom `peer`, which has the same view, suspects."""
        self._absence_tracker.record_suspicions(peer, suspected, sent_at, now)

    def update_absent_members(self, now: float) -> None:
        """Work out who is absent."""
        absent = self._find_absent(now)
        if absent != self._excluded_members:
            self._excluded_members = absent
            self._owner_cache.clear()
            self._owners_changed = True

    def pop_owners_changed(self) -> bool:
        """Return whether homes moved within the view since this was last asked."""
        moved = self._owners_changed
        self._owners_changed = False
        return moved

    def owner_of(self, key: str) -> str | None:
        """Return the instance that is home of `key` in this view.

        Members that most have not heard of for a hold-off are passed over.
        """
        known = self._owner_cache.get(key)
        if known is not None:
            return known
        members = tuple(m for m in self._members if m not in self._excluded_members)
        if not members:
            return None
        if len(self._owner_cache) >= _MAX_CACHED_OWNERS:
            self._owner_cache.clear()
        found = _owner_among(members, key)
        self._owner_cache[key] = found
        return found

    def check_ownership(self, key: str, now: float) -> bool:
        """Return whether this instance may act as home of `key` now."""
        self.update_absent_members(now)
        if not self.check_lease(now) or self.owner_of(key) != self._instance_id:
            return False
        if self._lease_since is None or now < self._lease_since + self._hold_off_s:
            return key in self._handed_over
        return all(self._was_owner(past, key, now) for past in self._past_views)

    def record_handover(self, key: str, revision: int) -> None:
        """Note that the predecessor handed `key` over for view `revision`."""
        if revision == self._view.revision:
            self._handed_over.add(key)

    @property
    def _hold_off_s(self) -> float:
        return self._terms.hold_off_s

    def _was_owner(self, past: _PastView, key: str, now: float) -> bool:
        if key in self._handed_over or not self._is_recent(past, now):
            return True
        return (
            bool(past.members) and _owner_among(past.members, key) == self._instance_id
        )

    @property
    def _quorum_group(self) -> tuple[str, ...]:
        return (self._instance_id, *self._heartbeat_peers)

    def _find_absent(self, now: float) -> frozenset[str]:
        # Only where everybody is a witness of everybody do all count the same group.
        if len(self._quorum_group) < len(self._view.instances):
            return frozenset()
        return self._absence_tracker.absent_members(now) - {self._instance_id}

    def _is_recent(self, past: _PastView, now: float) -> bool:
        return past.ended_at is None or now < past.ended_at + self._hold_off_s

    def _renew(self, now: float) -> None:
        sent = sorted(self._confirmed_at.values(), reverse=True)
        group = len(self._heartbeat_peers) + 1
        needed = group // 2
        until = self._majority_until(sent, needed, now)
        if group % 2 == 0 and self._service_read_at > float("-inf"):
            with_service = self._majority_until(sent, needed - 1, now)
            service_until = self._service_read_at + self._terms.lease_s
            until = max(until, min(with_service, service_until))
        if until <= now:
            return
        if not self.check_lease(now):
            self._lease_since = now
            self._term += 1
        self._lease_until = max(self._lease_until, until)
        # The hold-off runs from the first confirmation of the newer view, because
        # a predecessor may have been confirmed until then.
        self._past_views = [
            past if past.ended_at is not None else attrs.evolve(past, ended_at=now)
            for past in self._past_views
        ]

    def _majority_until(self, sent: list[float], needed: int, now: float) -> float:
        """Return until when `needed` witnesses confirm; self counts besides."""
        if needed <= 0:
            return now + self._terms.lease_s
        if len(sent) < needed:
            return float("-inf")
        return sent[needed - 1] + self._terms.lease_s

    def _lose_lease(self) -> None:
        self._lease_since = None
        self._lease_until = float("-inf")
        self._handed_over.clear()
        self._confirmed_at.clear()
        self._service_read_at = float("-inf")


def _owner_among(members: tuple[str, ...], key: str) -> str:
    return max(members, key=lambda member: (hashing.score(key, member), member))
