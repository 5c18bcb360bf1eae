"""The way of a request to a plain service."""

from __future__ import annotations

from typing import final

from chiveslip.clock import Clock
from chiveslip.gateway.call import Call
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.forwarding import Target
from chiveslip.gateway.forwarding import Way
from chiveslip.gateway.sending import TryResult
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.services.endpoint_selector import EndpointSelector

_RETRY_AFTER_S = 0.2


@final
class ServiceWay(Way):
    """Chooses endpoints of plain services."""

    def __init__(
        self, *, directory: EndpointDirectory, choice: EndpointSelector, clock: Clock
    ) -> None:
        self._directory = directory
        self._choice = choice
        self._clock = clock

    async def choose(self, call: Call) -> Target | Refusal:
        """Return the endpoint with the fewest requests from here."""
        listed = self._directory.ready(call.service)
        endpoint = self._choice.select_endpoint(listed, call.tried, self._clock.now())
        if endpoint is None:
            return Refusal(
                code=result_codes.NO_ENDPOINT,
                detail=f"No endpoint is left of {len(listed)}.",
                retry_after_s=_RETRY_AFTER_S,
            )
        return Target(endpoint=endpoint)

    def begins(self, call: Call, target: Target) -> None:
        """Count the request."""
        self._choice.record_start(target.endpoint.id)

    def first_event(self, call: Call, target: Target) -> None:
        """Do nothing; answers of plain services come whole."""

    def ends(self, call: Call, target: Target, result: TryResult | None) -> None:
        """Count the request no more."""
        self._choice.record_end(target.endpoint.id)
