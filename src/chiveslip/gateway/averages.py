"""Averages of what happens lately."""

from __future__ import annotations

import attrs


@attrs.define
class AverageRate:
    """Units a second, averaged over the last time.

    Attributes
    ----------
    time_constant_s
        Time in seconds over which units are averaged.
    rate
        Units per second.
    updated_at
        Local time in seconds of the last addition.
    """

    time_constant_s: float
    rate: float = 0.0
    updated_at: float = float("-inf")

    def add(self, units: float, now: float) -> None:
        """Add units that came now."""
        elapsed_s = now - self.updated_at
        weight = max(1.0 - elapsed_s / self.time_constant_s, 0.0)
        self.rate = self.rate * weight + units / self.time_constant_s
        self.updated_at = now
