"""Credits of one organisation at one instance, and what is to be reported home.

A call is charged its reserve before it starts, out of credits that have not
expired; what it did not use is refunded afterwards through the home, never spent
again here, because only the home knows the room in the bucket.
"""

from __future__ import annotations

import collections
from typing import final

import attrs

_USE_WINDOW_S = 1.0


@attrs.frozen(kw_only=True)
class Portion:
    """Tokens out of one grant."""

    grant: int
    tokens: float


@attrs.frozen(kw_only=True)
class Reserve:
    """What one call was charged, at which home's term it was granted."""

    home: str
    portions: tuple[Portion, ...]

    @property
    def tokens(self) -> float:
        """Tokens charged."""
        return sum(portion.tokens for portion in self.portions)


@attrs.frozen(kw_only=True)
class Report:
    """A numbered report for the home, resent unchanged until it is acknowledged."""

    sequence: int
    spent: tuple[Portion, ...]
    refunds: tuple[Portion, ...]


@attrs.define
class _Credit:
    grant: int
    tokens: float
    expires_at: float


@final
class Account:
    """The credits that one instance holds for one organisation."""

    def __init__(self) -> None:
        self._home = ""
        self._credits: collections.deque[_Credit] = collections.deque()
        self._spent: dict[int, float] = {}
        self._refunds: dict[int, float] = {}
        self._pending: Report | None = None
        self._sequence = 0
        self._use_per_s = 0.0
        self._used_at = float("-inf")

    @property
    def home(self) -> str:
        """The home that the credits come from."""
        return self._home

    @property
    def has_news(self) -> bool:
        """Whether there is something to report."""
        return bool(self._pending or self._spent or self._refunds)

    def available(self, now: float) -> float:
        """Return the tokens that can be charged now."""
        self._expire(now)
        return sum(credit.tokens for credit in self._credits)

    def follow(self, home: str) -> None:
        """Take credits from `home` from now on; another home's are dropped.

        The old home's successor starts with the time of these credits behind it,
        or with their sum handed over, so to drop them gives nothing away.
        """
        if home == self._home:
            return
        self._home = home
        self._credits.clear()
        self._spent.clear()
        self._refunds.clear()
        self._pending = None

    def granted(self, grant: int, tokens: float, expires_at: float) -> None:
        """Add a credit; `expires_at` counts from before it was asked for."""
        self._credits.append(_Credit(grant, tokens, expires_at))

    def charge(self, tokens: float, now: float) -> Reserve | None:
        """Charge a call's reserve, or return None if the credits do not cover it."""
        if self.available(now) < tokens:
            return None
        self._note_use(tokens, now)
        portions = []
        left = tokens
        while left > 0:
            credit = self._credits[0]
            taken = min(credit.tokens, left)
            left -= taken
            credit.tokens -= taken
            portions.append(Portion(grant=credit.grant, tokens=taken))
            self._spent[credit.grant] = self._spent.get(credit.grant, 0.0) + taken
            if credit.tokens <= 0:
                self._credits.popleft()
        return Reserve(home=self._home, portions=tuple(portions))

    def settle(self, reserve: Reserve, used: float) -> None:
        """Refund what a call did not use of its reserve."""
        left = max(reserve.tokens - used, 0.0)
        if reserve.home != self._home:
            return
        for portion in reversed(reserve.portions):
            back = min(portion.tokens, left)
            left -= back
            if back > 0:
                self._add_refund(portion.grant, back)

    def wanted(self, needed: float, horizon_s: float, now: float) -> float:
        """Return the tokens to ask for: what is needed, and some ahead of it."""
        idle_s = now - self._used_at
        ahead = self._use_per_s * horizon_s if idle_s < _USE_WINDOW_S else 0.0
        return max(needed + ahead - self.available(now), 0.0)

    def report(self, now: float) -> Report:
        """Return the report that is due; the same one until it is acknowledged."""
        self._expire(now)
        if self._pending is None:
            self._sequence += 1
            self._pending = Report(
                sequence=self._sequence,
                spent=_portions(self._spent),
                refunds=_portions(self._refunds),
            )
            self._spent.clear()
            self._refunds.clear()
        return self._pending

    def acknowledged(self, sequence: int) -> None:
        """Forget the report `sequence`, which the home has."""
        if self._pending is not None and self._pending.sequence == sequence:
            self._pending = None

    def _add_refund(self, grant: int, tokens: float) -> None:
        self._refunds[grant] = self._refunds.get(grant, 0.0) + tokens

    def _expire(self, now: float) -> None:
        while self._credits and self._credits[0].expires_at <= now:
            credit = self._credits.popleft()
            spent = self._spent.get(credit.grant, 0.0)
            self._spent[credit.grant] = spent + credit.tokens
            self._add_refund(credit.grant, credit.tokens)

    def _note_use(self, tokens: float, now: float) -> None:
        idle_s = max(now - self._used_at, 0.0)
        kept = max(1.0 - idle_s / _USE_WINDOW_S, 0.0)
        self._use_per_s = self._use_per_s * kept + tokens / _USE_WINDOW_S
        self._used_at = now


def _portions(amounts: dict[int, float]) -> tuple[Portion, ...]:
    return tuple(Portion(grant=g, tokens=t) for g, t in sorted(amounts.items()))
