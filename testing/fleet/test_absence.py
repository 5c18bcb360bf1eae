"""A member counts as absent when most have suspected it for a hold-off."""

from __future__ import annotations

import pytest

from chiveslip.fleet.absence import AbsenceTracker

GROUP = ("a", "b", "c", "d", "e")
LEASE_S = 1.0
HOLD_OFF_S = 3.0
GONE = frozenset({"e"})


@pytest.fixture
def absence() -> AbsenceTracker:
    absence = AbsenceTracker("a", lease_s=LEASE_S, hold_off_s=HOLD_OFF_S)
    absence.reset(GROUP, 0.0)
    return absence


def _ask_all(absence: AbsenceTracker, now: float, suspecting: tuple[str, ...]) -> None:
    for peer in ("b", "c", "d"):
        absence.record_heartbeat(peer, now)
        suspected = GONE if peer in suspecting else frozenset()
        absence.record_suspicions(peer, suspected, now, now)


def test_silent_member_is_suspected_after_a_lease(absence: AbsenceTracker) -> None:
    assert absence.suspected_members(0.9) == frozenset()
    assert absence.suspected_members(1.0) == frozenset(GROUP) - {"a"}


@pytest.mark.parametrize(
    ("suspecting", "absent"),
    [(("b", "c"), GONE), (("b",), frozenset()), ((), frozenset())],
    ids=["most", "two of five", "one of five"],
)
def test_absent_needs_most(
    absence: AbsenceTracker, suspecting: tuple[str, ...], absent: frozenset[str]
) -> None:
    for tick in range(11):
        _ask_all(absence, 1.0 + tick * 0.5, suspecting)
    assert absence.absent_members(6.0) == absent


def test_absent_needs_a_hold_off_without_a_gap(absence: AbsenceTracker) -> None:
    for tick in range(5):
        _ask_all(absence, 1.0 + tick * 0.5, ("b", "c"))
    absence.record_heartbeat("e", 3.2)
    _ask_all(absence, 3.3, ())
    for tick in range(5):
        _ask_all(absence, 4.5 + tick * 0.5, ("b", "c"))
    assert absence.absent_members(6.9) == frozenset()


def test_old_suspicion_reports_count_no_more(absence: AbsenceTracker) -> None:
    for tick in range(11):
        _ask_all(absence, 1.0 + tick * 0.5, ("b", "c"))
    assert absence.absent_members(6.0) == GONE
    assert absence.absent_members(7.1) == frozenset()
