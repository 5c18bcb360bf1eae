"""What gateways tell each other, as types."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class EngineUseUpdate:
    """What one instance has under way at an engine."""

    engine: str
    requests: int
    pending_prefill_tokens: float
    adapters: frozenset[tuple[str, int]]


@attrs.frozen(kw_only=True)
class EngineStateUpdate:
    """What the orderer of an engine knows of it.

    Attributes
    ----------
    started
        The engine's own number of its start.
    """

    engine: str
    started: int
    models: frozenset[str]
    adapters: frozenset[tuple[str, int]]
    running: int
    waiting: int
    cache_used: int
    age_s: float
