"""The operator's entries of the store."""

from __future__ import annotations

from typing import Any

from chiveslip import hashing
from chiveslip.gateway.routing import EngineLimits
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

_STREAMING = "streaming"
_IDEMPOTENT = "idempotent"
_ONCE = "non_idempotent"
_DEFAULT_TIMEOUT_MS = 30_000.0
# Callers leave a stream after the longest of these without an event: two seconds,
# four latency objectives, eight of the longest pauses of a good stream.
_LEAST_PATIENCE_S = 2.0
_TARGETS_OF_PATIENCE = 4.0
_PAUSES_OF_PATIENCE = 8.0


def read_configuration(value: bytes) -> RoutingTable:
    """Return the routing table of a configuration.

    Raises
    ------
    UnreadableError
        If it cannot be read.
    """
    found = fields.parse_object(value)
    # Tenants are organisations; without any, routes need no key.
    tenants = fields.objects(found, "tenants")
    keys: dict[str, Organisation] = {}
    for tenant in tenants:
        organisation = _organisation(tenant)
        for key in fields.texts(tenant, "api_keys"):
            keys[hashing.key_hash(key)] = organisation
    services = [_service(service) for service in fields.objects(found, "services")]
    routes = [_route(route) for route in fields.objects(found, "routes")]
    return RoutingTable(
        version=int(fields.number(found, "version")),
        routes=group_by_host(routes),
        services={service.name: service for service in services},
        keys=keys,
        requires_keys=bool(tenants),
    )


def read_version(key: str, value: bytes) -> tuple[str, int]:
    """Return an adapter, as MODEL/NAME, and its newest version.

    Raises
    ------
    UnreadableError
        If the entry cannot be read.
    """
    found = fields.parse_object(value)
    adapter = found.get("adapter")
    model = fields.text(found, "model")
    name = f"{model}/{adapter}" if isinstance(adapter, str) and adapter else model
    return name, int(fields.number(found, "version"))


def _route(route: dict[str, Any]) -> Route:
    kind = fields.text(route, "kind")
    is_stream = kind == _STREAMING
    timeout_s = fields.number(route, "timeout_ms", _DEFAULT_TIMEOUT_MS) / 1000
    target_s = fields.number(route, "target_latency_ms", 1000.0) / 1000
    pause_s = fields.number(route, "gap_aim_ms", 0.0) / 1000
    return Route(
        name=fields.text(route, "name"),
        host=fields.text(route, "host").lower(),
        prefix=fields.text(route, "prefix"),
        is_stream=is_stream,
        retry_policy=_repeat(kind, bool(route.get("resumable"))),
        timeout_s=timeout_s,
        # The latency objective, of a stream to its first event.
        target_latency_s=target_s,
        max_first_event_wait_s=_patience_s(target_s, pause_s)
        if is_stream
        else timeout_s,
        priority=int(fields.number(route, "priority", 5)),
        services=_split(route),
        # Replicas that one request may be sent to, the first one included.
        max_runs=max(int(fields.number(route, "max_attempts", 1)), 1),
        is_public=bool(route.get("public")),
    )


def _patience_s(target_s: float, pause_s: float) -> float:
    """Return how long callers wait for the first or the next event of a stream."""
    return max(
        _LEAST_PATIENCE_S,
        _TARGETS_OF_PATIENCE * target_s,
        _PAUSES_OF_PATIENCE * pause_s,
    )


def _repeat(kind: str, is_resumable: bool) -> RetryPolicy:
    if kind == _IDEMPOTENT:
        return RetryPolicy.IDEMPOTENT
    if kind == _STREAMING and is_resumable:
        return RetryPolicy.RESUMABLE
    # Kinds that are not known are not repeated.
    return RetryPolicy.AT_MOST_ONCE


def _split(route: dict[str, Any]) -> tuple[tuple[str, float], ...]:
    parts = fields.objects(route, "traffic_split")
    if not parts:
        return ((fields.text(route, "service"), 1.0),)
    weighted = [
        (fields.text(part, "service"), fields.number(part, "weight", 1.0))
        for part in parts
    ]
    return tuple((name, weight) for name, weight in weighted if weight > 0)


def _service(service: dict[str, Any]) -> Service:
    engine = service.get("engine")
    limits = _engine(engine) if isinstance(engine, dict) else None
    return Service(
        name=fields.text(service, "name"),
        max_connections=int(fields.number(service, "connection_limit", 100)),
        engine=limits,
    )


def _engine(engine: dict[str, Any]) -> EngineLimits:
    models = fields.objects(engine, "models")
    weights = sum(fields.number(model, "weights_mb", 0.0) for model in models)
    sizes = [fields.number(model, "adapter_size_mb", 0.0) for model in models]
    places = int(fields.number(engine, "adapter_slots", 0))
    largest = max(sizes, default=0.0)
    room = fields.number(engine, "weights_mb", 0.0) - weights
    if largest > 0 and room > 0:
        places = min(places, int(room / largest))
    return EngineLimits(
        slots=int(fields.number(engine, "slots", 1)),
        cache_tokens=int(fields.number(engine, "kv_cache_tokens", 0)),
        adapter_slots=places,
        models={
            fields.text(model, "name"): fields.number(model, "weights_mb", 0.0)
            for model in models
        },
        memory_mb=fields.number(engine, "weights_mb", 0.0),
        # Loads of weights from the store a second, over all replicas.
        model_loads_per_s=fields.number(engine, "loads_per_s", 1.0),
    )


def _organisation(tenant: dict[str, Any]) -> Organisation:
    priority = tenant.get("priority")
    return Organisation(
        name=fields.text(tenant, "name"),
        priority=priority if isinstance(priority, int) else None,
        # Counted in `unit`, which may be tokens, despite the name.
        rate=fields.number(tenant, "requests_per_s", 0.0),
        burst=fields.number(tenant, "burst", 0.0),
        counts_tokens=tenant.get("unit") == "tokens",
        default_units=fields.number(tenant, "plain_tokens", 0.0),
    )


__all__ = [
    "CONFIGURATION_KEY",
    "VERSIONS_PREFIX",
    "UnreadableError",
    "read_configuration",
    "read_version",
]
