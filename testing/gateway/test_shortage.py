"""Load that lasts: who may still join the queue of an engine."""

from __future__ import annotations

import pytest

from chiveslip.gateway.shortage import has_returned
from chiveslip.gateway.shortage import max_queue_s

OBJECTIVE_S = 0.8


@pytest.mark.parametrize("is_return", [False, True])
def test_more_urgent_requests_join_longer_queues(is_return: bool) -> None:
    """Guards against a less urgent kind that is served more often."""
    bounds = [max_queue_s(OBJECTIVE_S, p, is_return=is_return) for p in range(10)]
    assert bounds == sorted(bounds, reverse=True)
    assert bounds[0] > bounds[1] > bounds[2]


@pytest.mark.parametrize("priority", range(10))
def test_no_priority_is_starved(priority: int) -> None:
    """Guards against a kind that is refused while nothing waits."""
    assert max_queue_s(OBJECTIVE_S, priority, is_return=False) >= OBJECTIVE_S / 2


@pytest.mark.parametrize("priority", range(10))
def test_caller_that_returns_goes_before_newcomers(priority: int) -> None:
    newcomer = max_queue_s(OBJECTIVE_S, priority, is_return=False)
    assert max_queue_s(OBJECTIVE_S, priority, is_return=True) > newcomer


@pytest.mark.parametrize(
    ("remaining_s", "expected"),
    [(None, False), (15.1, False), (15.0, False), (14.8, False), (13.9, True)],
)
def test_return_is_known_by_the_time_left(
    remaining_s: float | None, expected: bool
) -> None:
    """Guards against returns that are taken for newcomers at another instance."""
    assert has_returned(remaining_s, 15.0) is expected
