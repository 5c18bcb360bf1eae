"""A TCP proxy on loopback that delays, drops or resets the bytes of connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from typing import final

from standins.common import reset_on_close

_CHUNK_BYTES = 1 << 16
_DELAY_S = 0.2


class Mode(enum.Enum):
    """What the proxy does with the bytes it receives."""

    PASS = "pass"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one way"
    """Requests pass, responses are dropped."""


@final
class Proxy:
    """Relays connections to one target port on loopback."""

    def __init__(self, target: int) -> None:
        self.mode = Mode.PASS
        self.port = 0
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_all(self) -> None:
        """Close all open connections with a TCP reset."""
        for writer in list(self._writers):
            _reset(writer)
        self._writers.clear()

    def close(self) -> None:
        """Reset all connections and stop listening."""
        self.reset_all()
        if self._server is not None:
            self._server.close()

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
