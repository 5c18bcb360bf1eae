"""Run the soak: ``python -m soak --seeds 5 --seconds 20 [--first-seed N]``.

Starts three gateways as processes between stand-ins, behind proxies, and brings
overlapping faults about from outside. Ends with 1 if a promise was not kept; the logs
of such a seed are kept. Signals go only to processes that it started.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.iostream import StreamClosedError

from local.processes import free_ports
from soak import checks
from soak.checks import Asked
from soak.gateways import GatewayProcess
from soak.gateways import Ports
from soak.proxy import Mode
from soak.proxy import Proxy
from testing.platform.published import build_configuration
from testing.platform.standins import ReplicaStandIn
from testing.platform.standins import StoreStandIn

SEED_PEERS = 3
CLIENTS = 12
KEYS = "soak-key-"
ADAPTERS = 8
PATHS = ("/once/x", "/draft/x", "/urgent/x")
# Time for what was under way to end, and for a fleet without faults to serve again.
SETTLE_S = 2.0
RECOVERY_S = 15.0
LONGEST_ANSWER_S = 6.0


def published(version: int, keys: list[str]) -> dict[str, Any]:
    """Return what the operator publishes."""
    return build_configuration(
        version, keys=keys, slots=64, adapter_slots=4, connections=100
    )


class Soak:
    """One seed."""

    def __init__(self, seed: int, folder: Path, gateways: int) -> None:
        self._random = random.Random(seed)
        self._store = StoreStandIn()
        self._replicas = [ReplicaStandIn(name) for name in ("k1", "k2", "e1", "e2")]
        self._proxies = [Proxy(replica.port) for replica in self._replicas]
        ports = _free_ports(gateways)
        seeds = ",".join(f"127.0.0.1:{port.peers}" for port in ports[:SEED_PEERS])
        self._gateways = [
            GatewayProcess(f"g{n}", port, seeds, self._store.port, folder)
            for n, port in enumerate(ports)
        ]
        self._keys = [f"{KEYS}0"]
        self._withdrawn: dict[str, float] = {}
        self._asked: list[Asked] = []
        self._version = 1
        self._client = AsyncHTTPClient(force_instance=True, max_clients=200)

    async def play(self, seconds: float) -> list[str]:
        """Play faults for a while, and return what was not kept."""
        try:
            return await self._play(seconds)
        finally:
            self._close()

    async def _play(self, seconds: float) -> list[str]:
        for replica, proxy in zip(self._replicas, self._proxies, strict=True):
            await proxy.start()
            service = "kiosk" if replica.identity.startswith("k") else "llm"
            entry = replica.build_entry(service, address=f"127.0.0.1:{proxy.port}")
            await self._store.put(f"servers/{replica.identity}", entry)
        await self._store.put("op/config", published(self._version, self._keys))
        for gateway in self._gateways:
            gateway.start()
        await self._until_served()
        callers = [asyncio.create_task(self._call(n)) for n in range(CLIENTS)]
        faults = [asyncio.create_task(self._fault()) for _ in range(2)]
        await asyncio.sleep(seconds)
        await _end(faults)
        self._heal()
        found = [] if await self._until_served() else ["not served after the faults"]
        await _end(callers)
        await asyncio.sleep(SETTLE_S)
        seen = [
            each for replica in self._replicas for each in replica.received_requests
        ]
        served = sum(each.status == 200 for each in self._asked)
        print(f"  {len(self._asked)} requests, {served} served, {len(seen)} runs")
        return found + checks.violations(self._asked, seen, self._withdrawn, KEYS)

    async def _call(self, number: int) -> None:
        count = 0
        while True:
            count += 1
            await self._ask(f"c{number}-{count}", self._random.choice(PATHS))
            await asyncio.sleep(self._random.random() * 0.1)

    async def _ask(self, identity: str, path: str) -> Asked:
        # Withdrawn keys go on being used.
        known = self._keys + list(self._withdrawn)[-1:]
        asked = Asked(
            identity=identity,
            path=path,
            key=self._random.choice(known),
            at=time.monotonic(),
        )
        self._asked.append(asked)
        gateway = self._random.choice(self._gateways)
        headers = {
            "Host": "kiosk.example",
            "X-Request-Id": identity,
            "X-Deadline-Remaining": "4000",
            "Authorization": f"Bearer {asked.key}",
        }
        if not path.startswith("/once"):
            headers["X-Model"] = f"m/a{self._random.randrange(ADAPTERS)}"
        try:
            answer = await self._client.fetch(
                f"http://127.0.0.1:{gateway.ports.callers}{path}",
                headers=headers,
                raise_error=False,
                request_timeout=LONGEST_ANSWER_S,
            )
        except (OSError, HTTPClientError, StreamClosedError):
            # A broken connection promises nothing; the status stays 0.
            return asked
        # 599 is the client library's word for a broken connection.
        asked.status = 0 if answer.code == 599 else answer.code
        asked.body = answer.body if asked.status else b""
        return asked

    async def _fault(self) -> None:
        acts = [self._freeze, self._kill, self._stop, self._store_away]
        acts += [self._harm_path, self._harm_path, self._change_keys]
        while True:
            await asyncio.sleep(self._random.random())
            await self._random.choice(acts)()

    async def _freeze(self) -> None:
        gateway = self._random.choice(self._gateways)
        gateway.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(self._random.random() * 3)
        finally:
            gateway.signal(signal.SIGCONT)

    async def _kill(self) -> None:
        gateway = self._random.choice(self._gateways)
        gateway.signal(signal.SIGCONT)
        gateway.signal(signal.SIGKILL)
        await asyncio.sleep(0.2)
        gateway.start()

    async def _stop(self) -> None:
        gateway = self._random.choice(self._gateways)
        gateway.signal(signal.SIGTERM)
        await asyncio.sleep(self._random.random() * 5)
        gateway.start()

    async def _store_away(self) -> None:
        self._store.is_down = True
        try:
            await asyncio.sleep(self._random.random() * 2)
        finally:
            if self._random.random() < 0.3:
                self._store.drop_history()
            self._store.is_down = False

    async def _harm_path(self) -> None:
        proxy = self._random.choice(self._proxies)
        if self._random.random() < 0.3:
            proxy.reset_all()
            return
        proxy.mode = self._random.choice([Mode.DELAY, Mode.SILENCE, Mode.ONE_WAY])
        try:
            await asyncio.sleep(self._random.random() * 2)
        finally:
            proxy.mode = Mode.PASS
            # Bytes were dropped, so what is open is of no use.
            proxy.reset_all()

    async def _change_keys(self) -> None:
        self._version += self._random.randrange(1, 4)
        self._withdrawn[self._keys.pop()] = time.monotonic()
        self._keys.append(f"{KEYS}{self._version}")
        await self._store.put("op/config", published(self._version, self._keys))

    def _heal(self) -> None:
        self._store.is_down = False
        for proxy in self._proxies:
            proxy.mode = Mode.PASS
        for gateway in self._gateways:
            gateway.signal(signal.SIGCONT)
            gateway.start()

    async def _until_served(self) -> bool:
        ends_at = time.monotonic() + RECOVERY_S
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            for gateway in self._gateways:
                gateway.start()
            identity = f"p{len(self._asked)}-{number}"
            answers = [await self._ask(f"{identity}-{path}", path) for path in PATHS]
            if all(answer.status == 200 for answer in answers):
                return True
            await asyncio.sleep(0.1)
        return False

    def _close(self) -> None:
        self._client.close()
        for gateway in self._gateways:
            gateway.kill()
        for proxy in self._proxies:
            proxy.close()
        self._store.server.stop()
        for replica in self._replicas:
            replica.server.stop()


async def _end(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _free_ports(gateways: int) -> list[Ports]:
    names = ("callers", "readiness", "peers", "metrics")
    free = iter(free_ports(gateways * len(names)))
    return [Ports(**{name: next(free) for name in names}) for _ in range(gateways)]


async def _play(seed: int, folder: Path, gateways: int, seconds: float) -> list[str]:
    # The stand-ins listen on the running event loop.
    return await Soak(seed, folder, gateways).play(seconds)


def main() -> int:
    """Play the seeds of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--folder", type=Path, default=None)
    options = parser.parse_args()
    # Stand-ins refuse and break off as they are told; that is no news.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    failed = []
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        base = options.folder or Path(tempfile.mkdtemp(prefix="soak-"))
        folder = base / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        print(f"seed {seed}, logs in {folder}")
        found = asyncio.run(_play(seed, folder, options.gateways, options.seconds))
        for line in found:
            print(f"  NOT KEPT: {line}")
        if found:
            failed.append(seed)
    print(
        f"{options.seeds - len(failed)} of {options.seeds} seeds kept, failed: {failed}"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
