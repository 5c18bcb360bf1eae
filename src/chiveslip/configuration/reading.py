"""Reading of published documents: every fault is collected with its place."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import attrs

from chiveslip.settings.fields import Address
from chiveslip.settings.fields import parse_address


@attrs.frozen
class Fault:
    """One fault of a document: where, what was seen, what is allowed."""

    place: str
    seen: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.place}: saw {self.seen}; allowed is {self.allowed}"


class FaultyDocumentError(Exception):
    """A document that is refused whole, with all its faults."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


class Reader:
    """Reads one mapping of a document.

    A value that is faulty reads as its fallback, and the fault is noted; the
    caller refuses the document at the end if there are any.
    """

    def __init__(self, value: Any, place: str, faults: list[Fault]) -> None:
        self.place = place
        self.faults = faults
        self._given: dict[str, Any] = value if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            self.fault("", _seen(value), "a mapping")

    @classmethod
    def of_json(cls, content: bytes, place: str, faults: list[Fault]) -> Reader:
        """Return a reader of a JSON document."""
        try:
            value = json.loads(content.decode())
        except ValueError:
            faults.append(Fault(place, "no valid JSON", "a JSON mapping"))
            value = {}
        return cls(value, place, faults)

    @property
    def names(self) -> tuple[str, ...]:
        """The keys of the mapping, sorted."""
        return tuple(sorted(self._given))

    def has(self, key: str) -> bool:
        """Return whether `key` is given."""
        return key in self._given

    def fault(self, key: str, seen: str, allowed: str) -> None:
        """Note a fault at `key`."""
        place = f"{self.place}.{key}" if key else self.place
        self.faults.append(Fault(place, seen, allowed))

    def only(self, *known: str) -> None:
        """Note a fault for each key other than `known`."""
        for key in self.names:
            if key not in known:
                self.fault(key, "an unknown key", "one of " + ", ".join(known))

    def text(self, key: str, default: str | None = None) -> str:
        """Return a text that is not empty."""
        value = self._given.get(key, default)
        if isinstance(value, str) and value:
            return value
        self.fault(key, _seen(value), "a text")
        return ""

    def choice(self, key: str, choices: tuple[str, ...], default: str) -> str:
        """Return one of `choices`."""
        value = self._given.get(key, default)
        if value in choices:
            return str(value)
        self.fault(key, _seen(value), "one of " + ", ".join(choices))
        return default

    def flag(self, key: str, default: bool) -> bool:
        """Return a truth value."""
        value = self._given.get(key, default)
        if isinstance(value, bool):
            return value
        self.fault(key, _seen(value), "true or false")
        return default

    def number(
        self, key: str, low: float, high: float, default: float | None = None
    ) -> float:
        """Return a number from `low` to `high`."""
        value = self._given.get(key, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and value is not None and low <= value <= high:
            return float(value)
        self.fault(key, _seen(value), f"a number from {low:g} to {high:g}")
        return low

    def count(self, key: str, low: int, high: int, default: int | None = None) -> int:
        """Return a whole number from `low` to `high`."""
        value = self._given.get(key, default)
        if type(value) is int and low <= value <= high:
            return value
        self.fault(key, _seen(value), f"a whole number from {low} to {high}")
        return low

    def texts(self, key: str, default: tuple[str, ...] = ()) -> tuple[str, ...]:
        """Return a list of texts."""
        value = self._given.get(key, list(default))
        if isinstance(value, list) and all(isinstance(v, str) and v for v in value):
            return tuple(value)
        self.fault(key, _seen(value), "a list of texts")
        return ()

    def address(self, key: str) -> Address:
        """Return an address."""
        try:
            return parse_address(self.text(key))
        except ValueError:
            self.fault(key, _seen(self._given.get(key)), "an address: IP number:port")
            return Address("127.0.0.1", 0)

    def inner(self, key: str) -> Reader:
        """Return a reader of the mapping at `key`; a missing one is empty."""
        place = f"{self.place}.{key}"
        return Reader(self._given.get(key, {}), place, self.faults)

    def members(self) -> Iterator[tuple[str, Reader]]:
        """Yield each key with a reader of its mapping, sorted."""
        for key in self.names:
            yield key, self.inner(key)

    def items(self, key: str) -> Iterator[Reader]:
        """Yield a reader for each mapping in the list at `key`."""
        value = self._given.get(key, [])
        if not isinstance(value, list):
            self.fault(key, _seen(value), "a list")
            return
        for position, item in enumerate(value):
            yield Reader(item, f"{self.place}.{key}[{position}]", self.faults)

    def raw(self, key: str) -> Any:
        """Return the value at `key` unchecked."""
        return self._given.get(key)


def _seen(value: Any) -> str:
    if value is None:
        return "no value"
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    return repr(value)[:80]
