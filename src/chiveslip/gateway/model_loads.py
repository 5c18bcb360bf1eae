"""Loads of base models within the rate that their store allows.

Answers the load of engines that start empty, all of them at once after a crash.
"""

from __future__ import annotations

from typing import final

from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.routing import EngineLimits

# Window of the store's bound on loads of models, and the part of its rate that is
# used beside one window's burst.
_WINDOW_S = 5.0
_RATE_PART = 0.7


def missing_model(
    present: frozenset[str], limits: EngineLimits, view: EngineView
) -> str | None:
    """Return the model that an engine has room for and the fewest others hold."""
    taken = sum(limits.models.get(model, 0.0) for model in present)
    room = limits.memory_mb - taken
    missing = [
        (view.model_holders(model), model)
        for model, size in limits.models.items()
        if model not in present and size <= room
    ]
    return min(missing)[1] if missing else None


@final
class ModelLoads:
    """The loads that this instance may have begun, its part of what is allowed."""

    def __init__(self) -> None:
        self._left = 0.0
        self._at: float | None = None

    def take(self, limits: EngineLimits, instances: int, now: float) -> bool:
        """Take one load, if this instance's part allows it now."""
        burst = max(int(limits.model_loads_per_s * _WINDOW_S / instances), 1)
        rate = limits.model_loads_per_s * _RATE_PART / instances
        if self._at is None:
            self._left = float(burst)
        else:
            self._left = min(self._left + (now - self._at) * rate, burst)
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True
