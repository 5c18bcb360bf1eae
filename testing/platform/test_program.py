"""The program that deploy/system.toml runs."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

_DEPLOYMENT = Path(__file__).parents[2] / "deploy" / "system.toml"
_EXIT_INVALID_SETTINGS = 2
_TIMEOUT_S = 30


def start_program(settings: Path) -> subprocess.Popen[str]:
    program = tomllib.loads(_DEPLOYMENT.read_text())["roles"]["gateway"]["run"]
    words = program.split()
    assert words[0] == "python3"
    return subprocess.Popen(
        [sys.executable, *words[1:]],
        env={
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join(path for path in sys.path if path),
            "CHIVESLIP_BOOT": str(settings),
        },
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def test_deployed_program_reads_the_settings_that_the_platform_names(
    tmp_path: Path,
) -> None:
    settings = tmp_path / "local.yaml"
    settings.write_text("instance:\n  colour: red\n")
    process = start_program(settings)

    _output, errors = process.communicate(timeout=_TIMEOUT_S)

    assert process.returncode == _EXIT_INVALID_SETTINGS, errors
    assert f"{settings}:2: instance.colour" in errors


@pytest.mark.parametrize(
    ("slack", "warns"), [("35.833333333333336", False), ("soon", True)]
)
def test_program_starts_with_a_fractional_or_unreadable_bound(
    tmp_path: Path, slack: str, warns: bool
) -> None:
    settings = tmp_path / "local.yaml"
    settings.write_text(
        "instance: {id: a, data_centre: here}\n"
        'listen: {callers: "127.0.0.1:0", readiness: "127.0.0.1:0", '
        'peers: "127.0.0.1:0", metrics: "127.0.0.1:0"}\n'
        f'gateway: {{retry_slack: "{slack}"}}\n'
    )
    process = start_program(settings)
    assert process.stdout is not None
    lines: list[str] = []
    for line in process.stdout:
        lines.append(line)
        if "Started." in line:
            break
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=_TIMEOUT_S)

    assert any("Started." in line for line in lines)
    warnings = [line for line in lines if "Invalid setting was replaced" in line]
    assert len(warnings) == int(warns)
    assert all(f"{settings}:3: gateway.retry_slack" in line for line in warnings)
