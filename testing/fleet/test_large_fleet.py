"""Instances of a large fleet agree, although each exchanges with only a few peers.

The load is that of the users' grown deployments: 81 instances with a few requests per
second each, and sixteen organisations, one of them at many times its rate.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from bench.large_fleet import SETTINGS
from bench.large_fleet import LargeFleet
from chiveslip.dispatch.part_suspects import PartCrash
from chiveslip.fleet.gossip_schedule import schedule_for
from chiveslip.gateway.endpoint_statements import EndpointStatement
from chiveslip.gateway.endpoint_statements import Incarnation
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.routing import Organisation
from chiveslip.settings.fields import Address

FleetOf = Callable[[int], LargeFleet]
LARGE = 81
MEDIUM = 30
# 64 parts of 64 B: two hashes, an endpoint with its start, and two ages each.
MAX_SUSPECT_BYTES = 4096
SCHEDULE = schedule_for(LARGE, SETTINGS)
MEDIUM_SCHEDULE = schedule_for(MEDIUM, SETTINGS)


def speed_engine(number: int) -> ListedEndpoint:
    return ListedEndpoint(
        id=f"engine-{number}",
        service="llm",
        address=Address("10.0.1.1", 1),
        data_centre="here",
        slots=16,
        state=EndpointState.READY,
        started=1,
    )


def organisation(number: int, rate: float, burst: float) -> Organisation:
    return Organisation(
        name=f"organisation-{number}",
        priority=None,
        rate=rate,
        burst=burst,
        counts_tokens=True,
        default_units=0.0,
    )


@pytest.mark.parametrize("size", [8, 30, LARGE])
def test_all_members_find_each_other_through_three_seeds(
    fleet_of: FleetOf, size: int
) -> None:
    fleet = fleet_of(size)
    fleet.run(5.0)
    now = fleet.clock.now()
    assert {len(member.live_members(now)) for member in fleet.running_members()} == {
        size
    }


def test_no_member_is_lost_while_all_run(fleet_of: FleetOf) -> None:
    fleet = fleet_of(MEDIUM)
    fleet.run(6.0)
    for _ in range(60):
        fleet.run(0.25)
        now = fleet.clock.now()
        assert {
            len(member.live_members(now)) for member in fleet.running_members()
        } == {MEDIUM}


def test_all_members_notice_that_a_third_failed(fleet_of: FleetOf) -> None:
    fleet = fleet_of(MEDIUM)
    fleet.run(6.0)
    for member in list(fleet.members.values())[::3]:
        member.is_running = False
    fleet.run(MEDIUM_SCHEDULE.heartbeat_timeout_s + MEDIUM_SCHEDULE.interval_s)
    now = fleet.clock.now()
    assert {len(member.live_members(now)) for member in fleet.running_members()} == {20}
    assert all(
        member.parts.membership.has_quorum(now) for member in fleet.running_members()
    )


def test_survivors_agree_after_a_majority_failed(fleet_of: FleetOf) -> None:
    fleet = fleet_of(MEDIUM)
    fleet.run(6.0)
    for member in list(fleet.members.values())[10:]:
        member.is_running = False
    fleet.run(15.0)
    now = fleet.clock.now()
    assert {len(member.live_members(now)) for member in fleet.running_members()} == {10}
    assert all(
        member.parts.membership.has_quorum(now) for member in fleet.running_members()
    )


def test_update_reaches_all_within_the_propagation_delay(fleet_of: FleetOf) -> None:
    fleet = fleet_of(LARGE)
    fleet.run(6.0)
    for stopping in list(fleet.members.values())[::27]:
        stopping.parts.membership.stopping = True
        fleet.run(SCHEDULE.propagation_s)
        now = fleet.clock.now()
        late = [
            m.name
            for m in fleet.running_members()
            if stopping.name in m.live_members(now)
        ]
        assert late == []


def test_organisation_at_many_times_its_rate_is_limited_to_it(
    fleet_of: FleetOf,
) -> None:
    """The required bound over eight seconds is 1.25 x (rate x 8 + burst) + 11,000."""
    rate, burst, units = 30_000.0, 30_000.0, 1500.0
    overloaded = organisation(1, rate, burst)
    fleet = fleet_of(LARGE)
    fleet.run(6.0)
    admitted: list[tuple[float, float]] = []
    refusals = 0
    normal = organisation(2, rate, burst)
    started_at = fleet.clock.now()
    members = list(fleet.members.values())
    while fleet.clock.now() < started_at + 16.0:
        now = fleet.clock.now()
        for _ in range(round(7.5 * rate * 0.05 / units)):
            member = fleet.random.choice(members)
            if fleet.admit(member, overloaded, units).retry_after_s == 0:
                admitted.append((now - started_at, units))
        if fleet.random.random() < 0.6 * rate * 0.05 / units:
            member = fleet.random.choice(members)
            refusals += fleet.admit(member, normal, units).retry_after_s > 0
        fleet.run(0.05)
    worst = max(
        sum(u for at, u in admitted if start <= at < start + 8)
        for start in [s / 2 for s in range(17)]
    )
    assert worst <= 1.25 * (rate * 8 + burst) + 11_000
    assert refusals == 0


@pytest.mark.parametrize("size", [30, LARGE])
def test_exchanges_per_instance_do_not_grow_with_the_fleet(
    fleet_of: FleetOf, size: int
) -> None:
    fleet = fleet_of(size)
    fleet.run(6.0)
    for member in fleet.running_members():
        member.traffic.exchanges = 0
    fleet.run(10.0)
    rate_per_member = (
        sum(member.traffic.exchanges for member in fleet.running_members())
        / size
        / 10.0
    )
    assert rate_per_member <= 2 * SCHEDULE.fan_out / SCHEDULE.interval_s * 1.3


def test_crash_suspects_of_busy_engines_reach_all_and_are_then_told_no_more(
    fleet_of: FleetOf,
) -> None:
    """Told in each message, those of eight engines filled the links of coordinators."""
    fleet = fleet_of(91)
    fleet.run(5.0)
    members = fleet.running_members()
    for number in range(350):
        now = fleet.clock.now()
        suspects = members[number % len(members)].parts.suspects
        suspects.record_peer_crash(f"request-{number}", "engine/1", now, now)
    fleet.run(schedule_for(91, SETTINGS).propagation_s)
    now = fleet.clock.now()
    known = {len(m.parts.suspects.prune_crashes(now)) for m in members}
    assert known == {350}
    fleet.run(3.0)
    request = members[0].messages.build_request()
    assert len(request.crash_suspects) == 0


def test_instance_that_starts_later_learns_the_crash_suspects(
    fleet_of: FleetOf,
) -> None:
    fleet = fleet_of(MEDIUM)
    newcomer = fleet.members[f"m{MEDIUM - 1}"]
    newcomer.is_running = False
    fleet.run(5.0)
    now = fleet.clock.now()
    suspects = fleet.members["m0"].parts.suspects
    suspects.record_peer_crash("request", "engine/1", now, now)
    fleet.run(20.0)
    newcomer.is_running = True
    fleet.run(3.0)
    now = fleet.clock.now()
    assert set(newcomer.parts.suspects.prune_crashes(now)) == {"request"}


def test_coordinator_learns_when_the_use_of_an_adapter_begins_and_ends(
    fleet_of: FleetOf,
) -> None:
    """Uses that are not known to have ended keep adapter slots from other requests."""
    fleet = fleet_of(LARGE)
    fleet.run(5.0)
    user, clock = fleet.members["m7"], fleet.clock
    view = user.parts.engine_view
    engines = [f"engine-{number}" for number in range(8)]
    adapter = ("m/a", 1)
    coordinators = [
        fleet.members[user.parts.coordinator.rights.coordinator_of(engine)]
        for engine in engines
    ]

    def count_in_use() -> int:
        return sum(
            adapter in c.parts.engine_view.adapters_in_use(engine, clock.now())
            for c, engine in zip(coordinators, engines, strict=True)
        )

    requests = [
        view.record_request_start(engine, adapter, 0.0, clock.now())
        for engine in engines
    ]
    fleet.run(3.0)
    assert count_in_use() == len(engines)
    fleet.run(4.0)
    assert count_in_use() == len(engines)
    for request in requests:
        view.record_request_end(request)
    fleet.run(3.0)
    assert count_in_use() == 0


def test_end_of_a_use_is_told_again_if_its_coordinator_was_not_reached(
    fleet_of: FleetOf,
) -> None:
    fleet = fleet_of(LARGE)
    fleet.run(5.0)
    user, clock, adapter = fleet.members["m7"], fleet.clock, ("m/a", 1)
    name = user.parts.coordinator.rights.coordinator_of("engine-1")
    coordinator = fleet.members[name]
    request = user.parts.engine_view.record_request_start(
        "engine-1", adapter, 0.0, clock.now()
    )
    fleet.run(2.0)
    user.parts.engine_view.record_request_end(request)
    coordinator.is_running = False
    fleet.run(1.5)
    coordinator.is_running = True
    fleet.run(3.0)
    assert not coordinator.parts.engine_view.adapters_in_use("engine-1", clock.now())


def count_blocking(fleet: LargeFleet, part: str) -> int:
    """Return how many running instances block a part."""
    return sum(
        part in member.parts.part_suspects.blocked_parts
        for member in fleet.running_members()
    )


@pytest.mark.parametrize("size", [6, MEDIUM, LARGE])
def test_part_that_crashes_engines_is_blocked_by_all_instances(
    fleet_of: FleetOf, size: int
) -> None:
    """Each crash is seen by another instance, beside hundreds of harmless parts."""
    fleet = fleet_of(size)
    fleet.run(5.0)
    members = fleet.running_members()
    for number in range(3):
        observer = members[number].parts.part_suspects
        neighbours = [f"p{number}-{n}" for n in range(120)]
        observer.record_crash(
            ["bad", *neighbours], "o", f"engine-{number}/1", fleet.clock.now()
        )
        fleet.run(1.0)
    fleet.run(schedule_for(size, SETTINGS).propagation_s + 0.5)
    assert count_blocking(fleet, "bad") == size
    members[-1].parts.part_suspects.record_progress(["bad"], fleet.clock.now())
    fleet.run(schedule_for(size, SETTINGS).propagation_s + 0.5)
    assert count_blocking(fleet, "bad") == 0


def test_answer_known_to_one_instance_clears_a_part_of_later_crashes(
    fleet_of: FleetOf,
) -> None:
    fleet = fleet_of(MEDIUM)
    fleet.run(5.0)
    members = fleet.running_members()
    for number in range(4):
        now = fleet.clock.now()
        members[number].parts.part_suspects.record_crash(
            ["common"], "o", f"engine-{number}/1", now
        )
        members[-1].parts.part_suspects.record_progress(["common"], now + 0.3)
        fleet.run(2.0)
    fleet.run(schedule_for(MEDIUM, SETTINGS).propagation_s)
    assert count_blocking(fleet, "common") == 0


def test_instance_that_starts_later_learns_the_blocked_parts(
    fleet_of: FleetOf,
) -> None:
    fleet = fleet_of(MEDIUM)
    newcomer = fleet.members[f"m{MEDIUM - 1}"]
    newcomer.is_running = False
    fleet.run(5.0)
    for number in range(3):
        now = fleet.clock.now()
        fleet.members["m0"].parts.part_suspects.record_crash(
            ["bad"], "o", f"engine-{number}/1", now
        )
        fleet.run(1.0)
    fleet.run(20.0)
    newcomer.is_running = True
    fleet.run(1.0)
    assert newcomer.parts.part_suspects.blocked_parts == {"bad"}


def test_endpoint_that_leaves_is_told_to_all_instances(fleet_of: FleetOf) -> None:
    fleet = fleet_of(MEDIUM)
    fleet.run(5.0)
    leaving = Incarnation("engine-1", 7, Address("10.0.0.9", 8000))
    statement = EndpointStatement(is_leaving=True)
    fleet.members["m3"].parts.statements.record(leaving, statement)
    fleet.run(schedule_for(MEDIUM, SETTINGS).propagation_s)
    members = fleet.running_members()
    assert all(m.parts.statements.is_leaving(leaving) for m in members)
    later = Incarnation("engine-1", 8, Address("10.0.0.9", 8000))
    assert not any(m.parts.statements.is_leaving(later) for m in members)


@pytest.mark.parametrize("crashes", [2, 3])
def test_part_that_crashed_engines_in_one_half_is_known_to_all_after_the_cut(
    fleet_of: FleetOf, crashes: int
) -> None:
    fleet = fleet_of(MEDIUM)
    fleet.run(5.0)
    members = fleet.running_members()
    half = {member.name for member in members[: MEDIUM // 2]}
    fleet.is_cut = lambda one, other: (one in half) != (other in half)
    for number in range(crashes):
        members[number].parts.part_suspects.record_crash(
            ["bad"], "o", f"engine-{number}/1", fleet.clock.now()
        )
        fleet.run(1.0)
    fleet.run(2.0)
    assert count_blocking(fleet, "bad") == (len(half) if crashes == 3 else 0)
    fleet.is_cut = lambda one, other: False
    fleet.run(10.0)
    if crashes == 2:
        members[-1].parts.part_suspects.record_crash(
            ["bad"], "o", "engine-2/1", fleet.clock.now()
        )
        fleet.run(schedule_for(MEDIUM, SETTINGS).propagation_s)
    assert count_blocking(fleet, "bad") == MEDIUM


def test_message_without_suspected_parts_of_an_old_build_is_applied(
    fleet_of: FleetOf,
) -> None:
    fleet = fleet_of(6)
    fleet.run(5.0)
    old, new = fleet.running_members()[:2]
    for number in range(3):
        new.parts.part_suspects.record_crash(
            ["bad"], "o", f"engine-{number}/1", fleet.clock.now() - number
        )
    request = old.messages.build_request()
    request.ClearField("part_suspects")
    request.ClearField("leaving_endpoints")
    new.messages.apply(request)
    assert new.parts.part_suspects.blocked_parts == {"bad"}


def test_flood_of_suspected_parts_is_told_in_messages_of_bounded_size(
    fleet_of: FleetOf,
) -> None:
    fleet = fleet_of(6)
    fleet.run(5.0)
    (member, *_) = fleet.running_members()
    suspects = member.parts.part_suspects
    for number in range(3):
        at = fleet.clock.now() - number
        crash = PartCrash(at, frozenset({"o"}))
        suspects.record_peer_crash("bad", f"engine-{number}/1", crash, at)
    for number in range(5000):
        suspects.record_crash([f"p{number}"], "o", "busy/1", fleet.clock.now())
    request = member.messages.build_request()
    assert request.part_suspects[0].part == "bad"
    assert sum(part.ByteSize() for part in request.part_suspects) < MAX_SUSPECT_BYTES


@pytest.mark.parametrize("size", [6, MEDIUM, LARGE])
def test_all_members_learn_within_a_second_that_a_service_is_brittle(
    fleet_of: FleetOf, size: int
) -> None:
    fleet = fleet_of(size)
    fleet.run(6.0)
    members = fleet.running_members()
    members[0].parts.rooms.record_brittle("kiosk", 1.0, 0.0, source="endpoint")
    fleet.run(1.0)
    assert all(member.parts.rooms.is_brittle("kiosk") for member in members)


@pytest.mark.parametrize("size", [6, LARGE])
def test_speeds_of_engines_reach_all_members(fleet_of: FleetOf, size: int) -> None:
    """Guards against evidence that stays with the instance that observed it."""
    fleet = fleet_of(size)
    fleet.run(5.0)
    engines = [speed_engine(number) for number in range(3)]
    for number, member in enumerate(fleet.running_members()[:3]):
        for engine, pause_s in zip(engines, (0.04, 0.04, 0.1), strict=True):
            for window in range(4):
                at = fleet.clock.now() + (window + number) * 0.01
                member.parts.engine_speeds.record_pauses(engine, pause_s, 1.0, 0.25, at)
    fleet.run(SCHEDULE.propagation_s)
    now = fleet.clock.now()
    for member in fleet.running_members():
        speeds = member.parts.engine_speeds
        speeds.refresh("llm", engines, now)
        assert speeds.relative_speed(engines[0]) == 1.0
        assert speeds.relative_speed(engines[2]) == pytest.approx(0.4, rel=0.2)


def test_invalid_speeds_of_a_peer_are_ignored(fleet_of: FleetOf) -> None:
    """Guards against numbers of a faulty peer that stop gossip or move estimates."""
    fleet = fleet_of(6)
    fleet.run(2.0)
    faulty, member, *_ = fleet.running_members()
    message = faulty.messages.build_request()
    for number, log in enumerate((-(2**31), -1000, 1000, 2**31 - 1)):
        message.engine_speeds.add(
            endpoint=f"engine-{number}",
            started=1,
            lasting_weight=2**32 - 1,
            lasting_log=10 * number,
        )
        message.engine_speeds.add(
            endpoint=f"engine-{number}",
            started=2,
            lasting_weight=100,
            lasting_log=log,
        )
    member.messages.apply(message)
    engines = [
        attrs.evolve(speed_engine(number), started=started)
        for number in range(4)
        for started in (1, 2)
    ]
    speeds = member.parts.engine_speeds
    speeds.refresh("llm", engines, fleet.clock.now())
    assert {speeds.relative_speed(engine) for engine in engines} == {1.0}
