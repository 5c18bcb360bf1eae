"""The way of one request: admitted, sent, repeated where that is allowed.

`Gateway.handle` is the road of every request: route, key, allowance, endpoint,
tries. Endpoints of plain services and engines differ only in who chooses them.
"""

from __future__ import annotations

import abc
import asyncio
import random
from collections.abc import Callable
from typing import final

import attrs

from chiveslip import hashing
from chiveslip.clock import Clock
from chiveslip.dispatch.retry_budget import RetryBudget
from chiveslip.dispatch.suspects import CrashedEndpoint
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.call import Call
from chiveslip.gateway.dialect import GatewayDialect
from chiveslip.gateway.dialect import Passing
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.event_stream import EventSplitter
from chiveslip.gateway.ingress import IngressReply
from chiveslip.gateway.ingress import IngressRequest
from chiveslip.gateway.measures import GatewayMeasures
from chiveslip.gateway.record import RequestRecord
from chiveslip.gateway.refusals import Refuser
from chiveslip.gateway.routing import Organisation
from chiveslip.gateway.routing import Repeat
from chiveslip.gateway.routing import RoutingTable
from chiveslip.gateway.sending import Sender
from chiveslip.gateway.sending import StreamState
from chiveslip.gateway.sending import Tried
from chiveslip.gateway.sending import TryResult
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.results import ResultCode
from chiveslip.services.health import EndpointHealth
from chiveslip.tasks import TaskSet

# Most endpoints that a request is offered to, counting those that did not run it. A
# fourth refusal in a row means that the service is full.
_MOST_OFFERS = 4
# A request with less time left than a round trip to an endpoint is not sent again.
_LEAST_LEFT_S = 0.005
# A process that crashed closes its port within milliseconds of its connections.
_CRASH_LOOK_S = 0.05
# Another instance can take the request at once.
_ELSEWHERE_RETRY_S = 0.05
# What kept endpoints from taking a request (a load, a full queue) passes this soon.
_NOT_TAKEN_RETRY_S = 0.3


@attrs.frozen(kw_only=True)
class Target:
    """Where a request goes next.

    Attributes
    ----------
    version
        Version of the adapter that must answer, or None.
    """

    endpoint: ListedEndpoint
    version: int | None = None


class Way(abc.ABC):
    """Chooses endpoints for the requests of one kind of service."""

    @abc.abstractmethod
    async def choose(self, call: Call) -> Target | Refusal:
        """Return where the request goes next, or why it cannot go anywhere."""

    @abc.abstractmethod
    def begins(self, call: Call, target: Target) -> None:
        """Note that the request is sent."""

    @abc.abstractmethod
    def first_event(self, call: Call, target: Target) -> None:
        """Note that its answer has begun."""

    @abc.abstractmethod
    def ends(self, call: Call, target: Target, result: TryResult | None) -> None:
        """Note how the try ended; None if its caller left."""


@attrs.frozen(kw_only=True)
class GatewayParts:
    """What a gateway is made of."""

    clock: Clock
    dialect: GatewayDialect
    measures: GatewayMeasures
    sender: Sender
    allowances: SharedAllowances
    budget: RetryBudget
    health: EndpointHealth
    suspects: CrashSuspects
    engines: Way
    services: Way
    generator: random.Random
    table: Callable[[], RoutingTable | None]
    instances: Callable[[], int]
    takes_requests: Callable[[], bool]


