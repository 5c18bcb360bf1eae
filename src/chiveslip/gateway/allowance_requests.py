"""Decides whether requests are within their organisation's allowance.

Units come from the instance that grants them; `gateway.allowances` says which one that
is and when it has to be asked.
"""

from __future__ import annotations

import enum
from typing import final

import attrs

from chiveslip.clock import Clock
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.gateway.allowances import Grant
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.routing import Organisation

# An instance that did not answer is not asked for this time.
_GRANTOR_PAUSE_S = 1.0


class DecisionSource(enum.Enum):
    """What an instance decided from; the values are those of logs and metrics."""

    CREDIT = "credit"
    """Units that were granted before."""
    OWN_BUCKET = "own bucket"
    """This instance grants the organisation's units."""
    PEER = "peer"
    """The instance that grants them answered."""
    SHARE = "share"
    """No such instance answered."""


@attrs.frozen(kw_only=True)
class AllowanceDecision:
    """Whether a request is within its organisation's allowance.

    Attributes
    ----------
    retry_after_s
        0 if it is, else seconds after which a repeat is useful.
    """

    source: DecisionSource
    retry_after_s: float = 0.0


@final
class AllowanceRequests:
    """Decides on the requests of this instance."""

    def __init__(
        self,
        *,
        instance: str,
        allowances: SharedAllowances,
        peers: GatewayPeers,
        metrics: GatewayMetrics,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._allowances = allowances
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._asking_ahead: set[str] = set()
        self._paused_until: dict[str, float] = {}

    async def admit(
        self, organisation: Organisation, units: float
    ) -> AllowanceDecision:
        """Charge a request to its organisation, or say when to repeat it.

        Parameters
        ----------
        units
            Tokens or requests, as the organisation counts them.
        """
        decision = await self._decide(organisation, units)
        result = "refused" if decision.retry_after_s > 0 else "admitted"
        self._metrics.allowance_decisions.labels(decision.source.value, result).inc()
        return decision

    def refund(self, organisation: Organisation, units: float) -> None:
        """Give back the units of a request that was admitted and not run."""
        if organisation.rate <= 0:
            return
        if self._is_grantor(organisation):
            self._allowances.return_units(organisation.name, units)
            return
        self._allowances.add_credit(organisation, units, self._clock.now())

    async def _decide(
        self, organisation: Organisation, units: float
    ) -> AllowanceDecision:
        now = self._clock.now()
        self._allowances.record_demand(organisation, units, now)
        if self._allowances.take_credit(organisation, units, now):
            return AllowanceDecision(source=DecisionSource.CREDIT)
        if organisation.rate <= 0 or self._is_grantor(organisation):
            grant = self._allowances.grant(organisation, units, 0.0, now)
            return AllowanceDecision(
                source=DecisionSource.OWN_BUCKET, retry_after_s=grant.retry_after_s
            )
        for grantor in self._allowances.grantors_of(organisation.name):
            answer = await self._ask(grantor, organisation, units)
            if answer is None:
                continue
            if answer.units >= units:
                self._allowances.add_credit(
                    organisation, answer.units - units, self._clock.now()
                )
            return AllowanceDecision(
                source=DecisionSource.PEER, retry_after_s=answer.retry_after_s
            )
        wait_s = self._allowances.admit_from_share(
            organisation, units, self._clock.now()
        )
        return AllowanceDecision(source=DecisionSource.SHARE, retry_after_s=wait_s)

    def _is_grantor(self, organisation: Organisation) -> bool:
        grantors = self._allowances.grantors_of(organisation.name)
        return not grantors or grantors[0] == self._instance

    async def _ask(
        self, grantor: str, organisation: Organisation, units: float
    ) -> Grant | None:
        """Return the answer of an instance, this one included, or None without one."""
        name = organisation.name
        if grantor == self._instance:
            return self._allowances.grant(organisation, units, 0.0, self._clock.now())
        if self._clock.now() < self._paused_until.get(grantor, float("-inf")):
            return None
        # Requests at the same time each ask for themselves; one asks ahead of demand.
        asks_ahead = name not in self._asking_ahead
        ahead = self._allowances.units_ahead(organisation) if asks_ahead else 0.0
        self._asking_ahead.add(name)
        try:
            return await self._peers.request_units(grantor, name, units, ahead)
        except PeerError:
            self._paused_until[grantor] = self._clock.now() + _GRANTOR_PAUSE_S
            self._metrics.allowance_requests_unanswered.inc()
            return None
        finally:
            if asks_ahead:
                self._asking_ahead.discard(name)
