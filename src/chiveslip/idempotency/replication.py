"""Replication of idempotency records to the replicas of a newer view.

When the list of instances changes, each replica copies its records to the replicas in
the new list. Once a majority of the new replicas of each record have stored it, claims
no longer need the answer of the replica that copied the records.
"""

from __future__ import annotations

import asyncio
import collections
from typing import final

from chiveslip import hashing
from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.history import ViewHistory
from chiveslip.fleet.ownership import Ownership
from chiveslip.fleet.peers import Peers
from chiveslip.generated import peer_pb2 as wire
from chiveslip.idempotency.records import IdempotencyKey
from chiveslip.idempotency.records import RecordCopy
from chiveslip.idempotency.records import Records
from chiveslip.idempotency.records import StoredAnswer
from chiveslip.tasks import TaskSet

_MAX_ATTEMPTS = 3


@final
class RecordReplicator:
    """Copies records at each view change and tracks which members have done so."""

    def __init__(
        self,
        *,
        instance_id: str,
        clock: Clock,
        ownership: Ownership,
        peers: Peers,
        records: Records,
        replica_count: int,
        history: ViewHistory,
    ) -> None:
        self._instance_id = instance_id
        self._clock = clock
        self._ownership = ownership
        self._peers = peers
        self._records = records
        self._replica_count = replica_count
        self._history = history
        self._replicated_revisions: dict[str, int] = {}
        self._tasks = TaskSet("idempotency")
        self._logger = logs.get_logger("idempotency")

    async def close(self) -> None:
        """Cancel all transfers."""
        await self._tasks.close()

    async def wait_until_replicated(self, timeout_s: float) -> None:
        """Wait until the current transfers have ended, at most `timeout_s`."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._tasks.join()
        except TimeoutError:
            self._logger.warning(
                "The new replicas did not receive all records before the timeout."
            )

    def start_replication(self) -> None:
        """Start to copy all records to the replicas of the current view."""
        self._tasks.start(self._replicate(self._ownership.view.revision))

    def has_replicated(self, member: str, revision: int) -> bool:
        """Return whether `member` has copied its records to a view after `revision`.

        That view counts only while its replicas are asked for claims: it must be the
        current one, or a past one in the history.
        """
        replicated_revision = self._replicated_revisions.get(member, 0)
        if replicated_revision <= revision:
            return False
        current = self._ownership.view.revision
        past = {view.revision for view in self._history.views(self._clock.now())}
        return replicated_revision == current or replicated_revision in past

    def receive_copies(self, request: wire.CopyRequest) -> bool:
        """Store copied records, or record that a peer has copied all of its own."""
        now = self._clock.now()
        for state in request.records:
            self._records.import_record(_decode_record(state, now))
        if request.settled:
            known_revision = self._replicated_revisions.get(request.instance, 0)
            self._replicated_revisions[request.instance] = max(
                known_revision, request.revision
            )
        return True

    async def _replicate(self, revision: int) -> None:
        now = self._clock.now()
        members = self._ownership.members
        copies: dict[str, list[wire.RecordState]] = collections.defaultdict(list)
        replica_sets: set[tuple[str, ...]] = set()
        for record in self._records.export_records(now):
            replicas = tuple(
                hashing.rank(record.key.name, members)[: self._replica_count]
            )
            replica_sets.add(replicas)
            for replica in replicas:
                copies[replica].append(_encode_record(record, now))
        copies.pop(self._instance_id, None)
        sent = await asyncio.gather(
            *(
                self._send_copies(member, revision, states)
                for member, states in copies.items()
            )
        )
        delivered = {member for member, ok in zip(copies, sent, strict=True) if ok} | {
            self._instance_id
        }
        if not all(_has_majority(replicas, delivered) for replicas in replica_sets):
            return
        if revision != self._ownership.view.revision:
            return
        self._replicated_revisions[self._instance_id] = revision
        others = [member for member in members if member != self._instance_id]
        await asyncio.gather(
            *(self._send_copies(member, revision, None) for member in others)
        )

    async def _send_copies(
        self, member: str, revision: int, states: list[wire.RecordState] | None
    ) -> bool:
        request = wire.CopyRequest(
            instance=self._instance_id,
            revision=revision,
            records=states or (),
            settled=states is None,
        )
        for _ in range(_MAX_ATTEMPTS):
            try:
                return await self._peers.copy(member, request)
            except PeerError:
                continue
        return False


def _has_majority(replicas: tuple[str, ...], delivered: set[str]) -> bool:
    return sum(replica in delivered for replica in replicas) > len(replicas) // 2


def _encode_record(record: RecordCopy, now: float) -> wire.RecordState:
    state = wire.RecordState(
        organisation=record.key.organisation,
        key_hash=record.key.key_hash,
        body_hash=record.body_hash,
        claim=record.claim_id,
        life_seconds=record.expires_at - now,
    )
    if record.finished is not None:
        state.finished = True
        state.status = record.finished.status
        state.answer = record.finished.body
        state.content_type = record.finished.content_type
    return state


def _decode_record(state: wire.RecordState, now: float) -> RecordCopy:
    finished = None
    if state.finished:
        finished = StoredAnswer(
            status=state.status, content_type=state.content_type, body=state.answer
        )
    return RecordCopy(
        key=IdempotencyKey(organisation=state.organisation, key_hash=state.key_hash),
        body_hash=state.body_hash,
        claim_id=state.claim,
        expires_at=now + state.life_seconds,
        finished=finished,
    )
