"""Check of a settings file: every fault at once, each with its line."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import yaml
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from chiveslip.generated.settings import FIELDS
from chiveslip.generated.settings import SECTIONS
from chiveslip.generated.settings import Settings
from chiveslip.settings.fields import Address
from chiveslip.settings.fields import Field
from chiveslip.settings.fields import Value
from chiveslip.settings.fields import parse_value


@attrs.frozen(kw_only=True)
class SettingsFault:
    """One fault of a settings file."""

    file: str
    line: int
    key: str
    seen: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}: {self.key}"
        return f"{place}: saw {self.seen}; allowed is {self.allowed}"


def load_settings(path: Path) -> Result[Settings, list[SettingsFault]]:
    """Read and check the settings file at `path`."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure([_fault(str(path), 0, "file", str(error), "a readable file")])
    return check_settings(text, str(path))


def check_settings(text: str, file: str) -> Result[Settings, list[SettingsFault]]:
    """Check the settings in `text`; `file` names them in faults."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        return Failure([_fault(file, line, "file", "no valid YAML", "YAML")])
    return _Checker(file).check(root)


def _fault(file: str, line: int, key: str, seen: str, allowed: str) -> SettingsFault:
    return SettingsFault(file=file, line=line, key=key, seen=seen, allowed=allowed)


class _Checker:
    """Walks the YAML nodes, because only these know their lines."""

    def __init__(self, file: str) -> None:
        self._file = file
        self._faults: list[SettingsFault] = []

    def check(self, root: yaml.Node | None) -> Result[Settings, list[SettingsFault]]:
        if root is not None and not isinstance(root, yaml.MappingNode):
            self._add(root, "file", "no mapping", "sections with settings")
            return Failure(self._faults)
        given = self._mapping(root, "", tuple(SECTIONS))
        sections = {name: self._section(name, given.get(name)) for name in SECTIONS}
        if not self._faults:
            self._relations(sections, root)
        if self._faults:
            return Failure(self._faults)
        built = {name: SECTIONS[name](**values) for name, values in sections.items()}
        return Success(Settings(**built))

    def _section(self, name: str, node: yaml.Node | None) -> dict[str, Any]:
        fields = {field.name: field for field in FIELDS[name]}
        if node is not None and not isinstance(node, yaml.MappingNode):
            self._add(node, name, _seen(node), "a section: " + ", ".join(fields))
            return {}
        given = self._mapping(node, name + ".", tuple(fields))
        return {
            key: self._value(f"{name}.{key}", field, given.get(key))
            for key, field in fields.items()
        }

    def _mapping(
        self, node: yaml.MappingNode | None, prefix: str, known: tuple[str, ...]
    ) -> dict[str, yaml.Node]:
        found: dict[str, yaml.Node] = {}
        for key, value in node.value if node is not None else ():
            name = str(key.value)
            if name not in known:
                allowed = "one of " + ", ".join(known)
                self._add(key, prefix + name, "an unknown key", allowed)
            elif name in found:
                self._add(key, prefix + name, "the key twice", "each key once")
            else:
                found[name] = value
        return found

    def _value(
        self, key: str, field: Field, node: yaml.Node | None
    ) -> Value | Address | tuple[Address, ...] | None:
        if node is None and field.default is None:
            self._faults.append(_fault(self._file, 0, key, "no value", field.allowed))
            return None
        if node is None:
            return parse_value(field, field.default or "")
        if not isinstance(node, yaml.ScalarNode):
            self._add(node, key, _seen(node), field.allowed)
            return None
        try:
            return parse_value(field, str(node.value))
        except ValueError as error:
            self._add(node, key, f"{node.value!r}: {error}", field.allowed)
            return None

    def _relations(
        self, sections: dict[str, dict[str, Any]], root: yaml.Node | None
    ) -> None:
        least = sections["fleet"]["lease"] + sections["allowance"]["credit"]
        if sections["fleet"]["hold_off"] > least:
            return
        self._add(
            root,
            "fleet.hold_off",
            f"{sections['fleet']['hold_off']} s",
            f"more than fleet.lease + allowance.credit ({least} s)",
        )

    def _add(self, node: yaml.Node | None, key: str, seen: str, allowed: str) -> None:
        line = node.start_mark.line + 1 if node is not None else 0
        self._faults.append(_fault(self._file, line, key, seen, allowed))


def _seen(node: yaml.Node) -> str:
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    return "a value"
