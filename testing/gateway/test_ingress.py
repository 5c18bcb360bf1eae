"""Each request on a kept connection gets one whole answer, whatever its method."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.gateway.caller_budget import CallerLimits
from chiveslip.gateway.ingress import Ingress
from chiveslip.gateway.ingress import IngressReply
from chiveslip.gateway.ingress import IngressRequest
from chiveslip.gateway.refusals import RefusalWriter
from chiveslip.generated import result_codes
from chiveslip.platform.protocol import PlatformProtocol
from chiveslip.results import Refusal
from local.ports import reserve_port

MAX_ANSWER_S = 5.0
METHODS = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE", "BREW"]
BODY = b"a body"
STATUSES_WITHOUT_BODY = {204, 304}

Answer = Callable[[IngressReply], Awaitable[None]]


@attrs.frozen(kw_only=True)
class ReadAnswer:
    """An answer as a caller reads it."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_answer(reader: asyncio.StreamReader, method: str) -> ReadAnswer:
    """Read one answer from a connection, as its framing says."""
    line, *fields = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    status = int(line.split()[1])
    headers = {
        name.lower(): value.strip()
        for name, _, value in (field.partition(":") for field in fields if field)
    }
    body = b""
    if method == "HEAD" or status in STATUSES_WITHOUT_BODY:
        return ReadAnswer(status=status, headers=headers, body=body)
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
        return ReadAnswer(status=status, headers=headers, body=body)
    assert headers["transfer-encoding"] == "chunked"
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readexactly(2) == b"\r\n"
    return ReadAnswer(status=status, headers=headers, body=body)


@contextlib.asynccontextmanager
async def serving(answer: Answer) -> AsyncIterator[int]:
    """Answer every request in the same way; yield the port."""

    async def handle(request: IngressRequest, reply: IngressReply) -> None:
        del request
        await answer(reply)

    limits = CallerLimits(body_bytes=1 << 10, head_bytes=1 << 10)
    ingress = Ingress(handle, limits, HeldBytes(1 << 20))
    port = reserve_port()
    ingress.listen("127.0.0.1", port)
    try:
        yield port
    finally:
        await ingress.close()


async def send_twice(port: int, method: str) -> list[ReadAnswer]:
    """Send two requests on one connection, the second before the first answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    request = f"{method} /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{{}}"
    try:
        async with asyncio.timeout(MAX_ANSWER_S):
            writer.write(request.encode() * 2)
            answers = [await read_answer(reader, method) for _ in range(2)]
            # Nothing follows the last answer.
            writer.write_eof()
            assert await reader.read() == b""
    finally:
        writer.close()
    return answers


def respond(status: int, body: bytes) -> Answer:
    async def answer(reply: IngressReply) -> None:
        await reply.respond(status, HTTPHeaders({"X-Mark": "1"}), body)

    return answer


def stream(status: int) -> Answer:
    async def answer(reply: IngressReply) -> None:
        reply.start(status, HTTPHeaders({"X-Mark": "1"}))
        await reply.write(BODY[:2])
        await reply.write(BODY[2:])
        reply.end()

    return answer


async def refuse(reply: IngressReply) -> None:
    refusal = Refusal(code=result_codes.NO_ENDPOINT, detail="no room")
    await RefusalWriter(PlatformProtocol()).write(reply, "r1", refusal)


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("status", [200, 204, 304, 404, 429, 500, 503])
@pytest.mark.parametrize("is_stream", [False, True])
async def test_answer_to_each_method_is_whole_on_a_kept_connection(
    method: str, status: int, is_stream: bool
) -> None:
    has_body = method != "HEAD" and status not in STATUSES_WITHOUT_BODY
    async with serving(stream(status) if is_stream else respond(status, BODY)) as port:
        for answer in await send_twice(port, method):
            assert answer.status == status
            assert answer.headers["x-mark"] == "1"
            assert answer.body == (BODY if has_body else b"")


@pytest.mark.parametrize("method", METHODS)
async def test_refused_request_gets_its_refusal_whatever_its_method(
    method: str,
) -> None:
    async with serving(refuse) as port:
        for answer in await send_twice(port, method):
            assert answer.status == 503
            assert answer.headers["x-request-id"] == "r1"
            assert int(answer.headers["content-length"]) > 0
            if method != "HEAD":
                assert json.loads(answer.body)["code"] == 1402


@pytest.mark.parametrize("status", [204, 304])
async def test_answer_whose_status_has_no_body_names_no_length(status: int) -> None:
    async with serving(respond(status, b"")) as port:
        for answer in await send_twice(port, "GET"):
            assert "content-length" not in answer.headers
