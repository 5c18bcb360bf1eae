"""Metrics, sent by UDP; their names and units are in docs/operators/METRICS.md."""

from __future__ import annotations

import statsd

from chiveslip.settings.fields import Address


class Metrics:
    """The metrics of one instance."""

    def __init__(self, address: Address, prefix: str) -> None:
        self._client = statsd.StatsClient(address.host, address.port, prefix=prefix)

    def answered(self, code: int, seconds: float) -> None:
        """Count one answer by its result code, and the time it took in seconds."""
        with self._client.pipeline() as batch:
            batch.incr(f"answers.{code}")
            batch.timing("answer_ms", seconds * 1000)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Add a time, which is sent in milliseconds."""
        self._client.timing(name, seconds * 1000)
