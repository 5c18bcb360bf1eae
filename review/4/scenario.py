"""A replica leaves without notice just after gateways were killed and started again."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

from deployment import Caller
from deployment import Deployment
from deployment import Gateway
from deployment import Message
from deployment import Record
from deployment import Replica
from deployment import run_deployment

GATEWAYS = 3
POLLS_PER_S = 60.0
TRAFFIC_S = 66.0
# Every gateway is killed once in each of these cycles, one after the other.
CYCLES_AT_S = tuple(5.0 + 10.0 * number for number in range(6))
# From the start of the killed process to the removal of a replica's entry.
REMOVED_AFTER_S = 0.85
# As the bounds of the deployment.
CONTACT_S = 3.0
DRAIN_S = 2.0
# The replica serves for the drain time and a little longer, and then exits.
SERVES_S = 4.0


class Polls:
    """Polls of callers at one gateway, over connections that they keep."""

    def __init__(self, deployment: Deployment, gateway: Gateway) -> None:
        self._deployment = deployment
        self._gateway = gateway
        self._random = random.Random(gateway.name)
        self._number = 0
        self.served = 0

    async def run(self) -> None:
        """Send polls until the end of the traffic."""
        idle: list[Caller] = []
        ends_at = time.monotonic() + TRAFFIC_S
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                await asyncio.sleep(self._random.expovariate(POLLS_PER_S))
                caller = idle.pop() if idle else None
                if caller is None:
                    caller = Caller(self._gateway, self._deployment.record)
                group.create_task(self._send(caller, idle))

    async def _send(self, caller: Caller, idle: list[Caller]) -> None:
        self._number += 1
        request_id = f"{self._gateway.name[-1]}{self._number:05d}"
        answer = await caller.send(
            request_id, "GET", "/status/1", deadline_s=0.6, X_Gateway=self._gateway.name
        )
        self.served += answer.status == 200
        idle.append(caller)


class Leaving:
    """Removes the entries of replicas, and finds the requests that come too late."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._gateways = {g.name: g for g in deployment.platform.gateways}
        self._number = 0
        self.late: list[str] = []
        self.removed = 0

    async def replace(self, replica: Replica) -> Replica:
        """Start a new replica, and remove the entry of an old one without notice."""
        record, store = self._deployment.record, self._deployment.store
        await store.remove(f"servers/{replica.identity}")
        removed_at = time.monotonic()
        self.removed += 1
        record.add(f"the entry of {replica.identity} is removed")
        replica.choose_fault = lambda request: self._check(request, replica, removed_at)
        asyncio.get_running_loop().call_later(SERVES_S, replica.close)
        await asyncio.sleep(SERVES_S + 0.5)
        self._number += 1
        new = Replica(f"n{self._number}", "kiosk", record, slots=6, queue=24)
        await new.start()
        await store.put(f"servers/{new.identity}", new.build_entry())
        return new

    def _check(self, request: Message, replica: Replica, removed_at: float) -> None:
        """Note a request that reaches a replica too late."""
        now = time.monotonic()
        gateway = self._gateways[request.headers["x-gateway"]]
        if now > removed_at + DRAIN_S and now > gateway.started_at + CONTACT_S:
            line = (
                f"{request.headers['x-request-id']} reaches {replica.identity} "
                f"{now - removed_at:.3f} s after its removal from {gateway.name}, "
                f"which runs for {now - gateway.started_at:.3f} s"
            )
            self._deployment.record.add(f"too late: {line}")
            self.late.append(line)


async def play(record: Record, *, has_trouble: bool) -> int:
    """Play the case; return the exit status of the script."""
    async with run_deployment(record, gateways=GATEWAYS, engines=1) as deployment:
        gateways = deployment.platform.gateways
        leaving = Leaving(deployment)
        polls = [Polls(deployment, gateway) for gateway in gateways]

        async def make_trouble() -> None:
            began_at = time.monotonic()
            replica = deployment.kiosks[0]
            for number, cycle_at in enumerate(CYCLES_AT_S):
                await asyncio.sleep(began_at + cycle_at - time.monotonic())
                gateway = gateways[number % GATEWAYS]
                started_at = time.monotonic()
                if has_trouble:
                    record.add(f"{gateway.name} is killed")
                    gateway.send_signal(signal.SIGKILL)
                    while gateway.started_at < started_at:
                        await asyncio.sleep(0.01)
                    started_at = gateway.started_at
                await asyncio.sleep(started_at + REMOVED_AFTER_S - time.monotonic())
                replica = await leaving.replace(replica)

        async with asyncio.TaskGroup() as group:
            group.create_task(make_trouble())
            for each in polls:
                group.create_task(each.run())
        served = sum(each.served for each in polls)
        record.add(f"{served} polls served, {leaving.removed} replicas removed")
        record.add(f"{len(leaving.late)} requests came too late")
        if served == 0 or leaving.removed == 0:
            return 2
        return int(len(leaving.late) > 0)


def main() -> None:
    """Run the case."""
    record = Record(Path(__file__).parent / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        status = asyncio.run(play(record, has_trouble=has_trouble))
    except Exception as error:
        record.add(f"could not run: {error!r}")
        status = 2
    sys.exit(status)


if __name__ == "__main__":
    main()
