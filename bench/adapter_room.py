"""What a large fleet serves when adapter slots are what runs out.

Run ``python -m bench.adapter_room`` for a table. The deployment is the label cloud of
docs/design/hard-load.md: 81 instances, and 45 engines that run 16 requests with 10
adapters at a time. Streams last 0.7 to 2.1 s.
"""

from __future__ import annotations

import sys
import time

import attrs

from bench.fleet_load import APPLICANT_LETTER
from bench.fleet_load import COMMITTEE_SUMMARY
from bench.fleet_load import SURVEY_SUMMARY
from bench.fleet_load import DataCentre
from bench.fleet_load import Length
from bench.fleet_load import Load
from bench.simulated_engine import EngineProperties
from bench.simulated_fleet import EngineFleet
from bench.simulated_fleet import FleetResult
from bench.simulated_fleet import Outcome
from bench.simulated_fleet import Scenario
from bench.simulated_fleet import simulate
from chiveslip import logs

SEED = 1
# Streams a second that the label cloud served on its day with the highest load, with
# uses told by gossip.
ROOM_PER_S = 180.0
FACTORS = (0.9, 1.5, 2.2)

_EVENTS = Length(mean=35.0, spread=0.35, maximum=50.0)
_LABEL_CLASSES = (
    attrs.evolve(
        SURVEY_SUMMARY,
        share=108.0,
        aim_s=0.808,
        priority=0,
        events=_EVENTS,
        late_worth=0.9,
    ),
    attrs.evolve(
        COMMITTEE_SUMMARY,
        share=14.9,
        aim_s=2.008,
        priority=2,
        events=_EVENTS,
        late_worth=0.45,
    ),
    attrs.evolve(
        APPLICANT_LETTER,
        share=65.2,
        aim_s=0.806,
        priority=1,
        events=_EVENTS,
        late_worth=0.6,
    ),
)
_ENGINES = EngineFleet(
    engines=45,
    properties=EngineProperties(
        slots=16,
        queue=48,
        adapter_slots=10,
        memory_tokens=71_552,
        prefill_tokens_per_s=20_400.0,
        step_s=0.0101,
        copies=60,
    ),
    fetch_s=0.288,
)


def make_scenario(
    factor: float, *, duration_s: float = 10.0, tells_uses_at_once: bool = True
) -> Scenario:
    """Return the label cloud at a multiple of the load that it had room for."""
    rate = ROOM_PER_S * factor / 3
    return Scenario(
        name=f"label-cloud-{factor}",
        load=Load(
            duration_s=duration_s,
            zipf=1.2,
            adapter_share=1.0,
            data_centres=tuple(
                DataCentre(
                    name=name,
                    instances=27,
                    clients=108,
                    streams_per_s=rate,
                    wave_phase=phase,
                )
                for name, phase in (("a", 0.0), ("b", 0.33), ("c", 0.67))
            ),
            stream_classes=_LABEL_CLASSES,
        ),
        engine_fleet=_ENGINES,
        tells_uses_at_once=tells_uses_at_once,
    )


def describe(result: FleetResult) -> str:
    """Return the shares served and earned, and what it cost, as text."""
    served = result.served_by_class()
    by_rank = sorted(_LABEL_CLASSES, key=lambda c: c.priority)
    all_served = sum(
        r.outcome in (Outcome.IN_TIME, Outcome.LATE) for r in result.requests
    ) / len(result.requests)
    in_time = sum(r.outcome is Outcome.IN_TIME for r in result.requests)
    return " | ".join(
        (
            f"{all_served:.3f}",
            ", ".join(f"{served[c.name]:.3f}" for c in by_rank),
            f"{in_time / len(result.requests):.3f}",
            f"{result.earned_share:.3f}",
            str(result.fetches),
            f"{result.use_notices_per_s:.1f}",
            str(sum(result.engine_refusals.values())),
            str(result.crashes),
        )
    )


def main() -> None:
    """Print a table; arguments are factors of the load."""
    logs.configure("console", "error")
    factors = [float(argument) for argument in sys.argv[1:]] or FACTORS
    print(
        "load | uses told | served | by rank | in time | earned | fetches"
        " | notices/s | refused by engines | crashes | cpu s"
    )
    for factor in factors:
        for tells_uses_at_once in (False, True):
            started_at = time.process_time()
            result = simulate(
                make_scenario(factor, tells_uses_at_once=tells_uses_at_once), SEED
            )
            cpu_s = time.process_time() - started_at
            how = "at once" if tells_uses_at_once else "by gossip"
            print(f"{factor} | {how} | {describe(result)} | {cpu_s:.0f}", flush=True)


if __name__ == "__main__":
    main()
