"""What a call through one instance costs beside the same call sent straight.

Run ``python -m bench.overhead``. It starts the small fleet of run-local, with one
instance to be measured, and compares calls through it with calls to the stand-in.
"""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import time
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path

import attrs
from hdrh.histogram import HdrHistogram
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from local.calls import Caller
from local.fleet import ENGINES
from local.fleet import Fleet
from local.processes import Processes

_CALLS = 1500
_STREAMS = 30
_STREAM_TOKENS = 400
_LOAD_CALLERS = 32
_LOAD_S = 8.0
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")

Send = Callable[[], Awaitable[None]]


@attrs.frozen(kw_only=True)
class Latency:
    """Latencies in milliseconds."""

    p50: float
    p99: float


def main() -> None:
    """Measure and print the table."""
    asyncio.run(_run())


async def _run() -> None:
    with tempfile.TemporaryDirectory(prefix="chiveslip-bench-") as name:
        async with Processes(Path(name)) as processes:
            fleet = Fleet(directory=Path(name), processes=processes)
            await fleet.start()
            await _measure(fleet)


async def _measure(fleet: Fleet) -> None:
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=200)
    key = {"Authorization": f"Bearer {fleet.keys['north']}"}
    straight = fleet.standin_url("kiosk-1", "/bays")
    through = fleet.url("entry-1", "/bays")
    rows = [
        ("plain, one at a time", *await _compare(client, straight, through, key, None)),
        await _completion_row(fleet, client, key),
    ]
    print("| call | p50 straight | p50 through | added | p99 straight | p99 through |")
    print("|---|---|---|---|---|---|")
    for name, one, other in rows:
        added = other.p50 - one.p50
        print(
            f"| {name} | {one.p50:.2f} ms | {other.p50:.2f} ms | {added:.2f} ms "
            f"| {one.p99:.2f} ms | {other.p99:.2f} ms |"
        )
    per_s, cores = await _saturate(fleet, client, through, key)
    print(f"\nplain calls through one instance at full load: {per_s:.0f}/s")
    print(
        f"cores that the instance used: {cores:.2f}; calls/s a core {per_s / cores:.0f}"
    )
    half = await _at_rate(client, through, key, per_s / 2)
    base = await _at_rate(client, straight, {}, per_s / 2)
    print(f"at half that load: p50 {half.p50:.2f} ms, straight {base.p50:.2f} ms,")
    print(f"added {half.p50 - base.p50:.2f} ms; p99 {half.p99:.2f}, {base.p99:.2f} ms")
    await _streams(fleet, client, key)
    client.close()


async def _compare(
    client: SimpleAsyncHTTPClient,
    straight: str,
    through: str,
    key: dict[str, str],
    body: bytes | None,
) -> tuple[Latency, Latency]:
    # The two in turn, so that a drift of the machine meets both alike.
    one, other = _histogram(), _histogram()
    for _ in range(_CALLS):
        await _timed(one, lambda: _send(client, straight, {}, body))
        await _timed(other, lambda: _send(client, through, key, body))
    return _latency(one), _latency(other)


async def _completion_row(
    fleet: Fleet, client: SimpleAsyncHTTPClient, key: dict[str, str]
) -> tuple[str, Latency, Latency]:
    engine = await _engine_with(fleet, "north-logs@1")
    body = {"model": "north-logs@1", "prompt": "x", "max_tokens": 1, "words": 1}
    content = json.dumps(body).encode()
    straight = fleet.standin_url(engine, "/v1/completions")
    through = fleet.url("entry-1", "/v1/completions")
    result = await _compare(client, straight, through, key, content)
    return "completion of one token", *result


async def _engine_with(fleet: Fleet, model: str) -> str:
    """Load an adapter through the fleet and return the engine that has it."""
    caller = Caller(fleet)
    try:
        await caller.complete("entry-1", fleet.keys["north"], model)
        for engine in ENGINES:
            if model in (await caller.read_json(engine, "/v1/load"))["loaded"]:
                return engine
    finally:
        caller.close()
    raise RuntimeError(f"no engine has {model}")


