"""Claims of once-only calls at the replicas of their records."""

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
from chiveslip.idempotency import claim as claims
from chiveslip.idempotency.claim import Quorum
from chiveslip.idempotency.copies import RecordCopies
from chiveslip.idempotency.records import KeptAnswer
from chiveslip.idempotency.records import OnceKey
from chiveslip.idempotency.records import Records
from chiveslip.idempotency.records import RememberAnswer
from chiveslip.idempotency.records import RememberOutcome
from chiveslip.tasks import TaskSet

_FINISH_TRIES = 3
_VIEW_WAIT_S = 0.1


@attrs.frozen(kw_only=True)
class Claim:
    """A claim on a once-only call, and the replicas that were asked."""

    key: OnceKey
    id: str
    asked: tuple[str, ...]
    result: claims.ClaimResult


@final
class Claims:
    """Places, finishes and withdraws claims; answers as replica."""

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
        copies: RecordCopies,
    ) -> None:
        self._me = me
        self._clock = clock
        self._ownership = ownership
        self._peers = peers
        self._records = records
        self._replicas = replicas
        self._history = history
        self._copies = copies
        self._tasks = TaskSet("idempotency")

    async def close(self) -> None:
        """Stop telling replicas about outcomes."""
        await self._tasks.close()

    async def place(
        self, key: OnceKey, body_hash: str, claim: str, deadline: float
    ) -> Claim:
        """Ask the replicas of `key` for the right to send its call.

        Replicas that have a newer view refuse, because what they accept after
        giving their records on would be lost; the claim waits for that view.
        """
        while True:
            placed, newest = await self._place_once(key, body_hash, claim)
            if newest <= self._ownership.view.revision:
                break
            if self._clock.now() + _VIEW_WAIT_S >= deadline:
                break
            await asyncio.sleep(_VIEW_WAIT_S)
        if not _is_granted(placed.result):
            self.not_run(placed)
        return placed

    async def _place_once(
        self, key: OnceKey, body_hash: str, claim: str
    ) -> tuple[Claim, int]:
        quorums = self._quorums(key)
        members = tuple(sorted({r for quorum in quorums for r in quorum.replicas}))
        request = wire.RememberRequest(
            instance=self._me,
            organisation=key.organisation,
            key_hash=key.key_hash,
            body_hash=body_hash,
            claim=claim,
            view_revision=self._ownership.view.revision,
        )
        replies = await asyncio.gather(*(self._ask(m, request) for m in members))
        answers = {
            member: _read(reply) if reply is not None else None
            for member, reply in zip(members, replies, strict=True)
        }
        newest = max((r.view_revision for r in replies if r is not None), default=0)
        result = claims.decide(answers, quorums)
        return Claim(key=key, id=claim, asked=members, result=result), newest

    def _quorums(self, key: OnceKey) -> list[Quorum]:
        sets = self._history.replica_sets(
            key.name, self._ownership.members, self._replicas, self._clock.now()
        )
        return [
            Quorum(
                replicas=replicas.members,
                earlier=replicas.revision > 0,
                moved_on=frozenset(
                    member
                    for member in replicas.members
                    if replicas.revision
                    and self._copies.has_moved_on(member, replicas.revision)
                ),
            )
            for replicas in sets
        ]

    def not_run(self, claim: Claim) -> None:
        """Withdraw a claim whose call was surely not sent."""
        self._tell(claim, wire.FinishRequest(not_run=True))

    def finished(self, claim: Claim, answer: KeptAnswer | None) -> None:
        """Note the answer of a call that was sent, or that it is unknown."""
        if answer is None:
            return
        self._tell(
            claim,
            wire.FinishRequest(
                status=answer.status,
                answer=answer.body,
                content_type=answer.content_type,
            ),
        )

    def answer_remember(self, request: wire.RememberRequest) -> wire.RememberReply:
        """Answer a claim as replica."""
        revision = self._ownership.view.revision
        if request.view_revision < revision:
            return wire.RememberReply(
                outcome=wire.RememberReply.REFUSED, view_revision=revision
            )
        answer = self._records.remember(
            OnceKey(organisation=request.organisation, key_hash=request.key_hash),
            body_hash=request.body_hash,
            claim=request.claim,
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
        """Take in the outcome of a call as replica."""
        key = OnceKey(organisation=request.organisation, key_hash=request.key_hash)
        if request.not_run:
            return self._records.withdraw(key, request.claim)
        answer = KeptAnswer(
            status=request.status,
            content_type=request.content_type,
            body=request.answer,
        )
        return self._records.finish(key, request.claim, answer)

    async def _ask(
        self, member: str, request: wire.RememberRequest
    ) -> wire.RememberReply | None:
        try:
            if member == self._me:
                return self.answer_remember(request)
            return await self._peers.remember(member, request)
        except PeerError:
            return None

    def _tell(self, claim: Claim, request: wire.FinishRequest) -> None:
        request.instance = self._me
        request.organisation = claim.key.organisation
        request.key_hash = claim.key.key_hash
        request.claim = claim.id
        for member in claim.asked:
            if member == self._me:
                self.answer_finish(request)
            else:
                self._tasks.start(self._tell_one(member, request))

    async def _tell_one(self, member: str, request: wire.FinishRequest) -> None:
        for _ in range(_FINISH_TRIES):
            try:
                await self._peers.finish(member, request)
            except PeerError:
                continue
            return


def _is_granted(result: claims.ClaimResult) -> bool:
    return isinstance(result, Success) and isinstance(result.unwrap(), claims.Granted)


def _read(reply: wire.RememberReply) -> RememberAnswer | None:
    outcome = _FROM_WIRE.get(reply.outcome)
    if outcome is None:
        return None
    finished = None
    if reply.finished:
        finished = KeptAnswer(
            status=reply.status, content_type=reply.content_type, body=reply.answer
        )
    return RememberAnswer(outcome=outcome, finished=finished)


_TO_WIRE = {
    RememberOutcome.ACCEPTED: wire.RememberReply.ACCEPTED,
    RememberOutcome.KNOWN: wire.RememberReply.KNOWN,
    RememberOutcome.DIFFERENT_BODY: wire.RememberReply.DIFFERENT_BODY,
    RememberOutcome.FULL: wire.RememberReply.FULL,
    RememberOutcome.YOUNG: wire.RememberReply.YOUNG,
}
_FROM_WIRE: dict[Sequence[int] | int, RememberOutcome] = {
    int(number): outcome for outcome, number in _TO_WIRE.items()
}
