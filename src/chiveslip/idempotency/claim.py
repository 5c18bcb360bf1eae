"""Decision on a claim from the answers of the key's replicas."""

from __future__ import annotations

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from chiveslip.generated import result_codes
from chiveslip.idempotency.records import KeptAnswer
from chiveslip.idempotency.records import RememberAnswer
from chiveslip.idempotency.records import RememberOutcome
from chiveslip.results import Refusal
from chiveslip.results import ResultCode


@attrs.frozen
class Granted:
    """The claim holds: the call may be sent, once."""


@attrs.frozen
class Replayed:
    """The call ran before; this is its answer."""

    answer: KeptAnswer


ClaimResult = Result[Granted | Replayed, Refusal]


def decide(answers: list[RememberAnswer], replicas: int) -> ClaimResult:
    """Decide a claim.

    Parameters
    ----------
    answers
        What the reachable replicas said.
    replicas
        Number of replicas, reachable or not.
    """
    outcomes = [answer.outcome for answer in answers]
    if RememberOutcome.DIFFERENT_BODY in outcomes:
        return _refuse(
            result_codes.ONCE_BODY_DIFFERS,
            "The idempotency key was used with another body; use a new key.",
        )
    for answer in answers:
        if answer.finished is not None:
            return Success(Replayed(answer.finished))
    if RememberOutcome.KNOWN in outcomes:
        return _refuse(
            result_codes.ONCE_RUNNING,
            "A call with this idempotency key runs now or its outcome is unknown.",
        )
    needed = replicas // 2 + 1
    if outcomes.count(RememberOutcome.ACCEPTED) >= needed:
        return Success(Granted())
    if RememberOutcome.FULL in outcomes:
        return _refuse(
            result_codes.ONCE_TABLE_FULL, "The table of once-only calls is full."
        )
    if len(answers) < needed:
        return _refuse(
            result_codes.ONCE_UNAVAILABLE,
            f"{len(answers)} of {replicas} replicas of the record answered; "
            f"{needed} are needed.",
        )
    return _refuse(
        result_codes.ONCE_RUNNING,
        "The replicas of the record restarted; whether the key was used is unknown.",
    )


def _refuse(code: ResultCode, detail: str) -> ClaimResult:
    return Failure(Refusal(code=code, detail=detail))
