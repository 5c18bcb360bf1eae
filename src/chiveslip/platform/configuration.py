"""Parses the store entries that the operator writes.

These are routes, tenants, versions of adapters, and evacuations of data centres.
"""

from __future__ import annotations

from typing import Any

from chiveslip import hashing
from chiveslip.gateway.regions import AllowedRegions
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.gateway.routing import Organisation
from chiveslip.gateway.routing import RetryPolicy
from chiveslip.gateway.routing import Route
from chiveslip.gateway.routing import RoutingTable
from chiveslip.gateway.routing import Service
from chiveslip.gateway.routing import group_by_host
from chiveslip.platform import fields
from chiveslip.platform.fields import UnreadableError

CONFIGURATION_KEY = "op/config"
VERSIONS_PREFIX = "op/version/"
EVACUATIONS_PREFIX = "op/evacuate/"

_STREAMING = "streaming"
_IDEMPOTENT = "idempotent"
_NON_IDEMPOTENT = "non_idempotent"
_DEFAULT_TIMEOUT_MS = 30_000.0
# A caller disconnects from a stream that sends no event for the longest of these times:
# two seconds, four times the latency objective, and eight times the longest pause of
# a stream that meets its objective.
_MIN_EVENT_WAIT_S = 2.0
_EVENT_WAIT_PER_TARGET = 4.0
_EVENT_WAIT_PER_PAUSE = 8.0


def read_configuration(value: bytes) -> RoutingTable:
    """Return the routing table of a configuration.

    Raises
    ------
    UnreadableError
        If any part of the configuration is not valid.
    """
    document = fields.parse_object(value)
    # Tenants are organisations. Routes need no key if there are no tenants.
    tenants = fields.read_objects(document, "tenants")
    keys: dict[str, Organisation] = {}
    for tenant in tenants:
        organisation = _read_organisation(tenant)
        for key in fields.read_strings(tenant, "api_keys"):
            keys[hashing.key_hash(key)] = organisation
    services = [
        _read_service(service) for service in fields.read_objects(document, "services")
    ]
    routes = [_read_route(route) for route in fields.read_objects(document, "routes")]
    return RoutingTable(
        version=fields.read_count(document, "version"),
        routes=group_by_host(routes),
        services={service.name: service for service in services},
        keys=keys,
        requires_keys=bool(tenants),
    )


def read_version(key: str, value: bytes) -> tuple[str, int]:
    """Return an adapter as MODEL/NAME, or a model, and its newest version.

    Raises
    ------
    UnreadableError
        If the entry is not valid.
    """
    document = fields.parse_object(value)
    adapter = document.get("adapter")
    model = fields.read_string(document, "model")
    name = f"{model}/{adapter}" if isinstance(adapter, str) and adapter else model
    return name, fields.read_count(document, "version")


def read_evacuation(key: str) -> str:
    """Return the data centre that the key of an evacuation names.

    Raises
    ------
    UnreadableError
        If it names none.
    """
    data_centre = key.removeprefix(EVACUATIONS_PREFIX)
    if not fields.is_text(data_centre):
        raise UnreadableError("key: expected the name of a data centre")
    return data_centre


def _read_route(route: dict[str, Any]) -> Route:
    kind = fields.read_string(route, "kind")
    is_stream = kind == _STREAMING
    timeout_s = fields.read_number(route, "timeout_ms", _DEFAULT_TIMEOUT_MS) / 1000
    target_s = fields.read_number(route, "target_latency_ms", 1000.0) / 1000
    pause_s = fields.read_number(route, "gap_aim_ms", 0.0) / 1000
    return Route(
        name=fields.read_string(route, "name"),
        host=fields.read_string(route, "host").lower(),
        prefix=fields.read_string(route, "prefix"),
        is_stream=is_stream,
        retry_policy=_read_retry_policy(kind, bool(route.get("resumable"))),
        timeout_s=timeout_s,
        # Latency objective; for a stream, of its first event.
        target_latency_s=target_s,
        max_first_event_wait_s=_max_event_wait_s(target_s, pause_s)
        if is_stream
        else timeout_s,
        priority=fields.read_count(route, "priority", 5),
        services=_read_traffic_split(route),
        # Replicas that one request may be sent to, including the first one.
        max_runs=max(fields.read_count(route, "max_attempts", 1), 1),
        is_public=bool(route.get("public")),
        has_sessions=bool(route.get("sticky_sessions")),
        allowed_regions=_read_allowed_regions(route),
    )


