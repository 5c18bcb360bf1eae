"""A fleet in virtual time whose instances send requests to an endpoint with a limit.

The endpoint names the limit, or is cold. A cold one is not listed before it is known to
be cold: it has started, or its data centre is used again.

Each instance has the product's own limits, grantor and requests for grants. Instances
are grouped in islands that cannot reach each other; they notice late who is lost, who
is back and that a limit was named, each within the time that gossip takes. All reach
the endpoint. Calls between instances take no time, or are not answered.
"""

from __future__ import annotations

import asyncio
import bisect
import heapq
import itertools
import logging
import random
from collections.abc import Callable
from typing import cast

import attrs
import structlog

from chiveslip.clock import ManualClock
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.gossip_schedule import GossipScheduleSettings
from chiveslip.fleet.gossip_schedule import schedule_for
from chiveslip.gateway.call import Call
from chiveslip.gateway.call import SendGrant
from chiveslip.gateway.cold_endpoints import ColdEndpoints
from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_limits import NamedLimit
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.limit_grants import LimitGrant
from chiveslip.gateway.limit_grants import LimitGrantor
from chiveslip.gateway.limit_requests import LimitPeers
from chiveslip.gateway.limit_requests import LimitRequests
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.routing import Service
from chiveslip.settings.fields import Address

SEED = 20261205
WINDOW_S = 4.0
MAX_EXCESS = 1.5
SLACK_REQUESTS = 5
SIZES = (6, 91, 195, 1036)
SETTINGS = GossipScheduleSettings(
    interval_s=0.25,
    fan_out=6,
    heartbeat_timeout_s=1.5,
    batch_delay_s=0.35,
    max_watch_s=1.0,
)
# Time from a request to the head of its answer, which names the limit.
_ANSWER_S = 0.1
# Longest time from the choice of a cold endpoint to the last check: connections are
# opened and adapters loaded meanwhile.
_MAX_PREPARATION_S = 0.4
# Time after its start in which an instance may not know what its peers know, and by
# which an older peer is older.
_UNSURE_S = 1.0
_OLDER_S = 2.0
# Peers that an instance hears in its first round.
_FIRST_PEERS = 3
COLD_START_S = 3.0
ENDPOINT = ListedEndpoint(
    id="e",
    service="s",
    address=Address("10.0.0.1", 1),
    data_centre="a",
    slots=64,
    state=EndpointState.READY,
    started=1,
)


@attrs.define(eq=False)
class _SendCall:
    """The part of a call that decisions on limits read and write."""

    send_grant: SendGrant | None = None


@attrs.define(eq=False)
class FleetInstance:
    """One instance, and when its peers noticed its last start or loss."""

    name: str
    limits: EndpointLimits
    grantor: LimitGrantor
    requests: LimitRequests
    started_at: float
    cold: ColdEndpoints
    island: int = 0
    has_heard_peer: bool = False
    has_heard_older: bool = False
    is_listing: bool = False
    is_running: bool = True
    is_frozen: bool = False


@attrs.frozen
class Arrival:
    """A request at the endpoint.

    Attributes
    ----------
    is_excused
        Whether its instance was started, frozen or cut lately.
    """

    at: float
    instance: str
    is_excused: bool


