"""Answers to callers, written through Tornado."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from typing import final

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from chiveslip.dispatch.reply import CallerDisconnectedError
from chiveslip.dispatch.reply import Reply
from chiveslip.generated import result_codes
from chiveslip.results import Refusal

RESULT_HEADER = "X-Result-Code"
CALL_ID_HEADER = "X-Call-Id"
_EVENT_STREAM = "text/event-stream"


@final
class TornadoReply(Reply):
    """Writes an answer through a Tornado handler, with flow control.

    Parameters
    ----------
    slow_reader_s
        Maximum time in seconds for the connection to accept a write; a caller that
        reads more slowly counts as disconnected.
    should_close
        Returns whether the connection is to be closed after the answer.
    """

    def __init__(
        self,
        handler: RequestHandler,
        call_id: str,
        *,
        slow_reader_s: float,
        should_close: Callable[[], bool],
    ) -> None:
        self._handler = handler
        self._call_id = call_id
        self._slow_reader_s = slow_reader_s
        self._should_close = should_close
        self._started = False
        self._finished = False
        self._is_event_stream = False

    @property
    def started(self) -> bool:
        """Whether any byte of an answer was sent to the caller."""
        return self._started

    @property
    def finished(self) -> bool:
        """Whether the answer was sent to its end."""
        return self._finished

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Prepare the answer's head.

        The head of an event stream is sent at once; any other answer is buffered
        until `finish`.
        """
        self._set_head(status, result_codes.OK.code, headers)
        if headers.get("Content-Type") == _EVENT_STREAM:
            self._is_event_stream = True
            self._handler.set_header("Cache-Control", "no-store")
            await self._flush()

    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the body.

        A chunk of an event stream is sent, which waits until the connection accepts
        it; any other answer is buffered until `finish`.
        """
        self._handler.write(chunk)
        if self._started:
            await self._flush()

    async def finish(self) -> None:
        """End the answer."""
        self._started = True
        try:
            async with asyncio.timeout(self._slow_reader_s):
                self._finished = True
                await self._handler.finish()
        except (StreamClosedError, TimeoutError) as error:
            raise CallerDisconnectedError(
                "The caller disconnected before the end of the answer."
            ) from error

    async def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal, or interrupt an answer that was started.

        An interrupted event stream gets an error event first.
        """
        content = refusal_body(refusal, self._call_id)
        if self._started:
            if self._is_event_stream:
                await self.write(b"event: error\ndata: " + content + b"\n\n")
            # Closing before the end of the body marks the answer as incomplete.
            self.abort()
            return
        headers = {"Content-Type": "application/json"}
        wait_s = refusal.advised_retry_after_s
        if wait_s is not None:
            # Whole seconds, rounded up, since an earlier retry would be refused again.
            headers["Retry-After"] = str(max(math.ceil(wait_s), 1))
        self._set_head(refusal.code.status, refusal.code.code, headers)
        self._handler.write(content)
        await self.finish()

    def abort(self) -> None:
        """Close the connection without ending the answer."""
        stream = getattr(self._handler.request.connection, "stream", None)
        if stream is not None:
            stream.close()

    def _set_head(self, status: int, code: int, headers: dict[str, str]) -> None:
        self._handler.clear()
        self._handler.clear_header("Server")
        self._handler.set_status(status)
        self._handler.set_header(RESULT_HEADER, str(code))
        self._handler.set_header(CALL_ID_HEADER, self._call_id)
        for name, value in headers.items():
            self._handler.set_header(name, value)
        if self._should_close():
            self._handler.set_header("Connection", "close")

    async def _flush(self) -> None:
        self._started = True
        try:
            async with asyncio.timeout(self._slow_reader_s):
                await self._handler.flush()
        except (StreamClosedError, TimeoutError) as error:
            raise CallerDisconnectedError(
                "The caller disconnected or stopped reading the answer."
            ) from error


def refusal_body(refusal: Refusal, call_id: str) -> bytes:
    """Return the JSON body of a refusal in UTF-8.

    Parameters
    ----------
    call_id
        Id of the call, or an empty text if it has none.
    """
    code = refusal.code
    error = {
        "code": code.code,
        "name": code.name,
        "message": refusal.detail,
        "run": code.run.value,
        "may_repeat": code.may_repeat,
        "retry_after_s": refusal.advised_retry_after_s,
        "call": call_id,
    }
    return json.dumps({"error": error}).encode()
