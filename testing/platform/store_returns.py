"""Returns of the store from an older copy, with complete gateways and callers.

Lost with each return are a withdrawn key, the news that a replica drains, the removal
of another one and the registration of a third one. The store returns at some step, and
later its writers write again. What is known must not go back meanwhile.
"""

from __future__ import annotations

import abc
import asyncio
import contextlib
import re
import time
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import final

import attrs
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from chiveslip.fleet.channels import PeerError
from chiveslip.store.client import StoreError
from testing.platform.gateways import KEY
from testing.platform.gateways import GatewayCluster
from testing.platform.gateways import Member
from testing.platform.gateways import fetch
from testing.platform.gateways import published_configuration
from testing.platform.gateways import running_cluster
from testing.platform.gateways import send_request
from testing.platform.standins import ReplicaStandIn

WITHDRAWN_KEY = "withdrawn-key"
_FIRST_VERSION, _LOST_VERSION, _LAST_VERSION = 1, 2, 3
_LOST_CHANGES = 20
# When, after the return, a replica and later the operator write again what was lost.
_RENEWED_AFTER_S = 1.2
_REWRITTEN_AFTER_S = 2.5
# From the acknowledgement until every instance uses a configuration.
_CONFIGURATION_BOUND_S = 3.0
_END_S = 0.5
# Until an instance has compared what it read with what a peer knows.
_FIRST_EXCHANGE_S = 1.0
# Longer than a round of gossip.
_STEP_S = 0.5
_SECOND_RETURN_S = 0.3
_PROBE_INTERVAL_S = 0.1
_SETTLE_S = 0.1
_ITEMS_PER_PAGE = 2
_SETUP_TIMEOUT_S = 10.0


@attrs.frozen(kw_only=True)
class Probe:
    """What one gateway answered at one time.

    Attributes
    ----------
    status, withdrawn_status
        Status of a request with a valid key, and with the withdrawn one.
    version
        Active version of the configuration.
    ready_replicas
        Replicas of the plain service that take requests.
    """

    gateway: str
    at: float
    status: int
    withdrawn_status: int
    version: int
    ready_replicas: int


@attrs.define(kw_only=True)
class Observations:
    """What callers, replicas and the store saw.

    Attributes
    ----------
    judged_from
        Time from which a gateway must keep to what was known, by its name.
    knows_registered
        Gateways that knew before the return that a replica had registered.
    late_runs
        Request, gateway and sending time of what ran on a replica that had left.
    changes
        Writes since the observation began.
    max_full_reads
        Full reads of the store that are needed at most.
    """

    judged_from: dict[str, float] = attrs.field(factory=dict)
    knows_registered: set[str] = attrs.field(factory=set)
    probes: list[Probe] = attrs.field(factory=list)
    late_runs: list[tuple[str, str, float]] = attrs.field(factory=list)
    began_at: float = 0.0
    ended_at: float = 0.0
    renewed_at: float = 0.0
    rewritten_at: float = 0.0
    gateways: int = 0
    reads: int = 0
    changes: int = 0
    max_full_reads: int = 0
    max_pages: int = 0


def find_violations(seen: Observations) -> list[str]:
    """Return a description of each violated invariant."""
    return [
        *_check_probes(seen),
        *_check_versions(seen),
        *_check_replicas(seen),
        *_check_reads(seen),
    ]


def _judged_probes(seen: Observations) -> Iterator[Probe]:
    for probe in seen.probes:
        if probe.at >= seen.judged_from[probe.gateway]:
            yield probe


def _check_probes(seen: Observations) -> Iterator[str]:
    for probe in _judged_probes(seen):
        at_s = probe.at - seen.began_at
        if probe.status != 200:
            yield f"{probe.gateway} refused a valid key: {probe.status} at {at_s:.2f} s"
        if probe.withdrawn_status != 401:
            yield (
                f"{probe.gateway} answered {probe.withdrawn_status} to a withdrawn key "
                f"at {at_s:.2f} s"
            )


