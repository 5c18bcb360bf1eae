"""Local copy of the store's items, updated from the store and from peers.

The revision of an item only increases, so that an outdated answer of the store or a
lagging peer never restores an older value. While this instance cannot reach the
store, it receives the changes from its peers.

When the store returns from an older copy, its items have revisions of a later era. They
are taken, but a value that is older by its content than the known one is not.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import final

import attrs

from chiveslip.generated import peer_pb2 as wire
from chiveslip.store.client import NO_REVISION
from chiveslip.store.client import Changes
from chiveslip.store.client import Item
from chiveslip.store.client import StoreRevision

# Removed keys that are remembered; a peer that needs older ones gets a snapshot.
_MAX_REMOVALS = 5000

STORE_SOURCE = "store"
"""Source of a change that this instance read itself."""

Listener = Callable[[Item, str], None]
"""Called with a change and its source: `STORE_SOURCE`, or the address of a peer."""

ChooseValue = Callable[[str, bytes | None, bytes | None], bytes | None]
"""Returns which value of a key holds, the known one or that of a later era's copy."""


@attrs.frozen(kw_only=True)
class EraChange:
    """A return of the store from an older copy.

    Attributes
    ----------
    known, copy
        Revisions of this instance before it, and of the copy when it was read.
    source
        `STORE_SOURCE`, or the address of the peer that told of it.
    kept_keys
        Keys whose known value, or removal, was kept against the copy.
    """

    known: StoreRevision
    copy: StoreRevision
    source: str
    kept_keys: list[str]


def choose_copy(key: str, known: bytes | None, copy: bytes | None) -> bytes | None:
    """Choose the value of the copy."""
    del key, known
    return copy


