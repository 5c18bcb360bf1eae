"""Selects endpoints for requests to plain services."""

from __future__ import annotations

from typing import final

from chiveslip.clock import Clock
from chiveslip.gateway.call import Call
from chiveslip.gateway.cold_endpoints import prefer_warm
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.forwarding import Target
from chiveslip.gateway.forwarding import TargetSelector
from chiveslip.gateway.limit_waits import find_available_soon
from chiveslip.gateway.sending import Attempt
from chiveslip.gateway.sending import AttemptResult
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.services.endpoint_selector import EndpointSelector

_RETRY_AFTER_S = 0.2


@final
class ServiceTargetSelector(TargetSelector):
    """Selects endpoints of plain services."""

    def __init__(
        self,
        *,
        directory: EndpointDirectory,
        endpoint_selector: EndpointSelector,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._endpoint_selector = endpoint_selector
        self._clock = clock

    async def select_target(self, call: Call) -> Target | Refusal:
        """Return a healthy endpoint with few requests, preferably a close one."""
        now = self._clock.now()
        listed = await find_available_soon(self._directory, call, self._clock)
        untried = [e for e in listed if e.id not in call.attempted_endpoints]
        endpoint = self._endpoint_selector.select_endpoint(
            prefer_warm(untried, self._directory.is_cold), (), now
        )
        if endpoint is None:
            return Refusal(
                code=result_codes.NO_ENDPOINT,
                detail=f"No ready endpoint is left to try, out of {len(listed)}.",
                retry_after_s=_RETRY_AFTER_S if listed else self._wait_s(call),
            )
        return Target(endpoint=endpoint, chosen_at=now)

    def _wait_s(self, call: Call) -> float:
        wait_s = self._directory.wait_s(call.service, call.allowed_regions)
        return max(wait_s, _RETRY_AFTER_S)

    def record_start(self, call: Call, target: Target) -> None:
        """Count the request as running at its endpoint."""
        self._endpoint_selector.record_start(target.endpoint.id)

    def record_first_event(self, call: Call, target: Target) -> None:
        """Do nothing; answers of plain services are not streamed."""

    def record_end(self, call: Call, target: Target, attempt: Attempt | None) -> None:
        """Stop counting the request as running, and record how long it took."""
        endpoint = target.endpoint.id
        self._endpoint_selector.record_end(endpoint)
        sent_at = call.attempt_times[-1].sent_at
        is_answered = (
            attempt is not None
            and attempt.result is AttemptResult.ANSWERED
            and not attempt.is_failure
        )
        if is_answered and sent_at is not None:
            now = self._clock.now()
            self._endpoint_selector.record_response(endpoint, now - sent_at, now)
