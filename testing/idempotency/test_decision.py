"""Tests that a claim is granted only if it overlaps every earlier granted claim."""

from __future__ import annotations

import itertools

import pytest
from returns.pipeline import is_successful

from chiveslip.generated import result_codes
from chiveslip.idempotency.decision import Quorum
from chiveslip.idempotency.decision import decide_claim
from chiveslip.idempotency.records import ReplicaAnswer
from chiveslip.idempotency.records import ReplicaOutcome

ACCEPTED = ReplicaAnswer(outcome=ReplicaOutcome.ACCEPTED)
KNOWN = ReplicaAnswer(outcome=ReplicaOutcome.KNOWN)


@pytest.mark.parametrize(
    ("replicas", "is_past", "replicated", "accepting", "granted"),
    [
        pytest.param("abcd", False, "", "abc", True, id="majority of current"),
        pytest.param("abcd", False, "", "ab", False, id="half of current"),
        pytest.param("abcd", True, "", "ab", True, id="two of four past"),
        pytest.param("abcd", True, "", "a", False, id="one of four past"),
        pytest.param("abcd", True, "b", "a", True, id="one, and one replicated"),
        pytest.param("abc", True, "", "ab", True, id="two of three past"),
        pytest.param("abc", True, "", "a", False, id="one of three past"),
        pytest.param("ab", True, "", "a", True, id="one of two past"),
    ],
)
def test_claim_needs_enough_replicas_of_a_view(
    replicas: str, is_past: bool, replicated: str, accepting: str, granted: bool
) -> None:
    quorum = Quorum(
        replicas=tuple(replicas), is_past=is_past, replicated=frozenset(replicated)
    )
    answers = {name: ACCEPTED if name in accepting else None for name in replicas}
    result = decide_claim(answers, [quorum])
    assert is_successful(result) is granted
    if not granted:
        assert result.failure().code is result_codes.ONCE_UNAVAILABLE


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5, 6, 7])
def test_claim_in_later_view_overlaps_each_granted_claim(size: int) -> None:
    names = tuple("abcdefg"[:size])
    current = Quorum(replicas=names)
    past = Quorum(replicas=names, is_past=True)
    for holders in itertools.combinations(names, current.required_count):
        for accepting in itertools.combinations(names, past.required_count):
            assert set(holders) & set(accepting)


def test_claim_is_refused_if_one_replica_knows_the_key() -> None:
    answers = {"a": ACCEPTED, "b": ACCEPTED, "c": KNOWN}
    result = decide_claim(answers, [Quorum(replicas=("a", "b", "c"))])
    assert result.failure().code is result_codes.ONCE_RUNNING
