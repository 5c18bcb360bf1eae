"""Only an instance with a confirmed view acts, and a successor waits first."""

from __future__ import annotations

import pytest

from chiveslip.configuration.model import Instance
from chiveslip.configuration.model import InstanceList
from chiveslip.configuration.model import State
from chiveslip.fleet.ownership import LeaseLimits
from chiveslip.fleet.ownership import Ownership
from chiveslip.settings.fields import Address

TERMS = LeaseLimits(lease_s=1.0, hold_off_s=3.0, max_heartbeat_peers=8)
NAMES = ("a", "b", "c", "d", "e")


def _view(revision: int, names: tuple[str, ...] = NAMES) -> InstanceList:
    return InstanceList(
        revision=revision,
        instances={
            name: Instance(
                id=name,
                data_centre="here",
                peers=Address("127.0.0.1", 1),
                state=State.LIVE,
            )
            for name in names
        },
    )


def _key_owned_by(ownership: Ownership, name: str) -> str:
    return next(f"key{n}" for n in range(1000) if ownership.owner_of(f"key{n}") == name)


def _confirm(
    ownership: Ownership, revision: int, now: float, peers: str = "bcde"
) -> None:
    for peer in peers:
        ownership.record_heartbeat(peer, now)
        ownership.record_confirmation(peer, revision, now, now)


@pytest.fixture
def ownership() -> Ownership:
    ownership = Ownership("a", TERMS)
    ownership.update_view(_view(1), 0.0)
    return ownership


def _confirm_repeatedly(
    ownership: Ownership, revision: int, first: float, last: float
) -> None:
    now = first
    while now <= last:
        _confirm(ownership, revision, now)
        now += 0.5


def test_new_instance_waits_for_the_hold_off(ownership: Ownership) -> None:
    key = _key_owned_by(ownership, "a")
    _confirm_repeatedly(ownership, 1, 0.0, 4.0)
    assert ownership.check_ownership(key, 4.1)
    fresh = Ownership("a", TERMS)
    fresh.update_view(_view(1), 0.0)
    _confirm_repeatedly(fresh, 1, 0.0, 2.5)
    assert not fresh.check_ownership(key, 2.9)


@pytest.mark.parametrize(
    ("peers", "has_lease"), [("bc", True), ("b", False), ("", False)], ids=str
)
def test_lease_needs_a_majority_of_the_group(
    ownership: Ownership, peers: str, has_lease: bool
) -> None:
    _confirm(ownership, 1, 0.0, peers)
    assert ownership.check_lease(0.5) is has_lease


@pytest.mark.parametrize("revision", [0, 2])
def test_peer_with_another_view_confirms_nothing(
    ownership: Ownership, revision: int
) -> None:
    _confirm(ownership, revision, 0.0)
    assert not ownership.check_lease(0.1)


def test_lapse_ends_the_term_and_restarts_the_hold_off(ownership: Ownership) -> None:
    key = _key_owned_by(ownership, "a")
    _confirm_repeatedly(ownership, 1, 0.0, 4.0)
    term = ownership.term
    # The process paused for a minute, in which nothing was confirmed.
    assert not ownership.check_ownership(key, 64.0)
    _confirm(ownership, 1, 64.0)
    assert not ownership.check_ownership(key, 64.1)
    assert ownership.term == term + 1
    _confirm_repeatedly(ownership, 1, 64.5, 67.0)
    assert ownership.check_ownership(key, 67.1)


def test_skipped_view_ends_the_term(ownership: Ownership) -> None:
    key = _key_owned_by(ownership, "a")
    _confirm_repeatedly(ownership, 1, 0.0, 4.0)
    ownership.update_view(_view(3), 4.1)
    _confirm(ownership, 3, 4.2)
    assert not ownership.check_ownership(key, 4.3)


def test_successor_waits_unless_handed_over(ownership: Ownership) -> None:
    _confirm_repeatedly(ownership, 1, 0.0, 4.0)
    ownership.update_view(_view(2, ("a", "c", "d", "e")), 4.0)
    moved_key = next(
        k for k in (f"key{n}" for n in range(1000)) if _has_moved(ownership, k)
    )
    _confirm(ownership, 2, 4.1, "cde")
    assert not ownership.check_ownership(moved_key, 4.2)
    ownership.record_handover(moved_key, 2)
    assert ownership.check_ownership(moved_key, 4.2)


def _has_moved(ownership: Ownership, key: str) -> bool:
    before = Ownership("a", TERMS)
    before.update_view(_view(1), 0.0)
    return before.owner_of(key) == "b" and ownership.owner_of(key) == "a"


def test_exactly_half_needs_the_service() -> None:
    ownership = Ownership("a", TERMS)
    ownership.update_view(_view(1, ("a", "b", "c", "d")), 0.0)
    _confirm(ownership, 1, 0.0, "b")
    assert not ownership.check_lease(0.1)
    ownership.record_service_read(1, 0.0, 0.1)
    assert ownership.check_lease(0.2)
