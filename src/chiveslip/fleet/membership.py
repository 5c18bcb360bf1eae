"""Gossip membership: which instances are alive, learned from seeds and from peers.

Each instance increments a heartbeat counter of its own and passes on the counters that
it knows. A member whose counter has not increased within the heartbeat timeout, no
matter who reported it, is lost. The module does no I/O and reads no clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from typing import final

import attrs

from chiveslip.settings.fields import Address

# Lost members are kept this long, so that an old message does not add them again.
_MEMBER_RETENTION_S = 60.0
# Members that have been without a heartbeat for longer are presumed dead rather than
# partitioned.
_PRESUMED_DEAD_S = 10.0
# An instance with no more heartbeats than this has just started.
_STARTUP_HEARTBEATS = 8
# Keeps a message smaller than one packet.
_MAX_MEMBER_UPDATES = 20


@attrs.frozen(kw_only=True)
class MemberUpdate:
    """State of a member, as one message reports it.

    Attributes
    ----------
    incarnation
        Increases with each start of the instance.
    age_s
        Time in seconds since the sender learned of this heartbeat.
    lost_services
        Services to whose endpoints it has lost its paths.
    data_centre
        Data centre in which it runs, or empty if it does not say so.
    """

    instance: str
    address: Address
    incarnation: int
    heartbeat: int
    stopping: bool
    age_s: float
    lost_services: frozenset[str] = frozenset()
    data_centre: str = ""


@attrs.define
class _Member:
    update: MemberUpdate
    last_seen_at: float


@final
class Membership:
    """The members that this instance knows, itself included.

    Parameters
    ----------
    heartbeat_timeout_for
        Returns, for a number of members, the time in seconds after which a member
        whose heartbeat counter has not increased is lost.

    Attributes
    ----------
    stopping, lost_services
        What this instance tells of itself, as in `MemberUpdate`.
    """

    def __init__(
        self,
        *,
        instance: str,
        address: Address,
        incarnation: int,
        heartbeat_timeout_for: Callable[[int], float],
        data_centre: str = "",
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._address = address
        self._incarnation = incarnation
        self._heartbeat_timeout_for = heartbeat_timeout_for
        self._heartbeat_timeout_s = heartbeat_timeout_for(1)
        self._size = 1
        self._heartbeat = 0
        self._members: dict[str, _Member] = {}
        self.stopping = False
        self.lost_services: frozenset[str] = frozenset()

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return self._instance

    @property
    def incarnation(self) -> int:
        """Number of this start of the instance."""
        return self._incarnation

    @property
    def known_members(self) -> Collection[str]:
        """Names of all other members.

        Includes members that were lost within `_MEMBER_RETENTION_S`.
        """
        return self._members.keys()

    @property
    def size(self) -> int:
        """Size of the fleet, with this instance and members that were lost recently.

        A fleet that seems to shrink because updates are late must not use the
        schedule and timeouts of a small one.
        """
        return self._size

    def is_older_peer(self, heartbeat: int) -> bool:
        """Return whether this instance is new and the sender started well before it.

        Parameters
        ----------
        heartbeat
            Heartbeat counter of the sender.
        """
        return (
            has_just_started(self._heartbeat)
            and heartbeat - self._heartbeat > _STARTUP_HEARTBEATS
        )

    def has_older_members(self) -> bool:
        """Return whether this instance is new and a member started well before it."""
        return any(
            self.is_older_peer(member.update.heartbeat)
            for member in self._members.values()
        )

    def advance_heartbeat(self, now: float) -> None:
        """Increment the own heartbeat counter and drop members lost long ago."""
        self._heartbeat += 1
        for name, member in list(self._members.items()):
            if now - member.last_seen_at > _MEMBER_RETENTION_S:
                del self._members[name]
        self._size = 1 + sum(
            not member.update.stopping and now - member.last_seen_at <= _PRESUMED_DEAD_S
            for member in self._members.values()
        )
        self._heartbeat_timeout_s = self._heartbeat_timeout_for(self._size)

    def apply_update(self, update: MemberUpdate, now: float) -> None:
        """Apply an update of a member, unless a newer one is known."""
        if update.instance == self._instance:
            # The clock may have been set back between two starts of this instance.
            if update.incarnation > self._incarnation:
                self._incarnation = update.incarnation + 1
            return
        known = self._members.get(update.instance)
        precedence = (update.incarnation, update.stopping, update.heartbeat)
        if known is not None:
            last = known.update
            if precedence <= (last.incarnation, last.stopping, last.heartbeat):
                return
        self._members[update.instance] = _Member(update, now - update.age_s)

    def own_update(self) -> MemberUpdate:
        """Return the update that this instance sends about itself."""
        return MemberUpdate(
            instance=self._instance,
            address=self._address,
            incarnation=self._incarnation,
            heartbeat=self._heartbeat,
            stopping=self.stopping,
            age_s=0.0,
            lost_services=self.lost_services,
            data_centre=self._data_centre,
        )

    def sample_updates(
        self, generator: random.Random, now: float
    ) -> list[MemberUpdate]:
        """Return the updates of other members to pass on.

        Returns a random sample if there are more than `_MAX_MEMBER_UPDATES`.
        """
        recent = [
            attrs.evolve(member.update, age_s=now - member.last_seen_at)
            for member in self._members.values()
            if now - member.last_seen_at <= 2 * self._heartbeat_timeout_s
        ]
        if len(recent) <= _MAX_MEMBER_UPDATES:
            return recent
        return generator.sample(recent, _MAX_MEMBER_UPDATES)

    def live_members(self, now: float) -> list[str]:
        """Return the members that serve, sorted by name.

        Includes this instance unless it is stopping.
        """
        timeout_s = self._heartbeat_timeout_s
        names = [
            name
            for name, member in self._members.items()
            if now - member.last_seen_at <= timeout_s and not member.update.stopping
        ]
        if not self.stopping:
            names.append(self._instance)
        return sorted(names)

    def fleet_members(self, now: float) -> list[str]:
        """Return all members that did not announce their stop, sorted by name.

        Members that were lost within `_MEMBER_RETENTION_S` count: they may be alive
        behind a partition.
        """
        names = [
            name
            for name, member in self._members.items()
            if now - member.last_seen_at <= _MEMBER_RETENTION_S
            and not member.update.stopping
        ]
        if not self.stopping:
            names.append(self._instance)
        return sorted(names)

    def heard_share(self, max_age_s: float, now: float) -> float:
        """Return the part of the fleet that was heard recently, this instance included.

        Members that announced their stop are no part of the fleet. Others are for
        `_MEMBER_RETENTION_S`: they may be alive behind a partition.

        Parameters
        ----------
        max_age_s
            Largest age in seconds of a member's last heartbeat.
        """
        ages_s = [
            now - member.last_seen_at
            for member in self._members.values()
            if not member.update.stopping
        ]
        heard = sum(age_s <= max_age_s for age_s in ages_s)
        return (1 + heard) / (1 + len(ages_s))

    def reachable(self, now: float) -> list[MemberUpdate]:
        """Return the updates of all members that are not lost, even if they stop."""
        timeout_s = self._heartbeat_timeout_s
        return [
            member.update
            for member in self._members.values()
            if now - member.last_seen_at <= timeout_s
        ]

    def lost_members(self, now: float) -> list[str]:
        """Return the known members whose heartbeat timed out."""
        timeout_s = self._heartbeat_timeout_s
        return [
            name
            for name, member in self._members.items()
            if now - member.last_seen_at > timeout_s
        ]

    def has_quorum(self, now: float) -> bool:
        """Return whether a majority of the recent members is alive.

        An instance that lost most others at once is probably partitioned itself;
        after `_PRESUMED_DEAD_S` it presumes them dead. Members that announced their
        stop do not count as lost. Of two halves, the one with the first name has the
        quorum.
        """
        alive = self.live_members(now)
        timeout_s = self._heartbeat_timeout_s
        lost = [
            name
            for name, member in self._members.items()
            if timeout_s < now - member.last_seen_at <= _PRESUMED_DEAD_S
            and not member.update.stopping
        ]
        if len(alive) != len(lost):
            return len(alive) > len(lost)
        return bool(alive) and min(alive) < min(lost)

    def address_of(self, instance: str) -> Address | None:
        """Return the peer address of a member, or None if it is unknown."""
        member = self._members.get(instance)
        return None if member is None else member.update.address

    def data_centre_of(self, instance: str) -> str:
        """Return the data centre of a member, or empty if it is unknown."""
        member = self._members.get(instance)
        return "" if member is None else member.update.data_centre

    def has_member_on(self, host: str) -> bool:
        """Return whether another member, also one lost recently, runs on a host."""
        return any(
            member.update.address.host == host for member in self._members.values()
        )

    def members_without_paths(self, service: str) -> list[str]:
        """Return the other members that have lost their paths to a service."""
        return [
            name
            for name, member in self._members.items()
            if service in member.update.lost_services
        ]

    def incarnation_of(self, instance: str) -> int:
        """Return the incarnation of a member, or 0 if it is unknown."""
        member = self._members.get(instance)
        return 0 if member is None else member.update.incarnation

    def unreached_seeds(self, seeds: Iterable[Address], now: float) -> list[Address]:
        """Return the seeds at whose address no member is known to be alive."""
        known = {update.address for update in self.reachable(now)}
        known.add(self._address)
        return [seed for seed in seeds if seed not in known]


def has_just_started(heartbeat: int) -> bool:
    """Return whether an instance with this heartbeat counter has just started."""
    return heartbeat <= _STARTUP_HEARTBEATS
