"""Bounds of whole responses."""

from __future__ import annotations

import asyncio
import math
from typing import final

import attrs


@attrs.frozen(kw_only=True)
class ResponseLimits:
    """Bounds of one response, its head and body together.

    Attributes
    ----------
    max_s
        Time in seconds from sending the request to the end of the response.
    max_body_bytes
        Size of the body, and of late responses to other requests before it.
    """

    max_s: float
    max_body_bytes: int


@final
class ResponseTimer:
    """Measures the time that remains for a response."""

    def __init__(self, limits: ResponseLimits) -> None:
        self._expires_at = asyncio.get_running_loop().time() + max(limits.max_s, 0.0)

    def remaining_s(self, max_wait_s: float = math.inf) -> float:
        """Return for how long to wait in seconds, at most `max_wait_s`."""
        remaining_s = self._expires_at - asyncio.get_running_loop().time()
        return max(min(remaining_s, max_wait_s), 0.0)
