"""HTTP exchanges with endpoints, and a pool of idle connections.

The type of each error tells whether a byte of the request may have been sent. A
connection whose request was abandoned is closed and never reused.
"""

from __future__ import annotations

import abc
import asyncio
import collections
import contextlib
import http
import math
import socket
from collections.abc import AsyncIterator
from typing import final

import attrs
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import IOStream
from tornado.iostream import StreamBufferFullError
from tornado.iostream import StreamClosedError
from tornado.iostream import UnsatisfiableReadError

from chiveslip.clock import Clock
from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.dispatch.held_bytes import HeldBytesError
from chiveslip.dispatch.held_bytes import Holding
from chiveslip.dispatch.outgoing import REQUEST_ID_HEADER
from chiveslip.dispatch.outgoing import OutgoingRequest
from chiveslip.dispatch.response_end import MAX_STATUS
from chiveslip.dispatch.response_end import Ending
from chiveslip.dispatch.response_end import Framing
from chiveslip.dispatch.response_end import ResponseEnd
from chiveslip.dispatch.response_end import find_body_fault
from chiveslip.dispatch.response_end import find_document_fault
from chiveslip.dispatch.response_end import parse_framing
from chiveslip.dispatch.response_limits import ResponseLimits
from chiveslip.dispatch.response_limits import ResponseTimer
from chiveslip.settings.fields import Address

_MAX_CHUNK_BYTES = 64 * 1024
_MAX_HEAD_BYTES = 64 * 1024
# Above the limits of all callers of `Exchange.send`, which are checked before.
_MAX_BODY_BYTES = 1 << 40
# Shorter than the shortest idle timeout (5 s) that endpoints are known to apply
# without announcing it.
_MAX_IDLE_S = 4.0
# Upper limit for an idle timeout that an endpoint announces. An instance of a large
# fleet sends to one engine only every ten seconds or so, and a new connection costs
# more than an idle one.
_MAX_ANNOUNCED_IDLE_S = 30.0
_MAX_IDLE_PER_ADDRESS = 32
# Subtracted from an idle timeout that an endpoint announces: the time that a request
# may take to reach it.
_IDLE_MARGIN_S = 1.0
# TCP keep-alive detects a dead connection within three seconds: one idle second,
# then two probes one second apart.
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_MAX_PROBES = 2
# The kernel also ends connections whose peer takes no bytes for this long, though it is
# alive. A short request always fits into the receive buffer; a long body may have to
# wait.
_MAX_UNACKNOWLEDGED_MS = 2000
_MAX_UNREAD_BODY_MS = 30_000
_MAX_SHORT_BODY_BYTES = 32 * 1024
# Late responses to earlier requests that are skipped before the exchange fails.
_MAX_CROSSED_RESPONSES = 2
# Parts of a body that are received ahead of their reader.
_MAX_QUEUED_CHUNKS = 2
_VERSIONS = frozenset({"HTTP/1.0", "HTTP/1.1"})
# Interim statuses below 200 included.
_MIN_STATUS = 100
# What the bytes of a response are counted as that is kept until it is complete.
_HELD_KIND = "whole responses"


class ConnectError(Exception):
    """No connection could be established; no byte of the request was sent."""


class ExchangeInterruptedError(Exception):
    """The exchange failed after a byte of the request may have been sent."""


class ResponseTimeoutError(ExchangeInterruptedError):
    """The response was not received in time."""


