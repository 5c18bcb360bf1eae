"""Coordinators hear at once of uses of adapters, so that idle ones can be evicted."""

from __future__ import annotations

import asyncio

import attrs
import pytest
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from bench.large_fleet import LargeFleet
from chiveslip import hashing
from chiveslip.clock import ManualClock
from chiveslip.fleet.channels import ChannelOptions
from chiveslip.fleet.channels import PeerChannels
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.channels import UnsupportedCallError
from chiveslip.fleet.gossip_updates import EngineUseUpdate
from chiveslip.fleet.use_notifier import UseNotifier
from chiveslip.fleet.use_notifier import UsePeers
from chiveslip.gateway.coordinator_rights import CoordinatorRights
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.generated import peer_pb2 as wire
from chiveslip.settings.fields import Address

INSTANCES = [f"m{number}" for number in range(30)]
USER = "m0"
A, B = ("m/a", 1), ("m/b", 1)
CAPACITY = EngineCapacity(
    slots=16,
    cache_tokens=71_552,
    adapter_slots=10,
    models={"m": 1.0},
    memory_mb=2.0,
    model_loads_per_s=1.0,
)
ENOUGH_SLOTS = attrs.evolve(CAPACITY, adapter_slots=16)
ENGINES = [
    name
    for name in (f"engine-{number}" for number in range(45))
    if hashing.rank(name, INSTANCES)[0] != USER
]


