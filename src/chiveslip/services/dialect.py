"""The language a plain service speaks: the interface, and plain HTTP."""

from __future__ import annotations

import abc
from typing import final

from chiveslip.auth import Caller
from chiveslip.dispatch.connection import ResponseHead
from chiveslip.dispatch.reply import Call
from chiveslip.engines.protocol import REQUEST_ID_HEADER
from chiveslip.engines.protocol import OutgoingRequest

ORGANISATION_HEADER = "X-Organisation"
IDEMPOTENCY_HEADER = "Idempotency-Key"
_PASSED_ON = ("content-type", "accept", "accept-language", "idempotency-key")


class ServiceDialect(abc.ABC):
    """What is said to a plain service."""

    @abc.abstractmethod
    def call(self, call: Call, caller: Caller | None) -> OutgoingRequest:
        """Return the service's form of a caller's request."""

    @abc.abstractmethod
    def answers(self, call: Call, head: ResponseHead) -> bool:
        """Return whether an answer belongs to `call`."""


@final
class PlainHttpDialect(ServiceDialect):
    """HTTP as it came, with only the headers that a service needs."""

    def call(self, call: Call, caller: Caller | None) -> OutgoingRequest:
        """Return the service's form of a caller's request."""
        headers = {
            name: value
            for name, value in call.headers.items()
            if name.lower() in _PASSED_ON
        }
        headers[REQUEST_ID_HEADER] = call.id
        if caller is not None:
            headers[ORGANISATION_HEADER] = caller.organisation.name
        return OutgoingRequest(
            method=call.method, path=call.path, headers=headers, body=call.body
        )

    def answers(self, call: Call, head: ResponseHead) -> bool:
        """Return whether an answer belongs to `call`.

        A service that echoes no id is believed, because each connection carries
        one request at a time and none that was abandoned is used again.
        """
        echoed = head.headers.get(REQUEST_ID_HEADER)
        return echoed is None or echoed == call.id
