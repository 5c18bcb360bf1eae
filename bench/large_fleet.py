"""Measures the cost of gossip for an instance by the size of its fleet.

Run ``python -m bench.large_fleet`` for the table of docs/CAPACITY.md. The fleet runs in
virtual time and in one process, so the figures don't include gRPC and sockets. Every
instance reports its use of 16 organisations and eight engines, as in the users' large
deployments.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from enum import Enum
from typing import cast
from typing import final

import attrs

from chiveslip.clock import ManualClock
from chiveslip.dispatch.part_suspects import PartSuspects
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.fleet.gossip import Gossip
from chiveslip.fleet.gossip_messages import GossipMessages
from chiveslip.fleet.gossip_messages import GossipParts
from chiveslip.fleet.gossip_messages import read_revision
from chiveslip.fleet.gossip_schedule import GossipSchedule
from chiveslip.fleet.gossip_schedule import GossipScheduleSettings
from chiveslip.fleet.gossip_schedule import schedule_for
from chiveslip.fleet.membership import Membership
from chiveslip.fleet.store_pulls import StorePulls
from chiveslip.gateway.allowance_requests import AllowanceDecision
from chiveslip.gateway.allowance_requests import AllowanceRequests
from chiveslip.gateway.allowances import Grant
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.cold_endpoints import ColdEndpoints
from chiveslip.gateway.coordinator_rights import CoordinatorRights
from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.gateway.engine_coordinator import EngineCoordinator
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.limit_grants import LimitGrantor
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.rooms import EndpointRooms
from chiveslip.gateway.routing import Organisation
from chiveslip.generated import peer_pb2 as wire
from chiveslip.settings.fields import Address
from chiveslip.store.catch_up import PeerCatchUp
from chiveslip.store.client import Changes
from chiveslip.store.client import Item
from chiveslip.store.client import StoreRevision
from chiveslip.store.contact import StoreContact
from chiveslip.store.mirror import StoreMirror

SEED = 20261204
SETTINGS = GossipScheduleSettings(
    interval_s=0.25,
    fan_out=6,
    heartbeat_timeout_s=1.5,
    batch_delay_s=0.35,
    max_watch_s=1.0,
)
LEASE_S = 3.0
_FLEET_SIZES = (3, 6, 12, 30, 81, 160)
_ORGANISATIONS = 16
_ENGINES = 70
_ENGINES_USED = 8
_JOIN_S = 5.0
_STEP_S = 0.25


@final
class UnreachableEngines(EngineControl):
    """Control of engines that never respond."""

    async def read_report(self, engine: ListedEndpoint) -> EngineReport:
        """Raise `EngineControlError`."""
        raise EngineControlError("this fleet has no engines")

    async def send_order(
        self, engine: ListedEndpoint, order: EngineOrder, may_send: Callable[[], bool]
    ) -> OrderAnswer:
        """Raise `EngineControlError`."""
        raise EngineControlError("this fleet has no engines")


@attrs.define
class Traffic:
    """Exchanges that an instance took part in, and the bytes that it sent in them."""

    exchanges: int = 0
    sent_bytes: int = 0


class StorePath(Enum):
    """How a member's reads of the store end."""

    SERVED = "served"
    REFUSED = "refused"
    SILENT = "silent"


@attrs.define
class FleetStore:
    """The items of the store that the members read."""

    revision: StoreRevision = attrs.field(factory=lambda: StoreRevision(0, 1))
    items: list[Item] = attrs.field(factory=list)

    def put(self, key: str, value: bytes) -> StoreRevision:
        """Acknowledge a change and return its revision."""
        self.revision = attrs.evolve(self.revision, number=self.revision.number + 1)
        self.items.append(Item(key=key, value=value, revision=self.revision))
        return self.revision

    def return_from_copy(self, lost_changes: int) -> StoreRevision:
        """Lose the last changes and begin a new era; return its first revision."""
        del self.items[len(self.items) - lost_changes :]
        number = self.revision.number - lost_changes
        self.revision = StoreRevision(self.revision.era + 1, number)
        self.items = [
            attrs.evolve(
                item, revision=attrs.evolve(item.revision, era=self.revision.era)
            )
            for item in self.items
        ]
        return self.revision