def _check_versions(seen: Observations) -> Iterator[str]:
    due_at = seen.rewritten_at + _CONFIGURATION_BOUND_S
    for gateway in seen.judged_from:
        probes = [probe for probe in seen.probes if probe.gateway == gateway]
        versions = [probe.version for probe in probes]
        if versions != sorted(versions):
            yield f"{gateway} returned to an earlier configuration: {versions}"
        if not any(p.version == _LAST_VERSION and p.at <= due_at for p in probes):
            yield f"{gateway} lacks the configuration written after the return"
    for probe in _judged_probes(seen):
        if probe.version < _LOST_VERSION:
            yield f"{probe.gateway} uses the configuration of the copy"


def _check_replicas(seen: Observations) -> Iterator[str]:
    for request, gateway, sent_at in seen.late_runs:
        if sent_at >= seen.judged_from[gateway]:
            at_s = sent_at - seen.began_at
            yield f"{request} ran on a replica that had left, sent at {at_s:.2f} s"
    known_from = seen.renewed_at + _FIRST_EXCHANGE_S
    for probe in _judged_probes(seen):
        knows = probe.gateway in seen.knows_registered or probe.at >= known_from
        if knows and probe.ready_replicas != 2:
            yield (
                f"{probe.gateway} uses {probe.ready_replicas} replicas at "
                f"{probe.at - seen.began_at:.2f} s; expected 2"
            )


def _check_reads(seen: Observations) -> Iterator[str]:
    # A watch ends with each change, and each second without one.
    watches = seen.gateways * (seen.changes + seen.ended_at - seen.began_at + 2)
    allowed = seen.max_full_reads * (seen.max_pages + 1) + watches
    if seen.reads > allowed:
        yield f"{seen.reads} reads of the store; at most {allowed:.0f} are needed"


@contextlib.contextmanager
def refuse_reads(member: Member) -> Iterator[None]:
    """Let the reads of the store fail."""
    store: Any = member.instance._reader._store
    original = store._get

    async def refuse(*_: Any) -> Any:
        raise StoreError("partitioned")

    store._get = refuse
    try:
        yield
    finally:
        store._get = original


@contextlib.contextmanager
def refuse_peers(member: Member) -> Iterator[None]:
    """Let all exchanges with other gateways fail, in both directions."""
    peers: Any = member.instance._peers
    messages: Any = member.instance._gossip._messages
    original_call, original_apply = peers._call, messages.apply

    async def refuse_call(*_: Any) -> Any:
        raise PeerError("partitioned")

    def refuse_message(*_: Any) -> None:
        raise GRPCError(Status.UNAVAILABLE)

    peers._call = refuse_call
    messages.apply = refuse_message
    try:
        yield
    finally:
        peers._call = original_call
        messages.apply = original_apply


class ReturnStep(abc.ABC):
    """When the store returns."""

    @abc.abstractmethod
    async def run(self, scenario: ReturnScenario) -> None:
        """Lose changes with a return of the store, and begin the observation."""


@final
class BeforeTraffic(ReturnStep):
    """The store returns before any request."""

    async def run(self, scenario: ReturnScenario) -> None:
        """Return, then begin the observation."""
        await scenario.write_what_is_lost()
        await scenario.return_store()
        scenario.observe()


@final
class DuringTraffic(ReturnStep):
    """The store returns while requests are sent."""

    async def run(self, scenario: ReturnScenario) -> None:
        """Begin the observation, then return."""
        await scenario.write_what_is_lost()
        scenario.observe()
        await asyncio.sleep(_STEP_S)
        await scenario.return_store()


@final
class DuringRead(ReturnStep):
    """The store returns between two pages of a full read."""

    async def run(self, scenario: ReturnScenario) -> None:
        """Let the instances read everything, and return at a second page."""
        await scenario.write_what_is_lost()
        scenario.observe()
        await scenario.return_at_second_page(scenario.lose_history)


