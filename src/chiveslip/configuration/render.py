"""Rendering of organisations from templates and parameters.

Each instance renders for itself, the same way; what is published stays small.
"""

from __future__ import annotations

import string

import attrs

from chiveslip.configuration.model import Key
from chiveslip.configuration.model import Organisation
from chiveslip.configuration.reading import Reader

_MOST_TOKENS = 1e12
_NUMBERS: dict[str, tuple[float, float, float | None]] = {
    "rate": (0.001, _MOST_TOKENS, None),
    "burst": (1, _MOST_TOKENS, None),
    "weight": (0.001, 1000, 1),
    "priority": (0, 9, 5),
}
_HASH_LENGTH = 64


@attrs.frozen(kw_only=True)
class NumberRule:
    """What a template says of one number: its default and its allowed range."""

    low: float
    high: float
    default: float | None


@attrs.frozen(kw_only=True)
class Template:
    """A template: rules for numbers, and the adapters of each organisation."""

    name: str
    numbers: dict[str, NumberRule]
    adapters: tuple[str, ...]


def read_template(name: str, reader: Reader) -> Template:
    """Read the template called `name`."""
    reader.only("parameters", "adapters")
    parameters = reader.inner("parameters")
    parameters.only(*_NUMBERS)
    return Template(
        name=name,
        numbers={number: _number_rule(number, parameters) for number in _NUMBERS},
        adapters=reader.texts("adapters"),
    )


def _number_rule(number: str, parameters: Reader) -> NumberRule:
    low, high, default = _NUMBERS[number]
    if not parameters.has(number):
        return NumberRule(low=low, high=high, default=default)
    reader = parameters.inner(number)
    reader.only("min", "max", "default")
    least = reader.number("min", low, high, low)
    most = reader.number("max", least, high, high)
    chosen = default
    if reader.has("default"):
        chosen = reader.number("default", least, most)
    return NumberRule(low=least, high=most, default=chosen)


def render(name: str, reader: Reader, templates: dict[str, Template]) -> Organisation:
    """Render the organisation called `name` from its parameters."""
    reader.only("template", "keys", "adapters", *_NUMBERS)
    template = templates.get(reader.text("template"))
    if template is None:
        allowed = "one of " + ", ".join(sorted(templates))
        reader.fault("template", repr(reader.raw("template")), allowed)
        template = Template(name="", numbers=_no_rules(), adapters=())
    numbers = {n: _number(n, reader, template) for n in _NUMBERS}
    patterns = reader.texts("adapters") or template.adapters
    return Organisation(
        name=name,
        template=template.name,
        rate=numbers["rate"],
        burst=numbers["burst"],
        weight=numbers["weight"],
        priority=int(numbers["priority"]),
        adapters=tuple(_fill(pattern, name) for pattern in patterns),
        keys=tuple(_read_key(item) for item in reader.items("keys")),
    )


def _no_rules() -> dict[str, NumberRule]:
    return {n: _number_rule(n, Reader({}, "", [])) for n in _NUMBERS}


def _number(name: str, reader: Reader, template: Template) -> float:
    rule = template.numbers[name]
    return reader.number(name, rule.low, rule.high, rule.default)


def _fill(pattern: str, organisation: str) -> str:
    filled = string.Template(pattern)
    return filled.safe_substitute(organisation=organisation)


def _read_key(reader: Reader) -> Key:
    reader.only("id", "hash", "withdrawn")
    found = reader.text("hash")
    if len(found) != _HASH_LENGTH or set(found) - set(string.hexdigits.lower()):
        reader.fault("hash", "no SHA-256", f"{_HASH_LENGTH} hexadecimal digits")
    return Key(
        id=reader.text("id"), hash=found, withdrawn=reader.flag("withdrawn", False)
    )
