"""Tests that `shortfall` finds what was not answered in time, where and why."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import cappa
import pytest

from chiveslip.cli.main import Chiveslip

ANSWERED: dict[str, Any] = {
    "ending": "answered",
    "status": 200,
    "code": 0,
    "route": "draft",
    "endpoints": ["i-1"],
    "results": ["answered"],
    "chosen_s": [0.0],
    "sent_s": [0.0],
    "load_wait_s": 0.0,
    "load_waits": [],
    "engine_estimates": [],
    "target_s": 0.8,
    "first_event_s": 0.2,
    "total_s": 1.0,
}
LATE = ANSWERED | {"first_event_s": 2.0, "total_s": 3.0}
REFUSED = ANSWERED | {
    "ending": "refused",
    "status": 503,
    "code": 1403,
    "endpoints": [],
    "results": [],
    "chosen_s": [],
    "sent_s": [],
    "first_event_s": None,
}
LEFT = REFUSED | {"ending": "caller left", "status": 0, "code": 0}
PENDING = {"engine": "i-1", "outcome": "pending", "wait_s": 3.2}
NO_ROOM = {"engine": "i-1", "outcome": "no room", "wait_s": 0.1}


def make_line(instance: str, second: float, event: str, **fields: Any) -> str:
    stamp = f"2026-08-26T00:50:{second:09.6f}Z"
    values = fields | {"event": event, "timestamp": stamp, "level": "info"}
    return f"{second:8.3f} {instance} {json.dumps(values)}"


def make_ended(instance: str = "node-west-1", **fields: Any) -> str:
    return make_line(instance, 10.0, "gateway: Ended.", request="r", **fields)


def run_json(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], rows: list[str], *options: str
) -> Any:
    path = tmp_path / "day.log"
    path.write_text("\n".join(rows))
    cappa.invoke(Chiveslip, argv=["shortfall", str(path), "--json", *options])
    return json.loads(capsys.readouterr().out)


@pytest.mark.parametrize(
    ("fields", "cause", "lost"),
    [
        pytest.param(ANSWERED, None, 0.0, id="in-time"),
        pytest.param(LATE, "late, longest wait for the endpoint", 0.9, id="engine"),
        pytest.param(
            LATE | {"load_wait_s": 1.5, "sent_s": [1.5]},
            "late, longest wait for the load",
            0.9,
            id="load",
        ),
        pytest.param(
            LATE
            | {
                "chosen_s": [1.8],
                "sent_s": [1.8],
                "load_waits": [NO_ROOM | {"wait_s": 1.8}],
            },
            "late, longest wait for the load",
            0.9,
            id="load-that-failed",
        ),
        pytest.param(
            LATE | {"sent_s": [1.5]},
            "late, longest wait for the connection",
            0.9,
            id="connection",
        ),
        pytest.param(
            LATE
            | {
                "endpoints": ["i-1", "i-2"],
                "results": ["unknown", "answered"],
                "chosen_s": [0.0, 1.5],
                "sent_s": [0.0, 1.5],
            },
            "late, longest wait for an earlier attempt",
            0.9,
            id="earlier-attempt",
        ),
        pytest.param(
            LATE | {"first_event_s": None},
            "late, longest wait for the endpoint",
            0.9,
            id="plain-answer",
        ),
        pytest.param(LATE | {"target_s": None}, None, 0.0, id="no-target"),
        pytest.param(
            ANSWERED | {"status": 500}, "the endpoint answered 500", 1.0, id="failure"
        ),
        pytest.param(REFUSED, "refused, 1403 load_failed", 1.0, id="refused"),
        pytest.param(
            REFUSED | {"load_waits": [NO_ROOM, NO_ROOM]},
            "refused, 1403 load_failed, no room",
            1.0,
            id="refused-by-coordinators",
        ),
        pytest.param(
            REFUSED | {"code": 1601, "results": ["unknown"]},
            "refused, 1601 outcome_unknown, unknown",
            1.0,
            id="failed",
        ),
        pytest.param(
            LATE | {"ending": "broke off", "code": 1601},
            "broke off midway, 1601 outcome_unknown",
            1.0,
            id="broke-off",
        ),
        pytest.param(
            LEFT | {"load_waits": [PENDING]},
            "the caller left, waiting for the load",
            1.0,
            id="left-while-loading",
        ),
        pytest.param(
            LEFT | {"endpoints": ["i-1"], "chosen_s": [0.0], "sent_s": [0.1]},
            "the caller left, waiting for the endpoint",
            1.0,
            id="left-while-running",
        ),
        pytest.param(
            LEFT | {"endpoints": ["i-1"], "chosen_s": [0.0], "sent_s": [None]},
            "the caller left, waiting for the connection",
            1.0,
            id="left-while-connecting",
        ),
        pytest.param(
            LEFT | {"load_waits": [NO_ROOM]},
            "the caller left before the next attempt",
            1.0,
            id="left-between",
        ),
        pytest.param(
            LEFT | {"first_event_s": 0.2}, "the caller left midway", 1.0, id="midway"
        ),
    ],
)
def test_each_request_is_counted_by_its_cause(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    fields: dict[str, Any],
    cause: str | None,
    lost: float,
) -> None:
    total = run_json(tmp_path, capsys, [make_ended(**fields)])["total"]
    assert total["requests"] == 1
    assert total["lost"] == pytest.approx(lost)
    expected = {} if cause is None else {cause: [pytest.approx(lost), 1]}
    assert total["lost_by_cause"] == expected


def test_groups_weigh_requests_by_the_worth_of_their_route(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    rows = [
        make_line("node-west-1", 1.0, "daemon: Started.", data_centre="west"),
        make_ended(**ANSWERED),
        make_ended(**REFUSED | {"route": "letter"}),
        make_ended("node-east-2", **LATE),
    ]
    options = ["--worth", "letter=3", "--late-share", "0.5"]
    value = run_json(tmp_path, capsys, rows, *options)
    groups = value["data_centres"] + value["routes"]
    figures = {g["name"]: (g["requests"], g["worth"], g["lost"]) for g in groups}
    assert figures == {
        "west": (2, 4.0, 3.0),
        # An instance whose start is not logged is named without its number.
        "node-east": (1, 1.0, 0.5),
        "draft": (2, 2.0, 0.5),
        "letter": (1, 3.0, 3.0),
    }


def test_target_of_the_command_takes_precedence(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    value = run_json(tmp_path, capsys, [make_ended(**LATE)], "--target", "draft=2.5")
    assert value["total"]["lost"] == 0.0


@pytest.mark.parametrize(
    ("estimates", "estimate_s", "report_age_s", "without_report"),
    [
        pytest.param(
            [{"estimate_s": 0.1, "report_age_s": 2.5}], 0.1, 2.5, 0, id="reported"
        ),
        pytest.param(
            [{"estimate_s": 0.1, "report_age_s": None}], 0.1, None, 1, id="no-report"
        ),
        pytest.param([], 0.3, None, 0, id="log-without-estimates"),
    ],
)
def test_late_requests_are_summed_up_by_engine(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    estimates: list[dict[str, float | None]],
    estimate_s: float,
    report_age_s: float | None,
    without_report: int,
) -> None:
    fields = LATE | {"engine_estimates": estimates, "estimate_s": 0.3}
    value = run_json(tmp_path, capsys, [make_ended(**fields)])
    (engine,) = value["engines"]
    assert engine["engine"] == "i-1"
    assert engine["late"] == engine["sent_in_busiest"] == 1
    assert engine["waited_s"] == pytest.approx(2.0)
    assert engine["estimate_s"] == pytest.approx(estimate_s)
    assert engine["report_age_s"] == report_age_s
    assert engine["without_report"] == without_report


def test_requests_that_were_not_admitted_are_counted_apart(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    refused = {"code": 1301, "name": "allowance_exceeded", "route": "draft"}
    rows = [
        make_line("node-1", 5.0, "gateway: Refused.", **refused),
        make_ended(**ANSWERED),
    ]
    value = run_json(tmp_path, capsys, rows)
    assert value["not_admitted"] == {"1301 allowance_exceeded draft": 1}
    assert value["total"]["requests"] == 1


def test_text_names_groups_causes_and_engines(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "day.log"
    late = LATE | {"engine_estimates": [{"estimate_s": 0.1, "report_age_s": 2.5}]}
    path.write_text("\n".join([make_ended(**ANSWERED), make_ended(**late)]))
    cappa.invoke(Chiveslip, argv=["shortfall", str(path)])
    text = capsys.readouterr().out
    assert "2 requests, 0.550 of their worth earned" in text
    assert "late, longest wait for the endpoint: 1, 0.4500" in text
    assert "node-west: 2, 0.550" in text
    assert "i-1: 1 late, estimated 0.100 s, came after 2.000 s, report 2.500 s" in text


@pytest.mark.parametrize(
    ("rows", "options", "error"),
    [
        pytest.param([], [], "no request ended", id="nothing"),
        pytest.param(
            [make_ended(**ANSWERED)],
            ["--worth", "draft"],
            "give ROUTE=NUMBER",
            id="bad",
        ),
    ],
)
def test_errors_say_what_to_give(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    rows: list[str],
    options: list[str],
    error: str,
) -> None:
    path = tmp_path / "day.log"
    path.write_text("\n".join(rows))
    with pytest.raises(cappa.Exit):
        cappa.invoke(Chiveslip, argv=["shortfall", str(path), *options])
    assert error in capsys.readouterr().err
