"""Configuration that the operator of the stand-in platform publishes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

# Higher than the use of any test.
_ALLOWANCE = {
    "unit": "tokens",
    "plain_tokens": 10,
    "requests_per_s": 100000,
    "burst": 100000,
}


def build_route(
    name: str, kind: str, service: str, *, timeout_ms: int, resumable: bool = False
) -> dict[str, Any]:
    """Return a route for all paths below `/name/`."""
    return {
        "name": name,
        "host": "kiosk.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 800,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "gap_aim_ms": 300,
        "resumable": resumable,
    }


def build_configuration(
    version: int,
    *,
    keys: Sequence[str],
    slots: int = 8,
    adapter_slots: int = 2,
    connections: int = 10,
    timeout_ms: int = 15000,
) -> dict[str, Any]:
    """Return a configuration of three routes, two services and one organisation.

    The routes lead to the plain service `kiosk` and to the engines of `llm`.
    """
    engine = {
        "slots": slots,
        "kv_cache_tokens": 100000,
        "models": [{"name": "m", "weights_mb": 100.0, "adapter_size_mb": 1.0}],
        "weights_mb": 150.0,
        "adapter_slots": adapter_slots,
        "loads_per_s": 4.0,
    }
    return {
        "version": version,
        "routes": [
            build_route("once", "non_idempotent", "kiosk", timeout_ms=timeout_ms),
            build_route("draft", "streaming", "llm", timeout_ms=timeout_ms),
            build_route(
                "urgent", "streaming", "llm", timeout_ms=timeout_ms, resumable=True
            ),
        ],
        "services": [
            {"name": "kiosk", "connection_limit": connections},
            {"name": "llm", "connection_limit": connections, "engine": engine},
        ],
        "tenants": [{"name": "trust", "api_keys": list(keys), **_ALLOWANCE}],
    }
