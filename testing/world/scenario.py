"""One scenario of the matrix: traffic, faults at steps, healing, recovery."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from collections.abc import Iterable

import attrs
import looptime

from chiveslip.dispatch.outcome import Step
from chiveslip.generated import result_codes
from testing.world.checker import violations
from testing.world.faults import FAULT_S
from testing.world.faults import FAULTS
from testing.world.faults import TARGET
from testing.world.world import World

_TRAFFIC_S = 7.0
_SETTLING_S = 12.0
_PROBE_S = 6.0


class Moment(enum.Enum):
    """When a fault is brought about: a step of a call, or of the fleet."""

    ACCEPT = "accept"
    AUTHENTICATE = "authenticate"
    ALLOW = "allow"
    QUEUE = "queue"
    PLACE = "place"
    LOAD = "load"
    DISPATCH = "dispatch"
    FIRST_BYTE = "first-byte"
    MID_STREAM = "mid-stream"
    SETTLE = "settle"
    REPLY = "reply"
    HAND_OVER = "hand-over"
    STOP = "stop"


_STEPS = {
    Moment.ACCEPT: Step.ACCEPT,
    Moment.AUTHENTICATE: Step.AUTHENTICATE,
    Moment.ALLOW: Step.ALLOW,
    Moment.QUEUE: Step.QUEUE,
    Moment.PLACE: Step.PLACE,
    Moment.DISPATCH: Step.DISPATCH,
    Moment.FIRST_BYTE: Step.FIRST_BYTE,
    Moment.MID_STREAM: Step.MID_STREAM,
    Moment.SETTLE: Step.SETTLE,
    Moment.REPLY: Step.REPLY,
}


@attrs.frozen
class Cell:
    """A fault at a moment."""

    fault: str
    moment: Moment

    def __str__(self) -> str:
        return f"{self.fault}-{self.moment.value}"


@attrs.define
class Outcome:
    """What a scenario showed.

    Attributes
    ----------
    happened
        Faults that were in fact brought about.
    """

    violations: list[str]
    happened: list[str]


def play(
    cells: Iterable[Cell], prepare: Callable[[World], None] | None = None
) -> Outcome:
    """Play a scenario in virtual time."""
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_play(list(cells), prepare))
    finally:
        loop.close()
        asyncio.set_event_loop(None)


async def _play(cells: list[Cell], prepare: Callable[[World], None] | None) -> Outcome:
    world = World()
    happened: list[str] = []
    await world.start()
    if prepare is not None:
        prepare(world)
    for cell in cells:
        _arm(world, cell, happened)
    await _send_traffic(world, cells)
    await asyncio.sleep(_SETTLING_S)
    recovered = await _probe(world)
    found = violations(world) + recovered
    await world.close()
    return Outcome(found, happened)


def _arm(world: World, cell: Cell, happened: list[str]) -> None:
    fault = FAULTS[cell.fault]()

    def begin(*_: object) -> None:
        happened.append(str(cell))
        fault.begin(world)
        world.run_later(FAULT_S, lambda: fault.end(world))

    moment = cell.moment
    if moment is Moment.LOAD:
        once = _once(begin)
        for engine in world.engines:
            engine.on_load = once
    elif moment is Moment.HAND_OVER:
        world.on_hand_over.append(begin)
    elif moment is Moment.STOP:
        world.run_later(0.4, begin)
    else:
        world.on_step[_STEPS[moment]].append(begin)


def _once(action: Callable[[], None]) -> Callable[[], None]:
    done: list[bool] = []

    def run() -> None:
        if not done:
            done.append(True)
            action()

    return run


async def _send_traffic(world: World, cells: list[Cell]) -> None:
    moments = {cell.moment for cell in cells}
    first = world.unlock(TARGET, "north", "locker-7")
    world.complete(TARGET, "north", "north-logs@1", stream=True)
    world.complete(TARGET, "south", "south-logs", stream=True)
    world.poll(TARGET, "north")
    if Moment.HAND_OVER in moments:
        # The home of an allowance leaves, and hands over while calls run.
        world.leave(world.home_of("allowance/organisation/north", not_=""))
    if Moment.STOP in moments:
        world.leave(TARGET)
        world.run(world.nodes[TARGET].stop())
    ends_at = world.now() + _TRAFFIC_S
    number = 0
    while world.now() < ends_at:
        number += 1
        await asyncio.sleep(0.4)
        _send_round(world, number, first.once_key)


def _send_round(world: World, number: int, once_key: str) -> None:
    live = [
        node.name for node in world.live_nodes if not node.node.admission.is_stopping
    ]
    if not live:
        return
    node = live[number % len(live)]
    other = live[(number + 1) % len(live)]
    # The caller of the once-only call asks again, everywhere.
    world.unlock(node, "north", once_key)
    world.unlock(other, "south", f"locker-{number}")
    kinds = ("logs", "drafts", "notes")
    world.complete(node, "north", f"north-{kinds[number % 3]}", stream=number % 2 == 0)
    world.complete(other, "south", f"south-{kinds[number % 3]}", max_tokens=30)
    # Many times the rate of a small organisation, on all instances.
    for name in live:
        world.poll(name, "tiny", path="/bulk", deadline_s=1.0)
        world.poll(name, "tiny", path="/bulk", deadline_s=1.0)
    world.complete(node, "tiny", "tiny-logs", max_tokens=40, deadline_s=2.0)
    world.poll(node, "south")


async def _probe(world: World) -> list[str]:
    """Return what does not work again after the faults have ended."""
    live = [node.name for node in world.live_nodes]
    calls = [world.complete(name, "north", "north-logs", max_tokens=5) for name in live]
    calls += [world.unlock(name, "north", f"probe-{name}") for name in live]
    await asyncio.sleep(_PROBE_S)
    return [
        f"{call.id} ({call.kind} at {call.node}) does not work after the faults: "
        f"{call.refusal.detail if call.refusal else 'no answer'}"
        for call in calls
        if call.code is not result_codes.OK
    ]
