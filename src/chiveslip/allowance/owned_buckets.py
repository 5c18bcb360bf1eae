"""Token buckets that one instance owns, and the requests for their credits."""

from __future__ import annotations

import enum
from typing import final

import attrs

from chiveslip.allowance.account import UsageReport
from chiveslip.allowance.bucket import Bucket
from chiveslip.allowance.bucket import BucketSnapshot


@attrs.frozen(kw_only=True)
class AllowanceLimits:
    """Rate in tokens per second and burst in tokens."""

    rate: float
    burst: float


class CreditOutcome(enum.Enum):
    """Outcome of a request for credit."""

    GRANTED = "granted"
    WAIT = "wait"
    TOO_LARGE = "too large"


@attrs.frozen(kw_only=True)
class CreditRequest:
    """Request of an instance for up to `wanted`, but at least `minimum` tokens.

    Attributes
    ----------
    incarnation
        Id of the requesting process. A new process numbers its reports from 1.
    """

    instance: str
    incarnation: str
    wanted: float
    minimum: float
    report: UsageReport


@attrs.frozen(kw_only=True)
class CreditAnswer:
    """Answer of the owner; `wait_s`, in seconds, is set if the outcome is WAIT."""

    outcome: CreditOutcome
    grant: int = 0
    tokens: float = 0.0
    wait_s: float = 0.0


@attrs.define
class _OwnedBucket:
    bucket: Bucket
    term: int
    last_sequences: dict[tuple[str, str], int]


@final
class OwnedBuckets:
    """Buckets of all organisations that this instance owns.

    The caller checks the ownership before each call.
    """

    def __init__(self, credit_s: float) -> None:
        self._credit_s = credit_s
        self._buckets: dict[str, _OwnedBucket] = {}

    @property
    def organisations(self) -> tuple[str, ...]:
        """Organisations that have a bucket on this instance."""
        return tuple(self._buckets)

    def grant_credit(
        self,
        organisation: str,
        limits: AllowanceLimits,
        request: CreditRequest,
        *,
        term: int,
        now: float,
    ) -> CreditAnswer:
        """Apply the report of a request, then grant the credit if it is available.

        Parameters
        ----------
        term
            Number of this instance's lease; a bucket of an earlier term is replaced
            by an empty one.
        now
            Local time in seconds.
        """
        if request.minimum > limits.burst:
            return CreditAnswer(outcome=CreditOutcome.TOO_LARGE)
        owned = self._get_or_create(organisation, limits, term, now)
        self._apply_report(owned, request, now)
        bucket = owned.bucket
        if request.wanted <= 0:
            return CreditAnswer(outcome=CreditOutcome.GRANTED)
        grant, tokens = bucket.grant(
            wanted=request.wanted, minimum=request.minimum, now=now
        )
        if not grant:
            wait_s = bucket.estimate_wait_s(request.minimum)
            return CreditAnswer(outcome=CreditOutcome.WAIT, wait_s=wait_s)
        return CreditAnswer(outcome=CreditOutcome.GRANTED, grant=grant, tokens=tokens)

    def restore_bucket(
        self,
        organisation: str,
        limits: AllowanceLimits,
        snapshot: BucketSnapshot,
        *,
        term: int,
        now: float,
    ) -> None:
        """Restore a bucket that the previous owner handed over."""
        owned = self._get_or_create(organisation, limits, term, now)
        owned.bucket.restore(snapshot, now)

    def release_bucket(self, organisation: str, now: float) -> BucketSnapshot | None:
        """Remove a bucket and return its state for the next owner, or None."""
        owned = self._buckets.pop(organisation, None)
        return owned.bucket.take_snapshot(now) if owned else None

    def drop_all_buckets(self) -> None:
        """Drop all buckets because the lease expired."""
        self._buckets.clear()

    def _get_or_create(
        self, organisation: str, limits: AllowanceLimits, term: int, now: float
    ) -> _OwnedBucket:
        owned = self._buckets.get(organisation)
        if owned is None or owned.term != term:
            bucket = Bucket(
                rate=limits.rate, burst=limits.burst, credit_s=self._credit_s, now=now
            )
            owned = _OwnedBucket(bucket, term, {})
            self._buckets[organisation] = owned
        owned.bucket.configure(rate=limits.rate, burst=limits.burst, now=now)
        return owned

    def _apply_report(
        self, owned: _OwnedBucket, request: CreditRequest, now: float
    ) -> None:
        sender = (request.instance, request.incarnation)
        if request.report.sequence <= owned.last_sequences.get(sender, 0):
            return
        owned.last_sequences[sender] = request.report.sequence
        for portion in request.report.spent:
            owned.bucket.record_spent(portion.grant, portion.tokens, now)
        for portion in request.report.refunds:
            owned.bucket.refund(portion.grant, portion.tokens, now)