class FakePeers(UsePeers):
    """Applies notices to the views of other instances, or loses them."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.views = {name: EngineView(lambda: False) for name in INSTANCES}
        self.errors: dict[str, PeerError] = {}
        self.told: list[str] = []

    async def tell_uses(
        self, peer: str, number: tuple[int, int], uses: list[EngineUseUpdate]
    ) -> None:
        self.told.append(peer)
        error = self.errors.get(peer)
        if error is not None:
            raise error
        self.views[peer].apply_use_notice(USER, uses, self._clock.now(), number)


@attrs.define
class NotifierHarness:
    """The notifier of one instance of a large fleet."""

    notifier: UseNotifier
    view: EngineView
    peers: FakePeers
    clock: ManualClock
    receives_all_peers: list[bool]
    live_instances: list[str]

    def set_capacity(self, capacity: EngineCapacity) -> None:
        self.notifier.update_engines([(_listed(name), capacity) for name in ENGINES])

    def run(self, seconds: float) -> None:
        asyncio.run(self._run(round(seconds / 0.1)))

    async def _run(self, intervals: int) -> None:
        for _ in range(intervals):
            self.notifier.start_notices()
            for _ in range(3):
                await asyncio.sleep(0)
            self.clock.advance(0.1)

    def coordinator_of(self, engine: str) -> str:
        return hashing.rank(engine, self.live_instances)[0]

    def knows(self, engine: str) -> bool:
        view = self.peers.views[self.coordinator_of(engine)]
        return A in view.adapters_in_use(engine, self.clock.now())


def _listed(name: str) -> ListedEndpoint:
    return ListedEndpoint(
        id=name,
        service="llm",
        address=Address("10.0.0.1", 8000),
        data_centre="glasgow",
        slots=16,
        state=EndpointState.READY,
        started=1,
        models=("m",),
    )


@pytest.fixture
def harness() -> NotifierHarness:
    clock = ManualClock()
    receives_all_peers, live_instances = [False], list(INSTANCES)
    view = EngineView(lambda: receives_all_peers[0])
    rights = CoordinatorRights(
        instance=USER,
        lease_s=3.0,
        propagation_s=lambda: 0.0,
        live_instances=lambda: live_instances,
        has_quorum=lambda: True,
        clock=clock,
    )
    peers = FakePeers(clock)
    notifier = UseNotifier(
        instance=USER,
        incarnation=1,
        view=view,
        rights=rights,
        peers=peers,
        reachable=lambda: live_instances,
        clock=clock,
        metrics=GatewayMetrics(),
    )
    harness = NotifierHarness(
        notifier, view, peers, clock, receives_all_peers, live_instances
    )
    harness.set_capacity(CAPACITY)
    return harness


def test_begin_and_end_of_a_use_are_told_within_an_interval(
    harness: NotifierHarness,
) -> None:
    """Adapters whose requests have ended keep slots that other requests wait for."""
    engine = ENGINES[0]
    request = harness.view.record_request_start(engine, A, 0.0, 0.0)
    harness.run(0.1)
    assert harness.knows(engine)
    harness.view.record_request_end(request, harness.clock.now())
    harness.run(0.1)
    assert not harness.knows(engine)


def test_unchanged_uses_are_not_told_again(harness: NotifierHarness) -> None:
    """Notices in each interval would cost an instance of half a core too much."""
    harness.view.record_request_start(ENGINES[0], A, 0.0, 0.0)
    harness.run(5.0)
    assert len(harness.peers.told) == 1


@pytest.mark.parametrize(
    ("receives_all_peers", "capacity"),
    [
        pytest.param(True, CAPACITY, id="small-fleet-hears-all-by-gossip"),
        pytest.param(False, ENOUGH_SLOTS, id="each-request-has-an-adapter-slot"),
    ],
)
def test_nothing_is_told_where_gossip_suffices(
    harness: NotifierHarness, receives_all_peers: bool, capacity: EngineCapacity
) -> None:
    harness.receives_all_peers[0] = receives_all_peers
    harness.set_capacity(capacity)
    harness.view.record_request_start(ENGINES[0], A, 0.0, 0.0)
    harness.run(1.0)
    assert not harness.peers.told


@pytest.mark.parametrize(
    ("error", "max_calls"),
    [
        pytest.param(PeerError("no answer"), 4, id="silent-peer"),
        pytest.param(UnsupportedCallError("no such call"), 1, id="older-peer"),
    ],
)
def test_peer_without_an_answer_is_not_asked_for_a_while(
    harness: NotifierHarness, error: PeerError, max_calls: int
) -> None:
    """Calls in each interval to a frozen peer would hold as many connections."""
    engine = ENGINES[0]
    harness.peers.errors[harness.coordinator_of(engine)] = error
    harness.view.record_request_start(engine, A, 0.0, 0.0)
    harness.run(3.0)
    assert 1 <= len(harness.peers.told) <= max_calls


def test_next_notice_repairs_a_lost_one(harness: NotifierHarness) -> None:
    """An end that is never told would keep the slot for ten seconds."""
    engine = ENGINES[0]
    coordinator = harness.coordinator_of(engine)
    request = harness.view.record_request_start(engine, A, 0.0, 0.0)
    harness.run(0.1)
    harness.peers.errors[coordinator] = PeerError("lost")
    harness.view.record_request_end(request, harness.clock.now())
    harness.run(0.2)
    assert harness.knows(engine)
    del harness.peers.errors[coordinator]
    harness.run(1.2)
    assert not harness.knows(engine)


def test_new_coordinator_is_told_the_uses(harness: NotifierHarness) -> None:
    """A coordinator that does not know the uses would evict adapters in use."""
    engine = ENGINES[0]
    harness.view.record_request_start(engine, A, 0.0, 0.0)
    harness.run(0.1)
    harness.live_instances.remove(harness.coordinator_of(engine))
    assert not harness.knows(engine)
    harness.run(0.2)
    assert harness.knows(engine)


def test_busy_instance_tells_a_bounded_number_of_coordinators(
    harness: NotifierHarness,
) -> None:
    """A notice for each request would use up the core of a busy instance."""
    for engine in ENGINES:
        harness.view.record_request_start(engine, A, 0.0, 0.0)
    harness.run(0.5)
    assert len(harness.peers.told) <= 10
    harness.run(3.0)
    assert all(harness.knows(engine) for engine in ENGINES)


def test_older_list_does_not_replace_a_newer_one() -> None:
    """Gossip that was built before a notice and arrives after it is outdated."""
    view = EngineView(lambda: False)

    def uses(*adapters: tuple[str, int]) -> list[EngineUseUpdate]:
        return [
            EngineUseUpdate(
                engine="e",
                requests=len(adapters),
                pending_prefill_tokens=0.0,
                adapters=frozenset(adapters),
            )
        ]

    view.apply_use_notice("peer", uses(A, B), 1.0, (7, 3))
    view.apply_peer_uses("peer", uses(A), 1.1, (7, 2))
    assert view.adapters_in_use("e", 1.2) == {A, B}
    view.apply_peer_uses("peer", uses(A), 1.3, (8, 1))
    assert view.adapters_in_use("e", 1.4) == {A}
    view.apply_peer_uses("peer", [], 1.5)
    assert view.adapters_in_use("e", 1.6) == set()


def test_older_peer_keeps_its_channel() -> None:
    """A call that the peer lacks would cost a new connection each time."""
    channels = PeerChannels(
        ChannelOptions(keepalive_s=2.0, keepalive_timeout_s=1.0, pings_idle=False)
    )
    used: list[Channel] = []

    async def send(channel: Channel, timeout_s: float) -> None:
        used.append(channel)
        raise GRPCError(Status.UNIMPLEMENTED)

    async def call_twice() -> None:
        for _ in range(2):
            with pytest.raises(UnsupportedCallError):
                await channels.call(Address("10.0.0.1", 1), 1.0, send)
        channels.close()

    asyncio.run(call_twice())
    assert used[0] is used[1]


@pytest.mark.parametrize(
    ("free", "at_least", "at_most"),
    [
        pytest.param(0, 0.9, 1.0, id="no-slot"),
        pytest.param(5, 0.0, 0.01, id="many-slots"),
        pytest.param(None, 0.0, 0.0, id="older-coordinator"),
    ],
)
def test_free_slots_are_told_by_gossip(
    free: int | None, at_least: float, at_most: float
) -> None:
    """An older coordinator must not be taken for one whose engines have no slot."""
    fleet = LargeFleet(2)
    sender, receiver = fleet.members.values()
    message = sender.messages.build_request()
    message.engine_states.add(
        endpoint="e", started=1, models=["m"], free_adapter_slots=free
    )
    receiver.messages.apply(wire.Gossip.FromString(message.SerializeToString()))
    shortage = receiver.parts.engine_view.slot_shortage("e", 10, fleet.clock.now())
    assert at_least <= shortage <= at_most


def test_uses_told_by_gossip_are_numbered() -> None:
    """Gossip on its way must not undo a notice that was sent after it."""
    fleet = LargeFleet(2)
    sender, receiver = fleet.members.values()
    older = sender.messages.build_request()
    view = sender.parts.engine_view
    view.record_request_start("e", A, 0.0, 0.0)
    receiver.messages.apply(sender.messages.build_request())
    receiver.messages.apply(older)
    assert receiver.parts.engine_view.adapters_in_use("e", 0.0) == {A}
