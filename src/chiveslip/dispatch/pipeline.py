"""Pipeline of every call: admission, authentication, dispatch and answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import attrs
from returns.result import Failure

from chiveslip import auth
from chiveslip import logs
from chiveslip.auth import Caller
from chiveslip.clock import Clock
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.model import Route
from chiveslip.dispatch import completion as completions
from chiveslip.dispatch.admission import Admission
from chiveslip.dispatch.engine_calls import EngineCall
from chiveslip.dispatch.engine_calls import EngineCallTools
from chiveslip.dispatch.outcome import CallRefusedError
from chiveslip.dispatch.outcome import Step
from chiveslip.dispatch.outcome import Trace
from chiveslip.dispatch.outcome import call_refused
from chiveslip.dispatch.reply import Call
from chiveslip.dispatch.reply import CallerDisconnectedError
from chiveslip.dispatch.reply import Reply
from chiveslip.dispatch.service_calls import ServiceCall
from chiveslip.dispatch.service_calls import ServiceCallTools
from chiveslip.generated import result_codes
from chiveslip.generated.settings import LimitsSettings
from chiveslip.results import Refusal
from chiveslip.results import ResultCode
from chiveslip.services.protocol import IDEMPOTENCY_HEADER

DEADLINE_HEADER = "X-Deadline-Seconds"
_AUTHORIZATION = "authorization"
_MAX_IDEMPOTENCY_KEY_CHARS = 255


@attrs.frozen(kw_only=True)
class Request:
    """A caller's request, as received.

    Attributes
    ----------
    uri
        Path with the query.
    headers
        Headers by lower-case name.
    body
        The body, or None if it exceeds the limit.
    arrived_at
        Local time in seconds.
    """

    id: str
    method: str
    uri: str
    headers: dict[str, str]
    body: bytes | None
    arrived_at: float

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.uri.partition("?")[0]


@attrs.frozen(kw_only=True)
class PipelineTools:
    """Dependencies that all pipelines of an instance share."""

    clock: Clock
    limits: LimitsSettings
    admission: Admission
    engine_calls: EngineCallTools
    service_calls: ServiceCallTools


@final
class CallPipeline:
    """Serves one call, from its arrival to its answer.

    Parameters
    ----------
    on_at_most_once
        Called when the call turns out to be an at-most-once call. It must run to
        completion for its idempotency record even if the caller disconnects.
    """

    def __init__(
        self,
        tools: PipelineTools,
        request: Request,
        reply: Reply,
        trace: Trace,
        on_at_most_once: Callable[[], None],
    ) -> None:
        self._tools = tools
        self._request = request
        self._reply = reply
        self._trace = trace
        self._on_at_most_once = on_at_most_once
        self._logger = logs.get_logger("dispatch")

    async def serve(self) -> ResultCode:
        """Run the call, answer it and return the result.

        Raises
        ------
        CallerDisconnectedError
            If the caller disconnected, so that it cannot be answered.
        """
        self._add_step(Step.ACCEPT, f"{self._request.method} {self._request.path}")
        try:
            await self._run()
        except CallRefusedError as error:
            return await self._refuse(error.refusal)
        except CallerDisconnectedError:
            raise
        except Exception:
            self._logger.exception("A call failed with an internal error.")
            detail = "Internal error of the instance; see its log for the cause."
            code = result_codes.INTERNAL_ERROR
            return await self._refuse(Refusal(code=code, detail=detail))
        return result_codes.OK

    async def _refuse(self, refusal: Refusal) -> ResultCode:
        await self._reply.refuse(refusal)
        return refusal.code

    async def _run(self) -> None:
        body = self._request.body
        if body is None:
            detail = f"The body is larger than {self._tools.limits.body} bytes."
            raise call_refused(result_codes.BODY_TOO_LARGE, detail)
        configuration = self._tools.admission.admit()
        if self._request.path in completions.PATHS:
            await self._run_completion(configuration, body)
            return
        await self._run_service(configuration, body)

    async def _run_completion(self, configuration: Configuration, body: bytes) -> None:
        if self._request.method != "POST":
            raise call_refused(result_codes.BAD_METHOD, "Completions require POST.")
        caller = self._authenticate(configuration, body)
        parsed = completions.parse_completion(self._request.path, body)
        if isinstance(parsed, Failure):
            raise CallRefusedError(parsed.failure())
        call = EngineCall(
            self._tools.engine_calls,
            self._build_call(body),
            caller,
            parsed.unwrap(),
            self._reply,
            self._trace,
        )
        await call.run()

    async def _run_service(self, configuration: Configuration, body: bytes) -> None:
        route = configuration.find_route(self._request.path)
        if route is None:
            raise call_refused(
                result_codes.NO_ROUTE, f"No route matches {self._request.path}."
            )
        if self._request.method not in route.methods:
            allowed = ", ".join(route.methods)
            raise call_refused(result_codes.BAD_METHOD, f"The route allows {allowed}.")
        caller = None if route.open else self._authenticate(configuration, body)
        call = ServiceCall(
            self._tools.service_calls,
            self._build_call(body),
            caller,
            route,
            self._idempotency_key(route),
            self._reply,
            self._trace,
        )
        if not route.idempotent:
            self._on_at_most_once()
        await call.run()

    def _authenticate(self, configuration: Configuration, body: bytes) -> Caller:
        authorization = self._request.headers.get(_AUTHORIZATION)
        authenticated = auth.authenticate(authorization, configuration)
        if isinstance(authenticated, Failure):
            raise CallRefusedError(authenticated.failure())
        caller = authenticated.unwrap()
        self._trace.organisation = caller.organisation.name
        self._refuse_exposed_key((authorization or "").split()[-1], body)
        self._add_step(Step.AUTHENTICATE, f"key {caller.key_id}")
        return caller

    def _refuse_exposed_key(self, key: str, body: bytes) -> None:
        other_values = [
            v for n, v in self._request.headers.items() if n != _AUTHORIZATION
        ]
        exposed = key in self._request.uri or any(
            key in value for value in other_values
        )
        if exposed or key.encode() in body:
            detail = "Send the key only in the Authorization header."
            raise call_refused(result_codes.KEY_EXPOSED, detail)

    def _idempotency_key(self, route: Route) -> str | None:
        key = self._request.headers.get(IDEMPOTENCY_HEADER.lower())
        if key is None or route.idempotent:
            return None
        if not key or len(key) > _MAX_IDEMPOTENCY_KEY_CHARS or not key.isprintable():
            detail = f"Send 1 to {_MAX_IDEMPOTENCY_KEY_CHARS} printable characters."
            raise call_refused(result_codes.BAD_IDEMPOTENCY_KEY, detail)
        return key

    def _build_call(self, body: bytes) -> Call:
        return Call(
            id=self._request.id,
            method=self._request.method,
            path=self._request.uri,
            headers=self._request.headers,
            body=body,
            deadline=self._request.arrived_at + self._deadline_s(),
        )

    def _deadline_s(self) -> float:
        limits = self._tools.limits
        text = self._request.headers.get(DEADLINE_HEADER.lower())
        if text is None:
            return limits.default_deadline
        try:
            deadline_s = float(text)
        except ValueError:
            deadline_s = 0.0
        if not 0 < deadline_s < float("inf"):
            detail = f"{DEADLINE_HEADER} must be a number of seconds above zero."
            raise call_refused(result_codes.BAD_DEADLINE, detail)
        return min(deadline_s, limits.longest_deadline)

    def _add_step(self, step: Step, text: str) -> None:
        self._trace.add_step(self._tools.clock.now(), step, text)
