"""Records what answers say of their endpoints, whichever request they answer."""

from __future__ import annotations

from typing import final

from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_statements import EndpointStatement
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.rooms import EndpointRooms


@final
class StatementRecorder:
    """Takes the statements of all answers: to callers' requests, reports and orders.

    Parameters
    ----------
    statements
        Where endpoints are kept that leave or want rest.
    rooms
        Where services are kept whose endpoints are brittle.
    limits
        Where the limits are kept that endpoints name.
    """

    def __init__(
        self,
        statements: EndpointStatements,
        rooms: EndpointRooms,
        limits: EndpointLimits,
    ) -> None:
        self._statements = statements
        self._rooms = rooms
        self._limits = limits

    def record_answer(
        self, endpoint: ListedEndpoint, statement: EndpointStatement, sent_at: float
    ) -> None:
        """Record what the answer to a request said of its endpoint.

        Parameters
        ----------
        sent_at
            Local time in seconds at which the request was sent.
        """
        self.record(endpoint, statement)
        if statement.max_requests_per_s is None:
            self._limits.record_no_limit(endpoint.incarnation, sent_at)

    def record(self, endpoint: ListedEndpoint, statement: EndpointStatement) -> None:
        """Record what a report or an answer to an order said of its endpoint.

        Whether these name limits is up to the endpoint, so none of them ends a limit.
        """
        self._statements.record(endpoint.incarnation, statement)
        if statement.max_refusals_per_s is not None:
            self._rooms.record_brittle(
                endpoint.service, statement.max_refusals_per_s, 0.0, source=endpoint.id
            )
        if statement.max_requests_per_s is not None:
            self._limits.record_named(
                endpoint.incarnation, statement.max_requests_per_s
            )
        if statement.cold_remaining_s > 0:
            self._limits.record_cold(endpoint.incarnation, statement.cold_remaining_s)

    def is_leaving(self, endpoint: ListedEndpoint) -> bool:
        """Return whether an endpoint has said that it leaves."""
        return self._statements.is_leaving(endpoint.incarnation)

    def is_resting(self, endpoint: ListedEndpoint) -> bool:
        """Return whether an endpoint wants no requests now."""
        return self._statements.rest_s(endpoint.incarnation) > 0
