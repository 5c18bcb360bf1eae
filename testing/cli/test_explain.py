"""Tests that `explain` finds the cause of a request's result in log files.

The log lines may have any text before their JSON.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import cappa
import pytest

from chiveslip.cli.main import Chiveslip


def make_line(second: float, event: str, **fields: Any) -> str:
    stamp = f"2026-08-26T00:50:{second:09.6f}Z"
    return json.dumps(fields | {"event": event, "timestamp": stamp, "level": "info"})


def make_ended_line(second: float, request: str, **fields: Any) -> str:
    defaults = {
        "request": request,
        "ending": "answered",
        "status": 200,
        "code": 0,
        "endpoints": ["i-1"],
        "results": ["answered"],
        "total_s": 0.4,
        "first_event_s": 0.1,
        "load_wait_s": 0.0,
    }
    return make_line(second, "gateway: Ended.", **(defaults | fields))


def make_refused_line(second: float, request: str, code: int, detail: str) -> str:
    return make_line(
        second, "gateway: Refused.", request=request, code=code, detail=detail
    )


@pytest.fixture
def log_file(tmp_path: Path) -> Path:
    rows = [
        "   0.500 node-1 " + make_ended_line(10.5, "good"),
        "   1.000 node-1 "
        + make_refused_line(11, "limit", 1301, "trust is beyond its rate."),
        make_line(
            12,
            "gateway: Attempt failed.",
            request="lost",
            endpoint="i-2",
            result="unknown",
        ),
        make_ended_line(
            12.1,
            "lost",
            ending="refused",
            status=502,
            code=1601,
            endpoints=["i-2"],
            results=["unknown"],
        ),
        make_line(13, "catalogue: Endpoint gone.", endpoint="i-2"),
        make_line(13, "catalogue: Endpoint gone.", endpoint="i-9"),
        make_ended_line(
            14, "cut", ending="broke off", code=1601, results=["broke off"]
        ),
        make_ended_line(
            15, "left", ending="caller left", first_event_s=None, load_wait_s=2.5
        ),
        "Traceback (most recent call last):",
        "{ broken",
    ]
    path = tmp_path / "node-1.log"
    path.write_text("\n".join(rows))
    return path


def run(*arguments: object) -> int:
    """Run a command and return its exit code."""
    try:
        cappa.invoke(Chiveslip, argv=[str(argument) for argument in arguments])
    except SystemExit as error:
        return int(error.code or 0)
    return 0


@pytest.mark.parametrize(
    ("request_id", "text"),
    [
        ("good", "Answered with 200"),
        ("limit", "1301 allowance_exceeded (not run)"),
        ("lost", "1601 outcome_unknown (unknown)"),
        ("lost", "Attempts: i-2 unknown."),
        ("lost", "Nearby events: node-1.log: Endpoint gone."),
        ("cut", "Attempts: i-1 broke off."),
        ("left", "2.5 s of it waiting for the adapter"),
    ],
)
def test_cause_is_described(
    log_file: Path, capsys: pytest.CaptureFixture[str], request_id: str, text: str
) -> None:
    assert run("explain", request_id, log_file) == 0
    assert text in capsys.readouterr().out


def test_changes_of_other_endpoints_are_omitted(
    log_file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    run("explain", "lost", log_file)
    assert "i-9" not in capsys.readouterr().out


def test_report_as_json(log_file: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run("explain", "lost", log_file, "--json") == 0
    report = json.loads(capsys.readouterr().out)
    assert [entry["event"] for entry in report["lines"]] == [
        "Attempt failed.",
        "Ended.",
    ]


@pytest.mark.parametrize(
    ("request_id", "file", "code", "text"),
    [
        ("none", "node-1.log", 3, "give the logs of all instances"),
        ("good", "missing.log", 1, "give a readable log file"),
    ],
)
def test_error_says_what_to_do(
    log_file: Path,
    capsys: pytest.CaptureFixture[str],
    request_id: str,
    file: str,
    code: int,
    text: str,
) -> None:
    assert run("explain", request_id, log_file.parent / file) == code
    assert text in capsys.readouterr().err


def test_error_names_unreachable_gateway(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run("gateway-status", "127.0.0.1:1") == 3
    assert "127.0.0.1:1" in capsys.readouterr().err
