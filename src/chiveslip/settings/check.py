"""Validation of a settings file; reports every error at once, each with its line."""

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
from chiveslip.settings.fields import Field
from chiveslip.settings.fields import Parsed
from chiveslip.settings.fields import fallback_text
from chiveslip.settings.fields import parse_value


@attrs.frozen(kw_only=True)
class SettingsErrorDetail:
    """One error in a settings file.

    Attributes
    ----------
    line
        Line in the file, from 1; 0 if the error belongs to no line.
    key
        Section and setting, such as ``fleet.lease``, or ``file``.
    """

    file: str
    line: int
    key: str
    actual: str
    expected: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}: {self.key}"
        return f"{location}: got {self.actual}; expected {self.expected}"


@attrs.frozen(kw_only=True)
class LoadedSettings:
    """Valid settings.

    Attributes
    ----------
    warnings
        Values that were invalid and replaced, of settings that allow it.
    """

    settings: Settings
    warnings: tuple[SettingsErrorDetail, ...] = ()


def load_settings(path: Path) -> Result[LoadedSettings, list[SettingsErrorDetail]]:
    """Read and validate the settings file at `path`."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(
            [_error_detail(str(path), 0, "file", str(error), "a readable file")]
        )
    return check_settings(text, str(path))


def check_settings(
    text: str, file: str
) -> Result[LoadedSettings, list[SettingsErrorDetail]]:
    """Validate the settings in `text`; `file` is the file's name in errors."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        return Failure(
            [_error_detail(file, line, "file", "invalid YAML", "valid YAML")]
        )
    return _Checker(file).check(root)


def _error_detail(
    file: str, line: int, key: str, actual: str, expected: str
) -> SettingsErrorDetail:
    return SettingsErrorDetail(
        file=file, line=line, key=key, actual=actual, expected=expected
    )


class _Checker:
    """Validates YAML nodes, which unlike plain values have line numbers."""

    def __init__(self, file: str) -> None:
        self._file = file
        self._errors: list[SettingsErrorDetail] = []
        self._warnings: list[SettingsErrorDetail] = []

    def check(
        self, root: yaml.Node | None
    ) -> Result[LoadedSettings, list[SettingsErrorDetail]]:
        if root is not None and not isinstance(root, yaml.MappingNode):
            self._add_error(
                root, "file", "no mapping", "a mapping of sections with settings"
            )
            return Failure(self._errors)
        nodes = self._read_mapping(root, "", tuple(SECTIONS))
        sections = {
            name: self._read_section(name, nodes.get(name)) for name in SECTIONS
        }
        if not self._errors:
            self._check_relations(sections, root)
        if self._errors:
            return Failure(self._errors)
        built = {name: SECTIONS[name](**values) for name, values in sections.items()}
        return Success(
            LoadedSettings(settings=Settings(**built), warnings=tuple(self._warnings))
        )

    def _read_section(self, name: str, node: yaml.Node | None) -> dict[str, Any]:
        fields = {field.name: field for field in FIELDS[name]}
        if node is not None and not isinstance(node, yaml.MappingNode):
            self._add_error(
                node, name, _describe_node(node), "a section: " + ", ".join(fields)
            )
            return {}
        nodes = self._read_mapping(node, name + ".", tuple(fields))
        return {
            key: self._read_value(f"{name}.{key}", field, nodes.get(key))
            for key, field in fields.items()
        }

    def _read_mapping(
        self, node: yaml.MappingNode | None, prefix: str, known: tuple[str, ...]
    ) -> dict[str, yaml.Node]:
        found: dict[str, yaml.Node] = {}
        for key, value in node.value if node is not None else ():
            name = str(key.value)
            if name not in known:
                expected = "one of " + ", ".join(known)
                self._add_error(key, prefix + name, "an unknown key", expected)
            elif name in found:
                self._add_error(key, prefix + name, "a duplicate key", "each key once")
            else:
                found[name] = value
        return found

    def _read_value(
        self, key: str, field: Field, node: yaml.Node | None
    ) -> Parsed | None:
        if node is None and field.default is None:
            self._errors.append(
                _error_detail(self._file, 0, key, "no value", field.expected)
            )
            return None
        if node is None:
            return parse_value(field, field.default or "")
        if not isinstance(node, yaml.ScalarNode):
            self._add_error(node, key, _describe_node(node), field.expected)
            return None
        text = str(node.value)
        try:
            return parse_value(field, text)
        except ValueError as error:
            actual = f"{text!r}: {error}"
            if not field.has_fallback:
                self._add_error(node, key, actual, field.expected)
                return None
            used = fallback_text(field, text, error)
            line = node.start_mark.line + 1
            self._warnings.append(
                _error_detail(
                    self._file, line, key, f"{actual}; using {used!r}", field.expected
                )
            )
            return parse_value(field, used)

    def _check_relations(
        self, sections: dict[str, dict[str, Any]], root: yaml.Node | None
    ) -> None:
        minimum_s = sections["fleet"]["lease"] + sections["allowance"]["credit"]
        if sections["fleet"]["hold_off"] > minimum_s:
            return
        self._add_error(
            root,
            "fleet.hold_off",
            f"{sections['fleet']['hold_off']} s",
            f"more than fleet.lease + allowance.credit ({minimum_s} s)",
        )

    def _add_error(
        self, node: yaml.Node | None, key: str, actual: str, expected: str
    ) -> None:
        line = node.start_mark.line + 1 if node is not None else 0
        self._errors.append(_error_detail(self._file, line, key, actual, expected))


def _describe_node(node: yaml.Node) -> str:
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    return "a value"