@final
class DuringPartition(ReturnStep):
    """An instance reaches neither the store nor its peer across the return."""

    async def run(self, scenario: ReturnScenario) -> None:
        """Partition an instance before the lost changes, until after the return."""
        async with scenario.partition("two"):
            await scenario.write_what_is_lost()
            scenario.observe()
            await scenario.return_store()
            await asyncio.sleep(_STEP_S)


@final
class DuringStart(ReturnStep):
    """The store returns between two pages of the first read of an instance."""

    async def run(self, scenario: ReturnScenario) -> None:
        """Start an instance, and return at its second page."""
        await scenario.write_what_is_lost()
        scenario.observe()
        await scenario.return_at_second_page(lambda: scenario.start_gateway("three"))


@final
class BeforeStart(ReturnStep):
    """The store returned before an instance starts."""

    async def run(self, scenario: ReturnScenario) -> None:
        """Return, and start an instance."""
        await scenario.write_what_is_lost()
        scenario.observe()
        await scenario.return_store()
        await scenario.start_gateway("three")


@final
class TwoReturns(ReturnStep):
    """The store returns twice, the second time before anything is written again."""

    async def run(self, scenario: ReturnScenario) -> None:
        """Return twice."""
        await scenario.write_what_is_lost()
        scenario.observe()
        await scenario.return_store()
        await asyncio.sleep(_SECOND_RETURN_S)
        await scenario.return_store()


@final
class TwoReturnsDuringPartition(ReturnStep):
    """An instance reaches neither the store nor its peer across two returns."""

    async def run(self, scenario: ReturnScenario) -> None:
        """Partition an instance before the lost changes, until after two returns."""
        async with scenario.partition("two"):
            await scenario.write_what_is_lost()
            scenario.observe()
            await scenario.return_store()
            await asyncio.sleep(_SECOND_RETURN_S)
            await scenario.return_store()
            await asyncio.sleep(_STEP_S)


@final
class TwoReturnsWithoutStore(ReturnStep):
    """An instance has only its peer from before two returns until the end."""

    async def run(self, scenario: ReturnScenario) -> None:
        """Refuse the reads of an instance for good, and return twice."""
        await scenario.write_what_is_lost()
        await scenario.refuse_reads_for_good("two")
        scenario.observe()
        await scenario.return_store()
        await asyncio.sleep(_SECOND_RETURN_S)
        await scenario.return_store()


RETURN_STEPS: dict[str, type[ReturnStep]] = {
    "before-traffic": BeforeTraffic,
    "during-traffic": DuringTraffic,
    "during-read": DuringRead,
    "during-partition": DuringPartition,
    "during-start": DuringStart,
    "before-start": BeforeStart,
    "two-returns": TwoReturns,
    "two-returns-during-partition": TwoReturnsDuringPartition,
    "two-returns-without-store": TwoReturnsWithoutStore,
}


