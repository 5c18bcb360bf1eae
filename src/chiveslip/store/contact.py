"""When the store answered this instance, and whether it was away in between.

Entries that expire while the store is away are written again soon after its return, so
that a removal may not be final. An instance whose reads fail cannot tell whether the
store was away or only its own path to it was. A peer whose reads were answered all the
while can: it shows that the store was there.
"""

from __future__ import annotations

from typing import final

import attrs

from chiveslip.clock import Clock

# Interruptions that ended earlier concern no removal any more.
_KEPT_S = 10.0


@attrs.frozen(kw_only=True)
class PeerContact:
    """What a peer says of its reads of the store.

    Attributes
    ----------
    reachable_s
        Time in seconds for which all its reads have been answered.
    answered_s
        Time in seconds since the last answer.
    """

    reachable_s: float
    answered_s: float


@attrs.define(kw_only=True)
class _Interruption:
    """A time in which reads were not answered; times in local seconds.

    Attributes
    ----------
    began_at
        Time of the last answer before it, or of the start of this instance.
    noticed_at
        Time of the first failed read, or of the start of this instance.
    ended_at
        Time of the first answer after it, or None until then.
    peer_return_at
        Time at which a peer's reads were answered again in it, or -inf.
    """

    began_at: float
    noticed_at: float
    ended_at: float | None = None
    peer_return_at: float = float("-inf")

    @property
    def return_at(self) -> float:
        """Time at which the store returned, if it was away."""
        return self.peer_return_at if self.ended_at is None else self.ended_at


@final
class StoreContact:
    """Answers and failures of the reads of the store, here and at peers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        started_at = clock.now()
        self._answered_at = float("-inf")
        self._reachable_since: float | None = None
        self._unreachable_since: float | None = started_at
        self._has_failed = False
        self._return_at = float("-inf")
        self._interruptions = [
            _Interruption(began_at=started_at, noticed_at=started_at)
        ]

    @property
    def answered_at(self) -> float:
        """Local time in seconds at which the last successful read ended, or -inf."""
        return self._answered_at

    @property
    def is_lost(self) -> bool:
        """Whether the last read failed."""
        return self._has_failed

    @property
    def outage_s(self) -> float:
        """Time in seconds for which the store has been unreachable, 0 if reachable."""
        if self._unreachable_since is None:
            return 0.0
        return self._clock.now() - self._unreachable_since

    @property
    def return_at(self) -> float:
        """Local time in seconds at which the store last returned, or -inf.

        An interruption of the own reads counts as an absence of the store until a
        peer has shown that it was not.
        """
        return max([self._return_at, *(each.return_at for each in self._interruptions)])

    def describe(self) -> PeerContact | None:
        """Return what to tell peers, or None while reads are not answered."""
        if self._reachable_since is None:
            return None
        now = self._clock.now()
        return PeerContact(
            reachable_s=now - self._reachable_since, answered_s=now - self._answered_at
        )

    def record_answer(self, *, knew_items: bool) -> None:
        """Record that a read was answered.

        Parameters
        ----------
        knew_items
            Whether items were known before this read. If none were, as at the first
            read of most instances, no removal can follow from an earlier absence.
        """
        now = self._clock.now()
        self._answered_at = now
        if self._unreachable_since is None:
            return
        is_first = self._reachable_since is None and not self._has_failed
        self._unreachable_since = None
        self._has_failed = False
        self._reachable_since = now
        self._interruptions[-1].ended_at = now
        if is_first and not knew_items:
            self._interruptions.pop()
        self._interruptions = [
            each
            for each in self._interruptions
            if each.ended_at is None or each.ended_at >= now - _KEPT_S
        ]

    def record_failure(self) -> None:
        """Record that a read failed."""
        self._has_failed = True
        if self._unreachable_since is not None:
            return
        now = self._clock.now()
        self._unreachable_since = now
        self._reachable_since = None
        self._interruptions.append(
            _Interruption(began_at=self._answered_at, noticed_at=now)
        )

    def record_return(self) -> None:
        """Record that the store has returned from an older copy: it was away."""
        self._return_at = self._clock.now()

    def record_peer(self, contact: PeerContact) -> None:
        """Apply what a peer says of its reads."""
        now = self._clock.now()
        reachable_since = now - contact.reachable_s
        answered_at = now - contact.answered_s
        for each in self._interruptions:
            if each.ended_at is None and reachable_since > each.began_at:
                each.peer_return_at = max(each.peer_return_at, reachable_since)
        self._interruptions = [
            each
            for each in self._interruptions
            if each.ended_at is None
            or reachable_since > each.began_at
            or answered_at < each.noticed_at
        ]
