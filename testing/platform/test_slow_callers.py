"""What a process holds for callers that send slowly stays far below its memory."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from local.ports import reserve_port
from soak.gateways import GatewayProcess
from soak.gateways import Ports
from testing.platform.gateways import GatewayCluster
from testing.platform.gateways import fetch
from testing.platform.gateways import running_cluster
from testing.platform.gateways import wait_until

CALLERS = 200
# The largest body that a gateway accepts by default.
BODY_BYTES = 1 << 20
MAX_MEMORY_BYTES = 150 << 20
HOLD_S = 1.0

pytestmark = pytest.mark.xdist_group("sockets")


@pytest.fixture
async def cluster() -> AsyncIterator[GatewayCluster]:
    async with running_cluster() as running:
        yield running


async def test_callers_that_do_not_end_their_bodies_do_not_use_up_the_memory(
    cluster: GatewayCluster, tmp_path: Path
) -> None:
    ports = Ports(
        callers=reserve_port(),
        readiness=reserve_port(),
        peers=reserve_port(),
        metrics=reserve_port(),
    )
    gateway = GatewayProcess("g0", ports, "", cluster.store.port, tmp_path)
    gateway.start()

    async def is_ready() -> bool:
        try:
            page = await fetch(ports.readiness, "/chiveslip/readiness")
        except ConnectionRefusedError:
            # The process does not listen yet.
            return False
        return page.code == 200

    callers: list[asyncio.StreamWriter] = []
    try:
        await wait_until(is_ready)
        for _ in range(CALLERS):
            _, writer = await asyncio.open_connection("127.0.0.1", ports.callers)
            callers.append(writer)
            head = f"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}"
            writer.write(f"{head}\r\n\r\n".encode() + b"x" * (BODY_BYTES - 1))
            with contextlib.suppress(ConnectionError):
                await writer.drain()
        await asyncio.sleep(HOLD_S)
        gateway.measure_memory()
    finally:
        for writer in callers:
            writer.close()
        gateway.kill()
    assert 0 < gateway.most_memory_bytes < MAX_MEMORY_BYTES
