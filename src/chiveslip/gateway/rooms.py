"""How many requests this instance may have at endpoints that fail when overloaded.

Endpoints of a service may say that they are brittle: one that has to refuse more than a
few requests a second for want of room fails. Meanwhile the slots of each endpoint are
divided among all instances, so that together they never have more requests there than
it has room for, without asking each other. A request that finds no room is handed over
to a peer with room left.
"""

from __future__ import annotations

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
# An endpoint that refused a request is not sent another one by this instance before.
_REFUSAL_PAUSE_S = 1.0
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


def divide_slots(endpoint: str, slots: int, members: Iterable[str]) -> dict[str, int]:
    """Return how many of an endpoint's slots each instance may use; none is left out.

    All instances with the same list of members compute the same shares.
    """
    ranked = hashing.rank(f"room/{endpoint}", members)
    if len(ranked) > slots:
        ranked = ranked[: max(slots // _MIN_SHARE, 1)]
    base, rest = divmod(max(slots, 0), max(len(ranked), 1))
    return {member: base + (place < rest) for place, member in enumerate(ranked)}


@final
class EndpointRooms:
    """Requests of this instance at endpoints, and its shares at brittle ones.

    Parameters
    ----------
    members
        Returns the instances among which slots are divided, this one included.

    Attributes
    ----------
    on_news
        Called when a service becomes brittle as far as this instance knows, so that
        peers can be told at once.
    """

    def __init__(
        self, instance: str, members: Callable[[], Iterable[str]], clock: Clock
    ) -> None:
        self.on_news: Callable[[], None] | None = None
        self._instance = instance
        self._members = members
        self._clock = clock
        self._brittle: dict[str, BrittleService] = {}
        self._running: dict[str, int] = {}
        self._refused_at: dict[str, float] = {}
        self._known_members: tuple[str, ...] = ()
        self._members_taken_at = float("-inf")
        self._shares: dict[tuple[str, int], dict[str, int]] = {}
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
        refused_at = self._refused_at.get(endpoint.id, float("-inf"))
        if self._clock.now() - refused_at < _REFUSAL_PAUSE_S:
            return False
        share = self._divide(endpoint).get(self._instance, 0)
        return self._running.get(endpoint.id, 0) < share

    def find_holders(self, endpoints: Iterable[ListedEndpoint]) -> set[str]:
        """Return the instances that may have requests at some of the endpoints."""
        return {
            member
            for endpoint in endpoints
            for member, share in self._divide(endpoint).items()
            if share > 0
        }

    def begin(self, endpoint: str) -> None:
        """Count a request that is sent to an endpoint."""
        self._running[endpoint] = self._running.get(endpoint, 0) + 1

    def end(self, endpoint: str) -> None:
        """Stop counting a request."""
        left = self._running[endpoint] - 1
        if left:
            self._running[endpoint] = left
        else:
            del self._running[endpoint]

    def record_refusal(self, endpoint: ListedEndpoint) -> None:
        """Record that an endpoint refused a request for want of room."""
        if self.is_brittle(endpoint.service):
            self._refused_at[endpoint.id] = self._clock.now()

    def retain_only(self, endpoints: Iterable[str]) -> None:
        """Drop the refusals of all other endpoints."""
        known = set(endpoints)
        self._refused_at = {
            name: at for name, at in self._refused_at.items() if name in known
        }

    def _divide(self, endpoint: ListedEndpoint) -> dict[str, int]:
        self._take_members()
        key = (endpoint.id, endpoint.slots)
        shares = self._shares.get(key)
        if shares is None:
            shares = divide_slots(endpoint.id, endpoint.slots, self._known_members)
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
