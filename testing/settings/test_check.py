"""A faulty settings file is refused with file, line, key, seen and allowed."""

from __future__ import annotations

import pytest
from returns.result import Success

from chiveslip.settings.check import check_settings

GOOD = "instance:\n  id: one\n  data_centre: here\n"


def test_defaults_fill_a_short_file() -> None:
    settings = check_settings(GOOD, "s.yaml").unwrap()
    assert settings.fleet.lease == 2.0
    assert settings.limits.body == 1024**2


@pytest.mark.parametrize(
    ("text", "line", "key", "words"),
    [
        (GOOD + "flet: {}\n", 4, "flet", "an unknown key"),
        (GOOD + "fleet:\n  leese: 2 s\n", 5, "fleet.leese", "an unknown key"),
        (GOOD + "fleet:\n  lease: 2\n", 5, "fleet.lease", "the unit is missing"),
        (GOOD + "fleet:\n  lease: 2 weeks\n", 5, "fleet.lease", "unknown unit"),
        (GOOD + "fleet:\n  lease: 2 h\n", 5, "fleet.lease", "out of range"),
        (GOOD + "fleet:\n  lease: [1]\n", 5, "fleet.lease", "a list"),
        (GOOD + "fleet: 3\n", 4, "fleet", "a value"),
        (GOOD + "engines:\n  queue: many\n", 5, "engines.queue", "not a whole number"),
        (GOOD + "logs:\n  form: xml\n", 5, "logs.form", "not an allowed value"),
        (GOOD + "listen:\n  peers: here\n", 5, "listen.peers", "not an address"),
        ("instance:\n  id: one\n", 0, "instance.data_centre", "no value"),
        ("instance: {id: [}\n", 1, "file", "no valid YAML"),
        (GOOD + "fleet:\n  hold_off: 1 s\n", 1, "fleet.hold_off", "1.0 s"),
    ],
    ids=lambda value: str(value).replace("\n", " ")[-30:],
)
def test_fault_names_line_key_and_what_was_seen(
    text: str, line: int, key: str, words: str
) -> None:
    faults = check_settings(text, "s.yaml").failure()
    assert [(f.file, f.line, f.key) for f in faults] == [("s.yaml", line, key)]
    assert words in faults[0].seen
    assert faults[0].allowed


def test_all_faults_are_told_at_once() -> None:
    text = GOOD + "fleet:\n  lease: 2\n  confirm: soon\nlogs:\n  level: loud\n"
    assert len(check_settings(text, "s.yaml").failure()) == 3


def test_example_settings_are_good() -> None:
    with open("example/settings.yaml", encoding="utf-8") as file:
        assert isinstance(check_settings(file.read(), file.name), Success)
