"""Requests to endpoints, ready to be sent."""

from __future__ import annotations

import attrs

REQUEST_ID_HEADER = "X-Request-Id"


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """A request that is ready to be sent to an endpoint.

    Attributes
    ----------
    request_id
        Id that the endpoint echoes in its response; a response with another id is
        ignored. Empty if the endpoint does not echo ids.
    """

    method: str
    path: str
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    request_id: str = ""
