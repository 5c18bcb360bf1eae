"""Plays loads against the shares of brittle endpoints: refusals, falls and use.

``python -m bench.brittle_endpoints [--plots DIR]`` prints a table (virtual time, fixed
seed).
Instances are the product's own `EndpointRooms`; endpoints refuse what they have no slot
for, and fall if they refuse more than a limit in one second.
"""

from __future__ import annotations

import collections
import enum
import heapq
import itertools
import logging
import random
from pathlib import Path
from typing import Annotated

import attrs
import cappa
import structlog

from bench.plots import plot_shares
from chiveslip.clock import ManualClock
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.rooms import EndpointRooms
from chiveslip.gateway.rooms import RoomUse
from chiveslip.settings.fields import Address

SEED = 20261204
SERVICE = "kiosk"
SERVICE_S = 0.08
DOWN_S = 3.0
MAX_OFFERS = 6
SIZES = (6, 91, 195, 1036)
# Share to be served of what is possible.
GOAL = 0.9


class Callers(enum.Enum):
    """At which instances the callers are."""

    EVEN = "even"
    TWO = "two"


@attrs.frozen(kw_only=True)
class Load:
    """A load and the fleet that it is played against.

    Attributes
    ----------
    use
        Offered load as a share of all slots.
    max_refusals_per_s
        Refusals a second that an endpoint bears.
    cut_third
        Whether a third of the instances cannot reach the others, which it knows.
    room
        Requests that an engine has room for; None for plain endpoints, whose slots
        are their room.
    ignores_shares
        Whether instances send without regard to their shares, as before.
    """

    instances: int
    callers: Callers = Callers.EVEN
    use: float = 0.9
    endpoints: int = 8
    slots: int = 6
    max_refusals_per_s: int = 1
    cut_third: bool = False
    room: int | None = None
    ignores_shares: bool = False
    duration_s: float = 20.0

    @property
    def usable_slots(self) -> int:
        """Requests that all endpoints together have room for."""
        return self.endpoints * (self.slots if self.room is None else self.room)


@attrs.define
class Result:
    """What a load came to.

    Attributes
    ----------
    possible
        Requests that a chooser would serve which knows all endpoints' free slots.
    """

    sent: int = 0
    served: int = 0
    possible: int = 0
    refusals: int = 0
    falls: int = 0
    max_refusals_in_a_second: int = 0

    @property
    def use_of_possible(self) -> float:
        """Served requests as a share of those that could be served."""
        return self.served / max(self.possible, 1)


@attrs.define
class _Endpoint:
    listed: ListedEndpoint
    running: int = 0
    down_until: float = 0.0
    refused_at: collections.deque[float] = attrs.field(factory=collections.deque)


