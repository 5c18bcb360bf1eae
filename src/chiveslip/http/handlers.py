"""Handlers of callers' requests: admit, hand to dispatch, answer."""

from __future__ import annotations

import asyncio
import json
import uuid
from typing import Any

import attrs
from returns.result import Failure
from tornado.web import RequestHandler
from tornado.web import stream_request_body

from chiveslip import auth
from chiveslip import logs
from chiveslip.auth import Caller
from chiveslip.clock import Clock
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.model import Route
from chiveslip.dispatch import completion as completions
from chiveslip.dispatch.engine_calls import EngineCall
from chiveslip.dispatch.engine_calls import EngineCallTools
from chiveslip.dispatch.outcome import FailedError
from chiveslip.dispatch.outcome import Trace
from chiveslip.dispatch.outcome import failed
from chiveslip.dispatch.reply import Call
from chiveslip.dispatch.reply import CallerGoneError
from chiveslip.dispatch.service_calls import ServiceCall
from chiveslip.dispatch.service_calls import ServiceCallTools
from chiveslip.generated import result_codes
from chiveslip.generated.settings import LimitsSettings
from chiveslip.http.admission import Admission
from chiveslip.http.reply import TornadoReply
from chiveslip.http.traces import Traces
from chiveslip.metrics import Metrics
from chiveslip.results import Refusal
from chiveslip.services.dialect import IDEMPOTENCY_HEADER

DEADLINE_HEADER = "X-Deadline-Seconds"
RESULT_HEADER = "X-Result-Code"
CALL_ID_HEADER = "X-Call-Id"
_DRAINED_BODIES = 8
_LONGEST_ONCE_KEY = 255


