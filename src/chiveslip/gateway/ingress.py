"""Callers' connections: takes requests in whole and writes answers.

Built on Tornado's HTTP server below its handlers, so that a streamed event costs one
write and any path is taken as it came.
"""

from __future__ import annotations

import asyncio
import http
from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

import attrs
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from chiveslip.tasks import TaskSet


class CallerLeftError(Exception):
    """The caller's connection is closed; nothing more can be written."""


@attrs.frozen(kw_only=True)
class IngressRequest:
    """A caller's request, taken in whole."""

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes

    @property
    def host(self) -> str:
        """Name of the host asked for, without a port."""
        return self.headers.get("Host", "").partition(":")[0].lower()

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


@final
class IngressReply:
    """Writes one answer to a caller."""

    def __init__(self, connection: HTTP1Connection, *, closes: bool) -> None:
        self._connection = connection
        self._closes = closes
        self._started = False
        self._ended = False
        self._status = 0

    @property
    def status(self) -> int:
        """Status that was written, or 0."""
        return self._status

    @property
    def started(self) -> bool:
        """Whether the head of an answer was written."""
        return self._started

    async def respond(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Write a whole answer."""
        headers["Content-Length"] = str(len(body))
        self._start(status, headers, body)
        self.end()

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Write the head of an answer whose body follows in parts."""
        # Tornado turns this off after each answer; small events must not wait.
        self._connection.stream.set_nodelay(True)
        self._start(status, headers, None)

    async def write(self, chunk: bytes) -> None:
        """Write a part of the body; waits while the caller takes nothing."""
        try:
            await self._connection.write(chunk)
        except StreamClosedError as error:
            raise CallerLeftError from error

    def end(self) -> None:
        """End the answer in its proper form."""
        self._ended = True
        self._connection.finish()

    def break_off(self) -> None:
        """Close the connection, so that a cut answer does not look whole."""
        if self._ended:
            return
        self._ended = True
        self._connection.set_close_callback(None)
        self._connection.stream.close()

    def _start(self, status: int, headers: HTTPHeaders, body: bytes | None) -> None:
        self._started = True
        self._status = status
        if self._closes:
            headers["Connection"] = "close"
        try:
            reason = http.HTTPStatus(status).phrase
        except ValueError:
            reason = "Unknown"
        line = ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(line, headers, body)


Handler = Callable[[IngressRequest, IngressReply], Awaitable[None]]


@final
class _Receiver(HTTPMessageDelegate):
    """Takes one request in, and ends its work when the caller leaves."""

    def __init__(self, ingress: Ingress, connection: HTTP1Connection) -> None:
        self._ingress = ingress
        self._connection = connection
        self._start: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._parts: list[bytes] = []

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        if isinstance(start_line, RequestStartLine):
            self._start = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        self._parts.append(chunk)

    def finish(self) -> None:
        if self._start is None:
            return
        request = IngressRequest(
            method=self._start.method,
            target=self._start.path,
            headers=self._headers,
            body=b"".join(self._parts),
        )
        task = self._ingress.take(request, self._connection)
        self._connection.set_close_callback(lambda: _cancel(task))


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


@final
class Ingress(HTTPServerConnectionDelegate):
    """The listening socket for callers.

    Parameters
    ----------
    handler
        Answers one request; cancelled when its caller leaves.
    """

    def __init__(self, handler: Handler, *, body_bytes: int, head_bytes: int) -> None:
        self._handler = handler
        self._tasks = TaskSet("ingress")
        self._running = 0
        self.closing = False
        self._server = HTTPServer(
            self,
            max_body_size=body_bytes,
            max_header_size=head_bytes,
        )

    @property
    def running(self) -> int:
        """Requests that are being answered."""
        return self._running

    def listen(self, host: str, port: int) -> None:
        """Take connections from now on."""
        self._server.listen(port, host, backlog=1024)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        return _Receiver(self, request_conn)

    def take(
        self, request: IngressRequest, connection: HTTP1Connection
    ) -> asyncio.Task[None]:
        """Answer a request in a task of its own."""
        reply = IngressReply(connection, closes=self.closing)
        return self._tasks.start(self._answer(request, reply))

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        self._server.stop()
        await self._tasks.close()
        await self._server.close_all_connections()

    async def _answer(self, request: IngressRequest, reply: IngressReply) -> None:
        self._running += 1
        try:
            await self._handler(request, reply)
        except (CallerLeftError, StreamClosedError):
            reply.break_off()
        except BaseException:
            reply.break_off()
            raise
        finally:
            self._running -= 1
