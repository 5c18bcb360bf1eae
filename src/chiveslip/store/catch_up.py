"""Decides when an instance takes changes of the store from its peers.

An instance that reads the store itself has each change within the time of one read.
One whose reads fail or hang has to learn of a withdrawn key or a leaving endpoint
from its peers, soon enough for the bounds that count from the store's
acknowledgement.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import final

import attrs

from chiveslip.store.client import NO_REVISION
from chiveslip.store.client import StoreRevision

# Time for the own read to deliver changes that a peer already has. A read that takes
# longer hangs.
MAX_READ_LAG_S = 0.3
# Revisions whose first mention is remembered. Later ones are treated as mentioned with
# the last of these, so that a long lag never appears shorter.
_MAX_MENTIONS = 64


@attrs.frozen
class _Mention:
    revision: StoreRevision
    at: float


@final
class PeerCatchUp:
    """Newer revisions that peers have, and since when they are known here.

    Parameters
    ----------
    own_revision
        Returns the revision up to which this instance has every change.
    read_began_at
        Returns the local time in seconds at which the current read of the store began,
        or at which the next one begins.
    is_store_lost
        Returns whether the last read of the store failed.
    """

    def __init__(
        self,
        *,
        own_revision: Callable[[], StoreRevision],
        read_began_at: Callable[[], float],
        is_store_lost: Callable[[], bool],
    ) -> None:
        self._own_revision = own_revision
        self._read_began_at = read_began_at
        self._is_store_lost = is_store_lost
        self._mentions: collections.deque[_Mention] = collections.deque()

    def record_peer_revision(self, revision: StoreRevision, now: float) -> None:
        """Record the revision that a peer has.

        A peer without newer changes says nothing about those of other peers.
        """
        newest = self._mentions[-1].revision if self._mentions else NO_REVISION
        if revision <= max(newest, self._own_revision()):
            return
        if len(self._mentions) >= _MAX_MENTIONS:
            last = self._mentions.pop()
            now = last.at
        self._mentions.append(_Mention(revision, now))

    def is_overdue(self, now: float) -> bool:
        """Return whether the own read should have delivered what peers have."""
        own_revision = self._own_revision()
        while self._mentions and self._mentions[0].revision <= own_revision:
            self._mentions.popleft()
        if not self._mentions:
            return False
        if self._is_store_lost():
            return True
        expected_from = max(self._mentions[0].at, self._read_began_at())
        return now >= expected_from + MAX_READ_LAG_S
