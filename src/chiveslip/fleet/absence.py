"""Listed members that a majority of the group suspects to have failed.

A peer that suspects a member no longer confirms it, so a member that a majority
suspects cannot keep its lease beyond the lease duration. Once a majority has suspected
it for the hold-off delay, others may act in its place. A suspicion that a peer reports
is valid for one lease duration from the time when the request to the peer was sent.
"""

from __future__ import annotations

from typing import final

import attrs


@attrs.frozen(kw_only=True)
class _SuspicionReport:
    suspected: frozenset[str]
    requested_at: float


@final
class AbsenceTracker:
    """Tracks which members are absent, within one view.

    Parameters
    ----------
    lease_s
        Time in seconds without a heartbeat after which a member is suspected, and
        for which a reported suspicion is valid.
    hold_off_s
        Time in seconds for which a majority must have suspected a member.
    """

    def __init__(self, instance_id: str, *, lease_s: float, hold_off_s: float) -> None:
        self._instance_id = instance_id
        self._lease_s = lease_s
        self._hold_off_s = hold_off_s
        self._group: tuple[str, ...] = ()
        self._last_seen_at: dict[str, float] = {}
        self._suspicion_reports: dict[str, _SuspicionReport] = {}
        self._suspected_since: dict[str, float] = {}

    def reset(self, group: tuple[str, ...], now: float) -> None:
        """Replace the group by the members of a view; treat all as seen at `now`."""
        self._group = group
        self._last_seen_at = dict.fromkeys(group, now)
        self._suspicion_reports.clear()
        self._suspected_since.clear()

    def record_heartbeat(self, member: str, now: float) -> None:
        """Record that a message from `member` arrived."""
        if member in self._last_seen_at:
            self._last_seen_at[member] = now

    def suspected_members(self, now: float) -> frozenset[str]:
        """Return the members that this instance suspects."""
        return frozenset(
            member
            for member, last_seen_at in self._last_seen_at.items()
            if member != self._instance_id and now >= last_seen_at + self._lease_s
        )

    def record_suspicions(
        self, peer: str, suspected: frozenset[str], requested_at: float, now: float
    ) -> None:
        """Record which members `peer` suspects, from its reply to a request.

        Parameters
        ----------
        requested_at
            When the request was sent, local time in seconds.
        """
        self._suspicion_reports[peer] = _SuspicionReport(
            suspected=suspected, requested_at=requested_at
        )
        self.update(now)

    def update(self, now: float) -> None:
        """Update since when a majority suspects each member."""
        own_suspicions = self.suspected_members(now)
        for member in self._group:
            if self._is_suspected_by_majority(member, own_suspicions, now):
                self._suspected_since.setdefault(member, now)
            else:
                self._suspected_since.pop(member, None)

    def refresh_absent_members(self, now: float) -> frozenset[str]:
        """Update the suspicions; return the members in whose place others may act."""
        self.update(now)
        return frozenset(
            member
            for member, since in self._suspected_since.items()
            if now >= since + self._hold_off_s
        )

    def _is_suspected_by_majority(
        self, member: str, own_suspicions: frozenset[str], now: float
    ) -> bool:
        count = int(member in own_suspicions)
        for report in self._suspicion_reports.values():
            is_valid = now < report.requested_at + self._lease_s
            count += int(is_valid and member in report.suspected)
        return count > len(self._group) // 2