@final
class StoreMirror:
    """Items by key, and the revision up to which they include every change.

    Parameters
    ----------
    choose_value
        Chooses between the known value of a key and that of a later era.
    """

    def __init__(self, choose_value: ChooseValue = choose_copy) -> None:
        self._choose_value = choose_value
        self._era_listeners: list[Callable[[EraChange], None]] = []
        self._items: dict[str, Item] = {}
        self._removals: collections.OrderedDict[str, Item] = collections.OrderedDict()
        self._revision = NO_REVISION
        self._removals_complete_from = NO_REVISION
        self._listeners: list[Listener] = []

    @property
    def revision(self) -> StoreRevision:
        """Revision up to which every change is included."""
        return self._revision

    @property
    def items(self) -> dict[str, Item]:
        """Items by key."""
        return self._items

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with each later change, in the order of application."""
        self._listeners.append(listener)

    def add_era_listener(self, listener: Callable[[EraChange], None]) -> None:
        """Call `listener` at each return of the store, before its items are applied."""
        self._era_listeners.append(listener)

    def apply_snapshot(self, snapshot: Changes, source: str = STORE_SOURCE) -> None:
        """Apply all items of the store, unless the mirror has a newer revision."""
        if snapshot.revision < self._revision:
            return
        present = {item.key for item in snapshot.items}
        missing = [
            Item(key=key, value=None, revision=snapshot.revision)
            for key, known in self._items.items()
            if key not in present
            and known.revision <= snapshot.revision
            and not _is_kept(known, snapshot.revision)
        ]
        items = [*missing, *snapshot.items]
        if snapshot.revision.era > self._revision.era:
            chosen = self._choose_items(items)
            kept = [
                item.key
                for item, copy in zip(chosen, items, strict=True)
                if item.value != copy.value
            ]
            self._notify_of_era(snapshot.revision, source, kept)
            items = chosen
        for item in items:
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
        revision = StoreRevision(reply.store_era, reply.store_revision)
        if revision <= self._revision:
            return
        items = [
            Item(
                key=item.key,
                value=None if item.removed else item.value,
                revision=StoreRevision(item.era, item.revision),
                is_kept_removal=item.removed and reply.complete,
                is_kept_value=item.is_kept,
            )
            for item in reply.items
        ]
        changes = Changes(items=items, revision=revision)
        if reply.complete:
            self.apply_snapshot(changes, peer)
        else:
            self.apply_changes(changes, peer)

    def merge_peer_values(self, reply: wire.ChangesReply, peer: str) -> None:
        """Take the values of a peer that are newer by content than those of the copy.

        For an instance that read the copy, and does not know all that was known before.
        Removals that the peer keeps against the copy are taken, too, and values that
        the copy lacks, unless the key may have been removed since.
        """
        if reply.store_era != self._revision.era:
            return
        is_behind = reply.store_revision < self._revision.number
        for sent in reply.items:
            own = self._items.get(sent.key)
            if own is None:
                if sent.is_kept and not is_behind:
                    self._put_kept(sent, peer)
                continue
            if sent.removed:
                self._merge_removal(own, StoreRevision(sent.era, sent.revision), peer)
                continue
            if sent.value == own.value:
                continue
            if self._choose_value(sent.key, sent.value, own.value) == sent.value:
                self._set(attrs.evolve(own, value=sent.value), peer)

    def _put_kept(self, sent: wire.StoreItem, peer: str) -> None:
        """Take a value that a peer keeps although the copy lacks its key."""
        revision = StoreRevision(sent.era, sent.revision)
        kept = Item(
            key=sent.key, value=sent.value, revision=revision, is_kept_value=True
        )
        self._put(kept, peer)

    def _merge_removal(self, own: Item, removed_at: StoreRevision, peer: str) -> None:
        """Remove a key that a peer keeps removed, unless it was written again."""
        if own.revision <= removed_at:
            self._set(attrs.evolve(own, value=None, is_kept_removal=True), peer)

    def build_changes_reply(self, revision: StoreRevision) -> wire.ChangesReply:
        """Return the changes for a peer whose mirror is at `revision`.

        The reply is a complete snapshot if the mirror no longer knows all removals
        after that revision. A snapshot includes the removals that are kept against the
        copy of this era.
        """
        complete = revision < self._removals_complete_from
        reply = wire.ChangesReply(
            store_era=self._revision.era,
            store_revision=self._revision.number,
            complete=complete,
        )
        after_revision = NO_REVISION if complete else revision
        removals = [
            item
            for item in self._removals.values()
            if not complete
            or (item.is_kept_removal and item.revision.era == self._revision.era)
        ]
        for item in [*self._items.values(), *removals]:
            if item.revision > after_revision:
                reply.items.add(
                    key=item.key,
                    value=item.value or b"",
                    era=item.revision.era,
                    revision=item.revision.number,
                    removed=item.value is None,
                    is_kept=item.is_kept_value,
                )
        return reply

    def _choose_items(self, copy: list[Item]) -> list[Item]:
        """Return the items of a later era, with the values that hold."""
        return [
            self._choose_item(item)
            if item.key in self._items or item.key in self._removals
            else item
            for item in copy
        ]

    def _choose_item(self, item: Item) -> Item:
        removal = self._removals.get(item.key)
        if (
            item.value is not None
            and removal is not None
            and removal.revision.number < item.revision.number
        ):
            # The key was written after the removal that is known here.
            return item
        value = self._choose_value(item.key, self._known_value(item.key), item.value)
        is_kept = item.is_kept_removal or item.value is not None
        return attrs.evolve(
            item,
            value=value,
            is_kept_removal=value is None and is_kept,
            is_kept_value=value is not None
            and (item.is_kept_value or item.value is None),
        )

    def _known_value(self, key: str) -> bytes | None:
        known = self._items.get(key)
        return None if known is None else known.value

    def _notify_of_era(
        self, copy: StoreRevision, source: str, kept_keys: list[str]
    ) -> None:
        if self._revision == NO_REVISION:
            return
        change = EraChange(
            known=self._revision, copy=copy, source=source, kept_keys=kept_keys
        )
        for listener in self._era_listeners:
            listener(change)

    def _put(self, item: Item, source: str) -> None:
        known = self._items.get(item.key) or self._removals.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        self._set(item, source)

    def _set(self, item: Item, source: str) -> None:
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


def _is_kept(known: Item, snapshot: StoreRevision) -> bool:
    """Return whether a value is kept although a snapshot of its era lacks the key."""
    return known.is_kept_value and known.revision.era == snapshot.era
