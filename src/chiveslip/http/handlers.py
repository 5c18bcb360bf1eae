"""Handlers of callers' requests: receive a request and pass it to a pipeline."""

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
from chiveslip.http.traces import TraceBuffer
from chiveslip.metrics import Metrics
from chiveslip.results import Refusal

_MAX_DISCARD_FACTOR = 8


@attrs.frozen(kw_only=True)
class CallerTools:
    """Objects that the handlers of all callers' requests share."""

    pipeline: PipelineTools
    traces: TraceBuffer
    metrics: Metrics


@stream_request_body
class CallerHandler(RequestHandler):
    """Serves any request of a caller.

    The body is received in chunks, so that one over the limit is refused with a
    result code and not kept in memory.
    """

    def initialize(self, tools: CallerTools) -> None:
        """Store the shared objects; called by Tornado."""
        self._tools = tools
        self._limits = tools.pipeline.limits
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._serving: asyncio.Task[None] | None = None
        self._continues_without_caller = False
        self._is_recorded = False
        self._result = result_codes.INTERNAL_ERROR

    def prepare(self) -> None:
        """Register the call before its body is received."""
        call_id = uuid.uuid4().hex
        self._arrived_at = self._tools.pipeline.clock.now()
        self._trace = Trace(request=call_id, started_at=self._arrived_at)
        self._reply = TornadoReply(
            self,
            call_id,
            slow_reader_s=self._limits.slow_reader,
            should_close=lambda: self._tools.pipeline.admission.is_stopping,
        )
        self._tools.pipeline.admission.begin_request()
        # A body over the limit is read and discarded up to a multiple of the limit,
        # so that a caller that is still sending can read the refusal.
        connection = self.request.connection
        if connection is not None and hasattr(connection, "set_max_body_size"):
            connection.set_max_body_size(self._limits.body * _MAX_DISCARD_FACTOR)

    def data_received(self, chunk: bytes) -> None:
        """Receive a chunk of the body."""
        self._body_bytes += len(chunk)
        if self._body_bytes <= self._limits.body:
            self._chunks.append(chunk)
        else:
            self._chunks.clear()

    async def get(self) -> None:
        """Serve the request, whatever its method."""
        # Runs as a task so that on_connection_close can cancel it.
        self._serving = asyncio.create_task(self._serve())
        await asyncio.wait([self._serving])
        if not self._serving.cancelled():
            self._serving.result()

    post = put = patch = delete = head = options = get

    def on_connection_close(self) -> None:
        """Cancel a call whose caller disconnected, unless it has to run to its end."""
        if self._serving is None:
            # The caller disconnected while it was still sending.
            self._record_result()
        elif not self._continues_without_caller:
            self._serving.cancel()

    def write_error(self, status_code: int, **_kwargs: Any) -> None:
        """Answer a request that Tornado itself refuses, such as an unknown method."""
        refusal = Refusal(
            code=result_codes.BAD_METHOD
            if status_code == 405
            else result_codes.BAD_HTTP,
            detail="The request is not valid HTTP, or its method is not supported.",
        )
        self.set_header("Content-Type", "application/json")
        self.set_header(RESULT_HEADER, str(refusal.code.code))
        self.finish(refusal_body(refusal, ""))

    def _record_result(self) -> None:
        """Record the result once, however the connection ended."""
        if self._is_recorded:
            return
        self._is_recorded = True
        now = self._tools.pipeline.clock.now()
        self._trace.record_result(now, self._result)
        self._tools.traces.add(self._trace)
        self._tools.metrics.record_answer(self._result.code, now - self._arrived_at)
        self._tools.pipeline.admission.end_request()

    def log_exception(self, *_args: Any) -> None:
        """Log nothing; errors are logged where they are answered."""

    async def _serve(self) -> None:
        pipeline = CallPipeline(
            self._tools.pipeline,
            self._build_request(),
            self._reply,
            self._trace,
            self._continue_without_caller,
        )
        try:
            self._result = await pipeline.serve()
        except (CallerDisconnectedError, asyncio.CancelledError):
            self._result = result_codes.CALLER_GONE
            self._reply.abort()
        finally:
            self._record_result()

    def _build_request(self) -> Request:
        is_within_limit = self._body_bytes <= self._limits.body
        return Request(
            id=self._trace.request,
            method=self.request.method or "GET",
            uri=self.request.uri or "/",
            headers={n.lower(): v for n, v in self.request.headers.get_all()},
            body=b"".join(self._chunks) if is_within_limit else None,
            arrived_at=self._arrived_at,
        )

    def _continue_without_caller(self) -> None:
        self._continues_without_caller = True