@final
class Gateway:
    """Answers callers' requests."""

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts
        self._refuser = Refuser(parts.dialect)
        self._tasks = TaskSet("gateway")
        self._record = RequestRecord(parts.measures, parts.clock)

    async def handle(self, request: IngressRequest, reply: IngressReply) -> None:
        """Answer one request."""
        now = self._parts.clock.now()
        admitted = self._admit(request, reply, now)
        if isinstance(admitted, Refusal):
            request_id = self._parts.dialect.read_request(request.headers).request_id
            self._record.refused_at_once(request_id, admitted)
            await self._refuser.refuse(reply, request_id, admitted)
            return
        call = admitted
        refusal: Refusal | None = None
        left = True
        try:
            refusal = await self._serve(call)
            left = False
        finally:
            self._record.ended(call, refusal, left=left)

    async def _serve(self, call: Call) -> Refusal | None:
        """Answer an admitted request; return the refusal that was its answer."""
        now = call.arrived_at
        service = call.table.services.get(call.service)
        is_engine = service is not None and service.engine is not None
        way = self._parts.engines if is_engine else self._parts.services
        self._parts.budget.record_request(call.service, now)
        refusal = await self._run(call, way)
        if refusal is None:
            return None
        if not call.was_sent and call.organisation is not None:
            self._parts.allowances.give_back(
                call.organisation, call.units, self._parts.clock.now()
            )
        await self._refuser.refuse(call.reply, call.facts.request_id, refusal)
        return refusal

    def _admit(
        self, request: IngressRequest, reply: IngressReply, now: float
    ) -> Call | Refusal:
        if not self._parts.takes_requests():
            return _refusal(
                result_codes.STOPPING, "This instance is stopping.", _ELSEWHERE_RETRY_S
            )
        table = self._parts.table()
        if table is None:
            return _refusal(result_codes.NOT_READY, "No configuration yet.")
        route = table.find_route(request.host, request.path)
        if route is None:
            return _refusal(result_codes.NO_ROUTE, "No route has this host and path.")
        facts = self._parts.dialect.read_request(request.headers)
        organisation = None
        if table.needs_keys and not route.is_public:
            if not facts.key:
                return _refusal(result_codes.KEY_MISSING, "Send a key.")
            organisation = table.keys.get(hashing.key_hash(facts.key))
            if organisation is None:
                return _refusal(result_codes.KEY_REFUSED, "The key is unknown.")
        fingerprint = _fingerprint(request, organisation)
        blocked_s = self._parts.suspects.blocked_for_s(fingerprint, now)
        if blocked_s > 0:
            return _refusal(
                result_codes.CRASH_SUSPECT,
                "This request took endpoints down.",
                blocked_s,
            )
        units = _units(facts.prompt_tokens, facts.output_tokens, organisation)
        if organisation is not None:
            alone = self._parts.instances() <= 1
            wait_s = self._parts.allowances.admit(organisation, units, now, alone=alone)
            if wait_s > 0:
                return _refusal(
                    result_codes.ALLOWANCE_EXCEEDED,
                    f"{organisation.name} is beyond its allowance.",
                    wait_s,
                )
        patience_s = route.timeout_s
        if facts.patience_s is not None:
            patience_s = min(patience_s, facts.patience_s)
        return Call(
            request=request,
            reply=reply,
            facts=facts,
            table=table,
            route=route,
            organisation=organisation,
            service=route.choose_service(self._parts.generator),
            arrived_at=now,
            deadline=now + patience_s,
            units=units,
            fingerprint=fingerprint,
        )

    async def _run(self, call: Call, way: Way) -> Refusal | None:
        """Try endpoints until the request is answered.

        Returns
        -------
        Refusal or None
            The answer to give where no endpoint's answer went to the caller.
        """
        stream = StreamState(splitter=EventSplitter(call.facts.last_event))
        kept: Tried | None = None
        while True:
            target = await way.choose(call)
            if isinstance(target, Refusal):
                break
            tried = await self._try(call, way, target, stream)
            call.results.append(tried.result.value)
            if tried.result is TryResult.ANSWERED:
                return None
            if tried.result is TryResult.FAILED:
                kept = tried
            if not self._may_go_on(call, tried, stream):
                break
        if kept is not None and kept.head is not None:
            await self._parts.sender.pass_answer(call, kept.head, kept.body)
            return None
        if not call.tried and isinstance(target, Refusal):
            return target
        return _final(call, tried, target)

    async def _try(
        self, call: Call, way: Way, target: Target, stream: StreamState
    ) -> Tried:
        now = self._parts.clock.now()
        passing = Passing(
            endpoint=target.endpoint,
            remaining_s=max(call.deadline - now, _LEAST_LEFT_S),
            organisation=call.organisation.name if call.organisation else "",
            urgency=call.urgency,
            version=target.version,
            last_event=stream.splitter.last_event,
        )
        call.tries += 1
        holds_back = (
            call.route.repeat is Repeat.FREELY
            and call.runs + 1 < call.route.most_tries
            and call.tries < _MOST_OFFERS
        )
        result: TryResult | None = None
        call.tried.append(target.endpoint.id)
        way.begins(call, target)
        try:
            tried = await self._parts.sender.send(
                call,
                passing,
                stream,
                holds_back_failure=holds_back,
                on_first_event=lambda: self._first_event(call, way, target),
            )
            result = tried.result
        finally:
            way.ends(call, target, result)
        self._judge(call, target.endpoint, tried)
        return tried

    def _first_event(self, call: Call, way: Way, target: Target) -> None:
        if call.first_event_at is None:
            call.first_event_at = self._parts.clock.now()
        way.first_event(call, target)

    def _judge(self, call: Call, endpoint: ListedEndpoint, tried: Tried) -> None:
        now = self._parts.clock.now()
        result = tried.result
        if result is TryResult.ANSWERED:
            self._parts.health.record_success(endpoint.id)
            self._parts.suspects.clear(call.fingerprint, now)
            call.runs += 1
            return
        if result in (TryResult.NOT_RUN, TryResult.LACKS_ADAPTER):
            return
        down = result is TryResult.NOT_SENT
        self._parts.health.record_failure(endpoint.id, now, is_unreachable=down)
        if down:
            return
        call.runs += 1
        if result in (TryResult.UNKNOWN, TryResult.BROKE_OFF):
            self._tasks.start(self._look_for_crash(call.fingerprint, endpoint))
        self._record.try_failed(call, endpoint.id, tried)

    async def _look_for_crash(self, fingerprint: str, endpoint: ListedEndpoint) -> None:
        """Suspect a request only if its endpoint went down, not a connection alone."""
        await asyncio.sleep(_CRASH_LOOK_S)
        if await self._parts.sender.is_reachable(endpoint):
            return
        crashed = CrashedEndpoint(endpoint.id, str(endpoint.started))
        now = self._parts.clock.now()
        self._parts.suspects.record_crash(fingerprint, crashed, now)
        self._record.suspected(fingerprint, endpoint.id)

    async def join(self) -> None:
        """Wait until all that runs in the background has ended."""
        await self._tasks.join()

    def _may_go_on(self, call: Call, tried: Tried, stream: StreamState) -> bool:
        now = self._parts.clock.now()
        if call.tries >= _MOST_OFFERS or now + _LEAST_LEFT_S >= call.deadline:
            return False
        if tried.result is TryResult.NOT_SENT:
            return True
        if tried.result is TryResult.LATE:
            return False
        if tried.result not in (TryResult.NOT_RUN, TryResult.LACKS_ADAPTER):
            if call.route.repeat is Repeat.ONCE or call.runs >= call.route.most_tries:
                return False
            if stream.has_head and not stream.splitter.may_resume:
                return False
            if self._parts.suspects.is_blocked(call.fingerprint, now):
                return False
            stream.splitter.restart()
        return self._parts.budget.take_retry(call.service, self._parts.instances(), now)


