"""Reading a key-value store with one rising revision: the interface."""

from __future__ import annotations

import abc

import attrs


class StoreError(Exception):
    """The store did not answer, or refused to."""


class HistoryLostError(StoreError):
    """The store no longer has the changes after the revision asked for."""


@attrs.frozen(kw_only=True)
class Item:
    """A key as it was written, or its removal.

    Attributes
    ----------
    value
        What was written, or None if the key was removed.
    revision
        The store's revision at that change.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.frozen(kw_only=True)
class Changes:
    """Items, and the revision up to which nothing is missing."""

    items: list[Item]
    revision: int


class KeyValueStore(abc.ABC):
    """A store that can be read and watched."""

    @abc.abstractmethod
    async def read_all(self) -> Changes:
        """Return all items.

        Raises
        ------
        StoreError
            If they cannot be had.
        """

    @abc.abstractmethod
    async def watch(self, after: int, wait_s: float) -> Changes:
        """Return what changed after a revision, waiting for a change.

        Raises
        ------
        HistoryLostError
            If changes are missing; read all again.
        StoreError
            If they cannot be had.
        """
