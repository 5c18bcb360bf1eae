"""Responses of the stand-ins that have no length and end wrongly."""

from __future__ import annotations

import asyncio
import enum
import http
import random
from typing import final

from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from standins.common import reset_on_close

_ENDLESS_INTERVAL_S = 0.1
# About 50 MB a second.
_FAST_PART = b"x" * (256 << 10)
_FAST_INTERVAL_S = 0.005


class ResponseFault(enum.Enum):
    """How a response without length or chunks ends."""

    WHOLE = "whole"
    CLOSED = "closed"
    """Closed at a random byte, of a stream within an event."""
    RESET = "reset"
    """Reset at a random byte."""
    ENDLESS = "endless"
    """Followed by a byte now and then."""
    ENDLESS_HEAD = "endless head"
    """A line of the head now and then."""


@final
class ResponseFaults:
    """Draws how the responses of one stand-in end.

    Attributes
    ----------
    share
        Share of the responses that have no length.
    """

    def __init__(self, seed: str) -> None:
        self.share = 0.0
        self._random = random.Random(seed)

    def draw(self) -> ResponseFault | None:
        """Return the fault of the next response, or None if it is as usual."""
        if self._random.random() >= self.share:
            return None
        return self._random.choice(list(ResponseFault))

    async def send(
        self,
        handler: RequestHandler,
        headers: dict[str, str],
        body: bytes,
        fault: ResponseFault,
    ) -> None:
        """Send a response over the connection of a handler, and end it."""
        status = handler.get_status()
        head = f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}\r\n"
        head += "".join(f"{n}: {v}\r\n" for n, v in HTTPHeaders(headers).get_all())
        stream = handler.detach()
        try:
            await self._send_bytes(stream, head.encode(), body, fault)
        except StreamClosedError:
            return
        finally:
            stream.close()

    async def send_endless_failure(
        self, handler: RequestHandler, headers: dict[str, str]
    ) -> None:
        """Send a failure whose body does not end, as fast as a link allows."""
        head = "HTTP/1.1 500 Internal Server Error\r\n"
        head += "".join(f"{n}: {v}\r\n" for n, v in HTTPHeaders(headers).get_all())
        stream = handler.detach()
        try:
            await stream.write(f"{head}\r\n".encode())
            while True:
                await stream.write(_FAST_PART)
                await asyncio.sleep(_FAST_INTERVAL_S)
        except StreamClosedError:
            return
        finally:
            stream.close()

    async def _send_bytes(
        self, stream: IOStream, head: bytes, body: bytes, fault: ResponseFault
    ) -> None:
        while fault is ResponseFault.ENDLESS_HEAD:
            await stream.write(head)
            head = b"X-Further: 1\r\n"
            await asyncio.sleep(_ENDLESS_INTERVAL_S)
        if fault in (ResponseFault.CLOSED, ResponseFault.RESET):
            body = body[: self._random.randrange(len(body))]
        if fault is ResponseFault.CLOSED and body.endswith(b"\n\n"):
            # Closed after a whole event, a stream without length is whole.
            body = body[:-1]
        await stream.write(head + b"\r\n" + body)
        while fault is ResponseFault.ENDLESS:
            await asyncio.sleep(_ENDLESS_INTERVAL_S)
            await stream.write(b" ")
        if fault is ResponseFault.RESET:
            reset_on_close(stream.socket)
