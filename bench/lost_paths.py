"""Plays instances that lose their paths to all endpoints, in virtual time.

``python -m bench.lost_paths [--plots DIR]`` prints a table (fixed seed). Evidence,
probing and the choice between this instance and its peers are the product's own;
connections, endpoints and the way to a peer are simulated.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import enum
import itertools
import logging
import math
import random
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Annotated
from typing import final

import attrs
import cappa
import looptime
import structlog

from bench.plots import plot_shares
from chiveslip.clock import Clock
from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import Exchange
from chiveslip.dispatch.connection import ResponseHead
from chiveslip.dispatch.outgoing import OutgoingRequest
from chiveslip.dispatch.response_end import ResponseEnd
from chiveslip.dispatch.response_limits import ResponseLimits
from chiveslip.fleet.gossip_schedule import GossipScheduleSettings
from chiveslip.fleet.gossip_schedule import schedule_for
from chiveslip.gateway.delivery import Deliveries
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.forwarded import MAX_FORWARDED_REQUESTS
from chiveslip.gateway.path_probing import PathProber
from chiveslip.gateway.path_probing import WatchedConnector
from chiveslip.gateway.paths import EndpointPaths
from chiveslip.gateway.rooms import EndpointRooms
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address

SEED = 20261204
SIZES = (6, 91, 195, 1036)
SERVICES = ("kiosk", "llm", "files")
ENDPOINTS_PER_SERVICE = 5
CUT_AT_S = 2.0
CUT_S = 8.0
# Time after the begin of a cut from which the users' rule holds.
CONTACT_S = 3.0
GOAL = 0.95
EARLY_GOAL = 0.8
_ANSWER_S = 0.08
_PATH_S = 0.001
_PEER_S = 0.002
_CONNECT_TIMEOUT_S = 1.0
# TCP_USER_TIMEOUT of connections to endpoints.
_LOST_BYTES_S = 2.0
_DEADLINE_S = 4.0
_MAX_ATTEMPTS = 4
_MAX_RUNS = 2
_MAX_PEERS = 6
_ROUND_S = 0.25
_SCHEDULE = GossipScheduleSettings(
    interval_s=_ROUND_S,
    fan_out=6,
    heartbeat_timeout_s=1.5,
    batch_delay_s=0.35,
    max_watch_s=1.0,
)


class Cut(enum.Enum):
    """What happens to the connections of instances that are cut off."""

    HANGING = "hanging"
    """New ones hang, and open ones lose their bytes."""
    RESET = "reset"
    """New ones are refused, and open ones are reset."""
    NEW_REFUSED = "new refused"
    """New ones are refused, and open ones live on."""


@attrs.frozen(kw_only=True)
class Scenario:
    """A fleet and the cut that is played against it.

    Attributes
    ----------
    cut_share
        Share of the instances that is cut off; at least one.
    requests_per_s
        Requests a second at each instance.
    hands_over
        Whether requests are handed over to peers.
    """

    instances: int
    cut: Cut = Cut.HANGING
    cut_share: float = 0.0
    requests_per_s: float = 5.0
    hands_over: bool = True


@attrs.define
class Served:
    """Requests by what became of their first try."""

    sent: int = 0
    served: int = 0

    @property
    def share(self) -> float:
        """Share that was served."""
        return self.served / max(self.sent, 1)


@attrs.define
class Result:
    """First tries at instances that are cut off, and at the others.

    Attributes
    ----------
    early, later
        Those sent in the first `CONTACT_S` of the cut, and after that.
    after
        Those sent after the cut.
    others
        Those sent at the other instances during the cut.
    """

    early: Served = attrs.field(factory=Served)
    later: Served = attrs.field(factory=Served)
    after: Served = attrs.field(factory=Served)
    others: Served = attrs.field(factory=Served)


class _LoopClock(Clock):
    def now(self) -> float:
        return asyncio.get_running_loop().time()


@final
class _Path(Exchange):
    """A connection; the model sends its requests without it."""

    def __init__(self, *, reused: bool) -> None:
        self._reused = reused

    @property
    def reused(self) -> bool:
        return self._reused

    @property
    def end(self) -> ResponseEnd | None:
        return None

    async def send(self, outgoing: OutgoingRequest, limits: ResponseLimits) -> None:
        raise NotImplementedError

    async def head(self, max_wait_s: float = math.inf) -> ResponseHead:
        raise NotImplementedError

    def chunks(self, max_idle_s: float = math.inf) -> AsyncIterator[bytes]:
        raise NotImplementedError

    def close(self) -> None:
        return


@final
class _Connector(Connector):
    """Connections of one instance, of which idle ones are kept."""

    def __init__(self) -> None:
        self.cut: Cut | None = None
        self.idle: collections.Counter[Address] = collections.Counter()

    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        if not fresh and self.idle[address] > 0 and self.cut is not Cut.RESET:
            self.idle[address] -= 1
            return _Path(reused=True)
        if self.cut is Cut.HANGING:
            await asyncio.sleep(_CONNECT_TIMEOUT_S)
            raise ConnectError(f"{address}: no answer")
        await asyncio.sleep(_PATH_S)
        if self.cut is not None:
            raise ConnectError(f"{address}: refused")
        return _Path(reused=False)


@final
class _Instance:
    def __init__(self, name: str, fleet: _Fleet, generator: random.Random) -> None:
        self.name = name
        self.connector = _Connector()
        self.forwarded = 0
        self._fleet = fleet
        self._random = generator
        self._clock = _LoopClock()
        rooms = EndpointRooms(name, lambda: fleet.instances, self._clock)
        self._directory = EndpointDirectory(
            EndpointStatements(self._clock), rooms.has_room
        )
        for endpoint in fleet.endpoints:
            self._directory.put(endpoint)
        self._paths = EndpointPaths(
            self._clock, lambda s: {e.id for e in self._directory.find_ready(s)}
        )
        self._watched = WatchedConnector(
            self.connector, self._directory, self._paths, EndpointHealth()
        )
        self.prober = PathProber(self._watched, self._directory, self._paths, generator)
        self.prober.on_change = self._tell
        self._deliveries = Deliveries(
            instance=name,
            directory=self._directory,
            paths=self._paths,
            rooms=rooms,
            live_instances=lambda: fleet.instances,
            has_adapter=lambda _engine, _adapter: False,
            without_paths=fleet.find_told_losses,
        )

    def _tell(self, services: frozenset[str]) -> None:
        """Have all instances know of the loss after the time that news take."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._fleet.news_s, self._fleet.record_losses, self, services)

    async def serve(self, service: str, *, may_repeat: bool) -> bool:
        """Return whether a caller's request is served."""
        runs = 0
        no_peer = not self._fleet.scenario.hands_over
        for _ in range(_MAX_ATTEMPTS):
            delivery = self._deliveries.choose(service)
            if no_peer or delivery.is_local_first:
                result = await self.run(service, may_repeat=may_repeat)
            elif (peer := await self._find_peer(service)) is not None:
                result = await self._run_at(peer, service)
            elif delivery.is_local_possible:
                no_peer = True
                continue
            else:
                return False
            if result:
                return True
            runs += result is False
            if runs and (not may_repeat or runs >= _MAX_RUNS):
                return False
        return False

    async def _find_peer(self, service: str) -> _Instance | None:
        names = self._deliveries.find_peers(service)
        for name in self._random.sample(names, min(_MAX_PEERS, len(names))):
            await asyncio.sleep(_PEER_S)
            peer = self._fleet.instances[name]
            if peer.forwarded < MAX_FORWARDED_REQUESTS and peer.can_deliver(service):
                return peer
        return None

    def can_deliver(self, service: str) -> bool:
        """Return whether this instance takes a request of another one."""
        return self._deliveries.can_deliver(service)

    async def _run_at(self, peer: _Instance, service: str) -> bool | None:
        peer.forwarded += 1
        try:
            return await peer.run(service, may_repeat=False)
        finally:
            peer.forwarded -= 1

    async def run(self, service: str, *, may_repeat: bool) -> bool | None:
        """Send a request to an endpoint; None if it was certainly not sent."""
        endpoint = self._random.choice(self._directory.find_ready(service))
        try:
            path = await self._watched.open(endpoint.address, fresh=not may_repeat)
        except ConnectError:
            return None
        lost = asyncio.Event()
        wait = self._paths.record_sent(service, lost.set if may_repeat else None)
        try:
            if self._is_lost(path):
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(lost.wait(), _LOST_BYTES_S)
                return False
            await asyncio.sleep(_ANSWER_S)
            if self._is_lost(path):
                return False
            self._paths.record_answer(service, wait)
        finally:
            self._paths.record_end(service, wait)
        self.connector.idle[endpoint.address] += 1
        return True

    def _is_lost(self, path: Exchange) -> bool:
        cut = self.connector.cut
        return cut is not None and not (path.reused and cut is Cut.NEW_REFUSED)