def _read_allowed_regions(document: dict[str, Any]) -> AllowedRegions:
    """Return the allowed regions, or None for all if there is no or an empty list.

    With a list that cannot be read the configuration is refused.
    """
    if document.get("allowed_regions") is None:
        return None
    return frozenset(fields.read_strings(document, "allowed_regions")) or None


def _max_event_wait_s(target_s: float, pause_s: float) -> float:
    """Return the maximum wait in seconds for the first or next event of a stream."""
    return max(
        _MIN_EVENT_WAIT_S,
        _EVENT_WAIT_PER_TARGET * target_s,
        _EVENT_WAIT_PER_PAUSE * pause_s,
    )


def _read_retry_policy(kind: str, is_resumable: bool) -> RetryPolicy:
    if kind == _IDEMPOTENT:
        return RetryPolicy.IDEMPOTENT
    if kind == _STREAMING and is_resumable:
        return RetryPolicy.RESUMABLE
    # Requests of an unknown kind are not repeated.
    return RetryPolicy.AT_MOST_ONCE


def _read_traffic_split(route: dict[str, Any]) -> tuple[tuple[str, float], ...]:
    parts = fields.read_objects(route, "traffic_split")
    if not parts:
        return ((fields.read_string(route, "service"), 1.0),)
    weighted = [
        (fields.read_string(part, "service"), fields.read_number(part, "weight", 1.0))
        for part in parts
    ]
    return tuple((name, weight) for name, weight in weighted if weight > 0)


def _read_service(service: dict[str, Any]) -> Service:
    engine = service.get("engine")
    capacity = _read_engine_capacity(engine) if isinstance(engine, dict) else None
    return Service(
        name=fields.read_string(service, "name"),
        max_connections=fields.read_count(service, "connection_limit", 100),
        engine=capacity,
        cold_per_s=max(fields.read_number(service, "cold_per_s", 0.0), 0.0),
        cold_start_s=max(fields.read_number(service, "cold_start_s", 0.0), 0.0),
    )


def _read_engine_capacity(engine: dict[str, Any]) -> EngineCapacity:
    models = fields.read_objects(engine, "models")
    weights_mb = sum(fields.read_number(model, "weights_mb", 0.0) for model in models)
    adapter_sizes_mb = [
        fields.read_number(model, "adapter_size_mb", 0.0) for model in models
    ]
    adapter_slots = fields.read_count(engine, "adapter_slots", 0)
    largest_adapter_mb = max(adapter_sizes_mb, default=0.0)
    adapter_memory_mb = fields.read_number(engine, "weights_mb", 0.0) - weights_mb
    if largest_adapter_mb > 0 and adapter_memory_mb > 0:
        adapter_slots = min(adapter_slots, int(adapter_memory_mb / largest_adapter_mb))
    return EngineCapacity(
        slots=fields.read_count(engine, "slots", 1),
        cache_tokens=fields.read_count(engine, "kv_cache_tokens", 0),
        adapter_slots=adapter_slots,
        models={
            fields.read_string(model, "name"): fields.read_number(
                model, "weights_mb", 0.0
            )
            for model in models
        },
        memory_mb=fields.read_number(engine, "weights_mb", 0.0),
        # Loads of weights from the store per second by all replicas together.
        model_loads_per_s=fields.read_number(engine, "loads_per_s", 1.0),
    )


def _read_organisation(tenant: dict[str, Any]) -> Organisation:
    priority = tenant.get("priority")
    return Organisation(
        name=fields.read_string(tenant, "name"),
        priority=None if priority is None else fields.read_count(tenant, "priority"),
        # Counted in `unit`, which may be tokens in spite of the name of the field.
        rate=fields.read_number(tenant, "requests_per_s", 0.0),
        burst=fields.read_number(tenant, "burst", 0.0),
        counts_tokens=tenant.get("unit") == "tokens",
        default_units=fields.read_number(tenant, "plain_tokens", 0.0),
        allowed_regions=_read_allowed_regions(tenant),
    )


__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATIONS_PREFIX",
    "VERSIONS_PREFIX",
    "UnreadableError",
    "read_configuration",
    "read_evacuation",
    "read_version",
]
