"""Writes docs/FAULT-MATRIX.md from the tables from which the tests are collected."""

from __future__ import annotations

import inspect
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from testing.test_switched_off import RED  # noqa: E402
from testing.world.faults import FAULTS  # noqa: E402
from testing.world.scenario import Moment  # noqa: E402
from testing.world.switches import SWITCHES  # noqa: E402

PAGE_PATH = ROOT / "docs" / "FAULT-MATRIX.md"


def render_page() -> str:
    """Return the text of the page."""
    moments = list(Moment)
    cells = len(FAULTS) * len(moments)
    lines = [
        "# Fault matrix",
        "",
        "Written by `python tools/fault_matrix_page.py` from the tables in",
        "testing/world. Each cell is a test `fault-step` in",
        "testing/test_fault_matrix.py; pairs of faults are in",
        "testing/test_fault_pairs.py. Each test ends with testing/world/checker.py.",
        "",
        f"{len(FAULTS)} faults at {len(moments)} steps: {cells} cells;",
        "every fault can occur at every step.",
        "",
        "Steps: " + ", ".join(moment.value for moment in moments) + ".",
        "",
        "| fault | what happens |",
        "|---|---|",
    ]
    lines += [f"| {name} | {_first_line(fault)} |" for name, fault in FAULTS.items()]
    lines += [
        "",
        "## Mechanisms switched off",
        "",
        "Each of these must make its cell fail (testing/test_switched_off.py).",
        "",
        "| switch | what it does | cell that fails |",
        "|---|---|---|",
    ]
    lines += [
        f"| {name} | {_first_line(switch)} | {RED[name]} |"
        for name, switch in SWITCHES.items()
    ]
    return "\n".join(lines) + "\n"


def _first_line(item: object) -> str:
    return (inspect.getdoc(item) or "").splitlines()[0]


if __name__ == "__main__":
    PAGE_PATH.write_text(render_page())
