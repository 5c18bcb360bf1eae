"""Only an instance with a confirmed view acts, and a successor waits."""

from __future__ import annotations

import pytest

from chiveslip.configuration.model import Instance
from chiveslip.configuration.model import InstanceList
from chiveslip.configuration.model import State
from chiveslip.fleet.ownership import LeaseTerms
from chiveslip.fleet.ownership import Ownership
from chiveslip.settings.fields import Address

TERMS = LeaseTerms(lease_s=1.0, hold_off_s=3.0, witnesses=8)
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


def _key_of(owner: Ownership, name: str) -> str:
    return next(f"key{n}" for n in range(1000) if owner.owner_of(f"key{n}") == name)


def _confirm(owner: Ownership, revision: int, now: float, peers: str = "bcde") -> None:
    for peer in peers:
        owner.record_heartbeat(peer, now)
        owner.record_confirmation(peer, revision, now, now)


@pytest.fixture
def owner() -> Ownership:
    owner = Ownership("a", TERMS)
    owner.update_view(_view(1), 0.0)
    return owner


def _hold(owner: Ownership, revision: int, first: float, last: float) -> None:
    now = first
    while now <= last:
        _confirm(owner, revision, now)
        now += 0.5


def test_new_instance_waits_for_the_hold_off(owner: Ownership) -> None:
    key = _key_of(owner, "a")
    _hold(owner, 1, 0.0, 4.0)
    assert owner.check_ownership(key, 4.1)
    fresh = Ownership("a", TERMS)
    fresh.update_view(_view(1), 0.0)
    _hold(fresh, 1, 0.0, 2.5)
    assert not fresh.check_ownership(key, 2.9)


@pytest.mark.parametrize(
    ("peers", "held"), [("bc", True), ("b", False), ("", False)], ids=str
)
def test_lease_needs_most_of_the_group(
    owner: Ownership, peers: str, held: bool
) -> None:
    _confirm(owner, 1, 0.0, peers)
    assert owner.check_lease(0.5) is held


@pytest.mark.parametrize("revision", [0, 2])
def test_peer_with_another_view_confirms_nothing(
    owner: Ownership, revision: int
) -> None:
    _confirm(owner, revision, 0.0)
    assert not owner.check_lease(0.1)


def test_lapse_ends_the_term_and_the_hold_off_begins_anew(owner: Ownership) -> None:
    key = _key_of(owner, "a")
    _hold(owner, 1, 0.0, 4.0)
    term = owner.term
    # A pause of a minute, in which nothing was confirmed.
    assert not owner.check_ownership(key, 64.0)
    _confirm(owner, 1, 64.0)
    assert not owner.check_ownership(key, 64.1)
    assert owner.term == term + 1
    _hold(owner, 1, 64.5, 67.0)
    assert owner.check_ownership(key, 67.1)


def test_skipped_view_ends_the_term(owner: Ownership) -> None:
    key = _key_of(owner, "a")
    _hold(owner, 1, 0.0, 4.0)
    owner.update_view(_view(3), 4.1)
    _confirm(owner, 3, 4.2)
    assert not owner.check_ownership(key, 4.3)


def test_successor_waits_unless_handed_over(owner: Ownership) -> None:
    _hold(owner, 1, 0.0, 4.0)
    owner.update_view(_view(2, ("a", "c", "d", "e")), 4.0)
    gained = next(k for k in (f"key{n}" for n in range(1000)) if _moved(owner, k))
    _confirm(owner, 2, 4.1, "cde")
    assert not owner.check_ownership(gained, 4.2)
    owner.record_handover(gained, 2)
    assert owner.check_ownership(gained, 4.2)


def _moved(owner: Ownership, key: str) -> bool:
    before = Ownership("a", TERMS)
    before.update_view(_view(1), 0.0)
    return before.owner_of(key) == "b" and owner.owner_of(key) == "a"


def test_exactly_half_needs_the_service() -> None:
    owner = Ownership("a", TERMS)
    owner.update_view(_view(1, ("a", "b", "c", "d")), 0.0)
    _confirm(owner, 1, 0.0, "b")
    assert not owner.check_lease(0.1)
    owner.record_service_read(1, 0.0, 0.1)
    assert owner.check_lease(0.2)
