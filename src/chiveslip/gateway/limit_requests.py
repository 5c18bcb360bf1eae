"""Asks for requests to endpoints that have named a limit, before they are sent.

`gateway.limit_grants` says which instance grants them.
"""

from __future__ import annotations

import abc
from typing import final

from chiveslip.clock import Clock
from chiveslip.fleet.channels import PeerError
from chiveslip.gateway.call import Call
from chiveslip.gateway.call import SendGrant
from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_limits import NamedLimit
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.limit_grants import LimitGrant
from chiveslip.gateway.limit_grants import LimitGrantor
from chiveslip.gateway.metrics import GatewayMetrics

# An instance that did not answer is not asked for this time.
_GRANTOR_PAUSE_S = 1.0
# Without an answer of any grantor, an endpoint is not chosen for this time.
_NO_GRANTOR_S = 0.25
# A grant has to be used within this time; a load of an adapter usually takes less.
_GRANT_LIFETIME_S = 1.0
# The same for a cold endpoint, from the question on. What is granted early and used
# late adds to what is granted then: the users count requests within one second.
_COLD_GRANT_LIFETIME_S = 0.33


class LimitPeers(abc.ABC):
    """Asks other instances for requests to endpoints with a limit."""

    @abc.abstractmethod
    async def request_sends(
        self, peer: str, limit: NamedLimit, now: float, ahead: int
    ) -> LimitGrant:
        """Ask an instance for a request to an endpoint.

        Parameters
        ----------
        now
            Local time in seconds.
        ahead
            Requests wanted beyond one.

        Raises
        ------
        PeerError
            If it does not answer, or does not grant requests to the endpoint.
        """


@final
class LimitRequests:
    """Decides whether requests of this instance may be sent to limited endpoints."""

    def __init__(
        self,
        *,
        instance: str,
        limits: EndpointLimits,
        grantor: LimitGrantor,
        peers: LimitPeers,
        metrics: GatewayMetrics,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._limits = limits
        self._grantor = grantor
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._paused_until: dict[str, float] = {}

    async def may_send(self, call: Call, endpoint: ListedEndpoint) -> bool:
        """Return whether a request may be sent to an endpoint now.

        If the endpoint has a limit, a request is granted to the call, which keeps it
        for a short time. A call that chooses another endpoint gives it back.
        """
        now = self._clock.now()
        held = call.send_grant
        if held is not None and held.incarnation != endpoint.incarnation:
            self.give_back(call)
            held = None
        limit = self._limits.find(endpoint.incarnation)
        if limit is None:
            return True
        if held is not None and now < held.expires_at:
            return True
        call.send_grant = None
        expires_at = await self._obtain(limit)
        if expires_at is None:
            self._metrics.limit_decisions.labels("refused").inc()
            return False
        self._metrics.limit_decisions.labels("granted").inc()
        call.send_grant = SendGrant(
            incarnation=endpoint.incarnation,
            expires_at=expires_at,
            is_cold=limit.is_cold,
        )
        return expires_at > self._clock.now()

    def give_back(self, call: Call) -> None:
        """Keep the grant of a request that is not sent for the next one."""
        grant = call.send_grant
        if grant is not None:
            until = grant.expires_at if grant.is_cold else None
            self._limits.hold(grant.incarnation, 1, until)
            call.send_grant = None

    async def _obtain(self, limit: NamedLimit) -> float | None:
        """Return until when one more request to a limited endpoint may be sent.

        Returns
        -------
        float or None
            Local time in seconds, or None if no request is granted.
        """
        incarnation = limit.incarnation
        asked_at = self._clock.now()
        held_until = self._limits.take_held(incarnation)
        if held_until is not None:
            return held_until if limit.is_cold else asked_at + _GRANT_LIFETIME_S
        if self._limits.spent_s(incarnation) > 0:
            return None
        ahead = 0 if limit.is_cold else self._limits.record_demand(incarnation)
        for grantor in self._grantor.grantors_of(incarnation.endpoint):
            grant = await self._ask(grantor, limit, ahead)
            if grant is None:
                continue
            if grant.requests > 0:
                self._limits.hold(incarnation, grant.requests - 1)
                if limit.is_cold:
                    return asked_at + _COLD_GRANT_LIFETIME_S
                return self._clock.now() + _GRANT_LIFETIME_S
            self._limits.record_spent(incarnation, grant.retry_after_s)
            return None
        self._limits.record_spent(incarnation, _NO_GRANTOR_S)
        return None

    async def _ask(
        self, grantor: str, limit: NamedLimit, ahead: int
    ) -> LimitGrant | None:
        """Return the answer of an instance, this one included, or None without one."""
        if grantor == self._instance:
            return self._grantor.grant(limit, 0)
        now = self._clock.now()
        if now < self._paused_until.get(grantor, float("-inf")):
            return None
        try:
            return await self._peers.request_sends(grantor, limit, now, ahead)
        except PeerError:
            self._paused_until[grantor] = self._clock.now() + _GRANTOR_PAUSE_S
            self._metrics.limit_requests_unanswered.inc()
            return None
