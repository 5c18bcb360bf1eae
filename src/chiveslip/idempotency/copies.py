"""Copying of records to the replicas of a newer view.

When the list of instances changes, each holder of records gives them to the replicas
of the new list. Once most of these have them, the holder is settled: what it knew is
known there, and a claim no longer needs its answer.
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
from chiveslip.idempotency.records import KeptAnswer
from chiveslip.idempotency.records import KeptRecord
from chiveslip.idempotency.records import OnceKey
from chiveslip.idempotency.records import Records
from chiveslip.tasks import TaskSet

_TRIES = 3


@final
class RecordCopies:
    """Gives records on at each view, and knows who has done so."""

    def __init__(
        self,
        *,
        me: str,
        clock: Clock,
        ownership: Ownership,
        peers: Peers,
        records: Records,
        replicas: int,
        history: ViewHistory,
    ) -> None:
        self._me = me
        self._clock = clock
        self._ownership = ownership
        self._peers = peers
        self._records = records
        self._replicas = replicas
        self._history = history
        self._settled: dict[str, int] = {}
        self._tasks = TaskSet("idempotency")
        self._logger = logs.get_logger("idempotency")

    async def close(self) -> None:
        """Stop copying."""
        await self._tasks.close()

    async def delivered(self, timeout_s: float) -> None:
        """Wait until what is being copied has arrived."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._tasks.join()
        except TimeoutError:
            self._logger.warning("Records could not be given on in time.")

    def view_adopted(self) -> None:
        """Start to give all records to the replicas of the view just adopted."""
        self._tasks.start(self._copy(self._ownership.view.revision))

    def has_moved_on(self, member: str, revision: int) -> bool:
        """Return whether what `member` knew in a past view is known in a later one.

        The later view has to be one whose replicas a claim asks as well.
        """
        settled = self._settled.get(member, 0)
        if settled <= revision:
            return False
        present = self._ownership.view.revision
        past = {view.revision for view in self._history.views(self._clock.now())}
        return settled == present or settled in past

    def answer(self, request: wire.CopyRequest) -> bool:
        """Take in copies, or the news that a peer has given on all it had."""
        now = self._clock.now()
        for state in request.records:
            self._records.restore(_read(state, now))
        if request.settled:
            known = self._settled.get(request.instance, 0)
            self._settled[request.instance] = max(known, request.revision)
        return True

    async def _copy(self, revision: int) -> None:
        now = self._clock.now()
        members = self._ownership.members
        wanted: dict[str, list[wire.RecordState]] = collections.defaultdict(list)
        sets: set[tuple[str, ...]] = set()
        for record in self._records.kept(now):
            replicas = tuple(hashing.rank(record.key.name, members)[: self._replicas])
            sets.add(replicas)
            for replica in replicas:
                wanted[replica].append(_write(record, now))
        wanted.pop(self._me, None)
        sent = await asyncio.gather(
            *(self._give(to, revision, states) for to, states in wanted.items())
        )
        arrived = {to for to, ok in zip(wanted, sent, strict=True) if ok} | {self._me}
        if not all(_most(replicas, arrived) for replicas in sets):
            return
        if revision != self._ownership.view.revision:
            return
        self._settled[self._me] = revision
        others = [member for member in members if member != self._me]
        await asyncio.gather(*(self._give(to, revision, None) for to in others))

    async def _give(
        self, to: str, revision: int, states: list[wire.RecordState] | None
    ) -> bool:
        request = wire.CopyRequest(
            instance=self._me,
            revision=revision,
            records=states or (),
            settled=states is None,
        )
        for _ in range(_TRIES):
            try:
                return await self._peers.copy(to, request)
            except PeerError:
                continue
        return False


def _most(replicas: tuple[str, ...], arrived: set[str]) -> bool:
    return sum(replica in arrived for replica in replicas) > len(replicas) // 2


def _write(record: KeptRecord, now: float) -> wire.RecordState:
    state = wire.RecordState(
        organisation=record.key.organisation,
        key_hash=record.key.key_hash,
        body_hash=record.body_hash,
        claim=record.claim,
        life_seconds=record.expires_at - now,
    )
    if record.finished is not None:
        state.finished = True
        state.status = record.finished.status
        state.answer = record.finished.body
        state.content_type = record.finished.content_type
    return state


def _read(state: wire.RecordState, now: float) -> KeptRecord:
    finished = None
    if state.finished:
        finished = KeptAnswer(
            status=state.status, content_type=state.content_type, body=state.answer
        )
    return KeptRecord(
        key=OnceKey(organisation=state.organisation, key_hash=state.key_hash),
        body_hash=state.body_hash,
        claim=state.claim,
        expires_at=now + state.life_seconds,
        finished=finished,
    )
