"""Measures what a large fleet earns of the worth owed to its callers, under faults.

Run ``python -m bench.fleet_worth`` for a table of the scenarios, or of those that are
named as arguments. The rates, shares and times of the faults are those of the users'
days; `bench.simulated_fleet` says what is simulated.
"""

from __future__ import annotations

import math
import sys
import time

import attrs

from bench.fleet_faults import CrashingEngines
from bench.fleet_faults import DarkEngines
from bench.fleet_faults import FlappingEngines
from bench.fleet_faults import InstancesWithoutPeers
from bench.fleet_faults import InstancesWithoutStore
from bench.fleet_faults import ResettingEngines
from bench.fleet_faults import SlowEngines
from bench.fleet_faults import SlowSpells
from bench.fleet_faults import UndeliveredReports
from bench.fleet_faults import UnreadableReports
from bench.fleet_faults import WithoutQuorum
from bench.fleet_load import COMMITTEE_SUMMARY
from bench.fleet_load import Burst
from bench.fleet_load import HotOrganisations
from bench.fleet_load import Load
from bench.simulated_fleet import FleetResult
from bench.simulated_fleet import Outcome
from bench.simulated_fleet import Scenario
from bench.simulated_fleet import simulate
from chiveslip import logs

SEEDS = (1, 20261204)

# Rates as multiples of those of a calm day: on the users' sheet, and on their two days
# of high load.
_SHEET_RATE = 1.47
_HIGH_RATE = 1.62
_HIGHEST_RATE = 1.77

CALM = Scenario(name="calm", load=Load(), data_centre_floor=0.48, class_floor=0.47)
# A single fault is hardly noticed by the callers.
NO_FAULT = attrs.evolve(CALM, name="no-fault", load=Load(factor=_SHEET_RATE))
_CRASHES_AND_FLAPS = Scenario(
    name="crashes-and-flaps",
    load=Load(
        factor=_HIGHEST_RATE,
        duration_s=16.0,
        bursts=(
            Burst(
                class_name=COMMITTEE_SUMMARY.name,
                factor=2.6,
                at_s=7.47,
                duration_s=3.4,
            ),
        ),
    ),
    faults=(
        FlappingEngines(at_s=8.67, duration_s=6.6, share=0.065, interval_s=1.1),
        CrashingEngines(at_s=6.47, duration_s=3.5, share=0.14),
        CrashingEngines(at_s=9.47, duration_s=2.0, share=0.25),
        ResettingEngines(at_s=8.28, duration_s=6.25, share=0.5, request_share=0.05),
    ),
    data_centre_floor=0.37,
    class_floor=0.33,
)
_DARK_AND_CRASHES = Scenario(
    name="dark-and-crashes",
    load=Load(
        factor=_HIGH_RATE,
        duration_s=16.0,
        bursts=(
            Burst(
                class_name=COMMITTEE_SUMMARY.name,
                factor=2.7,
                at_s=2.0,
                duration_s=4.8,
            ),
            Burst(
                class_name=COMMITTEE_SUMMARY.name,
                factor=1.6,
                at_s=7.4,
                duration_s=3.8,
            ),
        ),
        hot_organisations=HotOrganisations(
            organisations=(3, 9), factor=6.0, at_s=2.0, duration_s=11.0
        ),
    ),
    faults=(
        InstancesWithoutStore(at_s=1.0, duration_s=12.0, share=0.35),
        ResettingEngines(at_s=3.7, duration_s=5.0, share=0.11, request_share=0.5),
        DarkEngines(at_s=4.9, duration_s=4.9, share=0.17),
        CrashingEngines(at_s=12.5, duration_s=2.0, share=0.25),
        ResettingEngines(at_s=6.69, duration_s=6.11, share=0.588, request_share=0.0209),
        ResettingEngines(at_s=6.58, duration_s=5.66, share=0.456, request_share=0.029),
    ),
    data_centre_floor=0.41,
    class_floor=0.36,
)
_ONE_ENGINE = 1 / 30
# Speeds of the engines of franchise minutes; a part of them is slower in spells.
_ENGINE_SPEEDS = (0.6, 1.0, 1.6)
_SLOW_SPELLS = SlowSpells(
    at_s=0.0, duration_s=15.0, share=0.15, factor=2.5, spell_s=0.6, interval_s=3.0
)
_MIXED_SPEEDS = attrs.evolve(
    NO_FAULT, name="mixed-speeds", engine_speeds=_ENGINE_SPEEDS
)
_EQUAL_SPEEDS = attrs.evolve(NO_FAULT, name="equal-speeds")
_MIXED_SPEEDS_AND_SPELLS = attrs.evolve(
    _MIXED_SPEEDS, name="mixed-speeds-and-spells", faults=(_SLOW_SPELLS,)
)
_ENGINE_TURNS_SLOW = attrs.evolve(
    NO_FAULT,
    name="engine-turns-slow",
    faults=(SlowEngines(at_s=3.0, duration_s=12.0, share=_ONE_ENGINE, factor=2.5),),
)
# Each is run with and without the use of learned speeds.
_SPEEDS = (
    _EQUAL_SPEEDS,
    _MIXED_SPEEDS,
    attrs.evolve(_MIXED_SPEEDS, name="mixed-speeds-calm", load=attrs.evolve(CALM.load)),
    _MIXED_SPEEDS_AND_SPELLS,
    _ENGINE_TURNS_SLOW,
)
_LOST_PEERS = InstancesWithoutPeers(
    at_s=1.0, duration_s=14.0, share=0.14, lost_share=0.66
)

