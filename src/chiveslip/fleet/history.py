"""Recent views, for finding records that were placed under an earlier view."""

from __future__ import annotations

from typing import final

import attrs

from chiveslip import hashing


@attrs.frozen(kw_only=True)
class PastView:
    """The live instances of an earlier view, and when it ended.

    Attributes
    ----------
    ended_at
        Local time in seconds.
    """

    revision: int
    members: tuple[str, ...]
    ended_at: float


@attrs.frozen(kw_only=True)
class ReplicaSet:
    """The replicas of a key.

    Attributes
    ----------
    revision
        The latest earlier view with exactly these replicas; 0 for the current view.
    """

    revision: int
    members: tuple[str, ...]


@final
class ViewHistory:
    """Views that ended within the retention time.

    Parameters
    ----------
    retention_s
        Time in seconds for which an ended view is kept.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._views: dict[int, PastView] = {}

    def add(self, view: PastView, now: float) -> None:
        """Add a view; of two reports of the same view the later end counts."""
        known = self._views.get(view.revision)
        if known is None or known.ended_at < view.ended_at:
            self._views[view.revision] = view
        self._drop_expired(now)

    def views(self, now: float) -> tuple[PastView, ...]:
        """Return the views that are still kept, oldest first."""
        self._drop_expired(now)
        return tuple(self._views[revision] for revision in sorted(self._views))

    def replica_sets(
        self, key: str, current: tuple[str, ...], count: int, now: float
    ) -> list[ReplicaSet]:
        """Return the replicas of `key` in the current view and in each earlier one.

        A claim needs a majority of the current set. It also needs enough members of
        each earlier set to intersect with every claim that was placed under that
        view, or by instances that still have that view. The current view comes first,
        with revision 0.
        """
        current_replicas = tuple(sorted(hashing.rank(key, current)[:count]))
        sets = {current_replicas: ReplicaSet(revision=0, members=current_replicas)}
        for view in self.views(now):
            replicas = tuple(sorted(hashing.rank(key, view.members)[:count]))
            if replicas and replicas != current_replicas:
                sets[replicas] = ReplicaSet(revision=view.revision, members=replicas)
        return list(sets.values())

    def _drop_expired(self, now: float) -> None:
        expired = [
            r for r, v in self._views.items() if now >= v.ended_at + self._retention_s
        ]
        for revision in expired:
            del self._views[revision]
