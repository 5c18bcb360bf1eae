"""Instances that reach no endpoint while callers, the store and peers reach them."""

from __future__ import annotations

import asyncio
import enum
import math
from collections.abc import AsyncIterator

import pytest
from grpclib.client import Channel
from grpclib.protocol import H2Protocol

from chiveslip.clock import Clock
from chiveslip.daemon import gateway as daemon
from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import ConnectionPool
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import Exchange
from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.generated import peer_pb2 as wire
from chiveslip.generated.peer_grpc import GatewayPeerStub
from chiveslip.settings.fields import Address
from soak.proxy import Mode
from soak.proxy import Proxy
from testing.platform.gateways import GatewayCluster
from testing.platform.gateways import Member
from testing.platform.gateways import fetch
from testing.platform.gateways import running_cluster
from testing.platform.gateways import send_request
from testing.platform.gateways import wait_until

pytestmark = pytest.mark.xdist_group("sockets")

CONNECT_TIMEOUT_S = 1.0
PAUSE_S = 0.05
LOAD_S = 3.0
GOAL = 0.95
EARLY_GOAL = 0.8
EVENT_PAUSE_S = 0.3
MAX_HELD_UP_S = 2.5
# A loopback address on which no member runs.
NO_MEMBERS_HOST = "127.0.0.2"


class Cut(enum.Enum):
    """How connections of an instance that is cut off behave."""

    NONE = "none"
    REFUSED = "refused"
    HANGING = "hanging"


class CuttableConnector(Connector):
    """Connections of one gateway, of which those to endpoints can be cut.

    Attributes
    ----------
    proxies
        Proxies that open connections run through, by the port of the endpoint.
    """

    store_port = 0
    made: list[CuttableConnector] = []

    def __init__(self, clock: Clock, connect_timeout_s: float, held: HeldBytes) -> None:
        self._pool = ConnectionPool(clock, connect_timeout_s, held)
        self.cut = Cut.NONE
        self.proxies: dict[int, Proxy] = {}
        self.made.append(self)

    def silence(self) -> None:
        """Let new connections hang, and drop the bytes of open ones."""
        self.cut = Cut.HANGING
        for proxy in self.proxies.values():
            proxy.mode = Mode.SILENCE

    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        if address.port in self.proxies:
            address = Address(address.host, self.proxies[address.port].port)
        if address.port != self.store_port and self.cut is not Cut.NONE:
            if self.cut is Cut.HANGING:
                await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise ConnectError(f"{address} is cut off")
        return await self._pool.open(address, fresh=fresh)


@pytest.fixture
async def cluster(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[GatewayCluster]:
    monkeypatch.setattr(daemon, "ConnectionPool", CuttableConnector)
    monkeypatch.setattr(CuttableConnector, "made", [])
    async with running_cluster("abc") as running:
        monkeypatch.setattr(CuttableConnector, "store_port", running.store.port)
        yield running


async def start_members(cluster: GatewayCluster, count: int) -> list[Member]:
    members = [await cluster.start_gateway("g0", [])]
    for number in range(1, count):
        members.append(
            await cluster.start_gateway(f"g{number}", [m.peers for m in members])
        )

    async def are_known() -> bool:
        pages = [await fetch(m.metrics, "/metrics") for m in members]
        known = f"chiveslip_members {count}.0".encode()
        return all(known in page.body for page in pages)

    await wait_until(are_known)
    return members


async def read_cut_services(member: Member) -> float:
    page = await fetch(member.metrics, "/metrics")
    (line,) = [
        line
        for line in page.body.decode().splitlines()
        if line.startswith("chiveslip_cut_services ")
    ]
    return float(line.split()[1])


async def served_share(member: Member, path: str, adapter: str, load_s: float) -> float:
    """Send requests at a steady rate, and return the share served at once."""
    tasks = []
    for number in range(math.ceil(load_s / PAUSE_S)):
        tasks.append(
            asyncio.create_task(
                send_request(member, path, adapter=adapter, request_id=f"r{number}")
            )
        )
        await asyncio.sleep(PAUSE_S)
    answers = await asyncio.gather(*tasks)
    return sum(answer.code == 200 for answer in answers) / len(answers)


@pytest.mark.parametrize("cut", [Cut.REFUSED, Cut.HANGING])
@pytest.mark.parametrize(
    ("path", "adapter"),
    [
        pytest.param("/once/x", "", id="plain"),
        pytest.param("/draft/x", "a7", id="engine"),
    ],
)
async def test_requests_at_an_instance_without_paths_are_served_through_peers(
    cluster: GatewayCluster, cut: Cut, path: str, adapter: str
) -> None:
    members = await start_members(cluster, 3)

    async def is_served() -> bool:
        return (await send_request(members[0], path, adapter=adapter)).code == 200

    await wait_until(is_served)
    CuttableConnector.made[0].cut = cut
    early = served_share(members[0], path, adapter, LOAD_S)
    assert await early >= EARLY_GOAL
    assert await served_share(members[0], path, adapter, LOAD_S) >= GOAL
    assert await read_cut_services(members[0]) > 0
    assert await read_cut_services(members[1]) == 0
    CuttableConnector.made[0].cut = Cut.NONE

    async def has_paths() -> bool:
        return await read_cut_services(members[0]) == 0

    async with asyncio.timeout(1.0):
        await wait_until(has_paths)
    assert await served_share(members[0], path, adapter, 1.0) == 1.0


async def test_requests_are_refused_at_once_if_no_instance_has_paths(
    cluster: GatewayCluster,
) -> None:
    members = await start_members(cluster, 2)
    for connector in CuttableConnector.made:
        connector.cut = Cut.REFUSED
    await served_share(members[0], "/once/x", "", 1.5)
    answers = [await send_request(members[0], "/once/x") for _ in range(20)]
    assert {answer.code for answer in answers} == {503}
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in answers)
    assert max(answer.request_time for answer in answers) < 0.5
    assert cluster.kiosk.received_requests == []


