"""A fleet in virtual time whose instances decide on allowances.

Instances are grouped in islands that cannot reach each other. They notice late who is
lost, as gossip does, and learn of each other's use after the time that it takes to
propagate. Messages between reachable instances take no time.
"""

from __future__ import annotations

import asyncio
import collections
from typing import cast

import attrs

from chiveslip.clock import ManualClock
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.fleet.gossip_schedule import GossipScheduleSettings
from chiveslip.fleet.gossip_schedule import schedule_for
from chiveslip.gateway.allowance_requests import AllowanceRequests
from chiveslip.gateway.allowances import Grant
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.routing import Organisation

SETTINGS = GossipScheduleSettings(
    interval_s=0.25,
    fan_out=6,
    heartbeat_timeout_s=1.5,
    batch_delay_s=0.35,
    max_watch_s=1.0,
)
# The users' bound: in any window, units that are admitted of one organisation.
WINDOW_S = 8.0
EXCESS_SHARE = 0.25
EXCESS_UNITS = 11_000.0
# Members that are lost for longer do not count for the size of the fleet.
_PRESUMED_DEAD_S = 10.0
_MAX_ALL_INFORMED = 200


@attrs.define(eq=False)
class FleetMember:
    """One instance."""

    name: str
    allowances: SharedAllowances
    requests: AllowanceRequests
    incarnation: int = 1
    island: int = 0
    is_running: bool = True


@attrs.frozen(kw_only=True)
class FleetView:
    """What an instance believes of the fleet, for a short time."""

    live: list[str]
    size: int
    heard_share: float
    valid_until: float


