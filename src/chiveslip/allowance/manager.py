"""Where calls are charged: credits at hand, and the home when they run out.

Calls that the credits at hand do not cover wait in order, up to their deadlines;
one request to the home serves all of them.
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
from chiveslip.allowance.account import Report
from chiveslip.allowance.account import Reserve
from chiveslip.allowance.home import AllowanceHome
from chiveslip.allowance.home import CreditOutcome
from chiveslip.allowance.home import CreditRequest
from chiveslip.allowance.home import Limits
from chiveslip.clock import Clock
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.ownership import Ownership
from chiveslip.fleet.peers import Peers
from chiveslip.generated import peer_pb2 as wire
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.results import ResultCode
from chiveslip.tasks import TaskSet

REPORT_DELAY_S = 0.1
HOME_RETRY_S = 0.1
LONGEST_PAUSE_S = 0.25
SHORTEST_PAUSE_S = 0.002
_LOW_WATER = 0.5


@attrs.frozen(kw_only=True)
class CreditTimes:
    """Life of a credit and the horizon of demand, in seconds."""

    credit_s: float
    horizon_s: float


@attrs.define(eq=False)
class _Waiting:
    tokens: float
    deadline: float
    done: asyncio.Future[Result[Reserve, Refusal]]


@attrs.define(eq=False)
class _Line:
    account: Account
    waiting: collections.deque[_Waiting]
    asking: bool = False
    hurry: asyncio.Event = attrs.field(factory=asyncio.Event)


@final
class AllowanceManager:
    """Charges calls at one instance, and answers others as home.

    Parameters
    ----------
    limits_of
        Returns an account's limits in the configuration in force, or None.
    """

    def __init__(
        self,
        *,
        me: str,
        incarnation: str,
        clock: Clock,
        peers: Peers,
        ownership: Ownership,
        limits_of: Callable[[str], Limits | None],
        times: CreditTimes,
    ) -> None:
        self._me = me
        self._incarnation = incarnation
        self._clock = clock
        self._peers = peers
        self._ownership = ownership
        self._limits_of = limits_of
        self._times = times
        self._home = AllowanceHome(times.credit_s)
        self._lines: dict[str, _Line] = {}
        self._tasks = TaskSet("allowance")

    @property
    def home(self) -> AllowanceHome:
        """The buckets that this instance is home of."""
        return self._home

    async def close(self) -> None:
        """Stop asking homes."""
        await self._tasks.close()

    async def charge(
        self, account: str, tokens: float, deadline: float
    ) -> Result[Reserve, Refusal]:
        """Charge a call before it starts, waiting up to its deadline."""
        limits = self._limits_of(account)
        if limits is None or tokens > limits.burst:
            return Failure(_too_large(tokens, limits))
        line = self._line(account)
        line.account.follow(self._ownership.owner_of(home_key(account)) or "")
        if not line.waiting:
            reserve = line.account.charge(tokens, self._clock.now())
            if reserve is not None:
                self._ask_ahead(account, line)
                return Success(reserve)
        waiting = _Waiting(tokens, deadline, asyncio.Future())
        line.waiting.append(waiting)
        if len(line.waiting) == 1:
            line.hurry.set()
        self._start_asking(account, line)
        try:
            return await waiting.done
        except asyncio.CancelledError:
            self._give_up(account, line, waiting)
            raise

    def settle(self, account: str, reserve: Reserve, used: float) -> None:
        """Refund what a call did not use."""
        line = self._line(account)
        line.account.settle(reserve, used)
        if line.account.has_news:
            self._start_asking(account, line)

    def answer(self, request: wire.CreditRequest) -> wire.CreditReply:
        """Answer another instance as home."""
        account = request.organisation
        now = self._clock.now()
        revision = self._ownership.view.revision
        limits = self._limits_of(account)
        if limits is None or not self._ownership.check_ownership(
            home_key(account), now
        ):
            return wire.CreditReply(
                outcome=wire.CreditReply.NOT_HOME, view_revision=revision
            )
        answer = self._home.ask(
            account,
            limits,
            _read_request(request),
            term=self._ownership.term,
            now=now,
        )
        return wire.CreditReply(
            outcome=_OUTCOMES[answer.outcome],
            grant=answer.grant,
            tokens=answer.tokens,
            wait_seconds=answer.wait_s,
            view_revision=revision,
        )

    def drop_moved(self) -> None:
        """Forget the buckets whose home is another instance now."""
        for account in self._home.organisations:
            if self._ownership.owner_of(home_key(account)) != self._me:
                self._home.release(account, self._clock.now())

    def _line(self, account: str) -> _Line:
        line = self._lines.get(account)
        if line is None:
            line = _Line(Account(), collections.deque())
            self._lines[account] = line
        return line

    def _ask_ahead(self, account: str, line: _Line) -> None:
        now = self._clock.now()
        horizon_s = self._times.horizon_s * _LOW_WATER
        if line.account.wanted(0.0, horizon_s, now) > 0:
            line.hurry.set()
            self._start_asking(account, line)

    def _start_asking(self, account: str, line: _Line) -> None:
        if line.asking:
            return
        line.asking = True
        self._tasks.start(self._ask_until_served(account, line))

    async def _ask_until_served(self, account: str, line: _Line) -> None:
        pause_s = REPORT_DELAY_S
        try:
            while True:
                await _pause(line, min(pause_s, LONGEST_PAUSE_S))
                pause_s = await self._ask_once(account, line)
                self._refuse_late(line)
                if not line.waiting and not line.account.has_news:
                    return
                if not line.waiting:
                    pause_s = max(pause_s, REPORT_DELAY_S)
        finally:
            line.asking = False

    async def _ask_once(self, account: str, line: _Line) -> float:
        """Ask the home once; return the seconds until it is worth asking again."""
        home = self._ownership.owner_of(home_key(account)) or ""
        line.account.follow(home)
        self._serve(line)
        asked_at = self._clock.now()
        needed = sum(waiting.tokens for waiting in line.waiting)
        wanted = line.account.wanted(needed, self._times.horizon_s, asked_at)
        least = 0.0
        if line.waiting:
            available = line.account.available(asked_at)
            least = max(line.waiting[0].tokens - available, 0.0)
        report = line.account.report(asked_at)
        request = self._request(account, wanted, least, report)
        reply = await self._send(home, request)
        if reply is None or line.account.home != home:
            return HOME_RETRY_S
        line.account.acknowledged(report.sequence)
        if reply.outcome == wire.CreditReply.WAIT:
            waited_for = line.waiting[0] if line.waiting else None
            self._refuse_hopeless(account, line, reply.wait_seconds)
            if line.waiting and line.waiting[0] is not waited_for:
                return 0.0
            # A wait of almost nothing would only ask again in vain.
            return max(reply.wait_seconds, SHORTEST_PAUSE_S)
        if reply.outcome == wire.CreditReply.TOO_LARGE:
            self._refuse_first(line)
            return 0.0
        expires_at = asked_at + self._times.credit_s
        if reply.tokens > 0 and self._clock.now() < expires_at:
            line.account.granted(reply.grant, reply.tokens, expires_at)
        self._serve(line)
        return 0.0

    async def _send(
        self, home: str, request: wire.CreditRequest
    ) -> wire.CreditReply | None:
        if home == self._me:
            reply = self.answer(request)
        else:
            try:
                reply = await self._peers.credit(home, request)
            except PeerError:
                return None
        return None if reply.outcome == wire.CreditReply.NOT_HOME else reply

    def _request(
        self, account: str, wanted: float, least: float, report: Report
    ) -> wire.CreditRequest:
        return wire.CreditRequest(
            instance=self._me,
            incarnation=self._incarnation,
            organisation=account,
            view_revision=self._ownership.view.revision,
            wanted=wanted,
            least=least,
            sequence=report.sequence,
            spent=[wire.Refund(grant=p.grant, tokens=p.tokens) for p in report.spent],
            refunds=[
                wire.Refund(grant=p.grant, tokens=p.tokens) for p in report.refunds
            ],
        )

    def _serve(self, line: _Line) -> None:
        while line.waiting:
            first = line.waiting[0]
            if first.done.done():
                line.waiting.popleft()
                continue
            reserve = line.account.charge(first.tokens, self._clock.now())
            if reserve is None:
                return
            line.waiting.popleft()
            first.done.set_result(Success(reserve))

    def _refuse_late(self, line: _Line) -> None:
        now = self._clock.now()
        for waiting in [w for w in line.waiting if w.deadline <= now]:
            line.waiting.remove(waiting)
            detail = "The home of the allowance did not answer before the deadline."
            _refuse(waiting, result_codes.HOME_UNAVAILABLE, detail, None)

    def _refuse_hopeless(self, account: str, line: _Line, first_wait_s: float) -> None:
        """Refuse at once what cannot be served before its deadline."""
        limits = self._limits_of(account)
        if limits is None or not line.waiting:
            return
        now = self._clock.now()
        first = line.waiting[0]
        if now + first_wait_s > first.deadline:
            # The next one in line may need less, so it is asked for first.
            line.waiting.popleft()
            _refuse_exceeded(first, first_wait_s)
            return
        wait_s = first_wait_s
        for waiting in list(line.waiting)[1:]:
            needed_s = waiting.tokens / limits.rate
            if now + wait_s + needed_s > waiting.deadline:
                line.waiting.remove(waiting)
                _refuse_exceeded(waiting, wait_s + needed_s)
                continue
            wait_s += needed_s

    def _refuse_first(self, line: _Line) -> None:
        if not line.waiting:
            return
        waiting = line.waiting.popleft()
        detail = "The call needs more tokens than the organisation's burst."
        _refuse(waiting, result_codes.LARGER_THAN_BURST, detail, None)

    def _give_up(self, account: str, line: _Line, waiting: _Waiting) -> None:
        if waiting in line.waiting:
            line.waiting.remove(waiting)
        done = waiting.done
        # The charge may have come in the same moment as the cancellation.
        if not done.done() or done.cancelled():
            return
        result = done.result()
        if isinstance(result, Success):
            self.settle(account, result.unwrap(), 0.0)


async def _pause(line: _Line, seconds: float) -> None:
    """Wait before asking again, but not when the first call begins to wait."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await line.hurry.wait()
    line.hurry.clear()


