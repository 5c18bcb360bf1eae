"""A crowd of misbehaving callers, which runs as a process of its own.

``python -m testing.platform.crowd NAME PORT`` opens connections and keeps them open
until its standard input ends. A connection that the gateway closes is opened again. It
prints ``sent`` when every caller has sent all it is going to send, or has been sending
for `SEND_S`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import socket
import sys
from collections.abc import Callable
from collections.abc import Iterator

import attrs

# The largest body that a gateway accepts by default.
BODY_BYTES = 1 << 20
SEND_S = 4.0
LARGE_PATH = "/once/large"
# Higher than what the kernel buffers of a connection take.
LARGE_ANSWER_BYTES = 6 << 20
_CALLERS = 120
_READ_PAUSE_S = 0.2
_READ_BYTES = 1 << 10
_RECEIVE_BUFFER_BYTES = 4 << 10

_CHUNKED = (
    b"POST /once/x HTTP/1.1\r\nHost: kiosk.example\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
_LINE = b"X-Line: " + b"x" * 100 + b"\r\n"


def _announced(size: int) -> bytes:
    head = f"POST /once/x HTTP/1.1\r\nHost: kiosk.example\r\nContent-Length: {size}"
    return f"{head}\r\n\r\n".encode()


def _chunk(size: int) -> bytes:
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


def _large_chunks() -> Iterator[bytes]:
    yield _CHUNKED
    for _ in range(BODY_BYTES // (64 << 10) - 1):
        yield _chunk(64 << 10)
    yield _chunk(64 << 10)[:-3]


def _one_chunk() -> Iterator[bytes]:
    yield _CHUNKED
    yield _chunk(BODY_BYTES)[:-3]


def _announced_length() -> Iterator[bytes]:
    yield _announced(BODY_BYTES)
    yield b"x" * (BODY_BYTES - 1)


def _chunks_over_limit() -> Iterator[bytes]:
    yield _CHUNKED
    for _ in range(8 * BODY_BYTES // (16 << 10)):
        yield _chunk(16 << 10)


def _one_chunk_over_limit() -> Iterator[bytes]:
    yield _CHUNKED
    yield b"%x\r\n" % (1 << 40)
    yield from itertools.repeat(b"x" * (64 << 10), 8 * BODY_BYTES // (64 << 10))


def _length_over_limit() -> Iterator[bytes]:
    yield _announced(64 * BODY_BYTES)
    yield from itertools.repeat(b"x" * (64 << 10), 8 * BODY_BYTES // (64 << 10))


def _two_byte_chunks() -> Iterator[bytes]:
    yield _CHUNKED
    yield from itertools.repeat(_chunk(2) * 4096)


def _endless_head() -> Iterator[bytes]:
    yield b"GET /once/x HTTP/1.1\r\nHost: kiosk.example\r\n"
    yield from itertools.repeat(_LINE * 50)


def _unfinished_head() -> Iterator[bytes]:
    yield b"GET /once/x HTTP/1.1\r\nHost: kiosk.example\r\n"
    yield _LINE * 500


def _pipelined_requests() -> Iterator[bytes]:
    yield _announced(2 * BODY_BYTES)
    yield b"x" * (2 * BODY_BYTES)
    request = b"GET /once/x HTTP/1.1\r\nHost: kiosk.example\r\n\r\n"
    yield from itertools.repeat(request * 50, 10)


def _large_answers() -> Iterator[bytes]:
    yield (
        f"GET {LARGE_PATH} HTTP/1.1\r\nHost: kiosk.example\r\nX-Request-Id: crowd\r\n"
        "Authorization: Bearer key-of-the-trust\r\nX-Deadline-Remaining: 10000\r\n\r\n"
    ).encode()


def _nothing() -> Iterator[bytes]:
    yield b""


@attrs.frozen
class Crowd:
    """What each caller of a crowd sends.

    Attributes
    ----------
    build_parts
        Returns what one connection sends, in order.
    callers
        Number of connections.
    read_bytes
        Bytes that are read of the answer before each pause; 0 for none.
    stagger_s
        Time in seconds between the first connections of two callers.
    reconnect_s
        Time in seconds before a closed connection is opened again.
    """

    build_parts: Callable[[], Iterator[bytes]]
    callers: int = _CALLERS
    read_bytes: float = math.inf
    stagger_s: float = 0.0
    reconnect_s: float = 0.1


CROWDS = {
    "large-chunks": Crowd(_large_chunks),
    "one-chunk": Crowd(_one_chunk),
    "announced-length": Crowd(_announced_length),
    "chunks-over-limit": Crowd(_chunks_over_limit),
    "one-chunk-over-limit": Crowd(_one_chunk_over_limit),
    "length-over-limit": Crowd(_length_over_limit),
    "two-byte-chunks": Crowd(_two_byte_chunks, callers=1000, reconnect_s=1.0),
    "endless-head": Crowd(_endless_head),
    "unfinished-head": Crowd(_unfinished_head),
    "pipelined-requests": Crowd(_pipelined_requests),
    "answers-read-slowly": Crowd(
        _large_answers, callers=40, read_bytes=_READ_BYTES, stagger_s=0.05
    ),
    "answers-not-read": Crowd(_large_answers, callers=40, read_bytes=0, stagger_s=0.05),
    "silent-connections": Crowd(_nothing, callers=1800, reconnect_s=1.0),
}


async def _read(reader: asyncio.StreamReader, crowd: Crowd) -> None:
    """Read until the connection ends, at the speed of the crowd."""
    if not crowd.read_bytes:
        await asyncio.Event().wait()
    size = _READ_BYTES if crowd.read_bytes < math.inf else 64 << 10
    while await reader.read(size):
        if crowd.read_bytes < math.inf:
            await asyncio.sleep(_READ_PAUSE_S)


async def _send(writer: asyncio.StreamWriter, crowd: Crowd) -> None:
    for part in crowd.build_parts():
        writer.write(part)
        await writer.drain()
        # The connections send by turns, so that all bodies grow together.
        await asyncio.sleep(0)


async def _call(port: int, crowd: Crowd, sent: asyncio.Event) -> None:
    """Hold one connection, opened again whenever the gateway closes it."""
    while True:
        connection = socket.socket()
        if crowd.read_bytes < math.inf:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
        connection.setblocking(False)
        with contextlib.suppress(OSError):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(connection, ("127.0.0.1", port))
            # A small limit, so that an unread answer stays with the gateway.
            reader, writer = await asyncio.open_connection(
                sock=connection, limit=_READ_BYTES
            )
            reading = asyncio.create_task(_read(reader, crowd))
            try:
                await _send(writer, crowd)
                sent.set()
                await reading
            finally:
                reading.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await reading
                writer.close()
        connection.close()
        sent.set()
        await asyncio.sleep(crowd.reconnect_s)


async def main(name: str, port: int) -> None:
    """Hold the connections of a crowd until the standard input ends."""
    crowd = CROWDS[name]
    events = [asyncio.Event() for _ in range(crowd.callers)]
    tasks = []
    for event in events:
        tasks.append(asyncio.create_task(_call(port, crowd, event)))
        await asyncio.sleep(crowd.stagger_s)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SEND_S):
            for event in events:
                await event.wait()
    print("sent", flush=True)
    await asyncio.to_thread(sys.stdin.read)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
