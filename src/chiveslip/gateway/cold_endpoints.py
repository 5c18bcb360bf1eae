"""Until when endpoints are cold, and how many requests a second they take meanwhile.

An endpoint that has just started is slow, and crashes if it gets many requests. It says
for how long in its store entry and in its answers. Endpoints of a data centre whose
evacuation was revoked are taken for cold, as are all endpoints by an instance that has
just started and has heard no peer yet. A service without a rate for cold endpoints has
none. The module does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Collection
from typing import TypeVar
from typing import final

import attrs

from chiveslip import logs
from chiveslip.gateway.endpoint_statements import Incarnation
from chiveslip.gateway.routing import Service

# A longer time is cut to this: an endpoint is cold for seconds after its start.
MAX_COLD_S = 60.0
# What a peer tells is this much longer at most than what it knows, by the time that
# messages take. Two instances that told each other would never end a time otherwise.
_MAX_TOLD_DELAY_S = 1.0
# A time that has ended is remembered for this long, so that peers do not renew it.
_RETENTION_S = 10.0

AnyEndpoint = TypeVar("AnyEndpoint")


@attrs.frozen(kw_only=True)
class ColdTime:
    """A time in which an endpoint is cold.

    Attributes
    ----------
    until
        Local time in seconds.
    is_told
        Whether peers are told of it.
    """

    incarnation: Incarnation
    until: float
    is_told: bool


@final
class ColdEndpoints:
    """Endpoints that are cold.

    Parameters
    ----------
    find_service
        Returns the service of an endpoint, or None if either is unknown.
    is_unsure
        Returns whether this instance has not heard yet what its peers know.
    started_at
        Local time in seconds at which this instance started.

    Attributes
    ----------
    on_news
        Called when an endpoint says that it is cold and this instance did not know, so
        that peers can be told at once.
    """

    def __init__(
        self,
        find_service: Callable[[str], Service | None],
        is_unsure: Callable[[], bool] = lambda: False,
        started_at: float = -math.inf,
    ) -> None:
        self.on_news: Callable[[], None] | None = None
        self._find_service = find_service
        self._is_unsure = is_unsure
        self._started_at = started_at
        self._times: dict[Incarnation, ColdTime] = {}
        self._log = logs.get_logger("cold")

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint is known to be cold, or may be without being known."""
        return not self._times and not self._is_unsure()

    def record(
        self,
        incarnation: Incarnation,
        remaining_s: float,
        now: float,
        *,
        source: str,
        is_told: bool = True,
    ) -> None:
        """Record that an endpoint is cold for some seconds from now.

        The longest time that was said holds, as what is said may be overtaken.

        Parameters
        ----------
        now
            Local time in seconds.
        source
            Where this instance learnt of it, for the log.
        is_told
            Whether peers are told; an entry that was read at the start may be old.
        """
        if not 0 < remaining_s < math.inf:
            return
        until = now + min(remaining_s, MAX_COLD_S)
        known = self._times.get(incarnation)
        is_known = known is not None and known.until > now
        if known is not None and is_known:
            until = max(until, known.until)
            is_told = is_told or known.is_told
        self._times[incarnation] = ColdTime(
            incarnation=incarnation, until=until, is_told=is_told
        )
        if is_known or self._rate(incarnation) <= 0:
            return
        self._log.info(
            "Endpoint is cold.",
            endpoint=incarnation.endpoint,
            started=incarnation.started,
            for_s=round(until - now, 3),
            source=source,
        )
        if source == incarnation.endpoint and self.on_news is not None:
            self.on_news()

    def record_told(
        self, incarnation: Incarnation, remaining_s: float, now: float, *, peer: str
    ) -> None:
        """Record that a peer tells for how many seconds an endpoint is cold."""
        known = self._times.get(incarnation)
        if known is None or now + remaining_s > known.until + _MAX_TOLD_DELAY_S:
            self.record(incarnation, remaining_s, now, source=peer)

    def find(self, incarnation: Incarnation, now: float) -> tuple[float, float] | None:
        """Return the requests a second that a cold endpoint takes, and until when.

        Returns
        -------
        tuple or None
            None if it is not cold.
        """
        until = self._until(incarnation)
        if until <= now:
            return None
        rate = self._rate(incarnation)
        return None if rate <= 0 else (rate, until)

    def current(self, now: float) -> list[ColdTime]:
        """Return the endpoints that are known to be cold; forget those long warm."""
        self._times = {
            incarnation: time
            for incarnation, time in self._times.items()
            if time.until + _RETENTION_S > now
        }
        return [
            time
            for incarnation, time in self._times.items()
            if time.until > now and self._rate(incarnation) > 0
        ]

    def _until(self, incarnation: Incarnation) -> float:
        time = self._times.get(incarnation)
        until = -math.inf if time is None else time.until
        if not self._is_unsure():
            return until
        service = self._find_service(incarnation.endpoint)
        cold_start_s = 0.0 if service is None else service.cold_start_s
        return max(until, self._started_at + cold_start_s)

    def _rate(self, incarnation: Incarnation) -> float:
        service = self._find_service(incarnation.endpoint)
        return 0.0 if service is None else service.cold_per_s


def prefer_warm(
    endpoints: Collection[AnyEndpoint],
    is_cold: Callable[[AnyEndpoint], bool],
    is_suitable: Callable[[AnyEndpoint], bool] = lambda _endpoint: True,
) -> list[AnyEndpoint]:
    """Return the warm ones of some endpoints, unless only cold ones are suitable.

    Parameters
    ----------
    is_suitable
        Returns whether an endpoint holds what the request needs. If none does, it is
        loaded at a warm one.
    """
    warm = [endpoint for endpoint in endpoints if not is_cold(endpoint)]
    if not warm or len(warm) == len(endpoints):
        return list(endpoints)
    if any(map(is_suitable, warm)) or not any(map(is_suitable, endpoints)):
        return warm
    return list(endpoints)
