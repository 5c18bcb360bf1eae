"""Decision on a claim from the answers of the key's replicas."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

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


@attrs.frozen(kw_only=True)
class Quorum:
    """The replicas of a key in one view.

    Attributes
    ----------
    earlier
        Whether the view has ended. A claim made under it holds at most of the
        replicas, so enough of them must answer to meet every such claim. In the
        present view the claim itself must hold at most of them.
    moved_on
        Replicas whose records are known in a later view, which is asked as well.
    """

    replicas: tuple[str, ...]
    earlier: bool = False
    moved_on: frozenset[str] = frozenset()

    @property
    def needed(self) -> int:
        """Replicas that must accept the claim."""
        most = len(self.replicas) // 2 + 1
        return len(self.replicas) - most + 1 if self.earlier else most


ClaimResult = Result[Granted | Replayed, Refusal]


def decide(
    answers: Mapping[str, RememberAnswer | None],
    quorums: Sequence[Quorum],
) -> ClaimResult:
    """Decide a claim.

    Parameters
    ----------
    answers
        What each replica said; None stands for no answer.
    quorums
        The replicas in the present view and in each earlier one that counts.
    """
    known = [answer for answer in answers.values() if answer is not None]
    outcomes = [answer.outcome for answer in known]
    if RememberOutcome.DIFFERENT_BODY in outcomes:
        return _refuse(
            result_codes.ONCE_BODY_DIFFERS,
            "The idempotency key was used with another body; use a new key.",
        )
    for answer in known:
        if answer.finished is not None:
            return Success(Replayed(answer.finished))
    if RememberOutcome.KNOWN in outcomes:
        return _refuse(
            result_codes.ONCE_RUNNING,
            "A call with this idempotency key runs now or its outcome is unknown.",
        )
    if all(_holds(answers, quorum) for quorum in quorums):
        return Success(Granted())
    if RememberOutcome.FULL in outcomes:
        return _refuse(
            result_codes.ONCE_TABLE_FULL, "The table of once-only calls is full."
        )
    if RememberOutcome.YOUNG in outcomes:
        return _refuse(
            result_codes.ONCE_RUNNING,
            "Replicas of the record restarted; whether the key was used is unknown.",
        )
    return _refuse(
        result_codes.ONCE_UNAVAILABLE,
        f"{len(known)} of {len(answers)} replicas of the record answered.",
    )


def _holds(answers: Mapping[str, RememberAnswer | None], quorum: Quorum) -> bool:
    accepted = sum(
        replica in quorum.moved_on or _accepted(answers.get(replica))
        for replica in quorum.replicas
    )
    return accepted >= quorum.needed


def _accepted(answer: RememberAnswer | None) -> bool:
    return answer is not None and answer.outcome is RememberOutcome.ACCEPTED


def _refuse(code: ResultCode, detail: str) -> ClaimResult:
    return Failure(Refusal(code=code, detail=detail))