def home_key(account: str) -> str:
    """Return the key whose home keeps the bucket of `account`."""
    return f"allowance/{account}"


def _refuse(
    waiting: _Waiting,
    code: ResultCode,
    detail: str,
    retry_after_s: float | None,
) -> None:
    if waiting.done.done():
        return
    refusal = Refusal(code=code, detail=detail, retry_after_s=retry_after_s)
    waiting.done.set_result(Failure(refusal))


def _refuse_exceeded(waiting: _Waiting, wait_s: float) -> None:
    detail = "The organisation's allowance does not cover the call in time."
    _refuse(waiting, result_codes.ALLOWANCE_EXCEEDED, detail, wait_s)


def _too_large(tokens: float, limits: Limits | None) -> Refusal:
    if limits is None:
        detail = "The organisation has no allowance any more."
        return Refusal(code=result_codes.KEY_REFUSED, detail=detail)
    detail = (
        f"The call needs {tokens:g} tokens and the organisation's burst is "
        f"{limits.burst:g}; ask for fewer tokens."
    )
    return Refusal(code=result_codes.LARGER_THAN_BURST, detail=detail)


def _read_request(request: wire.CreditRequest) -> CreditRequest:
    return CreditRequest(
        instance=request.instance,
        incarnation=request.incarnation,
        wanted=max(request.wanted, 0.0),
        least=max(request.least, 0.0),
        report=Report(
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


_OUTCOMES = {
    CreditOutcome.GRANTED: wire.CreditReply.GRANTED,
    CreditOutcome.WAIT: wire.CreditReply.WAIT,
    CreditOutcome.TOO_LARGE: wire.CreditReply.TOO_LARGE,
}
