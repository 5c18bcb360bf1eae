"""The settings template renders the fields of the platform to valid settings."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest

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
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(text: str, fields: dict[str, Any]) -> str:
    """Replace sections and values as the documentation of the platform describes."""

    def render_section(match: re.Match[str]) -> str:
        value = look_up(fields, match[1])
        return match[2].replace("{{.}}", str(value)) if value else ""

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
    return check_settings(render(TEMPLATE.read_text(), fields), "s.yaml").unwrap()


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


@pytest.mark.parametrize(
    "missing",
    ["retry_budget_ratio", "retry_budget_slack", "budget_window_s", "lease_ms"],
)
def test_missing_bound_keeps_its_default(missing: str) -> None:
    bounds = {k: v for k, v in FIELDS["bounds"].items() if k != missing}
    assert render_settings(FIELDS | {"bounds": bounds}).instance.id


def test_seeds_may_be_empty() -> None:
    assert render_settings(FIELDS | {"seeds": []}).fleet.seeds == ()
