"""What an idempotent call is told when its key is withdrawn between two tries."""

from __future__ import annotations

import asyncio

import looptime

from chiveslip.dispatch.outcome import Step
from chiveslip.results import Run
from testing.world.checker import violations
from testing.world.world import World


async def _withdrawn_between_tries(world: World) -> Run:
    await world.start()

    def crash_and_withdraw(_node: str) -> None:
        world.withdraw("south")
        # The service dies when the withdrawal is in force, while the call runs.
        for service in world.services:
            world.run_later(0.095, service.crash)
            world.run_later(0.096, service.restart)

    world.on_step[Step.DISPATCH].append(crash_and_withdraw)
    call = world.poll("a", "south", deadline_s=5.0)
    await asyncio.sleep(6)
    assert call.code is not None
    assert any(run.call == call.id for s in world.services for run in s.runs)
    assert violations(world) == []
    await world.close()
    return call.code.run


def test_call_that_was_sent_once_is_never_called_not_run() -> None:
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        run = loop.run_until_complete(_withdrawn_between_tries(World()))
    finally:
        loop.close()
        asyncio.set_event_loop(None)
    assert run is Run.UNKNOWN
