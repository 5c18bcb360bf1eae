"""Hand-over of allowance buckets, so that the new owner skips the hold-off delay."""

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

_MAX_ATTEMPTS = 3


@final
class HandOvers:
    """Sends buckets to new owners when the view changes, and receives buckets."""

    def __init__(
        self,
        *,
        instance_id: str,
        clock: Clock,
        ownership: Ownership,
        peers: Peers,
        owned_buckets: OwnedBuckets,
        limits_of: Callable[[str], AllowanceLimits | None],
    ) -> None:
        self._instance_id = instance_id
        self._clock = clock
        self._ownership = ownership
        self._peers = peers
        self._owned_buckets = owned_buckets
        self._limits_of = limits_of
        self._tasks = TaskSet("handover")
        self._log = logs.get_logger("handover")

    async def close(self) -> None:
        """Cancel hand-overs that are still running."""
        await self._tasks.close()

    async def wait_until_finished(self) -> None:
        """Wait until every hand-over has been accepted or has failed."""
        await self._tasks.join()

    def hand_over_moved_buckets(self, view: InstanceList) -> None:
        """Hand over the buckets whose owner changes with `view`.

        Must be called before `view` replaces the current view.
        """
        members = [i.id for i in view.instances.values() if i.state is State.LIVE]
        for successor, request in self._release_moved_buckets(
            members, view.revision
        ).items():
            self._tasks.start(self._send(successor, request))

    def _release_moved_buckets(
        self, members: list[str], revision: int
    ) -> dict[str, wire.HandOverRequest]:
        now = self._clock.now()
        moved: dict[str, list[wire.BucketState]] = collections.defaultdict(list)
        for account in self._owned_buckets.organisations:
            successor = next(iter(rank(allowance_key(account), members)), None)
            if successor == self._instance_id:
                continue
            # Only an owner that may act has the bucket's true state.
            is_owner = self._ownership.check_ownership(allowance_key(account), now)
            snapshot = self._owned_buckets.release_bucket(account, now)
            if is_owner and snapshot is not None and successor is not None:
                moved[successor].append(_bucket_state(account, snapshot))
        return {
            successor: wire.HandOverRequest(
                instance=self._instance_id, view_revision=revision, buckets=states
            )
            for successor, states in moved.items()
        }

    def answer_hand_over(self, request: wire.HandOverRequest) -> bool:
        """Accept the buckets that a predecessor hands over.

        Returns
        -------
        bool
            False if the current view is not the one that the request is for. The sender
            then retries; if that fails as well, this instance waits for the hold-off
            delay.
        """
        if request.view_revision != self._ownership.view.revision:
            return False
        now = self._clock.now()
        for state in request.buckets:
            key = allowance_key(state.organisation)
            limits = self._limits_of(state.organisation)
            if limits is None or self._ownership.owner_of(key) != self._instance_id:
                continue
            if state.organisation in self._owned_buckets.organisations:
                continue
            self._ownership.record_handover(key, request.view_revision)
            self._owned_buckets.restore_bucket(
                state.organisation,
                limits,
                BucketSnapshot(level=state.level, outstanding=state.outstanding),
                term=self._ownership.term,
                now=now,
            )
        return True

    async def _send(self, successor: str, request: wire.HandOverRequest) -> None:
        for _ in range(_MAX_ATTEMPTS):
            try:
                if await self._peers.hand_over(successor, request):
                    return
            except PeerError as error:
                self._log.warning("Hand-over to a peer failed.", cause=str(error))


def _bucket_state(account: str, snapshot: BucketSnapshot) -> wire.BucketState:
    return wire.BucketState(
        organisation=account,
        level=snapshot.level,
        outstanding=snapshot.outstanding,
    )
