"""Requests that other instances hand over to this one."""

from __future__ import annotations

import contextlib
import enum
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import final

from chiveslip.gateway.endpoint_statements import Incarnation
from chiveslip.gateway.forwarding import Gateway
from chiveslip.gateway.handover import ForwardedRequest
from chiveslip.gateway.reply import Reply

# A peer of several instances that have lost their paths still serves its own callers.
MAX_FORWARDED_REQUESTS = 128


class ForwardedOutcome(enum.Enum):
    """What became of a request of another instance."""

    ANSWERED = "answered"
    """It may have run."""
    NOT_RUN = "not run"
    """It was refused and certainly not run."""
    DECLINED = "declined"
    """It was not run, because this instance cannot deliver it either, or stops."""


@final
class ForwardedRequests:
    """Accepts and answers requests of other instances.

    Parameters
    ----------
    accepts_requests
        Returns whether this instance accepts new requests.
    can_deliver
        Returns whether this instance has a path to a service, and room there.
    find_leaving
        Returns the endpoints of a service that have said that they leave.
    """

    def __init__(
        self,
        gateway: Gateway,
        accepts_requests: Callable[[], bool],
        can_deliver: Callable[[str], bool],
        find_leaving: Callable[[str], Sequence[Incarnation]],
    ) -> None:
        self._gateway = gateway
        self._accepts_requests = accepts_requests
        self._can_deliver = can_deliver
        self._find_leaving = find_leaving
        self._running = 0

    @property
    def running(self) -> int:
        """Number of requests that are accepted and not yet answered."""
        return self._running

    def find_leaving(self, service: str) -> Sequence[Incarnation]:
        """Return the endpoints of a service that have said that they leave."""
        return self._find_leaving(service)

    @contextlib.contextmanager
    def reserve(self, service: str) -> Iterator[bool]:
        """Provide whether a request of a service is accepted, and count it."""
        if (
            not self._accepts_requests()
            or self._running >= MAX_FORWARDED_REQUESTS
            or not self._can_deliver(service)
        ):
            yield False
            return
        self._running += 1
        try:
            yield True
        finally:
            self._running -= 1

    async def answer(self, request: ForwardedRequest, reply: Reply) -> ForwardedOutcome:
        """Write the answer to a request, and return what became of it."""
        if not await self._gateway.handle_forwarded(request, reply):
            return ForwardedOutcome.ANSWERED
        if not self._accepts_requests() or not self._can_deliver(request.service):
            return ForwardedOutcome.DECLINED
        return ForwardedOutcome.NOT_RUN
