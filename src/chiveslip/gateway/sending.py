"""Makes one attempt: sends a request to one endpoint and forwards its answer.

The result of a failed attempt says whether the request may have run at the endpoint.
An answer reaches the caller only if it is the endpoint's own and its body is
complete. A stream is forwarded event by event; if the endpoint's stream is truncated,
the caller's is truncated too.
"""

from __future__ import annotations

import asyncio
import enum
import http
from collections.abc import Callable
from collections.abc import Sequence
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
from chiveslip.dispatch.outgoing import OutgoingRequest
from chiveslip.dispatch.response_end import EventPosition
from chiveslip.dispatch.response_end import ResponseEnd
from chiveslip.dispatch.response_end import find_body_fault
from chiveslip.dispatch.response_end import find_stream_fault
from chiveslip.dispatch.response_limits import ResponseLimits
from chiveslip.gateway.call import Call
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.event_stream import EventSplitter
from chiveslip.gateway.limit_requests import LimitRequests
from chiveslip.gateway.paths import EndpointPaths
from chiveslip.gateway.protocol import ForwardingContext
from chiveslip.gateway.protocol import GatewayProtocol
from chiveslip.gateway.regions import AllowedRegions
from chiveslip.gateway.rooms import EndpointRooms
from chiveslip.gateway.routing import RetryPolicy
from chiveslip.gateway.statement_recorder import StatementRecorder

_MAX_BODY_BYTES = 8 << 20
_MAX_STREAM_BYTES = 64 << 20
# A failure is kept whole, as another attempt may follow. It holds an explanation; one
# that is longer is no answer.
_MAX_FAILURE_BYTES = 1 << 20
# The body of a refusal is read only to keep its connection.
_MAX_REFUSAL_BODY_S = 0.05
# Time after the end of an endpoint's answer for the caller to take the last bytes.
_WRITE_GRACE_S = 0.1
# An endpoint that gives up at the deadline it was sent still answers; its answer may
# take this long to arrive.
_DEADLINE_GRACE_S = 0.12
# Events that end otherwise count as one for each chunk.
_EVENT_END = b"\n\n"
_EVENT_STREAM = "text/event-stream"
_MIN_FAILURE_STATUS = 500


class AttemptResult(enum.Enum):
    """Result of an attempt."""

    ANSWERED = "answered"
    """The complete answer was forwarded to the caller."""
    NOT_SENT = "not sent"
    """No connection could be opened."""
    ENDPOINT_LEFT = "endpoint left"
    """The endpoint no longer took new work when the request was about to be sent."""
    OVER_LIMIT = "over limit"
    """Not sent: the endpoint gets as many requests as it has named as its limit."""
    WITHHELD = "withheld"
    """Not sent: endpoints crashed on requests like it meanwhile."""
    NOT_RUN = "not run"
    """The endpoint says that it did not run the request."""
    LACKS_ADAPTER = "lacks adapter"
    """Not run, because the endpoint lacks the adapter or is not the expected one."""
    FAILED = "failed"
    """The endpoint answered with a failure, which was withheld for a retry."""
    UNKNOWN = "unknown"
    """The request may have run; nothing was sent to the caller."""
    TRUNCATED = "broke off"
    """The answer was truncated after a part of it was sent to the caller."""
    DEADLINE_PASSED = "late"
    """The deadline passed after the request was sent."""


@attrs.frozen(kw_only=True)
class Attempt:
    """A finished attempt.

    Attributes
    ----------
    head, body
        The endpoint's failure, if it was withheld for a retry.
    detail
        Cause of a failure.
    end
        How the endpoint's answer ended, or None if none was awaited.
    position
        Where a stream of events ended, or None if the answer was none.
    """

    result: AttemptResult
    head: ResponseHead | None = None
    body: bytes = b""
    detail: str = ""
    end: ResponseEnd | None = None
    position: EventPosition | None = None

    @property
    def was_begun(self) -> bool:
        """Whether the endpoint certainly began to answer."""
        return self.result in (
            AttemptResult.ANSWERED,
            AttemptResult.FAILED,
            AttemptResult.TRUNCATED,
        )

    @property
    def is_failure(self) -> bool:
        """Whether the endpoint could not be reached or did not serve the request."""
        if self.result is AttemptResult.ANSWERED:
            return self.head is not None and self.head.status >= _MIN_FAILURE_STATUS
        return self.result not in (
            AttemptResult.NOT_RUN,
            AttemptResult.LACKS_ADAPTER,
            AttemptResult.ENDPOINT_LEFT,
            AttemptResult.OVER_LIMIT,
            AttemptResult.WITHHELD,
        )


