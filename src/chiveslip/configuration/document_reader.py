"""Typed access to published JSON documents; collects every error with its location."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import attrs

from chiveslip.settings.fields import Address
from chiveslip.settings.fields import parse_address


@attrs.frozen
class ErrorDetail:
    """One error in a document: its location, the actual and the expected value."""

    location: str
    actual: str
    expected: str

    def __str__(self) -> str:
        return f"{self.location}: got {self.actual}; expected {self.expected}"


class InvalidDocumentError(Exception):
    """A document is invalid as a whole; `errors` lists every error in it."""

    def __init__(self, errors: list[ErrorDetail]) -> None:
        super().__init__("; ".join(str(error) for error in errors))
        self.errors = errors


class MappingReader:
    """Reads the values of one mapping in a document.

    An invalid value is replaced by a fallback and recorded in `errors`, which all
    readers of a document share. The caller rejects the document at the end if
    there are any errors.

    Parameters
    ----------
    value
        The mapping; any other value is recorded as an error and reads as empty.
    location
        Path of the mapping within the document, for error messages.
    errors
        List to which errors are appended.
    """

    def __init__(self, value: Any, location: str, errors: list[ErrorDetail]) -> None:
        self.location = location
        self.errors = errors
        self._values: dict[str, Any] = value if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            self.add_error("", _describe_value(value), "a mapping")

    @classmethod
    def of_json(
        cls, content: bytes, location: str, errors: list[ErrorDetail]
    ) -> MappingReader:
        """Return a reader of a JSON document in UTF-8."""
        try:
            value = json.loads(content.decode())
        except ValueError:
            errors.append(ErrorDetail(location, "invalid JSON", "a JSON object"))
            value = {}
        return cls(value, location, errors)

    @property
    def keys(self) -> tuple[str, ...]:
        """The keys of the mapping, sorted."""
        return tuple(sorted(self._values))

    def has(self, key: str) -> bool:
        """Return whether the mapping contains `key`."""
        return key in self._values

    def add_error(self, key: str, actual: str, expected: str) -> None:
        """Record an error at `key`, or at the mapping itself if `key` is empty."""
        location = f"{self.location}.{key}" if key else self.location
        self.errors.append(ErrorDetail(location, actual, expected))

    def reject_unknown_keys(self, *known: str) -> None:
        """Record an error for each key that is not in `known`."""
        for key in self.keys:
            if key not in known:
                self.add_error(key, "an unknown key", "one of " + ", ".join(known))

    def read_string(self, key: str, default: str | None = None) -> str:
        """Return a non-empty string, or an empty one after an error."""
        value = self._values.get(key, default)
        if isinstance(value, str) and value:
            return value
        self.add_error(key, _describe_value(value), "a non-empty string")
        return ""

    def read_choice(self, key: str, choices: tuple[str, ...], default: str) -> str:
        """Return one of `choices`, or `default` after an error."""
        value = self._values.get(key, default)
        if value in choices:
            return str(value)
        self.add_error(key, _describe_value(value), "one of " + ", ".join(choices))
        return default

    def read_boolean(self, key: str, default: bool) -> bool:
        """Return a boolean, or `default` after an error."""
        value = self._values.get(key, default)
        if isinstance(value, bool):
            return value
        self.add_error(key, _describe_value(value), "true or false")
        return default

    def read_number(
        self, key: str, low: float, high: float, default: float | None = None
    ) -> float:
        """Return a number from `low` to `high`, or `low` after an error."""
        value = self._values.get(key, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and value is not None and low <= value <= high:
            return float(value)
        self.add_error(
            key, _describe_value(value), f"a number from {low:g} to {high:g}"
        )
        return low

    def read_integer(
        self, key: str, low: int, high: int, default: int | None = None
    ) -> int:
        """Return an integer from `low` to `high`, or `low` after an error."""
        value = self._values.get(key, default)
        if type(value) is int and low <= value <= high:
            return value
        self.add_error(key, _describe_value(value), f"an integer from {low} to {high}")
        return low

    def read_strings(self, key: str, default: tuple[str, ...] = ()) -> tuple[str, ...]:
        """Return a list of non-empty strings, or an empty one after an error."""
        value = self._values.get(key, list(default))
        if isinstance(value, list) and all(isinstance(v, str) and v for v in value):
            return tuple(value)
        self.add_error(key, _describe_value(value), "a list of non-empty strings")
        return ()

    def read_address(self, key: str) -> Address:
        """Return an address, or 127.0.0.1:0 after an error."""
        try:
            return parse_address(self.read_string(key))
        except ValueError:
            self.add_error(
                key,
                _describe_value(self._values.get(key)),
                "an IP address and port such as 127.0.0.1:8080",
            )
            return Address("127.0.0.1", 0)

    def nested_reader(self, key: str) -> MappingReader:
        """Return a reader of the mapping at `key`; a missing one reads as empty."""
        location = f"{self.location}.{key}"
        return MappingReader(self._values.get(key, {}), location, self.errors)

    def nested_readers(self) -> Iterator[tuple[str, MappingReader]]:
        """Yield each key with a reader of its mapping, sorted by key."""
        for key in self.keys:
            yield key, self.nested_reader(key)

    def item_readers(self, key: str) -> Iterator[MappingReader]:
        """Yield a reader for each mapping in the list at `key`."""
        value = self._values.get(key, [])
        if not isinstance(value, list):
            self.add_error(key, _describe_value(value), "a list")
            return
        for position, item in enumerate(value):
            yield MappingReader(item, f"{self.location}.{key}[{position}]", self.errors)

    def raw_value(self, key: str) -> Any:
        """Return the value at `key` without validation, or None."""
        return self._values.get(key)


def _describe_value(value: Any) -> str:
    if value is None:
        return "no value"
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    return repr(value)[:80]
