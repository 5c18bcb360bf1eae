"""The token bucket of one organisation, kept by its home.

Credits that were granted and are not yet known to be spent keep their room in the
bucket: it never fills beyond burst less these. So what all instances spend in any
window stays within rate x time + burst, whenever a credit is used.

What a call reserved and did not use comes back to the moment of its grant: the
history since then is worked out again with the smaller charge, so the level is
what it would have been had the true figure been known.
"""

from __future__ import annotations

import collections
from typing import final

import attrs

_MERGE_S = 0.1
_HISTORY_S = 120.0


@attrs.define
class _Step:
    """Charges within a short time, the room there was, and the time before."""

    at: float
    elapsed_s: float
    room: float
    charged: float
    first_grant: int


@attrs.define
class _Credit:
    tokens: float
    expires_at: float


@attrs.frozen(kw_only=True)
class BucketSnapshot:
    """What a predecessor hands over: level and credits still out, in tokens."""

    level: float
    outstanding: float


@final
class Bucket:
    """Rate and burst of one organisation.

    Parameters
    ----------
    rate
        Tokens per second.
    burst
        Tokens.
    credit_s
        Life of a credit in seconds, counted here from after it was granted.
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
        """Tokens that can be granted at the last update."""
        return self._level

    @property
    def outstanding(self) -> float:
        """Tokens of credits that are out and not known to be spent."""
        return self._outstanding

    @property
    def burst(self) -> float:
        """Burst in tokens."""
        return self._burst

    def adopt(self, snapshot: BucketSnapshot, now: float) -> None:
        """Go on from what a predecessor handed over."""
        if snapshot.outstanding > 0:
            self._open_credit(snapshot.outstanding, now)
        room = max(self._burst - self._outstanding, 0.0)
        self._level = self._base_level = min(max(snapshot.level, 0.0), room)
        self._updated_at = now

    def configure(self, *, rate: float, burst: float, now: float) -> None:
        """Change rate and burst from now on."""
        if (rate, burst) == (self._rate, self._burst):
            return
        self._advance(now)
        # Earlier steps were worked out with the earlier figures and are closed.
        self._steps.clear()
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, max(burst - self._outstanding, 0.0))
        self._base_level = self._level

    def grant(self, *, wanted: float, least: float, now: float) -> tuple[int, float]:
        """Grant up to `wanted` tokens if `least` can be had.

        Returns
        -------
        tuple of int and float
            The grant's number and its tokens; 0 tokens when `least` is not there.
        """
        self._advance(now)
        tokens = min(wanted, self._level)
        if tokens < least or tokens <= 0:
            return 0, 0.0
        grant = self._open_credit(tokens, now)
        self._level -= tokens
        self._record(tokens, grant, now)
        return grant, tokens

    def wait_s(self, tokens: float) -> float:
        """Return the seconds until `tokens` can be there, at the soonest."""
        return max(tokens - self._level, 0.0) / self._rate

    def spent(self, grant: int, tokens: float, now: float) -> None:
        """Note that `tokens` of a credit were charged to a call."""
        self._advance(now)
        self._release(grant, tokens)

    def refund(self, grant: int, tokens: float, now: float) -> None:
        """Take back `tokens` that were reported as spent and will not be used."""
        self._advance(now)
        step = self._step_of(grant)
        if step is None:
            return
        step.charged = max(step.charged - tokens, 0.0)
        self._replay(now)

    def snapshot(self, now: float) -> BucketSnapshot:
        """Return what a successor needs to go on."""
        self._advance(now)
        return BucketSnapshot(level=self._level, outstanding=self._outstanding)

    def _open_credit(self, tokens: float, now: float) -> int:
        grant = self._next_grant
        self._next_grant += 1
        self._credits[grant] = _Credit(tokens, now + self._credit_s)
        self._outstanding += tokens
        return grant

    def _release(self, grant: int, tokens: float) -> None:
        credit = self._credits.get(grant)
        if credit is None:
            return
        taken = min(tokens, credit.tokens)
        credit.tokens -= taken
        self._outstanding -= taken
        if credit.tokens <= 0:
            del self._credits[grant]
        if not self._credits:
            self._outstanding = 0.0

    def _advance(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        room = max(self._burst - self._outstanding, 0.0)
        self._level = _fill(self._level, self._rate * elapsed_s, room)
        self._note_time(elapsed_s, room, now)
        self._updated_at = now
        self._expire(now)

    def _expire(self, now: float) -> None:
        # Credits are held in the order of their grants, hence of their expiry.
        while self._credits:
            grant = next(iter(self._credits))
            if self._credits[grant].expires_at > now:
                return
            self._release(grant, self._credits[grant].tokens)

    def _note_time(self, elapsed_s: float, room: float, now: float) -> None:
        last = self._steps[-1] if self._steps else None
        if last is None or last.elapsed_s > _MERGE_S:
            self._steps.append(_Step(now, elapsed_s, room, 0.0, self._next_grant))
            self._forget_old(now)
            return
        # Merged steps take the smaller room and charge at their end, which never
        # gives more than was there.
        last.at = now
        last.elapsed_s += elapsed_s
        last.room = min(last.room, room)

    def _record(self, tokens: float, grant: int, now: float) -> None:
        last = self._steps[-1] if self._steps else None
        if last is None:
            self._steps.append(_Step(now, 0.0, self._burst, tokens, grant))
            return
        last.charged += tokens

    def _step_of(self, grant: int) -> _Step | None:
        found = None
        for step in self._steps:
            if step.first_grant > grant:
                break
            found = step
        return found

    def _replay(self, now: float) -> None:
        level = self._base_level
        for step in self._steps:
            level = _fill(level, self._rate * step.elapsed_s, step.room)
            level -= step.charged
        # A replay may only raise the level: merging rounds it down otherwise.
        room = max(self._burst - self._outstanding, 0.0)
        self._level = max(self._level, min(level, room))

    def _forget_old(self, now: float) -> None:
        while self._steps and self._steps[0].at < now - _HISTORY_S:
            step = self._steps.popleft()
            self._base_level = _fill(
                self._base_level, self._rate * step.elapsed_s, step.room
            )
            self._base_level = max(self._base_level - step.charged, 0.0)


def _fill(level: float, tokens: float, room: float) -> float:
    """Return `level` after `tokens` flowed in, in a bucket with `room`."""
    return min(level + tokens, room)
