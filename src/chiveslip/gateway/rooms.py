"""How many requests this instance may have at endpoints that fail when overloaded.

Endpoints of a service may say that they are brittle: one that has to refuse more than a
few requests a second for want of room fails. Meanwhile the slots of each endpoint are
divided among some instances, so that together they never have more requests there than
it has slots, without asking each other. A request that finds no room is handed over
to a peer with room left.

An engine whose memory is full has room for less than its slots. No more instances share
an endpoint than it bears refusals a second, and each of them causes its part of these
at most: beyond what is known to have found room, it sends as many requests and waits
whether they are refused.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable
from collections.abc import Iterable
from typing import final

import attrs

from chiveslip import hashing
from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.gateway.endpoints import ListedEndpoint

# A service counts as brittle for this long after an answer that said so.
BRITTLE_S = 3.0
# An endpoint refuses at once what it has no room for, so a request that was not refused
# within this time has found room.
_PROOF_S = 0.1
# After a refusal, nothing is sent for this long beyond what has found room.
_CAUTION_S = 1.0
# More requests than the endpoint had when it refused one are not tried again before.
_CEILING_S = 5.0
# An engine that reports as many waiting requests has no room for another one.
_MAX_WAITING = 2
# Share of an instance in a fleet of more instances than slots: the fewer instances have
# shares, the sooner a request that is handed over finds room.
_MIN_SHARE = 3
# The list of the fleet's members is taken at most this often.
_MEMBERS_INTERVAL_S = 0.25


@attrs.frozen(kw_only=True)
class BrittleService:
    """What is known of a service whose endpoints are brittle.

    Attributes
    ----------
    refusals_per_s
        Refusals a second that one endpoint bears.
    said_at
        Local time in seconds of the last answer that said so.
    """

    service: str
    refusals_per_s: float
    said_at: float


@attrs.frozen(eq=False)
class RoomUse:
    """A request that is running at an endpoint.

    Attributes
    ----------
    requests
        Requests of this instance at the endpoint when it was sent, this one included.
    sent_at
        Local time in seconds.
    """

    endpoint: str
    requests: int
    sent_at: float


@attrs.define
class _KnownRoom:
    """What this instance knows of the room at a brittle endpoint.

    Attributes
    ----------
    proven
        Requests of this instance that found room there at the same time.
    ceiling
        Requests of this instance that were there when it refused another one.
    refused_at
        Local time in seconds of that refusal.
    unproven
        Requests that were sent so recently that they may still be refused.
    """

    proven: int
    ceiling: int = 0
    refused_at: float = float("-inf")
    unproven: collections.deque[RoomUse] = attrs.field(factory=collections.deque)

    def limit(self, max_unproven: int, now: float) -> int:
        """Return how many requests may be there at the same time."""
        while self.unproven and self.unproven[0].sent_at <= now - _PROOF_S:
            self.record_room(self.unproven.popleft())
        since_refusal_s = now - self.refused_at
        if since_refusal_s < _CAUTION_S:
            return self.proven
        limit = self.proven + max_unproven
        return min(limit, self.ceiling) if since_refusal_s < _CEILING_S else limit

    def record_room(self, use: RoomUse) -> None:
        """Record that a request was not refused."""
        if use.sent_at > self.refused_at:
            self.proven = max(self.proven, use.requests)

    def record_refusal(self, others: int, now: float) -> None:
        """Record a refusal while other requests of this instance were there.

        If fewer were there than had found room before, the room has shrunk, maybe by
        more than this one.
        """
        self.ceiling = max(others, 1)
        if others < self.proven:
            self.proven = others // 2
        self.refused_at = now
        self.unproven.clear()


def divide_slots(
    endpoint: str, slots: int, members: Iterable[str], max_refusals_per_s: float
) -> dict[str, int]:
    """Return how many of an endpoint's slots each instance may use; none is left out.

    All instances with the same list of members compute the same shares.

    Parameters
    ----------
    max_refusals_per_s
        Refusals a second that the endpoint bears: no more instances get a share.
    """
    ranked = hashing.rank(f"room/{endpoint}", members)
    if len(ranked) > slots:
        ranked = ranked[: max(slots // _MIN_SHARE, 1)]
    ranked = ranked[: max(int(max_refusals_per_s), 1)]
    base, rest = divmod(max(slots, 0), max(len(ranked), 1))
    return {member: base + (place < rest) for place, member in enumerate(ranked)}


@final
class EndpointRooms:
    """Requests of this instance at endpoints, and its shares at brittle ones.

    Parameters
    ----------
    members
        Returns the instances among which slots are divided, this one included.
    count_waiting
        Returns how many requests an endpoint has reported as waiting; 0 if unknown.
    has_all_slots
        Returns whether the endpoints of a service have room for as many requests as
        they have slots.

    Attributes
    ----------
    on_news
        Called when a service becomes brittle as far as this instance knows, so that
        peers can be told at once.
    """

    def __init__(
        self,
        instance: str,
        members: Callable[[], Iterable[str]],
        clock: Clock,
        count_waiting: Callable[[str], int] = lambda _endpoint: 0,
        has_all_slots: Callable[[str], bool] = lambda _service: True,
    ) -> None:
        self.on_news: Callable[[], None] | None = None
        self._instance = instance
        self._members = members
        self._clock = clock
        self._count_waiting = count_waiting
        self._has_all_slots = has_all_slots
        self._brittle: dict[str, BrittleService] = {}
        self._running: dict[str, int] = {}
        self._known_rooms: dict[str, _KnownRoom] = {}
        self._known_members: tuple[str, ...] = ()
        self._members_taken_at = float("-inf")
        self._shares: dict[tuple[str, int, int], dict[str, int]] = {}
        self._log = logs.get_logger("rooms")

    def record_brittle(
        self, service: str, refusals_per_s: float, age_s: float, *, source: str
    ) -> None:
        """Record that endpoints of a service said that they are brittle.

        Parameters
        ----------
        age_s
            Time in seconds since they said so.
        source
            Who tells this, for the log.
        """
        if not math.isfinite(refusals_per_s):
            refusals_per_s = 0.0
        if math.isnan(age_s):
            return
        said_at = self._clock.now() - max(age_s, 0.0)
        known = self._brittle.get(service)
        if known is not None and known.said_at >= said_at:
            return
        is_news = not self.is_brittle(service) and age_s < BRITTLE_S
        if is_news:
            self._log.warning(
                "Endpoints of a service are brittle.",
                service=service,
                refusals_per_s=refusals_per_s,
                source=source,
                age_s=round(age_s, 3),
            )
        self._brittle[service] = BrittleService(
            service=service, refusals_per_s=refusals_per_s, said_at=said_at
        )
        if is_news and self.on_news is not None:
            self.on_news()

    def brittle_services(self) -> list[BrittleService]:
        """Return the services that are brittle now, and drop all others."""
        since = self._clock.now() - BRITTLE_S
        self._brittle = {
            name: brittle
            for name, brittle in self._brittle.items()
            if brittle.said_at > since
        }
        return list(self._brittle.values())

    def is_brittle(self, service: str) -> bool:
        """Return whether the endpoints of a service are brittle."""
        brittle = self._brittle.get(service)
        return brittle is not None and brittle.said_at > self._clock.now() - BRITTLE_S

    def has_room(self, endpoint: ListedEndpoint) -> bool:
        """Return whether this instance may have one more request at an endpoint."""
        if not self.is_brittle(endpoint.service):
            return True
        shares = self._divide(endpoint)
        share = shares.get(self._instance, 0)
        running = self._running.get(endpoint.id, 0)
        if running >= share or self._count_waiting(endpoint.id) >= _MAX_WAITING:
            return False
        room = self._known_rooms.get(endpoint.id)
        if room is None:
            proven = share if self._has_all_slots(endpoint.service) else running
            room = self._known_rooms[endpoint.id] = _KnownRoom(proven)
        max_unproven = self._refusals_per_s(endpoint.service) // len(shares)
        return running < room.limit(max(max_unproven, 1), self._clock.now())

    def find_holders(self, endpoints: Iterable[ListedEndpoint]) -> set[str]:
        """Return the instances that may have requests at some of the endpoints."""
        return {
            member
            for endpoint in endpoints
            for member, share in self._divide(endpoint).items()
            if share > 0
        }

    def count_running(self, endpoint: str) -> int:
        """Return how many requests of this instance run at an endpoint."""
        return self._running.get(endpoint, 0)

    def begin(self, endpoint: str) -> RoomUse:
        """Count a request that is sent to an endpoint, until `end`."""
        running = self._running[endpoint] = self._running.get(endpoint, 0) + 1
        use = RoomUse(endpoint, running, self._clock.now())
        room = self._known_rooms.get(endpoint)
        if room is not None:
            room.unproven.append(use)
        return use

    def end(self, use: RoomUse, *, has_found_room: bool) -> None:
        """Stop counting a request.

        Parameters
        ----------
        has_found_room
            Whether the endpoint began to answer it.
        """
        left = self._running[use.endpoint] - 1
        if left:
            self._running[use.endpoint] = left
        else:
            del self._running[use.endpoint]
        room = self._known_rooms.get(use.endpoint)
        if room is None:
            return
        if use in room.unproven:
            room.unproven.remove(use)
        if has_found_room:
            room.record_room(use)

    def record_refusal(self, endpoint: ListedEndpoint) -> None:
        """Record that an endpoint refused a running request for want of room."""
        if not self.is_brittle(endpoint.service):
            return
        others = self._running.get(endpoint.id, 1) - 1
        room = self._known_rooms.setdefault(endpoint.id, _KnownRoom(others))
        room.record_refusal(others, self._clock.now())

    def retain_only(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Drop what is known of the room at endpoints that are not brittle or gone."""
        brittle = {e.id for e in endpoints if self.is_brittle(e.service)}
        self._known_rooms = {
            name: room for name, room in self._known_rooms.items() if name in brittle
        }

    def _refusals_per_s(self, service: str) -> int:
        brittle = self._brittle.get(service)
        return 1 if brittle is None else int(brittle.refusals_per_s)

    def _divide(self, endpoint: ListedEndpoint) -> dict[str, int]:
        self._take_members()
        max_refusals_per_s = self._refusals_per_s(endpoint.service)
        key = (endpoint.id, endpoint.slots, max_refusals_per_s)
        shares = self._shares.get(key)
        if shares is None:
            shares = divide_slots(
                endpoint.id, endpoint.slots, self._known_members, max_refusals_per_s
            )
            self._shares[key] = shares
        return shares

    def _take_members(self) -> None:
        now = self._clock.now()
        if now - self._members_taken_at < _MEMBERS_INTERVAL_S:
            return
        self._members_taken_at = now
        members = tuple(sorted(self._members()))
        if members != self._known_members:
            self._known_members = members
            self._shares.clear()
