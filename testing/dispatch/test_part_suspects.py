"""Which parts of prompts are blocked after crashes, for whom and for how long."""

from __future__ import annotations

import pytest

from chiveslip.dispatch.part_suspects import RETENTION_S
from chiveslip.dispatch.part_suspects import PartCrash
from chiveslip.dispatch.part_suspects import PartSuspects

TRUST = "trust"
OTHER = "other"
# Time in seconds, what happened, and the parts of the requests; of crashes also the
# organisations whose requests crashed.
Event = tuple[float, str, str] | tuple[float, str, str, str]

CRASH = "crash"
ANSWER = "answer"
THREE_CRASHES: list[Event] = [(1, CRASH, "cx"), (3, CRASH, "cx"), (5, CRASH, "cx")]


def play(events: list[Event]) -> PartSuspects:
    """Return the suspects after events; each crash is one of another endpoint."""
    suspects = PartSuspects()
    for number, (at, kind, parts, *organisation) in enumerate(sorted(events)):
        if kind == ANSWER:
            suspects.record_progress(parts, at)
            continue
        name = organisation[0] if organisation else TRUST
        suspects.record_crash(parts, name, f"engine-{number}/1", at)
    return suspects


@pytest.mark.parametrize(
    ("events", "blocked"),
    [
        pytest.param(THREE_CRASHES[:2], "", id="two crashes"),
        pytest.param(THREE_CRASHES, "cx", id="three crashes, no answer at all"),
        pytest.param(
            [*THREE_CRASHES, (2, ANSWER, "c")], "x", id="common part answered between"
        ),
        pytest.param([*THREE_CRASHES, (0, ANSWER, "c")], "x", id="answered before"),
        pytest.param([*THREE_CRASHES, (6, ANSWER, "c")], "x", id="answered since"),
        pytest.param([*THREE_CRASHES, (6, ANSWER, "x")], "c", id="cleared after all"),
        pytest.param(
            [(1, CRASH, "x"), (1.1, CRASH, "x"), (1.4, CRASH, "x"), (1.45, CRASH, "x")],
            "",
            id="four engines lost at once",
        ),
        pytest.param(
            [(1, CRASH, "xy"), (3, CRASH, "xy"), (5, CRASH, "xy"), (7, CRASH, "x")],
            "x",
            id="neighbour at fewer crashes",
        ),
        pytest.param(
            [(0, ANSWER, "c"), *((at, CRASH, "c") for at in (1, 2, 3, 4))],
            "",
            id="answered before, four crashes",
        ),
        pytest.param(
            [
                (0, ANSWER, "c"),
                *((at, CRASH, "c") for at in (1, 2, 3, 4, 5)),
                *((at / 10, ANSWER, "d") for at in range(60)),
            ],
            "c",
            id="answered before, five crashes while others are served",
        ),
        pytest.param(
            [(0, ANSWER, "c"), *((at, CRASH, "c") for at in (1, 2, 3, 4, 5))],
            "",
            id="answered before, five crashes while nothing is served",
        ),
        pytest.param(
            [(0, ANSWER, "c"), *((at, CRASH, "c") for at in range(1, 18))],
            "c",
            id="answered before, many crashes while nothing is served",
        ),
    ],
)
def test_parts_that_crashed_engines_again_and_again_are_blocked(
    events: list[Event], blocked: str
) -> None:
    assert play(events).blocked_parts == set(blocked)


@pytest.mark.parametrize(
    ("organisations", "blocked_for"),
    [
        pytest.param([TRUST, TRUST, TRUST], {TRUST}, id="one"),
        pytest.param([TRUST, OTHER, TRUST], {TRUST, OTHER, "third"}, id="two"),
    ],
)
def test_one_organisation_cannot_have_the_part_of_another_refused(
    organisations: list[str], blocked_for: set[str]
) -> None:
    suspects = play([(n, CRASH, "x", name) for n, name in enumerate(organisations)])
    found = {n for n in (TRUST, OTHER, "third") if suspects.find_blocked("x", n)}
    assert found == blocked_for


