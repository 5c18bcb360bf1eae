"""A crowd of misbehaving callers neither stops a gateway nor the others' requests.

A process and a crowd on loopback, with the limits of a small machine. No test depends
on speed: none measures a time or a share of requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from local.ports import reserve_port
from soak.gateways import GatewayProcess
from soak.gateways import Ports
from testing.platform.crowd import CROWDS
from testing.platform.crowd import LARGE_ANSWER_BYTES
from testing.platform.crowd import LARGE_PATH
from testing.platform.gateways import KEY
from testing.platform.gateways import GatewayCluster
from testing.platform.gateways import fetch
from testing.platform.gateways import running_cluster
from testing.platform.gateways import wait_until

MEMORY_MIB = 96
MAX_MEMORY_BYTES = MEMORY_MIB << 20
# Descriptors that the process may open, as on the smallest machine. The rest beyond the
# second number stays free for endpoints, store and peers.
DESCRIPTORS = 1638
MAX_DESCRIPTORS = 1500
# For which the crowd is kept before the request, so that what it holds has grown.
HOLD_S = 2.0
MEASURE_S = 0.1
# In which a process that hangs would have answered.
MAX_TEST_S = 60.0
# Time that the ordinary caller gives its request.
MAX_ANSWER_S = 10.0
SETTINGS = f"limits: {{body: '1 MiB', memory: '{MEMORY_MIB} MiB'}}\n"
REQUEST = {
    "Host": "kiosk.example",
    "X-Request-Id": "ordinary",
    "Authorization": f"Bearer {KEY}",
    "X-Deadline-Remaining": str(int(MAX_ANSWER_S * 1000)),
}

pytestmark = pytest.mark.xdist_group("sockets")


@pytest.fixture
async def cluster() -> AsyncIterator[GatewayCluster]:
    async with running_cluster() as running:
        running.kiosk.answers[LARGE_PATH] = b"x" * LARGE_ANSWER_BYTES
        yield running


@pytest.fixture
async def gateway(
    cluster: GatewayCluster, tmp_path: Path
) -> AsyncIterator[GatewayProcess]:
    ports = Ports(
        callers=reserve_port(),
        readiness=reserve_port(),
        peers=reserve_port(),
        metrics=reserve_port(),
    )
    process = GatewayProcess(
        "g0",
        ports,
        "",
        cluster.store.port,
        tmp_path,
        further_settings=SETTINGS,
        max_descriptors=DESCRIPTORS,
    )
    process.start()

    async def is_ready() -> bool:
        with contextlib.suppress(ConnectionRefusedError):
            page = await fetch(ports.readiness, "/chiveslip/readiness")
            return page.code == 200
        return False

    try:
        await wait_until(is_ready)
        yield process
    finally:
        process.kill()


@contextlib.asynccontextmanager
async def crowd_of(name: str, port: int) -> AsyncIterator[None]:
    """Hold the connections of a crowd, which have sent what they send."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "testing.platform.crowd", name, str(port)),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdin is not None
    assert process.stdout is not None
    try:
        assert await process.stdout.readline() == b"sent\n"
        yield
        # The crowd was there until the end.
        assert process.returncode is None
    finally:
        process.stdin.close()
        if process.returncode is None:
            process.kill()
        await process.wait()


async def measure(gateway: GatewayProcess) -> None:
    """Measure the process until it is cancelled."""
    while True:
        gateway.measure_memory()
        gateway.measure_descriptors()
        await asyncio.sleep(MEASURE_S)


@pytest.mark.parametrize("name", CROWDS)
async def test_process_and_ordinary_request_survive_a_crowd(
    name: str, gateway: GatewayProcess
) -> None:
    measuring = asyncio.create_task(measure(gateway))
    try:
        async with asyncio.timeout(MAX_TEST_S), crowd_of(name, gateway.ports.callers):
            await asyncio.sleep(HOLD_S)
            async with asyncio.timeout(MAX_ANSWER_S):
                answer = await fetch(gateway.ports.callers, "/once/x", **REQUEST)
            readiness = await fetch(gateway.ports.readiness, "/chiveslip/readiness")
            metrics = await fetch(gateway.ports.metrics, "/metrics")
    finally:
        measuring.cancel()
    assert gateway.is_running()
    assert (answer.code, answer.body) == (200, b"done")
    assert readiness.code == 200
    assert b"chiveslip_members 1.0" in metrics.body
    assert 0 < gateway.most_memory_bytes < MAX_MEMORY_BYTES
    assert 0 < gateway.most_descriptors < MAX_DESCRIPTORS


async def test_largest_body_is_served_in_calm(
    gateway: GatewayProcess, cluster: GatewayCluster
) -> None:
    """Guards against a budget that refuses what is inside the limits."""
    body = b"x" * (1 << 20)
    answer = await fetch(
        gateway.ports.callers, "/once/x", method="POST", body=body, **REQUEST
    )
    assert (answer.code, answer.body) == (200, b"done")
    assert cluster.kiosk.received_requests[-1].body == body
