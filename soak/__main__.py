"""Run the soak test: ``python -m soak --seeds 5 --seconds 20 [--first-seed N]``.

Starts three gateway processes between stand-ins for the store and the model replicas,
with a proxy between each gateway and each replica, and injects overlapping faults.
Exits with 1 if a seed shows a violation; the logs of all seeds are kept. Signals are
sent only to processes that the soak started. ``--without NAME`` switches a mechanism
off.
"""

from __future__ import annotations

import argparse
import asyncio
import bisect
import logging
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import attrs
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.iostream import StreamClosedError

from local.ports import reserve_port
from soak import checks
from soak import endpoint_checks
from soak.checks import SentRequest
from soak.endpoint_checks import CutTime
from soak.endpoint_checks import LimitedTime
from soak.endpoint_checks import RemovedTime
from soak.endpoint_checks import SentArrival
from soak.gateways import GatewayProcess
from soak.gateways import Ports
from soak.proxy import Mode
from soak.proxy import Proxy
from soak.switched_off import SWITCHES
from testing.platform.published import build_configuration
from testing.platform.standins import Arrival
from testing.platform.standins import BrittleTime
from testing.platform.standins import ReplicaStandIn
from testing.platform.standins import StoreStandIn

SEED_COUNT = 3
CLIENTS = 12
KEY_PREFIX = "soak-key-"
ADAPTERS = 8
PATHS = ("/once/x", "/draft/x", "/urgent/x")
# Time for running requests to end.
SETTLE_S = 2.0
# Time within which every path is served again after the last fault.
RECOVERY_S = 15.0
# The gateway ends each answer by the deadline; frozen ones do so later.
DEADLINE_S = 4.0
REQUEST_TIMEOUT_S = 20.0
# Slots of a plain endpoint, so few that the callers fill them while it is brittle.
PLAIN_SLOTS = 2
BRITTLE_ANSWER_S = 0.2
# Time that endpoints grant before they count what they refuse.
BRITTLE_NOTICE_S = 2.0
REFUSING_S = 0.3
# Time for which a replica serves after its entry was removed.
REMOVED_S = endpoint_checks.DRAIN_S + 1.5
# Within this time every gateway that reads the store has a change.
MAX_ACKNOWLEDGED_S = 1.0
# Far below what the machines of the users have, far above what a gateway needs.
MAX_MEMORY_BYTES = 150 << 20
MEMORY_INTERVAL_S = 0.1
# Crowds of testing.platform.crowd that send nothing that a replica may receive.
CROWDS = ("large-chunks", "one-chunk", "announced-length")
CROWD_S = 3.0
MAX_CROWD_PAUSE_S = 3.0
# Longer than the window in which requests to a limited endpoint are counted.
LIMITED_S = 5.0


def operator_configuration(version: int, keys: list[str]) -> dict[str, Any]:
    """Return a version of the configuration that the operator publishes."""
    return build_configuration(
        version, keys=keys, slots=64, adapter_slots=4, connections=100
    )