@attrs.frozen(kw_only=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: HTTPHeaders


class Exchange(abc.ABC):
    """A request to an endpoint, and its response as it is received."""

    @property
    @abc.abstractmethod
    def reused(self) -> bool:
        """Whether the connection carried an earlier exchange."""

    @property
    @abc.abstractmethod
    def end(self) -> ResponseEnd | None:
        """How the response ended, or None while it is being received."""

    @abc.abstractmethod
    async def send(self, outgoing: OutgoingRequest, limits: ResponseLimits) -> None:
        """Send the request; from here on the endpoint may run it.

        Parameters
        ----------
        limits
            Bounds of the response; its time begins now.

        Raises
        ------
        ExchangeInterruptedError
            If the connection is closed while sending.
        """

    @abc.abstractmethod
    async def head(self, max_wait_s: float = math.inf) -> ResponseHead:
        """Wait for the status and headers of the response.

        Raises
        ------
        ResponseTimeoutError
            If they are not received within `max_wait_s` seconds, or within the limits.
        ExchangeInterruptedError
            If the connection is closed before that.
        """

    @abc.abstractmethod
    def chunks(self, max_idle_s: float = math.inf) -> AsyncIterator[bytes]:
        """Yield the body as it is received.

        Raises
        ------
        ResponseTimeoutError
            If no data is received for `max_idle_s` seconds, or the time of the limits
            has passed.
        ExchangeInterruptedError
            If the body is truncated, or larger than the limits allow.
        """

    def give_up(self, detail: str) -> None:
        """End the response, as it exceeds a limit."""
        self.close()

    def hold(self, size: int) -> None:
        """Count bytes of the body that are kept until the exchange is closed.

        Raises
        ------
        ExchangeInterruptedError
            If the process holds too many bytes, and this body most of them.
        """
        return

    @abc.abstractmethod
    def close(self) -> None:
        """End the exchange; keep the connection only if it is known to be idle.

        Waits for the response end with an error. A second call does nothing.
        """

    async def body(self, max_bytes: float = math.inf) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        max_bytes
            Largest size, if it is below that of the limits.

        Raises
        ------
        ExchangeInterruptedError
            If the body is truncated, or exceeds the limits.
        """
        # One buffer returns to the system as a whole; parts leave holes in the heap.
        received = bytearray()
        async for chunk in self.chunks():
            if len(received) + len(chunk) > max_bytes:
                detail = f"the body is larger than {max_bytes} bytes"
                self.give_up(detail)
                raise ExchangeInterruptedError(detail)
            self.hold(len(chunk))
            received += chunk
        body = bytes(received)
        content_type = (await self.head()).headers.get("Content-Type", "")
        assert self.end is not None
        fault = find_document_fault(self.end, content_type, body)
        if fault is not None:
            raise ExchangeInterruptedError(fault)
        return body

    async def skip_rest(self, max_s: float) -> None:
        """Skip the rest of the body, so that the connection can be reused.

        Parameters
        ----------
        max_s
            Time in seconds after which the connection is given up instead.
        """
        with contextlib.suppress(ExchangeInterruptedError, TimeoutError):
            async with asyncio.timeout(max_s):
                async for _ in self.chunks():
                    pass


class Connector(abc.ABC):
    """Opens exchanges with endpoints."""

    @abc.abstractmethod
    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        """Return an exchange on a new connection, or on an idle one of the pool.

        Parameters
        ----------
        fresh
            Whether to use a new connection only, as an at-most-once call requires.

        Raises
        ------
        ConnectError
            If no connection can be established; nothing was sent.
        """

    def close(self) -> None:
        """Close the idle connections."""
        return


class _Receiver(HTTPMessageDelegate):
    """Receives a response in chunks; a slow consumer applies back pressure.

    Attributes
    ----------
    framing
        Framing of the body, or None before the head is received.
    received_bytes
        Bytes of the body that were received.
    is_too_large
        Whether the response exceeds the limit on bytes.
    fault
        Why the head is none of a response, or empty.
    is_crossed
        Whether the last response on the connection belongs to another request, or on
        a reused connection does not say to which it belongs.
    max_idle_s
        How long the connection may stay idle afterwards, or None to close it.
    """

    def __init__(
        self, request_id: str, method: str, max_bytes: int, *, is_reused: bool
    ) -> None:
        self.head: asyncio.Future[ResponseHead] = asyncio.Future()
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue(
            maxsize=_MAX_QUEUED_CHUNKS
        )
        self.is_finished = False
        self.framing: Framing | None = None
        self.received_bytes = 0
        self.is_crossed = False
        self.max_idle_s: float | None = _MAX_IDLE_S
        self.is_too_large = False
        self.fault = ""
        self._request_id = request_id
        self._method = method
        self._is_reused = is_reused
        self._max_bytes = max_bytes
        self._all_bytes = 0

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        status = start_line.code
        fault = _find_head_fault(start_line.version, status, headers)
        if fault is not None:
            self.fault = fault
            raise HTTPInputError(fault)
        if status < http.HTTPStatus.OK or self.head.done():
            return
        # A crossed response before this one may have been finished.
        self.is_finished = False
        self.is_crossed = not self._is_own_response(status, headers)
        if self.is_crossed:
            return
        self.max_idle_s = _parse_max_idle_s(headers)
        self.framing = parse_framing(self._method, status, headers)
        if self.framing is Framing.LENGTH:
            # An invalid length is refused by Tornado after this.
            length = headers["Content-Length"]
            self._check_size(
                int(length) if length.isascii() and length.isdigit() else 0
            )
        self.head.set_result(ResponseHead(status=status, headers=headers))

    async def data_received(self, chunk: bytes) -> None:
        self._all_bytes += len(chunk)
        self._check_size(self._all_bytes)
        if not self.is_crossed:
            self.received_bytes += len(chunk)
            await self.chunks.put(chunk)

    def finish(self) -> None:
        self.is_finished = True

    def _check_size(self, size: int) -> None:
        if size > self._max_bytes:
            self.is_too_large = True
            raise HTTPInputError(f"the body is larger than {self._max_bytes} bytes")

    def _is_own_response(self, status: int, headers: HTTPHeaders) -> bool:
        if not self._request_id:
            return True
        echoed = headers.get(REQUEST_ID_HEADER)
        if echoed is None:
            # An error response may have been sent before the endpoint read the id; on
            # a reused connection, it may be a copy of an earlier one.
            return status >= 400 and not self._is_reused
        return echoed == self._request_id


def _find_head_fault(version: str, status: int, headers: HTTPHeaders) -> str | None:
    """Return why a head is none of a response that may be believed, or None.

    An endpoint in trouble has answered with statuses below 100 and from 600 on. Whether
    it ran the request is unknown then, whatever its headers say.
    """
    if version not in _VERSIONS:
        return f"invalid version {version}"
    if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
        return "status 101, though no other protocol was asked for"
    if not _MIN_STATUS <= status <= MAX_STATUS:
        return f"invalid status {status:03}"
    has_body = "Transfer-Encoding" in headers or (
        headers.get("Content-Length", "0") != "0"
    )
    if has_body and status == http.HTTPStatus.NO_CONTENT:
        return "status 204 with a body"
    return None


def _parse_max_idle_s(headers: HTTPHeaders) -> float | None:
    """Return how long the connection may stay idle in seconds, or None to close it."""
    if "close" in headers.get("Connection", "").lower():
        return None
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            idle_s = max(int(value) - _IDLE_MARGIN_S, 0.0)
            return min(idle_s, _MAX_ANNOUNCED_IDLE_S)
    return _MAX_IDLE_S


@final
class HttpExchange(Exchange):
    """An exchange over HTTP/1.1."""

    def __init__(
        self, stream: IOStream, pool: ConnectionPool, address: Address, *, reused: bool
    ) -> None:
        self._reused = reused
        self._stream = stream
        self._pool = pool
        self._address = address
        self._receiver = _Receiver("", "", 0, is_reused=reused)
        self._timer = ResponseTimer(ResponseLimits(max_s=0.0, max_body_bytes=0))
        self._reader: asyncio.Task[None] | None = None
        self._end: ResponseEnd | None = None
        self._is_fully_read = False
        self._expiry: asyncio.TimerHandle | None = None
        self._has_expired = False
        self._is_closed = False
        self._holding: Holding | None = None

    @property
    def reused(self) -> bool:
        """Whether the connection carried an earlier exchange."""
        return self._reused

    @property
    def end(self) -> ResponseEnd | None:
        """How the response ended, or None while it is being received."""
        return self._end

    async def send(self, outgoing: OutgoingRequest, limits: ResponseLimits) -> None:
        """Send the request; from here on the endpoint may run it."""
        self._receiver = _Receiver(
            outgoing.request_id,
            outgoing.method,
            limits.max_body_bytes,
            is_reused=self._reused,
        )
        self._timer = ResponseTimer(limits)
        connection = HTTP1Connection(self._stream, True, _PARAMETERS)
        headers = HTTPHeaders({"Host": str(self._address)})
        headers.update(outgoing.headers)
        if outgoing.body or outgoing.method not in ("GET", "HEAD", "DELETE"):
            headers["Content-Length"] = str(len(outgoing.body))
        start = RequestStartLine(outgoing.method, outgoing.path, "")
        if not self._stream.closed():
            _set_user_timeout(self._stream.socket, len(outgoing.body))
        try:
            connection.write_headers(start, headers, outgoing.body or None)
            connection.finish()
        except StreamClosedError as error:
            raise ExchangeInterruptedError(
                "the connection was closed while sending"
            ) from error
        self._reader = asyncio.create_task(self._read(connection))

    async def head(self, max_wait_s: float = math.inf) -> ResponseHead:
        """Wait for the status and headers of the response."""
        try:
            async with asyncio.timeout(self._timer.remaining_s(max_wait_s)):
                return await asyncio.shield(self._receiver.head)
        except TimeoutError as error:
            self._record_end(Ending.LIMIT)
            raise ResponseTimeoutError(
                f"no response within the timeout: {self._end}"
            ) from error

    async def chunks(self, max_idle_s: float = math.inf) -> AsyncIterator[bytes]:
        """Yield the body as it is received."""
        while True:
            chunk = await self._next_chunk(max_idle_s)
            if chunk is None:
                break
            yield chunk
        assert self._end is not None
        fault = find_body_fault(self._end)
        if fault is not None:
            raise ExchangeInterruptedError(fault)
        self._is_fully_read = True

    async def _next_chunk(self, max_idle_s: float) -> bytes | None:
        wait_s = self._timer.remaining_s(max_idle_s)
        try:
            # A timeout does not end a wait for bytes that are there already.
            if wait_s <= 0:
                raise TimeoutError
            if max_idle_s < math.inf:
                async with asyncio.timeout(wait_s):
                    return await self._receiver.chunks.get()
            # One timer for all chunks costs less than a timeout for each.
            if self._expiry is None:
                loop = asyncio.get_running_loop()
                self._expiry = loop.call_later(wait_s, self._expire)
            chunk = await self._receiver.chunks.get()
            if self._has_expired:
                raise TimeoutError
            return chunk
        except TimeoutError as error:
            self._record_end(Ending.LIMIT)
            raise ResponseTimeoutError(
                f"the response did not end within the timeout: {self._end}"
            ) from error

    def hold(self, size: int) -> None:
        """Count bytes of the body that are kept until the exchange is closed."""
        if self._holding is None:
            self._holding = self._pool.held.begin(
                _HELD_KIND, lambda: self.give_up("the process holds too many bytes")
            )
        try:
            self._pool.held.add(self._holding, size)
        except HeldBytesError as error:
            raise ExchangeInterruptedError(f"{error}: {self._end}") from error

    def give_up(self, detail: str) -> None:
        """End the response, as it exceeds a limit."""
        self._record_end(Ending.LIMIT, detail)
        self._stream.close()

    def _expire(self) -> None:
        """End the wait for a chunk; without one, the next wait ends at once."""
        if self._receiver.chunks.empty():
            self._has_expired = True
            self._receiver.chunks.put_nowait(None)

    def close(self) -> None:
        """End the exchange; keep the connection only if it is known to be idle."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._holding is not None:
            self._pool.held.end(self._holding)
        if self._expiry is not None:
            self._expiry.cancel()
        if self._is_fully_read and self._reader is not None and self._reader.done():
            self._pool.return_connection(
                self._address, self._stream, self._receiver.max_idle_s
            )
            return
        self._stream.close()
        if self._reader is not None:
            self._reader.cancel()

    async def _read(self, connection: HTTP1Connection) -> None:
        receiver = self._receiver
        ending, detail = Ending.INVALID, ""
        try:
            await connection.read_response(receiver)
            for _ in range(_MAX_CROSSED_RESPONSES):
                if not receiver.is_crossed or self._stream.closed():
                    break
                # A late response to an earlier request preceded this one.
                next_response = HTTP1Connection(self._stream, True, _PARAMETERS)
                next_response.finish()
                await next_response.read_response(receiver)
            ending, detail = self._find_ending(), receiver.fault
        except StreamClosedError:
            ending = self._find_connection_ending()
            detail = str(self._stream.error or "")
        except (HTTPInputError, ValueError, AssertionError) as error:
            detail = str(error)
        finally:
            self._record_end(ending, detail)
            if not receiver.head.done():
                receiver.head.set_exception(
                    ExchangeInterruptedError(
                        f"no response was received: {receiver.fault or self._end}"
                    )
                )
                # Marks the exception as retrieved, in case nothing awaits it.
                receiver.head.exception()
            # A cancelled reader has no consumer left.
            with contextlib.suppress(asyncio.CancelledError):
                await receiver.chunks.put(None)

    def _find_ending(self) -> Ending:
        receiver = self._receiver
        if receiver.is_too_large:
            return Ending.LIMIT
        # Tornado returns without finishing the response if its bytes are invalid.
        if receiver.is_crossed or not receiver.is_finished:
            return Ending.INVALID
        if receiver.framing is Framing.CONNECTION:
            return self._find_connection_ending()
        return Ending.FRAMING

    def _find_connection_ending(self) -> Ending:
        error = self._stream.error
        if error is None:
            return Ending.CLOSE
        if isinstance(error, (UnsatisfiableReadError, StreamBufferFullError)):
            return Ending.LIMIT
        return Ending.RESET

    def _record_end(self, ending: Ending, detail: str = "") -> None:
        if self._end is not None:
            return
        self._end = ResponseEnd(
            framing=self._receiver.framing,
            ending=ending,
            received_bytes=self._receiver.received_bytes,
            detail=detail,
        )


@attrs.frozen
class _Idle:
    stream: IOStream
    expires_at: float


_PARAMETERS = HTTP1ConnectionParameters(
    chunk_size=_MAX_CHUNK_BYTES,
    max_header_size=_MAX_HEAD_BYTES,
    max_body_size=_MAX_BODY_BYTES,
)


@final
class ConnectionPool(Connector):
    """Opens connections to endpoints, and keeps idle ones for reuse.

    A connection is reused only if its last response was received completely.

    Parameters
    ----------
    held
        Bounds the bytes of the responses that are kept whole.
    """

    def __init__(self, clock: Clock, connect_timeout_s: float, held: HeldBytes) -> None:
        self._clock = clock
        self._held = held
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[Address, collections.deque[_Idle]] = {}

    @property
    def held(self) -> HeldBytes:
        """Bounds the bytes of the responses that are kept whole."""
        return self._held

    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        """Return an exchange on a new connection, or on an idle one of the pool."""
        reused = None if fresh else self._take_idle(address)
        if reused is not None:
            return HttpExchange(reused, self, address, reused=True)
        connection = _new_socket()
        stream = IOStream(connection)
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await stream.connect((address.host, address.port))
        except (OSError, StreamClosedError, TimeoutError) as error:
            stream.close()
            raise ConnectError(f"{address}: {error!r}") from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return HttpExchange(stream, self, address, reused=False)

    def return_connection(
        self, address: Address, stream: IOStream, max_idle_s: float | None
    ) -> None:
        """Keep a connection for `max_idle_s` seconds after a complete response."""
        if stream.closed():
            return
        if max_idle_s is None or _has_unread_bytes(stream):
            stream.close()
            return
        idle = self._idle.setdefault(address, collections.deque())
        if len(idle) >= _MAX_IDLE_PER_ADDRESS:
            stream.close()
            return
        # The stream detects that the peer closed it only if it has a close callback.
        stream.set_close_callback(_ignore_close)
        idle.append(_Idle(stream, self._clock.now() + max_idle_s))

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for entry in idle:
                entry.stream.close()
        self._idle.clear()

    def _take_idle(self, address: Address) -> IOStream | None:
        idle = self._idle.get(address)
        while idle:
            entry = idle.pop()
            if entry.stream.closed():
                continue
            if self._clock.now() < entry.expires_at and not _has_unread_bytes(
                entry.stream
            ):
                return entry.stream
            entry.stream.close()
        return None


def _new_socket() -> socket.socket:
    """Return a socket that detects a dead connection by TCP keep-alive."""
    new_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MAX_PROBES)
    _set_user_timeout(new_socket, 0)
    return new_socket


def _set_user_timeout(used_socket: socket.socket, body_bytes: int) -> None:
    """Set how long sent bytes may stay unacknowledged, for a body of a length."""
    is_long = body_bytes > _MAX_SHORT_BODY_BYTES
    timeout_ms = _MAX_UNREAD_BODY_MS if is_long else _MAX_UNACKNOWLEDGED_MS
    used_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def _has_unread_bytes(stream: IOStream) -> bool:
    """Return whether bytes were received that belong to no request.

    Tornado has no public interface to the bytes that it has read ahead.
    """
    return bool(stream._read_buffer_size)


def _ignore_close() -> None:
    """Do nothing; ``_take_idle`` skips closed streams."""
