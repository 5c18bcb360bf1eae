"""Completion calls: allowance, engine selection, dispatch, answer and settlement."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import final

import attrs
from returns.result import Failure

from chiveslip import auth
from chiveslip import hashing
from chiveslip.allowance.manager import AllowanceManager
from chiveslip.auth import Caller
from chiveslip.clock import Clock
from chiveslip.configuration.model import Adapter
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.model import Endpoint
from chiveslip.configuration.model import EndpointList
from chiveslip.dispatch.completion import Completion
from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import Exchange
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.dispatch.connection import ResponseHead
from chiveslip.dispatch.engine_stream import StreamRelay
from chiveslip.dispatch.events import parse_used_tokens
from chiveslip.dispatch.outcome import CallRefusedError
from chiveslip.dispatch.outcome import Step
from chiveslip.dispatch.outcome import Trace
from chiveslip.dispatch.outcome import adjust_refusal
from chiveslip.dispatch.outcome import call_refused
from chiveslip.dispatch.outgoing import REQUEST_ID_HEADER
from chiveslip.dispatch.outgoing import OutgoingRequest
from chiveslip.dispatch.reply import Call
from chiveslip.dispatch.reply import CallerDisconnectedError
from chiveslip.dispatch.reply import Reply
from chiveslip.dispatch.response_limits import ResponseLimits
from chiveslip.dispatch.retry_budget import RetryBudget
from chiveslip.dispatch.suspects import CrashedEndpoint
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.engines import placement
from chiveslip.engines.adapter import AdapterVersion
from chiveslip.engines.adapter import resolve_adapter
from chiveslip.engines.fair_queue import Waiter
from chiveslip.engines.permits import AcquiredPermit
from chiveslip.engines.permits import EnginePermits
from chiveslip.engines.protocol import ADAPTER_HEADER
from chiveslip.engines.protocol import EngineProtocol
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.results import ResultCode

_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_MAX_STREAM_BYTES = 64 * 1024 * 1024
# Time for the end of the body after the end marker, to keep the connection.
_MAX_TRAILER_S = 0.05
_MAX_RESUMES = 3
_CANCEL_TIMEOUT_S = 1.0
_NOT_LOADED_STATUS = 404


@attrs.frozen(kw_only=True)
class EngineCallTools:
    """Dependencies that all completion calls of an instance share.

    Attributes
    ----------
    max_idle_s
        Time in seconds without data after which a stream counts as interrupted.
    """

    instance_id: str
    clock: Clock
    allowances: AllowanceManager
    engine_permits: EnginePermits
    pool: Connector
    protocol: EngineProtocol
    retry_budget: RetryBudget
    count_instances: Callable[[], int]
    suspects: CrashSuspects
    configuration: Callable[[], Configuration | None]
    endpoints: Callable[[], EndpointList]
    max_idle_s: float


class _AttemptFailedError(Exception):
    """The attempt failed, and no part of an answer was sent to the caller.

    Attributes
    ----------
    was_sent
        Whether the request may have been sent to the engine.
    """

    def __init__(self, refusal: Refusal, *, was_sent: bool) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.was_sent = was_sent


@final
class EngineCall:
    """Runs one completion call."""

    def __init__(
        self,
        tools: EngineCallTools,
        call: Call,
        caller: Caller,
        completion: Completion,
        reply: Reply,
        trace: Trace,
    ) -> None:
        self._tools = tools
        self._call = call
        self._caller = caller
        self._completion = completion
        self._reply = reply
        self._trace = trace
        self._relay = StreamRelay(reply.write)
        self._used_tokens: float | None = None
        self._was_sent = False

    async def run(self) -> None:
        """Run the call and answer it.

        Raises
        ------
        CallRefusedError
            If the call ends with a refusal; the allowance is already settled.
        CallerDisconnectedError
            If the caller disconnected.
        """
        adapter, version = self._resolve_adapter()
        self._trace.adapter = str(version)
        fingerprint = self._compute_fingerprint()
        self._refuse_suspect(fingerprint)
        account = f"organisation/{self._caller.organisation.name}"
        charged = await self._tools.allowances.charge(
            account, self._completion.reserved_tokens, self._call.deadline
        )
        if isinstance(charged, Failure):
            raise CallRefusedError(charged.failure())
        reservation = charged.unwrap()
        self._add_step(Step.ALLOW, f"charged {reservation.tokens:g} tokens")
        self._used_tokens = 0.0
        try:
            await self._try_engines(adapter, version, fingerprint)
        finally:
            # Tokens that may have been generated remain charged.
            used_tokens = (
                reservation.tokens if self._used_tokens is None else self._used_tokens
            )
            self._trace.tokens = used_tokens
            self._add_step(Step.SETTLE, f"used {used_tokens:g} tokens")
            self._tools.allowances.settle(account, reservation, used_tokens)

    def _resolve_adapter(self) -> tuple[Adapter, AdapterVersion]:
        configuration = self._tools.configuration()
        if configuration is None:
            raise call_refused(
                result_codes.NOT_READY, "This instance has no configuration yet."
            )
        resolved = resolve_adapter(
            self._completion.model, self._caller.organisation, configuration
        )
        if isinstance(resolved, Failure):
            raise CallRefusedError(resolved.failure())
        return resolved.unwrap()

    def _compute_fingerprint(self) -> str:
        name = f"{self._caller.organisation.name}\x00{self._call.path}\x00"
        return hashing.content_hash(name.encode() + self._call.body)

    def _refuse_suspect(self, fingerprint: str) -> None:
        now = self._tools.clock.now()
        blocked_s = self._tools.suspects.blocked_for_s(fingerprint, now)
        if blocked_s > 0:
            detail = "The same request crashed endpoints; change it."
            raise call_refused(result_codes.CRASH_SUSPECT, detail, blocked_s)

    async def _try_engines(
        self, adapter: Adapter, version: AdapterVersion, fingerprint: str
    ) -> None:
        now = self._tools.clock.now()
        self._tools.retry_budget.record_request(adapter.base_model, now)
        tried: list[str] = []
        last_refusal = Refusal(
            code=result_codes.NO_ENDPOINT,
            detail=f"No live engine serves {adapter.base_model}.",
        )
        was_sent = False
        for _ in range(placement.MAX_ATTEMPTS):
            engine = self._select_engine(adapter, version, tried)
            if engine is None:
                break
            if was_sent and not self._take_retry(adapter.base_model):
                break
            tried.append(engine.id)
            self._add_step(Step.PLACE, engine.id)
            try:
                await self._try_engine(engine, version, len(tried), fingerprint)
            except _AttemptFailedError as error:
                self._add_step(Step.PLACE, f"{engine.id}: {error.refusal.detail}")
                last_refusal = error.refusal
                was_sent = was_sent or error.was_sent
                self._refuse_suspect_between_attempts(fingerprint)
            except CallRefusedError as error:
                raise CallRefusedError(
                    adjust_refusal(was_sent, error.refusal)
                ) from error
            else:
                return
        raise CallRefusedError(adjust_refusal(was_sent, last_refusal))

    def _take_retry(self, base_model: str) -> bool:
        tools = self._tools
        return tools.retry_budget.take_retry(
            base_model, tools.count_instances(), tools.clock.now()
        )

    def _refuse_suspect_between_attempts(self, fingerprint: str) -> None:
        if self._tools.suspects.is_blocked(fingerprint, self._tools.clock.now()):
            detail = "The request crashed endpoints and is not run again."
            raise call_refused(result_codes.OUTCOME_UNKNOWN, detail)

    def _select_engine(
        self, adapter: Adapter, version: AdapterVersion, tried: list[str]
    ) -> Endpoint | None:
        engines = placement.rank_engines(
            version, adapter.base_model, self._tools.endpoints(), avoid=tried
        )
        return next((engine for engine in engines if engine.id not in tried), None)

    async def _try_engine(
        self, engine: Endpoint, version: AdapterVersion, attempt: int, fingerprint: str
    ) -> None:
        acquired = await self._tools.engine_permits.acquire(
            engine, self._build_waiter(version, attempt)
        )
        if isinstance(acquired, Failure):
            raise self._permit_error(acquired.failure())
        permit = acquired.unwrap()
        self._add_step(
            Step.QUEUE, f"permit {permit.number} for {engine.id} from {permit.owner}"
        )
        self._was_sent = False
        has_ended = False
        try:
            await self._dispatch(permit, version, fingerprint)
            has_ended = True
        finally:
            abandoned = self._was_sent and not has_ended
            self._tools.engine_permits.end(permit, abandoned=abandoned)

    def _build_waiter(self, version: AdapterVersion, attempt: int) -> Waiter:
        organisation = self._caller.organisation
        return Waiter(
            request=f"{self._call.id}.{attempt}",
            organisation=organisation.name,
            instance=self._tools.instance_id,
            adapter=version,
            priority=organisation.priority,
            weight=organisation.weight,
            tokens=self._completion.reserved_tokens,
            arrived_at=self._tools.clock.now(),
            deadline=self._call.deadline,
        )

    def _permit_error(self, refusal: Refusal) -> Exception:
        if refusal.code is result_codes.DEADLINE_BEFORE_START:
            return CallRefusedError(refusal)
        return _AttemptFailedError(refusal, was_sent=False)

    async def _dispatch(
        self, permit: AcquiredPermit, version: AdapterVersion, fingerprint: str
    ) -> None:
        engine = permit.engine
        try:
            exchange = await self._tools.pool.open(engine.address, fresh=False)
        except ConnectError as error:
            raise _attempt_failed(
                result_codes.NO_ENDPOINT, str(error), False
            ) from error
        try:
            self._check_before_sending(engine)
            self._trace.endpoint = engine.id
            self._was_sent = True
            await exchange.send(
                self._build_request(version), self._build_limits(self._remaining_s)
            )
            self._add_step(Step.DISPATCH, f"sent to {engine.id}")
            # From here on tokens may be generated, so the reservation remains charged
            # until the engine reports the used tokens.
            self._used_tokens = None
            await self._receive(exchange, engine, version)
        except ExchangeInterruptedError as error:
            if self._remaining_s <= 0:
                await self._cancel(engine)
                detail = "The deadline passed while the call ran."
                code = result_codes.DEADLINE_WHILE_RUNNING
                raise call_refused(code, detail) from error
            # A reused connection may have been closed for another reason, so its end
            # is no evidence of a crash.
            if not exchange.reused:
                crashed = CrashedEndpoint(engine.id, permit.incarnation)
                self._tools.suspects.record_crash(
                    fingerprint, crashed, self._tools.clock.now()
                )
            raise _attempt_failed(
                result_codes.ENDPOINT_FAILED, str(error), True
            ) from error
        except CallerDisconnectedError:
            await self._cancel(engine)
            raise
        finally:
            self._add_response_end(exchange)
            exchange.close()

    def _build_limits(self, max_s: float) -> ResponseLimits:
        max_bytes = _MAX_RESPONSE_BYTES
        if self._completion.stream:
            max_bytes = _MAX_STREAM_BYTES
        return ResponseLimits(max_s=max_s, max_body_bytes=max_bytes)

    def _add_response_end(self, exchange: Exchange) -> None:
        if exchange.end is not None:
            self._add_step(Step.RESPONSE_END, str(exchange.end))

    def _check_before_sending(self, engine: Endpoint) -> None:
        if self._tools.clock.now() >= self._call.deadline:
            detail = "The deadline passed before the call was sent."
            raise call_refused(result_codes.DEADLINE_BEFORE_START, detail)
        if not self._tools.endpoints().accepts_calls(engine):
            detail = f"{engine.id} no longer accepts calls."
            raise _attempt_failed(result_codes.NO_ENDPOINT, detail, False)
        configuration = self._tools.configuration()
        if configuration is None:
            raise call_refused(
                result_codes.NOT_READY, "This instance has no configuration yet."
            )
        authenticated = auth.find_caller(self._caller.key_hash, configuration)
        if isinstance(authenticated, Failure):
            raise CallRefusedError(authenticated.failure())

    def _build_request(self, version: AdapterVersion) -> OutgoingRequest:
        return self._tools.protocol.build_call_request(
            self._completion.path,
            self._completion.body,
            version,
            request=self._call.id,
            priority=self._caller.organisation.priority,
        )

    async def _receive(
        self, exchange: Exchange, engine: Endpoint, version: AdapterVersion
    ) -> None:
        head = await exchange.head()
        if head.status == _NOT_LOADED_STATUS or head.status >= 500:
            self._used_tokens = 0.0
            detail = f"{engine.id} answered {head.status}"
            raise _attempt_failed(result_codes.ENDPOINT_FAILED, detail, True)
        self._check_echo(head, version)
        self._add_step(Step.FIRST_BYTE, f"status {head.status}")
        if self._completion.stream and head.status == 200:
            await self._receive_stream(exchange, engine, version)
            return
        body = await exchange.body()
        self._used_tokens = float(
            parse_used_tokens(body) or self._completion.reserved_tokens
        )
        if head.status != 200:
            self._used_tokens = 0.0
        headers = {"Content-Type": _content_type(head), ADAPTER_HEADER: str(version)}
        await self._reply.start(head.status, headers)
        await self._reply.write(body)
        await self._reply.finish()

    def _check_echo(self, head: ResponseHead, version: AdapterVersion) -> None:
        is_same_call = head.headers.get(REQUEST_ID_HEADER) == self._call.id
        echoed = head.headers.get(ADAPTER_HEADER, "")
        if is_same_call and (echoed == str(version) or head.status != 200):
            return
        detail = f"The endpoint answered for {echoed or 'no adapter'}, not {version}."
        if not is_same_call:
            detail = "The endpoint answered another request."
        raise call_refused(result_codes.WRONG_ADAPTER, detail)

    async def _receive_stream(
        self, exchange: Exchange, engine: Endpoint, version: AdapterVersion
    ) -> None:
        headers = {"Content-Type": "text/event-stream", ADAPTER_HEADER: str(version)}
        await self._reply.start(200, headers)
        try:
            async with asyncio.timeout(max(self._remaining_s, 0.0)):
                await self._relay_to_end(exchange, engine, version)
        except TimeoutError as error:
            await self._cancel(engine)
            detail = "The deadline passed before the end of the stream."
            raise call_refused(result_codes.DEADLINE_WHILE_RUNNING, detail) from error
        usage = self._relay.usage
        counted = self._completion.prompt_tokens + self._relay.relayed_events
        self._used_tokens = float(counted if usage is None else usage)
        await self._reply.finish()
        if exchange.end is None:
            await exchange.skip_rest(_MAX_TRAILER_S)

    async def _relay_to_end(
        self, exchange: Exchange, engine: Endpoint, version: AdapterVersion
    ) -> None:
        try:
            await self._relay.relay(exchange, self._max_idle_s)
        except ExchangeInterruptedError as error:
            self._add_step(Step.MID_STREAM, f"broke off: {error}")
            await self._resume(engine, version, str(error))

    async def _resume(
        self, engine: Endpoint, version: AdapterVersion, cause: str
    ) -> None:
        for _ in range(_MAX_RESUMES):
            if not self._relay.can_resume or self._remaining_s <= 0:
                break
            try:
                exchange = await self._tools.pool.open(engine.address, fresh=True)
            except ConnectError as error:
                cause = str(error)
                break
            try:
                last_event = self._relay.last_number
                outgoing = self._tools.protocol.build_resume_request(
                    self._call.id, version, last_event
                )
                await exchange.send(outgoing, self._build_limits(self._remaining_s))
                head = await exchange.head(self._max_idle_s)
                if head.status != 200:
                    cause = f"resume answered {head.status}"
                    break
                self._check_echo(head, version)
                self._add_step(Step.MID_STREAM, f"resumed after event {last_event}")
                await self._relay.relay(exchange, self._max_idle_s)
            except ExchangeInterruptedError as error:
                cause = str(error)
                continue
            finally:
                self._add_response_end(exchange)
                exchange.close()
            return
        refusal = Refusal(code=result_codes.ANSWER_TRUNCATED, detail=cause)
        raise CallRefusedError(refusal)

    async def _cancel(self, engine: Endpoint) -> None:
        with contextlib.suppress(ConnectError, ExchangeInterruptedError):
            exchange = await self._tools.pool.open(engine.address, fresh=True)
            try:
                await exchange.send(
                    self._tools.protocol.build_cancel_request(self._call.id),
                    self._build_limits(_CANCEL_TIMEOUT_S),
                )
                await exchange.head()
            finally:
                exchange.close()

    @property
    def _remaining_s(self) -> float:
        return self._call.deadline - self._tools.clock.now()

    @property
    def _max_idle_s(self) -> float:
        return min(self._remaining_s, self._tools.max_idle_s)

    def _add_step(self, step: Step, text: str) -> None:
        self._trace.add_step(self._tools.clock.now(), step, text)


def _attempt_failed(
    code: ResultCode, detail: str, was_sent: bool
) -> _AttemptFailedError:
    return _AttemptFailedError(Refusal(code=code, detail=detail), was_sent=was_sent)


def _content_type(head: ResponseHead) -> str:
    return str(head.headers.get("Content-Type", "application/json"))