SCENARIOS = (
    CALM,
    NO_FAULT,
    attrs.evolve(
        NO_FAULT,
        name="one-engine-unreported",
        faults=(UnreadableReports(at_s=1.0, duration_s=14.0, share=_ONE_ENGINE),),
    ),
    attrs.evolve(
        NO_FAULT,
        name="engines-unreported",
        faults=(UnreadableReports(at_s=1.0, duration_s=14.0, share=0.17),),
    ),
    attrs.evolve(
        NO_FAULT,
        name="one-coordinator-without-quorum",
        faults=(WithoutQuorum(at_s=1.0, duration_s=14.0, share=_ONE_ENGINE),),
    ),
    attrs.evolve(
        NO_FAULT,
        name="coordinators-without-quorum",
        faults=(WithoutQuorum(at_s=1.0, duration_s=14.0, share=0.14),),
    ),
    attrs.evolve(
        NO_FAULT,
        name="instances-without-peers",
        faults=(_LOST_PEERS,),
    ),
    attrs.evolve(
        NO_FAULT,
        name="engines-silent",
        faults=(
            UndeliveredReports(
                at_s=1.0, duration_s=14.0, share=0.17, instance_share=1.0
            ),
        ),
    ),
    attrs.evolve(
        NO_FAULT,
        name="reports-undelivered",
        faults=(
            UndeliveredReports(
                at_s=1.0, duration_s=12.0, share=0.17, instance_share=0.35
            ),
        ),
    ),
    attrs.evolve(
        NO_FAULT,
        name="one-engine-dark",
        faults=(DarkEngines(at_s=4.9, duration_s=4.9, share=_ONE_ENGINE),),
    ),
    attrs.evolve(
        NO_FAULT,
        name="engines-dark",
        faults=(DarkEngines(at_s=4.9, duration_s=4.9, share=0.17),),
    ),
    attrs.evolve(
        NO_FAULT,
        name="quarter-crashes",
        faults=(CrashingEngines(at_s=6.0, duration_s=2.0, share=0.25),),
    ),
    attrs.evolve(
        NO_FAULT,
        name="one-engine-slow",
        faults=(
            SlowEngines(at_s=3.0, duration_s=10.0, share=_ONE_ENGINE, factor=2.28),
        ),
    ),
    attrs.evolve(
        NO_FAULT,
        name="engines-slow",
        faults=(SlowEngines(at_s=3.0, duration_s=7.38, share=0.187, factor=2.28),),
    ),
    attrs.evolve(
        NO_FAULT,
        name="engines-reset-requests",
        faults=(
            ResettingEngines(at_s=3.7, duration_s=5.0, share=0.11, request_share=0.5),
        ),
    ),
    attrs.evolve(
        NO_FAULT,
        name="engines-flap",
        faults=(
            FlappingEngines(at_s=4.0, duration_s=6.6, share=0.065, interval_s=1.1),
        ),
    ),
    attrs.evolve(
        NO_FAULT,
        name="burst-and-hot-organisations",
        load=attrs.evolve(_DARK_AND_CRASHES.load, factor=_SHEET_RATE),
    ),
    _CRASHES_AND_FLAPS,
    _DARK_AND_CRASHES,
    attrs.evolve(
        _DARK_AND_CRASHES,
        name="dark-and-crashes-without-peers",
        faults=(_LOST_PEERS, *_DARK_AND_CRASHES.faults),
    ),
)

