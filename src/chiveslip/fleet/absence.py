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
class _Opinion:
    suspected: frozenset[str]
    asked_at: float


@final
class Absence:
    """What one instance knows of absent members, within one view.

    Parameters
    ----------
    lease_s
        Silence in seconds after which a member is suspected, and life of a
        reported suspicion.
    hold_off_s
        Time in seconds for which most must have suspected a member.
    """

    def __init__(self, me: str, *, lease_s: float, hold_off_s: float) -> None:
        self._me = me
        self._lease_s = lease_s
        self._hold_off_s = hold_off_s
        self._group: tuple[str, ...] = ()
        self._heard_at: dict[str, float] = {}
        self._opinions: dict[str, _Opinion] = {}
        self._suspected_since: dict[str, float] = {}

    def begin(self, group: tuple[str, ...], now: float) -> None:
        """Start anew with the members of a view; all count as just heard."""
        self._group = group
        self._heard_at = dict.fromkeys(group, now)
        self._opinions.clear()
        self._suspected_since.clear()

    def heard(self, member: str, now: float) -> None:
        """Note a sign of life."""
        if member in self._heard_at:
            self._heard_at[member] = now

    def suspected(self, now: float) -> frozenset[str]:
        """Return the members that this instance suspects."""
        return frozenset(
            member
            for member, heard_at in self._heard_at.items()
            if member != self._me and now >= heard_at + self._lease_s
        )

    def reported(
        self, peer: str, suspected: frozenset[str], asked_at: float, now: float
    ) -> None:
        """Note whom `peer` suspects, as it answered to a question at `asked_at`."""
        self._opinions[peer] = _Opinion(suspected=suspected, asked_at=asked_at)
        self.update(now)

    def update(self, now: float) -> None:
        """Work out anew since when most suspect each member."""
        mine = self.suspected(now)
        for member in self._group:
            if self._most_suspect(member, mine, now):
                self._suspected_since.setdefault(member, now)
            else:
                self._suspected_since.pop(member, None)

    def absent(self, now: float) -> frozenset[str]:
        """Return the members in whose place others may act."""
        self.update(now)
        return frozenset(
            member
            for member, since in self._suspected_since.items()
            if now >= since + self._hold_off_s
        )

    def _most_suspect(self, member: str, mine: frozenset[str], now: float) -> bool:
        count = int(member in mine)
        for opinion in self._opinions.values():
            fresh = now < opinion.asked_at + self._lease_s
            count += int(fresh and member in opinion.suspected)
        return count > len(self._group) // 2
