"""An endpoint that sends scripted bytes, whole, cut, reset or without end."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Literal

import attrs

from chiveslip.settings.fields import Address
from standins.common import reset_on_close

CLOSE = None
RESET: Literal["reset"] = "reset"


@attrs.frozen(kw_only=True)
class Endless:
    """Bytes that are sent again and again, until the other side closes.

    Attributes
    ----------
    interval_s
        Pause in seconds after each part.
    """

    part: bytes
    interval_s: float = 0.0


# Bytes, a pause in seconds, or an end of the connection.
Step = bytes | float | Endless | Literal["reset"] | None


@attrs.define
class RawEndpoint:
    """A server that plays one script after each request.

    Attributes
    ----------
    scripts
        Scripts of the requests in order; the last one is played again for others.
    sent_bytes
        Bytes sent so far, on all connections.
    open_connections
        Connections that the other side has not closed yet.
    requests_of_connections
        Number of requests on each connection, in the order of opening.
    """

    scripts: list[list[Step]]
    connections: int = 0
    requests: int = 0
    sent_bytes: int = 0
    open_connections: int = 0
    requests_of_connections: list[int] = attrs.field(factory=list)
    address: Address = attrs.field(factory=lambda: Address("127.0.0.1", 0))

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        number = self.connections
        self.connections += 1
        self.requests_of_connections.append(0)
        self.open_connections += 1
        try:
            while True:
                await _read_request(reader)
                script = self.scripts[min(self.requests, len(self.scripts) - 1)]
                self.requests += 1
                self.requests_of_connections[number] += 1
                for step in script:
                    if step is CLOSE or step == RESET:
                        _close(writer, reset=step == RESET)
                        return
                    assert not isinstance(step, str)
                    await self._send(writer, step)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self.open_connections -= 1

    async def _send(
        self, writer: asyncio.StreamWriter, step: bytes | float | Endless
    ) -> None:
        if isinstance(step, float):
            await asyncio.sleep(step)
            return
        if isinstance(step, bytes):
            writer.write(step)
            self.sent_bytes += len(step)
            await writer.drain()
            return
        while True:
            await self._send(writer, step.part)
            await asyncio.sleep(step.interval_s)


async def _read_request(reader: asyncio.StreamReader) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            await reader.readexactly(int(value))


def _close(writer: asyncio.StreamWriter, *, reset: bool) -> None:
    if reset:
        reset_on_close(writer.get_extra_info("socket"))
    writer.close()


StartEndpoint = Callable[..., Awaitable[RawEndpoint]]


@contextlib.asynccontextmanager
async def raw_endpoints() -> AsyncIterator[StartEndpoint]:
    """Yield a function that starts an endpoint from the scripts of its requests."""
    servers = []

    async def start(*scripts: list[Step]) -> RawEndpoint:
        endpoint = RawEndpoint(list(scripts))
        server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        endpoint.address = Address("127.0.0.1", port)
        return endpoint

    try:
        yield start
    finally:
        for server in servers:
            server.close()
