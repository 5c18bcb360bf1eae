"""The task of one engine's home: its mailbox, its orders, its load reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from chiveslip import logs
from chiveslip.allowance.manager import AllowanceManager
from chiveslip.audit import AuditKind
from chiveslip.audit import AuditTrail
from chiveslip.clock import Clock
from chiveslip.configuration.model import Endpoint
from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.engines.fair_queue import Waiter
from chiveslip.engines.protocol import EngineProtocol
from chiveslip.engines.protocol import InvalidReportError
from chiveslip.engines.protocol import Outgoing
from chiveslip.engines.scheduler import Action
from chiveslip.engines.scheduler import EngineLimits
from chiveslip.engines.scheduler import EngineScheduler
from chiveslip.engines.scheduler import GrantPermit
from chiveslip.engines.scheduler import OrderLoad
from chiveslip.engines.scheduler import OrderUnload
from chiveslip.engines.scheduler import Permit
from chiveslip.engines.scheduler import RefuseWaiter
from chiveslip.results import Refusal
from chiveslip.tasks import TaskSet

STORE_ACCOUNT = "store/loads"
TICK_S = 0.25
_REPORT_BYTES = 1024 * 1024
_FAILED_REPORTS_TO_GIVE_UP = 3

PermitResult = Result[Permit, Refusal]


class OrderError(Exception):
    """An order was refused, or has no answer."""


@attrs.frozen(kw_only=True)
class EngineTimes:
    """Intervals and timeouts of an engine's task, in seconds."""

    report_s: float
    load_timeout_s: float


@attrs.frozen(kw_only=True)
class EngineTools:
    """What the tasks of all engines share."""

    clock: Clock
    pool: Connector
    protocol: EngineProtocol
    allowances: AllowanceManager
    audit: AuditTrail
    times: EngineTimes


@attrs.frozen(eq=False)
class _Wanted:
    waiter: Waiter
    answer: asyncio.Future[PermitResult]


@attrs.frozen
class _Ended:
    number: int
    abandoned: bool


@attrs.frozen
class _Left:
    request: str


@attrs.frozen
class _Happened:
    """Something to tell the decisions, as a call that returns actions."""

    tell: Callable[[float], list[Action]]


_Message = _Wanted | _Ended | _Left | _Happened


