"""Result of an idempotent call whose key is withdrawn between two attempts.

The second attempt is refused before it is sent. The call must not be reported as not
run, because the first attempt may have run.
"""

from __future__ import annotations

import asyncio

import looptime

from chiveslip.dispatch.outcome import Step
from chiveslip.results import Run
from testing.simulation.checker import find_violations
from testing.simulation.cluster import SimulatedCluster


async def _withdraw_key_between_attempts(world: SimulatedCluster) -> Run:
    await world.start()

    def crash_and_withdraw(_node: str) -> None:
        world.withdraw_key("south")
        # The services crash when the withdrawal is active, while the call is running.
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


def test_refusal_after_a_sent_attempt_is_not_reported_as_not_run() -> None:
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        run = loop.run_until_complete(
            _withdraw_key_between_attempts(SimulatedCluster())
        )
    finally:
        loop.close()
        asyncio.set_event_loop(None)
    assert run is Run.UNKNOWN
