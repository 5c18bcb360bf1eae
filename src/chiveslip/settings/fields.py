"""Types of settings, and parsers of their values with units."""

from __future__ import annotations

import math
import re
from collections.abc import Callable

import attrs

_DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_SIZE_UNITS_B = {"B": 1, "KiB": 1024, "MiB": 1024**2}
_QUANTITY = re.compile(r"(\d+(?:\.\d+)?(?:[eE][+-]?\d+)?)\s*([A-Za-z%]*)")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
# A pair NAME=VALUE; also NAME: VALUE with quotation marks, as in a printed mapping.
_PAIR = re.compile(
    r"[\s{]*[\"']?([A-Za-z0-9][\w.-]{0,62})[\"']?\s*[=:]\s*"
    r"[\"']?([A-Za-z0-9][\w.-]{0,62})[\"']?[\s}]*"
)

Value = str | int | float


@attrs.frozen
class Address:
    """A TCP or UDP address."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


Parsed = Value | Address | tuple[Address, ...] | tuple[tuple[str, str], ...]


@attrs.frozen(kw_only=True)
class Field:
    """One setting: name, type, default and allowed values, as in the schema.

    `default`, `min` and `max` are written as in a settings file, with their units. A
    setting without a default is required.

    Attributes
    ----------
    has_fallback
        Whether an invalid value is replaced, with a warning, instead of refused.
    """

    name: str
    type: str
    default: str | None = None
    min: str | None = None
    max: str | None = None
    choices: tuple[str, ...] = ()
    has_fallback: bool = False

    @property
    def expected(self) -> str:
        """Description of the allowed values, for error messages."""
        if self.choices:
            return "one of " + ", ".join(self.choices)
        if self.min is not None:
            return f"a {self.type} from {self.min} to {self.max}"
        return _EXAMPLES[self.type]


class OutOfRangeError(ValueError):
    """A number lies outside the allowed range.

    Attributes
    ----------
    nearest
        The allowed value that is closest to it, as in a settings file.
    """

    def __init__(self, nearest: str) -> None:
        super().__init__("out of range")
        self.nearest = nearest


def parse_value(field: Field, text: str) -> Parsed:
    """Parse `text` as a value of `field`.

    Raises
    ------
    OutOfRangeError
        If the value is a number beyond the field's limits.
    ValueError
        If the text has the wrong type or lacks its unit.
    """
    value = _PARSERS[field.type](text)
    if field.choices and value not in field.choices:
        raise ValueError("not an allowed value")
    if (
        field.min is None
        or field.max is None
        or isinstance(value, (str, Address, tuple))
    ):
        return value
    low = _PARSERS[field.type](field.min)
    high = _PARSERS[field.type](field.max)
    if value < low:  # type: ignore[operator]
        raise OutOfRangeError(field.min)
    if value > high:  # type: ignore[operator]
        raise OutOfRangeError(field.max)
    return value


def fallback_text(field: Field, text: str, error: ValueError) -> str:
    """Return what stands in for the invalid `text` of a field with a fallback.

    A number out of range is replaced by the nearest allowed one, a list of addresses
    or pairs by its valid ones, every other value by the default.
    """
    if isinstance(error, OutOfRangeError):
        return error.nearest
    if field.type == "pairs":
        return ",".join(part for part in text.split(",") if _PAIR.fullmatch(part))
    if field.type != "addresses":
        return field.default or ""
    return ",".join(part for part in text.split(",") if _is_address(part.strip()))


def _is_address(text: str) -> bool:
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def parse_address(text: str) -> Address:
    """Parse ``host:port``; the host, which should be an IP address, is not checked.

    Raises
    ------
    ValueError
        If the text has no host or no port from 0 to 65535.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError("not an address")
    return Address(host, int(port))


def parse_duration(text: str) -> float:
    """Parse a duration with its unit and return seconds.

    Raises
    ------
    ValueError
        If the text is no number with a known unit.
    """
    number, unit = _parse_quantity(text)
    if unit not in _DURATION_UNITS_S:
        raise ValueError(_unit_error(unit, _DURATION_UNITS_S))
    return number * _DURATION_UNITS_S[unit]


def parse_size(text: str) -> int:
    """Parse a size with its unit and return bytes.

    Raises
    ------
    ValueError
        If the text is no number with a known unit.
    """
    number, unit = _parse_quantity(text)
    if unit not in _SIZE_UNITS_B:
        raise ValueError(_unit_error(unit, _SIZE_UNITS_B))
    return int(number * _SIZE_UNITS_B[unit])


def _parse_quantity(text: str) -> tuple[float, str]:
    match = _QUANTITY.fullmatch(text)
    if match is None:
        raise ValueError("not a number with a unit")
    number = float(match[1])
    if not math.isfinite(number):
        raise ValueError("not a finite number")
    return number, match[2]


def _unit_error(unit: str, units: dict[str, float] | dict[str, int]) -> str:
    names = ", ".join(units)
    if not unit:
        return f"the unit is missing (one of {names})"
    return f"unknown unit {unit!r} (one of {names})"


def _parse_percent(text: str) -> float:
    number, unit = _parse_quantity(text)
    if unit != "%":
        raise ValueError("the unit is missing (%)")
    return number / 100


def _parse_count(text: str) -> int:
    if not text.isdigit():
        raise ValueError("not a whole number")
    return int(text)


def _parse_name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError("not a name")
    return text


def _parse_addresses(text: str) -> tuple[Address, ...]:
    parts = [part.strip() for part in text.split(",")]
    return tuple(parse_address(part) for part in parts if part)


def _parse_pairs(text: str) -> tuple[tuple[str, str], ...]:
    matches = [_PAIR.fullmatch(part) for part in text.split(",") if part.strip()]
    pairs = tuple((match[1], match[2]) for match in matches if match is not None)
    if len(pairs) < len(matches):
        raise ValueError("not pairs of names")
    return pairs


def _parse_number(text: str) -> float:
    number, unit = _parse_quantity(text)
    if unit:
        raise ValueError("not a plain number")
    return number


def _parse_flag(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError("neither true nor false")
    return text == "true"


def _parse_path(text: str) -> str:
    if not text:
        raise ValueError("empty path")
    return text


_PARSERS: dict[str, Callable[[str], Parsed]] = {
    "name": _parse_name,
    "address": parse_address,
    "path": _parse_path,
    "choice": str,
    "duration": parse_duration,
    "size": parse_size,
    "count": _parse_count,
    "percent": _parse_percent,
    "addresses": _parse_addresses,
    "pairs": _parse_pairs,
    "number": _parse_number,
    "flag": _parse_flag,
}

_EXAMPLES = {
    "name": "a name of up to 63 letters, digits, dots, dashes and underscores",
    "address": "an address such as 127.0.0.1:8080",
    "path": "a path",
    "addresses": "addresses separated by commas, such as 127.0.0.1:8080",
    "pairs": "pairs separated by commas, such as glasgow=north",
    "flag": "true or false",
}
