"""Serves callers' connections: reads whole requests and writes answers.

Uses Tornado's HTTP connections without its web handlers, so that a streamed event costs
one write and any path is accepted unchanged, and without its server, so that what each
connection holds is counted (docs/design/caller-budget.md).
"""

from __future__ import annotations

import asyncio
import collections
import http
import socket
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import final

import attrs
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.http1connection import HTTP1ServerConnection
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import add_accept_handler
from tornado.netutil import bind_sockets

from chiveslip.clock import Clock
from chiveslip.clock import SystemClock
from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.gateway.caller_budget import CallerLimits
from chiveslip.gateway.caller_budget import Stage
from chiveslip.gateway.caller_budget import choose_closed
from chiveslip.gateway.caller_budget import find_overdue
from chiveslip.gateway.caller_log import CallerLog
from chiveslip.gateway.caller_stream import READ_BYTES
from chiveslip.gateway.caller_stream import CallerStream
from chiveslip.gateway.lingering import LingeringSockets
from chiveslip.gateway.reply import CallerDisconnectedError
from chiveslip.gateway.reply import Reply
from chiveslip.gateway.turns import Turns
from chiveslip.tasks import TaskSet

_BACKLOG = 1024
# Interval of the checks for connections that are overdue.
_CHECK_S = 0.25
# Closed together when there are too many, as finding them takes a look at each.
_CLOSED_TOGETHER = 16
# The budget refuses larger ones, with a status that says so.
_UNBOUNDED_BYTES = 1 << 62


@attrs.frozen(kw_only=True)
class IngressRequest:
    """A caller's complete request.

    Attributes
    ----------
    target
        Path and query as sent.
    """

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes

    @property
    def host(self) -> str:
        """Requested host name in lower case, without a port."""
        return self.headers.get("Host", "").partition(":")[0].lower()

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


# Their answers end with the head, whatever its headers say (RFC 9110, 6.4.1).
_STATUSES_WITHOUT_BODY = frozenset(
    {http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED}
)


