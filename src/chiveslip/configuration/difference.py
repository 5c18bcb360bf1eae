"""Differences between two configurations as lines of text for operators."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from chiveslip.configuration.model import Adapter
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.model import Organisation


def describe_differences(old: Configuration, new: Configuration) -> list[str]:
    """Return a line for each difference, grouped by section and sorted by name."""
    return [
        *_compare_all_organisations(old, new),
        *_compare_all_adapters(old, new),
        *_compare_routes(old, new),
        *_compare_weight_stores(old, new),
    ]


def _compare_all_organisations(old: Configuration, new: Configuration) -> Iterator[str]:
    for name in sorted(old.organisations.keys() | new.organisations.keys()):
        before = old.organisations.get(name)
        after = new.organisations.get(name)
        if before is None:
            yield f"organisation {name}: added"
        elif after is None:
            yield f"organisation {name}: removed, all its keys stop working"
        elif before != after:
            yield from _compare_organisation(before, after)


def _compare_organisation(before: Organisation, after: Organisation) -> Iterator[str]:
    units = {"rate": " tokens/s", "burst": " tokens"}
    for field in attrs.fields(Organisation):
        if field.name in ("name", "keys"):
            continue
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if old != new:
            unit = units.get(field.name, "")
            yield (
                f"organisation {after.name}: {field.name} {_format_value(old)} -> "
                f"{_format_value(new)}{unit}"
            )
    yield from _compare_keys(before, after)


def _compare_keys(before: Organisation, after: Organisation) -> Iterator[str]:
    old = {key.id: key for key in before.keys}
    new = {key.id: key for key in after.keys}
    for name in sorted(old.keys() | new.keys()):
        title = f"organisation {after.name}: key {name}"
        if name not in old:
            yield f"{title} issued"
        elif name not in new:
            yield f"{title} removed, it stops working"
        elif new[name].withdrawn and not old[name].withdrawn:
            yield f"{title} withdrawn, it stops working"
        elif old[name] != new[name]:
            yield f"{title} changed"


def _compare_all_adapters(old: Configuration, new: Configuration) -> Iterator[str]:
    for name in sorted(old.adapters.keys() | new.adapters.keys()):
        before = old.adapters.get(name)
        after = new.adapters.get(name)
        if before is None:
            yield f"adapter {name}: added"
        elif after is None:
            yield f"adapter {name}: removed"
        elif before != after:
            yield from _compare_adapter(before, after)


def _compare_adapter(before: Adapter, after: Adapter) -> Iterator[str]:
    if before.current != after.current:
        yield f"adapter {after.name}: current {before.current} -> {after.current}"
    for version in sorted(set(after.versions) - set(before.versions)):
        yield f"adapter {after.name}: version {version} added"
    for version in sorted(set(before.versions) - set(after.versions)):
        yield f"adapter {after.name}: version {version} removed"
    if before.base_model != after.base_model:
        yield (
            f"adapter {after.name}: base model {before.base_model} -> "
            f"{after.base_model}"
        )


def _compare_routes(old: Configuration, new: Configuration) -> Iterator[str]:
    before = {route.prefix: route for route in old.routes}
    after = {route.prefix: route for route in new.routes}
    for prefix in sorted(before.keys() | after.keys()):
        if prefix not in before:
            yield f"route {prefix}: added"
        elif prefix not in after:
            yield f"route {prefix}: removed"
        elif before[prefix] != after[prefix]:
            yield f"route {prefix}: changed"


def _compare_weight_stores(old: Configuration, new: Configuration) -> Iterator[str]:
    if old.weight_store != new.weight_store:
        yield (
            f"weight store: {old.weight_store.loads_per_s:g} loads/s, "
            f"{old.weight_store.loads_in_flight} in flight -> "
            f"{new.weight_store.loads_per_s:g} loads/s, "
            f"{new.weight_store.loads_in_flight} in flight"
        )


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(str(item) for item in value) or "none"
    return f"{value:g}" if isinstance(value, float) else str(value)
