"""Charges calls to allowances and requests credits from the owners of the buckets.

An account is named after its organisation; the weight store has an account of its
own. Calls that the present credits do not cover wait in a queue until their
deadlines. One request to the owner covers all of them.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
from collections.abc import Callable
from typing import final

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from chiveslip.allowance.account import Account
from chiveslip.allowance.account import Portion
from chiveslip.allowance.account import Reservation
from chiveslip.allowance.account import UsageReport
from chiveslip.allowance.owned_buckets import AllowanceLimits
from chiveslip.allowance.owned_buckets import CreditOutcome
from chiveslip.allowance.owned_buckets import CreditRequest
from chiveslip.allowance.owned_buckets import OwnedBuckets
from chiveslip.clock import Clock
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.ownership import Ownership
from chiveslip.fleet.peers import Peers
from chiveslip.generated import peer_pb2 as wire
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.results import ResultCode
from chiveslip.tasks import TaskSet

# Usage is collected for this time before it is reported, unless credits are needed.
REPORT_DELAY_S = 0.1
OWNER_RETRY_S = 0.1
MAX_REQUEST_INTERVAL_S = 0.25
MIN_REQUEST_INTERVAL_S = 0.002
# Credits are requested ahead when they cover less than this share of the horizon.
_LOW_WATER_SHARE = 0.5


@attrs.frozen(kw_only=True)
class CreditTimes:
    """Lifetime of a credit and horizon of the expected use, both in seconds."""

    credit_s: float
    horizon_s: float


@attrs.define(eq=False)
class _WaitingCall:
    tokens: float
    deadline: float
    done: asyncio.Future[Result[Reservation, Refusal]]


@attrs.define(eq=False)
class _AccountQueue:
    account: Account
    waiting: collections.deque[_WaitingCall]
    is_requesting: bool = False
    wake_up: asyncio.Event = attrs.field(factory=asyncio.Event)


@final
class AllowanceManager:
    """Charges calls on one instance and grants credits for the buckets it owns.

    Parameters
    ----------
    get_limits
        Returns the limits of an account in the active configuration, or None.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        incarnation: str,
        clock: Clock,
        peers: Peers,
        ownership: Ownership,
        get_limits: Callable[[str], AllowanceLimits | None],
        times: CreditTimes,
    ) -> None:
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._clock = clock
        self._peers = peers
        self._ownership = ownership
        self._get_limits = get_limits
        self._times = times
        self._owned_buckets = OwnedBuckets(times.credit_s)
        self._queues: dict[str, _AccountQueue] = {}
        self._tasks = TaskSet("allowance")

    @property
    def owned_buckets(self) -> OwnedBuckets:
        """Buckets that this instance owns."""
        return self._owned_buckets

    async def close(self) -> None:
        """Stop requesting credits."""
        await self._tasks.close()

    async def charge(
        self, account: str, tokens: float, deadline: float
    ) -> Result[Reservation, Refusal]:
        """Charge a call before it starts; wait for credits until its deadline.

        Parameters
        ----------
        deadline
            Local time in seconds.
        """
        limits = self._get_limits(account)
        if limits is None or tokens > limits.burst:
            return Failure(_build_limits_refusal(tokens, limits))
        queue = self._get_or_create_queue(account)
        queue.account.set_owner(self._ownership.owner_of(allowance_key(account)) or "")
        if not queue.waiting:
            reservation = queue.account.charge(tokens, self._clock.now())
            if reservation is not None:
                self._request_ahead(account, queue)
                return Success(reservation)
        waiting = _WaitingCall(tokens, deadline, asyncio.Future())
        queue.waiting.append(waiting)
        if len(queue.waiting) == 1:
            queue.wake_up.set()
        self._start_requesting(account, queue)
        try:
            return await waiting.done
        except asyncio.CancelledError:
            self._cancel_waiting(account, queue, waiting)
            raise

    def settle(self, account: str, reservation: Reservation, used: float) -> None:
        """Refund the part of a reservation that a call did not use.

        Parameters
        ----------
        used
            Tokens that the call used.
        """
        queue = self._get_or_create_queue(account)
        queue.account.settle(reservation, used)
        if queue.account.has_unreported_usage:
            self._start_requesting(account, queue)

    def answer_credit_request(self, request: wire.CreditRequest) -> wire.CreditReply:
        """Answer a request for credit if this instance owns the bucket."""
        account = request.organisation
        now = self._clock.now()
        revision = self._ownership.view.revision
        limits = self._get_limits(account)
        if limits is None or not self._ownership.check_ownership(
            allowance_key(account), now
        ):
            return wire.CreditReply(
                outcome=wire.CreditReply.NOT_HOME, view_revision=revision
            )
        answer = self._owned_buckets.grant_credit(
            account,
            limits,
            _parse_request(request),
            term=self._ownership.term,
            now=now,
        )
        return wire.CreditReply(
            outcome=_WIRE_OUTCOMES[answer.outcome],
            grant=answer.grant,
            tokens=answer.tokens,
            wait_seconds=answer.wait_s,
            view_revision=revision,
        )

    def release_moved_buckets(self) -> None:
        """Drop the buckets that another instance owns now."""
        for account in self._owned_buckets.organisations:
            if self._ownership.owner_of(allowance_key(account)) != self._instance_id:
                self._owned_buckets.release_bucket(account, self._clock.now())

    def _get_or_create_queue(self, account: str) -> _AccountQueue:
        queue = self._queues.get(account)
        if queue is None:
            queue = _AccountQueue(Account(), collections.deque())
            self._queues[account] = queue
        return queue

    def _request_ahead(self, account: str, queue: _AccountQueue) -> None:
        now = self._clock.now()
        horizon_s = self._times.horizon_s * _LOW_WATER_SHARE
        if queue.account.calculate_request(0.0, horizon_s, now) > 0:
            queue.wake_up.set()
            self._start_requesting(account, queue)

    def _start_requesting(self, account: str, queue: _AccountQueue) -> None:
        if queue.is_requesting:
            return
        queue.is_requesting = True
        self._tasks.start(self._request_until_served(account, queue))

    async def _request_until_served(self, account: str, queue: _AccountQueue) -> None:
        interval_s = REPORT_DELAY_S
        try:
            while True:
                await _wait_before_request(
                    queue, min(interval_s, MAX_REQUEST_INTERVAL_S)
                )
                interval_s = await self._request_once(account, queue)
                self._refuse_expired(queue)
                if not queue.waiting and not queue.account.has_unreported_usage:
                    return
                if not queue.waiting:
                    interval_s = max(interval_s, REPORT_DELAY_S)
        finally:
            queue.is_requesting = False

    async def _request_once(self, account: str, queue: _AccountQueue) -> float:
        """Send one request to the owner; return the seconds until the next one."""
        owner = self._ownership.owner_of(allowance_key(account)) or ""
        queue.account.set_owner(owner)
        self._serve_waiting_calls(queue)
        requested_at = self._clock.now()
        required = sum(waiting.tokens for waiting in queue.waiting)
        wanted = queue.account.calculate_request(
            required, self._times.horizon_s, requested_at
        )
        minimum = 0.0
        if queue.waiting:
            available = queue.account.refresh_available(requested_at)
            minimum = max(queue.waiting[0].tokens - available, 0.0)
        report = queue.account.prepare_report(requested_at)
        request = self._build_request(account, wanted, minimum, report)
        reply = await self._send_request(owner, request)
        if reply is None or queue.account.owner != owner:
            return OWNER_RETRY_S
        queue.account.acknowledge_report(report.sequence)
        if reply.outcome == wire.CreditReply.WAIT:
            first_before = queue.waiting[0] if queue.waiting else None
            self._refuse_unservable(account, queue, reply.wait_seconds)
            if queue.waiting and queue.waiting[0] is not first_before:
                return 0.0
            # A shorter interval would only cause more requests that come too early.
            return max(reply.wait_seconds, MIN_REQUEST_INTERVAL_S)
        if reply.outcome == wire.CreditReply.TOO_LARGE:
            self._refuse_too_large(queue)
            return 0.0
        expires_at = requested_at + self._times.credit_s
        if reply.tokens > 0 and self._clock.now() < expires_at:
            queue.account.add_credit(reply.grant, reply.tokens, expires_at)
        self._serve_waiting_calls(queue)
        return 0.0

    async def _send_request(
        self, owner: str, request: wire.CreditRequest
    ) -> wire.CreditReply | None:
        if owner == self._instance_id:
            reply = self.answer_credit_request(request)
        else:
            try:
                reply = await self._peers.credit(owner, request)
            except PeerError:
                return None
        return None if reply.outcome == wire.CreditReply.NOT_HOME else reply

    def _build_request(
        self, account: str, wanted: float, minimum: float, report: UsageReport
    ) -> wire.CreditRequest:
        return wire.CreditRequest(
            instance=self._instance_id,
            incarnation=self._incarnation,
            organisation=account,
            view_revision=self._ownership.view.revision,
            wanted=wanted,
            least=minimum,
            sequence=report.sequence,
            spent=[wire.Refund(grant=p.grant, tokens=p.tokens) for p in report.spent],
            refunds=[
                wire.Refund(grant=p.grant, tokens=p.tokens) for p in report.refunds
            ],
        )

    def _serve_waiting_calls(self, queue: _AccountQueue) -> None:
        while queue.waiting:
            first = queue.waiting[0]
            if first.done.done():
                queue.waiting.popleft()
                continue
            reservation = queue.account.charge(first.tokens, self._clock.now())
            if reservation is None:
                return
            queue.waiting.popleft()
            first.done.set_result(Success(reservation))

    def _refuse_expired(self, queue: _AccountQueue) -> None:
        now = self._clock.now()
        for waiting in [w for w in queue.waiting if w.deadline <= now]:
            queue.waiting.remove(waiting)
            detail = (
                "The instance that owns the allowance did not answer; repeat the call."
            )
            _refuse(waiting, result_codes.HOME_UNAVAILABLE, detail, None)

    def _refuse_unservable(
        self, account: str, queue: _AccountQueue, first_wait_s: float
    ) -> None:
        """Refuse calls that cannot be served before their deadlines."""
        limits = self._get_limits(account)
        if limits is None or not queue.waiting:
            return
        now = self._clock.now()
        first = queue.waiting[0]
        if now + first_wait_s > first.deadline:
            # The next call may need fewer tokens, so its request comes first.
            queue.waiting.popleft()
            _refuse_exceeded(first, first_wait_s)
            return
        wait_s = first_wait_s
        for waiting in list(queue.waiting)[1:]:
            refill_s = waiting.tokens / limits.rate
            if now + wait_s + refill_s > waiting.deadline:
                queue.waiting.remove(waiting)
                _refuse_exceeded(waiting, wait_s + refill_s)
                continue
            wait_s += refill_s

    def _refuse_too_large(self, queue: _AccountQueue) -> None:
        if not queue.waiting:
            return
        waiting = queue.waiting.popleft()
        detail = (
            "The call needs more tokens than the organisation's burst; ask for fewer."
        )
        _refuse(waiting, result_codes.LARGER_THAN_BURST, detail, None)

    def _cancel_waiting(
        self, account: str, queue: _AccountQueue, waiting: _WaitingCall
    ) -> None:
        if waiting in queue.waiting:
            queue.waiting.remove(waiting)
        done = waiting.done
        # The charge may have completed at the same time as the cancellation.
        if not done.done() or done.cancelled():
            return
        result = done.result()
        if isinstance(result, Success):
            self.settle(account, result.unwrap(), 0.0)


