"""Processes that a script starts beside the product, and surely ends again."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from pathlib import Path
from types import TracebackType

from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

_TERM_WAIT_S = 10.0
_READY_POLL_S = 0.05
_FIRST_PORT = 12000
_LAST_PORT = 32000
_PORT_STRIDE = 101


class NotReadyError(Exception):
    """A process did not become ready in time."""


class Processes:
    """Processes by name; all are ended when the context is left."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._running: dict[str, asyncio.subprocess.Process] = {}

    async def __aenter__(self) -> Processes:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await asyncio.gather(*(self.stop(name) for name in list(self._running)))

    async def start(self, name: str, *arguments: str) -> None:
        """Start ``python ARGUMENTS``; its output goes to ``<name>.log``."""
        with (self._directory / f"{name}.log").open("ab") as log:
            self._running[name] = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, stdout=log, stderr=log
            )

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._running[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        with contextlib.suppress(ProcessLookupError):
            self._running[name].send_signal(number)

    async def wait(self, name: str, timeout_s: float) -> int:
        """Wait until a process has ended and return its exit code."""
        async with asyncio.timeout(timeout_s):
            code = await self._running[name].wait()
        del self._running[name]
        return code

    async def stop(self, name: str) -> None:
        """End a process, at last by force."""
        process = self._running.pop(name, None)
        if process is None or process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            # A frozen process takes no other signal before it goes on.
            process.send_signal(signal.SIGCONT)
            process.terminate()
        try:
            async with asyncio.timeout(_TERM_WAIT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()


def free_ports(count: int) -> list[int]:
    """Return ports that are free now on the loopback address.

    They lie below the range from which the system takes ports for outgoing
    connections, which could otherwise take one before its server starts.
    """
    found: list[int] = []
    span = _LAST_PORT - _FIRST_PORT
    # Fleets that start at the same time begin their search in different places.
    offset = os.getpid() * _PORT_STRIDE % span
    for step in range(span):
        port = _FIRST_PORT + (offset + step) % span
        if _is_free(port):
            found.append(port)
        if len(found) == count:
            return found
    raise NotReadyError(f"no {count} free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


async def until_ready(url: str, timeout_s: float) -> None:
    """Wait until `url` answers 200.

    Raises
    ------
    NotReadyError
        If it does not in `timeout_s` seconds.
    """
    client = SimpleAsyncHTTPClient(force_instance=True)
    try:
        async with asyncio.timeout(timeout_s):
            while not await _answers(client, url):
                await asyncio.sleep(_READY_POLL_S)
    except TimeoutError as error:
        raise NotReadyError(f"{url} is not ready after {timeout_s} s") from error
    finally:
        client.close()


async def _answers(client: SimpleAsyncHTTPClient, url: str) -> bool:
    try:
        await client.fetch(HTTPRequest(url, request_timeout=1.0))
    except (HTTPClientError, OSError):
        return False
    return True


def is_alive(pid: int) -> bool:
    """Return whether a process has an entry still."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True
