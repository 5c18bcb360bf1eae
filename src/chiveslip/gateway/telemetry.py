"""Logs requests and updates their metrics.

Each admitted request is logged once, at its end, with everything that determined its
outcome; each failed attempt is logged as well. Failures are logged as warnings, because
lines of lower levels are dropped first when the output is full.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.gateway.call import Call
from chiveslip.gateway.call import EngineEstimate
from chiveslip.gateway.call import LoadWait
from chiveslip.gateway.call import PromptEstimate
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.sending import Attempt
from chiveslip.results import Refusal

_CALLER_DISCONNECTED = "caller left"
_ANSWERED = "answered"
_TRUNCATED = "broke off"
_REFUSED = "refused"
_PENDING = "pending"
# Bounds in tokens of the classes of prompts in the metrics.
_LENGTH_LIMITS = (500, 1000, 2000, 4000)


@final
class RequestTelemetry:
    """Logs requests and updates their metrics."""

    def __init__(self, metrics: GatewayMetrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._log = logs.get_logger("gateway")

    def record_not_admitted(
        self, request_id: str, refusal: Refusal, route: str
    ) -> None:
        """Record a request that was not admitted.

        Parameters
        ----------
        route
            Name of its route, or empty if none is known.
        """
        code = refusal.code
        self._metrics.answers.labels("", str(code.status), str(code.code)).inc()
        self._log.warning(
            "Refused.",
            request=request_id,
            code=code.code,
            name=code.name,
            detail=refusal.detail,
            route=route,
            come_back_s=_round_seconds(refusal.advised_retry_after_s),
        )

    def record_failed_attempt(
        self, call: Call, endpoint: str, attempt: Attempt
    ) -> None:
        """Log an attempt that did not end with an answer."""
        self._log.warning(
            "Attempt failed.",
            request=call.metadata.request_id,
            endpoint=endpoint,
            result=attempt.result.value,
            detail=attempt.detail,
            **_describe_end(attempt),
            shared_parts=call.metadata.shared_parts,
            after_s=_round_seconds(self._clock.now() - call.arrived_at),
        )

    def record_handover(self, call: Call, attempt: Attempt) -> None:
        """Record a request that was handed over to a peer, or that none took."""
        self._metrics.handovers.labels(call.service, attempt.result.value).inc()
        if attempt.is_failure:
            self._log.warning(
                "Handover failed.",
                request=call.metadata.request_id,
                service=call.service,
                peer=call.forwarded_to,
                result=attempt.result.value,
                detail=attempt.detail,
            )

    def record_answer_end(self, call: Call, attempt: Attempt) -> None:
        """Record how an endpoint's answer ended."""
        if attempt.end is None:
            return
        description = _describe_end(attempt)
        self._metrics.answer_ends.labels(
            description["framing"], description["ending"], description["position"]
        ).inc()
        call.answer_ends.append(
            ", ".join(str(value) for value in description.values() if value != "")
        )

    def record_crash_suspect(
        self, fingerprint: str, endpoint: str, parts: Sequence[str]
    ) -> None:
        """Log that an endpoint crashed while it ran a request.

        Parameters
        ----------
        parts
            Hashes of the parts of its prompt that are suspected for it.
        """
        self._log.warning(
            "Crash suspected.",
            fingerprint=fingerprint,
            endpoint=endpoint,
            part_hashes=parts,
        )

    def record_blocked_parts(self, parts: Sequence[str]) -> None:
        """Log that requests with parts of prompts, given by hashes, are blocked."""
        self._log.warning("Prompt parts blocked.", part_hashes=parts)

    def record_part_trial(self, parts: Sequence[str]) -> None:
        """Log that a request with blocked parts is sent as a trial."""
        self._metrics.part_trials.inc()
        self._log.warning("Blocked prompt parts tried.", part_hashes=parts)

    def record_end(
        self, call: Call, refusal: Refusal | None, *, is_cancelled: bool
    ) -> None:
        """Record the end of an admitted request.

        Parameters
        ----------
        is_cancelled
            Whether it was cancelled, because its caller disconnected or an error
            ended it.
        """
        total_s = self._clock.now() - call.arrived_at
        code = 0 if refusal is None else refusal.code.code
        route = call.route.name
        status = call.reply.status
        self._metrics.answers.labels(route, str(status), str(code)).inc()
        self._metrics.answer_time.labels(route).observe(total_s)
        for result in call.attempt_results:
            self._metrics.attempts.labels(call.service, result).inc()
        first_s = None
        if call.first_event_at is not None:
            first_s = call.first_event_at - call.arrived_at
            self._metrics.first_event.labels(route).observe(first_s)
        if call.load_wait_s > 0:
            self._metrics.load_wait.observe(call.load_wait_s)
        if first_s is not None and call.estimate_s is not None:
            self._metrics.estimate_error.observe(max(first_s - call.estimate_s, 0.0))
        self._record_prompt(call)
        ending = _ending(call, refusal, is_cancelled=is_cancelled)
        log = self._log.info if ending == _ANSWERED else self._log.warning
        log(
            "Ended.",
            request=call.metadata.request_id,
            ending=ending,
            status=status,
            code=code,
            name="" if refusal is None else refusal.code.name,
            detail="" if refusal is None else refusal.detail,
            come_back_s=None
            if refusal is None
            else _round_seconds(refusal.advised_retry_after_s),
            route=route,
            organisation="" if call.organisation is None else call.organisation.name,
            service=call.service,
            adapter=f"{call.metadata.model}/{call.metadata.adapter}",
            units=call.units,
            max_wait_s=_round_seconds(call.deadline - call.arrived_at),
            target_s=call.route.target_latency_s,
            received_by=call.received_by,
            forwarded_to=call.forwarded_to,
            handovers=call.handover_results,
            endpoints=call.attempted_endpoints,
            results=call.attempt_results,
            answer_ends=call.answer_ends,
            chosen_s=[
                _round_seconds(times.chosen_at - call.arrived_at)
                for times in call.attempt_times
            ],
            sent_s=[
                None
                if times.sent_at is None
                else _round_seconds(times.sent_at - call.arrived_at)
                for times in call.attempt_times
            ],
            engine_estimates=[
                _describe_estimate(estimate) for estimate in call.engine_estimates
            ],
            load_waits=[
                _describe_load_wait(wait, self._clock.now()) for wait in call.load_waits
            ],
            estimate_s=_round_seconds(call.estimate_s),
            load_wait_s=_round_seconds(call.load_wait_s),
            first_event_s=_round_seconds(first_s),
            total_s=_round_seconds(total_s),
            configuration=call.table.version,
        )

    def _record_prompt(self, call: Call) -> None:
        """Record what the engine of the last attempt was expected to keep and do."""
        if not call.engine_estimates or not call.attempt_times:
            return
        estimate = call.engine_estimates[-1]
        prompt = estimate.prompt
        if prompt is None:
            return
        self._metrics.prompt_parts.labels("found").inc(prompt.kept_parts)
        self._metrics.prompt_parts.labels("missed").inc(prompt.missing_parts)
        if call.first_event_at is None:
            return
        length = _length_class(prompt.tokens)
        chosen_at = call.attempt_times[-1].chosen_at
        metric = self._metrics.prompt_first_event
        metric.labels(length, "expected").observe(estimate.first_event_s)
        metric.labels(length, "seen").observe(call.first_event_at - chosen_at)


