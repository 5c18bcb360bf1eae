"""Whether this instance takes calls now, and how many it has."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

from chiveslip.configuration.model import Configuration
from chiveslip.dispatch.outcome import call_refused
from chiveslip.generated import result_codes


@final
class Admission:
    """The gate of one instance."""

    def __init__(self, configuration: Callable[[], Configuration | None]) -> None:
        self._configuration = configuration
        self._joined = False
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.is_stopping = False
        self.is_refusing = False

    @property
    def running(self) -> int:
        """Requests that have arrived and are not answered."""
        return self._running

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send calls here."""
        return (
            self._joined and not self.is_stopping and self._configuration() is not None
        )

    def mark_joined(self) -> None:
        """Note that the instance knows what the fleet knows."""
        self._joined = True

    def admit(self) -> Configuration:
        """Return the configuration in force for a call that may come in.

        Raises
        ------
        CallRefusedError
            If the instance takes no calls now.
        """
        if self.is_refusing:
            raise call_refused(result_codes.STOPPING, "This instance is stopping.")
        configuration = self._configuration()
        if not self._joined or configuration is None:
            raise call_refused(
                result_codes.NOT_READY, "This instance is not ready yet."
            )
        return configuration

    def begin_request(self) -> None:
        """Count a request in."""
        self._running += 1
        self._idle.clear()

    def end_request(self) -> None:
        """Count a request out."""
        self._running -= 1
        if self._running == 0:
            self._idle.set()

    async def wait_until_drained(self, timeout_s: float) -> bool:
        """Wait until no request runs; return whether that came about."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