@final
class EngineTask:
    """Runs the decisions of one engine's home on the messages that arrive.

    Parameters
    ----------
    may_act
        Whether this instance is still home; asked directly before every order.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        home: EngineScheduler,
        tools: EngineTools,
        may_act: Callable[[], bool],
        revision: int,
    ) -> None:
        self._endpoint = endpoint
        self._home = home
        self._tools = tools
        self._may_act = may_act
        self._revision = revision
        self._mailbox: asyncio.Queue[_Message] = asyncio.Queue()
        self._answers: dict[str, asyncio.Future[PermitResult]] = {}
        self._tasks = TaskSet("engines")
        self._log = logs.get_logger("engines")
        self._failed_reports = 0

    @property
    def home(self) -> EngineScheduler:
        """The decisions, to be read only."""
        return self._home

    def start(self) -> None:
        """Start to take messages and to read load reports."""
        self._tasks.start(self._run())
        self._tasks.start(self._read_reports())

    async def close(self) -> None:
        """Refuse those who wait and stop."""
        self._carry_out(self._home.close())
        await self._tasks.close()

    async def permit(self, waiter: Waiter) -> PermitResult:
        """Wait for a permit for `waiter`, or for its refusal."""
        answer: asyncio.Future[PermitResult] = asyncio.Future()
        self._mailbox.put_nowait(_Wanted(waiter, answer))
        try:
            return await answer
        except asyncio.CancelledError:
            self.leave(waiter.request)
            # A permit that came in the same moment goes back.
            if answer.done() and not answer.cancelled():
                self._give_back(answer.result())
            raise

    def end(self, number: int, *, abandoned: bool) -> None:
        """Give a permit back; an abandoned call may still run."""
        self._mailbox.put_nowait(_Ended(number, abandoned))

    def leave(self, request: str) -> None:
        """Take a call out of the queue."""
        self._mailbox.put_nowait(_Left(request))

    def _give_back(self, result: PermitResult) -> None:
        if isinstance(result, Success):
            self.end(result.unwrap().number, abandoned=False)

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    message = await self._mailbox.get()
            except TimeoutError:
                self._carry_out(self._home.tick(self._tools.clock.now()))
                continue
            self._carry_out(self._take(message))

    def _take(self, message: _Message) -> list[Action]:
        now = self._tools.clock.now()
        if isinstance(message, _Wanted):
            self._answers[message.waiter.request] = message.answer
            return self._home.add_call(message.waiter, now)
        if isinstance(message, _Ended):
            return self._home.end_permit(
                message.number, abandoned=message.abandoned, now=now
            )
        if isinstance(message, _Left):
            self._answers.pop(message.request, None)
            return self._home.withdraw_call(message.request, now)
        return message.tell(now)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, GrantPermit):
                self._grant(action.permit)
            elif isinstance(action, RefuseWaiter):
                self._answer(action.waiter.request, Failure(action.refusal))
            elif isinstance(action, OrderLoad):
                self._tasks.start(self._load(action))
            else:
                self._tasks.start(self._unload(action))

    def _grant(self, permit: Permit) -> None:
        if not self._answer(permit.waiter.request, Success(permit)):
            self.end(permit.number, abandoned=False)

    def _answer(self, request: str, result: PermitResult) -> bool:
        answer = self._answers.pop(request, None)
        if answer is None or answer.done():
            return False
        answer.set_result(result)
        return True

    async def _load(self, order: OrderLoad) -> None:
        try:
            await self._pay_for_load()
            outgoing = self._tools.protocol.load(order.adapter, order.fencing)
            await self._order(outgoing, f"load {order.adapter}", order.fencing)
        except OrderError as error:
            self._log.warning(
                "A load failed.", adapter=str(order.adapter), cause=str(error)
            )
            self._tell(lambda now: self._home.load_failed(order.adapter, now))
            return
        self._tell(lambda now: self._home.load_finished(order.adapter, now))

    async def _unload(self, order: OrderUnload) -> None:
        done = True
        try:
            outgoing = self._tools.protocol.unload(order.adapter, order.fencing)
            await self._order(outgoing, f"unload {order.adapter}", order.fencing)
        except OrderError as error:
            done = False
            self._log.warning(
                "An unload failed.", adapter=str(order.adapter), cause=str(error)
            )
        self._tell(lambda now: self._home.unload_finished(order.adapter, done, now))

    async def _pay_for_load(self) -> None:
        deadline = self._tools.clock.now() + self._tools.times.load_timeout_s
        charged = await self._tools.allowances.charge(STORE_ACCOUNT, 1.0, deadline)
        if isinstance(charged, Failure):
            raise OrderError(charged.failure().detail)

    async def _order(self, outgoing: Outgoing, subject: str, fencing: int) -> None:
        try:
            exchange = await self._tools.pool.open(self._endpoint.address, fresh=True)
        except ConnectError as error:
            raise OrderError(str(error)) from error
        try:
            # The lease is read again here, because the wait may have been long.
            if not self._may_act():
                raise OrderError("this instance is home of the engine no more")
            self._tools.audit.add(
                AuditKind.ORDER,
                revision=self._revision,
                subject=f"{self._endpoint.id}: {subject}",
                cause=f"fencing number {fencing}",
            )
            await exchange.send(outgoing)
            head = await exchange.head(self._tools.times.load_timeout_s)
            body = await exchange.body(_REPORT_BYTES, self._tools.times.report_s)
        except ExchangeInterruptedError as error:
            raise OrderError(str(error)) from error
        finally:
            exchange.close()
        if head.status != 200:
            raise OrderError(f"status {head.status}: {body[:200]!r}")

    async def _read_reports(self) -> None:
        while True:
            asked_at = self._tools.clock.now()
            try:
                body = await self._fetch_report()
                report = self._tools.protocol.read_report(body)
            except (
                ConnectError,
                ExchangeInterruptedError,
                InvalidReportError,
            ) as error:
                self._report_failed(str(error))
            else:
                self._failed_reports = 0
                self._tell(
                    lambda now, r=report, a=asked_at: (  # type: ignore[misc]
                        self._home.process_report(r, a, now)
                    )
                )
            await asyncio.sleep(self._tools.times.report_s)

    async def _fetch_report(self) -> bytes:
        exchange = await self._tools.pool.open(self._endpoint.address, fresh=False)
        try:
            await exchange.send(self._tools.protocol.report())
            head = await exchange.head(self._tools.times.report_s)
            body = await exchange.body(_REPORT_BYTES, self._tools.times.report_s)
        finally:
            exchange.close()
        if head.status != 200:
            raise InvalidReportError(f"status {head.status}")
        return body

    def _report_failed(self, cause: str) -> None:
        self._failed_reports += 1
        self._log.warning(
            "A load report failed.", engine=self._endpoint.id, cause=cause
        )
        if self._failed_reports >= _FAILED_REPORTS_TO_GIVE_UP:
            self._tell(self._home.unreachable)

    def _tell(self, tell: Callable[[float], list[Action]]) -> None:
        self._mailbox.put_nowait(_Happened(tell))


def engine_limits(endpoint: Endpoint, queue: int) -> EngineLimits:
    """Return the limits that the published entry gives an engine."""
    return EngineLimits(
        adapter_slots=endpoint.adapter_slots,
        concurrency=endpoint.concurrency,
        queue=queue,
    )
