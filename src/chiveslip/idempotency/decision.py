"""Decision on a claim from the answers of the replicas of its key."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from chiveslip.generated import result_codes
from chiveslip.idempotency.records import ReplicaAnswer
from chiveslip.idempotency.records import ReplicaOutcome
from chiveslip.idempotency.records import StoredAnswer
from chiveslip.results import Refusal
from chiveslip.results import ResultCode


@attrs.frozen
class Granted:
    """The claim is granted: the call may be sent once."""


@attrs.frozen
class Replayed:
    """The call has run before and has this answer."""

    answer: StoredAnswer


@attrs.frozen(kw_only=True)
class Quorum:
    """The replicas of a key in one view.

    Attributes
    ----------
    is_past
        Whether a newer view has replaced this one. A claim granted under a past view
        has a majority of the replicas, so the accepting replicas must overlap with
        every possible majority. In the current view the claim itself needs one.
    replicated
        Replicas that have copied their records to a later view, whose replicas are
        asked as well.
    """

    replicas: tuple[str, ...]
    is_past: bool = False
    replicated: frozenset[str] = frozenset()

    @property
    def required_count(self) -> int:
        """Number of replicas that must accept the claim."""
        majority = len(self.replicas) // 2 + 1
        return len(self.replicas) - majority + 1 if self.is_past else majority


ClaimResult = Result[Granted | Replayed, Refusal]


def decide_claim(
    answers: Mapping[str, ReplicaAnswer | None],
    quorums: Sequence[Quorum],
) -> ClaimResult:
    """Grant a claim, replay the stored answer or refuse the call.

    Parameters
    ----------
    answers
        Answer of each replica, or None if it did not answer.
    quorums
        Replicas in the current view and in each past view that still counts.
    """
    received = [answer for answer in answers.values() if answer is not None]
    outcomes = [answer.outcome for answer in received]
    if ReplicaOutcome.DIFFERENT_BODY in outcomes:
        return _build_refusal(
            result_codes.ONCE_BODY_DIFFERS,
            "The idempotency key was used with another body; use a new key.",
        )
    for answer in received:
        if answer.finished is not None:
            return Success(Replayed(answer.finished))
    if ReplicaOutcome.KNOWN in outcomes:
        return _build_refusal(
            result_codes.ONCE_RUNNING,
            "A call with this idempotency key is running or has an unknown outcome.",
        )
    if all(_is_reached(answers, quorum) for quorum in quorums):
        return Success(Granted())
    if ReplicaOutcome.FULL in outcomes:
        return _build_refusal(
            result_codes.ONCE_TABLE_FULL,
            "The table of idempotency records is full; repeat the call later.",
        )
    if ReplicaOutcome.YOUNG in outcomes:
        return _build_refusal(
            result_codes.ONCE_RUNNING,
            "Replicas of the record restarted, so earlier use of the key is unknown; "
            "repeat the call later.",
        )
    return _build_refusal(
        result_codes.ONCE_UNAVAILABLE,
        f"{len(received)} of {len(answers)} replicas of the record answered; "
        "repeat the call later.",
    )


def _is_reached(answers: Mapping[str, ReplicaAnswer | None], quorum: Quorum) -> bool:
    accepted = sum(
        replica in quorum.replicated or _is_accepted(answers.get(replica))
        for replica in quorum.replicas
    )
    return accepted >= quorum.required_count


def _is_accepted(answer: ReplicaAnswer | None) -> bool:
    return answer is not None and answer.outcome is ReplicaOutcome.ACCEPTED


def _build_refusal(code: ResultCode, detail: str) -> ClaimResult:
    return Failure(Refusal(code=code, detail=detail))
