"""Idempotency records of at-most-once calls, as one replica stores them.

A record is placed on a majority of the replicas of a key before the first byte of the
call is sent. Each replica accepts the first claim only. No lease is needed, because
two claims cannot both be accepted by a majority.
"""

from __future__ import annotations

import collections
import enum
from typing import final

import attrs


@attrs.frozen(kw_only=True)
class IdempotencyKey:
    """Identity of an at-most-once call.

    Only the hash of the caller's key leaves the instance that received the call.
    """

    organisation: str
    key_hash: str

    @property
    def name(self) -> str:
        """Name that is hashed to choose the replicas."""
        return f"once/{self.organisation}/{self.key_hash}"


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """Answer of a finished call, to be replayed to a repeated call."""

    status: int
    content_type: str
    body: bytes


class ReplicaOutcome(enum.Enum):
    """Outcome of a claim at one replica.

    `ACCEPTED`: the record of the key belongs to this claim. `KNOWN`: it belongs to
    another claim to the same call. `DIFFERENT_BODY`: it belongs to a call with another
    body. `FULL`: there is no record and no room for one. `YOUNG`: the claim was
    accepted, but the replica started too recently to know whether the key was used
    before.
    """

    ACCEPTED = "accepted"
    KNOWN = "known"
    DIFFERENT_BODY = "different body"
    FULL = "full"
    YOUNG = "young"


@attrs.frozen(kw_only=True)
class ReplicaAnswer:
    """A replica's answer to a claim, with the stored answer of a call that has run."""

    outcome: ReplicaOutcome
    finished: StoredAnswer | None = None


@attrs.define
class _Record:
    claim_id: str
    body_hash: str
    expires_at: float
    finished: StoredAnswer | None = None


@attrs.frozen(kw_only=True)
class RecordCopy:
    """Record for transfer to other replicas; `expires_at` is in local seconds."""

    key: IdempotencyKey
    body_hash: str
    claim_id: str
    expires_at: float
    finished: StoredAnswer | None


@attrs.frozen(kw_only=True)
class RecordLimits:
    """Limits of the record table: seconds, number of records, bytes per answer."""

    retention_s: float
    max_records: int
    max_answer_bytes: int


@final
class Records:
    """Records of one replica, in the order of their expiry.

    The table is complete for calls since `complete_since`, in local seconds.
    """

    def __init__(self, limits: RecordLimits, complete_since: float) -> None:
        self._limits = limits
        self._complete_since = complete_since
        self._records: collections.OrderedDict[IdempotencyKey, _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def place_claim(
        self, key: IdempotencyKey, *, body_hash: str, claim_id: str, now: float
    ) -> ReplicaAnswer:
        """Accept a claim and store its record, or return what is known of the key."""
        self._drop_expired(now)
        record = self._records.get(key)
        if record is not None:
            return self._answer_known(record, body_hash, claim_id)
        if len(self._records) >= self._limits.max_records:
            return ReplicaAnswer(outcome=ReplicaOutcome.FULL)
        expires_at = now + self._limits.retention_s
        self._records[key] = _Record(claim_id, body_hash, expires_at)
        if now < self._complete_since + self._limits.retention_s:
            return ReplicaAnswer(outcome=ReplicaOutcome.YOUNG)
        return ReplicaAnswer(outcome=ReplicaOutcome.ACCEPTED)

    def set_complete_since(self, complete_since: float) -> None:
        """Set the local time from which on every call has a record on this replica."""
        self._complete_since = complete_since

    def record_answer(
        self, key: IdempotencyKey, claim_id: str, answer: StoredAnswer | None
    ) -> bool:
        """Record the answer of a call; None leaves its outcome unknown.

        An answer above the size limit is not stored. Returns False if the record is
        missing or belongs to another claim.
        """
        record = self._records.get(key)
        if record is None or record.claim_id != claim_id:
            return False
        if answer is not None and len(answer.body) <= self._limits.max_answer_bytes:
            record.finished = answer
        return True

    def withdraw_claim(self, key: IdempotencyKey, claim_id: str) -> bool:
        """Remove the record of a call that was certainly not sent."""
        record = self._records.get(key)
        if record is None or record.claim_id != claim_id:
            return False
        del self._records[key]
        return True

    def export_records(self, now: float) -> list[RecordCopy]:
        """Drop expired records and return copies of all others."""
        self._drop_expired(now)
        return [
            RecordCopy(
                key=key,
                body_hash=record.body_hash,
                claim_id=record.claim_id,
                expires_at=record.expires_at,
                finished=record.finished,
            )
            for key, record in self._records.items()
        ]

    def import_record(self, copy: RecordCopy) -> None:
        """Store a record of another replica, or add the answer to an unfinished one."""
        record = self._records.get(copy.key)
        if record is None:
            self._records[copy.key] = _Record(
                copy.claim_id, copy.body_hash, copy.expires_at, copy.finished
            )
        elif record.claim_id == copy.claim_id and record.finished is None:
            record.finished = copy.finished

    def _answer_known(
        self, record: _Record, body_hash: str, claim_id: str
    ) -> ReplicaAnswer:
        if record.body_hash != body_hash:
            return ReplicaAnswer(outcome=ReplicaOutcome.DIFFERENT_BODY)
        if record.claim_id == claim_id:
            return ReplicaAnswer(outcome=ReplicaOutcome.ACCEPTED)
        return ReplicaAnswer(outcome=ReplicaOutcome.KNOWN, finished=record.finished)

    def _drop_expired(self, now: float) -> None:
        # Imported records may be out of order, so some are dropped late.
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.expires_at > now:
                return
            del self._records[key]
