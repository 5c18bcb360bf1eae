"""A loopback proxy that delays, resets, silences or cuts connections one way."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
from typing import final

_CHUNK = 1 << 16
_DELAY_S = 0.2


class Mode(enum.Enum):
    """What the proxy does to bytes that come."""

    PASS = "pass"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one way"
    """Requests pass, answers don't."""


@final
class Proxy:
    """Relays connections to one port."""

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
        """Reset all open connections."""
        for writer in list(self._writers):
            raw = writer.get_extra_info("socket")
            if raw is not None:
                linger = struct.pack("ii", 1, 0)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()
        self._writers.clear()

    def close(self) -> None:
        """Stop listening."""
        self.reset_all()
        if self._server is not None:
            self._server.close()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target
            )
        except OSError:
            writer.close()
            return
        self._writers |= {writer, far_writer}
        # The soak ends while connections are open.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pump(reader, far_writer, is_answer=False),
                self._pump(far_reader, writer, is_answer=True),
            )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(_DELAY_S)
                if self.mode is Mode.SILENCE:
                    continue
                if self.mode is Mode.ONE_WAY and is_answer:
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, RuntimeError):
            # Either end is gone; the other is closed below.
            return
        finally:
            self._writers.discard(writer)
            writer.close()
