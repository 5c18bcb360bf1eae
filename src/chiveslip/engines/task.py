"""Task for one engine that this instance owns: messages, orders and load reports."""

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
from chiveslip.dispatch.outgoing import OutgoingRequest
from chiveslip.dispatch.response_limits import ResponseLimits
from chiveslip.engines.fair_queue import Waiter
from chiveslip.engines.protocol import EngineProtocol
from chiveslip.engines.protocol import InvalidReportError
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
_MAX_REPORT_BYTES = 1024 * 1024
_MAX_FAILED_REPORTS = 3

PermitResult = Result[Permit, Refusal]


class OrderError(Exception):
    """An order was refused or not answered."""


@attrs.frozen(kw_only=True)
class EngineTimes:
    """Intervals and timeouts of an engine task, in seconds.

    Attributes
    ----------
    report_interval_s
        Interval between requests for load reports, and timeout of each response.
    load_timeout_s
        Timeout of an order, and maximum wait for the charge of a load.
    """

    report_interval_s: float
    load_timeout_s: float


@attrs.frozen(kw_only=True)
class EngineTools:
    """Dependencies that the tasks of all engines share."""

    clock: Clock
    pool: Connector
    protocol: EngineProtocol
    allowances: AllowanceManager
    audit: AuditTrail
    times: EngineTimes


@attrs.frozen(eq=False)
class _PermitRequested:
    waiter: Waiter
    answer: asyncio.Future[PermitResult]


@attrs.frozen
class _PermitEnded:
    number: int
    abandoned: bool


@attrs.frozen
class _CallWithdrawn:
    request: str


@attrs.frozen
class _SchedulerEvent:
    """An event for the scheduler: a call at the current time that returns actions."""

    apply: Callable[[float], list[Action]]


_Message = _PermitRequested | _PermitEnded | _CallWithdrawn | _SchedulerEvent


