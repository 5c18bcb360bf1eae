"""Requests inside an organisation's rate are admitted, wherever its callers connect."""

from __future__ import annotations

import random
from collections.abc import Callable

import hypothesis
import pytest
from hypothesis import strategies

from chiveslip.gateway.routing import Organisation
from testing.gateway.allowance_fleet import AllowanceFleet

RATE = 70_000.0
# Sizes of requests in tokens, as in the users' sheets.
UNITS = (200.0, 900.0, 1400.0, 2400.0)
STEP_S = 0.02
# Share of the requests inside the rate that may be refused.
MAX_REFUSED_SHARE = 0.001

Spread = Callable[[AllowanceFleet, random.Random, float], str]


def organisation(name: str, rate: float = RATE, burst: float = RATE) -> Organisation:
    return Organisation(
        name=name,
        priority=None,
        rate=rate,
        burst=burst,
        counts_tokens=True,
        default_units=0.0,
    )


def on_all(fleet: AllowanceFleet, generator: random.Random, now: float) -> str:
    return generator.choice(fleet.names)


def on_a_sixth(fleet: AllowanceFleet, generator: random.Random, now: float) -> str:
    return generator.choice(fleet.names[: max(len(fleet.names) // 6, 1)])


def on_two(fleet: AllowanceFleet, generator: random.Random, now: float) -> str:
    return generator.choice(fleet.names[-2:])


def moving(fleet: AllowanceFleet, generator: random.Random, now: float) -> str:
    first = int(now) * 3 % len(fleet.names)
    return fleet.names[(first + generator.randrange(2)) % len(fleet.names)]


def send(
    fleet: AllowanceFleet,
    generator: random.Random,
    sender: Organisation,
    share_of_rate: float,
    spread: Spread,
) -> tuple[int, int]:
    """Send the requests of one step; return how many, and how many were refused."""
    sent = refused = 0
    left = sender.rate * share_of_rate * STEP_S / (sum(UNITS) / len(UNITS))
    while generator.random() < left:
        left -= 1.0
        sent += 1
        name = spread(fleet, generator, fleet.clock.now())
        if fleet.members[name].is_running:
            refused += not fleet.admit(name, sender, generator.choice(UNITS))
    return sent, refused


@pytest.mark.parametrize("spread", [on_all, on_a_sixth, on_two, moving])
@pytest.mark.parametrize("size", [6, 91, 195, 1036])
def test_request_inside_the_rate_is_admitted_while_another_organisation_surges(
    size: int, spread: Spread
) -> None:
    fleet = AllowanceFleet(size)
    generator = random.Random(20261204)
    calm, surging = organisation("calm"), organisation("surging")
    sent = refused = 0
    while fleet.clock.now() < 16.0:
        surge = 6.0 if 4.0 <= fleet.clock.now() < 10.0 else 0.55
        send(fleet, generator, surging, surge, spread)
        step_sent, step_refused = send(fleet, generator, calm, 0.55, spread)
        sent += step_sent
        refused += step_refused
        fleet.advance(STEP_S)
    assert refused <= MAX_REFUSED_SHARE * sent
    assert fleet.worst_window(surging) <= 1.0


@pytest.mark.parametrize("spread", [on_all, on_a_sixth, on_two, moving])
@pytest.mark.parametrize("size", [6, 91, 195])
def test_surging_organisation_gets_its_whole_rate(size: int, spread: Spread) -> None:
    fleet = AllowanceFleet(size)
    generator = random.Random(20261204)
    surging = organisation("surging")
    while fleet.clock.now() < 12.0:
        send(fleet, generator, surging, 4.0, spread)
        fleet.advance(STEP_S)
    admitted = sum(units for at, units in fleet.admitted["surging"] if at >= 2.0)
    assert admitted >= surging.rate * 10.0
    assert fleet.worst_window(surging) <= 1.0


def test_six_instances_with_delayed_reports_stay_near_the_rate() -> None:
    """An organisation sends eight times its rate through six instances."""
    fleet = AllowanceFleet(6)
    generator = random.Random(20261204)
    trust = organisation("trust", 44_000.0, 44_000.0)
    while fleet.clock.now() < 16.0:
        send(fleet, generator, trust, 8.0, on_all)
        fleet.advance(STEP_S)
    assert fleet.worst_window(trust) <= 1.0


@pytest.mark.parametrize("size", [6, 91])
def test_lost_grantor_does_not_stop_requests_inside_the_rate(size: int) -> None:
    fleet = AllowanceFleet(size)
    generator = random.Random(20261204)
    calm = organisation("calm")
    grantor = fleet.members["i0"].allowances.grantors_of("calm")[0]
    callers = [name for name in fleet.names if name != grantor]
    sent = refused = 0
    while fleet.clock.now() < 12.0:
        if 3.0 <= fleet.clock.now() < 3.0 + STEP_S:
            fleet.kill(grantor)
        step_sent, step_refused = send(
            fleet, generator, calm, 0.55, lambda f, g, now: g.choice(callers)
        )
        sent += step_sent
        refused += step_refused
        fleet.advance(STEP_S)
    assert refused <= MAX_REFUSED_SHARE * sent


@pytest.mark.parametrize("demand", [1.5, 4.0])
@pytest.mark.parametrize("size", [6, 91])
def test_users_bound_holds_while_both_halves_of_a_fleet_grant(
    size: int, demand: float
) -> None:
    fleet = AllowanceFleet(size)
    generator = random.Random(20261204)
    surging = organisation("surging")
    while fleet.clock.now() < 16.0:
        is_calm = fleet.clock.now() < 4.0
        send(fleet, generator, surging, 0.2 if is_calm else demand, on_all)
        fleet.advance(STEP_S)
        if 4.0 <= fleet.clock.now() < 4.0 + STEP_S:
            fleet.split({name: i % 2 for i, name in enumerate(fleet.names)})
    assert fleet.worst_window(surging) <= 1.0


# A fleet is split once at most: it may be split, and then heal, at any time.
SPLITS = strategies.tuples(
    strategies.floats(0.0, 12.0),
    strategies.floats(0.0, 12.0),
    strategies.integers(0, 99),
).map(lambda drawn: [(drawn[0], "split", drawn[2]), (drawn[0] + drawn[1], "heal", 0)])
LOSSES = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 16.0),
        strategies.sampled_from(["kill", "restart"]),
        strategies.integers(0, 2**16),
    ),
    max_size=5,
)
RESTARTS_OF_ALL = strategies.floats(0.0, 16.0).map(lambda at: [(at, "restart all", 0)])


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    size=strategies.sampled_from([2, 6]),
    faults=SPLITS | LOSSES | RESTARTS_OF_ALL,
    demand=strategies.sampled_from([1.5, 4.0, 8.0]),
    lowered_at=strategies.none() | strategies.floats(2.0, 12.0),
    spread=strategies.sampled_from([on_all, on_a_sixth, on_two, moving]),
    seed=strategies.integers(0, 2**16),
)
def test_users_bound_holds_in_every_window(
    size: int,
    faults: list[tuple[float, str, int]],
    demand: float,
    lowered_at: float | None,
    spread: Spread,
    seed: int,
) -> None:
    fleet = AllowanceFleet(size)
    generator = random.Random(seed)
    sender = organisation("surging")
    due = sorted(faults)
    while fleet.clock.now() < 20.0:
        while due and due[0][0] <= fleet.clock.now():
            apply_fault(fleet, due[0][1], random.Random(due[0][2]))
            due.pop(0)
        if lowered_at is not None and fleet.clock.now() >= lowered_at:
            sender = organisation("surging", RATE / 2)
        send(fleet, generator, sender, demand * RATE / sender.rate, spread)
        fleet.advance(STEP_S)
    assert fleet.worst_window(organisation("surging")) <= 1.0


def apply_fault(fleet: AllowanceFleet, fault: str, generator: random.Random) -> None:
    name = generator.choice(fleet.names)
    if fault == "split":
        fleet.split({other: generator.randrange(2) for other in fleet.names})
    elif fault == "heal":
        fleet.split({})
    elif fault == "kill":
        fleet.kill(name)
    elif fault == "restart":
        fleet.restart(name)
    else:
        for other in fleet.names:
            fleet.kill(other)
        for other in fleet.names:
            fleet.restart(other)
