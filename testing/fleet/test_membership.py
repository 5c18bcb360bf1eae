"""Members are found through seeds and peers, and are lost without heartbeats."""

from __future__ import annotations

import random

import attrs
import pytest

from chiveslip.fleet.membership import Membership
from chiveslip.fleet.membership import MemberUpdate
from chiveslip.settings.fields import Address

HEARTBEAT_TIMEOUT_S = 1.5


def address(name: str) -> Address:
    return Address(f"10.0.0.{ord(name)}", 8229)


def member(name: str, incarnation: int = 1) -> Membership:
    return Membership(
        instance=name,
        address=address(name),
        incarnation=incarnation,
        heartbeat_timeout_for=lambda members: HEARTBEAT_TIMEOUT_S,
    )


def update(name: str, **changes: object) -> MemberUpdate:
    default = MemberUpdate(
        instance=name,
        address=address(name),
        incarnation=1,
        heartbeat=1,
        stopping=False,
        age_s=0.0,
    )
    return attrs.evolve(default, **changes)


@pytest.mark.parametrize(
    ("updates", "now", "alive"),
    [
        pytest.param([update("b")], 1.0, ["a", "b"], id="current"),
        pytest.param([update("b")], 1.6, ["a"], id="timed-out"),
        pytest.param([update("b", age_s=1.0)], 0.6, ["a"], id="old-update-from-a-peer"),
        pytest.param([update("b", stopping=True)], 0.1, ["a"], id="stopping"),
        pytest.param(
            [update("b"), update("b", heartbeat=1, age_s=0.0)],
            1.6,
            ["a"],
            id="repeated-heartbeat-does-not-count",
        ),
        pytest.param(
            [update("b", stopping=True), update("b", incarnation=2)],
            0.1,
            ["a", "b"],
            id="restarted-after-a-stop",
        ),
        pytest.param(
            [update("b", incarnation=2, stopping=True), update("b", heartbeat=99)],
            0.1,
            ["a"],
            id="update-of-an-earlier-start",
        ),
    ],
)
def test_alive_members(
    updates: list[MemberUpdate], now: float, alive: list[str]
) -> None:
    membership = member("a")
    for each in updates:
        membership.apply_update(each, 0.0)
    assert membership.live_members(now) == alive


def test_stopping_instance_is_not_a_live_member() -> None:
    membership = member("a")
    membership.stopping = True
    assert membership.live_members(0.0) == []


def test_incarnation_increases_although_the_clock_was_set_back() -> None:
    """A peer knows a higher incarnation, so the instance has to exceed that one."""
    membership = member("a", incarnation=5)
    membership.apply_update(update("a", incarnation=9), 0.0)
    assert membership.own_update().incarnation == 10


def test_seeds_are_contacted_only_while_no_member_is_known_there() -> None:
    membership = member("a")
    seeds = (address("a"), address("b"), address("c"))
    assert membership.unreached_seeds(seeds, 0.0) == [address("b"), address("c")]
    membership.apply_update(update("b"), 0.0)
    assert membership.unreached_seeds(seeds, 0.0) == [address("c")]


@pytest.mark.parametrize("size", [6, 91])
def test_all_members_find_each_other_after_a_restart_of_all(size: int) -> None:
    """Within 12 intervals each finds at least 95 % of the members.

    Each contacts six peers and the unreached seeds per interval.
    """
    generator = random.Random(20261204)
    names = [chr(1000 + index) for index in range(size)]
    fleet = {name: member(name) for name in names}
    by_address = {address(name): name for name in names}
    seeds = [address(name) for name in names[:3]]
    now = 0.0
    for _ in range(12):
        now += 0.25
        for membership in fleet.values():
            membership.advance_heartbeat(now)
            targets = [n.address for n in membership.reachable(now)]
            targets = generator.sample(targets, min(6, len(targets)))
            targets += membership.unreached_seeds(seeds, now)
            for target in targets:
                other = fleet[by_address[target]]
                for sender, receiver in ((membership, other), (other, membership)):
                    receiver.apply_update(sender.own_update(), now)
                    for each in sender.sample_updates(generator, now):
                        receiver.apply_update(each, now)
    fewest = min(len(membership.live_members(now)) for membership in fleet.values())
    assert fewest >= 0.95 * size


@pytest.mark.parametrize(
    ("alive", "lost", "has_quorum"),
    [
        pytest.param("bcdef", "", True, id="all"),
        pytest.param("bcdf", "e", True, id="one-lost"),
        pytest.param("bc", "def", True, id="first-half"),
        pytest.param("b", "cdef", False, id="minority"),
        pytest.param("", "bcdef", False, id="alone"),
        pytest.param("", "", True, id="alone-since-the-start"),
    ],
)
def test_quorum_is_a_majority_of_recent_members(
    alive: str, lost: str, has_quorum: bool
) -> None:
    membership = member("a")
    for name in lost:
        membership.apply_update(update(name), 0.0)
    for name in alive:
        membership.apply_update(update(name), 2.0)
    assert membership.has_quorum(3.0) is has_quorum


def test_lost_members_are_presumed_dead_in_the_end() -> None:
    membership = member("a")
    for name in "bcdef":
        membership.apply_update(update(name), 0.0)
    assert not membership.has_quorum(5.0)
    assert membership.has_quorum(11.0)


def test_members_that_announced_their_stop_do_not_count_as_lost() -> None:
    membership = member("a")
    for name in "bcdef":
        membership.apply_update(update(name, stopping=True), 0.0)
    assert membership.has_quorum(3.0)


@pytest.mark.parametrize(
    ("own_beats", "heartbeat", "is_older"),
    [
        pytest.param(1, 100, True, id="just-started-among-older"),
        pytest.param(1, 2, False, id="all-just-started"),
        pytest.param(50, 500, False, id="both-long-running"),
    ],
)
def test_older_peer_is_recognised(
    own_beats: int, heartbeat: int, is_older: bool
) -> None:
    membership = member("a")
    for _ in range(own_beats):
        membership.advance_heartbeat(0.0)
    assert membership.is_older_peer(heartbeat) is is_older


def test_member_that_has_lost_its_paths_is_known_until_it_says_that_they_are_back() -> (
    None
):
    here = member("a")
    here.apply_update(update("b", lost_services=frozenset({"llm"})), 0.0)
    here.apply_update(update("c"), 0.0)
    assert here.members_without_paths("llm") == ["b"]
    assert here.members_without_paths("kiosk") == []
    here.apply_update(update("b", heartbeat=2), 0.1)
    assert here.members_without_paths("llm") == []


def test_instance_tells_which_paths_it_has_lost() -> None:
    here = member("a")
    here.lost_services = frozenset({"llm"})
    assert here.own_update().lost_services == {"llm"}
