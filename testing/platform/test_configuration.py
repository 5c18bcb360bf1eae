"""The operator's entries become the product's types, or are refused whole."""

from __future__ import annotations

import json
from typing import Any

import pytest

from chiveslip import hashing
from chiveslip.gateway.routing import RetryPolicy
from chiveslip.platform.configuration import read_configuration
from chiveslip.platform.configuration import read_version
from chiveslip.platform.fields import UnreadableError

ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "Kiosk.example",
    "prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 15000,
    "target_latency_ms": 800,
    "priority": 2,
    "service": "llm",
    "max_attempts": 1,
    "gap_aim_ms": 300,
}
TENANT: dict[str, Any] = {
    "name": "trust",
    "api_keys": ["k1", "k2"],
    "priority": 1,
    "unit": "tokens",
    "plain_tokens": 200,
    "requests_per_s": 44157,
    "burst": 50000,
}
ENGINE: dict[str, Any] = {
    "slots": 64,
    "kv_cache_tokens": 121277,
    "models": [
        {"name": "m", "weights_mb": 65100.0, "adapters": 3000, "adapter_size_mb": 12.0}
    ],
    "weights_mb": 66600.0,
    "adapter_slots": 17,
    "loads_per_s": 4.2,
}


def value(**changes: Any) -> bytes:
    whole = {
        "version": 7,
        "routes": [ROUTE],
        "services": [{"name": "llm", "connection_limit": 360, "engine": ENGINE}],
        "tenants": [TENANT],
    }
    return json.dumps(whole | changes).encode()


def test_key_stands_in_the_table_only_as_its_hash() -> None:
    table = read_configuration(value())
    assert set(table.keys) == {hashing.key_hash("k1"), hashing.key_hash("k2")}
    assert "k1" not in repr(table)


def test_rate_is_counted_in_the_tenants_unit() -> None:
    organisation = read_configuration(value()).keys[hashing.key_hash("k1")]
    assert organisation.counts_tokens
    assert (organisation.rate, organisation.burst) == (44157, 50000)
    assert organisation.default_units == 200


@pytest.mark.parametrize(
    ("changes", "repeat", "patience_s"),
    [
        pytest.param({}, RetryPolicy.AT_MOST_ONCE, 3.2, id="stream"),
        pytest.param(
            {"resumable": True}, RetryPolicy.RESUMABLE, 3.2, id="resumable-stream"
        ),
        pytest.param(
            {"target_latency_ms": 100}, RetryPolicy.AT_MOST_ONCE, 2.4, id="long-pauses"
        ),
        pytest.param(
            {"target_latency_ms": 100, "gap_aim_ms": 10},
            RetryPolicy.AT_MOST_ONCE,
            2.0,
            id="least",
        ),
        pytest.param(
            {"kind": "idempotent"}, RetryPolicy.IDEMPOTENT, 15.0, id="idempotent"
        ),
        pytest.param(
            {"kind": "non_idempotent"}, RetryPolicy.AT_MOST_ONCE, 15.0, id="once"
        ),
        pytest.param(
            {"kind": "of-tomorrow"}, RetryPolicy.AT_MOST_ONCE, 15.0, id="unknown-kind"
        ),
    ],
)
def test_kind_decides_what_may_be_repeated(
    changes: dict[str, Any], repeat: RetryPolicy, patience_s: float
) -> None:
    table = read_configuration(value(routes=[ROUTE | changes]))
    route = table.find_route("kiosk.example", "/a/x")
    assert route is not None
    assert route.retry_policy is repeat
    assert route.max_first_event_wait_s == pytest.approx(patience_s)


@pytest.mark.parametrize(
    ("path", "name"),
    [
        pytest.param("/a/b/c", "long", id="longest-prefix"),
        pytest.param("/a/c", "short", id="shorter-prefix"),
        pytest.param("/ab/c", None, id="prefix-ends-with-a-slash"),
        pytest.param("/", None, id="none"),
    ],
)
def test_longest_prefix_wins(path: str, name: str | None) -> None:
    routes = [
        ROUTE | {"name": "short", "prefix": "/a/"},
        ROUTE | {"name": "long", "prefix": "/a/b/"},
    ]
    route = read_configuration(value(routes=routes)).find_route("kiosk.example", path)
    assert (route.name if route else None) == name


def test_split_without_weight_gets_nothing() -> None:
    split = [{"service": "a", "weight": 0}, {"service": "b", "weight": 10}]
    table = read_configuration(value(routes=[ROUTE | {"traffic_split": split}]))
    route = table.find_route("kiosk.example", "/a/")
    assert route is not None
    assert route.services == (("b", 10),)


@pytest.mark.parametrize(
    ("changes", "places"),
    [
        pytest.param({}, 17, id="places"),
        pytest.param({"weights_mb": 65160.0}, 5, id="memory-is-less"),
    ],
)
def test_adapter_places_fit_the_memory(changes: dict[str, Any], places: int) -> None:
    service = {"name": "llm", "engine": ENGINE | changes}
    engine = read_configuration(value(services=[service])).services["llm"].engine
    assert engine is not None
    assert engine.adapter_slots == places


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff\xfe", id="no-text"),
        pytest.param(b"[1]", id="no-object"),
        pytest.param(value(version="7"), id="version-is-text"),
        pytest.param(value(routes=[{"name": "x"}]), id="route-lacks-fields"),
        pytest.param(value(routes={"a": 1}), id="routes-are-no-list"),
        pytest.param(value(tenants=[TENANT | {"api_keys": "k"}]), id="keys-are-text"),
        pytest.param(value(tenants=[TENANT | {"burst": None}]), id="burst-is-null"),
        pytest.param(b"[" * 100_000, id="deep"),
    ],
)
def test_configuration_that_cannot_be_read_is_refused_whole(data: bytes) -> None:
    with pytest.raises(UnreadableError):
        read_configuration(data)


def test_unknown_fields_are_ignored() -> None:
    assert read_configuration(value(of_tomorrow={"x": 1})).version == 7


def test_version_entry_names_an_adapter() -> None:
    data = json.dumps({"model": "m", "adapter": "a3", "version": 4}).encode()
    assert read_version("op/version/m.a3", data) == ("m/a3", 4)