@attrs.define(kw_only=True)
class StreamState:
    """How much of a stream the caller has been sent, over all attempts.

    Attributes
    ----------
    splitter
        Buffers the events of a resumable stream.
    has_head
        Whether the caller has been sent the head of the answer.
    """

    splitter: EventSplitter
    has_head: bool = False


@final
class Sender:
    """Sends requests to endpoints.

    Parameters
    ----------
    accepts_work
        Returns whether an endpoint that was chosen earlier still takes new work, of a
        request that may be sent to some regions, or to all if they are None.
    statements
        Where answers are recorded that tell something of their endpoint.
    paths
        Where requests are recorded that wait for the head of their answer.
    rooms
        Where the requests at each endpoint are counted.
    limits
        Decides on requests to endpoints that have named a limit.
    """

    def __init__(
        self,
        connector: Connector,
        protocol: GatewayProtocol,
        clock: Clock,
        accepts_work: Callable[[ListedEndpoint, AllowedRegions], bool],
        statements: StatementRecorder,
        paths: EndpointPaths,
        rooms: EndpointRooms,
        limits: LimitRequests,
    ) -> None:
        self._connector = connector
        self._protocol = protocol
        self._clock = clock
        self._accepts_work = accepts_work
        self._statements = statements
        self._paths = paths
        self._rooms = rooms
        self._limits = limits

    async def is_reachable(self, endpoint: ListedEndpoint) -> bool:
        """Return whether a new connection to an endpoint can be opened."""
        try:
            exchange = await self._connector.open(endpoint.address, fresh=True)
        except ConnectError:
            return False
        exchange.close()
        return True

    async def send(
        self,
        call: Call,
        context: ForwardingContext,
        stream: StreamState,
        *,
        withholds_failure: bool,
        may_send: Callable[[], bool],
        on_first_event: Callable[[], None],
        on_progress: Callable[[], None],
    ) -> Attempt:
        """Send a request to one endpoint and forward its answer.

        Parameters
        ----------
        withholds_failure
            Whether a failure that the endpoint answers (a status of 500 or more) is
            returned for a retry rather than forwarded.
        may_send
            Returns whether the request may still be sent; called once the connection
            is open.
        on_first_event
            Called when the first part of a streamed answer arrives.
        on_progress
            Called when the second part of a streamed answer arrives.
        """
        address = context.endpoint.address
        if not await self._limits.may_send(call, context.endpoint):
            return Attempt(result=AttemptResult.OVER_LIMIT)
        # On a connection that refused this request, a copy of the refusal would look
        # like the answer.
        is_repeated = address in call.sent_addresses
        try:
            exchange = await self._connector.open(address, fresh=is_repeated)
        except ConnectError as error:
            self._limits.give_back(call)
            return Attempt(result=AttemptResult.NOT_SENT, detail=str(error))
        try:
            # The endpoint may have named a limit while the connection was opened.
            if not await self._limits.may_send(call, context.endpoint):
                return Attempt(result=AttemptResult.OVER_LIMIT)
            # It may have begun to leave meanwhile, or its data centre be evacuated.
            if not self._accepts_work(context.endpoint, call.allowed_regions):
                self._limits.give_back(call)
                return Attempt(result=AttemptResult.ENDPOINT_LEFT)
            if not may_send():
                self._limits.give_back(call)
                return Attempt(result=AttemptResult.WITHHELD)
            call.send_grant = None
            use = self._rooms.begin(context.endpoint.id)
            has_found_room = False
            try:
                async with asyncio.timeout(self._remaining_s(call) + _WRITE_GRACE_S):
                    attempt = await self._exchange(
                        exchange,
                        call,
                        context,
                        stream,
                        withholds_failure,
                        (on_first_event, on_progress),
                    )
                has_found_room = attempt.was_begun
            finally:
                self._rooms.end(use, has_found_room=has_found_room)
            return attrs.evolve(attempt, end=exchange.end)
        except TimeoutError:
            # All waits for the endpoint end earlier.
            return self._build_interrupted_attempt(
                stream,
                "the caller did not read the answer until the deadline",
                AttemptResult.DEADLINE_PASSED,
            )
        finally:
            exchange.close()

    async def _exchange(
        self,
        exchange: Exchange,
        call: Call,
        context: ForwardingContext,
        stream: StreamState,
        withholds_failure: bool,
        on_parts: Sequence[Callable[[], None]],
    ) -> Attempt:
        outgoing = OutgoingRequest(
            method=call.request.method,
            path=call.request.target,
            headers=self._protocol.build_endpoint_headers(
                call.request.headers, context
            ),
            body=call.request.body,
            request_id=call.metadata.request_id,
        )
        call.was_sent = True
        call.sent_addresses.add(context.endpoint.address)
        call.attempt_times[-1].sent_at = self._clock.now()
        may_repeat = call.route.retry_policy is not RetryPolicy.AT_MOST_ONCE
        wait = self._paths.record_sent(
            call.service, exchange.close if may_repeat else None
        )
        try:
            await exchange.send(outgoing, self._build_limits(call))
            head = await exchange.head()
            self._paths.record_answer(call.service, wait)
            return await self._forward(
                exchange,
                head,
                call,
                context.endpoint,
                stream,
                withholds_failure,
                on_parts,
                lambda: self._paths.record_answer(call.service, wait),
            )
        except ResponseTimeoutError as error:
            return self._build_timeout_attempt(call, error)
        except ExchangeInterruptedError as error:
            return Attempt(result=AttemptResult.UNKNOWN, detail=str(error))
        finally:
            self._paths.record_end(call.service, wait)

    async def _forward(
        self,
        exchange: Exchange,
        head: ResponseHead,
        call: Call,
        endpoint: ListedEndpoint,
        stream: StreamState,
        withholds_failure: bool,
        on_parts: Sequence[Callable[[], None]],
        on_chunk: Callable[[], None],
    ) -> Attempt:
        """Forward an answer whose head was received.

        Parameters
        ----------
        on_parts
            Called when the first parts of a stream arrive, one for each.
        on_chunk
            Called when any part of a stream arrives.
        """
        metadata = self._protocol.parse_answer(head.status, head.headers)
        sent_at = call.attempt_times[-1].sent_at
        assert sent_at is not None
        self._statements.record_answer(endpoint, metadata.statement, sent_at)
        if metadata.did_not_run:
            call.was_sent = False
            if not metadata.lacks_adapter:
                self._rooms.record_refusal(endpoint)
            await exchange.skip_rest(_MAX_REFUSAL_BODY_S)
            lacks_adapter = metadata.lacks_adapter
            result = (
                AttemptResult.LACKS_ADAPTER if lacks_adapter else AttemptResult.NOT_RUN
            )
            return Attempt(result=result, head=head, detail=str(head.status))
        if not metadata.is_genuine:
            return Attempt(
                result=AttemptResult.UNKNOWN,
                detail=f"unverified answer with status {head.status}",
            )
        is_stream = call.route.is_stream and _is_success(head)
        if stream.has_head and not (is_stream and _may_resume(head)):
            return Attempt(
                result=AttemptResult.TRUNCATED,
                detail=f"the stream was not resumed: status {head.status}",
            )
        if is_stream:
            return await self._forward_stream(
                exchange, head, call, stream, on_parts, on_chunk
            )
        return await self._forward_whole(exchange, head, call, withholds_failure)

    async def _forward_whole(
        self,
        exchange: Exchange,
        head: ResponseHead,
        call: Call,
        withholds_failure: bool,
    ) -> Attempt:
        max_bytes = _MAX_BODY_BYTES if _is_success(head) else _MAX_FAILURE_BYTES
        try:
            body = await exchange.body(max_bytes)
        except ResponseTimeoutError as error:
            return self._build_timeout_attempt(call, error)
        except ExchangeInterruptedError as error:
            return Attempt(result=AttemptResult.UNKNOWN, detail=str(error))
        if withholds_failure and head.status >= 500:
            return Attempt(result=AttemptResult.FAILED, head=head, body=body)
        await self.forward_answer(call, head, body)
        return Attempt(result=AttemptResult.ANSWERED, head=head)

    async def forward_answer(self, call: Call, head: ResponseHead, body: bytes) -> None:
        """Forward a complete answer of an endpoint to the caller."""
        headers = self._protocol.build_answer_headers(head.headers)
        await call.reply.respond(head.status, headers, body)

    async def _forward_stream(
        self,
        exchange: Exchange,
        head: ResponseHead,
        call: Call,
        stream: StreamState,
        on_parts: Sequence[Callable[[], None]],
        on_chunk: Callable[[], None],
    ) -> Attempt:
        splits_events = is_event_stream(head.headers)
        is_resumed = stream.has_head
        remaining_callbacks = list(reversed(on_parts))
        pauses = call.attempt_times[-1].pauses
        try:
            async for chunk in exchange.chunks():
                on_chunk()
                if pauses is not None:
                    events = chunk.count(_EVENT_END) if splits_events else 1
                    pauses.record_events(max(events, 1), self._clock.now())
                if remaining_callbacks:
                    remaining_callbacks.pop()()
                part = stream.splitter.feed(chunk) if splits_events else chunk
                if part:
                    self._start_answer(call, head, stream)
                    await call.reply.write(part)
        except ResponseTimeoutError as error:
            return self._build_interrupted_attempt(
                stream, str(error), AttemptResult.DEADLINE_PASSED
            )
        except ExchangeInterruptedError as error:
            return self._build_interrupted_attempt(
                stream, str(error), AttemptResult.UNKNOWN
            )
        assert exchange.end is not None
        fault = (
            find_stream_fault(exchange.end, stream.splitter.position)
            if splits_events
            else find_body_fault(exchange.end)
        )
        if fault is None and is_resumed and not _names_event_stream(head.headers):
            # An answer of no named type that has no event shows no end of a stream.
            fault = _find_missing_event(stream.splitter.position)
        if fault is not None:
            return self._build_interrupted_attempt(stream, fault, AttemptResult.UNKNOWN)
        self._start_answer(call, head, stream)
        rest = stream.splitter.flush()
        if rest:
            await call.reply.write(rest)
        call.reply.end()
        return Attempt(
            result=AttemptResult.ANSWERED, head=head, position=stream.splitter.position
        )

    def _start_answer(
        self, call: Call, head: ResponseHead, stream: StreamState
    ) -> None:
        if stream.has_head:
            return
        stream.has_head = True
        headers: HTTPHeaders = self._protocol.build_answer_headers(head.headers)
        call.reply.start(head.status, headers)

    def _build_interrupted_attempt(
        self, stream: StreamState, detail: str, result_before_head: AttemptResult
    ) -> Attempt:
        result = AttemptResult.TRUNCATED if stream.has_head else result_before_head
        return Attempt(result=result, detail=detail, position=stream.splitter.position)

    def _build_timeout_attempt(
        self, call: Call, error: ResponseTimeoutError
    ) -> Attempt:
        has_passed = self._clock.now() >= call.deadline
        result = AttemptResult.DEADLINE_PASSED if has_passed else AttemptResult.UNKNOWN
        return Attempt(result=result, detail=str(error))

    def _build_limits(self, call: Call) -> ResponseLimits:
        return ResponseLimits(
            max_s=self._remaining_s(call),
            max_body_bytes=(
                _MAX_STREAM_BYTES if call.route.is_stream else _MAX_BODY_BYTES
            ),
        )

    def _remaining_s(self, call: Call) -> float:
        return max(call.deadline + _DEADLINE_GRACE_S - self._clock.now(), 0.0)


def _is_success(head: ResponseHead) -> bool:
    return head.status < http.HTTPStatus.MULTIPLE_CHOICES


def is_event_stream(headers: HTTPHeaders) -> bool:
    """Return whether the body consists of events; so it does if no type is named."""
    return "Content-Type" not in headers or _names_event_stream(headers)


def _names_event_stream(headers: HTTPHeaders) -> bool:
    content_type = headers.get("Content-Type", "")
    return content_type.partition(";")[0].strip().lower() == _EVENT_STREAM


def _may_resume(head: ResponseHead) -> bool:
    """Return whether an answer may go on with a stream that was interrupted."""
    return head.status == http.HTTPStatus.OK and is_event_stream(head.headers)


def _find_missing_event(position: EventPosition) -> str | None:
    if position is EventPosition.BEFORE_FIRST:
        return "the resumed stream has no event"
    return None
