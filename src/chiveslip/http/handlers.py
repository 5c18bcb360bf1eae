"""Handlers of callers' requests: take the request in, let its pipeline answer it."""

from __future__ import annotations

import asyncio
import uuid
from typing import Any

import attrs
from tornado.web import RequestHandler
from tornado.web import stream_request_body

from chiveslip.dispatch.outcome import Trace
from chiveslip.dispatch.pipeline import CallPipeline
from chiveslip.dispatch.pipeline import PipelineTools
from chiveslip.dispatch.pipeline import Request
from chiveslip.dispatch.reply import CallerDisconnectedError
from chiveslip.generated import result_codes
from chiveslip.http.reply import RESULT_HEADER
from chiveslip.http.reply import TornadoReply
from chiveslip.http.reply import refusal_body
from chiveslip.http.traces import Traces
from chiveslip.metrics import Metrics
from chiveslip.results import Refusal

_DRAINED_BODIES = 8


@attrs.frozen(kw_only=True)
class CallerTools:
    """What the handlers of all callers' requests share."""

    pipeline: PipelineTools
    traces: Traces
    metrics: Metrics


@stream_request_body
class CallerHandler(RequestHandler):
    """Takes any request of a caller.

    The body is taken in parts, so that one over the limit is refused with a code
    and not kept.
    """

    def initialize(self, tools: CallerTools) -> None:
        """Take over the shared tools."""
        self._tools = tools
        self._limits = tools.pipeline.limits
        self._parts: list[bytes] = []
        self._size = 0
        self._running: asyncio.Task[None] | None = None
        self._runs_on = False
        self._is_counted = False
        self._result = result_codes.INTERNAL_ERROR

    def prepare(self) -> None:
        """Note the arrival before the body comes."""
        call_id = uuid.uuid4().hex
        self._arrived_at = self._tools.pipeline.clock.now()
        self._trace = Trace(request=call_id, started_at=self._arrived_at)
        self._reply = TornadoReply(
            self,
            call_id,
            slow_reader_s=self._limits.slow_reader,
            closes=lambda: self._tools.pipeline.admission.is_stopping,
        )
        self._tools.pipeline.admission.begin_request()
        # A body over the limit is drained up to a point, so that the refusal can
        # be read by a caller who is still sending.
        connection = self.request.connection
        if connection is not None and hasattr(connection, "set_max_body_size"):
            connection.set_max_body_size(self._limits.body * _DRAINED_BODIES)

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._size += len(chunk)
        if self._size <= self._limits.body:
            self._parts.append(chunk)
        else:
            self._parts.clear()

    async def get(self) -> None:
        """Serve the request, whatever its method."""
        # Closing the connection must be able to stop the call.
        self._running = asyncio.create_task(self._serve())
        await asyncio.wait([self._running])
        if not self._running.cancelled():
            self._running.result()

    post = put = patch = delete = head = options = get

    def on_connection_close(self) -> None:
        """Stop a call whose caller left, unless it may not be repeated."""
        if self._running is None:
            # The caller left while it was still sending.
            self._count()
        elif not self._runs_on:
            self._running.cancel()

    def write_error(self, status_code: int, **_kwargs: Any) -> None:
        """Answer what Tornado itself refuses, such as an unknown method."""
        refusal = Refusal(
            code=result_codes.BAD_METHOD
            if status_code == 405
            else result_codes.BAD_HTTP,
            detail="The request cannot be served in this form.",
        )
        self.set_header("Content-Type", "application/json")
        self.set_header(RESULT_HEADER, str(refusal.code.code))
        self.finish(refusal_body(refusal, ""))

    def _count(self) -> None:
        """Count the answer, once, however the connection ended."""
        if self._is_counted:
            return
        self._is_counted = True
        now = self._tools.pipeline.clock.now()
        self._trace.record_result(now, self._result)
        self._tools.traces.add(self._trace)
        self._tools.metrics.answered(self._result.code, now - self._arrived_at)
        self._tools.pipeline.admission.end_request()

    def log_exception(self, *_args: Any) -> None:
        """Say nothing here; faults are logged where they are answered."""

    async def _serve(self) -> None:
        pipeline = CallPipeline(
            self._tools.pipeline,
            self._request(),
            self._reply,
            self._trace,
            self._run_on,
        )
        try:
            self._result = await pipeline.serve()
        except (CallerDisconnectedError, asyncio.CancelledError):
            self._result = result_codes.CALLER_GONE
            self._reply.abort()
        finally:
            self._count()

    def _request(self) -> Request:
        whole = self._size <= self._limits.body
        return Request(
            id=self._trace.request,
            method=self.request.method or "GET",
            uri=self.request.uri or "/",
            headers={n.lower(): v for n, v in self.request.headers.get_all()},
            body=b"".join(self._parts) if whole else None,
            arrived_at=self._arrived_at,
        )

    def _run_on(self) -> None:
        self._runs_on = True
