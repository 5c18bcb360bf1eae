"""Updates about engines that gateways send to each other by gossip."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class EngineUseUpdate:
    """Requests of one instance that are in progress at an engine.

    Attributes
    ----------
    pending_prefill_tokens
        Prompt tokens whose prefill has not finished.
    """

    engine: str
    requests: int
    pending_prefill_tokens: float
    adapters: frozenset[tuple[str, int]]


@attrs.frozen(kw_only=True)
class EngineStateUpdate:
    """State of an engine as its coordinator reports it.

    Attributes
    ----------
    started
        Number of the engine's current start; the engine assigns it.
    age_s
        Time in seconds since the load was read from the engine.
    told_s
        Time in seconds since the coordinator told the models and adapters, which it
        knows from its orders, too.
    free_adapter_slots
        Adapter slots that were free then or could be freed at once; None if the
        coordinator does not tell.
    """

    engine: str
    started: int
    models: frozenset[str]
    adapters: frozenset[tuple[str, int]]
    running: int
    waiting: int
    cache_used: int
    age_s: float
    told_s: float = 0.0
    free_adapter_slots: int | None = None
