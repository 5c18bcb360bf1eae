"""Token bucket of one organisation, managed by the instance that owns it.

Credits that were granted and are not yet reported as spent reduce the capacity of the
bucket to burst minus their sum. The tokens that all instances spend in any window
therefore stay within rate x time + burst, no matter when a credit is used.

A refund of unused tokens applies from the time of their grant: the steps since then
are replayed with the smaller charge, so the level is the one that the actual usage
would have given.
"""

from __future__ import annotations

import collections
from typing import final

import attrs

# Steps are merged up to this length, which limits the number to replay.
_STEP_MERGE_S = 0.1
_HISTORY_RETENTION_S = 120.0


@attrs.define
class _Step:
    """Charges at about the same time, the capacity then, and the time before them."""

    at: float
    elapsed_s: float
    capacity: float
    charged: float
    first_grant: int


@attrs.define
class _Credit:
    tokens: float
    expires_at: float


@attrs.frozen(kw_only=True)
class BucketSnapshot:
    """State handed over to a new owner: level and outstanding credits, in tokens."""

    level: float
    outstanding: float


@final
class Bucket:
    """Token bucket with outstanding credits; it is empty at first.

    Parameters
    ----------
    rate
        Tokens per second.
    burst
        Tokens.
    credit_s
        Lifetime of a credit in seconds. The bucket counts it from the grant, which
        is after the requesting instance starts counting.
    """

    def __init__(
        self, *, rate: float, burst: float, credit_s: float, now: float
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._credit_s = credit_s
        self._credits: dict[int, _Credit] = {}
        self._outstanding = 0.0
        self._base_level = 0.0
        self._level = 0.0
        self._updated_at = now
        self._steps: collections.deque[_Step] = collections.deque()
        self._next_grant = 1

    @property
    def level(self) -> float:
        """Tokens that could be granted at the last update."""
        return self._level

    @property
    def outstanding(self) -> float:
        """Tokens of unexpired credits that are not reported as spent."""
        return self._outstanding

    @property
    def burst(self) -> float:
        """Burst in tokens."""
        return self._burst

    def restore(self, snapshot: BucketSnapshot, now: float) -> None:
        """Restore the state that the previous owner handed over."""
        if snapshot.outstanding > 0:
            self._add_credit(snapshot.outstanding, now)
        capacity = max(self._burst - self._outstanding, 0.0)
        self._level = self._base_level = min(max(snapshot.level, 0.0), capacity)
        self._updated_at = now

    def configure(self, *, rate: float, burst: float, now: float) -> None:
        """Change rate and burst from `now` on."""
        if (rate, burst) == (self._rate, self._burst):
            return
        self._advance(now)
        # Earlier steps used the previous limits, so they are not replayed.
        self._steps.clear()
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, max(burst - self._outstanding, 0.0))
        self._base_level = self._level

    def grant(self, *, wanted: float, minimum: float, now: float) -> tuple[int, float]:
        """Grant up to `wanted` tokens if at least `minimum` are available.

        Returns
        -------
        tuple of int and float
            Number and tokens of the grant; both 0 if `minimum` is not available.
        """
        self._advance(now)
        tokens = min(wanted, self._level)
        if tokens < minimum or tokens <= 0:
            return 0, 0.0
        grant = self._add_credit(tokens, now)
        self._level -= tokens
        self._record_charge(tokens, grant, now)
        return grant, tokens

    def estimate_wait_s(self, tokens: float) -> float:
        """Return the shortest time in seconds until `tokens` can be available."""
        return max(tokens - self._level, 0.0) / self._rate

    def record_spent(self, grant: int, tokens: float, now: float) -> None:
        """Record that `tokens` of a credit were charged to a call."""
        self._advance(now)
        self._reduce_credit(grant, tokens)

    def refund(self, grant: int, tokens: float, now: float) -> None:
        """Refund `tokens` that were reported as spent and were not used.

        A refund of a grant that is older than the history is ignored.
        """
        self._advance(now)
        step = self._find_step(grant)
        if step is None:
            return
        step.charged = max(step.charged - tokens, 0.0)
        self._replay_steps(now)

    def take_snapshot(self, now: float) -> BucketSnapshot:
        """Return the state for the next owner."""
        self._advance(now)
        return BucketSnapshot(level=self._level, outstanding=self._outstanding)

    def _add_credit(self, tokens: float, now: float) -> int:
        grant = self._next_grant
        self._next_grant += 1
        self._credits[grant] = _Credit(tokens, now + self._credit_s)
        self._outstanding += tokens
        return grant

    def _reduce_credit(self, grant: int, tokens: float) -> None:
        credit = self._credits.get(grant)
        if credit is None:
            return
        reduction = min(tokens, credit.tokens)
        credit.tokens -= reduction
        self._outstanding -= reduction
        if credit.tokens <= 0:
            del self._credits[grant]
        if not self._credits:
            self._outstanding = 0.0

    def _advance(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        capacity = max(self._burst - self._outstanding, 0.0)
        self._level = _add_tokens(self._level, self._rate * elapsed_s, capacity)
        self._record_elapsed(elapsed_s, capacity, now)
        self._updated_at = now
        self._expire_credits(now)

    def _expire_credits(self, now: float) -> None:
        # Credits are in the order of their grants, which is also the order of expiry.
        while self._credits:
            grant = next(iter(self._credits))
            if self._credits[grant].expires_at > now:
                return
            self._reduce_credit(grant, self._credits[grant].tokens)

    def _record_elapsed(self, elapsed_s: float, capacity: float, now: float) -> None:
        last = self._steps[-1] if self._steps else None
        if last is None or last.elapsed_s > _STEP_MERGE_S:
            self._steps.append(_Step(now, elapsed_s, capacity, 0.0, self._next_grant))
            self._drop_old_steps(now)
            return
        # A merged step has the smaller capacity and its charges at its end, so a replay
        # never yields more tokens than were available.
        last.at = now
        last.elapsed_s += elapsed_s
        last.capacity = min(last.capacity, capacity)

    def _record_charge(self, tokens: float, grant: int, now: float) -> None:
        last = self._steps[-1] if self._steps else None
        if last is None:
            self._steps.append(_Step(now, 0.0, self._burst, tokens, grant))
            return
        last.charged += tokens

    def _find_step(self, grant: int) -> _Step | None:
        found = None
        for step in self._steps:
            if step.first_grant > grant:
                break
            found = step
        return found

    def _replay_steps(self, now: float) -> None:
        level = self._base_level
        for step in self._steps:
            level = _add_tokens(level, self._rate * step.elapsed_s, step.capacity)
            level -= step.charged
        # Merged steps round the replayed level down, so a replay must not lower it.
        capacity = max(self._burst - self._outstanding, 0.0)
        self._level = max(self._level, min(level, capacity))

    def _drop_old_steps(self, now: float) -> None:
        while self._steps and self._steps[0].at < now - _HISTORY_RETENTION_S:
            step = self._steps.popleft()
            self._base_level = _add_tokens(
                self._base_level, self._rate * step.elapsed_s, step.capacity
            )
            self._base_level = max(self._base_level - step.charged, 0.0)


def _add_tokens(level: float, tokens: float, capacity: float) -> float:
    """Return `level` after adding `tokens`, limited to `capacity`."""
    return min(level + tokens, capacity)
