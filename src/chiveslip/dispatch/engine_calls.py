"""A completion call from start to end: allow, place, dispatch, answer, settle."""

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
from chiveslip.dispatch.events import used_tokens
from chiveslip.dispatch.outcome import CallRefusedError
from chiveslip.dispatch.outcome import Step
from chiveslip.dispatch.outcome import Trace
from chiveslip.dispatch.outcome import adjust_refusal
from chiveslip.dispatch.outcome import call_refused
from chiveslip.dispatch.reply import Call
from chiveslip.dispatch.reply import CallerDisconnectedError
from chiveslip.dispatch.reply import Reply
from chiveslip.dispatch.retry_budget import RetryBudget
from chiveslip.dispatch.suspects import CrashedEndpoint
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.engines import placement
from chiveslip.engines.adapter import AdapterVersion
from chiveslip.engines.adapter import resolve
from chiveslip.engines.fair_queue import Waiter
from chiveslip.engines.permits import AcquiredPermit
from chiveslip.engines.permits import EnginePermits
from chiveslip.engines.protocol import ADAPTER_HEADER
from chiveslip.engines.protocol import REQUEST_ID_HEADER
from chiveslip.engines.protocol import EngineProtocol
from chiveslip.engines.protocol import Outgoing
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.results import ResultCode

_ANSWER_BYTES = 16 * 1024 * 1024
_MOST_RESUMES = 3
_CANCEL_S = 1.0
_NOT_LOADED = 404


@attrs.frozen(kw_only=True)
class EngineCallTools:
    """What all completion calls of an instance share."""

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
    """The try came to nothing and no part of an answer has gone out."""

    def __init__(self, refusal: Refusal, *, sent: bool) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.sent = sent


