"""What is logged and counted of each request.

One line for a request that went well, at its end, with all that decided its way; for
others also one for each failed try. The lines of failures are warnings, which a full
output keeps before the others.
"""

from __future__ import annotations

from typing import final

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.gateway.call import Call
from chiveslip.gateway.measures import GatewayMeasures
from chiveslip.gateway.sending import Tried
from chiveslip.results import Refusal

_CALLER_LEFT = "caller left"
_ANSWERED = "answered"
_BROKE_OFF = "broke off"
_REFUSED = "refused"


@final
class RequestRecord:
    """Logs and counts requests."""

    def __init__(self, measures: GatewayMeasures, clock: Clock) -> None:
        self._measures = measures
        self._clock = clock
        self._log = logs.get_logger("gateway")

    def refused_at_once(self, request_id: str, refusal: Refusal) -> None:
        """Note a request that was not admitted."""
        code = refusal.code
        self._measures.answers.labels("", str(code.status), str(code.code)).inc()
        self._log.warning(
            "Refused.",
            request=request_id,
            code=code.code,
            name=code.name,
            detail=refusal.detail,
            come_back_s=_rounded(refusal.advised_retry_after_s),
        )

    def try_failed(self, call: Call, endpoint: str, tried: Tried) -> None:
        """Note a try that did not end with an answer."""
        self._log.warning(
            "Try failed.",
            request=call.facts.request_id,
            endpoint=endpoint,
            result=tried.result.value,
            detail=tried.detail,
            after_s=_rounded(self._clock.now() - call.arrived_at),
        )

    def suspected(self, fingerprint: str, endpoint: str) -> None:
        """Note that an endpoint went down while it ran a request."""
        self._log.warning(
            "Crash suspected.", fingerprint=fingerprint, endpoint=endpoint
        )

    def ended(self, call: Call, refusal: Refusal | None, *, left: bool) -> None:
        """Note how an admitted request ended.

        Parameters
        ----------
        left
            Whether its caller left before.
        """
        total_s = self._clock.now() - call.arrived_at
        code = 0 if refusal is None else refusal.code.code
        route = call.route.name
        status = call.reply.status
        self._measures.answers.labels(route, str(status), str(code)).inc()
        self._measures.total.labels(route).observe(total_s)
        for result in call.results:
            self._measures.tries.labels(call.service, result).inc()
        first_s = None
        if call.first_event_at is not None:
            first_s = call.first_event_at - call.arrived_at
            self._measures.first_event.labels(route).observe(first_s)
        if call.load_wait_s > 0:
            self._measures.load_wait.observe(call.load_wait_s)
        if first_s is not None and call.estimate_s is not None:
            self._measures.estimate_error.observe(max(first_s - call.estimate_s, 0.0))
        ending = _ending(call, refusal, left=left)
        write = self._log.info if ending == _ANSWERED else self._log.warning
        write(
            "Ended.",
            request=call.facts.request_id,
            ending=ending,
            status=status,
            code=code,
            name="" if refusal is None else refusal.code.name,
            detail="" if refusal is None else refusal.detail,
            come_back_s=None
            if refusal is None
            else _rounded(refusal.advised_retry_after_s),
            route=route,
            organisation="" if call.organisation is None else call.organisation.name,
            service=call.service,
            adapter=f"{call.facts.model}/{call.facts.adapter}",
            units=call.units,
            endpoints=call.tried,
            results=call.results,
            estimate_s=_rounded(call.estimate_s),
            load_wait_s=_rounded(call.load_wait_s),
            first_event_s=_rounded(first_s),
            total_s=_rounded(total_s),
            configuration=call.table.version,
        )


def _ending(call: Call, refusal: Refusal | None, *, left: bool) -> str:
    if left:
        return _CALLER_LEFT
    if refusal is None:
        return _ANSWERED
    return _BROKE_OFF if call.first_event_at is not None else _REFUSED


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
