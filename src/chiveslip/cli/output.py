"""Output and exit codes of the commands."""

from __future__ import annotations

import json
import sys
from typing import Any

import cappa

EXIT_OK = 0
EXIT_INVALID_INPUT = 1
EXIT_UNREACHABLE = 3
EXIT_NOT_ACTIVE = 4


def print_result(value: Any, text: str, *, as_json: bool) -> None:
    """Print `value` as JSON, or `text` if JSON is not wanted."""
    print(json.dumps(value, sort_keys=True, indent=2) if as_json else text)


def print_errors(lines: list[str], code: int) -> cappa.Exit:
    """Print lines to standard error and return the exit for the caller to raise."""
    for line in lines:
        print(line, file=sys.stderr)
    return cappa.Exit(code=code)
