"""Members are found through seeds and peers, and leave when nobody hears them."""

from __future__ import annotations

import random

import attrs
import pytest

from chiveslip.fleet.membership import Membership
from chiveslip.fleet.membership import MemberUpdate
from chiveslip.settings.fields import Address

SILENCE_S = 1.5


def address(name: str) -> Address:
    return Address(f"10.0.0.{ord(name)}", 8229)


def member(name: str, incarnation: int = 1) -> Membership:
    return Membership(
        instance=name,
        address=address(name),
        incarnation=incarnation,
        silence_s=lambda members: SILENCE_S,
    )


def news(name: str, **changes: object) -> MemberUpdate:
    plain = MemberUpdate(
        instance=name,
        address=address(name),
        incarnation=1,
        heartbeat=1,
        stopping=False,
        age_s=0.0,
    )
    return attrs.evolve(plain, **changes)


@pytest.mark.parametrize(
    ("told", "now", "alive"),
    [
        pytest.param([news("b")], 1.0, ["a", "b"], id="heard"),
        pytest.param([news("b")], 1.6, ["a"], id="silent-too-long"),
        pytest.param([news("b", age_s=1.0)], 0.6, ["a"], id="old-news-from-a-peer"),
        pytest.param([news("b", stopping=True)], 0.1, ["a"], id="stopping"),
        pytest.param(
            [news("b"), news("b", heartbeat=1, age_s=0.0)],
            1.6,
            ["a"],
            id="the-same-heartbeat-again-is-no-news",
        ),
        pytest.param(
            [news("b", stopping=True), news("b", incarnation=2)],
            0.1,
            ["a", "b"],
            id="started-again-after-a-stop",
        ),
        pytest.param(
            [news("b", incarnation=2, stopping=True), news("b", heartbeat=99)],
            0.1,
            ["a"],
            id="news-of-an-earlier-start",
        ),
    ],
)
def test_alive_members(told: list[MemberUpdate], now: float, alive: list[str]) -> None:
    membership = member("a")
    for each in told:
        membership.apply_update(each, 0.0)
    assert membership.live_members(now) == alive


def test_stopping_instance_is_not_alive_to_itself() -> None:
    membership = member("a")
    membership.stopping = True
    assert membership.live_members(0.0) == []


def test_start_with_a_clock_set_back_is_heard() -> None:
    """A peer remembers a higher incarnation; the instance takes a higher one still."""
    membership = member("a", incarnation=5)
    membership.apply_update(news("a", incarnation=9), 0.0)
    assert membership.own_update().incarnation == 10


def test_seeds_are_asked_only_while_nobody_there_is_heard() -> None:
    membership = member("a")
    seeds = (address("a"), address("b"), address("c"))
    assert membership.unreached_seeds(seeds, 0.0) == [address("b"), address("c")]
    membership.apply_update(news("b"), 0.0)
    assert membership.unreached_seeds(seeds, 0.0) == [address("c")]


@pytest.mark.parametrize("size", [6, 91])
def test_everybody_learns_of_everybody_after_a_kill_of_all(size: int) -> None:
    """Six peers an interval; each is told of within three silences."""
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
                for one, two in ((membership, other), (other, membership)):
                    two.apply_update(one.own_update(), now)
                    for each in one.sample_updates(generator, now):
                        two.apply_update(each, now)
    least = min(len(membership.live_members(now)) for membership in fleet.values())
    assert least >= 0.95 * size


@pytest.mark.parametrize(
    ("heard", "silent", "has"),
    [
        pytest.param("bcdef", "", True, id="all"),
        pytest.param("bcdf", "e", True, id="one-fell-silent"),
        pytest.param("bc", "def", True, id="first-half"),
        pytest.param("b", "cdef", False, id="minority"),
        pytest.param("", "bcdef", False, id="alone"),
        pytest.param("", "", True, id="alone-from-the-start"),
    ],
)
def test_quorum_of_the_members_of_the_last_while(
    heard: str, silent: str, has: bool
) -> None:
    membership = member("a")
    for name in silent:
        membership.apply_update(news(name), 0.0)
    for name in heard:
        membership.apply_update(news(name), 2.0)
    assert membership.has_quorum(3.0) is has


def test_others_are_taken_for_dead_in_the_end() -> None:
    membership = member("a")
    for name in "bcdef":
        membership.apply_update(news(name), 0.0)
    assert not membership.has_quorum(5.0)
    assert membership.has_quorum(11.0)


def test_members_that_stopped_as_planned_are_not_missed() -> None:
    membership = member("a")
    for name in "bcdef":
        membership.apply_update(news(name, stopping=True), 0.0)
    assert membership.has_quorum(3.0)


@pytest.mark.parametrize(
    ("own_beats", "heartbeat", "is_older"),
    [
        pytest.param(1, 100, True, id="just-started-among-old"),
        pytest.param(1, 2, False, id="all-just-started"),
        pytest.param(50, 500, False, id="both-run-for-long"),
    ],
)
def test_older_members_know_what_was_used(
    own_beats: int, heartbeat: int, is_older: bool
) -> None:
    membership = member("a")
    for _ in range(own_beats):
        membership.advance_heartbeat(0.0)
    assert membership.is_older_peer(heartbeat) is is_older
