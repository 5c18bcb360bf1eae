"""A TCP proxy on loopback that delays, drops or resets the bytes of connections.

It can also refuse new connections, or let them hang in the queue of its port.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import time
from collections.abc import Callable
from collections.abc import Collection
from typing import final

from local.ports import reserve_port
from standins.common import reset_on_close

_CHUNK_BYTES = 1 << 16
_DELAY_S = 0.2
# Connections that fill the queue of a port on which nobody accepts any.
_QUEUE_FILLERS = 3


class Mode(enum.Enum):
    """What the proxy does with the bytes it receives."""

    PASS = "pass"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one way"
    """Requests pass, responses are dropped."""


@final
class Proxy:
    """Relays connections to one target port on loopback.

    Parameters
    ----------
    on_connected
        Called with the local port of each connection to the target.
    reserved_ports
        Ports that it does not listen on.

    Attributes
    ----------
    harms
        Monotonic times in seconds at which connections were harmed, or the harm ended.
    """

    def __init__(
        self,
        target: int,
        on_connected: Callable[[int], None] = lambda _port: None,
        reserved_ports: Collection[int] = (),
    ) -> None:
        self._reserved_ports = reserved_ports
        self.port = 0
        self.harms: list[float] = []
        self._mode = Mode.PASS
        self._target = target
        self._on_connected = on_connected
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._queue_fillers: list[socket.socket] = []

    @property
    def mode(self) -> Mode:
        """What happens to the bytes of connections."""
        return self._mode

    @mode.setter
    def mode(self, mode: Mode) -> None:
        self._mode = mode
        self.harms.append(time.monotonic())

    async def start(self) -> None:
        """Listen, on the port that it had before or on a free one."""
        for filler in self._queue_fillers:
            filler.close()
        self._queue_fillers.clear()
        if self._server is not None:
            return
        self.port = self.port or reserve_port(self._reserved_ports)
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", self.port)

    def refuse_new(self) -> None:
        """Refuse new connections until `start`; open ones live on."""
        self.harms.append(time.monotonic())
        if self._server is not None:
            self._server.close()
            self._server = None

    def let_new_hang(self) -> None:
        """Let new connections wait without an answer until `start`."""
        self.refuse_new()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        self._queue_fillers = [listener]
        for _ in range(_QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._queue_fillers.append(filler)

    def reset_all(self) -> None:
        """Close all open connections with a TCP reset."""
        self.harms.append(time.monotonic())
        for writer in list(self._writers):
            _reset(writer)
        self._writers.clear()

    def close(self) -> None:
        """Reset all connections and stop listening."""
        self.reset_all()
        self.refuse_new()
        for filler in self._queue_fillers:
            filler.close()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target
            )
        except OSError:
            writer.close()
            return
        self._writers |= {writer, target_writer}
        self._on_connected(target_writer.get_extra_info("sockname")[1])
        # The event loop cancels this task when the soak ends with open connections.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pump(reader, target_writer, is_response=False),
                self._pump(target_reader, writer, is_response=True),
            )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(_DELAY_S)
                if self.mode is Mode.SILENCE:
                    continue
                if self.mode is Mode.ONE_WAY and is_response:
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            # A reset must not look like the end of a response without length.
            _reset(writer)
        except RuntimeError:
            # One end has disconnected; the finally block closes the other.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None and raw_socket.fileno() >= 0:
        reset_on_close(raw_socket)
    writer.close()
