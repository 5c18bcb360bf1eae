"""Records what answers say of their endpoints, whichever request they answer."""

from __future__ import annotations

from typing import final

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
    """

    def __init__(self, statements: EndpointStatements, rooms: EndpointRooms) -> None:
        self._statements = statements
        self._rooms = rooms

    def record(self, endpoint: ListedEndpoint, statement: EndpointStatement) -> None:
        """Record what an answer said of its endpoint."""
        self._statements.record(endpoint.incarnation, statement)
        if statement.max_refusals_per_s is not None:
            self._rooms.record_brittle(
                endpoint.service, statement.max_refusals_per_s, 0.0, source=endpoint.id
            )

    def is_leaving(self, endpoint: ListedEndpoint) -> bool:
        """Return whether an endpoint has said that it leaves."""
        return self._statements.is_leaving(endpoint.incarnation)

    def is_resting(self, endpoint: ListedEndpoint) -> bool:
        """Return whether an endpoint wants no requests now."""
        return self._statements.rest_s(endpoint.incarnation) > 0
