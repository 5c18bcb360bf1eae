"""Which callers' connections give way: the rules, without a network."""

from __future__ import annotations

import http
from typing import Any

import pytest

from chiveslip.clock import ManualClock
from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.gateway.caller_budget import CallerLimits
from chiveslip.gateway.caller_budget import CallerState
from chiveslip.gateway.caller_budget import Stage
from chiveslip.gateway.caller_budget import choose_closed
from chiveslip.gateway.caller_budget import count_connections
from chiveslip.gateway.caller_budget import find_overdue

NOW = 1000.0
LIMITS = CallerLimits(body_bytes=4 << 20, head_bytes=64 << 10)


def build_state(
    stage: Stage, lasts_s: float, stalls_s: float, **values: Any
) -> CallerState:
    return CallerState(
        stage=stage,
        stage_began_at=NOW - lasts_s,
        progressed_at=NOW - stalls_s,
        **values,
    )


@pytest.mark.parametrize(
    "state",
    [
        pytest.param(build_state(Stage.IDLE, 12.0, 12.0), id="idle-between-requests"),
        pytest.param(build_state(Stage.HEAD, 3.0, 1.0), id="slow-head"),
        pytest.param(
            build_state(Stage.BODY, 6.7, 0.1, body_bytes=4 << 20), id="slow-link"
        ),
        pytest.param(
            build_state(Stage.BODY, 60.0, 1.0, body_bytes=60 * 5_000),
            id="share-of-a-slow-link",
        ),
        pytest.param(build_state(Stage.BODY, 3.0, 3.0), id="pause-before-a-body"),
        pytest.param(build_state(Stage.SERVED, 600.0, 600.0), id="waits-for-endpoint"),
        pytest.param(
            build_state(Stage.ANSWERED, 600.0, 5.0, unwritten_bytes=1 << 20),
            id="reads-slowly",
        ),
    ],
)
def test_caller_inside_the_limits_is_never_overdue(state: CallerState) -> None:
    """Guards against time limits that ordinary callers meet."""
    assert find_overdue(state, LIMITS, NOW) is None


@pytest.mark.parametrize(
    ("state", "kind", "status"),
    [
        pytest.param(build_state(Stage.IDLE, 76.0, 76.0), "idle", None, id="idle"),
        pytest.param(build_state(Stage.HEAD, 6.0, 0.0), "slow head", 408, id="head"),
        pytest.param(
            build_state(Stage.BODY, 11.0, 10.1, body_bytes=1 << 20),
            "slow body",
            408,
            id="body-stops-short",
        ),
        pytest.param(
            build_state(Stage.BODY, 60.0, 1.0, body_bytes=60),
            "slow body",
            408,
            id="body-by-single-bytes",
        ),
        pytest.param(
            build_state(Stage.SERVED, 60.0, 31.0, unwritten_bytes=1),
            "unread answer",
            None,
            id="stream-not-read",
        ),
        pytest.param(
            build_state(Stage.ANSWERED, 60.0, 31.0, unwritten_bytes=1),
            "unread answer",
            None,
            id="answer-not-read",
        ),
    ],
)
def test_connection_without_progress_is_overdue(
    state: CallerState, kind: str, status: int | None
) -> None:
    """Guards against connections that hold their share for ever."""
    overdue = find_overdue(state, LIMITS, NOW)
    assert overdue is not None
    assert overdue.kind == kind
    assert overdue.status == (None if status is None else http.HTTPStatus(status))


@pytest.mark.parametrize(
    ("states", "count", "closed"),
    [
        pytest.param(
            {
                "silent": build_state(Stage.IDLE, 2.0, 2.0),
                "kept": build_state(Stage.IDLE, 9.0, 9.0, served=1),
            },
            1,
            ["silent"],
            id="silent-before-kept",
        ),
        pytest.param(
            {
                "new": build_state(Stage.IDLE, 0.0, 0.0),
                "sends": build_state(Stage.BODY, 9.0, 0.1),
                "stalls": build_state(Stage.BODY, 3.0, 3.0),
            },
            2,
            ["stalls", "new"],
            id="those-that-progress-last",
        ),
        pytest.param(
            {
                "waits": build_state(Stage.SERVED, 99.0, 99.0, served=1),
                "unread": build_state(
                    Stage.SERVED, 9.0, 9.0, served=1, unwritten_bytes=1
                ),
            },
            2,
            ["unread"],
            id="not-those-that-wait-for-an-endpoint",
        ),
        pytest.param(
            {
                "a": build_state(Stage.HEAD, 1.0, 1.0),
                "b": build_state(Stage.HEAD, 3.0, 3.0),
                "c": build_state(Stage.IDLE, 2.0, 2.0),
            },
            2,
            ["c", "b"],
            id="silent-ones-and-longest-without-progress",
        ),
    ],
)
def test_connections_that_are_closed_when_there_are_too_many(
    states: dict[str, CallerState], count: int, closed: list[str]
) -> None:
    """Guards against a crowd that takes all connections from ordinary callers."""
    assert choose_closed(states.items(), NOW, count) == closed


@pytest.mark.parametrize(
    ("descriptors", "connections"),
    [(64, 16), (256, 28), (1638, 719), (4100, 1950), (10250, 5025)],
)
def test_half_of_the_descriptors_are_left_for_endpoints(
    descriptors: int, connections: int
) -> None:
    assert count_connections(descriptors) == connections


MIB = 1 << 20


@pytest.mark.parametrize(
    ("holdings", "given_up"),
    [
        pytest.param(
            {"stalled": (1 * MIB, 2.0), "largest": (4 * MIB, 0.0)},
            "stalled",
            id="stalled-before-the-largest-that-progresses",
        ),
        pytest.param(
            {"small": (MIB // 64, 9.0), "large": (4 * MIB, 0.1)},
            "large",
            id="large-before-a-small-one-that-pauses",
        ),
        pytest.param({"a": (2 * MIB, 5.0), "b": (3 * MIB, 5.0)}, "b", id="equal-times"),
    ],
)
def test_message_that_holds_much_or_stalls_gives_way(
    holdings: dict[str, tuple[int, float]], given_up: str
) -> None:
    """Guards against giving up an ordinary large body before a crowd's stalled ones."""
    clock = ManualClock()
    held = HeldBytes(sum(size for size, _ in holdings.values()), clock)
    ended: list[str] = []
    for name, (size, stalls_s) in holdings.items():
        holding = held.begin("test", lambda name=name: ended.append(name))
        held.resize(holding, size)
        holding.progressed_at = clock.now() - stalls_s
    newest = held.begin("test", lambda: ended.append("newest"))
    held.resize(newest, 1)
    assert ended == [given_up]


def test_request_that_is_served_is_not_given_up() -> None:
    """Guards against a refusal of a request that an endpoint may have run."""
    held = HeldBytes(100, ManualClock())
    ended: list[str] = []
    served = held.begin("test", lambda: ended.append("served"))
    held.set_fixed(served, is_fixed=True)
    held.resize(served, 90)
    assert not held.has_room(11)
    assert held.has_room(100, served)
    held.resize(held.begin("test", lambda: ended.append("newest")), 20)
    assert ended == ["newest"]
    held.end(served)
    assert held.has_room(100)
    assert held.total == 0