def list_runs(cluster: GatewayCluster, request_id: str) -> list[str]:
    """Return the last event id with which each run of a request began."""
    return [
        request.headers.get("Last-Event-Id", "")
        for engine in cluster.engines
        for request in engine.received_requests
        if request.headers["X-Request-Id"] == request_id
    ]


@pytest.mark.parametrize("has_begun", [False, True])
async def test_stream_that_the_lost_paths_hold_up_goes_on_through_a_peer(
    cluster: GatewayCluster, has_begun: bool
) -> None:
    members = await start_members(cluster, 3)
    connector = CuttableConnector.made[0]
    for engine in cluster.engines:
        engine.models["m"].add("a7@1")
        await cluster.store.put(f"servers/{engine.identity}", engine.build_entry("llm"))
        proxy = connector.proxies[engine.port] = Proxy(engine.port)
        await proxy.start()

    async def is_served() -> bool:
        answer = await send_request(members[0], "/urgent/x", adapter="a7")
        return answer.code == 200

    try:
        await wait_until(is_served)
        for engine in cluster.engines:
            engine.pause_between_events_s = EVENT_PAUSE_S
        body: list[bytes] = []
        sent = asyncio.create_task(
            send_request(
                members[0],
                "/urgent/x",
                adapter="a7",
                request_id="held-up",
                on_chunk=body.append,
            )
        )

        async def has_come_so_far() -> bool:
            return bool(body) if has_begun else bool(list_runs(cluster, "held-up"))

        await wait_until(has_come_so_far)
        connector.silence()
        for engine in cluster.engines:
            engine.pause_between_events_s = 0.0
        async with asyncio.timeout(MAX_HELD_UP_S):
            answer = await sent
    finally:
        for proxy in connector.proxies.values():
            proxy.close()
    lines = b"".join(body).split(b"\n")
    events = [line for line in lines if line.startswith(b"id: ")]
    assert (answer.code, events) == (200, [b"id: 1", b"id: 2", b"id: 3"])
    expected = ["", "1"] if has_begun else ["", ""]
    assert sorted(list_runs(cluster, "held-up")) == expected


async def _connect_from_elsewhere(channel: Channel) -> H2Protocol:
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_connection(
        channel._protocol_factory,
        channel._host,
        channel._port,
        local_addr=(NO_MEMBERS_HOST, 0),
    )
    return protocol


async def ask_to_forward(member: Member) -> bool:
    """Return whether an instance agrees to take a request without a key."""
    channel = Channel("127.0.0.1", member.peers)
    try:
        async with GatewayPeerStub(channel).Forward.open(timeout=1.0) as stream:
            await stream.send_message(wire.ForwardMessage(service="kiosk"), end=True)
            part = await stream.recv_message()
            assert part is not None
            return not part.is_declined
    finally:
        channel.close()


async def test_nobody_but_members_can_hand_requests_over(
    cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    members = await start_members(cluster, 2)
    assert await ask_to_forward(members[0])
    monkeypatch.setattr(Channel, "_create_connection", _connect_from_elsewhere)
    assert not await ask_to_forward(members[0])
