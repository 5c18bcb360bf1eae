"""Measures the overhead of a call through one instance over a direct call.

Run ``python -m bench.overhead``. It starts the local fleet of run-local and compares
calls through its first instance with the same calls sent directly to a stand-in.
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

_CALLS_PER_CASE = 1500
_STREAM_COUNT = 30
_STREAM_TOKENS = 400
_LOAD_CALLERS = 32
_LOAD_S = 8.0
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")

SendCall = Callable[[], Awaitable[None]]


@attrs.frozen(kw_only=True)
class Latency:
    """Percentiles of a latency in milliseconds."""

    p50: float
    p99: float


def main() -> None:
    """Run all measurements and print the results."""
    asyncio.run(_run())


async def _run() -> None:
    with tempfile.TemporaryDirectory(prefix="chiveslip-bench-") as name:
        async with Processes(Path(name)) as processes:
            fleet = Fleet(directory=Path(name), processes=processes)
            await fleet.start()
            await _run_measurements(fleet)


async def _run_measurements(fleet: Fleet) -> None:
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=200)
    key_header = {"Authorization": f"Bearer {fleet.keys['north']}"}
    direct_url = fleet.standin_url("kiosk-1", "/bays")
    proxied_url = fleet.url("entry-1", "/bays")
    rows = [
        (
            "plain, one at a time",
            *await _measure_latencies(
                client, direct_url, proxied_url, key_header, None
            ),
        ),
        await _measure_completion(fleet, client, key_header),
    ]
    print("| call | p50 direct | p50 proxied | added | p99 direct | p99 proxied |")
    print("|---|---|---|---|---|---|")
    for name, direct, proxied in rows:
        added = proxied.p50 - direct.p50
        print(
            f"| {name} | {direct.p50:.2f} ms | {proxied.p50:.2f} ms | {added:.2f} ms "
            f"| {direct.p99:.2f} ms | {proxied.p99:.2f} ms |"
        )
    calls_per_s, cores = await _measure_throughput(
        fleet, client, proxied_url, key_header
    )
    print(f"\nplain calls through one instance at full load: {calls_per_s:.0f}/s")
    print(
        f"cores that the instance used: {cores:.2f}; "
        f"calls/s per core {calls_per_s / cores:.0f}"
    )
    proxied_at_half = await _measure_latency_at_rate(
        client, proxied_url, key_header, calls_per_s / 2
    )
    direct_at_half = await _measure_latency_at_rate(
        client, direct_url, {}, calls_per_s / 2
    )
    print(
        f"at half that load: p50 {proxied_at_half.p50:.2f} ms, "
        f"direct {direct_at_half.p50:.2f} ms,"
    )
    print(
        f"added {proxied_at_half.p50 - direct_at_half.p50:.2f} ms; "
        f"p99 {proxied_at_half.p99:.2f}, direct {direct_at_half.p99:.2f} ms"
    )
    await _measure_streams(fleet, client, key_header)
    client.close()


async def _measure_latencies(
    client: SimpleAsyncHTTPClient,
    direct_url: str,
    proxied_url: str,
    key_header: dict[str, str],
    body: bytes | None,
) -> tuple[Latency, Latency]:
    # Alternate the two, so that a drift of the machine's speed affects both alike.
    direct_histogram, proxied_histogram = _new_histogram(), _new_histogram()
    for _ in range(_CALLS_PER_CASE):
        await _record_duration_us(
            direct_histogram, lambda: _send_call(client, direct_url, {}, body)
        )
        await _record_duration_us(
            proxied_histogram, lambda: _send_call(client, proxied_url, key_header, body)
        )
    return _to_latency(direct_histogram), _to_latency(proxied_histogram)


async def _measure_completion(
    fleet: Fleet, client: SimpleAsyncHTTPClient, key_header: dict[str, str]
) -> tuple[str, Latency, Latency]:
    engine = await _load_adapter(fleet, "north-logs@1")
    body = {"model": "north-logs@1", "prompt": "x", "max_tokens": 1, "words": 1}
    content = json.dumps(body).encode()
    direct_url = fleet.standin_url(engine, "/v1/completions")
    proxied_url = fleet.url("entry-1", "/v1/completions")
    result = await _measure_latencies(
        client, direct_url, proxied_url, key_header, content
    )
    return "completion of one token", *result


async def _load_adapter(fleet: Fleet, model: str) -> str:
    """Load an adapter by a call to the fleet; return the engine that loaded it."""
    caller = Caller(fleet)
    try:
        await caller.complete("entry-1", fleet.keys["north"], model)
        for engine in ENGINES:
            if model in (await caller.read_json(engine, "/v1/load"))["loaded"]:
                return engine
    finally:
        caller.close()
    raise RuntimeError(f"no engine has loaded {model}")


async def _measure_throughput(
    fleet: Fleet, client: SimpleAsyncHTTPClient, url: str, key_header: dict[str, str]
) -> tuple[float, float]:
    pid = fleet.processes.pid("entry-1")
    end = time.perf_counter() + _LOAD_S
    cpu_before = read_cpu_s(pid)
    call_counts = await asyncio.gather(
        *(_send_until(client, url, key_header, end) for _ in range(_LOAD_CALLERS))
    )
    cores = (read_cpu_s(pid) - cpu_before) / _LOAD_S
    return sum(call_counts) / _LOAD_S, cores


async def _send_until(
    client: SimpleAsyncHTTPClient, url: str, key_header: dict[str, str], end: float
) -> int:
    count = 0
    while time.perf_counter() < end:
        await _send_call(client, url, key_header, None)
        count += 1
    return count


async def _measure_latency_at_rate(
    client: SimpleAsyncHTTPClient,
    url: str,
    key_header: dict[str, str],
    calls_per_s: float,
) -> Latency:
    """Return the latency at a fixed rate; a late call counts from when it was due."""
    histogram = _new_histogram()
    started_at = time.perf_counter()
    tasks = []
    for number in range(int(calls_per_s * _LOAD_S)):
        due_at = started_at + number / calls_per_s
        await asyncio.sleep(max(due_at - time.perf_counter(), 0))
        tasks.append(
            asyncio.create_task(
                _send_due_call(histogram, client, url, key_header, due_at)
            )
        )
    await asyncio.gather(*tasks)
    return _to_latency(histogram)


async def _send_due_call(
    histogram: HdrHistogram,
    client: SimpleAsyncHTTPClient,
    url: str,
    key_header: dict[str, str],
    due_at: float,
) -> None:
    await _send_call(client, url, key_header, None)
    histogram.record_value((time.perf_counter() - due_at) * 1e6)


async def _measure_streams(
    fleet: Fleet, client: SimpleAsyncHTTPClient, key_header: dict[str, str]
) -> None:
    engine = await _load_adapter(fleet, "north-logs@1")
    body = {
        "model": "north-logs@1",
        "prompt": "x",
        "max_tokens": _STREAM_TOKENS,
        "words": _STREAM_TOKENS,
        "stream": True,
    }
    content = json.dumps(body).encode()
    direct_url = fleet.standin_url(engine, "/v1/completions")
    proxied_url = fleet.url("entry-1", "/v1/completions")
    total_s = {direct_url: 0.0, proxied_url: 0.0}
    pid = fleet.processes.pid("entry-1")
    cpu_before = read_cpu_s(pid)
    for _ in range(_STREAM_COUNT):
        for url, headers in ((direct_url, {}), (proxied_url, key_header)):
            started_at = time.perf_counter()
            await _send_call(client, url, headers, content)
            total_s[url] += time.perf_counter() - started_at
    tokens = _STREAM_COUNT * _STREAM_TOKENS
    added_ms = (total_s[proxied_url] - total_s[direct_url]) / tokens * 1000
    cpu_ms = (read_cpu_s(pid) - cpu_before) / tokens * 1000
    print(f"\nstreams of {_STREAM_TOKENS} tokens: added {added_ms:.4f} ms a token,")
    print(f"processor time of the instance {cpu_ms:.4f} ms a token")


async def _send_call(
    client: SimpleAsyncHTTPClient,
    url: str,
    headers: dict[str, str],
    body: bytes | None,
) -> None:
    sent_headers = headers
    if not headers and body is not None:
        sent_headers = {"X-Request-Id": f"bench{time.perf_counter_ns()}"}
    request = HTTPRequest(
        url,
        method="GET" if body is None else "POST",
        headers=sent_headers,
        body=body,
        request_timeout=60,
    )
    await client.fetch(request)


async def _record_duration_us(histogram: HdrHistogram, send: SendCall) -> None:
    started_at = time.perf_counter()
    await send()
    histogram.record_value((time.perf_counter() - started_at) * 1e6)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, 60_000_000, 3)


def _to_latency(histogram: HdrHistogram) -> Latency:
    return Latency(
        p50=histogram.get_value_at_percentile(50) / 1000,
        p99=histogram.get_value_at_percentile(99) / 1000,
    )


def read_cpu_s(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


if __name__ == "__main__":
    main()
