"""The caller's connection as the dispatch part sees it."""

from __future__ import annotations

import asyncio
from typing import final

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from chiveslip.dispatch.reply import CallerGoneError
from chiveslip.dispatch.reply import Reply


@final
class TornadoReply(Reply):
    """Writes an answer through a Tornado handler, with flow control.

    Parameters
    ----------
    slow_reader_s
        A caller that takes nothing for this time in seconds is given up on.
    """

    def __init__(self, handler: RequestHandler, slow_reader_s: float) -> None:
        self._handler = handler
        self._slow_reader_s = slow_reader_s
        self._started = False
        self._finished = False

    @property
    def started(self) -> bool:
        """Whether a byte of an answer has gone to the caller."""
        return self._started

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Prepare the answer's head, which goes out with the first part."""
        self._handler.set_status(status)
        for name, value in headers.items():
            self._handler.set_header(name, value)
        if headers.get("Content-Type") == "text/event-stream":
            self._handler.set_header("Cache-Control", "no-store")
            await self._flush()

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body, and wait until the connection takes it."""
        self._handler.write(chunk)
        if self._started:
            await self._flush()

    async def finish(self) -> None:
        """End the answer."""
        self._started = True
        self._finished = True
        try:
            async with asyncio.timeout(self._slow_reader_s):
                await self._handler.finish()
        except (StreamClosedError, TimeoutError) as error:
            raise CallerGoneError("the caller left before the end") from error

    async def _flush(self) -> None:
        self._started = True
        try:
            async with asyncio.timeout(self._slow_reader_s):
                await self._handler.flush()
        except (StreamClosedError, TimeoutError) as error:
            raise CallerGoneError("the caller takes no more") from error