class LimitFleet:
    """Instances, and the requests that reached the endpoint."""

    def __init__(self, size: int, limit: float, *, is_cold: bool = False) -> None:
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
        )
        self.clock = ManualClock(0.0)
        self.limit = limit
        self._service = Service(
            name=ENDPOINT.service,
            max_connections=1,
            cold_per_s=limit if is_cold else 0.0,
            cold_start_s=COLD_START_S,
        )
        self._is_cold = is_cold
        self._is_listed = False
        self.schedule = schedule_for(size, SETTINGS)
        self.arrivals: list[Arrival] = []
        self.names = [f"i{number}" for number in range(size)]
        self.random = random.Random(SEED)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._metrics = GatewayMetrics()
        # When one instance cannot hear another, and the delay with which it notices.
        self._silent_since: dict[tuple[str, str], float] = {}
        self._heard_from: dict[tuple[str, str], float] = {}
        self._stopping: dict[str, float] = {}
        self._excused_until: dict[str, float] = {}
        self._live_cache: dict[str, tuple[float, list[str]]] = {}
        self._is_calm = True
        self.instances = {name: self._build(name) for name in self.names}

    @property
    def notice_s(self) -> float:
        """Longest time in seconds until all instances know what one knows."""
        return max(self.schedule.propagation_s, SETTINGS.interval_s)

    def at(self, when: float, do: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (when, next(self._order), do))

    def run_until(self, end: float) -> None:
        """Let time pass until `end`."""
        while self._events and self._events[0][0] <= end:
            when, _, do = heapq.heappop(self._events)
            self.clock.advance(max(when - self.clock.now(), 0.0))
            do()
        self.clock.advance(max(end - self.clock.now(), 0.0))

    def begin_rounds(self) -> None:
        """Start the maintenance of all instances."""
        for name in self.names:
            self.at(self.random.uniform(0, self.schedule.interval_s), self._round(name))

    def request(self, name: str) -> bool:
        """Let an instance send a request; return whether it did."""
        instance = self.instances[name]
        if not instance.is_running or instance.is_frozen:
            return False
        call = cast(Call, _SendCall())
        if not _run(instance.requests.may_send(call, ENDPOINT)):
            return False
        now = self.clock.now()
        excused = now < self._excused_until.get(name, float("-inf"))
        self.arrivals.append(Arrival(now, name, excused))
        self.at(now + _ANSWER_S, lambda: self._answer(instance, now))
        return True

    def prepare(self, name: str) -> None:
        """Let an instance choose a cold endpoint, and send the request soon after."""
        instance = self.instances[name]
        is_acting = instance.is_running and not instance.is_frozen
        if not is_acting or not instance.is_listing:
            return
        call = cast(Call, _SendCall())
        if not _run(instance.requests.may_send(call, ENDPOINT)):
            return

        def send() -> None:
            if instance.is_frozen:
                # It goes on as soon as it can.
                self.at(self.clock.now() + 0.05, send)
                return
            if not instance.is_running:
                return
            if _run(instance.requests.may_send(call, ENDPOINT)):
                self.arrivals.append(Arrival(self.clock.now(), name, False))

        preparation_s = self.random.choice((0.0, self.random.random()))
        self.at(self.clock.now() + preparation_s * _MAX_PREPARATION_S, send)

    def begin_cold(self, for_s: float) -> None:
        """Let the endpoint be listed and cold, as each instance learns in its turn."""
        self._is_listed = True
        ends_at = self.clock.now() + for_s

        def list_at(name: str) -> Callable[[], None]:
            def do() -> None:
                instance = self.instances[name]
                now = self.clock.now()
                instance.cold.record(
                    ENDPOINT.incarnation, ends_at - now, now, source="store"
                )
                instance.is_listing = True

            return do

        for name in self.names:
            learns_in_s = self.random.uniform(0.0, self.schedule.batch_delay_s)
            self.at(self.clock.now() + learns_in_s, list_at(name))

    def split(self, islands: dict[str, int], excused_s: float) -> None:
        """Let instances of different islands lose each other."""
        for name, instance in self.instances.items():
            island = islands.get(name, 0)
            if island != instance.island:
                self._excuse(name, excused_s)
            instance.island = island
        self._record_paths()

    def kill(self, name: str) -> None:
        """End an instance without notice."""
        self.instances[name].is_running = False
        self._record_paths()

    def stop(self, name: str) -> None:
        """End an instance that has announced it."""
        self._stopping[name] = self.clock.now()
        self.kill(name)

    def freeze(self, name: str, for_s: float) -> None:
        """Let an instance do nothing for some seconds."""
        instance = self.instances[name]
        instance.is_frozen = True
        self._record_paths()

        def thaw() -> None:
            instance.is_frozen = False
            self._excuse(name, WINDOW_S)
            self._record_paths()

        self.at(self.clock.now() + for_s, thaw)

    def restart(self, name: str) -> None:
        """Start an instance anew."""
        self._stopping.pop(name, None)
        island = self.instances[name].island
        self.instances[name] = self._build(name)
        self.instances[name].island = island
        # It reads the store, whose entry does not say that the endpoint is cold.
        self.instances[name].is_listing = self._is_listed
        self._excuse(name, WINDOW_S)
        self._record_paths()

    def reaches(self, one: str, other: str) -> bool:
        """Return whether two instances can exchange messages."""
        first, second = self.instances[one], self.instances[other]
        return (
            first.is_running
            and second.is_running
            and not first.is_frozen
            and not second.is_frozen
            and first.island == second.island
        )

    def most_in_window(self, from_s: float, window_s: float = WINDOW_S) -> int:
        """Return the most requests in a window that began at `from_s` or later."""
        times = [a.at for a in self.arrivals if not a.is_excused and a.at >= from_s]
        return max(
            (
                bisect.bisect_left(times, at + window_s) - place
                for place, at in enumerate(times)
            ),
            default=0,
        )

    def served(self, from_s: float, to_s: float) -> float:
        """Return the requests between two times as a share of the limit."""
        count = sum(from_s <= a.at < to_s for a in self.arrivals)
        return count / (self.limit * (to_s - from_s))

    def _excuse(self, name: str, for_s: float) -> None:
        self._excused_until[name] = self.clock.now() + for_s

    def _answer(self, instance: FleetInstance, sent_at: float) -> None:
        if not instance.is_running:
            return
        if instance.limits.find(ENDPOINT.incarnation) is None:
            self._tell(instance)
        instance.limits.record_named(ENDPOINT.incarnation, self.limit)

    def _tell(self, teller: FleetInstance) -> None:
        """Have gossip tell the peers of a limit, each after a time of its own."""
        now = self.clock.now()
        for name in self.names:
            peer = self.instances[name]

            def learn(peer: FleetInstance = peer) -> None:
                limit = teller.limits.find(ENDPOINT.incarnation)
                if limit is not None and self.reaches(teller.name, peer.name):
                    peer.limits.record_limit(limit, source=teller.name)

            self.at(now + self.random.uniform(0.02, self.notice_s), learn)

    def _round(self, name: str) -> Callable[[], None]:
        def run() -> None:
            instance = self.instances[name]
            if instance.is_running and not instance.is_frozen:
                limits = instance.limits.named()
                instance.grantor.update(instance.limits.limited())
                self._hear_of_cold(instance)
                for peer in self.random.sample(self.names, min(2, len(self.names))):
                    if self.reaches(name, peer):
                        for limit in limits:
                            known = self.instances[peer].limits
                            known.record_limit(limit, source=name)
            self.at(self.clock.now() + self.schedule.interval_s, run)

        return run

    def _hear_of_cold(self, instance: FleetInstance) -> None:
        now = self.clock.now()
        for name in self.random.sample(self.names, min(_FIRST_PEERS, len(self.names))):
            peer = self.instances[name]
            if not self.reaches(instance.name, name) or peer is instance:
                continue
            instance.has_heard_peer = True
            if peer.started_at <= instance.started_at - _OLDER_S:
                instance.has_heard_older = True
            for time in peer.cold.current(now):
                instance.cold.record_told(
                    time.incarnation, time.until - now, now, peer=name
                )

    def _is_alone(self, name: str) -> bool:
        return len(self.names) > 1 and not self.instances[name].has_heard_peer

    def _is_unsure(self, name: str) -> bool:
        instance = self.instances[name]
        is_starting = self.clock.now() < instance.started_at + _UNSURE_S
        return (is_starting and not instance.has_heard_older) or self._is_alone(name)

    def _record_paths(self) -> None:
        self._is_calm = False
        self._live_cache.clear()
        now = self.clock.now()
        for one, other in itertools.permutations(self.names, 2):
            pair = (one, other)
            if self.reaches(one, other):
                if self._silent_since.pop(pair, None) is not None:
                    delay_s = self.random.uniform(0.0, self.notice_s)
                    self._heard_from[pair] = now + delay_s
            else:
                self._silent_since.setdefault(pair, now)

    def _silence_s(self, one: str, other: str) -> float:
        """Return for how long an instance has not heard another."""
        now = self.clock.now()
        since = self._silent_since.get((one, other))
        if since is None:
            return float("inf") if now < self._heard_from.get((one, other), -1) else 0.0
        return now - since

    def _live(self, name: str) -> list[str]:
        if self._is_calm:
            return self.names
        now = self.clock.now()
        cached = self._live_cache.get(name)
        if cached is not None and now < cached[0]:
            return cached[1]
        timeout_s = self.schedule.heartbeat_timeout_s
        live = [
            other
            for other in self.names
            if other == name
            or (
                self._silence_s(name, other) <= timeout_s
                and not self._knows_stop(other, now)
            )
        ]
        self._live_cache[name] = (now + 0.05, live)
        return live

    def _knows_stop(self, name: str, now: float) -> bool:
        return now > self._stopping.get(name, float("inf")) + self.notice_s / 2

    def _members(self, name: str) -> list[str]:
        return [other for other in self.names if other not in self._stopping]

    def _heard_share(self, name: str) -> float:
        if self._is_calm:
            return 1.0
        max_age_s = self.schedule.max_heartbeat_age_s
        members = self._members(name)
        heard = sum(
            other == name or self._silence_s(name, other) <= max_age_s
            for other in members
        )
        return heard / max(len(members), 1)

    def _build(self, name: str) -> FleetInstance:
        now = self.clock.now()
        cold = ColdEndpoints(
            lambda _endpoint: self._service, lambda: self._is_unsure(name), now
        )
        # Named limits are modelled without the time in which an instance is unsure.
        limits = EndpointLimits(self.clock, cold if self._is_cold else None)
        grantor = LimitGrantor(
            instance=name,
            live_instances=lambda: self._live(name),
            fleet_members=lambda: self._members(name),
            incarnation_of=lambda peer: int(self.instances[peer].started_at),
            heard_share=lambda: self._heard_share(name),
            has_older_members=lambda: now > 0,
            propagation_s=lambda: self.schedule.propagation_s,
            clock=self.clock,
            is_alone=lambda: self._is_alone(name),
        )
        requests = LimitRequests(
            instance=name,
            limits=limits,
            grantor=grantor,
            peers=_Peers(self, name),
            metrics=self._metrics,
            clock=self.clock,
        )
        return FleetInstance(name, limits, grantor, requests, now, cold)


class _Peers(LimitPeers):
    """Delivers requests for grants to instances that can be reached."""

    def __init__(self, fleet: LimitFleet, sender: str) -> None:
        self._fleet = fleet
        self._sender = sender

    async def request_sends(
        self, peer: str, limit: NamedLimit, now: float, ahead: int
    ) -> LimitGrant:
        if not self._fleet.reaches(self._sender, peer):
            raise PeerError(f"{peer} does not answer")
        instance = self._fleet.instances[peer]
        if not limit.is_cold:
            instance.limits.record_limit(limit, source=self._sender)
        known = instance.limits.find_told(limit)
        grant = instance.grantor.grant(known, ahead)
        if grant is None:
            raise PeerError(f"{peer} does not grant requests to the endpoint")
        return grant


_LOOP = asyncio.new_event_loop()
_run = _LOOP.run_until_complete
