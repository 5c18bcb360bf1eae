"""Errors of a settings file name file, line, key, actual and expected value."""

from __future__ import annotations

import pytest
from returns.result import Success

from chiveslip.settings.check import check_settings

VALID_TEXT = "instance:\n  id: one\n  data_centre: here\n"


def test_missing_settings_have_defaults() -> None:
    settings = check_settings(VALID_TEXT, "s.yaml").unwrap().settings
    assert settings.fleet.lease == 2.0
    assert settings.limits.body == 1024**2


@pytest.mark.parametrize(
    ("text", "line", "key", "actual"),
    [
        (VALID_TEXT + "flet: {}\n", 4, "flet", "an unknown key"),
        (VALID_TEXT + "fleet:\n  leese: 2 s\n", 5, "fleet.leese", "an unknown key"),
        (VALID_TEXT + "fleet:\n  lease: 2\n", 5, "fleet.lease", "the unit is missing"),
        (VALID_TEXT + "fleet:\n  lease: 2 weeks\n", 5, "fleet.lease", "unknown unit"),
        (VALID_TEXT + "fleet:\n  lease: 2 h\n", 5, "fleet.lease", "out of range"),
        (VALID_TEXT + "fleet:\n  lease: [1]\n", 5, "fleet.lease", "a list"),
        (VALID_TEXT + "fleet: 3\n", 4, "fleet", "a value"),
        (
            VALID_TEXT + "engines:\n  queue: many\n",
            5,
            "engines.queue",
            "not a whole number",
        ),
        (VALID_TEXT + "logs:\n  form: xml\n", 5, "logs.form", "not an allowed value"),
        (VALID_TEXT + "listen:\n  peers: here\n", 5, "listen.peers", "not an address"),
        ("instance:\n  id: one\n", 0, "instance.data_centre", "no value"),
        ("instance: {id: [}\n", 1, "file", "invalid YAML"),
        (VALID_TEXT + "fleet:\n  hold_off: 1 s\n", 1, "fleet.hold_off", "1.0 s"),
    ],
    ids=lambda value: str(value).replace("\n", " ")[-30:],
)
def test_error_names_line_key_and_actual_value(
    text: str, line: int, key: str, actual: str
) -> None:
    errors = check_settings(text, "s.yaml").failure()
    assert [(e.file, e.line, e.key) for e in errors] == [("s.yaml", line, key)]
    assert actual in errors[0].actual
    assert errors[0].expected


def test_all_errors_are_reported_at_once() -> None:
    text = VALID_TEXT + "fleet:\n  lease: 2\n  confirm: soon\nlogs:\n  level: loud\n"
    assert len(check_settings(text, "s.yaml").failure()) == 3


def test_example_settings_are_valid() -> None:
    with open("example/settings.yaml", encoding="utf-8") as file:
        assert isinstance(check_settings(file.read(), file.name), Success)
