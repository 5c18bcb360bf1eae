"""Admission of calls: whether this instance accepts them, and how many are running."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

from chiveslip.configuration.model import Configuration
from chiveslip.dispatch.outcome import call_refused
from chiveslip.generated import result_codes


@final
class Admission:
    """Admission state of one instance.

    Attributes
    ----------
    is_stopping
        Whether a planned stop has begun; calls are still admitted.
    is_refusing
        Whether new calls are refused because of the stop.
    """

    def __init__(self, configuration: Callable[[], Configuration | None]) -> None:
        self._configuration = configuration
        self._has_joined = False
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.is_stopping = False
        self.is_refusing = False

    @property
    def running(self) -> int:
        """Number of requests that have arrived and are not yet answered."""
        return self._running

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send calls to this instance."""
        return (
            self._has_joined
            and not self.is_stopping
            and self._configuration() is not None
        )

    def mark_joined(self) -> None:
        """Record that the instance has caught up with the fleet's state."""
        self._has_joined = True

    def admit(self) -> Configuration:
        """Admit a call; return the active configuration.

        Raises
        ------
        CallRefusedError
            If the instance does not accept calls now.
        """
        if self.is_refusing:
            raise call_refused(result_codes.STOPPING, "This instance is stopping.")
        configuration = self._configuration()
        if not self._has_joined or configuration is None:
            raise call_refused(
                result_codes.NOT_READY, "This instance is not ready yet."
            )
        return configuration

    def begin_request(self) -> None:
        """Count an arrived request."""
        self._running += 1
        self._idle.clear()

    def end_request(self) -> None:
        """Remove an answered request from the count."""
        self._running -= 1
        if self._running == 0:
            self._idle.set()

    async def wait_until_drained(self, timeout_s: float) -> bool:
        """Wait until no request is running; return False on timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
