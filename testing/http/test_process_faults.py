"""Tests of kills, freezes and outages of real processes under load."""

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

TIMEOUT_S = 60.0
_CALLER_COUNT = 4


class Load:
    """Callers that send calls until `finish`, and record all answers.

    No new calls go to an instance that the load balancer would have removed.
    """

    def __init__(self, fleet: Fleet, caller: Caller) -> None:
        self._fleet = fleet
        self._caller = caller
        self._removed: set[str] = set()
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self.answers: list[tuple[str, str, Answer]] = []
        self.idempotency_keys: list[str] = []

    def start(self) -> None:
        """Start the callers."""
        for number in range(_CALLER_COUNT):
            self._tasks.append(asyncio.create_task(self._run(number)))

    def remove(self, instance: str) -> None:
        """Send nothing new to an instance."""
        self._removed.add(instance)

    async def wait_for_answers(self, count: int) -> None:
        """Wait until `count` more calls are answered."""
        target = len(self.answers) + count
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.answers) < target:
                await asyncio.sleep(0.01)

    async def finish(self) -> None:
        """Stop, and wait for the last answers."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks)

    def answers_of_others(self, instance: str) -> list[Answer]:
        """Return the answers of all other instances."""
        return [answer for name, _, answer in self.answers if name != instance]

    def answers_of(self, instance: str) -> list[Answer]:
        """Return the answers of an instance."""
        return [answer for name, _, answer in self.answers if name == instance]

    async def _run(self, number: int) -> None:
        turn = number
        while not self._is_stopping:
            names = [n for n in self._fleet.instances if n not in self._removed]
            instance = names[turn % len(names)]
            kind, answer = await self._send(instance, number, turn)
            self.answers.append((instance, kind, answer))
            turn += 1

    async def _send(self, instance: str, number: int, turn: int) -> tuple[str, Answer]:
        key = self._fleet.keys["north"]
        if turn % 3 == 0:
            return "poll", await self._caller.send(instance, "GET", "/bays", key=key)
        if turn % 3 == 1:
            idempotency_key = f"locker-{number}-{turn}"
            self.idempotency_keys.append(idempotency_key)
            headers = {"Idempotency-Key": idempotency_key, "X-Deadline-Seconds": "5"}
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
        # Shows the cause, which a caller is not told.
        assert _logged_internal_errors(tmp_path) == []


@pytest_asyncio.fixture(loop_scope="function")
async def load(fleet: Fleet) -> AsyncIterator[Load]:
    caller = Caller(fleet)
    load = Load(fleet, caller)
    load.start()
    await load.wait_for_answers(20)
    yield load
    await load.finish()
    # In every test: no call ran twice, and no API key was sent past an instance.
    received = b"".join(
        record.read_bytes() for record in fleet.records if record.stem in SERVICES
    )
    assert b"Idempotency-Key: locker-" in received
    for idempotency_key in load.idempotency_keys:
        assert received.count(f"Idempotency-Key: {idempotency_key}\r\n".encode()) <= 1
    for record in fleet.records:
        assert fleet.keys["north"].encode() not in record.read_bytes()
    caller.close()


def _logged_internal_errors(directory: Path) -> list[str]:
    """Return the log lines of failed calls and background tasks of all instances."""
    return [
        line
        for log in sorted(directory.glob("entry-*.log"))
        for line in log.read_text(errors="replace").splitlines()
        if "failed with an internal error" in line or "background task failed" in line
    ]


def _failures(answers: list[Answer]) -> list[Answer]:
    """Return the answers that are neither complete nor a refusal with a reason."""
    failure_codes = (0, result_codes.INTERNAL_ERROR.code)
    return [answer for answer in answers if answer.code in failure_codes]


async def test_killed_instance_affects_only_its_own_calls(
    fleet: Fleet, load: Load
) -> None:
    fleet.processes.signal("entry-1", signal.SIGKILL)
    load.remove("entry-1")
    fleet.write_lists(without=("entry-1",))
    await load.wait_for_answers(60)
    await load.finish()
    others = load.answers_of_others("entry-1")
    assert _failures(others) == []
    assert others[-1].code == result_codes.OK.code


async def test_planned_stop_interrupts_no_call(fleet: Fleet, load: Load) -> None:
    fleet.write_lists(leaving=("entry-1",))
    fleet.processes.signal("entry-1", signal.SIGTERM)
    # The load balancer keeps sending calls until it learns of the stop.
    await load.wait_for_answers(5)
    load.remove("entry-1")
    assert await fleet.processes.wait("entry-1", TIMEOUT_S) == 0
    await load.finish()
    assert _failures([answer for _, _, answer in load.answers]) == []


async def test_frozen_instance_affects_only_its_own_calls(
    fleet: Fleet, load: Load
) -> None:
    fleet.processes.signal("entry-2", signal.SIGSTOP)
    load.remove("entry-2")
    await load.wait_for_answers(40)
    fleet.processes.signal("entry-2", signal.SIGCONT)
    await load.wait_for_answers(40)
    await load.finish()
    assert _failures(load.answers_of_others("entry-2")) == []


async def test_platform_outage_fails_no_call(fleet: Fleet, load: Load) -> None:
    caller = Caller(fleet)
    await caller.set_fault("platform", "down", 1)
    before = len(load.answers)
    await load.wait_for_answers(60)
    await caller.set_fault("platform", "down", 0)
    await load.finish()
    caller.close()
    codes = {answer.code for _, _, answer in load.answers[before:]}
    assert codes == {result_codes.OK.code}


async def test_crashed_service_runs_no_call_twice(fleet: Fleet, load: Load) -> None:
    caller = Caller(fleet)
    await caller.set_fault("kiosk-1", "crash_after_run", 1)
    await load.wait_for_answers(60)
    await load.finish()
    caller.close()
    assert _failures([answer for _, _, answer in load.answers]) == []