@final
class IngressReply(Reply):
    """Writes one answer to a caller's connection.

    Parameters
    ----------
    method
        Method of the request: an answer to HEAD has no body.
    """

    def __init__(
        self, connection: HTTP1Connection, method: str, *, closes_connection: bool
    ) -> None:
        self._connection = connection
        self._method = method
        self._closes_connection = closes_connection
        self._has_started = False
        self._has_ended = False
        self._status = 0

    @property
    def status(self) -> int:
        """Status of the answer, or 0 before its head was written."""
        return self._status

    @property
    def has_started(self) -> bool:
        """Whether the head of the answer was written."""
        return self._has_started

    async def respond(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Write a complete answer."""
        has_body = self._has_body(status)
        # For HEAD, the length that the body would have is given if it is known.
        if has_body or (body and status not in _STATUSES_WITHOUT_BODY):
            headers["Content-Length"] = str(len(body))
        self._write_head(status, headers, body if has_body else None)
        self.end()

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Write the head of an answer whose body is written in parts."""
        # Tornado resets this after each answer; small events must not be delayed.
        self._connection.stream.set_nodelay(True)
        self._write_head(status, headers, None)

    async def write(self, chunk: bytes) -> None:
        """Write a part of the body and wait until it is flushed to the connection.

        Raises
        ------
        CallerDisconnectedError
            If the caller closed the connection.
        """
        if not self._has_body(self._status):
            return
        try:
            await self._connection.write(chunk)
        except StreamClosedError as error:
            raise CallerDisconnectedError from error

    def end(self) -> None:
        """Finish the answer, so that the caller sees it as complete."""
        self._has_ended = True
        stream = self._connection.stream
        self._connection.finish()
        if isinstance(stream, CallerStream):
            stream.end_answer()

    def abort(self) -> None:
        """Close the connection, so that a truncated answer does not look complete."""
        if self._has_ended:
            return
        self._has_ended = True
        self._connection.set_close_callback(None)
        self._connection.stream.close()

    def _has_body(self, status: int) -> bool:
        return self._method != "HEAD" and status not in _STATUSES_WITHOUT_BODY

    def _write_head(
        self, status: int, headers: HTTPHeaders, body: bytes | None
    ) -> None:
        self._has_started = True
        self._status = status
        if self._closes_connection:
            headers["Connection"] = "close"
        try:
            reason = http.HTTPStatus(status).phrase
        except ValueError:
            reason = "Unknown"
        line = ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(line, headers, body)


Handler = Callable[[IngressRequest, IngressReply], Awaitable[None]]


@final
class _RequestReader(HTTPMessageDelegate):
    """Reads one request and cancels its handler when the caller disconnects."""

    def __init__(
        self, ingress: Ingress, connection: HTTP1Connection, stream: CallerStream
    ) -> None:
        self._ingress = ingress
        self._connection = connection
        self._stream = stream
        self._start_line: RequestStartLine | None = None
        self._headers = HTTPHeaders()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        if isinstance(start_line, RequestStartLine):
            self._start_line = start_line
        self._headers = headers
        length = headers.get("Content-Length", "")
        # An invalid length is refused by Tornado after this.
        is_valid = length.isascii() and length.isdigit()
        self._stream.end_head(int(length) if is_valid else 0)

    def data_received(self, chunk: bytes) -> None:
        self._stream.add_body(chunk)

    def finish(self) -> None:
        body = self._stream.end_body()
        if self._start_line is None or body is None:
            return
        request = IngressRequest(
            method=self._start_line.method,
            target=self._start_line.path,
            headers=self._headers,
            body=body,
        )
        task = self._ingress.start_handler(request, self._connection)
        self._connection.set_close_callback(lambda: _cancel(task))


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


@final
class Ingress(HTTPServerConnectionDelegate):
    """HTTP server for callers.

    Parameters
    ----------
    handler
        Answers one request; cancelled when its caller disconnects.
    limits
        Limits of callers' connections.
    held
        Bounds the bytes that connections hold, together with others of the process.

    Attributes
    ----------
    closes_connections
        Whether connections are closed after their next answer.
    """

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits,
        held: HeldBytes,
        clock: Clock | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._held = held
        self._clock = clock or SystemClock()
        self._log = CallerLog(self._clock)
        self._tasks = TaskSet("ingress")
        self._lingering = LingeringSockets(self._clock)
        self._turns = Turns(self._tasks)
        self._running_requests = 0
        self.closes_connections = False
        self._sockets: list[socket.socket] = []
        self._stop_accepting: list[Callable[[], None]] = []
        self._connections: dict[HTTP1ServerConnection, CallerStream] = {}
        self._parameters = HTTP1ConnectionParameters(
            chunk_size=READ_BYTES,
            max_header_size=limits.head_bytes,
            max_body_size=_UNBOUNDED_BYTES,
        )

    @property
    def running_requests(self) -> int:
        """Number of requests that are being answered."""
        return self._running_requests

    def count_connections(self) -> dict[Stage, int]:
        """Return the number of connections by what they are doing."""
        return collections.Counter(
            stream.state.stage for stream in self._connections.values()
        )

    def take_given_up(self) -> dict[str, int]:
        """Return how many callers were given up since the last call, by kind."""
        return self._log.take_given_up()

    def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        for bound in bind_sockets(port, host, backlog=_BACKLOG):
            self._sockets.append(bound)
            self._stop_accepting.append(add_accept_handler(bound, self._accept))
        self._tasks.start_lasting("checks of callers' connections", self._check)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        stream = request_conn.stream
        assert isinstance(stream, CallerStream)
        stream.begin_request()
        return _RequestReader(self, request_conn, stream)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        stream = self._connections.pop(server_conn, None)
        if stream is not None:
            stream.close()

    def start_handler(
        self, request: IngressRequest, connection: HTTP1Connection
    ) -> asyncio.Task[None]:
        """Start a task that answers a request."""
        reply = IngressReply(
            connection, request.method, closes_connection=self.closes_connections
        )
        return self._tasks.start(self._run_handler(request, reply))

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        for stop in self._stop_accepting:
            stop()
        for bound in self._sockets:
            bound.close()
        self._stop_accepting.clear()
        self._sockets.clear()
        await self._tasks.close()
        while self._connections:
            await next(iter(self._connections)).close()
        self._lingering.close()

    def _accept(self, connection: socket.socket, address: Any) -> None:
        """Serve a connection, in place of others if there are too many."""
        if len(self._connections) >= self._limits.connections:
            self._close_some()
        if len(self._connections) >= self._limits.connections:
            self._log.record("too many connections", address[0])
            connection.close()
            return
        stream = CallerStream(
            connection,
            address[0],
            self._limits,
            self._held,
            self._turns,
            self._log,
            self._lingering,
            self._clock,
        )
        server_connection = HTTP1ServerConnection(stream, self._parameters, address[0])
        self._connections[server_connection] = stream
        server_connection.start_serving(self)

    def _close_some(self) -> None:
        states = [(key, stream.state) for key, stream in self._connections.items()]
        for key in choose_closed(states, self._clock.now(), _CLOSED_TOGETHER):
            # Its serving loop ends in a later iteration of the event loop.
            self._connections.pop(key).drop("too many connections")

    async def _check(self) -> None:
        """Give up connections that are overdue."""
        while True:
            await asyncio.sleep(_CHECK_S)
            now = self._clock.now()
            for stream in list(self._connections.values()):
                overdue = find_overdue(stream.state, self._limits, now)
                if overdue is None:
                    continue
                if overdue.status is not None:
                    stream.refuse(overdue.kind, overdue.status)
                elif stream.state.stage is Stage.IDLE:
                    stream.close()
                else:
                    stream.drop(overdue.kind)
            self._lingering.close_old()
            self._log.write()

    async def _run_handler(self, request: IngressRequest, reply: IngressReply) -> None:
        self._running_requests += 1
        try:
            await self._handler(request, reply)
        except (CallerDisconnectedError, StreamClosedError):
            reply.abort()
        except Exception:
            # The caller learns sooner than by a closed connection that it failed.
            if not reply.has_started:
                await reply.respond(500, HTTPHeaders(), b"")
            reply.abort()
            raise
        except BaseException:
            reply.abort()
            raise
        finally:
            self._running_requests -= 1
