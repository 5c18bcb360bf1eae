"""Members that most of the group have not heard of, while the list still has them.

A peer that suspects a member confirms it no more, so a member that most suspect
cannot hold its lease for longer than the lease lasts. Once most have suspected it for
a hold-off, others may act in its place. A suspicion that a peer reports counts only
for as long as a lease, from before the peer was asked.
"""

from __future__ import annotations

from typing import final

import attrs


@attrs.frozen(kw_only=True)
class _SuspicionReport:
    suspected: frozenset[str]
    asked_at: float


@final
class AbsenceTracker:
    """What one instance knows of absent members, within one view.

    Parameters
    ----------
    lease_s
        Silence in seconds after which a member is suspected, and life of a
        reported suspicion.
    hold_off_s
        Time in seconds for which most must have suspected a member.
    """

    def __init__(self, instance_id: str, *, lease_s: float, hold_off_s: float) -> None:
        self._instance_id = instance_id
        self._lease_s = lease_s
        self._hold_off_s = hold_off_s
        self._group: tuple[str, ...] = ()
        self._heard_at: dict[str, float] = {}
        self._suspicion_reports: dict[str, _SuspicionReport] = {}
        self._suspected_since: dict[str, float] = {}

    def reset(self, group: tuple[str, ...], now: float) -> None:
        """Start anew with the members of a view; all count as just heard."""
        self._group = group
        self._heard_at = dict.fromkeys(group, now)
        self._suspicion_reports.clear()
        self._suspected_since.clear()

    def record_heartbeat(self, member: str, now: float) -> None:
        """Note a sign of life."""
        if member in self._heard_at:
            self._heard_at[member] = now

    def suspected_members(self, now: float) -> frozenset[str]:
        """Return the members that this instance suspects."""
        return frozenset(
            member
            for member, heard_at in self._heard_at.items()
            if member != self._instance_id and now >= heard_at + self._lease_s
        )

    def record_suspicions(
        self, peer: str, suspected: frozenset[str], asked_at: float, now: float
    ) -> None:
        """Note whom `peer` suspects, as it answered to a question at `asked_at`."""
        self._suspicion_reports[peer] = _SuspicionReport(
            suspected=suspected, asked_at=asked_at
        )
        self.update(now)

    def update(self, now: float) -> None:
        """Work out anew since when most suspect each member."""
        own_suspicions = self.suspected_members(now)
        for member in self._group:
            if self._is_suspected_by_majority(member, own_suspicions, now):
                self._suspected_since.setdefault(member, now)
            else:
                self._suspected_since.pop(member, None)

    def absent_members(self, now: float) -> frozenset[str]:
        """Return the members in whose place others may act."""
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
            fresh = now < report.asked_at + self._lease_s
            count += int(fresh and member in report.suspected)
        return count > len(self._group) // 2