@final
class EngineCall:
    """One completion call."""

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
        self._used: float | None = None
        self._sent = False

    async def run(self) -> None:
        """Run the call and answer it.

        Raises
        ------
        CallRefusedError
            If it ends with a refusal; the allowance is settled already.
        CallerDisconnectedError
            If the caller left.
        """
        adapter, version = self._resolve()
        self._trace.adapter = str(version)
        fingerprint = self._fingerprint()
        self._refuse_suspect(fingerprint)
        account = f"organisation/{self._caller.organisation.name}"
        charged = await self._tools.allowances.charge(
            account, self._completion.reserve, self._call.deadline
        )
        if isinstance(charged, Failure):
            raise CallRefusedError(charged.failure())
        reserve = charged.unwrap()
        self._step(Step.ALLOW, f"charged {reserve.tokens:g} tokens")
        self._used = 0.0
        try:
            await self._try_engines(adapter, version, fingerprint)
        finally:
            # What may have been generated stays charged.
            used = reserve.tokens if self._used is None else self._used
            self._trace.tokens = used
            self._step(Step.SETTLE, f"used {used:g} tokens")
            self._tools.allowances.settle(account, reserve, used)

    def _resolve(self) -> tuple[Adapter, AdapterVersion]:
        configuration = self._tools.configuration()
        if configuration is None:
            raise call_refused(result_codes.NOT_READY, "There is no configuration yet.")
        found = resolve(
            self._completion.model, self._caller.organisation, configuration
        )
        if isinstance(found, Failure):
            raise CallRefusedError(found.failure())
        return found.unwrap()

    def _fingerprint(self) -> str:
        name = f"{self._caller.organisation.name}\x00{self._call.path}\x00"
        return hashing.content_hash(name.encode() + self._call.body)

    def _refuse_suspect(self, fingerprint: str) -> None:
        now = self._tools.clock.now()
        blocked_s = self._tools.suspects.blocked_for_s(fingerprint, now)
        if blocked_s > 0:
            detail = "The same request took endpoints down; change it."
            raise call_refused(result_codes.CRASH_SUSPECT, detail, blocked_s)

    async def _try_engines(
        self, adapter: Adapter, version: AdapterVersion, fingerprint: str
    ) -> None:
        now = self._tools.clock.now()
        self._tools.retry_budget.record_request(adapter.base_model, now)
        tried: list[str] = []
        last = Refusal(
            code=result_codes.NO_ENDPOINT,
            detail=f"No live engine serves {adapter.base_model}.",
        )
        sent = False
        for _ in range(placement.MAX_ATTEMPTS):
            engine = self._next_engine(adapter, version, tried)
            if engine is None:
                break
            if sent and not self._may_retry(adapter.base_model):
                break
            tried.append(engine.id)
            self._step(Step.PLACE, engine.id)
            try:
                await self._try_engine(engine, version, len(tried), fingerprint)
            except _AttemptFailedError as error:
                self._step(Step.PLACE, f"{engine.id}: {error.refusal.detail}")
                last = error.refusal
                sent = sent or error.sent
                self._refuse_suspect_after(fingerprint)
            except CallRefusedError as error:
                raise CallRefusedError(adjust_refusal(sent, error.refusal)) from error
            else:
                return
        raise CallRefusedError(adjust_refusal(sent, last))

    def _may_retry(self, base_model: str) -> bool:
        tools = self._tools
        return tools.retry_budget.take_retry(
            base_model, tools.count_instances(), tools.clock.now()
        )

    def _refuse_suspect_after(self, fingerprint: str) -> None:
        if self._tools.suspects.is_blocked(fingerprint, self._tools.clock.now()):
            detail = "The request took endpoints down and is not run again."
            raise call_refused(result_codes.OUTCOME_UNKNOWN, detail)

    def _next_engine(
        self, adapter: Adapter, version: AdapterVersion, tried: list[str]
    ) -> Endpoint | None:
        engines = placement.rank_engines(
            version, adapter.base_model, self._tools.endpoints(), avoid=tried
        )
        return next((engine for engine in engines if engine.id not in tried), None)

    async def _try_engine(
        self, engine: Endpoint, version: AdapterVersion, number: int, fingerprint: str
    ) -> None:
        acquired = await self._tools.engine_permits.acquire(
            engine, self._waiter(version, number)
        )
        if isinstance(acquired, Failure):
            raise self._unless_final(acquired.failure())
        permit = acquired.unwrap()
        self._step(
            Step.QUEUE, f"permit {permit.number} for {engine.id} from {permit.home}"
        )
        self._sent = False
        ended = False
        try:
            await self._dispatch(permit, version, fingerprint)
            ended = True
        finally:
            abandoned = self._sent and not ended
            self._tools.engine_permits.end(permit, abandoned=abandoned)

    def _waiter(self, version: AdapterVersion, number: int) -> Waiter:
        organisation = self._caller.organisation
        return Waiter(
            request=f"{self._call.id}.{number}",
            organisation=organisation.name,
            instance=self._tools.instance_id,
            adapter=version,
            priority=organisation.priority,
            weight=organisation.weight,
            tokens=self._completion.reserve,
            arrived_at=self._tools.clock.now(),
            deadline=self._call.deadline,
        )

    def _unless_final(self, refusal: Refusal) -> Exception:
        if refusal.code is result_codes.DEADLINE_BEFORE_START:
            return CallRefusedError(refusal)
        return _AttemptFailedError(refusal, sent=False)

    async def _dispatch(
        self, permit: AcquiredPermit, version: AdapterVersion, fingerprint: str
    ) -> None:
        engine = permit.engine
        try:
            exchange = await self._tools.pool.open(engine.address, fresh=False)
        except ConnectError as error:
            raise _elsewhere(result_codes.NO_ENDPOINT, str(error), False) from error
        try:
            self._check_before_sending()
            self._trace.endpoint = engine.id
            self._sent = True
            await exchange.send(self._outgoing(version))
            self._step(Step.DISPATCH, f"sent to {engine.id}")
            # From here on tokens may be generated, so the reserve stays charged
            # until the engine says what it used.
            self._used = None
            await self._receive(exchange, engine, version)
        except ExchangeInterruptedError as error:
            if self._left_s <= 0:
                await self._cancel(engine)
                detail = "The deadline passed while the call ran."
                code = result_codes.DEADLINE_WHILE_RUNNING
                raise call_refused(code, detail) from error
            # A kept connection may have ended by itself; that blames nobody.
            if not exchange.reused:
                crashed = CrashedEndpoint(engine.id, permit.incarnation)
                self._tools.suspects.record_crash(
                    fingerprint, crashed, self._tools.clock.now()
                )
            raise _elsewhere(result_codes.ENDPOINT_FAILED, str(error), True) from error
        except CallerDisconnectedError:
            await self._cancel(engine)
            raise
        finally:
            exchange.close()

    def _check_before_sending(self) -> None:
        if self._tools.clock.now() >= self._call.deadline:
            detail = "The deadline passed before the call was sent."
            raise call_refused(result_codes.DEADLINE_BEFORE_START, detail)
        configuration = self._tools.configuration()
        if configuration is None:
            raise call_refused(result_codes.NOT_READY, "There is no configuration.")
        again = auth.by_hash(self._caller.key_hash, configuration)
        if isinstance(again, Failure):
            raise CallRefusedError(again.failure())

    def _outgoing(self, version: AdapterVersion) -> Outgoing:
        return self._tools.protocol.call(
            self._completion.path,
            self._completion.body,
            version,
            request=self._call.id,
            priority=self._caller.organisation.priority,
        )

    async def _receive(
        self, exchange: Exchange, engine: Endpoint, version: AdapterVersion
    ) -> None:
        head = await exchange.head(self._left_s)
        if head.status == _NOT_LOADED or head.status >= 500:
            self._used = 0.0
            detail = f"{engine.id} answered {head.status}"
            raise _elsewhere(result_codes.ENDPOINT_FAILED, detail, True)
        self._check_echo(head, version)
        self._step(Step.FIRST_BYTE, f"status {head.status}")
        if self._completion.stream and head.status == 200:
            await self._receive_stream(exchange, engine, version)
            return
        body = await exchange.body(_ANSWER_BYTES, self._left_s)
        self._used = float(used_tokens(body) or self._completion.reserve)
        if head.status != 200:
            self._used = 0.0
        headers = {"Content-Type": _content_type(head), ADAPTER_HEADER: str(version)}
        await self._reply.start(head.status, headers)
        await self._reply.write(body)
        await self._reply.finish()

    def _check_echo(self, head: ResponseHead, version: AdapterVersion) -> None:
        same_call = head.headers.get(REQUEST_ID_HEADER) == self._call.id
        ran = head.headers.get(ADAPTER_HEADER, "")
        if same_call and (ran == str(version) or head.status != 200):
            return
        detail = f"The endpoint answered for {ran or 'no adapter'}, not {version}."
        if not same_call:
            detail = "The endpoint answered another request."
        raise call_refused(result_codes.WRONG_ADAPTER, detail)

    async def _receive_stream(
        self, exchange: Exchange, engine: Endpoint, version: AdapterVersion
    ) -> None:
        headers = {"Content-Type": "text/event-stream", ADAPTER_HEADER: str(version)}
        await self._reply.start(200, headers)
        try:
            async with asyncio.timeout(max(self._left_s, 0.0)):
                await self._relay_whole(exchange, engine, version)
        except TimeoutError as error:
            await self._cancel(engine)
            detail = "The deadline passed before the stream's end."
            raise call_refused(result_codes.DEADLINE_WHILE_RUNNING, detail) from error
        usage = self._relay.usage
        counted = self._completion.prompt_tokens + self._relay.passed
        self._used = float(counted if usage is None else usage)
        await self._reply.finish()

    async def _relay_whole(
        self, exchange: Exchange, engine: Endpoint, version: AdapterVersion
    ) -> None:
        try:
            await self._relay.relay(exchange, self._silence_s)
        except ExchangeInterruptedError as error:
            self._step(Step.MID_STREAM, f"broke off: {error}")
            await self._resume(engine, version, str(error))

    async def _resume(
        self, engine: Endpoint, version: AdapterVersion, cause: str
    ) -> None:
        for _ in range(_MOST_RESUMES):
            if not self._relay.can_resume or self._left_s <= 0:
                break
            try:
                exchange = await self._tools.pool.open(engine.address, fresh=True)
            except ConnectError as error:
                cause = str(error)
                break
            try:
                last = self._relay.last_number
                outgoing = self._tools.protocol.resume(self._call.id, version, last)
                await exchange.send(outgoing)
                head = await exchange.head(self._silence_s)
                if head.status != 200:
                    cause = f"resume answered {head.status}"
                    break
                self._check_echo(head, version)
                self._step(Step.MID_STREAM, f"resumed after event {last}")
                await self._relay.relay(exchange, self._silence_s)
            except ExchangeInterruptedError as error:
                cause = str(error)
                continue
            finally:
                exchange.close()
            return
        refusal = Refusal(code=result_codes.ANSWER_TRUNCATED, detail=cause)
        raise CallRefusedError(refusal)

    async def _cancel(self, engine: Endpoint) -> None:
        with contextlib.suppress(ConnectError, ExchangeInterruptedError):
            exchange = await self._tools.pool.open(engine.address, fresh=True)
            try:
                await exchange.send(self._tools.protocol.cancel(self._call.id))
                await exchange.head(_CANCEL_S)
            finally:
                exchange.close()

    @property
    def _left_s(self) -> float:
        return self._call.deadline - self._tools.clock.now()

    @property
    def _silence_s(self) -> float:
        return min(self._left_s, self._tools.max_idle_s)

    def _step(self, step: Step, text: str) -> None:
        self._trace.add_step(self._tools.clock.now(), step, text)


def _elsewhere(code: ResultCode, detail: str, sent: bool) -> _AttemptFailedError:
    return _AttemptFailedError(Refusal(code=code, detail=detail), sent=sent)


def _content_type(head: ResponseHead) -> str:
    return str(head.headers.get("Content-Type", "application/json"))
