"""A model of fleets whose instances send requests to an endpoint with a limit."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import attrs
import pytest

from bench.limit_fleet import COLD_START_S
from bench.limit_fleet import MAX_EXCESS
from bench.limit_fleet import SIZES
from bench.limit_fleet import SLACK_REQUESTS
from bench.limit_fleet import WINDOW_S
from bench.limit_fleet import LimitFleet

# The limit is named by the answers from this time on.
NAMED_AT = 6.0
CONTACT_S = 1.0
# Disturbances begin when the fleet keeps the limit.
DISTURBED_AT = 14.0
ENDS_AT = 22.0
OVERLOAD = 3.0
MIN_SERVED = 0.9
MAX_RATE = 600.0
LARGE = 300

Disturb = Callable[[LimitFleet], None]


@attrs.frozen
class Spread:
    """At which instances callers are."""

    name: str
    choose: Callable[[int, float, int], int]


SPREADS = [
    Spread("all", lambda number, _at, size: number * 7 % size),
    Spread("two", lambda number, _at, size: number % 2 * (size // 2)),
    Spread("moving", lambda number, at, size: (number % 3 + int(at)) * 5 % size),
]


def play(size: int, limit: float, spread: Spread, disturb: Disturb) -> LimitFleet:
    """Play a load of three times the limit, and a disturbance in its midst."""
    fleet = LimitFleet(size, limit)
    fleet.begin_rounds()
    fleet.at(DISTURBED_AT, lambda: disturb(fleet))
    rate = min(limit * OVERLOAD, limit + MAX_RATE)
    for number in itertools.count():
        at = NAMED_AT + fleet.random.random() / rate + number / rate
        if at >= ENDS_AT:
            break
        place = spread.choose(number, at, size)
        fleet.at(at, lambda place=place: fleet.request(fleet.names[place]))
    fleet.run_until(ENDS_AT)
    return fleet


def assert_limit_kept(fleet: LimitFleet) -> None:
    """Check the users' bound over all instances, once all can know the limit."""
    most = fleet.most_in_window(NAMED_AT + CONTACT_S + fleet.notice_s)
    assert most <= MAX_EXCESS * fleet.limit * WINDOW_S + SLACK_REQUESTS


def do_nothing(fleet: LimitFleet) -> None:
    """Leave the fleet in calm."""


