"""What an idempotent call is told when its key is withdrawn between two tries."""

from __future__ import annotations

import asyncio

import looptime

from chiveslip.dispatch.outcome import Step
from chiveslip.results import Run
from testing.simulation.checker import find_violations
from testing.simulation.cluster import SimulatedCluster


async def _withdrawn_between_tries(world: SimulatedCluster) -> Run:
    await world.start()

    def crash_and_withdraw(_node: str) -> None:
        world.withdraw_key("south")
        # The service dies when the withdrawal is in force, while the call runs.
        for service in world.services:
            world.run_later(0.095, service.crash)
            world.run_later(0.096, service.restart)

    world.on_step[Step.DISPATCH].append(crash_and_withdraw)
    call = world.send_idempotent_call("a", "south", deadline_s=5.0)
    await asyncio.sleep(6)
    assert call.code is not None
    assert any(run.call_id == call.id for s in world.services for run in s.runs)
    assert find_violations(world) == []
    await world.close()
    return call.code.run


def test_call_that_was_sent_once_is_never_called_not_run() -> None:
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        run = loop.run_until_complete(_withdrawn_between_tries(SimulatedCluster()))
    finally:
        loop.close()
        asyncio.set_event_loop(None)
    assert run is Run.UNKNOWN
