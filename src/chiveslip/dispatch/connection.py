"""One request to an endpoint on one connection.

Says for every failure whether a byte of the request may have left. A connection
whose request was abandoned is closed, never used again.
"""

from __future__ import annotations

import abc
import asyncio
import collections
import contextlib
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
from tornado.tcpclient import TCPClient

from chiveslip.clock import Clock
from chiveslip.engines.dialect import Outgoing
from chiveslip.settings.fields import Address

_CHUNK_BYTES = 64 * 1024
_HEAD_BYTES = 64 * 1024
_BODY_BYTES = 64 * 1024 * 1024
_IDLE_KEPT_S = 4.0
_IDLE_KEPT_PER_ADDRESS = 32


class ConnectError(Exception):
    """No connection came about; no byte of the request has left."""


class BrokenOffError(Exception):
    """The exchange failed after a byte of the request may have left."""


class SilentError(BrokenOffError):
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
        BrokenOffError
            If the connection ends while sending.
        """

    @abc.abstractmethod
    async def head(self, timeout_s: float) -> ResponseHead:
        """Wait for the answer's head.

        Raises
        ------
        SilentError
            If it does not come in `timeout_s` seconds.
        BrokenOffError
            If the connection ends before.
        """

    @abc.abstractmethod
    def chunks(self, silence_s: float) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        Raises
        ------
        SilentError
            If nothing comes for `silence_s` seconds.
        BrokenOffError
            If the body ends before its end.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """End the exchange; only a connection that is surely idle is kept."""

    async def body(self, most: int, silence_s: float) -> bytes:
        """Return the whole body.

        Raises
        ------
        BrokenOffError
            If it does not come whole, or is larger than `most` bytes.
        """
        parts = []
        size = 0
        async for chunk in self.chunks(silence_s):
            size += len(chunk)
            if size > most:
                raise BrokenOffError("the answer is too large")
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

    def __init__(self) -> None:
        self.head: asyncio.Future[ResponseHead] = asyncio.Future()
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue(maxsize=16)
        self.complete = False
        self.proves_length = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        status = start_line.code if isinstance(start_line, ResponseStartLine) else 0
        if 100 <= status < 200 or self.head.done():
            return
        chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
        no_body = status in (204, 304)
        self.proves_length = chunked or "Content-Length" in headers or no_body
        self.head.set_result(ResponseHead(status=status, headers=headers))

    async def data_received(self, chunk: bytes) -> None:
        await self.chunks.put(chunk)

    def finish(self) -> None:
        self.complete = self.proves_length


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
        self._receiver = _Receiver()
        self._reader: asyncio.Task[None] | None = None
        self._proven = False

    @property
    def reused(self) -> bool:
        """Whether the connection carried an earlier exchange."""
        return self._reused

    async def send(self, outgoing: Outgoing) -> None:
        """Send the request; from here on it may run."""
        parameters = HTTP1ConnectionParameters(
            chunk_size=_CHUNK_BYTES,
            max_header_size=_HEAD_BYTES,
            max_body_size=_BODY_BYTES,
        )
        connection = HTTP1Connection(self._stream, True, parameters)
        headers = HTTPHeaders({"Host": str(self._address)})
        headers.update(outgoing.headers)
        if outgoing.body or outgoing.method not in ("GET", "HEAD", "DELETE"):
            headers["Content-Length"] = str(len(outgoing.body))
        start = RequestStartLine(outgoing.method, outgoing.path, "")
        try:
            connection.write_headers(start, headers, outgoing.body or None)
            connection.finish()
        except StreamClosedError as error:
            raise BrokenOffError("the connection closed while sending") from error
        self._reader = asyncio.create_task(self._read(connection))

    async def head(self, timeout_s: float) -> ResponseHead:
        """Wait for the answer's head."""
        try:
            async with asyncio.timeout(max(timeout_s, 0.0)):
                return await asyncio.shield(self._receiver.head)
        except TimeoutError as error:
            raise SilentError("no answer in time") from error

    async def chunks(self, silence_s: float) -> AsyncIterator[bytes]:
        """Yield the body as it comes."""
        while True:
            try:
                async with asyncio.timeout(max(silence_s, 0.0)):
                    chunk = await self._receiver.chunks.get()
            except TimeoutError as error:
                raise SilentError("the answer went silent") from error
            if chunk is None:
                break
            yield chunk
        if not self._receiver.complete:
            raise BrokenOffError("the answer broke off")
        self._proven = True

    def close(self) -> None:
        """End the exchange; only a connection that is surely idle is kept."""
        if self._proven and self._reader is not None and self._reader.done():
            self._pool.give_back(self._address, self._stream)
            return
        self._stream.close()
        if self._reader is not None:
            self._reader.cancel()

    async def _read(self, connection: HTTP1Connection) -> None:
        receiver = self._receiver
        try:
            await connection.read_response(receiver)
        except (StreamClosedError, HTTPInputError, ValueError):
            receiver.complete = False
        finally:
            if not receiver.head.done():
                receiver.head.set_exception(
                    BrokenOffError("the connection closed before an answer")
                )
                # The exception may have nobody who waits for it any more.
                receiver.head.exception()
            # A cancelled reader has no consumer left to wait for.
            with contextlib.suppress(asyncio.CancelledError):
                await receiver.chunks.put(None)


@attrs.frozen
class _Idle:
    stream: IOStream
    since: float


@final
class ConnectionPool(Connector):
    """Opens connections to endpoints and keeps proven ones for a short while."""

    def __init__(self, clock: Clock, connect_timeout_s: float) -> None:
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._client = TCPClient()
        self._idle: dict[Address, collections.deque[_Idle]] = {}

    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        """Return an exchange on a new connection, or on a proven one."""
        kept = None if fresh else self._take(address)
        if kept is not None:
            return HttpExchange(kept, self, address, reused=True)
        try:
            stream = await self._client.connect(
                address.host, address.port, timeout=self._connect_timeout_s
            )
        except (OSError, StreamClosedError, TimeoutError) as error:
            raise ConnectError(f"{address}: {error}") from error
        stream.set_nodelay(True)
        return HttpExchange(stream, self, address, reused=False)

    def give_back(self, address: Address, stream: IOStream) -> None:
        """Keep a connection whose last exchange ended whole."""
        if stream.closed():
            return
        idle = self._idle.setdefault(address, collections.deque())
        if len(idle) >= _IDLE_KEPT_PER_ADDRESS:
            stream.close()
            return
        # With a callback the stream notices that the far end closed it.
        stream.set_close_callback(_ignore)
        idle.append(_Idle(stream, self._clock.now()))

    def close(self) -> None:
        """Close the kept connections."""
        for idle in self._idle.values():
            for kept in idle:
                kept.stream.close()
        self._idle.clear()
        self._client.close()

    def _take(self, address: Address) -> IOStream | None:
        idle = self._idle.get(address)
        while idle:
            kept = idle.pop()
            if kept.stream.closed():
                continue
            if self._clock.now() - kept.since < _IDLE_KEPT_S:
                return kept.stream
            kept.stream.close()
        return None


def _ignore() -> None:
    """Do nothing; a closed stream is passed over when it is taken."""
