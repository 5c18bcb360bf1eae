"""Parses JSON objects of untrusted writers and checks the types of their fields.

All functions raise `UnreadableError` if a check fails. Errors about a field
name it; those about lists do not quote the value, which may contain callers' keys.
"""

from __future__ import annotations

import json
from typing import Any

# Larger numbers do not fit into the fields of messages to peers.
_MAX_NUMBER = 2**62
# Digits of a number in a text, such as a version of an adapter.
_MAX_DIGITS = 15
_MAX_CHARACTERS = 4096


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


def read_string(fields: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a field that must be a non-empty string, or the default if it is missing.

    It has printable characters only, so that it can be logged and told to peers.
    """
    value = fields.get(name, default)
    if default is not None and value == default:
        return default
    if not is_text(value):
        raise UnreadableError(f"{name}: expected a non-empty, printable string")
    return str(value)


def is_text(value: object) -> bool:
    """Return whether a value is a non-empty string of printable characters."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= _MAX_CHARACTERS
        and value.isprintable()
    )


def read_number(
    fields: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Return a field that must be a number, or the default if it is missing."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise UnreadableError(f"{name}: expected a number")
    if not -_MAX_NUMBER <= value <= _MAX_NUMBER:
        raise UnreadableError(f"{name}: expected a number up to {_MAX_NUMBER:.0e}")
    return value


def read_count(fields: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a field that must be a number of 0 or more; a fraction is cut off."""
    value = read_number(fields, name, default)
    if value < 0:
        raise UnreadableError(f"{name}: expected 0 or more")
    return int(value)


def parse_count(text: str) -> int:
    """Return the number of 0 or more that a text of decimal digits stands for."""
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS):
        raise UnreadableError(f"expected a number of up to {_MAX_DIGITS} digits")
    return int(text)


def read_objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a field that must be a list of objects; empty if it is missing."""
    value = fields.get(name, [])
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        raise UnreadableError(f"{name}: expected a list of objects")
    return value


def read_strings(fields: dict[str, Any], name: str) -> list[str]:
    """Return a field that must be a list of strings; empty if it is missing."""
    value = fields.get(name, [])
    if not isinstance(value, list) or not all(map(is_text, value)):
        raise UnreadableError(f"{name}: expected a list of printable strings")
    return value
