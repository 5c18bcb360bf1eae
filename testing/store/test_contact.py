"""Whether the store was away, as seen by one instance and its peers."""

from __future__ import annotations

import math
from collections.abc import Callable

import pytest

from chiveslip.clock import ManualClock
from chiveslip.store.contact import PeerContact
from chiveslip.store.contact import StoreContact

# Seconds from one step of a case to the next.
STEP_S = 1.0
NEVER = -math.inf

Step = Callable[[StoreContact], None]


def answer(contact: StoreContact) -> None:
    contact.record_answer(knew_items=True)


def first_answer(contact: StoreContact) -> None:
    contact.record_answer(knew_items=False)


def fail(contact: StoreContact) -> None:
    contact.record_failure()


def return_from_copy(contact: StoreContact) -> None:
    contact.record_return()


def hear(reachable_s: float, answered_s: float = 0.1) -> Step:
    def step(contact: StoreContact) -> None:
        contact.record_peer(PeerContact(reachable_s=reachable_s, answered_s=answered_s))

    return step


@pytest.mark.parametrize(
    ("steps", "return_at"),
    [
        pytest.param([first_answer], NEVER, id="start"),
        pytest.param([first_answer, answer, answer], NEVER, id="no-interruption"),
        pytest.param([answer], 1, id="start-with-items-of-peers"),
        pytest.param([answer, hear(20.0)], NEVER, id="start-beside-sound-peers"),
        pytest.param([fail, first_answer], 2, id="start-while-the-store-is-away"),
        pytest.param([first_answer, fail, answer], 3, id="one-failed-read"),
        pytest.param([first_answer, fail, fail], NEVER, id="still-lost"),
        pytest.param(
            [first_answer, fail, hear(20.0), answer], 4, id="peer-heard-before-the-end"
        ),
        pytest.param(
            [first_answer, fail, answer, hear(20.0)], NEVER, id="only-the-own-path"
        ),
        pytest.param(
            [first_answer, fail, answer, hear(20.0, 2.5)], 3, id="peer-not-answered"
        ),
        pytest.param(
            [first_answer, fail, answer, hear(2.5)], 3, id="peer-answered-again"
        ),
        pytest.param(
            [first_answer, fail, hear(0.2)], 2.8, id="peer-saw-the-return-first"
        ),
        pytest.param(
            [first_answer, fail, answer, fail, answer, hear(3.2)],
            3,
            id="lost-again-after-the-return",
        ),
        pytest.param(
            [first_answer, return_from_copy, hear(20.0)], 2, id="return-from-a-copy"
        ),
    ],
)
def test_interruption_counts_as_absence_unless_a_peer_kept_the_store(
    steps: list[Step], return_at: float
) -> None:
    clock = ManualClock()
    started_at = clock.now()
    contact = StoreContact(clock)
    for step in steps:
        clock.advance(STEP_S)
        step(contact)
    assert contact.return_at - started_at == pytest.approx(return_at)


def test_contact_is_told_to_peers_while_reads_are_answered() -> None:
    clock = ManualClock()
    contact = StoreContact(clock)
    assert contact.describe() is None
    first_answer(contact)
    clock.advance(3.0)
    answer(contact)
    clock.advance(0.5)
    told = contact.describe()
    assert told is not None
    assert told.reachable_s == pytest.approx(3.5)
    assert told.answered_s == pytest.approx(0.5)
    fail(contact)
    assert contact.describe() is None
