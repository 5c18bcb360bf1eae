"""Claims of at-most-once calls on the replicas of their idempotency records."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import final

import attrs
from returns.result import Success

from chiveslip.clock import Clock
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.history import ViewHistory
from chiveslip.fleet.ownership import Ownership
from chiveslip.fleet.peers import Peers
from chiveslip.generated import peer_pb2 as wire
from chiveslip.idempotency import decision
from chiveslip.idempotency.decision import Quorum
from chiveslip.idempotency.records import IdempotencyKey
from chiveslip.idempotency.records import Records
from chiveslip.idempotency.records import ReplicaAnswer
from chiveslip.idempotency.records import ReplicaOutcome
from chiveslip.idempotency.records import StoredAnswer
from chiveslip.idempotency.replication import RecordReplicator
from chiveslip.tasks import TaskSet

_MAX_FINISH_ATTEMPTS = 3
_VIEW_POLL_INTERVAL_S = 0.1


@attrs.frozen(kw_only=True)
class Claim:
    """Claim to an at-most-once call, and the replicas that received it."""

    key: IdempotencyKey
    id: str
    replicas: tuple[str, ...]
    result: decision.ClaimResult


@final
class Claims:
    """Places, finishes and withdraws claims, and answers those of other instances."""

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
        replicator: RecordReplicator,
    ) -> None:
        self._instance_id = instance_id
        self._clock = clock
        self._ownership = ownership
        self._peers = peers
        self._records = records
        self._replica_count = replica_count
        self._history = history
        self._replicator = replicator
        self._tasks = TaskSet("idempotency")

    async def close(self) -> None:
        """Stop sending outcomes to replicas."""
        await self._tasks.close()

    async def place_claim(
        self, key: IdempotencyKey, body_hash: str, claim_id: str, deadline: float
    ) -> Claim:
        """Request the right to send a call from the replicas of its key.

        Replicas with a newer view refuse, because a claim that they accept after
        copying their records would be lost. The claim then waits until this
        instance has that view.
        """
        while True:
            placed, newest_revision = await self._place_claim_once(
                key, body_hash, claim_id
            )
            if newest_revision <= self._ownership.view.revision:
                break
            if self._clock.now() + _VIEW_POLL_INTERVAL_S >= deadline:
                break
            await asyncio.sleep(_VIEW_POLL_INTERVAL_S)
        if not _is_granted(placed.result):
            self.withdraw_claim(placed)
        return placed

    async def _place_claim_once(
        self, key: IdempotencyKey, body_hash: str, claim_id: str
    ) -> tuple[Claim, int]:
        quorums = self._build_quorums(key)
        members = tuple(sorted({r for quorum in quorums for r in quorum.replicas}))
        request = wire.RememberRequest(
            instance=self._instance_id,
            organisation=key.organisation,
            key_hash=key.key_hash,
            body_hash=body_hash,
            claim=claim_id,
            view_revision=self._ownership.view.revision,
        )
        replies = await asyncio.gather(
            *(self._request_claim(m, request) for m in members)
        )
        answers = {
            member: _parse_reply(reply) if reply is not None else None
            for member, reply in zip(members, replies, strict=True)
        }
        newest_revision = max(
            (r.view_revision for r in replies if r is not None), default=0
        )
        result = decision.decide_claim(answers, quorums)
        return Claim(
            key=key, id=claim_id, replicas=members, result=result
        ), newest_revision

    def _build_quorums(self, key: IdempotencyKey) -> list[Quorum]:
        replica_sets = self._history.replica_sets(
            key.name, self._ownership.members, self._replica_count, self._clock.now()
        )
        return [
            Quorum(
                replicas=replicas.members,
                is_past=replicas.revision > 0,
                replicated=frozenset(
                    member
                    for member in replicas.members
                    if replicas.revision
                    and self._replicator.has_replicated(member, replicas.revision)
                ),
            )
            for replicas in replica_sets
        ]

    def withdraw_claim(self, claim: Claim) -> None:
        """Withdraw the claim of a call that was certainly not sent."""
        self._send_outcome(claim, wire.FinishRequest(not_run=True))

    def record_answer(self, claim: Claim, answer: StoredAnswer | None) -> None:
        """Record the answer of a call at the replicas; None leaves it unknown."""
        if answer is None:
            return
        self._send_outcome(
            claim,
            wire.FinishRequest(
                status=answer.status,
                answer=answer.body,
                content_type=answer.content_type,
            ),
        )

    def answer_remember(self, request: wire.RememberRequest) -> wire.RememberReply:
        """Answer a claim as one of the replicas."""
        revision = self._ownership.view.revision
        if request.view_revision < revision:
            return wire.RememberReply(
                outcome=wire.RememberReply.REFUSED, view_revision=revision
            )
        answer = self._records.place_claim(
            IdempotencyKey(
                organisation=request.organisation, key_hash=request.key_hash
            ),
            body_hash=request.body_hash,
            claim_id=request.claim,
            now=self._clock.now(),
        )
        reply = wire.RememberReply(
            outcome=_TO_WIRE[answer.outcome], view_revision=revision
        )
        if answer.finished is not None:
            reply.finished = True
            reply.status = answer.finished.status
            reply.answer = answer.finished.body
            reply.content_type = answer.finished.content_type
        return reply

    def answer_finish(self, request: wire.FinishRequest) -> bool:
        """Record the outcome of a call as one of the replicas."""
        key = IdempotencyKey(
            organisation=request.organisation, key_hash=request.key_hash
        )
        if request.not_run:
            return self._records.withdraw_claim(key, request.claim)
        answer = StoredAnswer(
            status=request.status,
            content_type=request.content_type,
            body=request.answer,
        )
        return self._records.record_answer(key, request.claim, answer)

    async def _request_claim(
        self, member: str, request: wire.RememberRequest
    ) -> wire.RememberReply | None:
        try:
            if member == self._instance_id:
                return self.answer_remember(request)
            return await self._peers.remember(member, request)
        except PeerError:
            return None

    def _send_outcome(self, claim: Claim, request: wire.FinishRequest) -> None:
        request.instance = self._instance_id
        request.organisation = claim.key.organisation
        request.key_hash = claim.key.key_hash
        request.claim = claim.id
        for member in claim.replicas:
            if member == self._instance_id:
                self.answer_finish(request)
            else:
                self._tasks.start(self._send_outcome_to(member, request))

    async def _send_outcome_to(self, member: str, request: wire.FinishRequest) -> None:
        for _ in range(_MAX_FINISH_ATTEMPTS):
            try:
                await self._peers.finish(member, request)
            except PeerError:
                continue
            return


def _is_granted(result: decision.ClaimResult) -> bool:
    return isinstance(result, Success) and isinstance(result.unwrap(), decision.Granted)


def _parse_reply(reply: wire.RememberReply) -> ReplicaAnswer | None:
    outcome = _FROM_WIRE.get(reply.outcome)
    if outcome is None:
        return None
    finished = None
    if reply.finished:
        finished = StoredAnswer(
            status=reply.status, content_type=reply.content_type, body=reply.answer
        )
    return ReplicaAnswer(outcome=outcome, finished=finished)


_TO_WIRE = {
    ReplicaOutcome.ACCEPTED: wire.RememberReply.ACCEPTED,
    ReplicaOutcome.KNOWN: wire.RememberReply.KNOWN,
    ReplicaOutcome.DIFFERENT_BODY: wire.RememberReply.DIFFERENT_BODY,
    ReplicaOutcome.FULL: wire.RememberReply.FULL,
    ReplicaOutcome.YOUNG: wire.RememberReply.YOUNG,
}
_FROM_WIRE: dict[Sequence[int] | int, ReplicaOutcome] = {
    int(number): outcome for outcome, number in _TO_WIRE.items()
}
