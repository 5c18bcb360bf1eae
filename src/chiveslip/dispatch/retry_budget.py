"""Retries allowed as a share of calls, so that retries cannot feed an overload."""

from __future__ import annotations

from typing import final

_MOST_SAVED = 20.0


@final
class RetryBudget:
    """Each call earns a share of a retry; each retry costs one.

    Every instance keeps its own share of its own calls, so the bound holds over
    the fleet without a message.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = _MOST_SAVED if share > 0 else 0.0

    def called(self) -> None:
        """Note a first try."""
        self._saved = min(self._saved + self._share, _MOST_SAVED)

    def may_retry(self) -> bool:
        """Take one retry, or say that none is left."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