@pytest.mark.parametrize(
    ("crashes", "trial_from"),
    [pytest.param(3, 7.0, id="three"), pytest.param(4, 23.0, id="four")],
)
def test_trials_become_rarer_with_each_crash(crashes: int, trial_from: float) -> None:
    suspects = play([(n, CRASH, "x") for n in range(crashes)])
    assert suspects.next_trial(("x",), 0.0).in_s == pytest.approx(trial_from)
    suspects.record_trial("x", trial_from)
    assert suspects.next_trial(("x",), trial_from).in_s == pytest.approx(15.0)


# Two parts that come together crash three endpoints.
TOGETHER = [(n, CRASH, "nx") for n in range(3)]
REGULAR_TRIAL_AT = 7.0


@pytest.mark.parametrize(
    ("blocked", "told_apart", "trial_at"),
    [
        pytest.param("n", "nx", 3.0, id="one-of-two"),
        pytest.param("x", "nx", 3.0, id="the-other-one"),
        pytest.param("nx", "nx", REGULAR_TRIAL_AT, id="both"),
    ],
)
def test_request_that_tells_suspects_apart_is_tried_at_once(
    blocked: str, told_apart: str, trial_at: float
) -> None:
    suspects = play(TOGETHER)
    trial = suspects.next_trial(tuple(blocked), 3.0)
    assert trial.parts == tuple(told_apart)
    assert 3.0 + trial.in_s == pytest.approx(trial_at)


@pytest.mark.parametrize("result", [(3.2, ANSWER, "n"), (3.2, CRASH, "x")])
def test_either_result_of_such_a_trial_clears_the_harmless_part(result: Event) -> None:
    assert play([*TOGETHER, result]).blocked_parts == {"x"}


@pytest.mark.parametrize("blocked", ["n", "x", "nx"])
def test_second_trial_waits_for_the_result_of_the_first(blocked: str) -> None:
    suspects = play(TOGETHER)
    suspects.record_trial(suspects.next_trial(("n",), 3.0).parts, 3.0)
    assert suspects.next_trial(tuple(blocked), 3.0).in_s == pytest.approx(15.0)


def test_parts_with_separate_crashes_are_not_told_apart() -> None:
    suspects = play([*TOGETHER, *((n + 0.5, CRASH, "z") for n in range(3))])
    assert suspects.blocked_parts == {"n", "x", "z"}
    assert suspects.next_trial(("z",), 3.0).in_s == pytest.approx(4.5)
    assert suspects.next_trial(("n", "z"), 3.0).in_s == pytest.approx(4.5)


def test_crashes_expire_and_the_part_is_used_again() -> None:
    suspects = play(THREE_CRASHES)
    suspects.prune(1 + RETENTION_S)
    assert suspects.blocked_parts == set()


def test_harmless_parts_do_not_push_out_a_part_of_several_crashes() -> None:
    suspects = play(THREE_CRASHES)
    for number in range(5000):
        suspects.record_crash([f"p{number}"], TRUST, f"busy-{number}/1", 6.0)
    assert {"c", "x"} <= suspects.blocked_parts
    assert len(suspects.prune(6.0)) <= 1000


def test_late_report_of_a_crash_does_not_undo_a_later_answer() -> None:
    suspects = play([*THREE_CRASHES, (6, ANSWER, "cx")])
    for number in range(3):
        crash = PartCrash(1.0 + 2 * number, frozenset({TRUST}))
        suspects.record_peer_crash("x", f"engine-{number}/1", crash, 7.0)
    assert suspects.blocked_parts == set()
    (report,) = [report for report in suspects.prune(7.0) if report.part == "x"]
    assert report.progressed_at == 6


def test_copies_of_one_crash_from_several_instances_count_once() -> None:
    suspects = PartSuspects()
    for at in (1.0, 2.0, 3.0):
        crash = PartCrash(at, frozenset({TRUST}))
        suspects.record_peer_crash("x", "engine/1", crash, 4.0)
    assert suspects.blocked_parts == set()
