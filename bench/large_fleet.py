"""What gossip costs an instance, by the size of its fleet; virtual time, no sockets.

Run ``python -m bench.large_fleet`` for the table of docs/CAPACITY.md. Every instance
has used 16 organisations and eight engines, and orders at one with nine adapters, as
on the users' grown deployments. gRPC and sockets come on top.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import cast
from typing import final

import attrs

from chiveslip.clock import ManualClock
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.fleet.gossip import Gossip
from chiveslip.fleet.gossip_messages import GossipMessages
from chiveslip.fleet.gossip_messages import GossipParts
from chiveslip.fleet.gossip_schedule import GossipSchedule
from chiveslip.fleet.gossip_schedule import GossipScheduleSettings
from chiveslip.fleet.gossip_schedule import schedule_for
from chiveslip.fleet.membership import Membership
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.coordinator_rights import CoordinatorRights
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineOrder
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_control import OrderAnswer
from chiveslip.gateway.engine_coordinator import EngineCoordinator
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.generated import peer_pb2 as wire
from chiveslip.settings.fields import Address
from chiveslip.store.mirror import StoreMirror

SEED = 20261204
SETTINGS = GossipScheduleSettings(
    interval_s=0.25, fan_out=6, heartbeat_timeout_s=1.5, gather_s=0.35, watch_s=1.0
)
LEASE_S = 3.0
_SIZES = (3, 6, 12, 30, 81, 160)
_ORGANISATIONS = 16
_ENGINES = 70
_ENGINES_USED = 8
_JOIN_S = 5.0
_STEP_S = 0.25


@final
class NoEngines(EngineControl):
    """Engines that do not answer."""

    async def read_report(self, engine: ListedEndpoint) -> EngineReport:
        """Raise."""
        raise EngineControlError("there are no engines here")

    async def send_order(
        self, engine: ListedEndpoint, order: EngineOrder
    ) -> OrderAnswer:
        """Raise."""
        raise EngineControlError("there are no engines here")


@attrs.define
class Traffic:
    """Exchanges that an instance took part in, and their bytes both ways."""

    exchanges: int = 0
    sent: int = 0


@attrs.define(eq=False)
class Member:
    """One gateway's gossip."""

    name: str
    parts: GossipParts
    messages: GossipMessages
    gossip: Gossip
    next_round_at: float = 0.0
    is_up: bool = True
    traffic: Traffic = attrs.field(factory=Traffic)

    def alive(self, now: float) -> list[str]:
        """Return the members that it takes for alive."""
        return self.parts.membership.live_members(now)


@final
class Wires:
    """Brings questions to members and answers back."""

    def __init__(self, fleet: LargeFleet, sender: str) -> None:
        self._fleet = fleet
        self._sender = sender

    async def exchange(self, address: Address, question: wire.Gossip) -> wire.Gossip:
        """Bring a question to its member and the answer back."""
        member = self._fleet.members.get(address.host)
        if member is None or not member.is_up:
            raise PeerError("nobody answers")
        member.messages.apply(question)
        answer = member.messages.build_reply(question)
        asker = self._fleet.members[self._sender].traffic
        asker.exchanges += 1
        asker.sent += question.ByteSize()
        member.traffic.exchanges += 1
        member.traffic.sent += answer.ByteSize()
        return answer


