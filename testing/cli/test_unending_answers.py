"""Commands end although an instance's answer does not."""

from __future__ import annotations

import asyncio
import contextlib
import threading
import time
from collections.abc import Iterator

import cappa
import pytest

from chiveslip.cli.main import Chiveslip
from testing.raw_endpoint import Endless
from testing.raw_endpoint import Step
from testing.raw_endpoint import raw_endpoints

pytestmark = pytest.mark.xdist_group("sockets")

# The commands' timeout, and the start of the command.
MAX_COMMAND_S = 3.0 + 2.0
HEAD = b"HTTP/1.1 200 OK\r\n"


@contextlib.contextmanager
def served(script: list[Step]) -> Iterator[str]:
    """Serve a script in another thread; yield the address."""
    addresses: list[str] = []
    started = threading.Event()
    stopped = asyncio.Event()
    loop = asyncio.new_event_loop()

    async def serve() -> None:
        async with raw_endpoints() as start:
            addresses.append(str((await start(script)).address))
            started.set()
            await stopped.wait()

    thread = threading.Thread(target=lambda: loop.run_until_complete(serve()))
    thread.start()
    started.wait()
    try:
        yield addresses[0]
    finally:
        loop.call_soon_threadsafe(stopped.set)
        thread.join()
        loop.close()


@pytest.mark.parametrize("command", ["gateway-status", "status"])
@pytest.mark.parametrize(
    "script",
    [
        pytest.param([HEAD, Endless(part=b"A: b\r\n", interval_s=0.5)], id="slow-head"),
        pytest.param(
            [HEAD + b"\r\n", Endless(part=b"# x\n", interval_s=0.5)], id="slow-body"
        ),
        pytest.param([HEAD + b"\r\n", Endless(part=b"# x\n" * 16384)], id="body"),
    ],
)
def test_command_gives_up_an_endless_answer(command: str, script: list[Step]) -> None:
    with served(script) as address:
        began = time.monotonic()
        with pytest.raises(SystemExit) as ended:
            cappa.invoke(Chiveslip, argv=[command, address])
        assert ended.value.code != 0
        assert time.monotonic() - began < MAX_COMMAND_S