class Soak:
    """Gateways, stand-ins, clients and faults of one seed."""

    def __init__(self, seed: int, folder: Path, gateways: int, without: str) -> None:
        self._random = random.Random(seed)
        self._folder = folder
        self._without = without
        self._ports = _allocate_ports(gateways)
        self._store = StoreStandIn()
        self._replicas = [ReplicaStandIn(name) for name in ("k1", "k2", "e1", "e2")]
        self._proxies: dict[str, dict[str, Proxy]] = {}
        # Gateways by the local ports of the connections to replicas made for them last.
        self._senders: dict[int, str] = {}
        self._gateways: list[GatewayProcess] = []
        self._keys = [f"{KEY_PREFIX}0"]
        self._withdrawn: dict[str, float] = {}
        self._requests: list[SentRequest] = []
        self._brittle_times: list[list[BrittleTime]] = []
        self._limited_times: list[LimitedTime] = []
        self._removed_times: list[RemovedTime] = []
        # Whether no fault of the store may begin.
        self._keeps_store = False
        # When the store was away, and when it had faults.
        self._store_faults: list[tuple[float, float]] = []
        self._cuts: list[CutTime] = []
        self._cut_gateway = ""
        self._version = 1
        self._entries: dict[str, dict[str, Any]] = {}
        self._client = AsyncHTTPClient(force_instance=True, max_clients=200)

    async def run(self, seconds: float) -> list[str]:
        """Inject faults for `seconds` and return the violations found."""
        try:
            return await self._run(seconds)
        finally:
            self._close()

    async def _run(self, seconds: float) -> list[str]:
        for replica in self._replicas:
            replica.find_source = self._find_sender
            self._update_entry(replica)
        await self._write_store()
        seeds = ",".join(f"127.0.0.1:{port.peers}" for port in self._ports[:SEED_COUNT])
        for number, ports in enumerate(self._ports):
            name = f"g{number}"
            store_port = self._store.add_view(await self._start_proxies(name))
            self._gateways.append(
                GatewayProcess(
                    name, ports, seeds, store_port, self._folder, self._without
                )
            )
        for gateway in self._gateways:
            gateway.start()
        await self._wait_until_served()
        clients = [asyncio.create_task(self._run_client(n)) for n in range(CLIENTS)]
        faults = [asyncio.create_task(self._inject_faults()) for _ in range(2)]
        faults.append(asyncio.create_task(self._inject_response_faults()))
        faults.append(asyncio.create_task(self._inject_endpoint_faults()))
        faults.append(asyncio.create_task(self._inject_crowds()))
        meter = asyncio.create_task(self._measure_memory())
        await asyncio.sleep(seconds)
        await _cancel(faults)
        await self._clear_faults()
        violations = (
            []
            if await self._wait_until_served()
            else ["requests are not served after the faults ended"]
        )
        await _cancel([*clients, meter])
        await asyncio.sleep(SETTLE_S)
        received = [
            request
            for replica in self._replicas
            for request in replica.received_requests
        ]
        served = sum(each.status == 200 for each in self._requests)
        print(
            f"  {len(self._requests)} requests, {served} served, {len(received)} runs"
        )
        violations += checks.find_violations(
            self._requests, received, self._withdrawn, KEY_PREFIX, DEADLINE_S
        )
        violations += [
            f"{gateway.name} held {gateway.most_memory_bytes >> 20} MiB"
            for gateway in self._gateways
            if gateway.most_memory_bytes > MAX_MEMORY_BYTES
        ]
        return violations + self._find_endpoint_violations()

    async def _measure_memory(self) -> None:
        while True:
            for gateway in self._gateways:
                gateway.measure_memory()
            await asyncio.sleep(MEMORY_INTERVAL_S)

    def _find_endpoint_violations(self) -> list[str]:
        requests = {each.request_id: each for each in self._requests}
        arrivals = [
            SentArrival(
                endpoint=replica.identity,
                arrival=arrival,
                sender=arrival.source,
                excused_until=self._excused_until(replica.identity, arrival),
                asked_at=requests[arrival.request_id].sent_at,
            )
            for replica in self._replicas
            for arrival in replica.arrivals
            # A gateway that learns of a replica from a peer uses the peer's proxy.
            if arrival.source == requests[arrival.request_id].gateway
        ]
        owed = [each for each in self._requests if each.key not in self._withdrawn]
        return [
            *endpoint_checks.find_requests_to_leaving(self._requests, arrivals),
            *endpoint_checks.find_requests_in_rest(arrivals),
            *endpoint_checks.find_requests_to_removed(
                filter(self._was_acknowledged, self._removed_times),
                arrivals,
                self._was_in_touch,
            ),
            *endpoint_checks.find_requests_over_limits(
                self._limited_times, self._requests, arrivals
            ),
            *endpoint_checks.find_falls(self._brittle_times, self._was_in_touch),
            *endpoint_checks.find_unserved_cuts(owed, self._cuts, self._was_disturbed),
        ]

    def _find_sender(self, port: int) -> str:
        return self._senders.get(port, "")

    def _excused_until(self, replica: str, arrival: Arrival) -> float:
        """Return when the sender of a request, or its path, was disturbed last."""
        if arrival.source not in self._proxies:
            return arrival.at
        times = self._gateway(arrival.source).disturbances
        harms = self._proxies[arrival.source][replica].harms
        return max(_last_before(times, arrival.at), _last_before(harms, arrival.at))

    def _was_in_touch(self, arrival: Arrival) -> bool:
        since = arrival.at - endpoint_checks.CONTACT_S
        is_known = arrival.source in self._proxies
        return is_known and not self._was_disturbed(arrival.source, since, arrival.at)

    def _was_acknowledged(self, removed: RemovedTime) -> bool:
        """Return whether the store had no fault around a removal."""
        since = removed.begin - endpoint_checks.CONTACT_S
        until = removed.begin + MAX_ACKNOWLEDGED_S
        return not any(
            begin <= until and end >= since for begin, end in self._store_faults
        )

    def _was_disturbed(self, gateway: str, begin: float, end: float) -> bool:
        return self._gateway(gateway).was_disturbed(begin, end)

    def _gateway(self, name: str) -> GatewayProcess:
        return self._gateways[int(name.removeprefix("g"))]

    async def _start_proxies(self, gateway: str) -> dict[str, str]:
        """Start the proxies of a gateway; return the addresses that they replace."""
        addresses = {}
        self._proxies[gateway] = {}
        reserved = {port for ports in self._ports for port in attrs.astuple(ports)}
        for replica in self._replicas:
            proxy = Proxy(
                replica.port,
                lambda port: self._senders.update({port: gateway}),
                reserved,
            )
            await proxy.start()
            self._proxies[gateway][replica.identity] = proxy
            addresses[f"127.0.0.1:{replica.port}"] = f"127.0.0.1:{proxy.port}"
        return addresses

    def _update_entry(self, replica: ReplicaStandIn) -> None:
        is_plain = replica.identity.startswith("k")
        changes = {"slots": PLAIN_SLOTS} if is_plain else {}
        self._entries[f"servers/{replica.identity}"] = replica.build_entry(
            "kiosk" if is_plain else "llm", **changes
        )

    async def _run_client(self, number: int) -> None:
        count = 0
        while True:
            count += 1
            await self._send_request(f"c{number}-{count}", self._random.choice(PATHS))
            await asyncio.sleep(self._random.random() * 0.1)

    async def _send_request(self, request_id: str, path: str) -> SentRequest:
        # Includes the key withdrawn last, so that its refusal is checked.
        keys_in_use = self._keys + list(self._withdrawn)[-1:]
        request = SentRequest(
            request_id=request_id,
            path=path,
            key=self._random.choice(keys_in_use),
            sent_at=time.monotonic(),
        )
        self._requests.append(request)
        gateway = self._random.choice(self._gateways)
        request.gateway = gateway.name
        headers = {
            "Host": "kiosk.example",
            "X-Request-Id": request_id,
            "X-Deadline-Remaining": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {request.key}",
        }
        if not path.startswith("/once"):
            headers["X-Model"] = f"m/a{self._random.randrange(ADAPTERS)}"
        try:
            response = await self._client.fetch(
                f"http://127.0.0.1:{gateway.ports.callers}{path}",
                headers=headers,
                raise_error=False,
                request_timeout=REQUEST_TIMEOUT_S,
            )
        except (OSError, HTTPClientError, StreamClosedError):
            # A broken connection says nothing about the outcome; the status stays 0.
            return request
        finally:
            request.took_s = time.monotonic() - request.sent_at
            request.frozen_s = gateway.frozen_s(request.sent_at)
        # Tornado's client reports a broken connection as status 599.
        request.status = 0 if response.code == 599 else response.code
        request.body = response.body if request.status else b""
        if request.status and "Server-Leaving" in response.headers:
            request.leaving = (
                response.headers["X-Server-Signature"],
                int(response.headers["X-Replica-Start"]),
            )
        if request.status and "Server-Limit" in response.headers:
            request.limited = response.headers["X-Server-Signature"]
        return request

    async def _inject_faults(self) -> None:
        faults = [
            self._freeze_gateway,
            self._kill_gateway,
            self._stop_gateway,
            self._interrupt_store,
            self._return_store,
        ]
        faults += [
            self._disturb_connections,
            self._disturb_connections,
            self._replace_key,
        ]
        while True:
            await asyncio.sleep(self._random.random())
            await self._random.choice(faults)()

    async def _freeze_gateway(self) -> None:
        gateway = self._random.choice(self._gateways)
        gateway.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(self._random.random() * 3)
        finally:
            gateway.signal(signal.SIGCONT)

    async def _kill_gateway(self) -> None:
        gateway = self._random.choice(self._gateways)
        gateway.signal(signal.SIGCONT)
        gateway.signal(signal.SIGKILL)
        await asyncio.sleep(0.2)
        gateway.start()

    async def _stop_gateway(self) -> None:
        gateway = self._random.choice(self._gateways)
        gateway.signal(signal.SIGTERM)
        await asyncio.sleep(self._random.random() * 5)
        gateway.start()

    async def _interrupt_store(self) -> None:
        if self._keeps_store:
            return
        begin = time.monotonic()
        self._store.is_down = True
        try:
            await asyncio.sleep(self._random.random() * 2)
        finally:
            if self._random.random() < 0.3:
                self._store.drop_history()
            self._store.is_down = False
            self._store_faults.append((begin, time.monotonic()))

    async def _return_store(self) -> None:
        """Let the store return from an older copy; its writers write again."""
        if self._keeps_store:
            return
        begin = time.monotonic()
        copy = self._store.copy()
        await asyncio.sleep(self._random.random() * 3)
        self._store.is_down = True
        try:
            await asyncio.sleep(self._random.random())
            await self._store.return_from_copy(copy)
        finally:
            self._store.is_down = False
            self._store_faults.append((begin, time.monotonic()))
        await asyncio.sleep(self._random.random())
        await self._write_store()

    async def _write_store(self) -> None:
        for key, entry in self._entries.items():
            await self._store.put(key, entry)
        await self._store.put(
            "op/config", operator_configuration(self._version, self._keys)
        )

    async def _disturb_connections(self) -> None:
        gateways = [name for name in self._proxies if name != self._cut_gateway]
        proxies = self._proxies[self._random.choice(gateways)]
        proxy = self._random.choice(list(proxies.values()))
        if self._random.random() < 0.3:
            proxy.reset_all()
            return
        proxy.mode = self._random.choice([Mode.DELAY, Mode.SILENCE, Mode.ONE_WAY])
        try:
            await asyncio.sleep(self._random.random() * 2)
        finally:
            proxy.mode = Mode.PASS
            # Open connections have lost bytes and cannot be used any longer.
            proxy.reset_all()

    async def _inject_endpoint_faults(self) -> None:
        faults = [
            self._leave_replica,
            self._rest_replica,
            self._make_brittle,
            self._remove_entry,
            self._fail_without_end,
            self._name_limit,
            self._lose_paths,
        ]
        while True:
            # Each seed begins with another one, so that short runs have all of them.
            self._random.shuffle(faults)
            for fault in faults:
                await asyncio.sleep(self._random.random())
                await fault()

    async def _leave_replica(self) -> None:
        """Let a replica say that it leaves, and start again in its place."""
        replica = self._random.choice(self._replicas)
        replica.answer_headers = {
            "Server-Leaving": "1",
            "X-Replica-Start": str(replica.starts),
        }
        try:
            await asyncio.sleep(1.0 + self._random.random())
        finally:
            replica.restart_in_place()
            self._update_entry(replica)
        await self._write_store()

    async def _rest_replica(self) -> None:
        replica = self._random.choice(self._replicas)
        replica.rest_s = 1.0 + self._random.random()
        rest_s = replica.rest_s
        try:
            await asyncio.sleep(REFUSING_S)
        finally:
            replica.rest_s = 0.0
        await asyncio.sleep(rest_s)

    async def _remove_entry(self) -> None:
        """Let a replica leave without notice, and start again in its place.

        The store has no faults from before, so that the removal binds the gateways.
        """
        replica = self._random.choice(self._replicas)
        self._keeps_store = True
        try:
            await asyncio.sleep(endpoint_checks.CONTACT_S)
            await self._serve_removed(replica)
        finally:
            self._keeps_store = False
        await self._write_store()

    async def _serve_removed(self, replica: ReplicaStandIn) -> None:
        key = f"servers/{replica.identity}"
        del self._entries[key]
        begin = time.monotonic()
        try:
            await self._store.remove(key)
            await asyncio.sleep(REMOVED_S)
        finally:
            self._removed_times.append(
                RemovedTime(
                    endpoint=replica.identity, begin=begin, end=time.monotonic()
                )
            )
            replica.restart_in_place()
            self._update_entry(replica)

    async def _fail_without_end(self) -> None:
        for replica in self._replicas:
            replica.endless_failures = self._random.random()
        try:
            await asyncio.sleep(1.0 + self._random.random())
        finally:
            for replica in self._replicas:
                replica.endless_failures = 0.0

    async def _inject_crowds(self) -> None:
        """Let crowds hold bodies open that stop short of their end."""
        while True:
            await asyncio.sleep(self._random.random() * MAX_CROWD_PAUSE_S)
            gateway = self._random.choice(self._gateways)
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "testing.platform.crowd"),
                *(self._random.choice(CROWDS), str(gateway.ports.callers)),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
            )
            try:
                await asyncio.sleep(CROWD_S)
            finally:
                process.kill()
                await process.wait()

    async def _make_brittle(self) -> None:
        replicas = [each for each in self._replicas if each.identity.startswith("k")]
        judged_from = time.monotonic() + BRITTLE_NOTICE_S
        for replica in replicas:
            replica.brittle = BrittleTime(
                max_refusals_per_s=self._random.randrange(1, 3),
                room=PLAIN_SLOTS,
                judged_from=judged_from,
                answer_s=BRITTLE_ANSWER_S,
            )
        self._brittle_times.append([each.brittle for each in replicas if each.brittle])
        try:
            await asyncio.sleep(BRITTLE_NOTICE_S + 1.0 + self._random.random())
        finally:
            for replica in replicas:
                replica.brittle = None

    async def _name_limit(self) -> None:
        """Let a replica name a limit of requests a second."""
        replica = self._random.choice(self._replicas)
        begin = time.monotonic()
        limit = 0.5 + self._random.random()
        replica.answer_headers = {"Server-Limit": f"{limit:.2f}"}
        try:
            await asyncio.sleep(LIMITED_S)
        finally:
            replica.answer_headers = {}
            self._limited_times.append(
                LimitedTime(
                    endpoint=replica.identity,
                    requests_per_s=limit,
                    begin=begin,
                    end=time.monotonic(),
                )
            )

    async def _lose_paths(self) -> None:
        """Let a gateway reach no replica for some seconds."""
        name = self._random.choice(list(self._proxies))
        begin = time.monotonic()
        self._cut_gateway = name
        kind = self._random.choice(["hang", "reset", "refuse new ones"])
        for proxy in self._proxies[name].values():
            if kind == "hang":
                proxy.let_new_hang()
                proxy.mode = Mode.SILENCE
            else:
                proxy.refuse_new()
            if kind == "reset":
                proxy.reset_all()
        try:
            await asyncio.sleep(endpoint_checks.CONTACT_S + 1.0 + self._random.random())
        finally:
            self._cuts.append(CutTime(gateway=name, begin=begin, end=time.monotonic()))
            await asyncio.shield(self._restore_paths(name))

    async def _restore_paths(self, name: str) -> None:
        for proxy in self._proxies[name].values():
            await proxy.start()
            if proxy.mode is not Mode.PASS:
                proxy.mode = Mode.PASS
                proxy.reset_all()
        self._cut_gateway = ""

    async def _inject_response_faults(self) -> None:
        while True:
            await asyncio.sleep(self._random.random())
            await self._end_responses_wrongly()

    async def _end_responses_wrongly(self) -> None:
        standin = self._random.choice([self._store, *self._replicas])
        if standin is self._store and self._keeps_store:
            return
        begin = time.monotonic()
        standin.response_faults.share = self._random.random()
        try:
            await asyncio.sleep(self._random.random() * 2)
        finally:
            standin.response_faults.share = 0.0
            if standin is self._store:
                self._store_faults.append((begin, time.monotonic()))

    async def _replace_key(self) -> None:
        self._version += self._random.randrange(1, 4)
        self._withdrawn[self._keys.pop()] = time.monotonic()
        self._keys.append(f"{KEY_PREFIX}{self._version}")
        await self._store.put(
            "op/config", operator_configuration(self._version, self._keys)
        )

    async def _clear_faults(self) -> None:
        self._store.is_down = False
        for standin in (self._store, *self._replicas):
            standin.response_faults.share = 0.0
        for name in self._proxies:
            await self._restore_paths(name)
        # A replica that was about to start again has not been listed yet.
        await self._write_store()
        for gateway in self._gateways:
            gateway.signal(signal.SIGCONT)
            gateway.start()

    async def _wait_until_served(self) -> bool:
        deadline = time.monotonic() + RECOVERY_S
        attempt = 0
        while time.monotonic() < deadline:
            attempt += 1
            for gateway in self._gateways:
                gateway.start()
            request_id = f"p{len(self._requests)}-{attempt}"
            responses = [
                await self._send_request(f"{request_id}-{path}", path) for path in PATHS
            ]
            if all(response.status == 200 for response in responses):
                return True
            await asyncio.sleep(0.1)
        return False

    def _close(self) -> None:
        self._client.close()
        for gateway in self._gateways:
            gateway.kill()
        for proxies in self._proxies.values():
            for proxy in proxies.values():
                proxy.close()
        self._store.server.stop()
        for replica in self._replicas:
            replica.server.stop()


