"""What endpoints said of themselves in their answers to this instance.

An endpoint knows sooner than the store that it leaves, and it alone knows that it wants
no requests for a while. A statement holds for the incarnation that made it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.settings.fields import Address

# A longer rest is cut to this: an endpoint that never wants a request leaves.
MAX_REST_S = 300.0
# An endpoint that leaves may be listed again, by a store that returned from an older
# copy; its statement outlives its entry by this time.
LEAVING_RETENTION_S = 600.0
# Peers are told of an endpoint that leaves until it has been gone for this time.
_TOLD_S = 60.0


@attrs.frozen(kw_only=True)
class EndpointStatement:
    """What one answer of an endpoint says of it.

    Attributes
    ----------
    is_leaving
        Whether it takes no new requests any more.
    rest_s
        Time in seconds for which it wants no requests of this instance; 0 if it asks
        for none.
    max_refusals_per_s
        Refusals a second for want of room with which it fails, if more; None if it does
        not say so.
    max_requests_per_s
        Requests a second that it takes from all instances together; None if it names
        no limit.
    cold_remaining_s
        Time in seconds for which it is cold; 0 if it does not say so.
    """

    is_leaving: bool = False
    rest_s: float = 0.0
    max_refusals_per_s: float | None = None
    max_requests_per_s: float | None = None
    cold_remaining_s: float = 0.0


NO_STATEMENT = EndpointStatement()


@attrs.frozen(eq=False)
class Incarnation:
    """One start of an endpoint, known by its start time or else by its address.

    Attributes
    ----------
    started
        Start time that it publishes, or 0.
    """

    endpoint: str
    started: int
    address: Address

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Incarnation) and self._key == other._key

    def __hash__(self) -> int:
        return hash(self._key)

    @property
    def _key(self) -> tuple[str, int, Address | None]:
        return self.endpoint, self.started, None if self.started else self.address


@final
class EndpointStatements:
    """Statements of endpoints that are still in force."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # When each endpoint that leaves was last listed.
        self._leaving: dict[Incarnation, float] = {}
        self._rests_until: dict[Incarnation, float] = {}
        self._log = logs.get_logger("endpoints")

    @property
    def is_empty(self) -> bool:
        """Whether no statement is in force."""
        return not self._leaving and not self._rests_until

    def record(self, incarnation: Incarnation, statement: EndpointStatement) -> None:
        """Record what an answer said of its endpoint."""
        if statement.is_leaving and incarnation not in self._leaving:
            self._leaving[incarnation] = self._clock.now()
            self._log.info("Endpoint says that it leaves.", **_describe(incarnation))
        if statement.rest_s > 0:
            rest_s = min(statement.rest_s, MAX_REST_S)
            if not self.rest_s(incarnation):
                self._log.info(
                    "Endpoint asks for rest.",
                    rest_s=round(rest_s, 3),
                    asked_s=statement.rest_s,
                    **_describe(incarnation),
                )
            until = max(
                self._clock.now() + rest_s, self._rests_until.get(incarnation, 0.0)
            )
            self._rests_until[incarnation] = until

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether an endpoint has said that it leaves."""
        return incarnation in self._leaving

    def rest_s(self, incarnation: Incarnation) -> float:
        """Return the time in seconds until an endpoint wants requests again."""
        until = self._rests_until.get(incarnation)
        return 0.0 if until is None else max(until - self._clock.now(), 0.0)

    def leaving(self) -> list[Incarnation]:
        """Return the endpoints that leave and were listed lately, to tell peers."""
        since = self._clock.now() - _TOLD_S
        told = (i for i, listed_at in self._leaving.items() if listed_at >= since)
        return sorted(told, key=lambda i: (i.endpoint, i.started))

    def drop_expired(self, listed: Iterable[str]) -> None:
        """Drop rests that have ended, and statements of endpoints gone long ago.

        Parameters
        ----------
        listed
            Ids of the endpoints that are listed now.
        """
        known = set(listed)
        now = self._clock.now()
        self._leaving = {
            incarnation: now if incarnation.endpoint in known else listed_at
            for incarnation, listed_at in self._leaving.items()
            if incarnation.endpoint in known or now < listed_at + LEAVING_RETENTION_S
        }
        self._rests_until = {
            incarnation: until
            for incarnation, until in self._rests_until.items()
            if until > now
        }


def _describe(incarnation: Incarnation) -> dict[str, str | int]:
    return {
        "endpoint": incarnation.endpoint,
        "started": incarnation.started,
        "address": str(incarnation.address),
    }