async def _saturate(
    fleet: Fleet, client: SimpleAsyncHTTPClient, url: str, key: dict[str, str]
) -> tuple[float, float]:
    pid = fleet.processes.pid("entry-1")
    ends_at = time.perf_counter() + _LOAD_S
    cpu_before = cpu_s(pid)
    counts = await asyncio.gather(
        *(_until(client, url, key, ends_at) for _ in range(_LOAD_CALLERS))
    )
    cores = (cpu_s(pid) - cpu_before) / _LOAD_S
    return sum(counts) / _LOAD_S, cores


async def _until(
    client: SimpleAsyncHTTPClient, url: str, key: dict[str, str], ends_at: float
) -> int:
    count = 0
    while time.perf_counter() < ends_at:
        await _send(client, url, key, None)
        count += 1
    return count


async def _at_rate(
    client: SimpleAsyncHTTPClient, url: str, key: dict[str, str], per_s: float
) -> Latency:
    """Send at a fixed rate; a late call counts from when it was due."""
    histogram = _histogram()
    started = time.perf_counter()
    tasks = []
    for number in range(int(per_s * _LOAD_S)):
        due = started + number / per_s
        await asyncio.sleep(max(due - time.perf_counter(), 0))
        tasks.append(asyncio.create_task(_due(histogram, client, url, key, due)))
    await asyncio.gather(*tasks)
    return _latency(histogram)


async def _due(
    histogram: HdrHistogram,
    client: SimpleAsyncHTTPClient,
    url: str,
    key: dict[str, str],
    due: float,
) -> None:
    await _send(client, url, key, None)
    histogram.record_value((time.perf_counter() - due) * 1e6)


async def _streams(
    fleet: Fleet, client: SimpleAsyncHTTPClient, key: dict[str, str]
) -> None:
    engine = await _engine_with(fleet, "north-logs@1")
    body = {
        "model": "north-logs@1",
        "prompt": "x",
        "max_tokens": _STREAM_TOKENS,
        "words": _STREAM_TOKENS,
        "stream": True,
    }
    content = json.dumps(body).encode()
    straight = fleet.standin_url(engine, "/v1/completions")
    through = fleet.url("entry-1", "/v1/completions")
    times = {straight: 0.0, through: 0.0}
    pid = fleet.processes.pid("entry-1")
    cpu_before = cpu_s(pid)
    for _ in range(_STREAMS):
        for url, headers in ((straight, {}), (through, key)):
            began = time.perf_counter()
            await _send(client, url, headers, content)
            times[url] += time.perf_counter() - began
    tokens = _STREAMS * _STREAM_TOKENS
    added_ms = (times[through] - times[straight]) / tokens * 1000
    cpu_ms = (cpu_s(pid) - cpu_before) / tokens * 1000
    print(f"\nstreams of {_STREAM_TOKENS} tokens: added {added_ms:.4f} ms a token,")
    print(f"processor time of the instance {cpu_ms:.4f} ms a token")


async def _send(
    client: SimpleAsyncHTTPClient,
    url: str,
    headers: dict[str, str],
    body: bytes | None,
) -> None:
    extra = headers
    if not headers and body is not None:
        extra = {"X-Request-Id": f"bench{time.perf_counter_ns()}"}
    request = HTTPRequest(
        url,
        method="GET" if body is None else "POST",
        headers=extra,
        body=body,
        request_timeout=60,
    )
    await client.fetch(request)


async def _timed(histogram: HdrHistogram, send: Send) -> None:
    began = time.perf_counter()
    await send()
    histogram.record_value((time.perf_counter() - began) * 1e6)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, 60_000_000, 3)


def _latency(histogram: HdrHistogram) -> Latency:
    return Latency(
        p50=histogram.get_value_at_percentile(50) / 1000,
        p99=histogram.get_value_at_percentile(99) / 1000,
    )


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


if __name__ == "__main__":
    main()
