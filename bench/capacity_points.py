"""Measures the points from which ``bench.capacity`` computes docs/CAPACITY.md.

Run ``python -m bench.capacity_points [NAME...]``; it writes
bench/capacity_points.json. With names of points, it measures only these and keeps the
others. Control traffic is measured in virtual time with all instances in one process
and a fake transport, which carries the real messages in their wire form.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import looptime
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from bench import large_fleet
from bench.overhead import read_cpu_s
from chiveslip import logs
from chiveslip.allowance.account import Portion
from chiveslip.allowance.account import UsageReport
from chiveslip.allowance.owned_buckets import AllowanceLimits
from chiveslip.allowance.owned_buckets import CreditRequest
from chiveslip.allowance.owned_buckets import OwnedBuckets
from chiveslip.configuration import documents
from chiveslip.configuration.documents import Manifest
from chiveslip.engines.adapter import AdapterVersion
from chiveslip.engines.fair_queue import Waiter
from chiveslip.engines.scheduler import EngineLimits
from chiveslip.engines.scheduler import EngineScheduler
from chiveslip.engines.scheduler import GrantPermit
from chiveslip.engines.scheduler import LoadReport
from chiveslip.generated import peer_pb2 as wire
from chiveslip.hashing import content_hash
from chiveslip.idempotency.records import IdempotencyKey
from chiveslip.idempotency.records import RecordLimits
from chiveslip.idempotency.records import Records
from local.calls import Caller
from local.fleet import Fleet
from local.processes import Processes
from testing.simulation.cluster import SimulatedCluster

POINTS = Path(__file__).parent / "capacity_points.json"
GOSSIP_FLEET_SIZES = (3, 6, 12, 30, 81, 160)
CONTROL_FLEET_SIZES = (3, 6, 12, 25, 50, 100)
ORGANISATION_COUNTS = (100, 1000, 5000, 10000)
ADAPTER_COUNTS = (1000, 4000, 16000)
_IDLE_RUN_S = 20.0
_ITERATIONS = 5000
_DEFAULTS = "instance: {{id: {name}, data_centre: here}}\n"


def main() -> None:
    """Measure the points named on the command line, or all, and write them."""
    logs.configure("console", "error")
    measurements: dict[str, Callable[[], Any]] = {
        "control_by_instances": lambda: [
            _measure_idle_control(count) for count in CONTROL_FLEET_SIZES
        ],
        "configuration_by_organisations": lambda: [
            _measure_configuration(count, 10) for count in ORGANISATION_COUNTS
        ],
        "configuration_by_adapters": lambda: [
            _measure_configuration(10, count) for count in ADAPTER_COUNTS
        ],
        "credit": _measure_credit,
        "permit": _measure_permit,
        "record": _measure_record,
        "calls": lambda: asyncio.run(_measure_calls()),
        "gossip_by_instances": lambda: [
            _measure_gossip(count) for count in GOSSIP_FLEET_SIZES
        ],
    }
    points = json.loads(POINTS.read_text())
    for name in sys.argv[1:] or measurements:
        points[name] = measurements[name]()
    POINTS.write_text(json.dumps(points, indent=1, sort_keys=True) + "\n")


def _measure_gossip(count: int) -> dict[str, float]:
    exchanges, sent_bytes, core = large_fleet.measure_gossip(count, 4.0)
    return {
        "instances": count,
        "exchanges_per_s": exchanges,
        "bytes_per_s": sent_bytes,
        "cpu_s_per_s": core,
    }


def _measure_idle_control(count: int) -> dict[str, float]:
    """Return the traffic and processor time of an idle instance, per second."""
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run_idle_control(count))
    finally:
        loop.close()


async def _run_idle_control(count: int) -> dict[str, float]:
    names = tuple(f"node{number}" for number in range(count))
    world = SimulatedCluster(names, _DEFAULTS)
    await world.start()
    await asyncio.sleep(5)
    before = (len(world.peer_messages), world.platform.read_count, time.process_time())
    await asyncio.sleep(_IDLE_RUN_S)
    cpu = time.process_time() - before[2]
    messages = world.peer_messages[before[0] :]
    reads = world.platform.read_count - before[1]
    await world.close()
    instance_seconds = count * _IDLE_RUN_S
    return {
        "instances": count,
        "cpu_s_per_s": cpu / instance_seconds,
        "messages_per_s": len(messages) / instance_seconds,
        "bytes_per_s": sum(len(m) for m in messages) / instance_seconds,
        "reads_per_s": reads / _IDLE_RUN_S,
    }


def _measure_configuration(organisations: int, adapters: int) -> dict[str, float]:
    """Return the cost of a revision that changes one organisation."""
    manifest, parts = _build_documents(organisations, adapters, rate=100)
    changed, changed_parts = _build_documents(organisations, adapters, rate=101)
    cache = documents.PartCache()
    gc.collect()
    tracemalloc.start()
    configuration = documents.read_configuration(manifest, parts, cache)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_at = time.process_time()
    documents.read_configuration(changed, changed_parts, cache)
    cpu = time.process_time() - started_at
    return {
        "organisations": organisations,
        "adapters": adapters,
        "cpu_s_per_revision": cpu,
        "memory_bytes": float(memory),
        "manifest_bytes": float(len(manifest.content)),
        "changed_bytes": float(
            sum(len(p) for digest, p in changed_parts.items() if digest not in parts)
        ),
        "published_bytes": float(sum(len(part) for part in parts.values())),
        "keys": float(len(configuration.keys)),
    }


def _build_documents(
    organisations: int, adapters: int, rate: int
) -> tuple[Manifest, dict[str, bytes]]:
    from chiveslip.configuration import publish

    sections: dict[str, Any] = {
        "templates": {"plain": {"adapters": ["$organisation-*"]}},
        "organisations": {
            f"org{n}": {
                "template": "plain",
                "rate": rate if n == 0 else 100,
                "burst": 400,
                "keys": [{"id": "first", "hash": content_hash(str(n).encode())}],
            }
            for n in range(organisations)
        },
        "adapters": {
            f"org{n % organisations}-{n}": {
                "base_model": "base",
                "current": "1",
                "versions": ["1"],
            }
            for n in range(adapters)
        },
        "routes": {"routes": []},
    }
    with tempfile.TemporaryDirectory() as name:
        for section, value in sections.items():
            Path(name, f"{section}.yaml").write_text(json.dumps(value))
        built = publish.build(Path(name), 1)
    return built.manifest, built.parts


def _measure_cpu_s(action: Callable[[int], None]) -> float:
    for number in range(_ITERATIONS // 10):
        action(number)
    started_at = time.process_time()
    for number in range(_ITERATIONS // 10, _ITERATIONS):
        action(number)
    return (time.process_time() - started_at) / (_ITERATIONS - _ITERATIONS // 10)


def _measure_credit() -> dict[str, float]:
    buckets = OwnedBuckets(1.5)
    limits = AllowanceLimits(rate=1e9, burst=1e9)
    last_grant = [0]

    def request_credit(number: int) -> None:
        spent = (Portion(grant=last_grant[0], tokens=50.0),)
        request = CreditRequest(
            instance="node",
            incarnation="x",
            wanted=100.0,
            minimum=10.0,
            report=UsageReport(sequence=number + 1, spent=spent, refunds=spent),
        )
        answer = buckets.grant_credit(
            "org", limits, request, term=1, now=number * 0.1 + 1
        )
        last_grant[0] = answer.grant

    message = wire.CreditRequest(
        instance="entry-0123",
        organisation="organisation/org0123",
        view_revision=123456,
        wanted=123.5,
        least=12.5,
        sequence=1234,
        incarnation="0" * 32,
        spent=[wire.Refund(grant=1234, tokens=123.5)],
        refunds=[wire.Refund(grant=1234, tokens=12.5)],
    )
    reply = wire.CreditReply(outcome=1, grant=1234, tokens=123.5, view_revision=123456)
    return {
        "cpu_s": _measure_cpu_s(request_credit),
        "bytes": float(
            len(message.SerializeToString()) + len(reply.SerializeToString())
        ),
        "memory_bytes": _measure_memory_bytes(
            lambda n: _request_first_credit(buckets, limits, n), 1000
        ),
    }


def _request_first_credit(
    buckets: OwnedBuckets, limits: AllowanceLimits, number: int
) -> None:
    request = CreditRequest(
        instance="node",
        incarnation="x",
        wanted=100.0,
        minimum=10.0,
        report=UsageReport(sequence=1, spent=(), refunds=()),
    )
    buckets.grant_credit(f"org{number}", limits, request, term=1, now=1.0)


def _measure_memory_bytes(action: Callable[[int], None], count: int) -> float:
    gc.collect()
    tracemalloc.start()
    for number in range(count):
        action(number)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return memory / count


def _measure_permit() -> dict[str, float]:
    limits = EngineLimits(adapter_slots=32, concurrency=64, max_queue_length=256)
    scheduler = EngineScheduler("engine", limits, 1, 0.0)
    adapter = AdapterVersion("adapter", "1")
    report = LoadReport(incarnation="1", loaded=(adapter,), running={}, fencing=0)
    scheduler.process_report(report, 0.0, 0.0)

    def grant_and_end_permit(number: int) -> None:
        now = float(number)
        waiter = Waiter(
            request=f"call-{number}",
            organisation="org",
            instance="node",
            adapter=adapter,
            priority=5,
            weight=1.0,
            tokens=100.0,
            arrived_at=now,
            deadline=now + 30,
        )
        for action in scheduler.add_call(waiter, now):
            if isinstance(action, GrantPermit):
                scheduler.end_permit(action.permit.number, abandoned=False, now=now)

    request = wire.PermitRequest(
        instance="entry-0123",
        endpoint="engine-01234",
        adapter="org0123-adapter",
        version="12",
        organisation="org0123",
        priority=5,
        tokens=512,
        deadline_seconds=30,
        request="0" * 34,
        view_revision=123456,
        weight=1,
    )
    reply = wire.PermitReply(code=1000, permit=123456, engine_incarnation="0" * 32)
    end = wire.PermitEnd(instance="entry-0123", endpoint="engine-01234", permit=123456)
    size = sum(len(m.SerializeToString()) for m in (request, reply, end))
    return {"cpu_s": _measure_cpu_s(grant_and_end_permit), "bytes": float(size)}


def _measure_record() -> dict[str, float]:
    limits = RecordLimits(retention_s=600, max_records=10**6, max_answer_bytes=16384)
    records = Records(limits, float("-inf"))

    def place_claim(number: int) -> None:
        key = IdempotencyKey(
            organisation="org", key_hash=content_hash(str(number).encode())
        )
        records.place_claim(key, body_hash="0" * 64, claim_id=str(number), now=1.0)

    cpu = _measure_cpu_s(place_claim)
    request = wire.RememberRequest(
        instance="entry-0123",
        organisation="org0123",
        key_hash="0" * 64,
        body_hash="0" * 64,
        claim="0" * 32,
    )
    finish = wire.FinishRequest(
        instance="entry-0123",
        organisation="org0123",
        key_hash="0" * 64,
        claim="0" * 32,
        status=200,
        answer=b"x" * 100,
    )
    size = len(request.SerializeToString()) + len(finish.SerializeToString())
    memory = _measure_memory_bytes(lambda n: place_claim(n + 10**6), 1000)
    return {"cpu_s": cpu, "bytes": float(size), "memory_bytes": memory}


async def _measure_calls() -> dict[str, float]:
    """Return the processor time in seconds that an instance spends on calls."""
    with tempfile.TemporaryDirectory(prefix="chiveslip-bench-") as name:
        async with Processes(Path(name)) as processes:
            fleet = Fleet(
                directory=Path(name),
                processes=processes,
                engine_arguments=("--token-s", "0"),
            )
            await fleet.start()
            client = SimpleAsyncHTTPClient(force_instance=True, max_clients=64)
            idle = await _measure_cpu_and_wall_s(fleet, lambda: asyncio.sleep(5))
            short_streams = await _measure_cpu_and_wall_s(
                fleet, lambda: _run_streams(fleet, client, 150, 1)
            )
            long_streams = await _measure_cpu_and_wall_s(
                fleet, lambda: _run_streams(fleet, client, 150, 400)
            )
            client.close()
    idle_s = idle[0] / idle[1]
    call = (short_streams[0] - idle_s * short_streams[1]) / 150
    tokens = (long_streams[0] - idle_s * long_streams[1]) / 150
    return {
        "idle_cpu_s_per_s": idle_s,
        "completion_cpu_s": call,
        "token_cpu_s": max(tokens - call, 0.0) / 399,
    }


async def _measure_cpu_and_wall_s(
    fleet: Fleet, work: Callable[[], Any]
) -> tuple[float, float]:
    pid = fleet.processes.pid("entry-1")
    before, started_at = read_cpu_s(pid), time.perf_counter()
    await work()
    return read_cpu_s(pid) - before, time.perf_counter() - started_at


async def _run_streams(
    fleet: Fleet, client: SimpleAsyncHTTPClient, count: int, words: int
) -> None:
    caller = Caller(fleet)
    await caller.complete("entry-1", fleet.keys["north"], "north-logs@1")
    caller.close()
    body = {
        "model": "north-logs@1",
        "prompt": "x",
        "max_tokens": words,
        "words": words,
        "stream": True,
    }
    concurrency = asyncio.Semaphore(4)

    async def run_stream() -> None:
        async with concurrency:
            await client.fetch(
                HTTPRequest(
                    fleet.url("entry-1", "/v1/completions"),
                    method="POST",
                    headers={"Authorization": f"Bearer {fleet.keys['north']}"},
                    body=json.dumps(body),
                    request_timeout=60,
                )
            )

    await asyncio.gather(*(run_stream() for _ in range(count)))


if __name__ == "__main__":
    main()
