"""Protocols of plain services: the interface and plain HTTP."""

from __future__ import annotations

import abc
from typing import final

from chiveslip.auth import Caller
from chiveslip.dispatch.connection import ResponseHead
from chiveslip.dispatch.outgoing import REQUEST_ID_HEADER
from chiveslip.dispatch.outgoing import OutgoingRequest
from chiveslip.dispatch.reply import Call

ORGANISATION_HEADER = "X-Organisation"
IDEMPOTENCY_HEADER = "Idempotency-Key"
_FORWARDED_HEADERS = ("content-type", "accept", "accept-language", "idempotency-key")


class ServiceProtocol(abc.ABC):
    """Protocol of a plain service."""

    @abc.abstractmethod
    def build_request(self, call: Call, caller: Caller | None) -> OutgoingRequest:
        """Return the request to send to the service for a call."""

    @abc.abstractmethod
    def is_answer_to(self, call: Call, head: ResponseHead) -> bool:
        """Return whether the response with `head` answers `call`."""


@final
class PlainHttpProtocol(ServiceProtocol):
    """HTTP that forwards method, path, body and the headers that a service needs."""

    def build_request(self, call: Call, caller: Caller | None) -> OutgoingRequest:
        """Return the request to send to the service for a call."""
        headers = {
            name: value
            for name, value in call.headers.items()
            if name.lower() in _FORWARDED_HEADERS
        }
        headers[REQUEST_ID_HEADER] = call.id
        if caller is not None:
            headers[ORGANISATION_HEADER] = caller.organisation.name
        return OutgoingRequest(
            method=call.method, path=call.path, headers=headers, body=call.body
        )

    def is_answer_to(self, call: Call, head: ResponseHead) -> bool:
        """Return whether the response with `head` answers `call`.

        A response without a request id is accepted, because each connection carries
        one request at a time and is not reused after an abandoned one.
        """
        echoed = head.headers.get(REQUEST_ID_HEADER)
        return echoed is None or echoed == call.id
