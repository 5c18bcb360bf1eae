"""A claim holds if it meets every claim that was placed, in each view that counts."""

from __future__ import annotations

import itertools

import pytest
from returns.pipeline import is_successful

from chiveslip.generated import result_codes
from chiveslip.idempotency.claim import Quorum
from chiveslip.idempotency.claim import decide
from chiveslip.idempotency.records import RememberAnswer
from chiveslip.idempotency.records import RememberOutcome

ACCEPTED = RememberAnswer(outcome=RememberOutcome.ACCEPTED)
KNOWN = RememberAnswer(outcome=RememberOutcome.KNOWN)


@pytest.mark.parametrize(
    ("replicas", "earlier", "moved_on", "accepting", "granted"),
    [
        pytest.param("abcd", False, "", "abc", True, id="most of the present"),
        pytest.param("abcd", False, "", "ab", False, id="half of the present"),
        pytest.param("abcd", True, "", "ab", True, id="two of four earlier"),
        pytest.param("abcd", True, "", "a", False, id="one of four earlier"),
        pytest.param("abcd", True, "b", "a", True, id="one, and one moved on"),
        pytest.param("abc", True, "", "ab", True, id="two of three earlier"),
        pytest.param("abc", True, "", "a", False, id="one of three earlier"),
        pytest.param("ab", True, "", "a", True, id="one of two earlier"),
    ],
)
def test_claim_needs_enough_replicas_of_a_view(
    replicas: str, earlier: bool, moved_on: str, accepting: str, granted: bool
) -> None:
    quorum = Quorum(
        replicas=tuple(replicas), earlier=earlier, moved_on=frozenset(moved_on)
    )
    answers = {name: ACCEPTED if name in accepting else None for name in replicas}
    result = decide(answers, [quorum])
    assert is_successful(result) is granted
    if not granted:
        assert result.failure().code is result_codes.ONCE_UNAVAILABLE


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5, 6, 7])
def test_claim_in_a_later_view_meets_each_claim_that_held(size: int) -> None:
    names = tuple("abcdefg"[:size])
    present = Quorum(replicas=names)
    earlier = Quorum(replicas=names, earlier=True)
    for holders in itertools.combinations(names, present.needed):
        for asked in itertools.combinations(names, earlier.needed):
            assert set(holders) & set(asked)


def test_replica_that_knows_the_key_refuses_whatever_the_others_say() -> None:
    answers = {"a": ACCEPTED, "b": ACCEPTED, "c": KNOWN}
    result = decide(answers, [Quorum(replicas=("a", "b", "c"))])
    assert result.failure().code is result_codes.ONCE_RUNNING
