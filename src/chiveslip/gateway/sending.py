"""One try: a request to one endpoint, and its answer passed on.

Says for each failure whether the request may have run there. An answer reaches the
caller only if the endpoint vouches for it and its body came whole; a stream is
passed on event by event and broken off where its endpoint broke off.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import final

import attrs
from tornado.httputil import HTTPHeaders

from chiveslip.clock import Clock
from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import Exchange
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.dispatch.connection import ResponseHead
from chiveslip.dispatch.connection import ResponseTimeoutError
from chiveslip.engines.protocol import OutgoingRequest
from chiveslip.gateway.call import Call
from chiveslip.gateway.dialect import GatewayDialect
from chiveslip.gateway.dialect import Passing
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.event_stream import EventSplitter
from chiveslip.gateway.routing import Repeat

_MOST_BODY_BYTES = 8 << 20
# An endpoint gives up by itself at the deadline it was told; its answer to that
# needs this long to arrive.
DEADLINE_GRACE_S = 0.12


class TryResult(enum.Enum):
    """What became of a try."""

    ANSWERED = "answered"
    """The answer went to the caller, whole."""
    NOT_SENT = "not sent"
    """No connection came about."""
    NOT_RUN = "not run"
    """The endpoint says that it did not run the request."""
    LACKS_ADAPTER = "lacks adapter"
    """The same, because it lacks the adapter or is another endpoint."""
    FAILED = "failed"
    """The endpoint's own failure, held back so that the request can be repeated."""
    UNKNOWN = "unknown"
    """It may have run; nothing went to the caller."""
    BROKE_OFF = "broke off"
    """The answer broke off after a part went to the caller."""
    LATE = "late"
    """The deadline passed after the request was sent."""


@attrs.frozen(kw_only=True)
class Tried:
    """The result of a try, with the endpoint's own failure if it was held back."""

    result: TryResult
    head: ResponseHead | None = None
    body: bytes = b""
    detail: str = ""


@attrs.define(kw_only=True)
class StreamState:
    """What of a stream went to the caller so far, over all its tries."""

    splitter: EventSplitter
    has_head: bool = False


