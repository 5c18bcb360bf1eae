"""Hand-over of allowances from one home to the next, without the hold-off."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import final

from chiveslip import logs
from chiveslip.allowance.bucket import BucketSnapshot
from chiveslip.allowance.manager import allowance_key
from chiveslip.allowance.owned_buckets import AllowanceLimits
from chiveslip.allowance.owned_buckets import OwnedBuckets
from chiveslip.clock import Clock
from chiveslip.configuration.model import InstanceList
from chiveslip.configuration.model import State
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.ownership import Ownership
from chiveslip.fleet.peers import Peers
from chiveslip.generated import peer_pb2 as wire
from chiveslip.hashing import rank
from chiveslip.tasks import TaskSet

_TRIES = 3


@final
class HandOvers:
    """Gives buckets away when the view moves them, and takes them in."""

    def __init__(
        self,
        *,
        me: str,
        clock: Clock,
        ownership: Ownership,
        peers: Peers,
        home: OwnedBuckets,
        limits_of: Callable[[str], AllowanceLimits | None],
    ) -> None:
        self._me = me
        self._clock = clock
        self._ownership = ownership
        self._peers = peers
        self._home = home
        self._limits_of = limits_of
        self._tasks = TaskSet("handover")
        self._log = logs.get_logger("handover")

    async def close(self) -> None:
        """Stop what still runs."""
        await self._tasks.close()

    async def delivered(self) -> None:
        """Wait until what was given away has arrived, or cannot arrive."""
        await self._tasks.join()

    def before_view(self, view: InstanceList) -> None:
        """Give away what `view` moves, before it is believed in."""
        members = [i.id for i in view.instances.values() if i.state is State.LIVE]
        for successor, request in self._moves(members, view.revision).items():
            self._tasks.start(self._send(successor, request))

    def _moves(
        self, members: list[str], revision: int
    ) -> dict[str, wire.HandOverRequest]:
        now = self._clock.now()
        moved: dict[str, list[wire.BucketState]] = collections.defaultdict(list)
        for account in self._home.organisations:
            successor = next(iter(rank(allowance_key(account), members)), None)
            if successor == self._me:
                continue
            # Only a home that may act knows the bucket's true state.
            held = self._ownership.holds(allowance_key(account), now)
            snapshot = self._home.release_bucket(account, now)
            if held and snapshot is not None and successor is not None:
                moved[successor].append(_state(account, snapshot))
        return {
            successor: wire.HandOverRequest(
                instance=self._me, view_revision=revision, buckets=states
            )
            for successor, states in moved.items()
        }

    def answer(self, request: wire.HandOverRequest) -> bool:
        """Take in what a predecessor hands over.

        It is taken only in the view for which it was handed over; a refused
        sender tries again, and after that the hold-off passes instead.
        """
        if request.view_revision != self._ownership.view.revision:
            return False
        now = self._clock.now()
        for state in request.buckets:
            key = allowance_key(state.organisation)
            limits = self._limits_of(state.organisation)
            if limits is None or self._ownership.home(key) != self._me:
                continue
            if state.organisation in self._home.organisations:
                continue
            self._ownership.take_over(key, request.view_revision)
            self._home.restore_bucket(
                state.organisation,
                limits,
                BucketSnapshot(level=state.level, outstanding=state.outstanding),
                term=self._ownership.term,
                now=now,
            )
        return True

    async def _send(self, successor: str, request: wire.HandOverRequest) -> None:
        for _ in range(_TRIES):
            try:
                if await self._peers.hand_over(successor, request):
                    return
            except PeerError as error:
                self._log.warning("A hand-over failed.", cause=str(error))


def _state(account: str, snapshot: BucketSnapshot) -> wire.BucketState:
    return wire.BucketState(
        organisation=account,
        level=snapshot.level,
        outstanding=snapshot.outstanding,
    )
