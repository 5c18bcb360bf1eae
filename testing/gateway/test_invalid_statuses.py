"""Responses of endpoints whose status line is none of a final HTTP/1 response.

Guards against such a response being passed on to a caller: an endpoint in trouble
answered with status 000, with its own signature.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from chiveslip.clock import ManualClock
from chiveslip.dispatch.connection import ConnectionPool
from chiveslip.dispatch.held_bytes import HeldBytes
from testing.gateway.conftest import GatewayHarness
from testing.gateway.conftest import RecordingReply
from testing.raw_endpoint import CLOSE
from testing.raw_endpoint import RawEndpoint
from testing.raw_endpoint import StartEndpoint
from testing.raw_endpoint import Step

pytestmark = pytest.mark.xdist_group("sockets")

MAX_ANSWER_S = 10.0
PLAIN_BODY = b"done"
EVENTS = b"id: 1\ndata: a\n\n"

# Each of these is sent with the header section and the body of a good response.
INVALID_LINES = [
    "HTTP/1.1 000 None",
    "HTTP/1.1 001 None",
    "HTTP/1.1 042 None",
    "HTTP/1.1 099 None",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 102 Processing",
    "HTTP/1.1 103 Early Hints",
    "HTTP/1.1 199 Unknown",
    "HTTP/1.1 204 No Content",
    "HTTP/1.1 600 None",
    "HTTP/1.1 700 None",
    "HTTP/1.1 999 None",
    "HTTP/1.1 2 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 20000 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 2 0 OK",
    "HTTP/1.1\t200 OK",
    " HTTP/1.1 200 OK",
    "HTTP/1.1  OK",
    "HTTP/1.1 OK",
    "HTTP/1.1",
    "HTTP/1.2 200 OK",
    "HTTP/1.9 200 OK",
    "HTTP/0.9 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/2 200 OK",
    "HTTP/1.10 200 OK",
    "HTTPS/1.1 200 OK",
    "http/1.1 200 OK",
    "ICY 200 OK",
    "200 OK",
]
VALID_LINES = [
    ("HTTP/1.1 200 OK", 200),
    ("HTTP/1.0 200 OK", 200),
    ("HTTP/1.1 200 ", 200),
    ("HTTP/1.1 299 Unknown", 299),
    ("HTTP/1.1 304 Not Modified", 304),
    ("HTTP/1.1 404 Not Found", 404),
    ("HTTP/1.1 499 Unknown", 499),
]
# Routes whose requests may be sent again, and routes whose requests may not.
REPEATABLE = ["/freely/x", "/resumable/x"]
UNREPEATABLE = ["/once/x", "/stream/x"]


def body_for(path: str) -> bytes:
    """Return the body of a good response to a request for a path."""
    return EVENTS if path in ("/stream/x", "/resumable/x") else PLAIN_BODY


def respond(
    path: str, line: str = "HTTP/1.1 200 OK", *, request_id: str = "r1", extra: str = ""
) -> bytes:
    """Return a response with a status line, whole but for that."""
    body = body_for(path)
    media_type = "text/event-stream" if body == EVENTS else "text/plain"
    head = (
        f"{line}\r\nX-Request-Id: {request_id}\r\nX-Server-Signature: sig\r\n{extra}"
        f"Content-Type: {media_type}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def exchange(
    make_gateway: Callable[..., GatewayHarness],
    endpoint: RawEndpoint,
    path: str,
    *,
    is_kept: bool,
) -> RecordingReply:
    """Send a request, on a connection that carried another one if it is kept."""
    pool = ConnectionPool(ManualClock(), 1.0, HeldBytes(64 << 20))
    harness = make_gateway(connector=pool, address=endpoint.address)
    try:
        async with asyncio.timeout(MAX_ANSWER_S):
            if is_kept:
                await harness.exchange(path, X_Request_Id="r0")
                assert endpoint.connections == 1
            return await harness.exchange(path)
    finally:
        pool.close()


def build_scripts(path: str, script: list[Step], *, is_kept: bool) -> list[list[Step]]:
    """Return a script between good ones; the first is for the kept connection."""
    first: list[list[Step]] = [[respond(path, request_id="r0")]] if is_kept else []
    return [*first, script, [respond(path)]]


@pytest.mark.parametrize("path", UNREPEATABLE)
@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("line", INVALID_LINES)
async def test_request_that_may_not_be_repeated_ends_with_502(
    make_gateway: Callable[..., GatewayHarness],
    start_endpoint: StartEndpoint,
    line: str,
    is_kept: bool,
    path: str,
) -> None:
    bad: list[Step] = [respond(path, line), 0.05, CLOSE]
    endpoint = await start_endpoint(*build_scripts(path, bad, is_kept=is_kept))
    reply = await exchange(make_gateway, endpoint, path, is_kept=is_kept)
    assert reply.status == 502
    assert endpoint.requests == 1 + is_kept


@pytest.mark.parametrize("path", REPEATABLE)
@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("line", INVALID_LINES)
async def test_request_that_may_be_repeated_is_sent_on_another_connection(
    make_gateway: Callable[..., GatewayHarness],
    start_endpoint: StartEndpoint,
    line: str,
    is_kept: bool,
    path: str,
) -> None:
    # The endpoint keeps the connection open: only the gateway can give it up.
    bad: list[Step] = [respond(path, line)]
    endpoint = await start_endpoint(*build_scripts(path, bad, is_kept=is_kept))
    reply = await exchange(make_gateway, endpoint, path, is_kept=is_kept)
    assert (reply.status, reply.body, reply.is_complete) == (200, body_for(path), True)
    # Further connections only probe the path.
    used = [count for count in endpoint.requests_of_connections if count]
    assert used == [1 + is_kept, 1]


@pytest.mark.parametrize(
    "bad", ["HTTP/1.1 000 None", "HTTP/1.1 600 None", "HTTP/1.2 200 OK"]
)
@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
async def test_refusal_with_an_invalid_status_is_not_believed(
    make_gateway: Callable[..., GatewayHarness],
    start_endpoint: StartEndpoint,
    bad: str,
    path: str,
) -> None:
    """The request may have run, whatever a header says."""
    refusal = respond(path, bad, extra="X-Not-Executed: 1\r\n")
    endpoint = await start_endpoint([refusal], [respond(path)])
    reply = await exchange(make_gateway, endpoint, path, is_kept=False)
    assert reply.status == 502
    assert endpoint.requests == 1


@pytest.mark.parametrize(
    "bad", ["HTTP/1.1 000 None", "HTTP/1.1 999 None", "HTTP/1.2 200 OK"]
)
async def test_invalid_response_to_an_earlier_request_ends_the_connection(
    make_gateway: Callable[..., GatewayHarness],
    start_endpoint: StartEndpoint,
    bad: str,
) -> None:
    """What follows bytes that are no HTTP response cannot be trusted either."""
    path = "/once/x"
    late = respond(path, bad, request_id="r9")
    endpoint = await start_endpoint(
        *build_scripts(path, [late + respond(path)], is_kept=True)
    )
    reply = await exchange(make_gateway, endpoint, path, is_kept=True)
    assert reply.status == 502


@pytest.mark.parametrize("path", [*REPEATABLE, *UNREPEATABLE])
@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize(("line", "status"), VALID_LINES)
async def test_final_response_is_passed_on(
    make_gateway: Callable[..., GatewayHarness],
    start_endpoint: StartEndpoint,
    line: str,
    status: int,
    is_kept: bool,
    path: str,
) -> None:
    """Guards against a rule that refuses more than it should."""
    good: list[Step] = [respond(path, line)]
    endpoint = await start_endpoint(*build_scripts(path, good, is_kept=is_kept))
    reply = await exchange(make_gateway, endpoint, path, is_kept=is_kept)
    assert reply.status == status
    assert endpoint.requests == 1 + is_kept


@pytest.mark.parametrize("path", [*REPEATABLE, *UNREPEATABLE])
@pytest.mark.parametrize("interim", ["100 Continue", "102 Processing", "103 Hints"])
async def test_interim_response_before_the_final_one_is_skipped(
    make_gateway: Callable[..., GatewayHarness],
    start_endpoint: StartEndpoint,
    interim: str,
    path: str,
) -> None:
    head = f"HTTP/1.1 {interim}\r\nX-Request-Id: r1\r\n\r\n"
    endpoint = await start_endpoint([head.encode() + respond(path)])
    reply = await exchange(make_gateway, endpoint, path, is_kept=False)
    assert (reply.status, reply.body) == (200, body_for(path))
    assert endpoint.requests == 1


@pytest.mark.parametrize(
    "line", ["HTTP/1.1 100 Continue", "HTTP/1.1 101 Switching Protocols"]
)
@pytest.mark.parametrize("path", ["/once/x", "/freely/x"])
async def test_interim_response_after_the_final_one_ends_the_connection(
    make_gateway: Callable[..., GatewayHarness],
    start_endpoint: StartEndpoint,
    line: str,
    path: str,
) -> None:
    late = respond(path, request_id="r0") + f"{line}\r\n\r\n".encode()
    endpoint = await start_endpoint([late], [respond(path)])
    pool = ConnectionPool(ManualClock(), 1.0, HeldBytes(64 << 20))
    harness = make_gateway(connector=pool, address=endpoint.address)
    await harness.exchange(path, X_Request_Id="r0")
    await asyncio.sleep(0.05)
    reply = await harness.exchange(path)
    pool.close()
    assert (reply.status, reply.body) == (200, body_for(path))
    assert endpoint.connections == 2


@pytest.mark.parametrize("path", ["/once/x", "/freely/x"])
async def test_body_after_a_304_is_not_taken_for_the_next_response(
    make_gateway: Callable[..., GatewayHarness],
    start_endpoint: StartEndpoint,
    path: str,
) -> None:
    not_modified = respond(path, "HTTP/1.1 304 Not Modified", request_id="r0")
    endpoint = await start_endpoint([not_modified], [respond(path)])
    pool = ConnectionPool(ManualClock(), 1.0, HeldBytes(64 << 20))
    harness = make_gateway(connector=pool, address=endpoint.address)
    first = await harness.exchange(path, X_Request_Id="r0")
    await asyncio.sleep(0.05)
    reply = await harness.exchange(path)
    pool.close()
    assert (first.status, first.body) == (304, b"")
    assert (reply.status, reply.body) == (200, body_for(path))
    assert endpoint.connections == 2


@pytest.mark.parametrize(
    "interim", ["HTTP/1.1 101 Switching Protocols", "HTTP/1.2 100 Continue"]
)
@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
async def test_response_after_an_invalid_interim_one_is_not_believed(
    make_gateway: Callable[..., GatewayHarness],
    start_endpoint: StartEndpoint,
    interim: str,
    path: str,
) -> None:
    """After 101, the bytes are of another protocol; none was asked for."""
    bad = f"{interim}\r\n\r\n".encode() + respond(path)
    endpoint = await start_endpoint([bad], [respond(path)])
    reply = await exchange(make_gateway, endpoint, path, is_kept=False)
    assert reply.status == 502
    assert endpoint.requests == 1