class _Model:
    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._clock = ManualClock()
        self._result = Result()
        self._endpoints = [
            _Endpoint(_list_endpoint(number, load.slots))
            for number in range(load.endpoints)
        ]
        names = [f"instance-{number}" for number in range(load.instances)]
        third = load.instances // 3 if load.cut_third else 0
        self._groups = {
            name: names[:third] if number < third else names[third:]
            for number, name in enumerate(names)
        }
        self._names = names
        self._rooms = {
            name: EndpointRooms(
                name,
                lambda: names,
                self._clock,
                has_all_slots=lambda _service: load.room is None,
            )
            for name in names
        }
        self._room = load.usable_slots // load.endpoints
        self._ends: list[tuple[float, int, RoomUse, str, _Endpoint]] = []
        self._numbers = itertools.count()

    def run(self) -> Result:
        load = self._load
        rate = load.use * load.usable_slots / SERVICE_S
        ideal: list[float] = []
        begin = now = self._clock.now()
        while now < begin + load.duration_s:
            now += self._random.expovariate(rate)
            self._end_requests(now)
            self._clock.advance(now - self._clock.now())
            took_s = self._random.expovariate(1 / SERVICE_S)
            while ideal and ideal[0] <= now:
                heapq.heappop(ideal)
            if len(ideal) < load.usable_slots:
                heapq.heappush(ideal, now + took_s)
                self._result.possible += 1
            self._result.sent += 1
            self._serve(self._choose_caller_instance(), now, took_s)
        return self._result

    def _choose_caller_instance(self) -> str:
        if self._load.callers is Callers.TWO:
            return self._random.choice((self._names[0], self._names[-1]))
        return self._random.choice(self._names)

    def _serve(self, name: str, now: float, took_s: float) -> None:
        if self._send(name, now, took_s):
            return
        if self._load.ignores_shares:
            return
        listed = [endpoint.listed for endpoint in self._endpoints]
        holders = self._rooms[name].find_holders(listed) & set(self._groups[name])
        holders.discard(name)
        peers = self._random.sample(sorted(holders), min(MAX_OFFERS, len(holders)))
        for peer in peers:
            if self._send(peer, now, took_s):
                return

    def _send(self, name: str, now: float, took_s: float) -> bool:
        """Return whether an instance sends a request to an endpoint."""
        rooms = self._rooms[name]
        rooms.record_brittle(SERVICE, self._load.max_refusals_per_s, 0.0, source="play")
        available = [
            endpoint
            for endpoint in self._endpoints
            if endpoint.down_until <= now
            and (self._load.ignores_shares or rooms.has_room(endpoint.listed))
        ]
        if not available:
            return False
        endpoint = self._random.choice(available)
        use = rooms.begin(endpoint.listed.id)
        if endpoint.running >= self._room:
            rooms.record_refusal(endpoint.listed)
            rooms.end(use, has_found_room=False)
            self._refuse(endpoint, now)
            return True
        endpoint.running += 1
        end = (now + took_s, next(self._numbers), use, name, endpoint)
        heapq.heappush(self._ends, end)
        return True

    def _refuse(self, endpoint: _Endpoint, now: float) -> None:
        self._result.refusals += 1
        endpoint.refused_at.append(now)
        while endpoint.refused_at[0] <= now - 1.0:
            endpoint.refused_at.popleft()
        count = len(endpoint.refused_at)
        result = self._result
        result.max_refusals_in_a_second = max(result.max_refusals_in_a_second, count)
        if count > self._load.max_refusals_per_s:
            result.falls += 1
            endpoint.down_until = now + DOWN_S
            endpoint.refused_at.clear()

    def _end_requests(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            ended_at, _, use, name, endpoint = heapq.heappop(self._ends)
            self._rooms[name].end(use, has_found_room=True)
            endpoint.running -= 1
            fell_meanwhile = endpoint.down_until - DOWN_S > use.sent_at
            if not (fell_meanwhile and ended_at > endpoint.down_until - DOWN_S):
                self._result.served += 1


def _list_endpoint(number: int, slots: int) -> ListedEndpoint:
    return ListedEndpoint(
        id=f"k{number}",
        service=SERVICE,
        address=Address("10.0.0.1", 8000 + number),
        data_centre="glasgow",
        slots=slots,
        state=EndpointState.READY,
        started=1,
    )


def play(load: Load, seed: int = SEED) -> Result:
    """Play a load and return what it came to."""
    return _Model(load, seed).run()


_USE = 0.9


@attrs.frozen
class Command:
    """Print the table of loads.

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
        columns = "instances", "callers", "room", "refusals/s", "cut", "served"
        print(f"| {' | '.join(columns)} | refusals | most in a second | falls |")
        print("|---|---|---|---|---|---|---|---|---|")
        for instances, callers, room, refusals, cut in itertools.product(
            SIZES, Callers, (None, 4), (1, 6), (False, True)
        ):
            load = Load(
                instances=instances,
                callers=callers,
                use=_USE,
                cut_third=cut,
                room=room,
                max_refusals_per_s=refusals,
            )
            result = play(load)
            cut_off = "a third" if cut else "none"
            room_name = "all slots" if room is None else f"{room} of {load.slots}"
            print(
                f"| {instances:,} | {callers.value} | {room_name} | {refusals} "
                f"| {cut_off} | {result.use_of_possible:.3f} | {result.refusals} "
                f"| {result.max_refusals_in_a_second} | {result.falls} |"
            )
            label = f"{room_name}, N = {refusals}, cut off: {cut_off}"
            if callers is Callers.EVEN:
                lines.setdefault(label, []).append(result.use_of_possible)
        if self.plots is not None:
            plot_shares(
                self.plots / "brittle-endpoints.svg",
                "Served of what a chooser serves that knows all free room",
                SIZES,
                lines,
                goal=GOAL,
            )


if __name__ == "__main__":
    cappa.invoke(Command)
