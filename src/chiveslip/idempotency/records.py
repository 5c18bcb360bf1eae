"""Records of calls that may not be repeated, as one replica holds them.

A record is placed at most of a key's replicas before the first byte of its call
goes out. The first claim wins at each replica; nothing here needs a lease, because
two claims cannot both win at most of the replicas.
"""

from __future__ import annotations

import collections
import enum
from typing import final

import attrs


@attrs.frozen(kw_only=True)
class OnceKey:
    """Identity of a once-only call; the key itself never leaves its instance."""

    organisation: str
    key_hash: str

    @property
    def name(self) -> str:
        """The key under which its replicas are chosen."""
        return f"once/{self.organisation}/{self.key_hash}"


@attrs.frozen(kw_only=True)
class KeptAnswer:
    """The answer of a finished call, for a caller that asks again."""

    status: int
    content_type: str
    body: bytes


class RememberOutcome(enum.Enum):
    """What a replica says to a claim."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    DIFFERENT_BODY = "different body"
    FULL = "full"
    YOUNG = "young"


@attrs.frozen(kw_only=True)
class RememberAnswer:
    """A replica's answer to a claim.

    YOUNG means accepted by a replica that started so late that it cannot know
    whether the key was used before.
    """

    outcome: RememberOutcome
    finished: KeptAnswer | None = None


@attrs.define
class _Record:
    claim: str
    body_hash: str
    expires_at: float
    finished: KeptAnswer | None = None


@attrs.frozen(kw_only=True)
class KeptRecord:
    """A record as it is given on; `expires_at` in local seconds."""

    key: OnceKey
    body_hash: str
    claim: str
    expires_at: float
    finished: KeptAnswer | None


@attrs.frozen(kw_only=True)
class RecordLimits:
    """How long and how many records are held; times in seconds, sizes in bytes."""

    retention_s: float
    most: int
    answer_bytes: int


@final
class Records:
    """The records of one replica, in the order of their expiry."""

    def __init__(self, limits: RecordLimits, known_since: float) -> None:
        self._limits = limits
        self._known_since = known_since
        self._held: collections.OrderedDict[OnceKey, _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._held)

    def remember(
        self, key: OnceKey, *, body_hash: str, claim: str, now: float
    ) -> RememberAnswer:
        """Place a record, or say what is known of the key."""
        self._expire(now)
        record = self._held.get(key)
        if record is not None:
            return self._known(record, body_hash, claim)
        if len(self._held) >= self._limits.most:
            return RememberAnswer(outcome=RememberOutcome.FULL)
        expires_at = now + self._limits.retention_s
        self._held[key] = _Record(claim, body_hash, expires_at)
        if now < self._known_since + self._limits.retention_s:
            return RememberAnswer(outcome=RememberOutcome.YOUNG)
        return RememberAnswer(outcome=RememberOutcome.ACCEPTED)

    def know_all_since(self, known_since: float) -> None:
        """Note that no call before `known_since` can be unknown here."""
        self._known_since = known_since

    def finish(self, key: OnceKey, claim: str, answer: KeptAnswer | None) -> bool:
        """Note a call's answer, or with None that its outcome stays unknown."""
        record = self._held.get(key)
        if record is None or record.claim != claim:
            return False
        if answer is not None and len(answer.body) <= self._limits.answer_bytes:
            record.finished = answer
        return True

    def withdraw(self, key: OnceKey, claim: str) -> bool:
        """Forget a claim whose call was surely not sent."""
        record = self._held.get(key)
        if record is None or record.claim != claim:
            return False
        del self._held[key]
        return True

    def kept(self, now: float) -> list[KeptRecord]:
        """Return all records, to give them on."""
        self._expire(now)
        return [
            KeptRecord(
                key=key,
                body_hash=record.body_hash,
                claim=record.claim,
                expires_at=record.expires_at,
                finished=record.finished,
            )
            for key, record in self._held.items()
        ]

    def restore(self, kept: KeptRecord) -> None:
        """Take in a record from another replica, unless there is one."""
        record = self._held.get(kept.key)
        if record is None:
            self._held[kept.key] = _Record(
                kept.claim, kept.body_hash, kept.expires_at, kept.finished
            )
        elif record.claim == kept.claim and record.finished is None:
            record.finished = kept.finished

    def _known(self, record: _Record, body_hash: str, claim: str) -> RememberAnswer:
        if record.body_hash != body_hash:
            return RememberAnswer(outcome=RememberOutcome.DIFFERENT_BODY)
        if record.claim == claim:
            return RememberAnswer(outcome=RememberOutcome.ACCEPTED)
        return RememberAnswer(outcome=RememberOutcome.KNOWN, finished=record.finished)

    def _expire(self, now: float) -> None:
        # Restored records may stand out of order; they are dropped a little late.
        while self._held:
            key, record = next(iter(self._held.items()))
            if record.expires_at > now:
                return
            del self._held[key]
