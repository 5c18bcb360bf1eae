"""Credits that one instance has for one organisation, and their usage reports.

A call is charged its reservation before it starts, from credits that have not
expired. The unused part is refunded through the owner of the bucket and never spent
again on this instance, because only the owner knows the bucket's capacity.
"""

from __future__ import annotations

import collections
from typing import final

import attrs

_USAGE_WINDOW_S = 1.0


@attrs.frozen(kw_only=True)
class Portion:
    """Tokens of one grant; `grant` is the number that the owner gave it."""

    grant: int
    tokens: float


@attrs.frozen(kw_only=True)
class Reservation:
    """Tokens charged to one call, and the instance that granted them."""

    owner: str
    portions: tuple[Portion, ...]

    @property
    def tokens(self) -> float:
        """Total number of tokens charged."""
        return sum(portion.tokens for portion in self.portions)


@attrs.frozen(kw_only=True)
class UsageReport:
    """Numbered usage statement for the owner, resent unchanged until acknowledged."""

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
    """Credits that one instance holds for one organisation."""

    def __init__(self) -> None:
        self._owner = ""
        self._credits: collections.deque[_Credit] = collections.deque()
        self._spent: dict[int, float] = {}
        self._refunds: dict[int, float] = {}
        self._pending: UsageReport | None = None
        self._sequence = 0
        self._usage_per_s = 0.0
        self._last_charge_at = float("-inf")

    @property
    def owner(self) -> str:
        """Instance that granted the credits, or "" if there is none."""
        return self._owner

    @property
    def has_unreported_usage(self) -> bool:
        """Whether the owner has still to receive spent tokens or refunds."""
        return bool(self._pending or self._spent or self._refunds)

    def refresh_available(self, now: float) -> float:
        """Drop expired credits and return the tokens that can be charged."""
        self._expire_credits(now)
        return sum(credit.tokens for credit in self._credits)

    def set_owner(self, owner: str) -> None:
        """Set the instance that grants credits; drop those of any other instance.

        The new owner starts after these credits have expired, or receives their sum
        in a handover, so dropping them never exceeds the allowance.
        """
        if owner == self._owner:
            return
        self._owner = owner
        self._credits.clear()
        self._spent.clear()
        self._refunds.clear()
        self._pending = None

    def add_credit(self, grant: int, tokens: float, expires_at: float) -> None:
        """Add a credit of `tokens`.

        Parameters
        ----------
        grant
            Number of the grant.
        expires_at
            Local time in seconds. The lifetime is counted from before the request
            was sent, so the credit expires here before it expires at the owner.
        """
        self._credits.append(_Credit(grant, tokens, expires_at))

    def charge(self, tokens: float, now: float) -> Reservation | None:
        """Charge a call, or return None if the credits do not cover `tokens`."""
        if self.refresh_available(now) < tokens:
            return None
        self._record_usage(tokens, now)
        portions = []
        remaining = tokens
        # Rounding may leave a remainder after the last credit.
        while remaining > 0 and self._credits:
            credit = self._credits[0]
            charged = min(credit.tokens, remaining)
            remaining -= charged
            credit.tokens -= charged
            portions.append(Portion(grant=credit.grant, tokens=charged))
            self._spent[credit.grant] = self._spent.get(credit.grant, 0.0) + charged
            if credit.tokens <= 0:
                self._credits.popleft()
        return Reservation(owner=self._owner, portions=tuple(portions))

    def settle(self, reservation: Reservation, used: float) -> None:
        """Refund the part of a reservation that a call did not use.

        Parameters
        ----------
        used
            Tokens that the call used.
        """
        remaining = max(reservation.tokens - used, 0.0)
        if reservation.owner != self._owner:
            return
        for portion in reversed(reservation.portions):
            refunded = min(portion.tokens, remaining)
            remaining -= refunded
            if refunded > 0:
                self._add_refund(portion.grant, refunded)

    def calculate_request(self, required: float, horizon_s: float, now: float) -> float:
        """Return the number of tokens to request from the owner.

        Drops expired credits.

        Parameters
        ----------
        required
            Tokens that waiting calls need.
        horizon_s
            Time in seconds; the use expected within it is requested ahead.
        """
        idle_s = now - self._last_charge_at
        expected_use = (
            self._usage_per_s * horizon_s if idle_s < _USAGE_WINDOW_S else 0.0
        )
        return max(required + expected_use - self.refresh_available(now), 0.0)

    def prepare_report(self, now: float) -> UsageReport:
        """Return the pending report, or create one from the usage recorded so far."""
        self._expire_credits(now)
        if self._pending is None:
            self._sequence += 1
            self._pending = UsageReport(
                sequence=self._sequence,
                spent=_build_portions(self._spent),
                refunds=_build_portions(self._refunds),
            )
            self._spent.clear()
            self._refunds.clear()
        return self._pending

    def acknowledge_report(self, sequence: int) -> None:
        """Discard the pending report if `sequence` is its number."""
        if self._pending is not None and self._pending.sequence == sequence:
            self._pending = None

    def _add_refund(self, grant: int, tokens: float) -> None:
        self._refunds[grant] = self._refunds.get(grant, 0.0) + tokens

    def _expire_credits(self, now: float) -> None:
        while self._credits and self._credits[0].expires_at <= now:
            credit = self._credits.popleft()
            spent = self._spent.get(credit.grant, 0.0)
            self._spent[credit.grant] = spent + credit.tokens
            self._add_refund(credit.grant, credit.tokens)

    def _record_usage(self, tokens: float, now: float) -> None:
        idle_s = max(now - self._last_charge_at, 0.0)
        remaining_share = max(1.0 - idle_s / _USAGE_WINDOW_S, 0.0)
        self._usage_per_s = (
            self._usage_per_s * remaining_share + tokens / _USAGE_WINDOW_S
        )
        self._last_charge_at = now


def _build_portions(amounts: dict[int, float]) -> tuple[Portion, ...]:
    return tuple(Portion(grant=g, tokens=t) for g, t in sorted(amounts.items()))