@final
class EngineTask:
    """Passes messages to the scheduler of one engine and executes its actions.

    Parameters
    ----------
    may_order
        Whether this instance still owns the engine and the engine is still listed;
        called directly before every order is sent.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        scheduler: EngineScheduler,
        tools: EngineTools,
        may_order: Callable[[], bool],
        revision: int,
    ) -> None:
        self._endpoint = endpoint
        self._scheduler = scheduler
        self._tools = tools
        self._may_order = may_order
        self._revision = revision
        self._mailbox: asyncio.Queue[_Message] = asyncio.Queue()
        self._pending: dict[str, asyncio.Future[PermitResult]] = {}
        self._tasks = TaskSet("engines")
        self._log = logs.get_logger("engines")
        self._failed_reports = 0

    @property
    def scheduler(self) -> EngineScheduler:
        """The scheduler; callers may read its state and change its limits."""
        return self._scheduler

    def start(self) -> None:
        """Start to process messages and to poll load reports."""
        self._tasks.start_lasting("engine messages", self._run)
        self._tasks.start_lasting("engine reports", self._poll_reports)

    async def close(self) -> None:
        """Refuse all queued calls and stop."""
        self._execute(self._scheduler.close())
        await self._tasks.close()

    async def acquire_permit(self, waiter: Waiter) -> PermitResult:
        """Wait until `waiter` is granted a permit or refused."""
        answer: asyncio.Future[PermitResult] = asyncio.Future()
        self._mailbox.put_nowait(_PermitRequested(waiter, answer))
        try:
            return await answer
        except asyncio.CancelledError:
            self.withdraw(waiter.request)
            # A permit that was granted at the same moment is returned.
            if answer.done() and not answer.cancelled():
                self._return_permit(answer.result())
            raise

    def end_permit(self, number: int, *, abandoned: bool) -> None:
        """Return a permit; an abandoned call may still be running at the engine."""
        self._mailbox.put_nowait(_PermitEnded(number, abandoned))

    def withdraw(self, request: str) -> None:
        """Withdraw a call, whether it is queued or has a permit already."""
        self._mailbox.put_nowait(_CallWithdrawn(request))

    def _return_permit(self, result: PermitResult) -> None:
        if isinstance(result, Success):
            self.end_permit(result.unwrap().number, abandoned=False)

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    message = await self._mailbox.get()
            except TimeoutError:
                self._execute(self._scheduler.tick(self._tools.clock.now()))
                continue
            self._execute(self._handle(message))

    def _handle(self, message: _Message) -> list[Action]:
        now = self._tools.clock.now()
        if isinstance(message, _PermitRequested):
            self._pending[message.waiter.request] = message.answer
            return self._scheduler.add_call(message.waiter, now)
        if isinstance(message, _PermitEnded):
            return self._scheduler.end_permit(
                message.number, abandoned=message.abandoned, now=now
            )
        if isinstance(message, _CallWithdrawn):
            self._pending.pop(message.request, None)
            return self._scheduler.withdraw_call(message.request, now)
        return message.apply(now)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, GrantPermit):
                self._grant(action.permit)
            elif isinstance(action, RefuseWaiter):
                self._resolve(action.waiter.request, Failure(action.refusal))
            elif isinstance(action, OrderLoad):
                self._tasks.start(self._load(action))
            else:
                self._tasks.start(self._unload(action))

    def _grant(self, permit: Permit) -> None:
        if not self._resolve(permit.waiter.request, Success(permit)):
            self.end_permit(permit.number, abandoned=False)

    def _resolve(self, request: str, result: PermitResult) -> bool:
        answer = self._pending.pop(request, None)
        if answer is None or answer.done():
            return False
        answer.set_result(result)
        return True

    async def _load(self, order: OrderLoad) -> None:
        try:
            await self._charge_for_load()
            outgoing = self._tools.protocol.build_load_order(
                order.adapter, order.fencing
            )
            await self._send_order(outgoing, f"load {order.adapter}", order.fencing)
        except OrderError as error:
            self._log.warning(
                "Loading an adapter failed.",
                adapter=str(order.adapter),
                cause=str(error),
            )
            self._post_event(
                lambda now: self._scheduler.record_load_failure(order.adapter, now)
            )
            return
        self._post_event(lambda now: self._scheduler.record_load(order.adapter, now))

    async def _unload(self, order: OrderUnload) -> None:
        succeeded = True
        try:
            outgoing = self._tools.protocol.build_unload_order(
                order.adapter, order.fencing
            )
            await self._send_order(outgoing, f"unload {order.adapter}", order.fencing)
        except OrderError as error:
            succeeded = False
            self._log.warning(
                "Unloading an adapter failed.",
                adapter=str(order.adapter),
                cause=str(error),
            )
        self._post_event(
            lambda now: self._scheduler.record_unload(order.adapter, succeeded, now)
        )

    async def _charge_for_load(self) -> None:
        deadline = self._tools.clock.now() + self._tools.times.load_timeout_s
        charged = await self._tools.allowances.charge(STORE_ACCOUNT, 1.0, deadline)
        if isinstance(charged, Failure):
            raise OrderError(charged.failure().detail)

    async def _send_order(
        self, outgoing: OutgoingRequest, subject: str, fencing: int
    ) -> None:
        try:
            exchange = await self._tools.pool.open(self._endpoint.address, fresh=True)
        except ConnectError as error:
            raise OrderError(str(error)) from error
        try:
            # Checked directly before sending, because the lease may have expired while
            # the order waited for its charge and its connection.
            if not self._may_order():
                raise OrderError(
                    "this instance no longer owns the engine, or it is no longer listed"
                )
            self._tools.audit.add(
                AuditKind.ORDER,
                revision=self._revision,
                subject=f"{self._endpoint.id}: {subject}",
                cause=f"fencing number {fencing}",
            )
            await exchange.send(
                outgoing, self._build_limits(self._tools.times.load_timeout_s)
            )
            head = await exchange.head()
            body = await exchange.body()
        except ExchangeInterruptedError as error:
            raise OrderError(str(error)) from error
        finally:
            exchange.close()
        if head.status != 200:
            raise OrderError(f"expected status 200, got {head.status}: {body[:200]!r}")

    async def _poll_reports(self) -> None:
        while True:
            requested_at = self._tools.clock.now()
            try:
                body = await self._fetch_report()
                report = self._tools.protocol.parse_report(body)
            except (
                ConnectError,
                ExchangeInterruptedError,
                InvalidReportError,
            ) as error:
                self._record_report_failure(str(error))
            else:
                self._failed_reports = 0
                self._post_event(
                    lambda now, r=report, a=requested_at: (  # type: ignore[misc]
                        self._scheduler.process_report(r, a, now)
                    )
                )
            await asyncio.sleep(self._tools.times.report_interval_s)

    async def _fetch_report(self) -> bytes:
        exchange = await self._tools.pool.open(self._endpoint.address, fresh=False)
        try:
            await exchange.send(
                self._tools.protocol.build_report_request(),
                self._build_limits(self._tools.times.report_interval_s),
            )
            head = await exchange.head()
            body = await exchange.body()
        finally:
            exchange.close()
        if head.status != 200:
            raise InvalidReportError(f"expected status 200, got {head.status}")
        return body

    def _build_limits(self, max_s: float) -> ResponseLimits:
        return ResponseLimits(max_s=max_s, max_body_bytes=_MAX_REPORT_BYTES)

    def _record_report_failure(self, cause: str) -> None:
        self._failed_reports += 1
        self._log.warning(
            "Fetching a load report failed.", engine=self._endpoint.id, cause=cause
        )
        if self._failed_reports >= _MAX_FAILED_REPORTS:
            self._post_event(self._scheduler.mark_unreachable)

    def _post_event(self, apply: Callable[[float], list[Action]]) -> None:
        self._mailbox.put_nowait(_SchedulerEvent(apply))


def engine_limits(endpoint: Endpoint, max_queue_length: int) -> EngineLimits:
    """Return the limits of an engine from its published entry."""
    return EngineLimits(
        adapter_slots=endpoint.adapter_slots,
        concurrency=endpoint.concurrency,
        max_queue_length=max_queue_length,
    )
