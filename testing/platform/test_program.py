"""The program that deploy/system.toml runs."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from pathlib import Path

_DEPLOYMENT = Path(__file__).parents[2] / "deploy" / "system.toml"
_EXIT_INVALID_SETTINGS = 2


def test_deployed_program_reads_the_settings_that_the_platform_names(
    tmp_path: Path,
) -> None:
    settings = tmp_path / "local.yaml"
    settings.write_text("instance:\n  colour: red\n")
    program = tomllib.loads(_DEPLOYMENT.read_text())["roles"]["gateway"]["run"]
    words = program.split()
    assert words[0] == "python3"

    ended = subprocess.run(
        [sys.executable, *words[1:]],
        env={
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join(path for path in sys.path if path),
            "CHIVESLIP_BOOT": str(settings),
        },
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )

    assert ended.returncode == _EXIT_INVALID_SETTINGS, ended.stderr
    assert f"{settings}:2: instance.colour" in ended.stderr
