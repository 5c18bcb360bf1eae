"""What a caller is told whose request goes beyond a limit, over loopback."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from tornado.httputil import HTTPHeaders

from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.gateway.caller_budget import CallerLimits
from chiveslip.gateway.ingress import Ingress
from chiveslip.gateway.ingress import IngressReply
from chiveslip.gateway.ingress import IngressRequest
from local.ports import reserve_port

MAX_ANSWER_S = 10.0
BODY_BYTES = 32 << 10
HEAD_BYTES = 4 << 10
LIMITS = CallerLimits(
    body_bytes=BODY_BYTES,
    head_bytes=HEAD_BYTES,
    connections=4,
    idle_s=0.5,
    head_s=0.5,
    stall_s=0.5,
)
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
KIB_CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

pytestmark = pytest.mark.xdist_group("sockets")


class Server:
    """An ingress that answers with the length of each body."""

    def __init__(self, max_held_bytes: int) -> None:
        self.port = reserve_port()
        self.held = HeldBytes(max_held_bytes)
        self.requests: list[IngressRequest] = []
        self.release = asyncio.Event()
        self.release.set()
        self.ingress = Ingress(self._handle, LIMITS, self.held)

    async def _handle(self, request: IngressRequest, reply: IngressReply) -> None:
        self.requests.append(request)
        await self.release.wait()
        await reply.respond(200, HTTPHeaders(), str(len(request.body)).encode())


@contextlib.asynccontextmanager
async def serving(max_held_bytes: int = 1 << 20) -> AsyncIterator[Server]:
    server = Server(max_held_bytes)
    server.ingress.listen("127.0.0.1", server.port)
    try:
        yield server
    finally:
        server.release.set()
        await server.ingress.close()


async def exchange(port: int, sent: bytes) -> bytes:
    """Send bytes on a connection; return what comes until the server ends it."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    received = b""
    try:
        writer.write(sent)
        async with asyncio.timeout(MAX_ANSWER_S):
            with contextlib.suppress(ConnectionError):
                while part := await reader.read(1 << 16):
                    received += part
    finally:
        writer.close()
    return received


def build_request(body: bytes, *, close: bool = True) -> bytes:
    connection = b"Connection: close\r\n" if close else b""
    return HEAD + connection + b"Content-Length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        pytest.param(HEAD + b"Content-Length: 32769\r\n\r\n", 413, id="announced"),
        pytest.param(CHUNKED + b"8001\r\n" + b"x" * 32769, 413, id="one-chunk"),
        pytest.param(CHUNKED + KIB_CHUNK * 33, 413, id="chunks"),
        pytest.param(HEAD + b"X-A: b\r\n" * 600, 431, id="endless-head"),
        pytest.param(HEAD + b"X-A: " + b"b" * 5000 + b"\r\n\r\n", 431, id="large-head"),
        pytest.param(HEAD, 408, id="head-stops"),
        pytest.param(build_request(b"x" * 99)[:-1], 408, id="body-stops"),
        pytest.param(CHUNKED + b"4\r\nxxx", 408, id="chunk-stops"),
        pytest.param(CHUNKED + b"x" * 65, 0, id="endless-chunk-head"),
        pytest.param(b"", 0, id="silent"),
    ],
)
async def test_request_beyond_a_limit_is_refused_and_not_passed_on(
    sent: bytes, status: int
) -> None:
    """Guards against a refused request that is served all the same."""
    async with serving() as server:
        received = await exchange(server.port, sent)
        if status:
            assert received.startswith(b"HTTP/1.1 %d " % status)
            assert received.endswith(b"\r\n\r\n")
        else:
            assert received == b""
        assert server.requests == []
        # What the connection held is free, and an ordinary request is served.
        assert server.held.total == 0
        assert b"200 OK" in await exchange(server.port, build_request(b"x"))


async def test_pipelined_requests_behind_a_refused_one_are_not_passed_on() -> None:
    """Guards against requests that are served after their connection was refused."""
    too_large = build_request(b"x" * (BODY_BYTES + 1), close=False)
    async with serving() as server:
        received = await exchange(server.port, too_large + build_request(b"x") * 3)
        assert received.startswith(b"HTTP/1.1 413 ")
        assert received.count(b"HTTP/1.1") == 1
        assert server.requests == []


async def test_request_without_room_is_told_when_to_come_back() -> None:
    """Guards against bodies that are taken in beside those that cannot give way."""
    body = b"x" * BODY_BYTES
    async with serving(max_held_bytes=3 * BODY_BYTES) as server:
        server.release.clear()
        served = asyncio.create_task(exchange(server.port, build_request(body)))
        while not server.requests:
            await asyncio.sleep(0.01)
        refused = await exchange(server.port, build_request(body))
        assert refused.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nRetry-After: 1\r\n" in refused
        server.release.set()
        assert (await served).endswith(b"\r\n\r\n%d" % BODY_BYTES)
        assert len(server.requests) == 1
        assert b"200 OK" in await exchange(server.port, build_request(body))


@pytest.mark.parametrize("size", [1, 7, 1024, 20_000])
async def test_largest_body_in_chunks_of_any_size_arrives_whole(size: int) -> None:
    """Guards against chunks that are lost or changed while a connection waits."""
    body = bytes(number % 251 for number in range(BODY_BYTES))
    chunks = [body[at : at + size] for at in range(0, BODY_BYTES, size)]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    async with serving() as server:
        received = await exchange(
            server.port,
            CHUNKED[:-2] + b"Connection: close\r\n\r\n" + framed + b"0\r\n\r\n",
        )
        assert b"200 OK" in received
        assert server.requests[0].body == body


async def test_new_caller_is_served_beside_silent_connections_at_the_bound() -> None:
    """Guards against silent connections that keep ordinary callers out."""
    async with serving() as server, contextlib.AsyncExitStack() as stack:
        for _ in range(LIMITS.connections):
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            stack.callback(writer.close)
        await asyncio.sleep(0.3)
        assert b"200 OK" in await exchange(server.port, build_request(b"x"))
        assert sum(server.ingress.count_connections().values()) <= LIMITS.connections