@attrs.define(eq=False)
class Member:
    """The gossip of one gateway, and its reads of the store."""

    name: str
    parts: GossipParts
    messages: GossipMessages
    gossip: Gossip
    store_pulls: StorePulls
    requests: AllowanceRequests
    store_path: StorePath = StorePath.SERVED
    next_round_at: float = 0.0
    has_news: bool = False
    next_read_at: float = 0.0
    is_running: bool = True
    full_reads: int = 0
    traffic: Traffic = attrs.field(factory=Traffic)

    def record_news(self) -> None:
        """Run the next round of gossip at once."""
        self.has_news = True

    def read_store(self, store: FleetStore, now: float) -> None:
        """Read the changes of the store if a read is due and served."""
        mirror = self.parts.mirror
        is_served = self.store_path is StorePath.SERVED and now >= self.next_read_at
        if not is_served or store.revision <= mirror.revision:
            return
        if store.revision.era > mirror.revision.era:
            mirror.apply_snapshot(Changes(items=store.items, revision=store.revision))
            self.full_reads += 1
            self.next_read_at = now + self.parts.schedule().batch_delay_s
            return
        items = [item for item in store.items if item.revision > mirror.revision]
        mirror.apply_changes(Changes(items=items, revision=store.revision))
        self.next_read_at = now + self.parts.schedule().batch_delay_s

    def live_members(self, now: float) -> list[str]:
        """Return the names of the members that this member considers live."""
        return self.parts.membership.live_members(now)


@final
class InProcessPeers:
    """Delivers requests to the members of the fleet without sockets."""

    def __init__(self, fleet: LargeFleet, sender: str) -> None:
        self._fleet = fleet
        self._sender = sender

    async def exchange(self, address: Address, request: wire.Gossip) -> wire.Gossip:
        """Deliver a request to a member and return its reply."""
        member = self._fleet.members.get(address.host)
        if member is None or not member.is_running:
            raise PeerError(f"no member is running at {address.host}")
        if self._fleet.is_cut(self._sender, address.host):
            raise PeerError(f"no path to {address.host}")
        member.messages.apply(request)
        reply = member.messages.build_reply(request)
        member.messages.record_received(reply)
        await member.store_pulls.pull_if_overdue(
            Address(self._sender, 1), read_revision(request)
        )
        sender_traffic = self._fleet.members[self._sender].traffic
        sender_traffic.exchanges += 1
        sender_traffic.sent_bytes += request.ByteSize()
        member.traffic.exchanges += 1
        member.traffic.sent_bytes += reply.ByteSize()
        return reply

    async def request_units(
        self, peer: str, organisation: str, units: float, ahead: float
    ) -> Grant:
        """Return what a member grants of an organisation."""
        member = self._fleet.members.get(peer)
        if member is None or not member.is_running:
            raise PeerError(f"{peer} is not running")
        known = self._fleet.organisations[organisation]
        now = self._fleet.clock.now()
        return member.parts.allowances.grant(known, units, ahead, now)

    async def changes(
        self, address: Address, after: StoreRevision
    ) -> wire.ChangesReply:
        """Return the changes of the store that a member has after a revision."""
        member = self._fleet.members.get(address.host)
        if member is None or not member.is_running:
            raise PeerError(f"no member is running at {address.host}")
        return member.parts.mirror.build_changes_reply(after)


