"""Each lost and each regained peer is logged once."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from structlog.testing import capture_logs

from chiveslip import logs
from chiveslip.fleet.member_log import MemberLog


@pytest.fixture(autouse=True)
def all_lines() -> Iterator[None]:
    """Log from level info, as a daemon does."""
    logs.configure("console", "info")
    yield
    logs.configure("console", "error")


@pytest.mark.parametrize(
    ("steps", "lines"),
    [
        pytest.param([["a"]], [], id="alone"),
        pytest.param([["a", "b"]], [("Peer alive.", "b")], id="found"),
        pytest.param([["a", "b"], ["a", "b"]], [("Peer alive.", "b")], id="no-change"),
        pytest.param(
            [["a", "b"], ["a"], ["a", "b"]],
            [("Peer alive.", "b"), ("Peer lost.", "b"), ("Peer alive.", "b")],
            id="lost-and-regained",
        ),
    ],
)
def test_each_change_is_logged_once(
    steps: list[list[str]], lines: list[tuple[str, str]]
) -> None:
    with capture_logs() as captured:
        log = MemberLog("a")
        for alive in steps:
            log.log_changes(alive, has_quorum=True)
    assert [(line["event"], line["peer"]) for line in captured] == lines
