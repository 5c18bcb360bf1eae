"""Tests of the credits that an instance holds for an organisation."""

from __future__ import annotations

import random

import pytest

from chiveslip.allowance.account import Account

EXPIRES_AT = 10.0
NOW = 0.0


def _account(credits: list[float]) -> Account:
    account = Account()
    account.set_owner("entry-1")
    for grant, tokens in enumerate(credits, start=1):
        account.add_credit(grant, tokens, EXPIRES_AT)
    return account


@pytest.mark.parametrize(
    ("tokens", "credits"),
    [
        pytest.param(1.0, [0.1, 0.06, 0.84], id="one-token"),
        pytest.param(3.0, [0.3, 0.01, 2.69], id="three-tokens"),
        pytest.param(20.0, [0.2, 0.06, 19.74], id="twenty-tokens"),
        pytest.param(13.0, [3.3395158107196403, 6.191038023743752, 3.469446165536608]),
    ],
)
def test_call_that_takes_all_credits_is_charged_in_spite_of_rounding(
    tokens: float, credits: list[float]
) -> None:
    reservation = _account(credits).charge(tokens, NOW)
    assert reservation is not None
    assert reservation.tokens == pytest.approx(tokens)


def test_charges_of_random_credits_never_exceed_them() -> None:
    generator = random.Random(20261204)
    for _ in range(5000):
        tokens = float(generator.randint(1, 30))
        shares = [generator.random() * tokens / 2 for _ in range(3)]
        credits = [*shares, max(tokens - sum(shares), 0.0)]
        account = _account(credits)
        reservation = account.charge(tokens, NOW)
        charged = 0.0 if reservation is None else reservation.tokens
        assert charged <= sum(credits) * (1 + 1e-12)
        assert account.refresh_available(NOW) >= 0.0