@final
class LargeFleet:
    """Members that gossip in virtual time, in rounds with a random jitter."""

    def __init__(self, size: int) -> None:
        self.clock = ManualClock()
        self.random = random.Random(SEED)
        self.store = FleetStore()
        self.organisations: dict[str, Organisation] = {}
        # Returns whether no message passes between two members.
        self.is_cut: Callable[[str, str], bool] = lambda one, other: False
        self.members: dict[str, Member] = {}
        names = [f"m{number}" for number in range(size)]
        self._seeds = tuple(Address(name, 1) for name in names[:3])
        for name in names:
            self.members[name] = self._build_member(name)

    def run(self, seconds: float) -> None:
        """Advance the clock by `seconds` and run the gossip rounds that are due."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            for member in self.running_members():
                member.read_store(self.store, self.clock.now())
            for member in self.members.values():
                is_due = member.has_news or member.next_round_at <= self.clock.now()
                if member.is_running and is_due:
                    member.has_news = False
                    asyncio.run(member.gossip.run_round())
                    interval_s = member.parts.schedule().interval_s
                    jitter = 0.8 + 0.4 * self.random.random()
                    member.next_round_at = self.clock.now() + interval_s * jitter
            self.clock.advance(0.05)

    def running_members(self) -> list[Member]:
        """Return the members that are running."""
        return [member for member in self.members.values() if member.is_running]

    def admit(
        self, member: Member, organisation: Organisation, units: float
    ) -> AllowanceDecision:
        """Return a member's decision on a request of an organisation."""
        self.organisations[organisation.name] = organisation
        return asyncio.run(member.requests.admit(organisation, units))

    def _build_member(self, name: str) -> Member:
        clock = self.clock
        membership = Membership(
            instance=name,
            address=Address(name, 1),
            incarnation=1,
            heartbeat_timeout_for=lambda members: (
                schedule_for(members, SETTINGS).heartbeat_timeout_s
            ),
        )

        def schedule() -> GossipSchedule:
            return schedule_for(membership.size, SETTINGS)

        view = EngineView(receives_all_peers=lambda: not schedule().relays_reports)
        rights = CoordinatorRights(
            instance=name,
            lease_s=LEASE_S,
            propagation_s=lambda: schedule().propagation_s,
            live_instances=lambda: membership.live_members(clock.now()),
            has_quorum=lambda: membership.has_quorum(clock.now()),
            clock=clock,
        )
        coordinator = EngineCoordinator(
            rights=rights,
            control=UnreachableEngines(),
            view=view,
            load_times=LoadTimes(
                fetch_s=0.25, reload_s=0.025, max_full_speed_fetches=48
            ),
            has_paths=lambda _service: True,
            clock=clock,
            metrics=GatewayMetrics(),
        )
        parts = GossipParts(
            membership=membership,
            allowances=SharedAllowances(
                schedule=schedule,
                instance_count=lambda: membership.size,
                live_instances=lambda: membership.live_members(clock.now()),
                heard_share=lambda: membership.heard_share(
                    schedule().max_heartbeat_age_s, clock.now()
                ),
            ),
            engine_view=view,
            engine_failures=EngineFailures(),
            engine_speeds=EngineSpeeds(),
            coordinator=coordinator,
            suspects=CrashSuspects(3),
            part_suspects=PartSuspects(),
            statements=EndpointStatements(clock),
            rooms=EndpointRooms(
                name, lambda: membership.fleet_members(clock.now()), clock
            ),
            limits=EndpointLimits(clock),
            cold=ColdEndpoints(lambda _endpoint: None),
            limit_grantor=LimitGrantor(
                instance=name,
                live_instances=lambda: membership.live_members(clock.now()),
                fleet_members=lambda: membership.fleet_members(clock.now()),
                incarnation_of=membership.incarnation_of,
                heard_share=lambda: membership.heard_share(
                    schedule().max_heartbeat_age_s, clock.now()
                ),
                has_older_members=membership.has_older_members,
                propagation_s=lambda: schedule().propagation_s,
                clock=clock,
            ),
            mirror=StoreMirror(),
            store_contact=StoreContact(clock),
            schedule=schedule,
            metrics=GatewayMetrics(),
            clock=clock,
        )
        messages = GossipMessages(parts, self.random)
        peers = cast(GatewayPeers, InProcessPeers(self, name))
        store_pulls = StorePulls(
            mirror=parts.mirror,
            catch_up=PeerCatchUp(
                own_revision=lambda: parts.mirror.revision,
                read_began_at=lambda: self.members[name].next_read_at,
                is_store_lost=lambda: (
                    self.members[name].store_path is StorePath.REFUSED
                ),
            ),
            peers=peers,
            clock=clock,
        )
        gossip = Gossip(
            messages=messages,
            parts=parts,
            peers=peers,
            store_pulls=store_pulls,
            seeds=self._seeds,
            generator=self.random,
        )
        requests = AllowanceRequests(
            instance=name,
            allowances=parts.allowances,
            peers=peers,
            metrics=parts.metrics,
            clock=clock,
        )
        member = Member(name, parts, messages, gossip, store_pulls, requests)
        parts.rooms.on_news = member.record_news
        return member


def record_typical_use(fleet: LargeFleet) -> None:
    """Record use of engines and organisations as in the users' large deployments."""
    for number, member in enumerate(fleet.members.values()):
        for engine in range(_ENGINES_USED):
            adapter = (f"model/adapter-{fleet.random.randrange(10_000)}", 1)
            name = f"engine-{(number * 7 + engine) % _ENGINES}"
            member.parts.engine_view.record_request_start(
                name, adapter, 100.0, fleet.clock.now()
            )
        for organisation in range(_ORGANISATIONS):
            member.parts.allowances.used[f"organisation-{organisation}"] = 1.0


def measure_gossip(size: int, seconds: float) -> tuple[float, float, float]:
    """Return exchanges, bytes sent and processor seconds, per second and instance."""
    fleet = LargeFleet(size)
    record_typical_use(fleet)
    fleet.run(_JOIN_S)
    for member in fleet.running_members():
        member.traffic = Traffic()
    started_at = time.process_time()
    steps = round(seconds / _STEP_S)
    for _ in range(steps):
        for member in fleet.running_members():
            name = f"organisation-{fleet.random.randrange(_ORGANISATIONS)}"
            member.parts.allowances.used[name] += 1000.0
        fleet.run(_STEP_S)
    cpu_s = time.process_time() - started_at
    instance_seconds = size * seconds
    exchanges = sum(member.traffic.exchanges for member in fleet.running_members())
    sent_bytes = sum(member.traffic.sent_bytes for member in fleet.running_members())
    return (
        exchanges / instance_seconds,
        sent_bytes / instance_seconds,
        cpu_s / instance_seconds,
    )


def main() -> None:
    """Measure fleets of several sizes and print a table in Markdown."""
    print("| instances | exchanges/s | KB/s sent | core |")
    print("|---|---|---|---|")
    for size in _FLEET_SIZES:
        exchanges, sent_bytes, core = measure_gossip(size, 4.0)
        print(f"| {size} | {exchanges:.1f} | {sent_bytes / 1024:.1f} | {core:.2%} |")


if __name__ == "__main__":
    main()
