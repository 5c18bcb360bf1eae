"""One caller's request on its way through the gateway."""

from __future__ import annotations

import attrs

from chiveslip.gateway.dialect import RequestFacts
from chiveslip.gateway.ingress import IngressReply
from chiveslip.gateway.ingress import IngressRequest
from chiveslip.gateway.routing import Organisation
from chiveslip.gateway.routing import Route
from chiveslip.gateway.routing import RoutingTable


@attrs.define(kw_only=True, eq=False)
class Call:
    """A request that was admitted.

    Attributes
    ----------
    deadline
        Local time in seconds at which its final answer is due.
    units
        Charged to the organisation's allowance.
    ask_again
        Endpoint that was not ready yet and may be asked once more, or empty.
    was_sent
        Whether a byte of it may have reached an endpoint that did not say that it
        did not run.
    """

    request: IngressRequest
    reply: IngressReply
    facts: RequestFacts
    table: RoutingTable
    route: Route
    organisation: Organisation | None
    service: str
    arrived_at: float
    deadline: float
    units: float
    fingerprint: str
    was_sent: bool = False
    tries: int = 0
    runs: int = 0
    tried: list[str] = attrs.field(factory=list)
    ask_again: str = ""
    results: list[str] = attrs.field(factory=list)
    estimate_s: float | None = None
    load_wait_s: float = 0.0
    first_event_at: float | None = None

    @property
    def first_event_by(self) -> float:
        """Local time in seconds at which the caller leaves without an event."""
        return min(self.arrived_at + self.route.patience_s, self.deadline)

    @property
    def urgency(self) -> int:
        """Rank among requests: the organisation's first, then the route's."""
        own = self.organisation.priority if self.organisation is not None else None
        return self.route.priority if own is None else own
