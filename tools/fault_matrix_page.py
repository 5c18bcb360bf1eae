"""Writes docs/FAULT-MATRIX.md from the tables from which the tests are collected."""

from __future__ import annotations

import inspect
import sys
from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from testing.platform.store_returns import RETURN_STEPS  # noqa: E402
from testing.simulation.faults import FAULTS  # noqa: E402
from testing.simulation.scenario import InjectionPoint  # noqa: E402
from testing.simulation.switches import STORE_SWITCHES  # noqa: E402
from testing.simulation.switches import SWITCHES  # noqa: E402
from testing.test_switched_off import DETECTING_CELLS  # noqa: E402

PAGE_PATH = ROOT / "docs" / "FAULT-MATRIX.md"


def render_page() -> str:
    """Return the text of the page."""
    injection_points = list(InjectionPoint)
    cells = len(FAULTS) * len(injection_points)
    lines = [
        "# Fault matrix",
        "",
        "Written by `python tools/fault_matrix_page.py` from the tables in",
        "testing/simulation. Each cell is a test `fault-step` in",
        "testing/test_fault_matrix.py; pairs of faults are in",
        "testing/test_fault_pairs.py. Each test ends in testing/simulation/checker.py.",
        "",
        f"{len(FAULTS)} faults at {len(injection_points)} steps: {cells} cells;",
        "every fault can occur at every step.",
        "",
        "Steps: "
        + ", ".join(injection_point.value for injection_point in injection_points)
        + ".",
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
        f"| {name} | {_first_line(switch)} | {_join(DETECTING_CELLS[name])} |"
        for name, switch in SWITCHES.items()
    ]
    lines += [
        "",
        "## Returns of the key-value store",
        "",
        "The instances of the matrix read published documents, each ordered by its",
        "own revision: there is no key-value store, no revision of all keys and no",
        "era, so that `configuration-returned` is what a return from a copy is there.",
        "Gateways read the key-value store. testing/platform/test_store_returns.py",
        "runs complete gateways over sockets at each step below, and checks that a",
        "withdrawn key stays refused, that a replica which drains or was removed",
        "gets nothing, that one which registered after the copy is used on, that no",
        "configuration reverts and that reads of the store stay few.",
        "",
        "| step | what happens |",
        "|---|---|",
    ]
    lines += [
        f"| {name} | {_first_line(step)} |" for name, step in RETURN_STEPS.items()
    ]
    lines += [
        "",
        "Each of these must make every step fail.",
        "",
        "| switch | what it does |",
        "|---|---|",
    ]
    lines += [
        f"| {name} | {_first_line(switch)} |" for name, switch in STORE_SWITCHES.items()
    ]
    return "\n".join(lines) + "\n"


def _join(items: Iterable[object]) -> str:
    return ", ".join(str(item) for item in items)


def _first_line(item: object) -> str:
    return (inspect.getdoc(item) or "").splitlines()[0]


if __name__ == "__main__":
    PAGE_PATH.write_text(render_page())
