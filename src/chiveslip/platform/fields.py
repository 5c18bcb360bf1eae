"""Reads fields of JSON objects from writers that are not trusted."""

from __future__ import annotations

import json
from typing import Any


class UnreadableError(Exception):
    """Bytes or fields that are not what they have to be."""


def parse_object(data: bytes) -> dict[str, Any]:
    """Return a JSON object.

    Raises
    ------
    UnreadableError
        If the bytes are no JSON object.
    """
    try:
        parsed = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise UnreadableError(f"no JSON: {error}") from error
    if not isinstance(parsed, dict):
        raise UnreadableError("no JSON object")
    return parsed


def text(fields: dict[str, Any], name: str) -> str:
    """Return a field that must be a text and not empty."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise UnreadableError(f"{name}: saw {value!r}, needs a text")
    return value


def number(fields: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a field that must be a number; a missing one is the default."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise UnreadableError(f"{name}: saw {value!r}, needs a number")
    return value


def objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a field that must be a list of objects; a missing one is empty."""
    value = fields.get(name, [])
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        raise UnreadableError(f"{name}: needs a list of objects")
    return value


def texts(fields: dict[str, Any], name: str) -> list[str]:
    """Return a field that must be a list of texts; a missing one is empty."""
    value = fields.get(name, [])
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise UnreadableError(f"{name}: needs a list of texts")
    return value
