"""Metrics sent to a StatsD server by UDP.

Their names and units are listed in docs/operators/METRICS.md.
"""

from __future__ import annotations

import statsd

from chiveslip.settings.fields import Address


class Metrics:
    """Sends the metrics of one instance."""

    def __init__(self, address: Address, prefix: str) -> None:
        self._client = statsd.StatsClient(address.host, address.port, prefix=prefix)

    def record_answer(self, code: int, seconds: float) -> None:
        """Count an answer by its result code, and record its duration in seconds."""
        with self._client.pipeline() as batch:
            batch.incr(f"answers.{code}")
            batch.timing("answer_ms", seconds * 1000)

    def increment(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter."""
        self._client.incr(name, amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def record_duration(self, name: str, seconds: float) -> None:
        """Record a duration given in seconds; it is sent in milliseconds."""
        self._client.timing(name, seconds * 1000)
