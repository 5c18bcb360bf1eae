"""Kills, freezes and outages of real processes under load, seen from outside."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from chiveslip.generated import result_codes
from local.calls import Answer
from local.calls import Caller
from local.fleet import SERVICES
from local.fleet import Fleet
from local.processes import Processes

pytestmark = [
    pytest.mark.asyncio(loop_scope="function"),
    pytest.mark.xdist_group("processes"),
]

GUARD_S = 60.0
_CALLERS = 4


class Load:
    """Callers that call until they are told to stop, and keep all answers.

    A caller sends no more to an instance that the balancer would have taken out.
    """

    def __init__(self, fleet: Fleet, caller: Caller) -> None:
        self._fleet = fleet
        self._caller = caller
        self._out: set[str] = set()
        self._stop = False
        self._tasks: list[asyncio.Task[None]] = []
        self.answers: list[tuple[str, str, Answer]] = []
        self.once_keys: list[str] = []

    def start(self) -> None:
        """Start the callers."""
        for number in range(_CALLERS):
            self._tasks.append(asyncio.create_task(self._run(number)))

    def take_out(self, instance: str) -> None:
        """Send nothing new to an instance."""
        self._out.add(instance)

    async def answered(self, count: int) -> None:
        """Wait until so many more calls are answered."""
        wanted = len(self.answers) + count
        async with asyncio.timeout(GUARD_S):
            while len(self.answers) < wanted:
                await asyncio.sleep(0.01)

    async def finish(self) -> None:
        """Stop, and wait for the last answers."""
        self._stop = True
        await asyncio.gather(*self._tasks)

    def of_others(self, instance: str) -> list[Answer]:
        """Return the answers of all other instances."""
        return [answer for name, _, answer in self.answers if name != instance]

    def of(self, instance: str) -> list[Answer]:
        """Return the answers of an instance."""
        return [answer for name, _, answer in self.answers if name == instance]

    async def _run(self, number: int) -> None:
        turn = number
        while not self._stop:
            names = [n for n in self._fleet.instances if n not in self._out]
            instance = names[turn % len(names)]
            kind, answer = await self._send(instance, number, turn)
            self.answers.append((instance, kind, answer))
            turn += 1

    async def _send(self, instance: str, number: int, turn: int) -> tuple[str, Answer]:
        key = self._fleet.keys["north"]
        if turn % 3 == 0:
            return "poll", await self._caller.send(instance, "GET", "/bays", key=key)
        if turn % 3 == 1:
            once_key = f"locker-{number}-{turn}"
            self.once_keys.append(once_key)
            headers = {"Idempotency-Key": once_key, "X-Deadline-Seconds": "5"}
            answer = await self._caller.send(
                instance, "POST", "/unlock", key=key, headers=headers, body=b"{}"
            )
            return "once", answer
        answer = await self._caller.complete(
            instance, key, "north-logs@1", stream=turn % 2 == 0
        )
        return "completion", answer


@pytest_asyncio.fixture(loop_scope="function")
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    async with Processes(tmp_path) as processes:
        fleet = Fleet(directory=tmp_path, processes=processes)
        await fleet.start()
        yield fleet


@pytest_asyncio.fixture(loop_scope="function")
async def load(fleet: Fleet) -> AsyncIterator[Load]:
    caller = Caller(fleet)
    load = Load(fleet, caller)
    load.start()
    await load.answered(20)
    yield load
    await load.finish()
    # Whatever happened: nothing ran twice, and no key went past an instance.
    received = b"".join(
        record.read_bytes() for record in fleet.records if record.stem in SERVICES
    )
    assert b"Idempotency-Key: locker-" in received
    for once_key in load.once_keys:
        assert received.count(f"Idempotency-Key: {once_key}\r\n".encode()) <= 1
    for record in fleet.records:
        assert fleet.keys["north"].encode() not in record.read_bytes()
    caller.close()


def _honest(answers: list[Answer]) -> list[Answer]:
    """Return the answers that are neither whole nor an honest refusal."""
    faults = (0, result_codes.INTERNAL_ERROR.code)
    return [answer for answer in answers if answer.code in faults]


async def test_killed_instance_costs_its_own_callers_only(
    fleet: Fleet, load: Load
) -> None:
    fleet.processes.signal("entry-1", signal.SIGKILL)
    load.take_out("entry-1")
    fleet.write_lists(without=("entry-1",))
    await load.answered(60)
    await load.finish()
    others = load.of_others("entry-1")
    assert _honest(others) == []
    assert others[-1].code == result_codes.OK.code


async def test_planned_stop_cuts_no_call(fleet: Fleet, load: Load) -> None:
    fleet.write_lists(leaving=("entry-1",))
    fleet.processes.signal("entry-1", signal.SIGTERM)
    # The balancer goes on for a moment before it has heard.
    await load.answered(5)
    load.take_out("entry-1")
    assert await fleet.processes.wait("entry-1", GUARD_S) == 0
    await load.finish()
    assert _honest([answer for _, _, answer in load.answers]) == []


async def test_frozen_instance_costs_its_own_callers_only(
    fleet: Fleet, load: Load
) -> None:
    fleet.processes.signal("entry-2", signal.SIGSTOP)
    load.take_out("entry-2")
    await load.answered(40)
    fleet.processes.signal("entry-2", signal.SIGCONT)
    await load.answered(40)
    await load.finish()
    assert _honest(load.of_others("entry-2")) == []


async def test_platform_outage_stops_no_call(fleet: Fleet, load: Load) -> None:
    caller = Caller(fleet)
    await caller.set_fault("platform", "down", 1)
    before = len(load.answers)
    await load.answered(60)
    await caller.set_fault("platform", "down", 0)
    await load.finish()
    caller.close()
    codes = {answer.code for _, _, answer in load.answers[before:]}
    assert codes == {result_codes.OK.code}


async def test_crashed_service_doubles_nothing(fleet: Fleet, load: Load) -> None:
    caller = Caller(fleet)
    await caller.set_fault("kiosk-1", "crash_after_run", 1)
    await load.answered(60)
    await load.finish()
    caller.close()
    assert _honest([answer for _, _, answer in load.answers]) == []
