"""Parses JSON objects of untrusted writers and checks the types of their fields.

All functions raise `UnreadableError` if a check fails. Errors about a field
name it; those about lists do not quote the value, which may contain callers' keys.
"""

from __future__ import annotations

import json
import math
from typing import Any


class UnreadableError(Exception):
    """The bytes are not JSON, or a field does not have the required type."""


def parse_object(data: bytes) -> dict[str, Any]:
    """Return the JSON object that `data` contains.

    Raises
    ------
    UnreadableError
        If the bytes are not a JSON object.
    """
    try:
        parsed = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise UnreadableError(f"expected a JSON object: {error}") from error
    if not isinstance(parsed, dict):
        raise UnreadableError("expected a JSON object, found another JSON value")
    return parsed


def read_string(fields: dict[str, Any], name: str) -> str:
    """Return a field that must be a non-empty string."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise UnreadableError(f"{name}: expected a non-empty string, found {value!r}")
    return value


def read_number(
    fields: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Return a field that must be a number, or the default if it is missing."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise UnreadableError(f"{name}: expected a number, found {value!r}")
    if isinstance(value, float) and not math.isfinite(value):
        raise UnreadableError(f"{name}: expected a finite number, found {value!r}")
    return value


def read_objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a field that must be a list of objects; empty if it is missing."""
    value = fields.get(name, [])
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        raise UnreadableError(f"{name}: expected a list of objects")
    return value


def read_strings(fields: dict[str, Any], name: str) -> list[str]:
    """Return a field that must be a list of strings; empty if it is missing."""
    value = fields.get(name, [])
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise UnreadableError(f"{name}: expected a list of strings")
    return value
