"""Reports, orders and reads of the store believe no invalid status line."""

from __future__ import annotations

import asyncio

import pytest

from chiveslip.clock import SystemClock
from chiveslip.dispatch.connection import ConnectionPool
from chiveslip.dispatch.held_bytes import HeldBytes
from testing.platform.test_endless_responses import READERS
from testing.platform.test_endless_responses import Read
from testing.raw_endpoint import StartEndpoint

MAX_READ_S = 10.0
# Good for each of the readers.
BODY = b'{"sequence": 2, "models": [], "items": [], "events": [], "store_revision": 7}'

pytestmark = pytest.mark.xdist_group("sockets")


def respond(line: str) -> bytes:
    head = f"{line}\r\nContent-Type: application/json\r\nContent-Length: {len(BODY)}"
    return f"{head}\r\n\r\n".encode() + BODY


@pytest.mark.parametrize(("read", "error"), READERS)
@pytest.mark.parametrize(
    "line",
    [
        "HTTP/1.1 000 None",
        "HTTP/1.1 042 None",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 204 No Content",
        "HTTP/1.1 600 None",
        "HTTP/1.1 700 None",
        "HTTP/1.1 999 None",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
    ],
)
async def test_response_with_an_invalid_status_line_is_an_error(
    start_endpoint: StartEndpoint, read: Read, error: type[Exception], line: str
) -> None:
    """Guards against an order that counts as refused though it may have been taken."""
    endpoint = await start_endpoint([respond(line)])
    pool = ConnectionPool(SystemClock(), 1.0, HeldBytes(64 << 20))
    async with asyncio.timeout(MAX_READ_S):
        with pytest.raises(error):
            await read(pool, endpoint.address)
        # The connection was given up, though the endpoint keeps it.
        while endpoint.open_connections:
            await asyncio.sleep(0.01)
    pool.close()