def _refusal(
    code: ResultCode, detail: str, retry_after_s: float | None = None
) -> Refusal:
    return Refusal(code=code, detail=detail, retry_after_s=retry_after_s)


def _final(call: Call, tried: Tried, target: Target | Refusal) -> Refusal:
    if tried.result is TryResult.LATE:
        return _refusal(result_codes.DEADLINE_WHILE_RUNNING, "The deadline passed.")
    if call.runs == 0:
        if isinstance(target, Refusal):
            return target
        return _refusal(
            result_codes.NO_ENDPOINT,
            f"No endpoint took it: {tried.result.value}.",
            _NOT_TAKEN_RETRY_S,
        )
    call.was_sent = True
    if call.route.repeat is Repeat.FREELY:
        return _refusal(result_codes.ENDPOINT_FAILED, tried.detail)
    return _refusal(result_codes.OUTCOME_UNKNOWN, tried.detail)


def _units(
    prompt_tokens: int | None,
    output_tokens: int | None,
    organisation: Organisation | None,
) -> float:
    if organisation is None or not organisation.counts_tokens:
        return 1.0
    if prompt_tokens is None:
        return organisation.plain_units
    return float(prompt_tokens + (output_tokens or 0))


def _fingerprint(request: IngressRequest, organisation: Organisation | None) -> str:
    name = organisation.name if organisation is not None else ""
    parts = f"{name} {request.method} {request.host}{request.target}\n".encode()
    return hashing.fast_hash(parts + request.body)