async def _wait_before_request(queue: _AccountQueue, seconds: float) -> None:
    """Wait for `seconds`, or until a first call waits or credits run low."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await queue.wake_up.wait()
    queue.wake_up.clear()


def allowance_key(account: str) -> str:
    """Return the key that is hashed to find the instance owning an allowance."""
    return f"allowance/{account}"


def _refuse(
    waiting: _WaitingCall,
    code: ResultCode,
    detail: str,
    retry_after_s: float | None,
) -> None:
    if waiting.done.done():
        return
    refusal = Refusal(code=code, detail=detail, retry_after_s=retry_after_s)
    waiting.done.set_result(Failure(refusal))


def _refuse_exceeded(waiting: _WaitingCall, wait_s: float) -> None:
    detail = "The organisation's allowance does not cover the call before its deadline."
    _refuse(waiting, result_codes.ALLOWANCE_EXCEEDED, detail, wait_s)


def _build_limits_refusal(tokens: float, limits: AllowanceLimits | None) -> Refusal:
    if limits is None:
        detail = (
            "The active configuration has no allowance for this organisation; "
            "ask your operator for one."
        )
        return Refusal(code=result_codes.KEY_REFUSED, detail=detail)
    detail = (
        f"The call needs {tokens:g} tokens and the organisation's burst is "
        f"{limits.burst:g}; ask for fewer tokens."
    )
    return Refusal(code=result_codes.LARGER_THAN_BURST, detail=detail)


def _parse_request(request: wire.CreditRequest) -> CreditRequest:
    return CreditRequest(
        instance=request.instance,
        incarnation=request.incarnation,
        wanted=max(request.wanted, 0.0),
        minimum=max(request.least, 0.0),
        report=UsageReport(
            sequence=request.sequence,
            spent=tuple(
                Portion(grant=p.grant, tokens=max(p.tokens, 0.0)) for p in request.spent
            ),
            refunds=tuple(
                Portion(grant=p.grant, tokens=max(p.tokens, 0.0))
                for p in request.refunds
            ),
        ),
    )


_WIRE_OUTCOMES = {
    CreditOutcome.GRANTED: wire.CreditReply.GRANTED,
    CreditOutcome.WAIT: wire.CreditReply.WAIT,
    CreditOutcome.TOO_LARGE: wire.CreditReply.TOO_LARGE,
}