def _last_before(times: list[float], time_s: float) -> float:
    """Return the last of some ascending times that is not after another one."""
    place = bisect.bisect_right(times, time_s)
    return times[place - 1] if place else float("-inf")


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _allocate_ports(gateways: int) -> list[Ports]:
    names = ("callers", "readiness", "peers", "metrics")
    free = iter([reserve_port() for _ in range(gateways * len(names))])
    return [Ports(**{name: next(free) for name in names}) for _ in range(gateways)]


async def _run(
    seed: int, folder: Path, gateways: int, seconds: float, without: str
) -> list[str]:
    # The stand-ins bind to the event loop that runs when they are created.
    return await Soak(seed, folder, gateways, without).run(seconds)


def main() -> int:
    """Run the seeds given on the command line and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--folder", type=Path, default=None)
    parser.add_argument("--without", choices=SWITCHES, default="")
    options = parser.parse_args()
    # The stand-ins refuse and truncate requests on purpose; don't log these.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    failed_seeds = []
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        parent = options.folder or Path(tempfile.mkdtemp(prefix="soak-"))
        folder = parent / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        print(f"seed {seed}: logs in {folder}")
        violations = asyncio.run(
            _run(seed, folder, options.gateways, options.seconds, options.without)
        )
        for violation in violations:
            print(f"  VIOLATION: {violation}")
        if violations:
            failed_seeds.append(seed)
    print(
        f"{options.seeds - len(failed_seeds)} of {options.seeds} seeds passed, "
        f"failed: {failed_seeds}"
    )
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
