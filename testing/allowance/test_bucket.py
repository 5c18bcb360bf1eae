"""Tests that a bucket never grants more than rate x time + burst in any window."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chiveslip.allowance.bucket import Bucket

RATE = 100.0
BURST = 400.0
CREDIT_S = 1.5
TOLERANCE = 1e-6


@pytest.fixture
def bucket() -> Bucket:
    return Bucket(rate=RATE, burst=BURST, credit_s=CREDIT_S, now=0.0)


def test_new_bucket_is_empty(bucket: Bucket) -> None:
    assert bucket.grant(wanted=10, minimum=10, now=0.0) == (0, 0.0)


def test_full_bucket_grants_at_most_its_burst(bucket: Bucket) -> None:
    grant, tokens = bucket.grant(wanted=1000, minimum=1, now=100.0)
    assert (grant, tokens) == (1, BURST)
    assert bucket.grant(wanted=1, minimum=1, now=100.0) == (0, 0.0)


def test_unspent_credit_reduces_capacity(bucket: Bucket) -> None:
    bucket.grant(wanted=BURST, minimum=1, now=100.0)
    # Nothing is added in the next second, because all of the credit may still be spent.
    assert bucket.grant(wanted=1, minimum=1, now=101.0) == (0, 0.0)


def test_refund_restores_unused_tokens(bucket: Bucket) -> None:
    grant, _ = bucket.grant(wanted=300, minimum=300, now=100.0)
    bucket.record_spent(grant, 300, 100.0)
    bucket.refund(grant, 200, 100.5)
    # The 100 left, the 200 refunded and half a second at the rate make 350.
    assert bucket.estimate_wait_s(350) == pytest.approx(0.0)


def test_refund_does_not_exceed_burst(bucket: Bucket) -> None:
    grant, _ = bucket.grant(wanted=300, minimum=300, now=100.0)
    bucket.record_spent(grant, 300, 100.0)
    bucket.refund(grant, 300, 110.0)
    assert bucket.level <= BURST


def test_lower_burst_reduces_level(bucket: Bucket) -> None:
    bucket.configure(rate=RATE, burst=50, now=100.0)
    assert bucket.grant(wanted=100, minimum=1, now=100.0)[1] == 50


@attrs.define
class _Charge:
    grant: int
    at: float
    tokens: float


_steps = st.lists(
    st.tuples(
        st.sampled_from(["grant", "spend", "refund", "report", "lose"]),
        st.floats(0.0, 2.0),
        st.floats(1.0, 500.0),
    ),
    max_size=60,
)


class _SimulatedInstance:
    """An instance's credits and calls, and the bucket that grants the credits."""

    def __init__(self) -> None:
        self.bucket = Bucket(rate=RATE, burst=BURST, credit_s=CREDIT_S, now=0.0)
        self.now = 0.0
        self.credits: list[list[float]] = []
        self.calls: list[_Charge] = []
        self.unreported: list[tuple[int, float]] = []

    def step(self, kind: str, wait_s: float, tokens: float) -> None:
        self.now += wait_s
        getattr(self, kind)(tokens)

    def grant(self, tokens: float) -> None:
        grant, granted = self.bucket.grant(wanted=tokens, minimum=1, now=self.now)
        if grant:
            self.credits.append([grant, granted, self.now + CREDIT_S])

    def spend(self, tokens: float) -> None:
        for credit in self.credits:
            usable = min(credit[1], tokens) if credit[2] > self.now else 0.0
            if usable > 0:
                credit[1] -= usable
                self.calls.append(_Charge(int(credit[0]), self.now, usable))
                self.unreported.append((int(credit[0]), usable))
                return

    def report(self, _tokens: float) -> None:
        for grant, tokens in self.unreported:
            self.bucket.record_spent(grant, tokens, self.now)
        self.unreported.clear()

    def lose(self, _tokens: float) -> None:
        self.unreported.clear()

    def refund(self, tokens: float) -> None:
        self.report(0)
        if not self.calls:
            return
        call = self.calls[0]
        back = min(call.tokens, tokens)
        call.tokens -= back
        self.bucket.refund(call.grant, back, self.now)
        self.calls.append(self.calls.pop(0))


@given(_steps)
def test_no_window_exceeds_rate_and_burst(
    steps: list[tuple[str, float, float]],
) -> None:
    instance = _SimulatedInstance()
    for kind, wait_s, tokens in steps:
        instance.step(kind, wait_s, tokens)
    calls = sorted(instance.calls, key=lambda call: call.at)
    for first in range(len(calls)):
        total = 0.0
        for call in calls[first:]:
            total += call.tokens
            window_s = call.at - calls[first].at
            assert total <= RATE * window_s + BURST + TOLERANCE