class AllowanceFleet:
    """Instances, and what they admitted."""

    def __init__(self, size: int) -> None:
        self.clock = ManualClock(0.0)
        self.schedule = schedule_for(size, SETTINGS)
        self.organisations: dict[str, Organisation] = {}
        self.admitted: dict[str, list[tuple[float, float]]] = collections.defaultdict(
            list
        )
        self._unreachable_since: dict[tuple[str, str], float] = {}
        self._views: dict[str, FleetView] = {}
        self._reports: collections.deque[tuple[float, str, int, dict[str, float]]] = (
            collections.deque()
        )
        self._next_report_at = 0.0
        self._active: set[str] = set()
        self._informed: set[str] = set()
        self.names = [f"i{number}" for number in range(size)]
        self.members = {name: self._build(name, 1) for name in self.names}

    def admit(self, name: str, organisation: Organisation, units: float) -> bool:
        """Return whether an instance admits a request."""
        self.organisations[organisation.name] = organisation
        grantors = self.members[name].allowances.grantors_of(organisation.name)
        self._active.update((name, *grantors))
        # In a large model, only the instances that may grant are told of use.
        told = self._active if len(self.names) <= _MAX_ALL_INFORMED else grantors
        self._informed.update(told)
        coroutine = self.members[name].requests.admit(organisation, units)
        is_admitted = _run(coroutine).retry_after_s == 0
        if is_admitted:
            self.admitted[organisation.name].append((self.clock.now(), units))
        return is_admitted

    def advance(self, seconds: float) -> None:
        """Let time pass, and deliver the reports that are due."""
        self.clock.advance(seconds)
        now = self.clock.now()
        while self._reports and self._reports[0][0] <= now:
            _, sender, incarnation, used = self._reports.popleft()
            for name in self._informed:
                if name != sender and self.reaches(name, sender):
                    self.members[name].allowances.record_peer_use(
                        sender, incarnation, used
                    )
        if now < self._next_report_at:
            return
        self._next_report_at = now + self.schedule.interval_s
        arrives_at = now + max(self.schedule.propagation_s, 0.05)
        for name in self._active:
            member = self.members[name]
            if member.is_running:
                member.allowances.return_expired_credits(now)
                report = dict(member.allowances.used)
                self._reports.append((arrives_at, name, member.incarnation, report))

    def split(self, islands: dict[str, int]) -> None:
        """Let instances of different islands lose each other."""
        for name, member in self.members.items():
            member.island = islands.get(name, 0)
        self._record_paths()

    def kill(self, name: str) -> None:
        """End an instance without notice."""
        self.members[name].is_running = False
        self._record_paths()

    def restart(self, name: str) -> None:
        """Start an instance anew; the others tell it their levels."""
        previous = self.members[name]
        member = self._build(name, previous.incarnation + 1)
        member.island = previous.island
        self.members[name] = member
        self._record_paths()
        now = self.clock.now()
        for other in self._active:
            if other != name and self.reaches(name, other):
                levels = self.members[other].allowances.current_levels(now)
                member.allowances.lower_to_peer_levels(levels, now)

    def reaches(self, one: str, other: str) -> bool:
        """Return whether two instances can exchange messages."""
        first, second = self.members[one], self.members[other]
        return first.is_running and second.is_running and first.island == second.island

    def worst_window(self, organisation: Organisation) -> float:
        """Return the most units admitted in any window, as a share of the bound."""
        bound = (organisation.rate * WINDOW_S + organisation.burst) * (
            1 + EXCESS_SHARE
        ) + EXCESS_UNITS
        worst = total = 0.0
        window: collections.deque[tuple[float, float]] = collections.deque()
        for at, units in self.admitted[organisation.name]:
            window.append((at, units))
            total += units
            while window[0][0] <= at - WINDOW_S:
                total -= window.popleft()[1]
            worst = max(worst, total)
        return worst / bound

    def _record_paths(self) -> None:
        self._views.clear()
        now = self.clock.now()
        for one in self.names:
            for other in self.names:
                if self.reaches(one, other):
                    self._unreachable_since.pop((one, other), None)
                else:
                    self._unreachable_since.setdefault((one, other), now)

    def _view_of(self, name: str) -> FleetView:
        now = self.clock.now()
        known = self._views.get(name)
        if known is not None and now < known.valid_until:
            return known
        lost_s = {
            other: 0.0
            if other == name
            else now - self._unreachable_since.get((name, other), now)
            for other in self.names
        }
        size = sum(s <= _PRESUMED_DEAD_S for s in lost_s.values())
        heard = sum(s <= self.schedule.max_heartbeat_age_s for s in lost_s.values())
        timeout_s = self.schedule.heartbeat_timeout_s
        view = FleetView(
            live=[other for other, s in lost_s.items() if s <= timeout_s],
            size=size,
            heard_share=heard / len(self.names),
            valid_until=now + 0.1 if self._unreachable_since else float("inf"),
        )
        self._views[name] = view
        return view

    def _build(self, name: str, incarnation: int) -> FleetMember:
        allowances = SharedAllowances(
            schedule=lambda: self.schedule,
            instance_count=lambda: self._view_of(name).size,
            live_instances=lambda: self._view_of(name).live,
            heard_share=lambda: self._view_of(name).heard_share,
        )
        requests = AllowanceRequests(
            instance=name,
            allowances=allowances,
            peers=cast(GatewayPeers, _Peers(self, name)),
            metrics=_METRICS,
            clock=self.clock,
        )
        return FleetMember(name, allowances, requests, incarnation)


class _Peers:
    """Delivers requests for units to instances that can be reached."""

    def __init__(self, fleet: AllowanceFleet, sender: str) -> None:
        self._fleet = fleet
        self._sender = sender

    async def request_units(
        self, peer: str, organisation: str, units: float, ahead: float
    ) -> Grant:
        if not self._fleet.reaches(self._sender, peer):
            raise PeerError(f"{peer} does not answer")
        known = self._fleet.organisations[organisation]
        allowances = self._fleet.members[peer].allowances
        return allowances.grant(known, units, ahead, self._fleet.clock.now())


_METRICS = GatewayMetrics()
_LOOP = asyncio.new_event_loop()
_run = _LOOP.run_until_complete
