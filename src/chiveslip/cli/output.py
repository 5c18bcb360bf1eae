"""How commands print and end."""

from __future__ import annotations

import json
import sys
from typing import Any

import cappa

EXIT_OK = 0
EXIT_FAULTY = 1
EXIT_UNREACHABLE = 3
EXIT_NOT_IN_FORCE = 4


def show(value: Any, text: str, *, as_json: bool) -> None:
    """Print `value` as JSON, or `text` for people."""
    print(json.dumps(value, sort_keys=True, indent=2) if as_json else text)


def fail(lines: list[str], code: int) -> cappa.Exit:
    """Print error lines and return the exit to raise."""
    for line in lines:
        print(line, file=sys.stderr)
    return cappa.Exit(code=code)
