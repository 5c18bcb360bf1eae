"""One request to an endpoint on one connection.

Says for every failure whether a byte of the request may have left. A connection
whose request was abandoned is closed, never used again.
"""

from __future__ import annotations

import abc
import asyncio
import collections
import contextlib
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
from tornado.iostream import StreamClosedError

from chiveslip.clock import Clock
from chiveslip.engines.protocol import REQUEST_ID_HEADER
from chiveslip.engines.protocol import Outgoing
from chiveslip.settings.fields import Address

_CHUNK_BYTES = 64 * 1024
_HEAD_BYTES = 64 * 1024
_BODY_BYTES = 64 * 1024 * 1024
# Idle connections end sooner than the shortest idle timeout that endpoints are
# known to have without saying so (5 s).
_IDLE_KEPT_S = 4.0
_IDLE_KEPT_PER_ADDRESS = 32
# An idle timeout that an endpoint names is undercut by the time that a request may
# be on its way to it.
_IDLE_MARGIN_S = 1.0
# A connection that went silent shows within three seconds: one idle second, then
# two probes a second apart.
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_PROBES = 2
_UNACKNOWLEDGED_MS = 2000
_MOST_CROSSED_ANSWERS = 2


class ConnectError(Exception):
    """No connection came about; no byte of the request has left."""


class ExchangeInterruptedError(Exception):
    """The exchange failed after a byte of the request may have left."""


class ResponseTimeoutError(ExchangeInterruptedError):
    """The endpoint said nothing for too long."""


