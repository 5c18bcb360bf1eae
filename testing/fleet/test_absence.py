"""A member is absent once a majority has suspected it for the hold-off delay."""

from __future__ import annotations

import pytest

from chiveslip.fleet.absence import AbsenceTracker

GROUP = ("a", "b", "c", "d", "e")
LEASE_S = 1.0
HOLD_OFF_S = 3.0
FAILED = frozenset({"e"})


@pytest.fixture
def tracker() -> AbsenceTracker:
    tracker = AbsenceTracker("a", lease_s=LEASE_S, hold_off_s=HOLD_OFF_S)
    tracker.reset(GROUP, 0.0)
    return tracker


def _exchange_with_peers(
    tracker: AbsenceTracker, now: float, suspecting: tuple[str, ...]
) -> None:
    for peer in ("b", "c", "d"):
        tracker.record_heartbeat(peer, now)
        suspected = FAILED if peer in suspecting else frozenset()
        tracker.record_suspicions(peer, suspected, now, now)


def test_member_without_heartbeats_is_suspected_after_a_lease(
    tracker: AbsenceTracker,
) -> None:
    assert tracker.suspected_members(0.9) == frozenset()
    assert tracker.suspected_members(1.0) == frozenset(GROUP) - {"a"}


@pytest.mark.parametrize(
    ("suspecting", "absent"),
    [(("b", "c"), FAILED), (("b",), frozenset()), ((), frozenset())],
    ids=["majority", "two of five", "one of five"],
)
def test_absence_needs_a_majority(
    tracker: AbsenceTracker, suspecting: tuple[str, ...], absent: frozenset[str]
) -> None:
    for tick in range(11):
        _exchange_with_peers(tracker, 1.0 + tick * 0.5, suspecting)
    assert tracker.refresh_absent_members(6.0) == absent


def test_absence_needs_a_hold_off_without_interruption(tracker: AbsenceTracker) -> None:
    for tick in range(5):
        _exchange_with_peers(tracker, 1.0 + tick * 0.5, ("b", "c"))
    tracker.record_heartbeat("e", 3.2)
    _exchange_with_peers(tracker, 3.3, ())
    for tick in range(5):
        _exchange_with_peers(tracker, 4.5 + tick * 0.5, ("b", "c"))
    assert tracker.refresh_absent_members(6.9) == frozenset()


def test_expired_suspicion_reports_are_ignored(tracker: AbsenceTracker) -> None:
    for tick in range(11):
        _exchange_with_peers(tracker, 1.0 + tick * 0.5, ("b", "c"))
    assert tracker.refresh_absent_members(6.0) == FAILED
    assert tracker.refresh_absent_members(7.1) == frozenset()