def _describe_prompt(prompt: PromptEstimate | None) -> dict[str, float | None]:
    if prompt is None:
        return {}
    return {
        "prompt_tokens": prompt.tokens,
        "cached_tokens": round(prompt.cached_tokens),
        "cached_age_s": _round_seconds(prompt.kept_age_s),
    }


def _length_class(tokens: float) -> str:
    """Return the class of a prompt's length, for metrics."""
    for limit in _LENGTH_LIMITS:
        if tokens < limit:
            return f"below {limit}"
    return f"{_LENGTH_LIMITS[-1]} and above"


def _ending(call: Call, refusal: Refusal | None, *, is_cancelled: bool) -> str:
    if is_cancelled:
        return _CALLER_DISCONNECTED
    if refusal is None:
        return _ANSWERED
    return _TRUNCATED if call.first_event_at is not None else _REFUSED


def _describe_end(attempt: Attempt) -> dict[str, str | int]:
    end = attempt.end
    if end is None:
        return {"framing": "", "ending": "", "position": "", "received_bytes": 0}
    return {
        "framing": "" if end.framing is None else end.framing.value,
        "ending": end.ending.value,
        "position": "" if attempt.position is None else attempt.position.value,
        "received_bytes": end.received_bytes,
    }


def _describe_estimate(estimate: EngineEstimate) -> dict[str, float | None]:
    load = estimate.known_load
    return {
        "estimate_s": _round_seconds(estimate.first_event_s),
        "report_age_s": _round_seconds(load.report_age_s),
        "running": load.running,
        "waiting": load.waiting,
        "own": load.own_requests,
        "own_unanswered": load.own_unanswered,
        "speed": round(estimate.speed, 2),
        **_describe_prompt(estimate.prompt),
    }


def _describe_load_wait(wait: LoadWait, now: float) -> dict[str, str | float | None]:
    ended_at = now if wait.ended_at is None else wait.ended_at
    return {
        "engine": wait.engine,
        "outcome": wait.outcome or _PENDING,
        "wait_s": _round_seconds(ended_at - wait.started_at),
    }


def _round_seconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