@attrs.frozen(kw_only=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: HTTPHeaders


class Exchange(abc.ABC):
    """A request to an endpoint and its answer as it comes."""

    @property
    @abc.abstractmethod
    def reused(self) -> bool:
        """Whether the connection carried an earlier exchange."""

    @abc.abstractmethod
    async def send(self, outgoing: Outgoing) -> None:
        """Send the request; from here on it may run.

        Raises
        ------
        ExchangeInterruptedError
            If the connection ends while sending.
        """

    @abc.abstractmethod
    async def head(self, timeout_s: float) -> ResponseHead:
        """Wait for the answer's head.

        Raises
        ------
        ResponseTimeoutError
            If it does not come in `timeout_s` seconds.
        ExchangeInterruptedError
            If the connection ends before.
        """

    @abc.abstractmethod
    def chunks(self, max_idle_s: float) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        Raises
        ------
        ResponseTimeoutError
            If nothing comes for `max_idle_s` seconds.
        ExchangeInterruptedError
            If the body ends before its end.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """End the exchange; only a connection that is surely idle is kept."""

    async def body(self, most: int, max_idle_s: float) -> bytes:
        """Return the whole body.

        Raises
        ------
        ExchangeInterruptedError
            If it does not come whole, or is larger than `most` bytes.
        """
        parts = []
        size = 0
        async for chunk in self.chunks(max_idle_s):
            size += len(chunk)
            if size > most:
                raise ExchangeInterruptedError("the answer is too large")
            parts.append(chunk)
        return b"".join(parts)


class Connector(abc.ABC):
    """Opens connections to endpoints."""

    @abc.abstractmethod
    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        """Return an exchange on a new connection, or on a proven one.

        Parameters
        ----------
        fresh
            Whether only a new connection will do, as for a call that may not be
            repeated.

        Raises
        ------
        ConnectError
            If no connection comes about; nothing was sent.
        """

    def close(self) -> None:
        """Close the kept connections."""
        return


class _Receiver(HTTPMessageDelegate):
    """Passes an answer on as it comes; a slow consumer holds the sender back."""

    def __init__(self, request_id: str) -> None:
        self.head: asyncio.Future[ResponseHead] = asyncio.Future()
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue(maxsize=16)
        self.complete = False
        self.proves_length = False
        self.crossed = False
        self.kept_s: float | None = _IDLE_KEPT_S
        self._request_id = request_id

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        status = start_line.code if isinstance(start_line, ResponseStartLine) else 0
        if 100 <= status < 200 or self.head.done():
            return
        self.crossed = not self._is_ours(status, headers)
        if self.crossed:
            return
        self.kept_s = _kept_s(headers)
        chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
        no_body = status in (204, 304)
        self.proves_length = chunked or "Content-Length" in headers or no_body
        self.head.set_result(ResponseHead(status=status, headers=headers))

    async def data_received(self, chunk: bytes) -> None:
        if not self.crossed:
            await self.chunks.put(chunk)

    def finish(self) -> None:
        self.complete = True

    def _is_ours(self, status: int, headers: HTTPHeaders) -> bool:
        if not self._request_id:
            return True
        echoed = headers.get(REQUEST_ID_HEADER)
        if echoed is None:
            # A refusal may come from before the endpoint read the id.
            return status >= 400
        return echoed == self._request_id


def _kept_s(headers: HTTPHeaders) -> float | None:
    """Return how long the connection may stay idle, or None to close it."""
    if "close" in headers.get("Connection", "").lower():
        return None
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(max(int(value) - _IDLE_MARGIN_S, 0.0), _IDLE_KEPT_S)
    return _IDLE_KEPT_S


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
        self._receiver = _Receiver("")
        self._reader: asyncio.Task[None] | None = None
        self._proven = False

    @property
    def reused(self) -> bool:
        """Whether the connection carried an earlier exchange."""
        return self._reused

    async def send(self, outgoing: Outgoing) -> None:
        """Send the request; from here on it may run."""
        self._receiver = _Receiver(outgoing.request_id)
        connection = HTTP1Connection(self._stream, True, _PARAMETERS)
        headers = HTTPHeaders({"Host": str(self._address)})
        headers.update(outgoing.headers)
        if outgoing.body or outgoing.method not in ("GET", "HEAD", "DELETE"):
            headers["Content-Length"] = str(len(outgoing.body))
        start = RequestStartLine(outgoing.method, outgoing.path, "")
        try:
            connection.write_headers(start, headers, outgoing.body or None)
            connection.finish()
        except StreamClosedError as error:
            raise ExchangeInterruptedError(
                "the connection closed while sending"
            ) from error
        self._reader = asyncio.create_task(self._read(connection))

    async def head(self, timeout_s: float) -> ResponseHead:
        """Wait for the answer's head."""
        try:
            async with asyncio.timeout(max(timeout_s, 0.0)):
                return await asyncio.shield(self._receiver.head)
        except TimeoutError as error:
            raise ResponseTimeoutError("no answer in time") from error

    async def chunks(self, max_idle_s: float) -> AsyncIterator[bytes]:
        """Yield the body as it comes."""
        while True:
            try:
                async with asyncio.timeout(max(max_idle_s, 0.0)):
                    chunk = await self._receiver.chunks.get()
            except TimeoutError as error:
                raise ResponseTimeoutError("the answer went silent") from error
            if chunk is None:
                break
            yield chunk
        if not self._receiver.complete:
            raise ExchangeInterruptedError("the answer broke off")
        self._proven = True

    def close(self) -> None:
        """End the exchange; only a connection that is surely idle is kept."""
        if self._proven and self._reader is not None and self._reader.done():
            self._pool.give_back(self._address, self._stream, self._receiver.kept_s)
            return
        self._stream.close()
        if self._reader is not None:
            self._reader.cancel()

    async def _read(self, connection: HTTP1Connection) -> None:
        receiver = self._receiver
        try:
            await connection.read_response(receiver)
            for _ in range(_MOST_CROSSED_ANSWERS):
                if not receiver.crossed or self._stream.closed():
                    break
                # The late answer to an earlier request stood before ours.
                again = HTTP1Connection(self._stream, True, _PARAMETERS)
                again.finish()
                await again.read_response(receiver)
            if not receiver.proves_length:
                # Such a body ends with its connection; a reset cuts it short.
                receiver.complete = receiver.complete and self._stream.error is None
            receiver.complete = receiver.complete and not receiver.crossed
        except (StreamClosedError, HTTPInputError, ValueError, AssertionError):
            receiver.complete = False
        finally:
            if not receiver.head.done():
                receiver.head.set_exception(
                    ExchangeInterruptedError("the connection closed before an answer")
                )
                # The exception may have nobody who waits for it any more.
                receiver.head.exception()
            # A cancelled reader has no consumer left to wait for.
            with contextlib.suppress(asyncio.CancelledError):
                await receiver.chunks.put(None)


@attrs.frozen
class _Idle:
    stream: IOStream
    until: float


_PARAMETERS = HTTP1ConnectionParameters(
    chunk_size=_CHUNK_BYTES,
    max_header_size=_HEAD_BYTES,
    max_body_size=_BODY_BYTES,
)


@final
class ConnectionPool(Connector):
    """Opens connections to endpoints and keeps proven ones for a short while."""

    def __init__(self, clock: Clock, connect_timeout_s: float) -> None:
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[Address, collections.deque[_Idle]] = {}

    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        """Return an exchange on a new connection, or on a proven one."""
        kept = None if fresh else self._take(address)
        if kept is not None:
            return HttpExchange(kept, self, address, reused=True)
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

    def give_back(
        self, address: Address, stream: IOStream, kept_s: float | None
    ) -> None:
        """Keep a connection whose last exchange ended whole for `kept_s` seconds."""
        if stream.closed():
            return
        if kept_s is None or _has_unread(stream):
            stream.close()
            return
        idle = self._idle.setdefault(address, collections.deque())
        if len(idle) >= _IDLE_KEPT_PER_ADDRESS:
            stream.close()
            return
        # With a callback the stream notices that the far end closed it.
        stream.set_close_callback(_ignore)
        idle.append(_Idle(stream, self._clock.now() + kept_s))

    def close(self) -> None:
        """Close the kept connections."""
        for idle in self._idle.values():
            for kept in idle:
                kept.stream.close()
        self._idle.clear()

    def _take(self, address: Address) -> IOStream | None:
        idle = self._idle.get(address)
        while idle:
            kept = idle.pop()
            if kept.stream.closed():
                continue
            if self._clock.now() < kept.until and not _has_unread(kept.stream):
                return kept.stream
            kept.stream.close()
        return None


def _new_socket() -> socket.socket:
    """Return a socket on which a path that went silent shows by itself."""
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)
    return made


def _has_unread(stream: IOStream) -> bool:
    """Return whether bytes came that belong to no request.

    Tornado has no public way to see bytes that it read ahead.
    """
    return bool(stream._read_buffer_size)


def _ignore() -> None:
    """Do nothing; a closed stream is passed over when it is taken."""
