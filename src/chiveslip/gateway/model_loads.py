"""Selects base models to load, and limits loads to the rate of the weight store.

Engines start empty, and after a crash of all of them they start at the same time.
"""

from __future__ import annotations

from typing import final

from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.routing import EngineCapacity

# Window in which the store bounds the loads of base models, and the fraction of its
# rate that is used in addition to the burst of one window.
_WINDOW_S = 5.0
_RATE_FRACTION = 0.7


def select_missing_model(
    present: frozenset[str], capacity: EngineCapacity, view: EngineView
) -> str | None:
    """Return the missing model that the fewest engines hold and that fits, or None.

    Parameters
    ----------
    present
        Base models that the engine holds already.
    """
    used_mb = sum(capacity.models.get(model, 0.0) for model in present)
    free_mb = capacity.memory_mb - used_mb
    missing = [
        (view.count_model_holders(model), model)
        for model, size_mb in capacity.models.items()
        if model not in present and size_mb <= free_mb
    ]
    return min(missing)[1] if missing else None


@final
class ModelLoadLimiter:
    """Token bucket with this instance's share of the allowed base model loads."""

    def __init__(self) -> None:
        self._level = 0.0
        self._updated_at: float | None = None

    def try_acquire(self, capacity: EngineCapacity, instances: int, now: float) -> bool:
        """Take one load from the bucket; return False if it is empty."""
        burst = max(int(capacity.model_loads_per_s * _WINDOW_S / instances), 1)
        rate = capacity.model_loads_per_s * _RATE_FRACTION / instances
        if self._updated_at is None:
            self._level = float(burst)
        else:
            self._level = min(self._level + (now - self._updated_at) * rate, burst)
        self._updated_at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True
