"""Calls whose endpoint begins to leave while the connection to it is opened."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import looptime
import pytest

from chiveslip.dispatch.outcome import Step
from testing.simulation.checker import find_violations
from testing.simulation.cluster import INSTANCE_NAMES
from testing.simulation.cluster import SimulatedCluster
from testing.simulation.endpoints import FakeEndpoint

MODEL = "north-logs@1"
# Below the timeout of a connection, and long enough for the list to be read.
CONNECT_S = 0.9
CALLS = 8
SENDER = INSTANCE_NAMES[0]


async def _choose_service(world: SimulatedCluster) -> FakeEndpoint:
    return world.services[0]


async def _choose_engine(world: SimulatedCluster) -> FakeEndpoint:
    """Return the engine that holds the adapter after a first call."""
    call = world.send_completion(SENDER, "north", MODEL, deadline_s=20.0)
    while call.ended_at is None:
        await asyncio.sleep(0.1)
    return next(engine for engine in world.engines if MODEL in engine.loaded)


async def _send_calls_while_endpoint_leaves(
    choose: Callable[[SimulatedCluster], Awaitable[FakeEndpoint]],
    step: Step,
    send: Callable[[SimulatedCluster, int], object],
) -> tuple[int, list[str]]:
    """Return runs at the endpoint after it left, and the violations of invariants."""
    world = SimulatedCluster()
    await world.start()
    leaving = await choose(world)
    runs_before = len(leaving.runs)

    def begin_to_leave(_instance: str) -> None:
        world.network.pause(leaving.name)
        world.mark_leaving(leaving.name)
        world.run_later(CONNECT_S, lambda: world.network.resume(leaving.name))

    world.on_step[step].append(begin_to_leave)
    for number in range(CALLS):
        send(world, number)
    await asyncio.sleep(20)
    late_runs = len(leaving.runs) - runs_before
    assert all(call.code is not None for call in world.calls)
    violations = find_violations(world)
    await world.close()
    return late_runs, violations


@pytest.mark.parametrize(
    ("choose", "step", "send"),
    [
        pytest.param(
            _choose_service,
            Step.PLACE,
            lambda world, _: world.send_idempotent_call(SENDER, "south"),
            id="idempotent",
        ),
        pytest.param(
            _choose_service,
            Step.PLACE,
            lambda world, n: world.send_at_most_once_call(SENDER, "south", f"k{n}"),
            id="at-most-once",
        ),
        pytest.param(
            _choose_engine,
            Step.QUEUE,
            lambda world, _: world.send_completion(SENDER, "north", MODEL),
            id="completion",
        ),
        pytest.param(
            _choose_engine,
            Step.QUEUE,
            lambda world, _: world.send_completion(SENDER, "north", MODEL, stream=True),
            id="stream",
        ),
    ],
)
def test_call_is_not_sent_to_an_endpoint_that_left_while_connecting(
    choose: Callable[[SimulatedCluster], Awaitable[FakeEndpoint]],
    step: Step,
    send: Callable[[SimulatedCluster, int], object],
) -> None:
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        late_runs, violations = loop.run_until_complete(
            _send_calls_while_endpoint_leaves(choose, step, send)
        )
    finally:
        loop.close()
        asyncio.set_event_loop(None)
    assert violations == []
    assert late_runs == 0
