"""Serves callers' connections: reads whole requests and writes answers.

Uses Tornado's HTTP server without its web handlers, so that a streamed event costs
one write and any path is accepted unchanged.
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

from chiveslip.gateway.reply import CallerDisconnectedError
from chiveslip.gateway.reply import Reply
from chiveslip.tasks import TaskSet


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
        self._connection.finish()

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

    def __init__(self, ingress: Ingress, connection: HTTP1Connection) -> None:
        self._ingress = ingress
        self._connection = connection
        self._start_line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        if isinstance(start_line, RequestStartLine):
            self._start_line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        if self._start_line is None:
            return
        request = IngressRequest(
            method=self._start_line.method,
            target=self._start_line.path,
            headers=self._headers,
            body=b"".join(self._chunks),
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
    max_body_bytes, max_head_bytes
        Maximum size of a request's body and of its headers, in bytes.

    Attributes
    ----------
    closes_connections
        Whether connections are closed after their next answer.
    """

    def __init__(
        self, handler: Handler, *, max_body_bytes: int, max_head_bytes: int
    ) -> None:
        self._handler = handler
        self._tasks = TaskSet("ingress")
        self._running_requests = 0
        self.closes_connections = False
        self._server = HTTPServer(
            self,
            max_body_size=max_body_bytes,
            max_header_size=max_head_bytes,
        )

    @property
    def running_requests(self) -> int:
        """Number of requests that are being answered."""
        return self._running_requests

    def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        self._server.listen(port, host, backlog=1024)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        return _RequestReader(self, request_conn)

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
        self._server.stop()
        await self._tasks.close()
        await self._server.close_all_connections()

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
