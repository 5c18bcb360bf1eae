"""A request is explained from logs alone, whatever stands before each line."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import cappa
import pytest

from chiveslip.cli.main import Chiveslip


def line(second: float, event: str, **fields: Any) -> str:
    stamp = f"2026-08-26T00:50:{second:09.6f}Z"
    return json.dumps(fields | {"event": event, "timestamp": stamp, "level": "info"})


def ended(second: float, request: str, **fields: Any) -> str:
    plain = {
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
    return line(second, "gateway: Ended.", **(plain | fields))


def refused(second: float, request: str, code: int, detail: str) -> str:
    return line(second, "gateway: Refused.", request=request, code=code, detail=detail)


@pytest.fixture
def log(tmp_path: Path) -> Path:
    rows = [
        "   0.500 node-1 " + ended(10.5, "good"),
        "   1.000 node-1 " + refused(11, "limit", 1301, "trust is beyond its rate."),
        line(
            12,
            "gateway: Attempt failed.",
            request="lost",
            endpoint="i-2",
            result="unknown",
        ),
        ended(
            12.1,
            "lost",
            ending="refused",
            status=502,
            code=1601,
            endpoints=["i-2"],
            results=["unknown"],
        ),
        line(13, "catalogue: Endpoint gone.", endpoint="i-2"),
        line(13, "catalogue: Endpoint gone.", endpoint="i-9"),
        ended(14, "cut", ending="broke off", code=1601, results=["broke off"]),
        ended(15, "left", ending="caller left", first_event_s=None, load_wait_s=2.5),
        "Traceback (most recent call last):",
        "{ broken",
    ]
    path = tmp_path / "node-1.log"
    path.write_text("\n".join(rows))
    return path


def run(*arguments: object) -> int:
    try:
        cappa.invoke(Chiveslip, argv=[str(argument) for argument in arguments])
    except SystemExit as error:
        return int(error.code or 0)
    return 0


@pytest.mark.parametrize(
    ("request_id", "words"),
    [
        ("good", "Answered with 200"),
        ("limit", "1301 allowance_exceeded (not run)"),
        ("lost", "1601 outcome_unknown (unknown)"),
        ("lost", "Tries: i-2 unknown."),
        ("lost", "Near it: node-1.log: Endpoint gone."),
        ("cut", "Tries: i-1 broke off."),
        ("left", "2.5 s of it waiting for the adapter"),
    ],
)
def test_cause_is_told_in_words(
    log: Path, capsys: pytest.CaptureFixture[str], request_id: str, words: str
) -> None:
    assert run("explain", request_id, log) == 0
    assert words in capsys.readouterr().out


def test_changes_of_other_endpoints_are_left_out(
    log: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    run("explain", "lost", log)
    assert "i-9" not in capsys.readouterr().out


def test_story_as_json(log: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run("explain", "lost", log, "--json") == 0
    story = json.loads(capsys.readouterr().out)
    assert [entry["event"] for entry in story["lines"]] == ["Attempt failed.", "Ended."]


@pytest.mark.parametrize(
    ("request_id", "file", "code", "words"),
    [
        ("none", "node-1.log", 3, "give the logs of all instances"),
        ("good", "missing.log", 1, "give a readable log file"),
    ],
)
def test_what_cannot_be_told_says_what_to_do(
    log: Path,
    capsys: pytest.CaptureFixture[str],
    request_id: str,
    file: str,
    code: int,
    words: str,
) -> None:
    assert run("explain", request_id, log.parent / file) == code
    assert words in capsys.readouterr().err


def test_gateway_that_does_not_answer_is_named(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run("gateway-status", "127.0.0.1:1") == 3
    assert "127.0.0.1:1" in capsys.readouterr().err