@final
class Sender:
    """Sends requests to endpoints."""

    def __init__(
        self, connector: Connector, dialect: GatewayDialect, clock: Clock
    ) -> None:
        self._connector = connector
        self._dialect = dialect
        self._clock = clock

    async def is_reachable(self, endpoint: ListedEndpoint) -> bool:
        """Return whether a new connection to an endpoint comes about."""
        try:
            exchange = await self._connector.open(endpoint.address, fresh=True)
        except ConnectError:
            return False
        exchange.close()
        return True

    async def send(
        self,
        call: Call,
        passing: Passing,
        stream: StreamState,
        *,
        holds_back_failure: bool,
        on_first_event: Callable[[], None],
    ) -> Tried:
        """Send a request to one endpoint and pass its answer on.

        Parameters
        ----------
        holds_back_failure
            Whether a failure of the endpoint's own is returned, to be repeated,
            rather than passed on.
        on_first_event
            Called when the first part of the answer came.
        """
        try:
            exchange = await self._connector.open(passing.endpoint.address, fresh=False)
        except ConnectError as error:
            return Tried(result=TryResult.NOT_SENT, detail=str(error))
        try:
            return await self._exchange(
                exchange, call, passing, stream, holds_back_failure, on_first_event
            )
        finally:
            exchange.close()

    async def _exchange(
        self,
        exchange: Exchange,
        call: Call,
        passing: Passing,
        stream: StreamState,
        holds_back_failure: bool,
        on_first_event: Callable[[], None],
    ) -> Tried:
        outgoing = OutgoingRequest(
            method=call.request.method,
            path=call.request.target,
            headers=self._dialect.pass_on(call.request.headers, passing),
            body=call.request.body,
            request_id=call.facts.request_id,
        )
        call.was_sent = True
        try:
            await exchange.send(outgoing)
            head = await exchange.head(self._left_s(call))
        except ResponseTimeoutError as error:
            return self._silent(call, error)
        except ExchangeInterruptedError as error:
            return Tried(result=TryResult.UNKNOWN, detail=str(error))
        facts = self._dialect.read_answer(head.status, head.headers)
        if facts.surely_not_run:
            call.was_sent = False
            # The body is read so that the connection can be kept.
            await self._body(exchange, call)
            lacks = facts.lacks_adapter
            result = TryResult.LACKS_ADAPTER if lacks else TryResult.NOT_RUN
            return Tried(result=result, head=head, detail=str(head.status))
        if not facts.is_genuine:
            return Tried(result=TryResult.UNKNOWN, detail=f"odd {head.status}")
        if call.route.is_stream and head.status < 300:
            return await self._relay(exchange, head, call, stream, on_first_event)
        return await self._pass_whole(exchange, head, call, stream, holds_back_failure)

    async def _pass_whole(
        self,
        exchange: Exchange,
        head: ResponseHead,
        call: Call,
        stream: StreamState,
        holds_back_failure: bool,
    ) -> Tried:
        body = await self._body(exchange, call)
        if body is None:
            return Tried(result=TryResult.UNKNOWN, detail="the answer broke off")
        if stream.has_head:
            return Tried(result=TryResult.BROKE_OFF, detail=f"resumed: {head.status}")
        if holds_back_failure and head.status >= 500:
            return Tried(result=TryResult.FAILED, head=head, body=body)
        await self.pass_answer(call, head, body)
        return Tried(result=TryResult.ANSWERED, head=head)

    async def pass_answer(self, call: Call, head: ResponseHead, body: bytes) -> None:
        """Pass a whole answer of an endpoint on to the caller."""
        headers = self._dialect.answer_headers(head.headers)
        await call.reply.respond(head.status, headers, body)

    async def _relay(
        self,
        exchange: Exchange,
        head: ResponseHead,
        call: Call,
        stream: StreamState,
        on_first_event: Callable[[], None],
    ) -> Tried:
        whole_events = call.route.repeat is Repeat.RESUMABLE
        has_events = False
        try:
            async for chunk in exchange.chunks(self._left_s(call)):
                if not has_events:
                    has_events = True
                    on_first_event()
                part = stream.splitter.feed(chunk) if whole_events else chunk
                if part:
                    self._start(call, head, stream)
                    await call.reply.write(part)
        except ResponseTimeoutError as error:
            return self._broken(stream, error, TryResult.LATE)
        except ExchangeInterruptedError as error:
            return self._broken(stream, error, TryResult.UNKNOWN)
        self._start(call, head, stream)
        rest = stream.splitter.flush() if whole_events else b""
        if rest:
            await call.reply.write(rest)
        call.reply.end()
        return Tried(result=TryResult.ANSWERED, head=head)

    def _start(self, call: Call, head: ResponseHead, stream: StreamState) -> None:
        if stream.has_head:
            return
        stream.has_head = True
        headers: HTTPHeaders = self._dialect.answer_headers(head.headers)
        call.reply.start(head.status, headers)

    def _broken(
        self, stream: StreamState, error: Exception, otherwise: TryResult
    ) -> Tried:
        result = TryResult.BROKE_OFF if stream.has_head else otherwise
        return Tried(result=result, detail=str(error))

    def _silent(self, call: Call, error: ResponseTimeoutError) -> Tried:
        is_late = self._clock.now() >= call.deadline
        result = TryResult.LATE if is_late else TryResult.UNKNOWN
        return Tried(result=result, detail=str(error))

    async def _body(self, exchange: Exchange, call: Call) -> bytes | None:
        try:
            return await exchange.body(_MOST_BODY_BYTES, self._left_s(call))
        except ExchangeInterruptedError:
            return None

    def _left_s(self, call: Call) -> float:
        return max(call.deadline + DEADLINE_GRACE_S - self._clock.now(), 0.0)
