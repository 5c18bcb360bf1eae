"""The settings template renders the fields of the platform to valid settings."""

from __future__ import annotations

import copy
import re
from pathlib import Path
from typing import Any

import pytest

from chiveslip.generated.settings import FIELDS as FIELDS_BY_SECTION
from chiveslip.settings.check import check_settings
from chiveslip.settings.fields import Address

TEMPLATE = Path(__file__).parent.parent.parent / "deploy" / "settings.yaml"
FIELDS: dict[str, Any] = {
    "node_name": "frontend-glasgow-1",
    "zone": "glasgow",
    "ip_address": "10.1.0.25",
    "internal_ports": [7600, 7615],
    "seeds": ["10.1.0.25:8229", "10.2.0.17:8229"],
    "listen": {
        "front": "10.1.0.25:8221",
        "ready": "10.1.0.25:8224",
        "control": "10.1.0.25:8229",
    },
    "limits": {"memory_mb": 200},
    "bounds": {
        "retry_budget_ratio": 0.2,
        "retry_budget_slack": 52,
        "budget_window_s": 10,
        "lease_ms": 3000,
        "grace_period_s": 8,
    },
    "platform": {"address": "10.200.1.7:8225"},
}


def look_up(fields: dict[str, Any], name: str) -> Any:
    value: Any = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(text: str, fields: dict[str, Any]) -> str:
    """Replace sections and values as the documentation of the platform describes."""

    def render_section(match: re.Match[str]) -> str:
        value = look_up(fields, match[1])
        if value is None or value is False:
            return ""
        if isinstance(value, (list, dict)):
            # A section is rendered once for each entry of a list or table.
            entries = list(
                value.items() if isinstance(value, dict) else enumerate(value)
            )
            return "".join(
                match[2]
                .replace("{{@}}", str(key))
                .replace("{{.}}", str(entry))
                .replace("{{,}}", "," if place < len(entries) else "")
                for place, (key, entry) in enumerate(entries, 1)
            )
        return match[2].replace("{{.}}", str(value))

    def render_value(match: re.Match[str]) -> str:
        value = look_up(fields, match[1])
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", render_section, text, flags=re.DOTALL
    )
    return re.sub(r"\{\{([\w.]+)\}\}", render_value, text)


def render_settings(fields: dict[str, Any]) -> Any:
    return check_rendered(fields).unwrap().settings


def check_rendered(fields: dict[str, Any]) -> Any:
    return check_settings(render(TEMPLATE.read_text(), fields), "s.yaml")


def replace_field(name: str, value: Any) -> dict[str, Any]:
    """Return the platform's fields with one of them replaced, or without it if None."""
    fields: dict[str, Any] = copy.deepcopy(FIELDS)
    *parents, last = name.split(".")
    target: Any = fields
    for parent in parents:
        target = target[parent]
    if value is None:
        del target[last]
    else:
        target[last] = value
    return fields


def test_template_renders_to_valid_settings() -> None:
    settings = render_settings(FIELDS)
    assert settings.instance.id == "frontend-glasgow-1"
    assert settings.listen.peers == Address("10.1.0.25", 8229)
    assert settings.listen.metrics == Address("10.1.0.25", 7600)
    assert len(settings.fleet.seeds) == 2
    assert settings.gateway.order_lease == 3.0
    assert settings.gateway.retry_slack == 52
    assert settings.gateway.stop_grace == 8.0
    assert settings.store.address == Address("10.200.1.7", 8225)
    assert settings.limits.memory == 200 << 20


@pytest.mark.parametrize(
    "missing",
    ["retry_budget_ratio", "retry_budget_slack", "budget_window_s", "lease_ms"],
)
def test_missing_bound_keeps_its_default(missing: str) -> None:
    bounds = {k: v for k, v in FIELDS["bounds"].items() if k != missing}
    assert render_settings(FIELDS | {"bounds": bounds}).instance.id


@pytest.mark.parametrize(
    ("zones", "regions"),
    [
        ({"glasgow": "north", "cardiff": "west-1"}, 2),
        ({"glasgow": "north"}, 1),
        ({}, 0),
        (None, 0),
    ],
)
def test_regions_of_data_centres_are_read(zones: Any, regions: int) -> None:
    settings = render_settings(FIELDS | ({} if zones is None else {"zones": zones}))
    expected = (("glasgow", "north"), ("cardiff", "west-1"))[:regions]
    assert settings.fleet.regions == expected


@pytest.mark.parametrize(
    "zones", [{"a": ""}, {"a": "b=c"}, {"glasgow": "x", "a": "x=y"}, {"a": "'"}]
)
def test_unreadable_regions_do_not_stop_the_instance(zones: Any) -> None:
    loaded = check_rendered(FIELDS | {"zones": zones}).unwrap()
    assert set(loaded.settings.fleet.regions) <= {("glasgow", "x")}
    assert [w.key for w in loaded.warnings] == ["fleet.regions"]


def check_regions(text: str) -> Any:
    """Check settings whose regions are written as a text of their own."""
    rendered = render(TEMPLATE.read_text(), FIELDS | {"zones": None})
    assert 'regions: ""' in rendered
    written = "regions: |-\n    " + text
    return check_settings(rendered.replace('regions: ""', written), "s.yaml")


@pytest.mark.parametrize(
    ("text", "regions"),
    [
        ("glasgow=north,cardiff=west-1", 2),
        ('{"glasgow": "north"}', 1),
        ("glasgow = north", 1),
    ],
)
def test_regions_are_read_in_each_form(text: str, regions: int) -> None:
    expected = (("glasgow", "north"), ("cardiff", "west-1"))[:regions]
    assert check_regions(text).unwrap().settings.fleet.regions == expected


