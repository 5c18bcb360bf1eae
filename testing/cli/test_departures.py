"""Tests that `departures` finds requests sent to endpoints that had left."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import cappa
import pytest

from chiveslip.cli.main import Chiveslip


def make_line(instance: str, second: float, event: str, **fields: Any) -> str:
    stamp = f"2026-08-26T00:50:{second:09.6f}Z"
    values = fields | {"event": event, "timestamp": stamp, "level": "info"}
    return f"{second:8.3f} {instance} {json.dumps(values)}"


def make_state_line(
    instance: str, second: float, state: str, source: str = "store"
) -> str:
    return make_line(
        instance,
        second,
        "catalogue: Endpoint state changed.",
        endpoint="i-1",
        state=state,
        source=source,
    )


def make_ended_line(
    instance: str, second: float, request: str, sent_s: float | None
) -> str:
    return make_line(
        instance,
        second,
        "gateway: Ended.",
        request=request,
        endpoints=["i-1"],
        results=["answered"],
        chosen_s=[0.1],
        sent_s=[sent_s],
        total_s=1.0,
    )


LEAVES = [
    make_state_line("node-1", 10.0, "leaving"),
    make_state_line("node-2", 14.0, "leaving", "10.0.0.1:7"),
]


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        pytest.param(
            [*LEAVES, make_ended_line("node-2", 14.5, "late", 0.2)],
            ["late by node-2: learnt +4.000 s from 10.0.0.1:7, chosen +3.600 s"],
            id="late",
        ),
        pytest.param(
            [*LEAVES, make_ended_line("node-3", 14.5, "late", 0.2)],
            ["late by node-3: never learnt"],
            id="sender-without-notice",
        ),
        pytest.param(
            [*LEAVES, make_ended_line("node-2", 12.0, "early", 0.2)],
            [],
            id="within-bound",
        ),
        pytest.param(
            [*LEAVES, make_ended_line("node-2", 14.5, "unsent", None)],
            [],
            id="not-sent",
        ),
        pytest.param(
            [
                *LEAVES,
                make_state_line("node-1", 14.1, "ready"),
                make_ended_line("node-2", 15.5, "returned", 0.2),
            ],
            [],
            id="endpoint-returned",
        ),
        pytest.param(
            [
                *LEAVES,
                make_state_line("node-1", 14.1, "ready"),
                make_state_line("node-1", 16.0, "leaving"),
                make_ended_line("node-2", 20.0, "second", 0.2),
            ],
            ["second by node-2: never learnt"],
            id="left-twice",
        ),
        pytest.param(
            [
                make_line("node-1", 10.0, "catalogue: Endpoint gone.", endpoint="i-1"),
                make_ended_line("node-2", 14.5, "late", 0.2),
            ],
            ["late by node-2: never learnt"],
            id="removed-without-notice",
        ),
    ],
)
def test_late_requests_are_listed(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    rows: list[str],
    expected: list[str],
) -> None:
    path = tmp_path / "day.log"
    path.write_text("\n".join(rows))
    cappa.invoke(Chiveslip, argv=["departures", str(path), "--bound", "3"])
    late = [row for row in capsys.readouterr().out.splitlines() if " by " in row]
    assert len(late) == len(expected)
    for row, text in zip(late, expected, strict=True):
        assert text in row


def test_spread_of_the_notices_is_shown(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "day.log"
    path.write_text("\n".join(LEAVES))
    cappa.invoke(Chiveslip, argv=["departures", str(path), "--json"])
    (departure,) = json.loads(capsys.readouterr().out)
    assert departure["endpoint"] == "i-1"
    assert departure["spread_s"] == pytest.approx(4.0)


def test_logs_without_departures_are_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "day.log"
    path.write_text(make_ended_line("node-1", 5.0, "r", 0.2))
    with pytest.raises(cappa.Exit):
        cappa.invoke(Chiveslip, argv=["departures", str(path)])
    assert "no endpoint left" in capsys.readouterr().err
