"""Limits of endpoints for tests with one instance."""

from __future__ import annotations

from chiveslip.clock import Clock
from chiveslip.fleet.channels import PeerError
from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_limits import NamedLimit
from chiveslip.gateway.limit_grants import LimitGrant
from chiveslip.gateway.limit_grants import LimitGrantor
from chiveslip.gateway.limit_requests import LimitPeers
from chiveslip.gateway.limit_requests import LimitRequests
from chiveslip.gateway.metrics import GatewayMetrics


class NoPeers(LimitPeers):
    """Peers that never answer."""

    async def request_sends(
        self, peer: str, limit: NamedLimit, now: float, ahead: int
    ) -> LimitGrant:
        raise PeerError(f"{peer} does not answer")


def make_limit_requests(limits: EndpointLimits, clock: Clock) -> LimitRequests:
    """Return what decides on the requests of an instance that is alone."""
    grantor = LimitGrantor(
        instance="here",
        live_instances=lambda: ["here"],
        fleet_members=lambda: ["here"],
        incarnation_of=lambda _name: 1,
        heard_share=lambda: 1.0,
        has_older_members=lambda: False,
        propagation_s=lambda: 0.0,
        clock=clock,
    )
    return LimitRequests(
        instance="here",
        limits=limits,
        grantor=grantor,
        peers=NoPeers(),
        metrics=GatewayMetrics(),
        clock=clock,
    )
