"""The bucket never lets more through than rate x time + burst, in any window."""

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
    assert bucket.grant(wanted=10, least=10, now=0.0) == (0, 0.0)


def test_full_bucket_grants_its_burst_and_no_more(bucket: Bucket) -> None:
    grant, tokens = bucket.grant(wanted=1000, least=1, now=100.0)
    assert (grant, tokens) == (1, BURST)
    assert bucket.grant(wanted=1, least=1, now=100.0) == (0, 0.0)


def test_unspent_credit_keeps_its_room(bucket: Bucket) -> None:
    bucket.grant(wanted=BURST, least=1, now=100.0)
    # A second later nothing has flowed in, because all of it may yet be spent.
    assert bucket.grant(wanted=1, least=1, now=101.0) == (0, 0.0)


def test_refund_restores_what_was_not_used(bucket: Bucket) -> None:
    grant, _ = bucket.grant(wanted=300, least=300, now=100.0)
    bucket.spent(grant, 300, 100.0)
    bucket.refund(grant, 200, 100.5)
    # 100 were left, 200 came back, and half a second flowed in.
    assert bucket.wait_s(350) == pytest.approx(0.0)


def test_refund_never_overfills(bucket: Bucket) -> None:
    grant, _ = bucket.grant(wanted=300, least=300, now=100.0)
    bucket.spent(grant, 300, 100.0)
    bucket.refund(grant, 300, 110.0)
    assert bucket.level <= BURST


def test_lower_burst_cuts_the_level(bucket: Bucket) -> None:
    bucket.configure(rate=RATE, burst=50, now=100.0)
    assert bucket.grant(wanted=100, least=1, now=100.0)[1] == 50


@attrs.define
class _Spent:
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


class _World:
    """A bucket and the credits and calls of an instance that uses it."""

    def __init__(self) -> None:
        self.bucket = Bucket(rate=RATE, burst=BURST, credit_s=CREDIT_S, now=0.0)
        self.now = 0.0
        self.credits: list[list[float]] = []
        self.calls: list[_Spent] = []
        self.unreported: list[tuple[int, float]] = []

    def step(self, kind: str, wait_s: float, tokens: float) -> None:
        self.now += wait_s
        getattr(self, kind)(tokens)

    def grant(self, tokens: float) -> None:
        grant, granted = self.bucket.grant(wanted=tokens, least=1, now=self.now)
        if grant:
            self.credits.append([grant, granted, self.now + CREDIT_S])

    def spend(self, tokens: float) -> None:
        for credit in self.credits:
            usable = min(credit[1], tokens) if credit[2] > self.now else 0.0
            if usable > 0:
                credit[1] -= usable
                self.calls.append(_Spent(int(credit[0]), self.now, usable))
                self.unreported.append((int(credit[0]), usable))
                return

    def report(self, _tokens: float) -> None:
        for grant, tokens in self.unreported:
            self.bucket.spent(grant, tokens, self.now)
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
    world = _World()
    for kind, wait_s, tokens in steps:
        world.step(kind, wait_s, tokens)
    calls = sorted(world.calls, key=lambda call: call.at)
    for first in range(len(calls)):
        total = 0.0
        for call in calls[first:]:
            total += call.tokens
            window_s = call.at - calls[first].at
            assert total <= RATE * window_s + BURST + TOLERANCE
