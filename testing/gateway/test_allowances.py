"""An organisation's allowance is shared by all instances, without an owner."""

from __future__ import annotations

import pytest

from chiveslip.fleet.gossip_schedule import GossipScheduleSettings
from chiveslip.fleet.gossip_schedule import schedule_for
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.routing import Organisation

RATE = 1000.0
BURST = 2000.0


SETTINGS = GossipScheduleSettings(
    interval_s=0.25,
    fan_out=6,
    heartbeat_timeout_s=1.5,
    batch_delay_s=0.35,
    max_watch_s=1.0,
)


def shared_allowances(instances: int = 6) -> SharedAllowances:
    pace = schedule_for(instances, SETTINGS)
    return SharedAllowances(
        schedule=lambda: pace,
        instance_count=lambda: instances,
        live_instances=lambda: [f"i{number}" for number in range(instances)],
        heard_share=lambda: 1.0,
    )


def admit(
    allowances: SharedAllowances, organisation: Organisation, units: float, now: float
) -> float:
    """Charge a request to the bucket; return 0, or the time after which to return."""
    return allowances.grant(organisation, units, 0.0, now).retry_after_s


def organisation(rate: float = RATE, burst: float = BURST) -> Organisation:
    return Organisation(
        name="trust",
        priority=None,
        rate=rate,
        burst=burst,
        counts_tokens=True,
        default_units=0.0,
    )


@pytest.mark.parametrize(
    ("requests", "admitted"),
    [
        pytest.param([500] * 4, 4, id="burst-is-used-up"),
        pytest.param([500] * 6, 4, id="beyond-the-burst-is-refused"),
        pytest.param([5000], 1, id="larger-than-the-burst-passes-when-full"),
        pytest.param([5000, 100], 1, id="larger-than-the-burst-overdraws"),
    ],
)
def test_full_bucket_admits_its_burst_at_once(
    requests: list[int], admitted: int
) -> None:
    allowances = shared_allowances()
    waits = [admit(allowances, organisation(), units, 0.0) for units in requests]
    assert waits.count(0.0) == admitted


def test_refusal_returns_the_wait_until_the_request_fits() -> None:
    allowances = shared_allowances()
    admit(allowances, organisation(), BURST, 0.0)
    wait_s = admit(allowances, organisation(), 500.0, 0.0)
    assert wait_s == pytest.approx(0.5)
    assert admit(allowances, organisation(), 500.0, wait_s) == 0.0


@pytest.mark.parametrize(
    ("level", "units", "at", "is_admitted"),
    [
        pytest.param(0.0, 100, 0.0, False, id="used-up"),
        pytest.param(-500.0, 100, 0.5, False, id="overdrawn"),
        pytest.param(0.0, 500, 1.0, True, id="accrued-since"),
        pytest.param(BURST, 500, 0.0, True, id="full"),
    ],
)
@pytest.mark.parametrize("has_bucket", [False, True])
def test_restarted_instance_starts_from_the_levels_of_older_peers(
    level: float, units: float, at: float, is_admitted: bool, has_bucket: bool
) -> None:
    allowances = shared_allowances()
    if has_bucket:
        admit(allowances, organisation(), 1.0, 0.0)
    allowances.lower_to_peer_levels({"trust": level}, 0.0)
    wait_s = admit(allowances, organisation(), units, at)
    assert (wait_s == 0.0) is is_admitted


def test_request_within_the_rate_is_admitted_after_a_restart_of_all_instances() -> None:
    """No instance is left that knows what was used before."""
    allowances = shared_allowances()
    assert admit(allowances, organisation(), 500.0, 0.0) == 0.0


def test_reported_use_of_peers_is_charged() -> None:
    allowances = shared_allowances()
    admit(allowances, organisation(), 100.0, 0.0)
    allowances.record_peer_use("peer", 1, {"trust": 5000.0})
    assert admit(allowances, organisation(), 100.0, 0.0) == 0.0
    allowances.record_peer_use("peer", 1, {"trust": 7000.0})
    assert admit(allowances, organisation(), 100.0, 0.0) > 0


def test_use_of_a_restarted_peer_is_not_charged_twice() -> None:
    allowances = shared_allowances()
    admit(allowances, organisation(), 100.0, 0.0)
    allowances.record_peer_use("peer", 1, {"trust": 900.0})
    allowances.record_peer_use("peer", 2, {"trust": 900.0})
    assert admit(allowances, organisation(), 1800.0, 0.0) == 0.0


def test_refund_restores_the_charge() -> None:
    allowances = shared_allowances()
    admit(allowances, organisation(), BURST, 0.0)
    allowances.return_units("trust", BURST)
    assert allowances.used["trust"] == 0.0
    assert admit(allowances, organisation(), BURST, 0.0) == 0.0


def test_lower_limit_applies_to_the_next_request() -> None:
    allowances = shared_allowances()
    admit(allowances, organisation(), 100.0, 0.0)
    low = organisation(rate=100.0, burst=100.0)
    assert admit(allowances, low, 100.0, 0.0) == 0.0
    assert admit(allowances, low, 100.0, 0.0) > 0


def test_six_instances_without_a_grantor_stay_near_the_rate() -> None:
    """An organisation sends eight times its rate through six instances.

    None of them gets an answer from another one, but peers learn of each other's use
    up to 0.3 s late. The users' bound over eight seconds is
    1.25 x (rate x 8 + burst) + 11,000.
    """
    rate, burst = 44_000.0, 44_000.0
    fleet = [shared_allowances() for _ in range(6)]
    reports: list[list[tuple[float, dict[str, float]]]] = [[] for _ in fleet]
    admitted: list[tuple[float, float]] = []
    units = 1500.0
    for step in range(1600):
        now = step * 0.01
        for index, member in enumerate(fleet):
            trust = organisation(rate, burst)
            if member.admit_from_share(trust, units, now) == 0.0:
                admitted.append((now, units))
            reports[index].append((now, dict(member.used)))
        if step % 25 == 0:
            for index, member in enumerate(fleet):
                for other, history in enumerate(reports):
                    old = [used for at, used in history if at <= now - 0.05]
                    if other != index:
                        member.record_peer_use(str(other), 1, old[-1] if old else {})
    worst = max(
        sum(u for at, u in admitted if start <= at < start + 8) for start in range(0, 9)
    )
    assert worst <= 1.25 * (rate * 8 + burst) + 11_000
