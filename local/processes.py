"""Child processes of a script, which are ended when the script leaves a context."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path
from types import TracebackType

from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

_TERMINATE_TIMEOUT_S = 10.0
_READY_POLL_S = 0.05


class NotReadyError(Exception):
    """A process did not become ready in time."""


class Processes:
    """Child processes by name; all are stopped when the context is left."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._running: dict[str, asyncio.subprocess.Process] = {}

    async def __aenter__(self) -> Processes:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await asyncio.gather(*(self.stop(name) for name in list(self._running)))

    async def start(self, name: str, *arguments: str) -> None:
        """Start ``python ARGUMENTS`` and append its output to ``<name>.log``."""
        with (self._directory / f"{name}.log").open("ab") as log:
            self._running[name] = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, stdout=log, stderr=log
            )

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._running[name].pid

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        with contextlib.suppress(ProcessLookupError):
            self._running[name].send_signal(signal_number)

    async def wait(self, name: str, timeout_s: float) -> int:
        """Wait until a process has ended and return its exit code."""
        async with asyncio.timeout(timeout_s):
            code = await self._running[name].wait()
        del self._running[name]
        return code

    async def stop(self, name: str) -> None:
        """Terminate a process, and kill it if it does not end in time."""
        process = self._running.pop(name, None)
        if process is None or process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            # A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
            process.send_signal(signal.SIGCONT)
            process.terminate()
        try:
            async with asyncio.timeout(_TERMINATE_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()


async def wait_for_url(url: str, timeout_s: float) -> None:
    """Wait until `url` responds with status 200.

    Raises
    ------
    NotReadyError
        If it does not within `timeout_s` seconds.
    """
    client = SimpleAsyncHTTPClient(force_instance=True)
    try:
        async with asyncio.timeout(timeout_s):
            while not await _answers_ok(client, url):
                await asyncio.sleep(_READY_POLL_S)
    except TimeoutError as error:
        raise NotReadyError(f"{url} is not ready after {timeout_s} s") from error
    finally:
        client.close()


async def _answers_ok(client: SimpleAsyncHTTPClient, url: str) -> bool:
    try:
        await client.fetch(HTTPRequest(url, request_timeout=1.0))
    except (HTTPClientError, OSError):
        return False
    return True


def is_alive(pid: int) -> bool:
    """Return whether a process exists; a zombie counts as existing."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True
