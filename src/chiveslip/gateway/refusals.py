"""Answers of the gateway's own."""

from __future__ import annotations

import json
from typing import final

from chiveslip.gateway.dialect import GatewayDialect
from chiveslip.gateway.ingress import IngressReply
from chiveslip.results import Refusal


@final
class Refuser:
    """Writes refusals in the words of the callers' dialect."""

    def __init__(self, dialect: GatewayDialect) -> None:
        self._dialect = dialect

    async def refuse(
        self, reply: IngressReply, request_id: str, refusal: Refusal
    ) -> None:
        """Write a refusal, or break off an answer that has begun."""
        if reply.started:
            reply.break_off()
            return
        headers = self._dialect.refusal_headers(request_id, refusal.code.code)
        after = refusal.advised_retry_after_s
        if after is not None:
            headers["Retry-After"] = f"{after:.2f}"
        body = json.dumps({"code": refusal.code.code, "detail": refusal.detail})
        headers["Content-Type"] = "application/json"
        await reply.respond(refusal.code.status, headers, body.encode())