@final
class _Fleet:
    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self._random = random.Random(seed)
        self.endpoints = [
            ListedEndpoint(
                id=f"{service}-{number}",
                service=service,
                address=Address(service, number),
                data_centre="glasgow",
                slots=64,
                state=EndpointState.READY,
                started=1,
            )
            for service in SERVICES
            for number in range(ENDPOINTS_PER_SERVICE)
        ]
        schedule = schedule_for(scenario.instances, _SCHEDULE)
        self.news_s = max(schedule.propagation_s, _ROUND_S)
        self._told_losses: dict[str, frozenset[str]] = {}
        self.instances: dict[str, _Instance] = {}
        for number in range(scenario.instances):
            name = f"instance-{number}"
            self.instances[name] = _Instance(name, self, self._random)
        cut = max(round(scenario.cut_share * scenario.instances), 1)
        self._cut = list(self.instances.values())[:cut]
        self._result = Result()

    def record_losses(self, instance: _Instance, services: frozenset[str]) -> None:
        """Record what all instances know now of the lost paths of one."""
        self._told_losses[instance.name] = services

    def find_told_losses(self, service: str) -> list[str]:
        """Return the instances that are known to have lost their paths."""
        return [name for name, lost in self._told_losses.items() if service in lost]

    async def run(self) -> Result:
        probers = [
            asyncio.create_task(instance.prober.run())
            for instance in self.instances.values()
        ]
        requests = [
            asyncio.create_task(self._send_requests(instance))
            for instance in self.instances.values()
        ]
        await asyncio.sleep(CUT_AT_S)
        for instance in self._cut:
            instance.connector.cut = self.scenario.cut
        await asyncio.sleep(CUT_S)
        for instance in self._cut:
            instance.connector.cut = None
            if self.scenario.cut is not Cut.NEW_REFUSED:
                instance.connector.idle.clear()
        await asyncio.gather(*requests)
        for prober in probers:
            prober.cancel()
        await asyncio.gather(*probers, return_exceptions=True)
        return self._result

    async def _send_requests(self, instance: _Instance) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + CUT_AT_S + CUT_S + CONTACT_S
        sent = []
        while loop.time() < ends_at:
            await asyncio.sleep(self._random.expovariate(self.scenario.requests_per_s))
            sent.append(asyncio.create_task(self._send_request(instance)))
        await asyncio.gather(*sent)

    async def _send_request(self, instance: _Instance) -> None:
        loop = asyncio.get_running_loop()
        group = self._find_group(instance, loop.time())
        service = self._random.choice(SERVICES)
        may_repeat = self._random.random() < 0.5
        is_served = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_DEADLINE_S):
                is_served = await instance.serve(service, may_repeat=may_repeat)
        if group is not None:
            group.sent += 1
            group.served += is_served

    def _find_group(self, instance: _Instance, now: float) -> Served | None:
        """Return with which requests one that is sent now counts."""
        cut_for_s = now - CUT_AT_S
        if cut_for_s < 0:
            return None
        if instance not in self._cut:
            return self._result.others if cut_for_s < CUT_S else None
        if cut_for_s >= CUT_S:
            return self._result.after
        is_early = cut_for_s < CONTACT_S
        return self._result.early if is_early else self._result.later