@pytest.mark.parametrize("text", ["north", "a=b=c", "7", "glasgow,x=y", "'\""])
def test_unreadable_text_of_regions_does_not_stop_the_instance(text: str) -> None:
    loaded = check_regions(text).unwrap()
    assert set(loaded.settings.fleet.regions) <= {("x", "y")}
    assert [w.key for w in loaded.warnings] == ["fleet.regions"]


def test_seeds_may_be_empty() -> None:
    assert render_settings(FIELDS | {"seeds": []}).fleet.seeds == ()


_BOUNDS: dict[str, tuple[str, float, float, float, float]] = {
    # setting, default, unit of the platform, least, most (the last three in seconds
    # or plain numbers)
    "retry_budget_ratio": ("retry_share", 0.2, 1, 0, 1),
    "retry_budget_slack": ("retry_slack", 50, 1, 0, 1_000_000),
    "budget_window_s": ("retry_window", 10, 1, 1, 600),
    "lease_ms": ("order_lease", 3, 0.001, 0.1, 600),
    "grace_period_s": ("stop_grace", 8, 1, 0.1, 600),
}


@pytest.mark.parametrize("bound", list(_BOUNDS))
@pytest.mark.parametrize(
    "value", [0.5, 35.833333333333336, 2999.99, 1e-07, 3e3, 1e15, 0]
)
def test_fractional_or_extreme_bound_is_used_within_the_range(
    bound: str, value: float
) -> None:
    setting, _default, unit, least, most = _BOUNDS[bound]
    loaded = check_rendered(replace_field(f"bounds.{bound}", value)).unwrap()
    plain = value * unit
    used = getattr(loaded.settings.gateway, setting)
    assert used == pytest.approx(min(max(plain, least), most))
    is_in_range = least <= plain <= most
    assert [w.key for w in loaded.warnings] == (
        [] if is_in_range else [f"gateway.{setting}"]
    )


@pytest.mark.parametrize(
    ("value", "memory_mb", "has_warning"),
    [
        pytest.param(None, 300, False, id="missing"),
        pytest.param(300.5, 300.5, False, id="fraction"),
        pytest.param(0, 64, True, id="none"),
        pytest.param(1e15, 65536, True, id="huge"),
        pytest.param(-200, 300, True, id="negative"),
        pytest.param("much", 300, True, id="text"),
    ],
)
def test_memory_of_the_machine_is_used_within_the_range(
    value: Any, memory_mb: float, has_warning: bool
) -> None:
    loaded = check_rendered(replace_field("limits.memory_mb", value)).unwrap()
    assert loaded.settings.limits.memory == memory_mb * (1 << 20)
    assert bool(loaded.warnings) == has_warning


@pytest.mark.parametrize("bound", list(_BOUNDS))
@pytest.mark.parametrize("value", [-5, -0.25, "NaN", "Infinity", True, "soon", "1e999"])
def test_meaningless_bound_is_replaced_by_its_default_with_a_warning(
    bound: str, value: Any
) -> None:
    setting, default, _unit, _least, _most = _BOUNDS[bound]
    loaded = check_rendered(replace_field(f"bounds.{bound}", value)).unwrap()
    assert getattr(loaded.settings.gateway, setting) == pytest.approx(default)
    (warning,) = loaded.warnings
    assert (warning.file, warning.key) == ("s.yaml", f"gateway.{setting}")
    assert warning.line > 0
    assert str(value) in warning.actual
    assert f"using '{loaded_default(setting)}'" in warning.actual
    assert " from " in warning.expected


def loaded_default(setting: str) -> str:
    (field,) = (f for f in FIELDS_BY_SECTION["gateway"] if f.name == setting)
    return str(field.default)


@pytest.mark.parametrize(
    ("field", "key"),
    [
        ("node_name", "instance.id"),
        ("zone", "instance.data_centre"),
        ("listen.front", "listen.callers"),
        ("listen.ready", "listen.readiness"),
        ("listen.control", "listen.peers"),
        ("platform.address", "store.address"),
    ],
)
@pytest.mark.parametrize("value", [None, 0.5, -1, "NaN", "no address", "a:1e3", "a:-1"])
def test_invalid_vital_field_is_refused_by_one_error_with_its_line(
    field: str, key: str, value: Any
) -> None:
    checked = check_rendered(replace_field(field, value))
    if key.startswith("instance.") and value in (0.5, "NaN"):
        assert checked.unwrap().settings.instance  # a plain, if odd, name
        return
    (error,) = checked.failure()
    assert (error.file, error.key) == ("s.yaml", key)
    assert error.line > 0
    assert error.expected


@pytest.mark.parametrize(
    ("value", "seeds"),
    [
        (["10.1.0.25:8229", "nowhere"], [Address("10.1.0.25", 8229)]),
        (["10.1.0.25"], []),
        (["10.1.0.25:70000", "10.2.0.17:1.5"], []),
        ("soon", []),
    ],
)
def test_unreadable_seeds_are_left_out_with_a_warning(
    value: Any, seeds: list[Address]
) -> None:
    loaded = check_rendered(replace_field("seeds", value)).unwrap()
    assert list(loaded.settings.fleet.seeds) == seeds
    assert [w.key for w in loaded.warnings] == ["fleet.seeds"]


@pytest.mark.parametrize("value", [None, [], ["many"], [1.5], [-1], [1e9]])
def test_missing_metrics_port_does_not_stop_the_instance(value: Any) -> None:
    loaded = check_rendered(replace_field("internal_ports", value)).unwrap()
    assert loaded.settings.listen.metrics == Address("127.0.0.1", 8084)
    assert [w.key for w in loaded.warnings] == ["listen.metrics"]
