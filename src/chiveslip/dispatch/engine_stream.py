"""Relay of an engine's stream: each event once, in order, up to the end marker."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

from chiveslip.dispatch.connection import Exchange
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.dispatch.events import EventReader
from chiveslip.dispatch.events import InvalidStreamError
from chiveslip.dispatch.events import StreamEvent
from chiveslip.dispatch.events import parse_used_tokens
from chiveslip.dispatch.response_end import find_marked_stream_fault

Write = Callable[[bytes], Awaitable[None]]


@final
class StreamRelay:
    """State of one stream, across all connections that carry parts of it."""

    def __init__(self, write: Write) -> None:
        self._write = write
        self._last_number = 0
        self._relayed_events = 0
        self._usage: int | None = None
        self._done = False
        self._has_numbers = True

    @property
    def done(self) -> bool:
        """Whether the end marker was relayed."""
        return self._done

    @property
    def last_number(self) -> int:
        """Number of the last relayed event; 0 before the first."""
        return self._last_number

    @property
    def can_resume(self) -> bool:
        """Whether the engine numbers its events, so that duplicates can be detected."""
        return self._has_numbers

    @property
    def relayed_events(self) -> int:
        """Number of relayed events."""
        return self._relayed_events

    @property
    def usage(self) -> int | None:
        """Number of tokens of the call as reported by the engine, or None."""
        return self._usage

    async def relay(self, exchange: Exchange, max_idle_s: float) -> None:
        """Relay the events of `exchange`, up to the end marker.

        Raises
        ------
        ExchangeInterruptedError
            If the stream ends, becomes idle for `max_idle_s` seconds or is invalid
            before the end marker.
        """
        reader = EventReader()
        async for chunk in exchange.chunks(max_idle_s):
            try:
                events = reader.feed(chunk)
            except InvalidStreamError as error:
                raise ExchangeInterruptedError(str(error)) from error
            batch = [e.raw for e in events if self._accept_event(e)]
            if batch:
                await self._write(b"".join(batch))
            if self._done:
                return
        assert exchange.end is not None
        fault = find_marked_stream_fault(exchange.end, has_end_marker=self._done)
        if fault is not None:
            raise ExchangeInterruptedError(fault)

    def _accept_event(self, event: StreamEvent) -> bool:
        """Update the state for an event; return whether to relay the event."""
        if self._done:
            return False
        if event.done:
            self._done = True
            return True
        if event.number is None:
            self._has_numbers = False
        elif event.number <= self._last_number:
            return False
        elif event.number != self._last_number + 1:
            raise ExchangeInterruptedError("an event of the stream is missing")
        else:
            self._last_number = event.number
        self._relayed_events += 1
        total_tokens = parse_used_tokens(event.data)
        if total_tokens is not None:
            self._usage = total_tokens
        return True
