"""Calls to plain services, either idempotent or at-most-once."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import final

import attrs
from returns.result import Failure

from chiveslip import auth
from chiveslip import hashing
from chiveslip.allowance.account import Reservation
from chiveslip.allowance.manager import AllowanceManager
from chiveslip.auth import Caller
from chiveslip.clock import Clock
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.model import Endpoint
from chiveslip.configuration.model import EndpointList
from chiveslip.configuration.model import Route
from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import Exchange
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.dispatch.connection import ResponseHead
from chiveslip.dispatch.outcome import CallRefusedError
from chiveslip.dispatch.outcome import Step
from chiveslip.dispatch.outcome import Trace
from chiveslip.dispatch.outcome import adjust_refusal
from chiveslip.dispatch.outcome import call_refused
from chiveslip.dispatch.reply import Call
from chiveslip.dispatch.reply import Reply
from chiveslip.dispatch.response_limits import ResponseLimits
from chiveslip.dispatch.retry_budget import RetryBudget
from chiveslip.generated import result_codes
from chiveslip.idempotency.claims import Claim
from chiveslip.idempotency.claims import Claims
from chiveslip.idempotency.decision import Replayed
from chiveslip.idempotency.records import IdempotencyKey
from chiveslip.idempotency.records import StoredAnswer
from chiveslip.services.endpoint_selector import EndpointSelector
from chiveslip.services.protocol import ServiceProtocol

_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_OPEN_ORGANISATION = "open"
_MIN_SERVER_ERROR_STATUS = 500


@attrs.frozen(kw_only=True)
class ServiceCallTools:
    """Dependencies that all service calls of an instance share.

    Attributes
    ----------
    max_retries
        Maximum number of attempts of one call after the first.
    """

    instance_id: str
    clock: Clock
    allowances: AllowanceManager
    claims: Claims
    pool: Connector
    protocol: ServiceProtocol
    endpoint_selector: EndpointSelector
    retry_budget: RetryBudget
    count_instances: Callable[[], int]
    configuration: Callable[[], Configuration | None]
    endpoints: Callable[[], EndpointList]
    max_retries: int


class _NotSentError(Exception):
    """The attempt failed before any byte of the request was sent."""


@final
class ServiceCall:
    """Runs one call to a plain service.

    Parameters
    ----------
    caller
        The authenticated caller, or None on an open route.
    idempotency_key
        The caller's idempotency key, or None.
    """

    def __init__(
        self,
        tools: ServiceCallTools,
        call: Call,
        caller: Caller | None,
        route: Route,
        idempotency_key: str | None,
        reply: Reply,
        trace: Trace,
    ) -> None:
        self._tools = tools
        self._call = call
        self._caller = caller
        self._route = route
        self._idempotency_key = idempotency_key
        self._reply = reply
        self._trace = trace

    async def run(self) -> None:
        """Run the call and answer it.

        Raises
        ------
        CallRefusedError
            If the call ends with a refusal.
        CallerDisconnectedError
            If the caller disconnected.
        """
        if self._caller is None:
            await self._run_charged()
            return
        account = f"organisation/{self._caller.organisation.name}"
        charged = await self._tools.allowances.charge(
            account, self._route.tokens, self._call.deadline
        )
        if isinstance(charged, Failure):
            raise CallRefusedError(charged.failure())
        self._add_step(Step.ALLOW, f"charged {self._route.tokens:g} tokens")
        try:
            await self._run_charged()
        except CallRefusedError as error:
            self._refund_if_not_run(account, charged.unwrap(), error)
            raise

    def _refund_if_not_run(
        self, account: str, reservation: Reservation, error: CallRefusedError
    ) -> None:
        if error.refusal.code.run is result_codes.NO_ENDPOINT.run:
            self._tools.allowances.settle(account, reservation, 0.0)

    async def _run_charged(self) -> None:
        if self._route.idempotent:
            await self._run_idempotent()
        elif self._idempotency_key is None:
            await self._run_at_most_once(None)
        else:
            await self._run_with_claim(self._idempotency_key)

    async def _run_idempotent(self) -> None:
        now = self._tools.clock.now()
        self._tools.retry_budget.record_request(self._route.service, now)
        tried: list[str] = []
        detail = f"No live endpoint of {self._route.service} accepted the call."
        error = call_refused(result_codes.NO_ENDPOINT, detail)
        while True:
            endpoint = self._select_endpoint(tried)
            if endpoint is None or len(tried) > self._tools.max_retries:
                raise error
            tried.append(endpoint.id)
            try:
                head, body = await self._attempt(endpoint, fresh=False)
            except _NotSentError as cause:
                # Nothing was run, so another endpoint is tried without a retry from the
                # budget.
                if error.refusal.code is result_codes.NO_ENDPOINT:
                    error = call_refused(result_codes.NO_ENDPOINT, str(cause))
                continue
            except CallRefusedError as cause:
                was_sent = error.refusal.code is result_codes.ENDPOINT_FAILED
                raise CallRefusedError(
                    adjust_refusal(was_sent, cause.refusal)
                ) from cause
            except ExchangeInterruptedError as cause:
                error = call_refused(result_codes.ENDPOINT_FAILED, str(cause))
                if not self._take_retry(tried):
                    raise error from cause
                continue
            if head.status >= _MIN_SERVER_ERROR_STATUS and self._take_retry(tried):
                error = call_refused(
                    result_codes.ENDPOINT_FAILED, f"status {head.status}"
                )
                continue
            await self._answer(head.status, _content_type(head), body)
            return

    def _take_retry(self, tried: list[str]) -> bool:
        if self._remaining_s <= 0 or len(tried) > self._tools.max_retries:
            return False
        if self._select_endpoint(tried) is None:
            return False
        return self._tools.retry_budget.take_retry(
            self._route.service, self._tools.count_instances(), self._tools.clock.now()
        )

    async def _run_with_claim(self, idempotency_key: str) -> None:
        organisation = _OPEN_ORGANISATION
        if self._caller is not None:
            organisation = self._caller.organisation.name
        key = IdempotencyKey(
            organisation=organisation,
            key_hash=hashing.content_hash(idempotency_key.encode()),
        )
        claim = await self._tools.claims.place_claim(
            key, self._body_hash(), uuid.uuid4().hex, self._call.deadline
        )
        if isinstance(claim.result, Failure):
            raise CallRefusedError(claim.result.failure())
        granted = claim.result.unwrap()
        if isinstance(granted, Replayed):
            self._add_step(Step.QUEUE, "answered from the record of the first call")
            recorded = granted.answer
            await self._answer(
                recorded.status, recorded.content_type, recorded.body, replayed=True
            )
            return
        self._add_step(Step.QUEUE, "idempotency record created")
        await self._run_at_most_once(claim)

    async def _run_at_most_once(self, claim: Claim | None) -> None:
        """Send the call at most once; try another endpoint only if nothing was sent."""
        tried: list[str] = []
        cause = f"no live endpoint of {self._route.service}"
        while len(tried) <= self._tools.max_retries:
            endpoint = self._select_endpoint(tried)
            if endpoint is None:
                break
            tried.append(endpoint.id)
            try:
                head, body = await self._attempt(endpoint, fresh=True)
            except _NotSentError as error:
                cause = str(error)
                continue
            except CallRefusedError:
                # All of these refusals are raised before the first byte is sent.
                self._withdraw_claim(claim)
                raise
            except ExchangeInterruptedError as error:
                code = result_codes.OUTCOME_UNKNOWN
                if self._remaining_s <= 0:
                    code = result_codes.DEADLINE_WHILE_RUNNING
                raise call_refused(code, str(error)) from error
            self._finish_claim(claim, head, body)
            await self._answer(head.status, _content_type(head), body)
            return
        self._withdraw_claim(claim)
        raise call_refused(result_codes.NO_ENDPOINT, cause)

    def _withdraw_claim(self, claim: Claim | None) -> None:
        if claim is not None:
            self._tools.claims.withdraw_claim(claim)

    def _finish_claim(
        self, claim: Claim | None, head: ResponseHead, body: bytes
    ) -> None:
        if claim is None:
            return
        answer = StoredAnswer(
            status=head.status, content_type=_content_type(head), body=body
        )
        self._tools.claims.record_answer(claim, answer)

    async def _attempt(
        self, endpoint: Endpoint, *, fresh: bool
    ) -> tuple[ResponseHead, bytes]:
        selector = self._tools.endpoint_selector
        self._add_step(Step.PLACE, endpoint.id)
        began_at = self._tools.clock.now()
        selector.health.begin_trial(endpoint.id, began_at)
        try:
            exchange = await self._tools.pool.open(endpoint.address, fresh=fresh)
        except ConnectError as error:
            selector.health.record_failure(
                endpoint.id,
                self._tools.clock.now(),
                is_unreachable=True,
                began_at=began_at,
            )
            raise _NotSentError(str(error)) from error
        if not exchange.reused:
            selector.health.record_reachable(endpoint.id)
        # The endpoint may have begun to leave while the connection was opened.
        if not self._tools.endpoints().accepts_calls(endpoint):
            exchange.close()
            raise _NotSentError(f"{endpoint.id} no longer accepts calls.")
        selector.record_start(endpoint.id)
        succeeded = False
        try:
            head, body = await self._exchange(exchange, endpoint)
            succeeded = head.status < _MIN_SERVER_ERROR_STATUS
        finally:
            selector.record_end(endpoint.id)
            self._record_health(endpoint.id, succeeded=succeeded)
            if exchange.end is not None:
                self._add_step(Step.RESPONSE_END, f"{endpoint.id}: {exchange.end}")
            exchange.close()
        return head, body

    def _record_health(self, endpoint: str, *, succeeded: bool) -> None:
        health = self._tools.endpoint_selector.health
        if succeeded:
            health.record_success(endpoint)
        else:
            health.record_failure(
                endpoint, self._tools.clock.now(), is_unreachable=False
            )

    async def _exchange(
        self, exchange: Exchange, endpoint: Endpoint
    ) -> tuple[ResponseHead, bytes]:
        self._check_before_sending()
        self._trace.endpoint = endpoint.id
        self._trace.tokens = self._route.tokens
        await exchange.send(
            self._tools.protocol.build_request(self._call, self._caller),
            ResponseLimits(max_s=self._remaining_s, max_body_bytes=_MAX_RESPONSE_BYTES),
        )
        self._add_step(Step.DISPATCH, f"sent to {endpoint.id}")
        head = await exchange.head()
        if not self._tools.protocol.is_answer_to(self._call, head):
            raise ExchangeInterruptedError("the endpoint answered another request")
        self._add_step(Step.FIRST_BYTE, f"status {head.status}")
        body = await exchange.body()
        return head, body

    def _check_before_sending(self) -> None:
        if self._remaining_s <= 0:
            detail = "The deadline passed before the call was sent."
            raise call_refused(result_codes.DEADLINE_BEFORE_START, detail)
        if self._caller is None:
            return
        configuration = self._tools.configuration()
        if configuration is None:
            raise call_refused(
                result_codes.NOT_READY, "This instance has no configuration yet."
            )
        authenticated = auth.find_caller(self._caller.key_hash, configuration)
        if isinstance(authenticated, Failure):
            raise CallRefusedError(authenticated.failure())

    def _select_endpoint(self, tried: list[str]) -> Endpoint | None:
        live = self._tools.endpoints().live_service_endpoints(self._route.service)
        return self._tools.endpoint_selector.select_endpoint(
            live, tried, self._tools.clock.now()
        )

    async def _answer(
        self, status: int, content_type: str, body: bytes, *, replayed: bool = False
    ) -> None:
        headers = {"Content-Type": content_type}
        if replayed:
            headers["Idempotent-Replayed"] = "true"
        await self._reply.start(status, headers)
        await self._reply.write(body)
        await self._reply.finish()

    def _body_hash(self) -> str:
        name = f"{self._call.method} {self._call.path}\n"
        return hashing.content_hash(name.encode() + self._call.body)

    @property
    def _remaining_s(self) -> float:
        return self._call.deadline - self._tools.clock.now()

    def _add_step(self, step: Step, text: str) -> None:
        self._trace.add_step(self._tools.clock.now(), step, text)


def _content_type(head: ResponseHead) -> str:
    return str(head.headers.get("Content-Type", "application/octet-stream"))