# Kept apart: no floors are set for engines of different speeds.
SPEED_SCENARIOS = (
    *_SPEEDS,
    *(
        attrs.evolve(scenario, name=f"{scenario.name}-unlearned", uses_speeds=False)
        for scenario in _SPEEDS
    ),
)


def main() -> None:
    """Run the scenarios and print a table; arguments are names of scenarios."""
    logs.configure("console", "error")
    known = (*SCENARIOS, *SPEED_SCENARIOS)
    chosen = [s for s in known if not sys.argv[1:] or s.name in sys.argv[1:]]
    print(
        "scenario | seed | earned | worst data centre | worst class"
        " | first event s p50, p95, p99"
        " | late before, at the engine, by pause | refused, failed, abandoned"
        " | largest queues"
        " | report age s p50, p99 | cpu s"
    )
    for scenario in chosen:
        for seed in SEEDS:
            started_at = time.process_time()
            result = simulate(scenario, seed)
            cpu_s = time.process_time() - started_at
            print(f"{scenario.name} | {seed} | {_describe(scenario, result)}", end="")
            print(f" | {cpu_s:.1f}", flush=True)


def _describe(scenario: Scenario, result: FleetResult) -> str:
    late = ", ".join(f"{share:.3f}" for share in result.late_shares())
    lost = ", ".join(
        f"{result.share_with(outcome):.3f}"
        for outcome in (Outcome.REFUSED, Outcome.FAILED, Outcome.ABANDONED)
    )
    queues = sorted(result.max_queues.values(), reverse=True)
    ages_s = result.report_ages_s
    p50, p99 = (ages_s[int(len(ages_s) * share)] for share in (0.5, 0.99))
    return " | ".join(
        (
            f"{result.earned_share:.3f}",
            _describe_worst(result.earned_by_data_centre(), scenario.data_centre_floor),
            _describe_worst(result.earned_by_class(), scenario.class_floor),
            _describe_first_events(result),
            late,
            lost,
            ", ".join(str(queue) for queue in queues[:3]),
            f"{p50:.1f}, {p99:.1f}",
        )
    )


def _describe_first_events(result: FleetResult) -> str:
    first_event_s = sorted(
        math.inf if r.first_event_s is None else r.first_event_s
        for r in result.requests
    )
    shares = (0.5, 0.95, 0.99)
    return ", ".join(
        f"{first_event_s[int(len(first_event_s) * share)]:.2f}" for share in shares
    )


def _describe_worst(earned: dict[str, float], floor: float) -> str:
    name = min(earned, key=earned.__getitem__)
    mark = "" if earned[name] >= floor else " BELOW"
    return f"{name} {earned[name]:.3f} of {floor}{mark}"


if __name__ == "__main__":
    main()
