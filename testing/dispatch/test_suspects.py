"""A request that crashes endpoints is blocked until the crashes expire."""

from __future__ import annotations

import pytest

from chiveslip.dispatch.suspects import RETENTION_S
from chiveslip.dispatch.suspects import CrashedEndpoint
from chiveslip.dispatch.suspects import CrashSuspects


@pytest.mark.parametrize(
    ("crashes_at", "now", "blocked_s"),
    [
        pytest.param([], 0.0, 0.0, id="none"),
        pytest.param([0.0], 1.0, 0.0, id="one"),
        pytest.param([0.0, 5.0], 6.0, RETENTION_S - 6.0, id="two-until-one-expires"),
        pytest.param(
            [0.0, 5.0, 9.0], 10.0, RETENTION_S - 5.0, id="three-until-two-expire"
        ),
        pytest.param([0.0, 5.0], RETENTION_S + 1.0, 0.0, id="all-expired"),
    ],
)
def test_request_is_blocked_until_enough_crashes_expire(
    crashes_at: list[float], now: float, blocked_s: float
) -> None:
    suspects = CrashSuspects(max_crashes=2)
    for number, at in enumerate(crashes_at):
        suspects.record_crash("same", CrashedEndpoint(f"endpoint-{number}", "1"), at)
    assert suspects.blocked_for_s("same", now) == pytest.approx(blocked_s)
    assert suspects.is_blocked("same", now) is (blocked_s > 0)


def test_success_clears_a_suspect_also_for_late_peer_reports() -> None:
    suspects = CrashSuspects(max_crashes=1)
    suspects.record_crash("same", CrashedEndpoint("endpoint", "1"), 1.0)
    suspects.clear("same", 2.0)
    suspects.record_peer_crash("same", "endpoint/1", 1.0, 3.0)
    assert not suspects.is_blocked("same", 3.0)
