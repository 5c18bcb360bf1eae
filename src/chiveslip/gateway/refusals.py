"""Writes refusals: answers of the gateway itself, not of an endpoint."""

from __future__ import annotations

import json
from typing import final

from chiveslip.gateway.protocol import GatewayProtocol
from chiveslip.gateway.reply import Reply
from chiveslip.results import Refusal


@final
class RefusalWriter:
    """Writes refusals with the headers of the callers' protocol."""

    def __init__(self, protocol: GatewayProtocol) -> None:
        self._protocol = protocol

    async def write(self, reply: Reply, request_id: str, refusal: Refusal) -> None:
        """Write a refusal, or abort the answer if it has been started."""
        if reply.has_started:
            reply.abort()
            return
        headers = self._protocol.build_refusal_headers(request_id, refusal.code.code)
        retry_after_s = refusal.advised_retry_after_s
        if retry_after_s is not None:
            headers["Retry-After"] = f"{retry_after_s:.2f}"
        body = json.dumps({"code": refusal.code.code, "detail": refusal.detail})
        headers["Content-Type"] = "application/json"
        await reply.respond(refusal.code.status, headers, body.encode())
