"""Golden files of whole sessions: messages, endpoint exchanges, audit, answers."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import looptime
import pytest
from syrupy.assertion import SnapshotAssertion

from testing.world.node import CallRecord
from testing.world.world import World

_NOISE = re.compile(r" (Confirm|Pull|History|Copy) | GET /v1/load |\"incarnation\"")
_RANDOM = re.compile(r"\b[0-9a-f]{32}\b")


async def _stream_cut(world: World) -> None:
    world.complete("a", "north", "north-logs@1", stream=True, max_tokens=6)
    await asyncio.sleep(0.35)
    for engine in world.engines:
        world.links.silence("a", engine.name)
    await asyncio.sleep(0.05)
    world.links.end_silence()


async def _once_only_unknown(world: World) -> None:
    world.unlock("a", "north", "locker-7")
    await asyncio.sleep(0.05)
    for service in world.services:
        service.crash()
    await asyncio.sleep(2)
    world.unlock("b", "north", "locker-7")


async def _once_only_replayed(world: World) -> None:
    world.unlock("a", "north", "locker-7")
    await asyncio.sleep(1)
    world.unlock("c", "north", "locker-7")


async def _key_withdrawn(world: World) -> None:
    world.poll("b", "south")
    await asyncio.sleep(0.5)
    world.withdraw("south")
    await asyncio.sleep(1)
    world.poll("b", "south")


async def _over_the_allowance(world: World) -> None:
    for _ in range(4):
        world.poll("b", "tiny", path="/bulk", deadline_s=0.2)
    world.complete("b", "tiny", "tiny-logs", max_tokens=280, deadline_s=0.5)
    world.complete("b", "tiny", "tiny-logs", max_tokens=5000)
    await asyncio.sleep(1)


async def _crossed_answer(world: World) -> None:
    world.services[0].crossing = world.services[1].crossing = 1
    world.unlock("a", "north", "locker-9")


SESSIONS: dict[str, Callable[[World], Awaitable[None]]] = {
    "stream-goes-silent-and-is-resumed": _stream_cut,
    "once-only-outcome-unknown": _once_only_unknown,
    "once-only-replayed-elsewhere": _once_only_replayed,
    "key-withdrawn": _key_withdrawn,
    "over-the-allowance": _over_the_allowance,
    "crossed-answer": _crossed_answer,
}


async def _session(script: Callable[[World], Awaitable[None]]) -> str:
    world = World(("a", "b", "c"))
    await world.start()
    began = len(world.transcript)
    calls = len(world.calls)
    await script(world)
    await asyncio.sleep(10)
    lines = [line for line in world.transcript[began:] if not _NOISE.search(line)]
    lines.append("answers:")
    lines += [_answer(call) for call in world.calls[calls:]]
    lines.append("audit:")
    for name, node in world.nodes.items():
        lines += [
            f"{name} {attrs.asdict(entry) | {'at': '', 'kind': entry.kind.value}}"
            for entry in node.node.audit.lines
        ]
    await world.close()
    return "\n".join(_RANDOM.sub("<random>", line) for line in lines) + "\n"


def _answer(call: CallRecord) -> str:
    code = f"{call.code.code} {call.code.name}" if call.code else "none"
    refusal = ""
    if call.refusal is not None:
        refusal = f"{call.refusal.detail} after {call.refusal.advised_retry_after_s}"
    return f"{call.id} at {call.node}: {code} {call.head} {call.body!r} {refusal}"


@pytest.mark.parametrize("name", sorted(SESSIONS))
def test_session_is_as_recorded(name: str, snapshot: SnapshotAssertion) -> None:
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        text = loop.run_until_complete(_session(SESSIONS[name]))
    finally:
        loop.close()
        asyncio.set_event_loop(None)
    assert text == snapshot