def split_in_halves(fleet: LimitFleet) -> None:
    """Cut the fleet in two; which half is disturbed nobody can tell."""
    half = fleet.names[: len(fleet.names) // 2]
    fleet.split(dict.fromkeys(half, 1), excused_s=0.0)


def split_and_heal(fleet: LimitFleet) -> None:
    """Cut the fleet in two for four seconds."""
    split_in_halves(fleet)
    fleet.at(fleet.clock.now() + 4.0, lambda: fleet.split({}, excused_s=0.0))


def kill_grantor(fleet: LimitFleet) -> None:
    """Kill the instance that grants, and start it again two seconds later."""
    grantor = fleet.instances[fleet.names[0]].grantor.grantors_of("e")[0]
    fleet.kill(grantor)
    fleet.at(fleet.clock.now() + 2.0, lambda: fleet.restart(grantor))


def freeze_grantor(fleet: LimitFleet) -> None:
    """Freeze the instance that grants for three seconds."""
    grantor = fleet.instances[fleet.names[0]].grantor.grantors_of("e")[0]
    fleet.freeze(grantor, 3.0)


def stop_grantor(fleet: LimitFleet) -> None:
    """Stop the instance that grants as planned, and start it again."""
    grantor = fleet.instances[fleet.names[0]].grantor.grantors_of("e")[0]
    fleet.stop(grantor)
    fleet.at(fleet.clock.now() + 2.0, lambda: fleet.restart(grantor))


def kill_third(fleet: LimitFleet) -> None:
    """Kill a third of the instances at once, and start them again."""
    killed = fleet.names[::3]

    def restart_all() -> None:
        for name in killed:
            fleet.restart(name)

    for name in killed:
        fleet.kill(name)
    fleet.at(fleet.clock.now() + 2.0, restart_all)


DISTURBANCES = [
    do_nothing,
    split_in_halves,
    split_and_heal,
    kill_grantor,
    freeze_grantor,
    stop_grantor,
    kill_third,
]


CALM_LOADS = [
    *itertools.product(SIZES, SPREADS, (1.7, 12.0)),
    *itertools.product(SIZES, SPREADS[:1], (0.3, 400.0)),
]


@pytest.mark.parametrize(
    ("size", "spread", "limit"),
    [
        pytest.param(*load, id=f"{load[0]}-{load[1].name}-{load[2]}")
        for load in CALM_LOADS
    ],
)
def test_a_limit_is_kept_and_served_in_calm(
    size: int, spread: Spread, limit: float
) -> None:
    fleet = play(size, limit, spread, do_nothing)
    assert_limit_kept(fleet)
    if limit * (ENDS_AT - DISTURBED_AT) >= 10:
        assert fleet.served(DISTURBED_AT, ENDS_AT) >= MIN_SERVED


@pytest.mark.parametrize("limit", [1.7, 12.0, 400.0])
@pytest.mark.parametrize("disturb", DISTURBANCES[1:], ids=lambda d: d.__name__)
@pytest.mark.parametrize("size", [size for size in SIZES if size < LARGE])
def test_a_limit_is_kept_while_the_fleet_is_disturbed(
    size: int, disturb: Disturb, limit: float
) -> None:
    fleet = play(size, limit, SPREADS[0], disturb)
    assert_limit_kept(fleet)


COLD_SIZES = (6, 89, 195)
COLD_RATE = 11.0
COLD_WINDOW_S = 1.0
COLD_OVERLOAD = 12.0
COLD_FOR_S = 30.0
MIN_COLD_SERVED = 0.8


def isolate_all(fleet: LimitFleet) -> None:
    """Cut every instance off from all others."""
    islands = {name: number for number, name in enumerate(fleet.names)}
    fleet.split(islands, excused_s=0.0)


def isolate_all_and_heal(fleet: LimitFleet) -> None:
    """Cut every instance off for four seconds."""
    isolate_all(fleet)
    fleet.at(fleet.clock.now() + 4.0, lambda: fleet.split({}, excused_s=0.0))


def restart_third_alone(fleet: LimitFleet) -> None:
    """Start a third of the instances anew, each cut off from all others."""
    restarted = fleet.names[::3]
    islands = {name: number + 1 for number, name in enumerate(restarted)}
    fleet.split(islands, excused_s=0.0)
    for name in restarted:
        fleet.restart(name)


def play_cold(
    size: int,
    spread: Spread,
    disturb: Disturb,
    *,
    cold_at: float,
    cold_s: float = COLD_FOR_S,
    overload: float = COLD_OVERLOAD,
) -> LimitFleet:
    """Play a load of a multiple of what a cold endpoint takes, and a disturbance."""
    fleet = LimitFleet(size, COLD_RATE, is_cold=True)
    fleet.begin_rounds()
    fleet.at(cold_at, lambda: fleet.begin_cold(cold_s))
    fleet.at(DISTURBED_AT, lambda: disturb(fleet))
    rate = COLD_RATE * overload
    for number in itertools.count():
        at = NAMED_AT + fleet.random.random() / rate + number / rate
        if at >= min(ENDS_AT, cold_at + cold_s):
            break
        place = spread.choose(number, at, size)
        fleet.at(at, lambda place=place: fleet.prepare(fleet.names[place]))
    fleet.run_until(ENDS_AT)
    return fleet


def assert_cold_bound_kept(fleet: LimitFleet) -> None:
    """Check the users' bound over all instances, whatever happened to them."""
    most = fleet.most_in_window(0.0, COLD_WINDOW_S)
    assert most <= MAX_EXCESS * COLD_RATE * COLD_WINDOW_S + SLACK_REQUESTS


@pytest.mark.parametrize("spread", SPREADS, ids=lambda spread: spread.name)
@pytest.mark.parametrize("size", COLD_SIZES)
def test_cold_endpoint_gets_near_its_rate_and_no_more_in_calm(
    size: int, spread: Spread
) -> None:
    """A grant that is kept and used late adds to those of the next second."""
    fleet = play_cold(
        size, spread, do_nothing, cold_at=NAMED_AT + 1.0, overload=OVERLOAD
    )
    assert_cold_bound_kept(fleet)
    assert fleet.served(DISTURBED_AT, ENDS_AT) >= MIN_COLD_SERVED


@pytest.mark.parametrize(
    "cold_at",
    [
        pytest.param(NAMED_AT + 1.0, id="cold-before"),
        pytest.param(DISTURBED_AT - 0.1, id="cold-just-before"),
        pytest.param(DISTURBED_AT + 0.5, id="cold-after"),
    ],
)
@pytest.mark.parametrize(
    "disturb",
    [*DISTURBANCES[1:], isolate_all, isolate_all_and_heal],
    ids=lambda d: d.__name__,
)
@pytest.mark.parametrize("size", COLD_SIZES)
def test_cold_endpoint_is_not_overrun_while_the_fleet_is_disturbed(
    size: int, disturb: Disturb, cold_at: float
) -> None:
    """Two grantors, or as many as there are parts of a fleet, must not add up."""
    assert_cold_bound_kept(play_cold(size, SPREADS[0], disturb, cold_at=cold_at))


@pytest.mark.parametrize("cold_before_s", [2.0, 0.1, -0.5])
@pytest.mark.parametrize("size", COLD_SIZES)
def test_cold_endpoint_is_not_overrun_by_instances_that_start_cut_off(
    size: int, cold_before_s: float
) -> None:
    """They know neither their peers nor that an evacuation was revoked."""
    fleet = play_cold(
        size,
        SPREADS[0],
        restart_third_alone,
        cold_at=DISTURBED_AT - cold_before_s,
        cold_s=COLD_START_S,
    )
    assert_cold_bound_kept(fleet)
