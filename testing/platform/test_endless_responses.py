"""Responses of replicas and of the store that do not end are given up in time."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import pytest

from chiveslip.clock import SystemClock
from chiveslip.dispatch.connection import ConnectionPool
from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import Operation
from chiveslip.gateway.rooms import EndpointRooms
from chiveslip.gateway.statement_recorder import StatementRecorder
from chiveslip.platform.replicas import ReplicaControl
from chiveslip.platform.replicas import read_endpoint
from chiveslip.platform.store import PlatformStore
from chiveslip.settings.fields import Address
from chiveslip.store.client import StoreError
from chiveslip.store.client import StoreRevision
from testing.raw_endpoint import CLOSE
from testing.raw_endpoint import RESET
from testing.raw_endpoint import Endless
from testing.raw_endpoint import RawEndpoint
from testing.raw_endpoint import StartEndpoint
from testing.raw_endpoint import Step

pytestmark = pytest.mark.xdist_group("sockets")

TIMEOUT_S = 0.5
# The longest timeout of these reads, and scheduling.
MAX_READ_S = 0.6 + 0.5
OK = b"HTTP/1.1 200 OK\r\n"

ENDLESS_SCRIPTS = [
    pytest.param([OK, Endless(part=b"A: b\r\n", interval_s=0.1)], id="slow-head"),
    pytest.param([OK, Endless(part=b"A: b\r\n")], id="head"),
    pytest.param(
        [OK + b"\r\n{", Endless(part=b" ", interval_s=0.1)], id="slow-unframed"
    ),
    pytest.param([OK + b"\r\n{", Endless(part=b" " * 65536)], id="unframed"),
    pytest.param(
        [
            OK + b"Transfer-Encoding: chunked\r\n\r\n",
            Endless(part=b"1\r\n \r\n", interval_s=0.1),
        ],
        id="slow-chunks",
    ),
    pytest.param(
        [OK + b"Content-Length: 500000\r\n\r\n", Endless(part=b" ", interval_s=0.1)],
        id="slow-length",
    ),
]


def listed_engine(address: Address) -> Any:
    entry = {"service": "llm", "address": str(address), "state": "ready", "born": 1}
    return read_endpoint("servers/i-1", json.dumps(entry).encode())


def control(pool: ConnectionPool) -> ReplicaControl:
    clock = SystemClock()
    rooms = EndpointRooms("here", lambda: ("here",), clock)
    return ReplicaControl(
        pool,
        clock,
        StatementRecorder(EndpointStatements(clock), rooms, EndpointLimits(clock)),
    )


async def read_report(pool: ConnectionPool, address: Address) -> None:
    await control(pool).read_report(listed_engine(address))


async def send_order(pool: ConnectionPool, address: Address) -> None:
    order = EngineOrder(
        operation=Operation.LOAD,
        target="m/a1",
        version=1,
        holder="a",
        fence=1,
        after_orders=0,
    )
    await control(pool).send_order(listed_engine(address), order, lambda: True)


async def read_all(pool: ConnectionPool, address: Address) -> None:
    await PlatformStore(pool, address, TIMEOUT_S).read_all()


async def watch(pool: ConnectionPool, address: Address) -> None:
    await PlatformStore(pool, address, TIMEOUT_S).watch(StoreRevision(0, 1), 0.1)


READERS = [
    pytest.param(read_report, EngineControlError, id="report"),
    pytest.param(send_order, EngineControlError, id="order"),
    pytest.param(read_all, StoreError, id="store-snapshot"),
    pytest.param(watch, StoreError, id="store-watch"),
]

Read = Callable[[ConnectionPool, Address], Awaitable[None]]


async def check_given_up(
    read: Read, error: type[Exception], endpoint: RawEndpoint
) -> None:
    pool = ConnectionPool(SystemClock(), 1.0, HeldBytes(64 << 20))
    async with asyncio.timeout(MAX_READ_S):
        with pytest.raises(error):
            await read(pool, endpoint.address)
    pool.close()
    async with asyncio.timeout(1.0):
        while endpoint.open_connections:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(("read", "error"), READERS)
@pytest.mark.parametrize("script", ENDLESS_SCRIPTS)
async def test_endless_response_is_given_up(
    start_endpoint: StartEndpoint,
    read: Read,
    error: type[Exception],
    script: list[Step],
) -> None:
    await check_given_up(read, error, await start_endpoint(script))


@pytest.mark.parametrize(
    ("read", "error", "end"),
    [
        pytest.param(read_report, EngineControlError, CLOSE, id="report-closed"),
        pytest.param(read_report, EngineControlError, RESET, id="report-reset"),
        # The status alone answers an order, so a body that is closed early is no fault.
        pytest.param(send_order, EngineControlError, RESET, id="order-reset"),
        pytest.param(read_all, StoreError, CLOSE, id="store-snapshot-closed"),
        pytest.param(read_all, StoreError, RESET, id="store-snapshot-reset"),
        pytest.param(watch, StoreError, CLOSE, id="store-watch-closed"),
        pytest.param(watch, StoreError, RESET, id="store-watch-reset"),
    ],
)
async def test_unframed_response_that_is_cut_is_not_used(
    start_endpoint: StartEndpoint, read: Read, error: type[Exception], end: Step
) -> None:
    document = b'{"sequence": 2, "models": [], "items": [], "store_revision": 7}'
    body = document if end == RESET else document[:-1]
    await check_given_up(
        read, error, await start_endpoint([OK + b"\r\n" + body, 0.05, end])
    )


def page(keys: list[str]) -> bytes:
    """Return a response with one page of items and a further page announced."""
    items = [
        {"key": key, "value": base64.b64encode(b"x").decode(), "revision": 1}
        for key in keys
    ]
    body = json.dumps({"items": items, "has_more": True, "store_revision": 9}).encode()
    return OK + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


async def test_snapshot_whose_pages_do_not_advance_is_given_up(
    start_endpoint: StartEndpoint,
) -> None:
    endpoint = await start_endpoint([page(["servers/a", "servers/b"])])
    await check_given_up(read_all, StoreError, endpoint)
    assert endpoint.requests <= 2


class SlowPage:
    """Sends a page of the store on a link of a few megabits a second."""

    BYTES = 600_000
    BYTES_PER_S = 400_000
    PART = 8192

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        document = {"items": [], "events": [], "store_revision": 7, "has_more": False}
        body = json.dumps(document).encode().ljust(self.BYTES)
        writer.write(OK + f"Content-Length: {len(body)}\r\n\r\n".encode())
        for start in range(0, len(body), self.PART):
            writer.write(body[start : start + self.PART])
            await writer.drain()
            await asyncio.sleep(self.PART / self.BYTES_PER_S)


@pytest.mark.parametrize("read", [read_all, watch])
async def test_long_page_on_a_slow_link_is_read_to_its_end(read: Read) -> None:
    assert SlowPage.BYTES / SlowPage.BYTES_PER_S > TIMEOUT_S
    server = await asyncio.start_server(SlowPage().answer, "127.0.0.1", 0)
    pool = ConnectionPool(SystemClock(), 1.0, HeldBytes(64 << 20))
    await read(pool, Address("127.0.0.1", server.sockets[0].getsockname()[1]))
    pool.close()
    server.close()
