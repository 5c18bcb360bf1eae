"""Which instances are alive, learned from a few seeds and from peers.

Each instance raises a heartbeat number of its own and passes on the numbers that it
knows. A member whose number has not risen for a while, whoever told of it, counts as
gone. Nothing here reads a clock or a socket.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from typing import final

import attrs

from chiveslip.settings.fields import Address

# A member that is gone is remembered this long, so that an old message does not
# bring it back.
_REMEMBERED_S = 60.0
# Members that fell silent longer ago are taken for dead rather than cut off.
_MISSED_S = 10.0
# An instance that beat no more often than this has just started.
_YOUNG_BEATS = 8
# Members told of in one message: as many as keep a message below one packet.
_MOST_TOLD = 20


@attrs.frozen(kw_only=True)
class MemberUpdate:
    """What one message says of a member.

    Attributes
    ----------
    incarnation
        Rises with each start of the instance.
    age_s
        Time in seconds since the teller heard of this heartbeat.
    """

    instance: str
    address: Address
    incarnation: int
    heartbeat: int
    stopping: bool
    age_s: float


@attrs.define
class _Member:
    news: MemberUpdate
    heard_at: float


@final
class Membership:
    """The members that this instance knows, itself included.

    Parameters
    ----------
    heartbeat_timeout_s
        Returns, for a number of members, the time in seconds after which one whose
        heartbeat has not risen is gone.
    """

    def __init__(
        self,
        *,
        instance: str,
        address: Address,
        incarnation: int,
        heartbeat_timeout_s: Callable[[int], float],
    ) -> None:
        self._instance = instance
        self._address = address
        self._incarnation = incarnation
        self._heartbeat_timeout_for = heartbeat_timeout_s
        self._heartbeat_timeout_s = heartbeat_timeout_s(1)
        self._size = 1
        self._heartbeat = 0
        self._members: dict[str, _Member] = {}
        self.stopping = False

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return self._instance

    @property
    def incarnation(self) -> int:
        """Number of this start."""
        return self._incarnation

    @property
    def known_members(self) -> Collection[str]:
        """Names of all other members, also of those gone a short while ago."""
        return self._members.keys()

    @property
    def size(self) -> int:
        """Size of the fleet, this instance and those missed for a short time included.

        A fleet that seems to shrink because news is late must not speak and judge
        like a small one.
        """
        return self._size

    def is_older_peer(self, heartbeat: int) -> bool:
        """Return whether a sender was running well before this instance."""
        return self._heartbeat <= _YOUNG_BEATS < heartbeat - self._heartbeat

    def advance_heartbeat(self, now: float) -> None:
        """Raise the own heartbeat and forget members that are long gone."""
        self._heartbeat += 1
        for name, member in list(self._members.items()):
            if now - member.heard_at > _REMEMBERED_S:
                del self._members[name]
        self._size = 1 + sum(
            not member.news.stopping and now - member.heard_at <= _MISSED_S
            for member in self._members.values()
        )
        self._heartbeat_timeout_s = self._heartbeat_timeout_for(self._size)

    def apply_update(self, news: MemberUpdate, now: float) -> None:
        """Take over news of a member, unless newer ones are known."""
        if news.instance == self._instance:
            # The clock may have been set back between two starts.
            if news.incarnation > self._incarnation:
                self._incarnation = news.incarnation + 1
            return
        known = self._members.get(news.instance)
        order = (news.incarnation, news.stopping, news.heartbeat)
        if known is not None:
            held = known.news
            if order <= (held.incarnation, held.stopping, held.heartbeat):
                return
        self._members[news.instance] = _Member(news, now - news.age_s)

    def own_update(self) -> MemberUpdate:
        """Return what this instance says of itself."""
        return MemberUpdate(
            instance=self._instance,
            address=self._address,
            incarnation=self._incarnation,
            heartbeat=self._heartbeat,
            stopping=self.stopping,
            age_s=0.0,
        )

    def sample_updates(
        self, generator: random.Random, now: float
    ) -> list[MemberUpdate]:
        """Return news of some members, to be passed on."""
        recent = [
            attrs.evolve(member.news, age_s=now - member.heard_at)
            for member in self._members.values()
            if now - member.heard_at <= 2 * self._heartbeat_timeout_s
        ]
        if len(recent) <= _MOST_TOLD:
            return recent
        return generator.sample(recent, _MOST_TOLD)

    def live_members(self, now: float) -> list[str]:
        """Return the members that serve, this instance included, in a fixed order."""
        names = [
            name
            for name, member in self._members.items()
            if not member.news.stopping and self._is_heard(member, now)
        ]
        if not self.stopping:
            names.append(self._instance)
        return sorted(names)

    def reachable(self, now: float) -> list[MemberUpdate]:
        """Return all members that are heard of, also those that are stopping."""
        return [
            member.news
            for member in self._members.values()
            if self._is_heard(member, now)
        ]

    def lost_members(self, now: float) -> list[str]:
        """Return the remembered members that are not heard of any more."""
        return [
            name
            for name, member in self._members.items()
            if not self._is_heard(member, now)
        ]

    def has_quorum(self, now: float) -> bool:
        """Return whether most of the members of the last while are heard of.

        An instance that lost most others at once is likely cut off itself; after
        `_MISSED_S` it takes them for dead. Members that stopped as planned are not
        missed. Of two halves, the one with the first name has the quorum.
        """
        alive = self.live_members(now)
        missed = [
            name
            for name, member in self._members.items()
            if not member.news.stopping
            and not self._is_heard(member, now)
            and now - member.heard_at <= _MISSED_S
        ]
        if len(alive) != len(missed):
            return len(alive) > len(missed)
        return bool(alive) and min(alive) < min(missed)

    def address_of(self, instance: str) -> Address | None:
        """Return the peer address of a member."""
        member = self._members.get(instance)
        return None if member is None else member.news.address

    def incarnation_of(self, instance: str) -> int:
        """Return the incarnation of a member, or 0."""
        member = self._members.get(instance)
        return 0 if member is None else member.news.incarnation

    def unreached_seeds(self, seeds: Iterable[Address], now: float) -> list[Address]:
        """Return the seeds at whose address nobody is known to be alive."""
        known = {news.address for news in self.reachable(now)}
        known.add(self._address)
        return [seed for seed in seeds if seed not in known]

    def _is_heard(self, member: _Member, now: float) -> bool:
        return now - member.heard_at <= self._heartbeat_timeout_s