def play(scenario: Scenario, seed: int = SEED) -> Result:
    """Play a scenario and return what became of its requests."""
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_Fleet(scenario, seed).run())
    finally:
        loop.close()
        asyncio.set_event_loop(None)


_SHARES = {"one": 0.0, "a third": 1 / 3, "two thirds": 2 / 3}


@attrs.frozen
class Command:
    """Print the table of cuts.

    Attributes
    ----------
    plots
        Folder for the plot; without it, nothing is plotted.
    """

    plots: Annotated[Path | None, cappa.Arg(long=True)] = attrs.field(default=None)

    def __call__(self) -> None:
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
        )
        lines: dict[str, list[float]] = {}
        columns = "instances", "cut off", "connections", "first 3 s", "later"
        print(f"| {' | '.join(columns)} | others | after |")
        print("|---|---|---|---|---|---|---|")
        for size, (name, share), cut in itertools.product(SIZES, _SHARES.items(), Cut):
            result = play(Scenario(instances=size, cut=cut, cut_share=share))
            print(
                f"| {size:,} | {name} | {cut.value} | {result.early.share:.3f} "
                f"| {result.later.share:.3f} | {result.others.share:.3f} "
                f"| {result.after.share:.3f} |"
            )
            lines.setdefault(f"{name}, {cut.value}", []).append(result.later.share)
        if self.plots is not None:
            plot_shares(
                self.plots / "lost-paths.svg",
                "First tries served at instances without paths, after three seconds",
                SIZES,
                lines,
                goal=GOAL,
            )


if __name__ == "__main__":
    cappa.invoke(Command)
