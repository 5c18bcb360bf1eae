"""Tests of the output and the exit codes of the operators' commands."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import cappa
import pytest

from chiveslip.cli.main import Chiveslip

EXAMPLE = Path(__file__).parent.parent.parent / "example"


@pytest.fixture
def source(tmp_path: Path) -> Path:
    target = tmp_path / "source"
    shutil.copytree(EXAMPLE, target)
    return target


def _run(*arguments: object) -> int:
    """Run a command and return its exit code."""
    try:
        cappa.invoke(Chiveslip, argv=[str(argument) for argument in arguments])
    except SystemExit as error:
        return int(error.code or 0)
    return 0


def test_check_prints_counts(source: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert _run("check", source) == 0
    assert capsys.readouterr().out == (
        "ok: 3 organisations, 4 adapters, 3 routes, 0 keys\n"
    )


def test_check_prints_all_errors(
    source: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (source / "organisations.yaml").write_text(
        "one: {template: none}\ntwo: {template: small, rate: 1000000}\n"
    )
    (source / "adapters.yaml").write_text(
        "a: {base_model: b, current: '3', versions: ['1']}\n"
    )
    assert _run("check", source) == 1
    errors = capsys.readouterr().err
    assert "organisations/0000.one.template: got 'none'; expected one of" in errors
    assert "two.rate: got 1000000; expected a number from 1 to 50" in errors
    assert "a.current: got '3'; expected one of the versions" in errors


def test_publish_increments_revision_and_refuses_lower_one(
    source: Path, tmp_path: Path
) -> None:
    target = tmp_path / "published"
    assert _run("publish", source, target) == 0
    assert _run("publish", source, target) == 0
    assert json.loads((target / "manifest.json").read_bytes())["revision"] == 2
    assert _run("publish", source, target, "--revision", 2) == 1


def test_key_is_shown_once_and_only_its_hash_is_stored(
    source: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert _run("make-key", source, "north", "desk", "--json") == 0
    key = json.loads(capsys.readouterr().out)["key"]
    text = (source / "organisations.yaml").read_text()
    assert key not in text
    assert _run("make-key", source, "north", "desk") == 1
    assert _run("make-key", source, "nobody", "desk") == 1


def test_diff_describes_changes(
    source: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    _run("make-key", source, "north", "first")
    old = tmp_path / "old"
    _run("publish", source, old)
    _run("withdraw-key", source, "north", "first")
    organisations = source / "organisations.yaml"
    text = organisations.read_text().replace("rate: 20000", "rate: 30000")
    organisations.write_text(text)
    capsys.readouterr()
    assert _run("diff", old, source) == 0
    assert capsys.readouterr().out.splitlines() == [
        "organisation north: rate 20000 -> 30000 tokens/s",
        "organisation north: key first withdrawn, it stops working",
    ]


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (("check-settings", EXAMPLE / "settings.yaml"), 0),
        (("check-settings", EXAMPLE / "routes.yaml"), 1),
        (("status", "127.0.0.1:1"), 3),
        (("wait", "127.0.0.1:1", "--revision", "1", "--timeout", "0"), 4),
        (("brew",), 2),
    ],
    ids=["valid settings", "invalid settings", "unreachable", "not active", "unknown"],
)
def test_exit_code_tells_result(arguments: tuple[object, ...], code: int) -> None:
    assert _run(*arguments) == code