@final
class LargeFleet:
    """Members that gossip in virtual time, in rounds that are not in step."""

    def __init__(self, size: int) -> None:
        self.clock = ManualClock()
        self.random = random.Random(SEED)
        self.members: dict[str, Member] = {}
        names = [f"m{number}" for number in range(size)]
        self._seeds = tuple(Address(name, 1) for name in names[:3])
        for name in names:
            self.members[name] = self._build(name)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        ends_at = self.clock.now() + seconds
        while self.clock.now() < ends_at:
            for member in self.members.values():
                if member.is_up and member.next_round_at <= self.clock.now():
                    asyncio.run(member.gossip.run_round())
                    interval_s = member.parts.schedule().interval_s
                    jitter = 0.8 + 0.4 * self.random.random()
                    member.next_round_at = self.clock.now() + interval_s * jitter
            self.clock.advance(0.05)

    def up(self) -> list[Member]:
        """Return the members that run."""
        return [member for member in self.members.values() if member.is_up]

    def _build(self, name: str) -> Member:
        clock = self.clock
        membership = Membership(
            instance=name,
            address=Address(name, 1),
            incarnation=1,
            heartbeat_timeout_s=lambda members: (
                schedule_for(members, SETTINGS).heartbeat_timeout_s
            ),
        )

        def pace() -> GossipSchedule:
            return schedule_for(membership.size, SETTINGS)

        view = EngineView(receives_all_peers=lambda: not pace().relays_reports)
        rights = CoordinatorRights(
            instance=name,
            lease_s=LEASE_S,
            propagation_s=lambda: pace().propagation_s,
            live_instances=lambda: membership.live_members(clock.now()),
            has_quorum=lambda: membership.has_quorum(clock.now()),
            clock=clock,
        )
        coordinator = EngineCoordinator(
            rights=rights,
            control=NoEngines(),
            view=view,
            load_times=LoadTimes(
                fetch_s=0.25, reload_s=0.025, max_full_speed_fetches=48
            ),
            clock=clock,
            measures=GatewayMetrics(),
        )
        parts = GossipParts(
            membership=membership,
            allowances=SharedAllowances(
                pace=pace, instance_count=lambda: membership.size
            ),
            view=view,
            coordinator=coordinator,
            suspects=CrashSuspects(3),
            mirror=StoreMirror(),
            schedule=pace,
            metrics=GatewayMetrics(),
            clock=clock,
        )
        messages = GossipMessages(parts, self.random)
        gossip = Gossip(
            messages=messages,
            parts=parts,
            peers=cast(GatewayPeers, Wires(self, name)),
            seeds=self._seeds,
            generator=self.random,
        )
        return Member(name, parts, messages, gossip)


def usual_use(fleet: LargeFleet) -> None:
    """Let every member have used what the users' deployments have."""
    for number, member in enumerate(fleet.members.values()):
        for engine in range(_ENGINES_USED):
            adapter = (f"model/adapter-{fleet.random.randrange(10_000)}", 1)
            name = f"engine-{(number * 7 + engine) % _ENGINES}"
            member.parts.view.record_request_start(name, adapter, 100.0)
        for organisation in range(_ORGANISATIONS):
            member.parts.allowances.used[f"organisation-{organisation}"] = 1.0


def points(size: int, seconds: float) -> tuple[float, float, float]:
    """Return exchanges, bytes and processor time, by second and instance."""
    fleet = LargeFleet(size)
    usual_use(fleet)
    fleet.run(_JOIN_S)
    for member in fleet.up():
        member.traffic = Traffic()
    began = time.process_time()
    steps = round(seconds / _STEP_S)
    for _ in range(steps):
        for member in fleet.up():
            name = f"organisation-{fleet.random.randrange(_ORGANISATIONS)}"
            member.parts.allowances.used[name] += 1000.0
        fleet.run(_STEP_S)
    spent = time.process_time() - began
    share = size * seconds
    exchanges = sum(member.traffic.exchanges for member in fleet.up())
    sent = sum(member.traffic.sent for member in fleet.up())
    return exchanges / share, sent / share, spent / share


def main() -> None:
    """Print the table."""
    print("| instances | exchanges/s | KB/s sent | core |")
    print("|---|---|---|---|")
    for size in _SIZES:
        exchanges, sent, core = points(size, 4.0)
        print(f"| {size} | {exchanges:.1f} | {sent / 1024:.1f} | {core:.2%} |")


if __name__ == "__main__":
    main()
