"""Snapshots of whole sessions: messages, endpoint exchanges, answers and audit."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import looptime
import pytest
from syrupy.assertion import SnapshotAssertion

from testing.simulation.cluster import SimulatedCluster
from testing.simulation.instance import CallRecord

_PERIODIC = re.compile(r" (Confirm|Pull|History|Copy) | GET /v1/load |\"incarnation\"")
_RANDOM_ID = re.compile(r"\b[0-9a-f]{32}\b")


async def _silence_stream(cluster: SimulatedCluster) -> None:
    cluster.send_completion("a", "north", "north-logs@1", stream=True, max_tokens=6)
    await asyncio.sleep(0.35)
    for engine in cluster.engines:
        cluster.network.silence_open_connections("a", engine.name)
    await asyncio.sleep(0.05)
    cluster.network.end_silence()


async def _lose_at_most_once_outcome(cluster: SimulatedCluster) -> None:
    cluster.send_at_most_once_call("a", "north", "locker-7")
    await asyncio.sleep(0.05)
    for service in cluster.services:
        service.crash()
    await asyncio.sleep(2)
    cluster.send_at_most_once_call("b", "north", "locker-7")


async def _replay_at_most_once_call(cluster: SimulatedCluster) -> None:
    cluster.send_at_most_once_call("a", "north", "locker-7")
    await asyncio.sleep(1)
    cluster.send_at_most_once_call("c", "north", "locker-7")


async def _withdraw_key(cluster: SimulatedCluster) -> None:
    cluster.send_idempotent_call("b", "south")
    await asyncio.sleep(0.5)
    cluster.withdraw_key("south")
    await asyncio.sleep(1)
    cluster.send_idempotent_call("b", "south")


async def _exceed_allowance(cluster: SimulatedCluster) -> None:
    for _ in range(4):
        cluster.send_idempotent_call("b", "tiny", path="/bulk", deadline_s=0.2)
    cluster.send_completion("b", "tiny", "tiny-logs", max_tokens=280, deadline_s=0.5)
    cluster.send_completion("b", "tiny", "tiny-logs", max_tokens=5000)
    await asyncio.sleep(1)


async def _mismatch_answer(cluster: SimulatedCluster) -> None:
    cluster.services[0].mismatched_answers = cluster.services[1].mismatched_answers = 1
    cluster.send_at_most_once_call("a", "north", "locker-9")


SESSIONS: dict[str, Callable[[SimulatedCluster], Awaitable[None]]] = {
    "stream-goes-silent-and-is-resumed": _silence_stream,
    "at-most-once-outcome-unknown": _lose_at_most_once_outcome,
    "at-most-once-replayed-elsewhere": _replay_at_most_once_call,
    "key-withdrawn": _withdraw_key,
    "over-the-allowance": _exceed_allowance,
    "crossed-answer": _mismatch_answer,
}


async def _record_session(script: Callable[[SimulatedCluster], Awaitable[None]]) -> str:
    cluster = SimulatedCluster(("a", "b", "c"))
    await cluster.start()
    first_line = len(cluster.transcript)
    first_call = len(cluster.calls)
    await script(cluster)
    await asyncio.sleep(10)
    lines = [
        line for line in cluster.transcript[first_line:] if not _PERIODIC.search(line)
    ]
    lines.append("answers:")
    lines += [_format_answer(call) for call in cluster.calls[first_call:]]
    lines.append("audit:")
    for name, instance in cluster.instances.items():
        lines += [
            f"{name} {attrs.asdict(entry) | {'at': '', 'kind': entry.kind.value}}"
            for entry in instance.node.audit.lines
        ]
    await cluster.close()
    return "\n".join(_RANDOM_ID.sub("<random>", line) for line in lines) + "\n"


def _format_answer(call: CallRecord) -> str:
    code = f"{call.code.code} {call.code.name}" if call.code else "none"
    refusal = ""
    if call.refusal is not None:
        refusal = f"{call.refusal.detail} after {call.refusal.advised_retry_after_s}"
    return f"{call.id} at {call.instance}: {code} {call.head} {call.body!r} {refusal}"


@pytest.mark.parametrize("name", sorted(SESSIONS))
def test_session_matches_snapshot(name: str, snapshot: SnapshotAssertion) -> None:
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        text = loop.run_until_complete(_record_session(SESSIONS[name]))
    finally:
        loop.close()
        asyncio.set_event_loop(None)
    assert text == snapshot
