"""A scenario: traffic with faults injected at steps, then recovery and checks."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from collections.abc import Iterable

import attrs
import looptime

from chiveslip.dispatch.outcome import Step
from chiveslip.generated import result_codes
from testing.simulation.checker import find_violations
from testing.simulation.cluster import SimulatedCluster
from testing.simulation.faults import FAULT_DURATION_S
from testing.simulation.faults import FAULTS
from testing.simulation.faults import TARGET_INSTANCE

_TRAFFIC_S = 7.0
_RECOVERY_S = 12.0
_RECOVERY_CALL_S = 6.0


class InjectionPoint(enum.Enum):
    """When a fault is injected: at a step of a call, or at a hand-over or stop."""

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
    InjectionPoint.ACCEPT: Step.ACCEPT,
    InjectionPoint.AUTHENTICATE: Step.AUTHENTICATE,
    InjectionPoint.ALLOW: Step.ALLOW,
    InjectionPoint.QUEUE: Step.QUEUE,
    InjectionPoint.PLACE: Step.PLACE,
    InjectionPoint.DISPATCH: Step.DISPATCH,
    InjectionPoint.FIRST_BYTE: Step.FIRST_BYTE,
    InjectionPoint.MID_STREAM: Step.MID_STREAM,
    InjectionPoint.SETTLE: Step.SETTLE,
    InjectionPoint.REPLY: Step.REPLY,
}


@attrs.frozen
class Cell:
    """A cell of the fault matrix: a fault at an injection point."""

    fault: str
    injection_point: InjectionPoint

    def __str__(self) -> str:
        return f"{self.fault}-{self.injection_point.value}"


@attrs.define
class ScenarioResult:
    """The result of a scenario.

    Attributes
    ----------
    injected
        Cells whose fault was injected.
    """

    violations: list[str]
    injected: list[str]


def run_scenario(
    cells: Iterable[Cell], prepare: Callable[[SimulatedCluster], None] | None = None
) -> ScenarioResult:
    """Run a scenario in virtual time on an event loop of its own."""
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run_scenario(list(cells), prepare))
    finally:
        loop.close()
        asyncio.set_event_loop(None)


async def _run_scenario(
    cells: list[Cell], prepare: Callable[[SimulatedCluster], None] | None
) -> ScenarioResult:
    cluster = SimulatedCluster()
    injected: list[str] = []
    await cluster.start()
    if prepare is not None:
        prepare(cluster)
    for cell in cells:
        _schedule_fault(cluster, cell, injected)
    await _send_traffic(cluster, cells)
    await asyncio.sleep(_RECOVERY_S)
    not_recovered = await _check_recovery(cluster)
    violations = find_violations(cluster) + not_recovered
    await cluster.close()
    return ScenarioResult(violations, injected)


def _schedule_fault(cluster: SimulatedCluster, cell: Cell, injected: list[str]) -> None:
    fault = FAULTS[cell.fault]()

    def begin(*_: object) -> None:
        injected.append(str(cell))
        fault.begin(cluster)
        cluster.run_later(FAULT_DURATION_S, lambda: fault.end(cluster))

    injection_point = cell.injection_point
    if injection_point is InjectionPoint.LOAD:
        begin_once = _call_once(begin)
        for engine in cluster.engines:
            engine.on_load = begin_once
    elif injection_point is InjectionPoint.HAND_OVER:
        cluster.on_hand_over.append(begin)
    elif injection_point is InjectionPoint.STOP:
        cluster.run_later(0.4, begin)
    else:
        cluster.on_step[_STEPS[injection_point]].append(begin)


def _call_once(action: Callable[[], None]) -> Callable[[], None]:
    done: list[bool] = []

    def run() -> None:
        if not done:
            done.append(True)
            action()

    return run


async def _send_traffic(cluster: SimulatedCluster, cells: list[Cell]) -> None:
    injection_points = {cell.injection_point for cell in cells}
    at_most_once_call = cluster.send_at_most_once_call(
        TARGET_INSTANCE, "north", "locker-7"
    )
    cluster.send_completion(TARGET_INSTANCE, "north", "north-logs@1", stream=True)
    cluster.send_completion(TARGET_INSTANCE, "south", "south-logs", stream=True)
    cluster.send_idempotent_call(TARGET_INSTANCE, "north")
    if InjectionPoint.HAND_OVER in injection_points:
        # The owner of an allowance leaves, and hands over during running calls.
        cluster.mark_leaving(
            cluster.owner_of("allowance/organisation/north", excluding="")
        )
    if InjectionPoint.STOP in injection_points:
        cluster.mark_leaving(TARGET_INSTANCE)
        cluster.run_in_background(cluster.instances[TARGET_INSTANCE].stop())
    ends_at = cluster.now() + _TRAFFIC_S
    round_number = 0
    while cluster.now() < ends_at:
        round_number += 1
        await asyncio.sleep(0.4)
        _send_round(cluster, round_number, at_most_once_call.idempotency_key)


def _send_round(
    cluster: SimulatedCluster, round_number: int, idempotency_key: str
) -> None:
    live_names = [
        instance.name
        for instance in cluster.live_instances
        if not instance.node.admission.is_stopping
    ]
    if not live_names:
        return
    instance = live_names[round_number % len(live_names)]
    next_instance = live_names[(round_number + 1) % len(live_names)]
    # The at-most-once call is repeated at every instance.
    cluster.send_at_most_once_call(instance, "north", idempotency_key)
    cluster.send_at_most_once_call(next_instance, "south", f"locker-{round_number}")
    kinds = ("logs", "drafts", "notes")
    cluster.send_completion(
        instance,
        "north",
        f"north-{kinds[round_number % 3]}",
        stream=round_number % 2 == 0,
    )
    cluster.send_completion(
        next_instance, "south", f"south-{kinds[round_number % 3]}", max_tokens=30
    )
    # Load far above the rate of a small organisation, at all instances.
    for name in live_names:
        cluster.send_idempotent_call(name, "tiny", path="/bulk", deadline_s=1.0)
        cluster.send_idempotent_call(name, "tiny", path="/bulk", deadline_s=1.0)
    cluster.send_completion(
        instance, "tiny", "tiny-logs", max_tokens=40, deadline_s=2.0
    )
    cluster.send_idempotent_call(instance, "south")


async def _check_recovery(cluster: SimulatedCluster) -> list[str]:
    """Return the calls that fail after the faults have ended."""
    live_names = [instance.name for instance in cluster.live_instances]
    calls = [
        cluster.send_completion(name, "north", "north-logs", max_tokens=5)
        for name in live_names
    ]
    calls += [
        cluster.send_at_most_once_call(name, "north", f"probe-{name}")
        for name in live_names
    ]
    await asyncio.sleep(_RECOVERY_CALL_S)
    return [
        f"{call.id} ({call.kind} at {call.instance}) failed after the faults ended: "
        f"{call.refusal.detail if call.refusal else 'no answer'}"
        for call in calls
        if call.code is not result_codes.OK
    ]
