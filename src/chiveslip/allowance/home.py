"""The buckets that one instance keeps as home, and their messages."""

from __future__ import annotations

import enum
from typing import final

import attrs

from chiveslip.allowance.account import Report
from chiveslip.allowance.bucket import Bucket
from chiveslip.allowance.bucket import BucketSnapshot


@attrs.frozen(kw_only=True)
class Limits:
    """Rate in tokens per second and burst in tokens."""

    rate: float
    burst: float


class CreditOutcome(enum.Enum):
    """What became of a request for credit."""

    GRANTED = "granted"
    WAIT = "wait"
    TOO_LARGE = "too large"


@attrs.frozen(kw_only=True)
class CreditRequest:
    """An instance's request: at best `wanted`, at least `least` tokens.

    Attributes
    ----------
    incarnation
        The asking process; a new process numbers its reports from one again.
    """

    instance: str
    incarnation: str
    wanted: float
    least: float
    report: Report


@attrs.frozen(kw_only=True)
class CreditAnswer:
    """The home's answer; `wait_s` in seconds goes with WAIT."""

    outcome: CreditOutcome
    grant: int = 0
    tokens: float = 0.0
    wait_s: float = 0.0


@attrs.define
class _Kept:
    bucket: Bucket
    term: int
    reported: dict[tuple[str, str], int]


@final
class AllowanceHome:
    """All buckets of one home; the caller checks ownership before each call."""

    def __init__(self, credit_s: float) -> None:
        self._credit_s = credit_s
        self._kept: dict[str, _Kept] = {}

    @property
    def organisations(self) -> tuple[str, ...]:
        """The organisations that have a bucket here."""
        return tuple(self._kept)

    def ask(
        self,
        organisation: str,
        limits: Limits,
        request: CreditRequest,
        *,
        term: int,
        now: float,
    ) -> CreditAnswer:
        """Answer a request for credit; its report is taken in first."""
        if request.least > limits.burst:
            return CreditAnswer(outcome=CreditOutcome.TOO_LARGE)
        kept = self._keep(organisation, limits, term, now)
        self._take_in(kept, request, now)
        bucket = kept.bucket
        if request.wanted <= 0:
            return CreditAnswer(outcome=CreditOutcome.GRANTED)
        grant, tokens = bucket.grant(
            wanted=request.wanted, least=request.least, now=now
        )
        if not grant:
            wait_s = bucket.wait_s(request.least)
            return CreditAnswer(outcome=CreditOutcome.WAIT, wait_s=wait_s)
        return CreditAnswer(outcome=CreditOutcome.GRANTED, grant=grant, tokens=tokens)

    def adopt(
        self,
        organisation: str,
        limits: Limits,
        snapshot: BucketSnapshot,
        *,
        term: int,
        now: float,
    ) -> None:
        """Start from what the predecessor handed over."""
        kept = self._keep(organisation, limits, term, now)
        kept.bucket.adopt(snapshot, now)

    def release(self, organisation: str, now: float) -> BucketSnapshot | None:
        """Give a bucket up; return what the successor needs."""
        kept = self._kept.pop(organisation, None)
        return kept.bucket.snapshot(now) if kept else None

    def drop_all(self) -> None:
        """Forget every bucket, because the lease lapsed."""
        self._kept.clear()

    def _keep(self, organisation: str, limits: Limits, term: int, now: float) -> _Kept:
        kept = self._kept.get(organisation)
        if kept is None or kept.term != term:
            bucket = Bucket(
                rate=limits.rate, burst=limits.burst, credit_s=self._credit_s, now=now
            )
            kept = _Kept(bucket, term, {})
            self._kept[organisation] = kept
        kept.bucket.configure(rate=limits.rate, burst=limits.burst, now=now)
        return kept

    def _take_in(self, kept: _Kept, request: CreditRequest, now: float) -> None:
        sender = (request.instance, request.incarnation)
        if request.report.sequence <= kept.reported.get(sender, 0):
            return
        kept.reported[sender] = request.report.sequence
        for portion in request.report.spent:
            kept.bucket.spent(portion.grant, portion.tokens, now)
        for portion in request.report.refunds:
            kept.bucket.refund(portion.grant, portion.tokens, now)
