"""Configuration and version entries are parsed completely or refused."""

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


def encode_configuration(**changes: Any) -> bytes:
    document = {
        "version": 7,
        "routes": [ROUTE],
        "services": [{"name": "llm", "connection_limit": 360, "engine": ENGINE}],
        "tenants": [TENANT],
    }
    return json.dumps(document | changes).encode()


def test_routing_table_contains_only_hashes_of_keys() -> None:
    table = read_configuration(encode_configuration())
    assert set(table.keys) == {hashing.key_hash("k1"), hashing.key_hash("k2")}
    assert "k1" not in repr(table)


@pytest.mark.parametrize(
    ("changes", "has_sessions"),
    [
        ({}, False),
        ({"sticky_sessions": False}, False),
        ({"sticky_sessions": True}, True),
    ],
)
def test_routes_without_sessions_are_placed_as_before(
    changes: dict[str, Any], *, has_sessions: bool
) -> None:
    """Guards against placement by prompts where no one asked for it."""
    table = read_configuration(encode_configuration(routes=[ROUTE | changes]))
    route = table.find_route("kiosk.example", "/a/x")
    assert route is not None
    assert route.has_sessions is has_sessions


def test_rate_is_counted_in_the_tenants_unit() -> None:
    organisation = read_configuration(encode_configuration()).keys[
        hashing.key_hash("k1")
    ]
    assert organisation.counts_tokens
    assert (organisation.rate, organisation.burst) == (44157, 50000)
    assert organisation.default_units == 200


@pytest.mark.parametrize(
    ("changes", "repeat", "max_wait_s"),
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
            id="minimum-wait",
        ),
        pytest.param(
            {"kind": "idempotent"}, RetryPolicy.IDEMPOTENT, 15.0, id="idempotent"
        ),
        pytest.param(
            {"kind": "non_idempotent"}, RetryPolicy.AT_MOST_ONCE, 15.0, id="once"
        ),
        pytest.param(
            {"kind": "future-kind"}, RetryPolicy.AT_MOST_ONCE, 15.0, id="unknown-kind"
        ),
    ],
)
def test_kind_of_route_sets_repetition_and_maximum_wait(
    changes: dict[str, Any], repeat: RetryPolicy, max_wait_s: float
) -> None:
    table = read_configuration(encode_configuration(routes=[ROUTE | changes]))
    route = table.find_route("kiosk.example", "/a/x")
    assert route is not None
    assert route.retry_policy is repeat
    assert route.max_first_event_wait_s == pytest.approx(max_wait_s)


@pytest.mark.parametrize(
    ("path", "name"),
    [
        pytest.param("/a/b/c", "long", id="longest-prefix"),
        pytest.param("/a/c", "short", id="shorter-prefix"),
        pytest.param("/ab/c", None, id="prefix-ends-with-slash"),
        pytest.param("/", None, id="no-match"),
    ],
)
def test_route_with_longest_prefix_is_selected(path: str, name: str | None) -> None:
    routes = [
        ROUTE | {"name": "short", "prefix": "/a/"},
        ROUTE | {"name": "long", "prefix": "/a/b/"},
    ]
    route = read_configuration(encode_configuration(routes=routes)).find_route(
        "kiosk.example", path
    )
    assert (route.name if route else None) == name


def test_service_with_zero_weight_is_left_out_of_the_split() -> None:
    split = [{"service": "a", "weight": 0}, {"service": "b", "weight": 10}]
    table = read_configuration(
        encode_configuration(routes=[ROUTE | {"traffic_split": split}])
    )
    route = table.find_route("kiosk.example", "/a/")
    assert route is not None
    assert route.services == (("b", 10),)


@pytest.mark.parametrize(
    ("changes", "adapter_slots"),
    [
        pytest.param({}, 17, id="configured-slots"),
        pytest.param({"weights_mb": 65160.0}, 5, id="limited-by-memory"),
    ],
)
def test_adapter_slots_are_limited_by_memory(
    changes: dict[str, Any], adapter_slots: int
) -> None:
    service = {"name": "llm", "engine": ENGINE | changes}
    engine = (
        read_configuration(encode_configuration(services=[service]))
        .services["llm"]
        .engine
    )
    assert engine is not None
    assert engine.adapter_slots == adapter_slots


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff\xfe", id="not-utf-8"),
        pytest.param(b"[1]", id="not-an-object"),
        pytest.param(encode_configuration(version="7"), id="version-is-a-string"),
        pytest.param(
            encode_configuration(routes=[{"name": "x"}]), id="route-lacks-fields"
        ),
        pytest.param(encode_configuration(routes={"a": 1}), id="routes-are-not-a-list"),
        pytest.param(
            encode_configuration(tenants=[TENANT | {"api_keys": "k"}]),
            id="keys-are-a-string",
        ),
        pytest.param(
            encode_configuration(tenants=[TENANT | {"burst": None}]), id="burst-is-null"
        ),
        pytest.param(b"[" * 100_000, id="deeply-nested"),
    ],
)
def test_invalid_configuration_is_refused(data: bytes) -> None:
    with pytest.raises(UnreadableError):
        read_configuration(data)


def test_unknown_fields_are_ignored() -> None:
    assert read_configuration(encode_configuration(future_field={"x": 1})).version == 7


def test_version_entry_is_parsed() -> None:
    data = json.dumps({"model": "m", "adapter": "a3", "version": 4}).encode()
    assert read_version("op/version/m.a3", data) == ("m/a3", 4)
