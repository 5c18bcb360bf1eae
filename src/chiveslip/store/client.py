"""Interface for reading a key-value store.

The store has one revision, which increases with each change of any key. If the store
returns from an older copy, a new era begins: revisions go back and are given out again.
"""

from __future__ import annotations

import abc

import attrs


class StoreError(Exception):
    """The store did not answer, or answered with an error."""


class HistoryLostError(StoreError):
    """The store no longer has all changes after the requested revision."""


@attrs.frozen(order=True)
class StoreRevision:
    """Revision of the store; a revision orders only what one era wrote.

    Attributes
    ----------
    era
        How often the store has returned from an older copy.
    number
        Number of changes in the history of this era.
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"


NO_REVISION = StoreRevision(0, 0)
"""Revision before the first read."""


@attrs.frozen(kw_only=True)
class Item:
    """The value of a key after a change, or the removal of the key.

    Attributes
    ----------
    value
        Value that was written, or None if the key was removed.
    revision
        Revision of the store at the change.
    is_kept_removal
        Whether the key was known to be removed before the store returned from a copy
        that lists it. It has the revision of the copy's value, so that it holds until
        the key is written again.
    is_kept_value
        Whether the store returned from a copy that lacks the key, and the value that
        was known before is kept. It holds until the key is written again.
    """

    key: str
    value: bytes | None
    revision: StoreRevision
    is_kept_removal: bool = False
    is_kept_value: bool = False


@attrs.frozen(kw_only=True)
class Changes:
    """Items, and the revision up to which they include every change."""

    items: list[Item]
    revision: StoreRevision


class KeyValueStore(abc.ABC):
    """Key-value store that can be read and watched."""

    @abc.abstractmethod
    async def read_all(self) -> Changes:
        """Return all items.

        Raises
        ------
        StoreError
            If the store does not answer or answers with an error.
        """

    @abc.abstractmethod
    async def watch(self, after_revision: StoreRevision, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting up to `wait_s` seconds for one.

        Raises
        ------
        HistoryLostError
            If some of the changes are no longer available; call `read_all`.
        StoreError
            If the store does not answer or answers with an error.
        """
