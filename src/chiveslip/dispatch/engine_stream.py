"""Passing an engine's stream on: each token once, in order, up to the end marker."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

from chiveslip.dispatch.connection import Exchange
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.dispatch.events import EventReader
from chiveslip.dispatch.events import InvalidStreamError
from chiveslip.dispatch.events import StreamEvent
from chiveslip.dispatch.events import used_tokens

Write = Callable[[bytes], Awaitable[None]]


@final
class StreamRelay:
    """The state of one stream, over all connections that carry it.

    Attributes
    ----------
    tokens
        Tokens passed on, or the engine's own count once it gave one.
    """

    def __init__(self, write: Write) -> None:
        self._write = write
        self._last_number = 0
        self._passed = 0
        self._usage: int | None = None
        self._done = False
        self._numbered = True

    @property
    def done(self) -> bool:
        """Whether the end marker was passed on."""
        return self._done

    @property
    def last_number(self) -> int:
        """Number of the last event passed on; 0 before the first."""
        return self._last_number

    @property
    def can_resume(self) -> bool:
        """Whether the engine numbers its events, so that none can be doubled."""
        return self._numbered

    @property
    def passed(self) -> int:
        """Events passed on."""
        return self._passed

    @property
    def usage(self) -> int | None:
        """All tokens of the call by the engine's own count, if it gave one."""
        return self._usage

    async def relay(self, exchange: Exchange, max_idle_s: float) -> None:
        """Pass on what comes over `exchange`, up to the end marker.

        Raises
        ------
        ExchangeInterruptedError
            If the stream ends, goes silent or breaks its form before that.
        """
        reader = EventReader()
        async for chunk in exchange.chunks(max_idle_s):
            try:
                events = reader.feed(chunk)
            except InvalidStreamError as error:
                raise ExchangeInterruptedError(str(error)) from error
            batch = [e.raw for e in events if self._is_next(e)]
            if batch:
                await self._write(b"".join(batch))
        if not self._done:
            raise ExchangeInterruptedError("the stream ended without its end marker")

    def _is_next(self, event: StreamEvent) -> bool:
        if self._done:
            return False
        if event.done:
            self._done = True
            return True
        if event.number is None:
            self._numbered = False
        elif event.number <= self._last_number:
            return False
        elif event.number != self._last_number + 1:
            raise ExchangeInterruptedError("an event of the stream is missing")
        else:
            self._last_number = event.number
        self._passed += 1
        counted = used_tokens(event.data)
        if counted is not None:
            self._usage = counted
        return True
