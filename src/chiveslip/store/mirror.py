"""A copy of the store's items, fed by the store itself and by peers.

Revisions only rise: neither a store that answers from the past nor a peer that
lags brings an older value back. While this instance cannot reach the store, peers
pass on what changed.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import final

from chiveslip.generated import peer_pb2 as wire
from chiveslip.store.client import Changes
from chiveslip.store.client import Item

_MOST_REMOVALS = 5000

Listener = Callable[[Item], None]


@final
class StoreMirror:
    """Items by key, and the revision up to which they are complete."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._removals: collections.OrderedDict[str, Item] = collections.OrderedDict()
        self._revision = 0
        self._complete_from = 0
        self._behind_since: float | None = None
        self._listeners: list[Listener] = []

    @property
    def revision(self) -> int:
        """Revision up to which no change is missing; 0 before the first read."""
        return self._revision

    @property
    def items(self) -> dict[str, Item]:
        """Items by key."""
        return self._items

    def listen(self, listener: Listener) -> None:
        """Call `listener` with each change from now on."""
        self._listeners.append(listener)

    def replace(self, everything: Changes) -> None:
        """Take over all items, unless newer ones are known."""
        if everything.revision < self._revision:
            return
        present = {item.key for item in everything.items}
        for key in [key for key in self._items if key not in present]:
            held = self._items[key]
            if held.revision <= everything.revision:
                self._put(Item(key=key, value=None, revision=everything.revision))
        for item in everything.items:
            self._put(item)
        self._complete_from = everything.revision
        self._revision = everything.revision

    def apply(self, changes: Changes) -> None:
        """Take over changes that follow the present revision."""
        for item in changes.items:
            self._put(item)
        if changes.revision >= self._revision:
            self._revision = changes.revision
            self._behind_since = None

    def lags_behind(self, peer_revision: int, patience_s: float, now: float) -> bool:
        """Return whether a peer has had newer changes for `patience_s` seconds."""
        if peer_revision <= self._revision:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= patience_s

    def take_from_peer(self, reply: wire.ChangesReply, now: float) -> None:
        """Take over what a peer sent."""
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
            self.replace(changes)
        else:
            self.apply(changes)

    def changes_after(self, revision: int) -> wire.ChangesReply:
        """Return what a peer lacks that is at `revision`."""
        complete = revision < self._complete_from
        reply = wire.ChangesReply(store_revision=self._revision, complete=complete)
        after = 0 if complete else revision
        removals = [] if complete else list(self._removals.values())
        for item in [*self._items.values(), *removals]:
            if item.revision > after:
                reply.items.add(
                    key=item.key,
                    value=item.value or b"",
                    revision=item.revision,
                    removed=item.value is None,
                )
        return reply

    def _put(self, item: Item) -> None:
        held = self._items.get(item.key) or self._removals.get(item.key)
        if held is not None and held.revision >= item.revision:
            return
        if item.value is None:
            self._items.pop(item.key, None)
            self._removals[item.key] = item
            if len(self._removals) > _MOST_REMOVALS:
                _, dropped = self._removals.popitem(last=False)
                self._complete_from = max(self._complete_from, dropped.revision)
        else:
            self._removals.pop(item.key, None)
            self._items[item.key] = item
        for listener in self._listeners:
            listener(item)
