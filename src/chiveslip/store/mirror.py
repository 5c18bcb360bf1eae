"""Local copy of the store's items, updated from the store and from peers.

The revision of an item only increases, so that an outdated answer of the store or a
lagging peer never restores an older value. While this instance cannot reach the
store, it receives the changes from its peers.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import final

from chiveslip.generated import peer_pb2 as wire
from chiveslip.store.client import Changes
from chiveslip.store.client import Item

# Removed keys that are remembered; a peer that needs older ones gets a snapshot.
_MAX_REMOVALS = 5000

STORE_SOURCE = "store"
"""Source of a change that this instance read itself."""

Listener = Callable[[Item, str], None]
"""Called with a change and its source: `STORE_SOURCE`, or the address of a peer."""


@final
class StoreMirror:
    """Items by key, and the revision up to which they include every change."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._removals: collections.OrderedDict[str, Item] = collections.OrderedDict()
        self._revision = 0
        self._removals_complete_from = 0
        self._listeners: list[Listener] = []

    @property
    def revision(self) -> int:
        """Revision up to which every change is included; 0 before the first read."""
        return self._revision

    @property
    def items(self) -> dict[str, Item]:
        """Items by key."""
        return self._items

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with each later change, in the order of application."""
        self._listeners.append(listener)

    def apply_snapshot(self, snapshot: Changes, source: str = STORE_SOURCE) -> None:
        """Apply all items of the store, unless the mirror has a newer revision."""
        if snapshot.revision < self._revision:
            return
        present = {item.key for item in snapshot.items}
        for key in [key for key in self._items if key not in present]:
            known = self._items[key]
            if known.revision <= snapshot.revision:
                removed = Item(key=key, value=None, revision=snapshot.revision)
                self._put(removed, source)
        for item in snapshot.items:
            self._put(item, source)
        self._removals_complete_from = snapshot.revision
        self._revision = snapshot.revision

    def apply_changes(self, changes: Changes, source: str = STORE_SOURCE) -> None:
        """Apply changes that follow the current revision."""
        for item in changes.items:
            self._put(item, source)
        if changes.revision >= self._revision:
            self._revision = changes.revision

    def apply_peer_reply(self, reply: wire.ChangesReply, peer: str) -> None:
        """Apply the changes or the snapshot that a peer sent."""
        if reply.store_revision <= self._revision:
            return
        items = [
            Item(
                key=item.key,
                value=None if item.removed else item.value,
                revision=item.revision,
            )
            for item in reply.items
        ]
        changes = Changes(items=items, revision=reply.store_revision)
        if reply.complete:
            self.apply_snapshot(changes, peer)
        else:
            self.apply_changes(changes, peer)

    def build_changes_reply(self, revision: int) -> wire.ChangesReply:
        """Return the changes for a peer whose mirror is at `revision`.

        The reply is a complete snapshot if the mirror no longer knows all removals
        after that revision.
        """
        complete = revision < self._removals_complete_from
        reply = wire.ChangesReply(store_revision=self._revision, complete=complete)
        after_revision = 0 if complete else revision
        removals = [] if complete else list(self._removals.values())
        for item in [*self._items.values(), *removals]:
            if item.revision > after_revision:
                reply.items.add(
                    key=item.key,
                    value=item.value or b"",
                    revision=item.revision,
                    removed=item.value is None,
                )
        return reply

    def _put(self, item: Item, source: str) -> None:
        known = self._items.get(item.key) or self._removals.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        if item.value is None:
            self._items.pop(item.key, None)
            self._removals[item.key] = item
            if len(self._removals) > _MAX_REMOVALS:
                _, evicted = self._removals.popitem(last=False)
                self._removals_complete_from = max(
                    self._removals_complete_from, evicted.revision
                )
        else:
            self._removals.pop(item.key, None)
            self._items[item.key] = item
        for listener in self._listeners:
            listener(item, source)