@final
class ReturnScenario:
    """Gateways with callers, across a return of the store."""

    def __init__(self, cluster: GatewayCluster, stack: contextlib.ExitStack) -> None:
        self._cluster = cluster
        self._store = cluster.store
        self._stack = stack
        self._members: dict[str, Member] = {}
        self._draining, self._removed, self._registered = (
            ReplicaStandIn(name) for name in ("draining", "removed", "registered")
        )
        self._seen = Observations()
        self._copy = 0
        self._reads_before = 0
        self._sent_at: dict[str, float] = {}
        self._probing: list[asyncio.Task[None]] = []

    async def run(self, step: ReturnStep) -> list[str]:
        """Run the scenario and return the violations found."""
        try:
            await self._start_gateways()
            await step.run(self)
            await self._write_again()
            await self._wait_for_last_version()
        finally:
            await self._stop()
        self._count_late_runs()
        return find_violations(self._seen)

    async def write_what_is_lost(self) -> None:
        """Keep a copy, write changes, and wait until reachable gateways know them."""
        self._copy = self._store.copy()
        await self._put("op/config", published_configuration(_LOST_VERSION))
        await self._put(
            "servers/draining",
            self._draining.build_entry("kiosk", state="draining"),
        )
        await self._store.remove("servers/removed")
        await self._put("servers/registered", self._registered.build_entry("kiosk"))
        for number in range(_LOST_CHANGES):
            await self._put(f"servers/odd-{number}", b"lost")
        reachable = [name for name in self._members if self._is_reachable(name)]
        self._seen.knows_registered.update(reachable)
        async with asyncio.timeout(_SETUP_TIMEOUT_S):
            while not all([await self._knows_changes(name) for name in reachable]):
                await asyncio.sleep(_PROBE_INTERVAL_S)

    def observe(self) -> None:
        """Begin to send requests and to judge what is seen."""
        seen = self._seen
        seen.began_at = time.monotonic()
        seen.changes = 0
        seen.max_pages = len(self._store.items) // _ITEMS_PER_PAGE + 1
        self._reads_before = self._store.reads
        for name in self._members:
            if self._is_reachable(name):
                seen.judged_from.setdefault(name, seen.began_at)
            self._begin_probing(name)

    async def return_store(self) -> None:
        """Let the store return from the copy."""
        await self._store.return_from_copy(self._copy)
        self._seen.max_full_reads += len(self._members)

    async def return_at_second_page(
        self, cause_read: Callable[[], Awaitable[None]]
    ) -> None:
        """Let the store return within the full read that an action causes."""
        returned = asyncio.Event()

        async def return_now() -> None:
            await self.return_store()
            returned.set()

        self._store.before_second_page = return_now
        await cause_read()
        async with asyncio.timeout(_SETUP_TIMEOUT_S):
            await returned.wait()

    async def lose_history(self) -> None:
        """Let all instances read everything again."""
        await self._put("servers/odd", b"lost")
        self._store.drop_history()
        self._seen.max_full_reads += len(self._members)

    async def start_gateway(self, name: str) -> None:
        """Start a gateway that knows the first one."""
        first = self._members["one"]
        self._seen.max_full_reads += 2
        member = await self._cluster.start_gateway(name, [first.peers])
        self._members[name] = member
        self._seen.judged_from[name] = time.monotonic() + _FIRST_EXCHANGE_S
        self._begin_probing(name)

    @contextlib.asynccontextmanager
    async def partition(self, name: str) -> AsyncIterator[None]:
        """Cut a gateway off from the store and from its peers."""
        self._seen.judged_from[name] = float("inf")
        member = self._members[name]
        with refuse_reads(member), refuse_peers(member):
            await self._end_running_watches()
            yield
        self._seen.judged_from[name] = time.monotonic() + _FIRST_EXCHANGE_S

    async def refuse_reads_for_good(self, name: str) -> None:
        """Let the reads of a gateway fail until the end."""
        self._stack.enter_context(refuse_reads(self._members[name]))
        await self._end_running_watches()

    async def _start_gateways(self) -> None:
        for replica in (self._draining, self._removed):
            entry = replica.build_entry("kiosk")
            await self._put(f"servers/{replica.identity}", entry)
        keys = (KEY, WITHDRAWN_KEY)
        await self._put("op/config", published_configuration(_FIRST_VERSION, keys=keys))
        one = await self._cluster.start_gateway("one", [])
        two = await self._cluster.start_gateway("two", [one.peers])
        self._members = {"one": one, "two": two}

    async def _write_again(self) -> None:
        """Write what was lost, and then a later configuration."""
        returned_at = time.monotonic()
        await asyncio.sleep(_RENEWED_AFTER_S)
        await self._put("servers/registered", self._registered.build_entry("kiosk"))
        self._seen.renewed_at = time.monotonic()
        await asyncio.sleep(returned_at + _REWRITTEN_AFTER_S - time.monotonic())
        await self._put(
            "servers/draining",
            self._draining.build_entry("kiosk", state="draining"),
        )
        for version in (_LOST_VERSION, _LAST_VERSION):
            await self._put("op/config", published_configuration(version))
        self._seen.rewritten_at = time.monotonic()

    async def _wait_for_last_version(self) -> None:
        due_at = self._seen.rewritten_at + _CONFIGURATION_BOUND_S
        while time.monotonic() < due_at:
            last = {probe.gateway: probe.version for probe in self._seen.probes}
            if all(last.get(name) == _LAST_VERSION for name in self._members):
                break
            await asyncio.sleep(_PROBE_INTERVAL_S)
        await asyncio.sleep(_END_S)

    async def _stop(self) -> None:
        seen = self._seen
        seen.ended_at = time.monotonic()
        seen.reads = self._store.reads - self._reads_before
        seen.gateways = len(self._members)
        for task in self._probing:
            task.cancel()
        await asyncio.gather(*self._probing, return_exceptions=True)
        for replica in (self._draining, self._removed, self._registered):
            replica.server.stop()
            await replica.server.close_all_connections()

    def _begin_probing(self, name: str) -> None:
        if self._seen.began_at:
            self._probing.append(asyncio.create_task(self._probe_repeatedly(name)))

    async def _probe_repeatedly(self, name: str) -> None:
        while True:
            await self._probe(name)
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _probe(self, name: str) -> None:
        at = time.monotonic()
        member = self._members[name]
        request_id = f"{name}-{len(self._sent_at)}"
        self._sent_at[request_id] = at
        answer = await send_request(member, "/once/x", request_id=request_id)
        withdrawn = await send_request(member, "/once/x", key=WITHDRAWN_KEY)
        version, ready_replicas = await self._read_metrics(name)
        probe = Probe(
            gateway=name,
            at=at,
            status=answer.code,
            withdrawn_status=withdrawn.code,
            version=version,
            ready_replicas=ready_replicas,
        )
        self._seen.probes.append(probe)

    def _count_late_runs(self) -> None:
        for replica in (self._draining, self._removed):
            for request in replica.received_requests:
                request_id = request.headers["X-Request-Id"]
                if request_id in self._sent_at:
                    gateway = request_id.partition("-")[0]
                    run = (request_id, gateway, self._sent_at[request_id])
                    self._seen.late_runs.append(run)

    async def _knows_changes(self, name: str) -> bool:
        return await self._read_metrics(name) == (_LOST_VERSION, 2)

    async def _read_metrics(self, name: str) -> tuple[int, int]:
        """Return the configuration version and the ready replicas of a gateway."""
        answer = await fetch(self._members[name].metrics, "/metrics")
        text = answer.body.decode()
        return (
            _read_value(text, "chiveslip_configuration_version"),
            _read_value(text, 'chiveslip_endpoints{service="kiosk"}'),
        )

    def _is_reachable(self, name: str) -> bool:
        return self._seen.judged_from.get(name, 0.0) != float("inf")

    async def _end_running_watches(self) -> None:
        await self._put("servers/odd", b"ends the watches")
        await asyncio.sleep(_SETTLE_S)

    async def _put(self, key: str, value: Any) -> None:
        await self._store.put(key, value)
        self._seen.changes += 1


def _read_value(text: str, name: str) -> int:
    found = re.search(rf"^{re.escape(name)} (\S+)$", text, re.MULTILINE)
    return 0 if found is None else int(float(found.group(1)))


async def run_return(step: str) -> list[str]:
    """Run the scenario of a step and return the violations found."""
    with contextlib.ExitStack() as stack:
        async with running_cluster() as cluster:
            return await ReturnScenario(cluster, stack).run(RETURN_STEPS[step]())