@attrs.frozen(kw_only=True)
class CallerTools:
    """What the handlers of all callers' requests share."""

    clock: Clock
    limits: LimitsSettings
    engine_calls: EngineCallTools
    service_calls: ServiceCallTools
    admission: Admission
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
        self._logger = logs.get_logger("http")
        self._parts: list[bytes] = []
        self._size = 0
        self._running: asyncio.Task[None] | None = None
        self._shielded = False
        self._answered = result_codes.OK

    def prepare(self) -> None:
        """Note the arrival before the body comes."""
        self._arrived_at = self._tools.clock.now()
        self._call_id = uuid.uuid4().hex
        self._trace = Trace(request=self._call_id, started_at=self._arrived_at)
        self._reply = TornadoReply(self, self._tools.limits.slow_reader)
        self._tools.admission.arrived()
        self.set_header(CALL_ID_HEADER, self._call_id)
        self.clear_header("Server")
        # A body over the limit is drained up to a point, so that the refusal can
        # be read by a caller who is still sending.
        connection = self.request.connection
        if connection is not None and hasattr(connection, "set_max_body_size"):
            connection.set_max_body_size(self._tools.limits.body * _DRAINED_BODIES)

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._size += len(chunk)
        if self._size <= self._tools.limits.body:
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
        if self._running is not None and not self._shielded:
            self._running.cancel()

    def on_finish(self) -> None:
        """Count the answer."""
        now = self._tools.clock.now()
        self._trace.ended(now, self._answered)
        self._tools.traces.add(self._trace)
        self._tools.metrics.answered(self._answered.code, now - self._arrived_at)
        self._tools.admission.left()

    def log_exception(self, *_args: Any) -> None:
        """Say nothing here; faults are logged where they are answered."""

    async def _serve(self) -> None:
        try:
            await self._run()
        except FailedError as error:
            await self._refuse(error.refusal)
        except CallerGoneError:
            self._abort()
        except Exception:
            self._logger.exception("A call failed by a fault of the instance.")
            detail = "The instance failed; its log has the cause."
            code = result_codes.INTERNAL_ERROR
            await self._refuse(Refusal(code=code, detail=detail))

    async def _run(self) -> None:
        if self._size > self._tools.limits.body:
            detail = f"The body is over {self._tools.limits.body} bytes."
            raise failed(result_codes.BODY_TOO_LARGE, detail)
        configuration = self._tools.admission.admit()
        self._trace.step(self._tools.clock.now(), "admitted")
        self.set_header(RESULT_HEADER, str(result_codes.OK.code))
        if self.request.path in completions.PATHS:
            await self._run_completion(configuration)
            return
        await self._run_service(configuration)

    async def _run_completion(self, configuration: Configuration) -> None:
        if self.request.method != "POST":
            raise failed(result_codes.BAD_METHOD, "Completions take POST.")
        caller = self._authenticate(configuration)
        body = b"".join(self._parts)
        read = completions.read_completion(self.request.path, body)
        if isinstance(read, Failure):
            raise FailedError(read.failure())
        call = EngineCall(
            self._tools.engine_calls,
            self._call(body),
            caller,
            read.unwrap(),
            self._reply,
            self._trace,
        )
        await call.run()

    async def _run_service(self, configuration: Configuration) -> None:
        route = configuration.route(self.request.path)
        if route is None:
            raise failed(result_codes.NO_ROUTE, f"No route has {self.request.path}.")
        if self.request.method not in route.methods:
            allowed = ", ".join(route.methods)
            raise failed(result_codes.BAD_METHOD, f"The route takes {allowed}.")
        caller = None if route.open else self._authenticate(configuration)
        call = ServiceCall(
            self._tools.service_calls,
            self._call(b"".join(self._parts)),
            caller,
            route,
            self._once_key(route),
            self._reply,
            self._trace,
        )
        # A call that may not be repeated runs on for its record's sake.
        self._shielded = not route.idempotent
        await call.run()

    def _authenticate(self, configuration: Configuration) -> Caller:
        authorization = self.request.headers.get("Authorization")
        found = auth.authenticate(authorization, configuration)
        if isinstance(found, Failure):
            raise FailedError(found.failure())
        caller = found.unwrap()
        self._trace.organisation = caller.organisation.name
        self._refuse_exposed_key((authorization or "").split()[-1])
        return caller

    def _refuse_exposed_key(self, key: str) -> None:
        headers = [
            value
            for name, value in self.request.headers.get_all()
            if name.lower() != "authorization"
        ]
        exposed = key in (self.request.uri or "") or any(key in h for h in headers)
        if exposed or key.encode() in b"".join(self._parts):
            detail = "The key may stand only in the Authorization header."
            raise failed(result_codes.KEY_EXPOSED, detail)

    def _once_key(self, route: Route) -> str | None:
        key = self.request.headers.get(IDEMPOTENCY_HEADER)
        if key is None or route.idempotent:
            return None
        if not key or len(key) > _LONGEST_ONCE_KEY or not key.isprintable():
            detail = f"Send 1 to {_LONGEST_ONCE_KEY} printable characters."
            raise failed(result_codes.BAD_IDEMPOTENCY_KEY, detail)
        return key

    def _call(self, body: bytes) -> Call:
        return Call(
            id=self._call_id,
            method=self.request.method or "GET",
            path=self.request.uri or "/",
            headers=dict(self.request.headers.get_all()),
            body=body,
            deadline=self._arrived_at + self._deadline_s(),
        )

    def _deadline_s(self) -> float:
        limits = self._tools.limits
        text = self.request.headers.get(DEADLINE_HEADER)
        if text is None:
            return limits.default_deadline
        try:
            seconds = float(text)
        except ValueError:
            seconds = 0.0
        if not 0 < seconds < float("inf"):
            detail = f"{DEADLINE_HEADER} is a number of seconds above zero."
            raise failed(result_codes.BAD_DEADLINE, detail)
        return min(seconds, limits.longest_deadline)

    async def _refuse(self, refusal: Refusal) -> None:
        self._answered = refusal.code
        content = error_body(refusal, self._call_id)
        try:
            if not self._reply.started:
                self._set_refusal_head(refusal)
                await self._reply.write(content)
                await self._reply.finish()
            elif self._is_event_stream():
                await self._reply.write(b"event: error\ndata: " + content + b"\n\n")
                # The end of the chunked body is withheld too: this is no success.
                self._abort()
            else:
                self._abort()
        except CallerGoneError:
            self._abort()

    def _set_refusal_head(self, refusal: Refusal) -> None:
        self.clear()
        self.clear_header("Server")
        self.set_status(refusal.code.status)
        self.set_header("Content-Type", "application/json")
        self.set_header(RESULT_HEADER, str(refusal.code.code))
        self.set_header(CALL_ID_HEADER, self._call_id)
        wait_s = refusal.come_back_after_s
        if wait_s is not None:
            # Whole seconds, rounded up: coming earlier would be in vain.
            self.set_header("Retry-After", str(max(-int(-wait_s // 1), 1)))
        if self._tools.admission.is_stopping:
            self.set_header("Connection", "close")

    def _is_event_stream(self) -> bool:
        return self._headers.get("Content-Type") == "text/event-stream"

    def _abort(self) -> None:
        connection = self.request.connection
        stream = getattr(connection, "stream", None)
        if stream is not None:
            stream.close()
        if not self._finished:
            self._finished = True
            self.on_finish()


def error_body(refusal: Refusal, call_id: str) -> bytes:
    """Return the JSON body of a refusal."""
    code = refusal.code
    error = {
        "code": code.code,
        "name": code.name,
        "message": refusal.detail,
        "run": code.run.value,
        "may_repeat": code.may_repeat,
        "retry_after_s": refusal.come_back_after_s,
        "call": call_id,
    }
    return json.dumps({"error": error}).encode()
