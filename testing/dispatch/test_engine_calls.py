"""Result of a completion call if all its attempts fail.

If the first attempt was sent and the second one is refused before its start, the
call must not be reported as not run, because the first attempt may have run.
"""

from __future__ import annotations

import asyncio

import looptime
import pytest

from chiveslip.dispatch.outcome import Step
from chiveslip.results import Run
from testing.simulation import endpoints
from testing.simulation.checker import find_violations
from testing.simulation.cluster import INSTANCE_NAMES
from testing.simulation.cluster import SimulatedCluster

MODEL = "north-logs@1"


async def _second_attempt_never_starts(
    world: SimulatedCluster, node: str, deadline_s: float
) -> Run:
    """Crash the first engine during the call; the other one never finishes loading."""
    await world.start()
    call = world.send_completion(node, "north", MODEL, deadline_s=20.0)
    while call.ended_at is None:
        await asyncio.sleep(0.1)
    engine = next(e for e in world.engines if MODEL in e.loaded)
    world.on_step[Step.DISPATCH].append(
        lambda _node: world.run_later(0.05, engine.crash)
    )
    call = world.send_completion(node, "north", MODEL, deadline_s=deadline_s)
    await asyncio.sleep(deadline_s + 2)
    assert call.code is not None
    assert find_violations(world) == []
    await world.close()
    return call.code.run


@pytest.mark.parametrize("node", INSTANCE_NAMES)
def test_refusal_after_a_sent_attempt_is_not_reported_as_not_run(
    node: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    # The first load is short enough for the first call. The second engine must load
    # the adapter too, and the deadline of the second call passes during that load.
    monkeypatch.setattr(endpoints, "LOAD_DURATION_S", 2.0)
    try:
        run = loop.run_until_complete(
            _second_attempt_never_starts(SimulatedCluster(), node, 1.0)
        )
    finally:
        loop.close()
        asyncio.set_event_loop(None)
    assert run is Run.UNKNOWN
