"""Differences of two configurations, in words that operators use."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from chiveslip.configuration.model import Adapter
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.model import Organisation


def differences(old: Configuration, new: Configuration) -> list[str]:
    """Return a line for each difference, sorted by what it is about."""
    return [
        *_organisations(old, new),
        *_adapters(old, new),
        *_routes(old, new),
        *_weight_store(old, new),
    ]


def _organisations(old: Configuration, new: Configuration) -> Iterator[str]:
    for name in sorted(old.organisations.keys() | new.organisations.keys()):
        before = old.organisations.get(name)
        after = new.organisations.get(name)
        if before is None:
            yield f"organisation {name}: added"
        elif after is None:
            yield f"organisation {name}: removed, all its keys stop working"
        elif before != after:
            yield from _organisation(before, after)


def _organisation(before: Organisation, after: Organisation) -> Iterator[str]:
    units = {"rate": " tokens/s", "burst": " tokens"}
    for field in attrs.fields(Organisation):
        if field.name in ("name", "keys"):
            continue
        was = getattr(before, field.name)
        now = getattr(after, field.name)
        if was != now:
            unit = units.get(field.name, "")
            yield (
                f"organisation {after.name}: {field.name} {_text(was)} -> "
                f"{_text(now)}{unit}"
            )
    yield from _keys(before, after)


def _keys(before: Organisation, after: Organisation) -> Iterator[str]:
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


def _adapters(old: Configuration, new: Configuration) -> Iterator[str]:
    for name in sorted(old.adapters.keys() | new.adapters.keys()):
        before = old.adapters.get(name)
        after = new.adapters.get(name)
        if before is None:
            yield f"adapter {name}: added"
        elif after is None:
            yield f"adapter {name}: removed"
        elif before != after:
            yield from _adapter(before, after)


def _adapter(before: Adapter, after: Adapter) -> Iterator[str]:
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


def _routes(old: Configuration, new: Configuration) -> Iterator[str]:
    before = {route.prefix: route for route in old.routes}
    after = {route.prefix: route for route in new.routes}
    for prefix in sorted(before.keys() | after.keys()):
        if prefix not in before:
            yield f"route {prefix}: added"
        elif prefix not in after:
            yield f"route {prefix}: removed"
        elif before[prefix] != after[prefix]:
            yield f"route {prefix}: changed"


def _weight_store(old: Configuration, new: Configuration) -> Iterator[str]:
    if old.weight_store != new.weight_store:
        yield (
            f"weight store: {old.weight_store.loads_per_s:g} loads/s, "
            f"{old.weight_store.loads_in_flight} in flight -> "
            f"{new.weight_store.loads_per_s:g} loads/s, "
            f"{new.weight_store.loads_in_flight} in flight"
        )


def _text(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(str(item) for item in value) or "none"
    return f"{value:g}" if isinstance(value, float) else str(value)
