"""Rendering of organisations from templates and parameters.

Every instance renders the same organisations from the published templates, so the
published documents stay small.
"""

from __future__ import annotations

import string

import attrs

from chiveslip.configuration.document_reader import MappingReader
from chiveslip.configuration.model import Key
from chiveslip.configuration.model import Organisation

_MAX_TOKENS = 1e12
_NUMBER_RULES: dict[str, tuple[float, float, float | None]] = {
    "rate": (0.001, _MAX_TOKENS, None),
    "burst": (1, _MAX_TOKENS, None),
    "weight": (0.001, 1000, 1),
    "priority": (0, 9, 5),
}
_HASH_HEX_DIGITS = 64


@attrs.frozen(kw_only=True)
class NumberRule:
    """Default and expected range of one number of a template."""

    low: float
    high: float
    default: float | None


@attrs.frozen(kw_only=True)
class Template:
    """Rules for the numbers of organisations, and their default adapters.

    Attributes
    ----------
    numbers
        Rule of each number by the number's name.
    adapters
        Adapter patterns; ``$organisation`` stands for the organisation's name.
    """

    name: str
    numbers: dict[str, NumberRule]
    adapters: tuple[str, ...]


def read_template(name: str, reader: MappingReader) -> Template:
    """Parse the template called `name`."""
    reader.reject_unknown_keys("parameters", "adapters")
    parameters = reader.nested_reader("parameters")
    parameters.reject_unknown_keys(*_NUMBER_RULES)
    return Template(
        name=name,
        numbers={
            number: _read_number_rule(number, parameters) for number in _NUMBER_RULES
        },
        adapters=reader.read_strings("adapters"),
    )


def _read_number_rule(number: str, parameters: MappingReader) -> NumberRule:
    low, high, default = _NUMBER_RULES[number]
    if not parameters.has(number):
        return NumberRule(low=low, high=high, default=default)
    reader = parameters.nested_reader(number)
    reader.reject_unknown_keys("min", "max", "default")
    minimum = reader.read_number("min", low, high, low)
    maximum = reader.read_number("max", minimum, high, high)
    default_value = default
    if reader.has("default"):
        default_value = reader.read_number("default", minimum, maximum)
    return NumberRule(low=minimum, high=maximum, default=default_value)


def render(
    name: str, reader: MappingReader, templates: dict[str, Template]
) -> Organisation:
    """Render the organisation called `name` from its parameters."""
    reader.reject_unknown_keys("template", "keys", "adapters", *_NUMBER_RULES)
    template = templates.get(reader.read_string("template"))
    if template is None:
        expected = "one of " + ", ".join(sorted(templates))
        reader.add_error("template", repr(reader.raw_value("template")), expected)
        template = Template(name="", numbers=_default_rules(), adapters=())
    numbers = {n: _read_number(n, reader, template) for n in _NUMBER_RULES}
    patterns = reader.read_strings("adapters") or template.adapters
    return Organisation(
        name=name,
        template=template.name,
        rate=numbers["rate"],
        burst=numbers["burst"],
        weight=numbers["weight"],
        priority=int(numbers["priority"]),
        adapters=tuple(_expand_pattern(pattern, name) for pattern in patterns),
        keys=tuple(_read_key(item) for item in reader.item_readers("keys")),
    )


def _default_rules() -> dict[str, NumberRule]:
    return {n: _read_number_rule(n, MappingReader({}, "", [])) for n in _NUMBER_RULES}


def _read_number(name: str, reader: MappingReader, template: Template) -> float:
    rule = template.numbers[name]
    return reader.read_number(name, rule.low, rule.high, rule.default)


def _expand_pattern(pattern: str, organisation: str) -> str:
    template = string.Template(pattern)
    return template.safe_substitute(organisation=organisation)


def _read_key(reader: MappingReader) -> Key:
    reader.reject_unknown_keys("id", "hash", "withdrawn")
    digest = reader.read_string("hash")
    if len(digest) != _HASH_HEX_DIGITS or set(digest) - set(string.hexdigits.lower()):
        reader.add_error(
            "hash",
            "no SHA-256 hash",
            f"{_HASH_HEX_DIGITS} lower-case hexadecimal digits",
        )
    return Key(
        id=reader.read_string("id"),
        hash=digest,
        withdrawn=reader.read_boolean("withdrawn", False),
    )
