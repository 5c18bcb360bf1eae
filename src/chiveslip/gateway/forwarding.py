"""Admission, forwarding and retries of callers' requests.

`Gateway.handle` takes every request through the same steps: route, key, allowance,
choice of an endpoint, attempts. Engines and plain services differ only in the
`TargetSelector` that chooses their endpoints.
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
from chiveslip.dispatch.part_suspects import hash_parts
from chiveslip.dispatch.retry_budget import RetryBudget
from chiveslip.gateway.allowance_requests import AllowanceRequests
from chiveslip.gateway.call import AttemptTimes
from chiveslip.gateway.call import Call
from chiveslip.gateway.call import CrashTraits
from chiveslip.gateway.call import EngineEstimate
from chiveslip.gateway.crash_guard import CrashGuard
from chiveslip.gateway.crash_guard import make_traits
from chiveslip.gateway.delivery import Delivery
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.event_stream import EventSplitter
from chiveslip.gateway.handover import ForwardedRequest
from chiveslip.gateway.handover import Handover
from chiveslip.gateway.ingress import IngressRequest
from chiveslip.gateway.protocol import ForwardingContext
from chiveslip.gateway.protocol import GatewayProtocol
from chiveslip.gateway.protocol import RequestMetadata
from chiveslip.gateway.refusals import RefusalWriter
from chiveslip.gateway.regions import AllowedRegions
from chiveslip.gateway.reply import Reply
from chiveslip.gateway.routing import Organisation
from chiveslip.gateway.routing import RetryPolicy
from chiveslip.gateway.routing import RoutingTable
from chiveslip.gateway.sending import Attempt
from chiveslip.gateway.sending import AttemptResult
from chiveslip.gateway.sending import Sender
from chiveslip.gateway.sending import StreamState
from chiveslip.gateway.stop_plan import StopPlan
from chiveslip.gateway.telemetry import RequestTelemetry
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.results import ResultCode
from chiveslip.services.health import EndpointHealth

# Counts all attempts, also those at endpoints that did not run the request. A fourth
# refusal in a row means that the service is full.
_MAX_ATTEMPTS = 4
# A request with less time left than a round trip to an endpoint is not sent again.
_MIN_REMAINING_S = 0.005
# The request is sent to another endpoint without a charge to the retry budget.
_UNSENT_RESULTS = (
    AttemptResult.NOT_SENT,
    AttemptResult.ENDPOINT_LEFT,
    AttemptResult.OVER_LIMIT,
)
# Another instance can accept the request at once.
_OTHER_INSTANCE_RETRY_AFTER_S = 0.05
# The usual reasons for which endpoints do not accept a request (an adapter load, a
# full queue) have passed after this time.
_NOT_ACCEPTED_RETRY_AFTER_S = 0.3


@attrs.frozen(kw_only=True)
class Target:
    """The endpoint chosen for an attempt.

    Attributes
    ----------
    chosen_at
        Local time in seconds at which the endpoint was chosen, before any wait.
    version
        Version of the adapter that must answer, or None.
    estimate
        What the engine is expected to do, or None if the endpoint is no engine.
    """

    endpoint: ListedEndpoint
    chosen_at: float
    version: int | None = None
    estimate: EngineEstimate | None = None


class TargetSelector(abc.ABC):
    """Selects the endpoints of requests to one kind of service."""

    @abc.abstractmethod
    async def select_target(self, call: Call) -> Target | Refusal:
        """Return the target of the next attempt, or a refusal if there is none.

        May wait until the target can take the request.
        """

    @abc.abstractmethod
    def record_start(self, call: Call, target: Target) -> None:
        """Record that an attempt starts."""

    @abc.abstractmethod
    def record_first_event(self, call: Call, target: Target) -> None:
        """Record that the first part of the answer arrived."""

    @abc.abstractmethod
    def record_end(self, call: Call, target: Target, attempt: Attempt | None) -> None:
        """Record an attempt that ended, None if it was cancelled.

        An attempt is cancelled when its caller disconnects.
        """


@attrs.frozen(kw_only=True)
class GatewayDependencies:
    """Collaborators of a `Gateway`.

    Attributes
    ----------
    active_table
        Returns the active routing table, or None before the first configuration.
    find_organisation
        Returns an organisation of the active table by its name, or None.
    fleet_size
        Returns the number of instances that may be alive, this one included: those
        behind a partition use their parts of the retry budget, too.
    accepts_requests
        Returns whether this instance accepts new requests.
    handover
        Has peers deliver requests for which this instance has no path.
    choose_delivery
        Returns who may deliver a request of a service that needs an adapter, or none,
        and may be sent to some regions.
    stop_plan
        Decides what may still be sent while this instance stops.
    """

    clock: Clock
    protocol: GatewayProtocol
    telemetry: RequestTelemetry
    sender: Sender
    allowances: AllowanceRequests
    retry_budget: RetryBudget
    endpoint_health: EndpointHealth
    crash_guard: CrashGuard
    engine_selector: TargetSelector
    service_selector: TargetSelector
    generator: random.Random
    active_table: Callable[[], RoutingTable | None]
    find_organisation: Callable[[str], Organisation | None]
    fleet_size: Callable[[], int]
    accepts_requests: Callable[[], bool]
    handover: Handover
    choose_delivery: Callable[[str, str, AllowedRegions], Delivery]
    stop_plan: StopPlan


@final
class Gateway:
    """Answers callers' requests."""

    def __init__(self, dependencies: GatewayDependencies) -> None:
        self._dependencies = dependencies
        self._refusal_writer = RefusalWriter(dependencies.protocol)
        self._telemetry = dependencies.telemetry
        self._guard = dependencies.crash_guard

    async def handle(self, request: IngressRequest, reply: Reply) -> None:
        """Answer one request."""
        now = self._dependencies.clock.now()
        admitted = await self._admit(request, reply, now)
        if isinstance(admitted, Refusal):
            request_id = self._dependencies.protocol.parse_request(
                request.headers
            ).request_id
            self._telemetry.record_not_admitted(
                request_id, admitted, self._find_route_name(request)
            )
            await self._refusal_writer.write(reply, request_id, admitted)
            return
        self._dependencies.retry_budget.record_request(admitted.service, now)
        await self._serve_and_record(admitted)

    async def handle_forwarded(self, request: ForwardedRequest, reply: Reply) -> bool:
        """Answer a request that another instance has admitted.

        Its allowance is charged there, and it counts there for the retry budget.

        Returns
        -------
        bool
            Whether it was refused and certainly not run.
        """
        admitted = self._admit_forwarded(request, reply)
        if isinstance(admitted, Refusal):
            await self._refusal_writer.write(reply, "", admitted)
            return True
        refusal = await self._serve_and_record(admitted)
        return refusal is not None and not admitted.was_sent

    async def _serve_and_record(self, call: Call) -> Refusal | None:
        refusal: Refusal | None = None
        is_cancelled = True
        try:
            refusal = await self._serve(call)
            is_cancelled = False
        except asyncio.CancelledError:
            if self._dependencies.stop_plan.is_cutting:
                refusal = _cut_refusal(call)
                await self._refusal_writer.write(
                    call.reply, call.metadata.request_id, refusal
                )
            raise
        finally:
            self._telemetry.record_end(call, refusal, is_cancelled=is_cancelled)
        return refusal

    def _find_route_name(self, request: IngressRequest) -> str:
        table = self._dependencies.active_table()
        route = None if table is None else table.find_route(request.host, request.path)
        return "" if route is None else route.name

    async def _serve(self, call: Call) -> Refusal | None:
        """Answer an admitted request; return the refusal if it was answered by one."""
        selector = (
            self._dependencies.engine_selector
            if call.is_for_engine
            else self._dependencies.service_selector
        )
        refusal = await self._run_attempts(call, selector)
        is_charged_here = call.organisation is not None and not call.received_by
        if is_charged_here and not call.was_sent:
            assert call.organisation is not None
            self._dependencies.allowances.refund(call.organisation, call.units)
        if refusal is None:
            return None
        await self._refusal_writer.write(call.reply, call.metadata.request_id, refusal)
        return refusal

    async def _admit(
        self, request: IngressRequest, reply: Reply, now: float
    ) -> Call | Refusal:
        if not self._dependencies.accepts_requests():
            return _refusal(
                result_codes.STOPPING,
                "This instance is stopping.",
                _OTHER_INSTANCE_RETRY_AFTER_S,
            )
        table = self._dependencies.active_table()
        if table is None:
            return _refusal(
                result_codes.NOT_READY, "This instance has no configuration yet."
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            return _refusal(
                result_codes.NO_ROUTE, "No route matches this host and path."
            )
        metadata = self._dependencies.protocol.parse_request(request.headers)
        organisation = None
        if table.requires_keys and not route.is_public:
            if not metadata.key:
                return _refusal(
                    result_codes.KEY_MISSING, "The request has no key; send one."
                )
            organisation = table.keys.get(hashing.key_hash(metadata.key))
            if organisation is None:
                return _refusal(result_codes.KEY_REFUSED, "The key is unknown.")
        traits = self._guard.admit(_find_traits(request, metadata, organisation))
        if isinstance(traits, Refusal):
            return traits
        units = _request_units(
            metadata.prompt_tokens, metadata.output_tokens, organisation
        )
        if organisation is not None:
            decision = await self._dependencies.allowances.admit(organisation, units)
            if decision.retry_after_s > 0:
                return _refusal(
                    result_codes.ALLOWANCE_EXCEEDED,
                    f"{organisation.name} has exceeded its allowance: of "
                    f"{organisation.rate:.0f} units a second, {units:.0f} are not "
                    f"left ({decision.source.value}).",
                    decision.retry_after_s,
                )
        max_wait_s = route.timeout_s
        if metadata.max_wait_s is not None:
            max_wait_s = min(max_wait_s, metadata.max_wait_s)
        service = route.choose_service(self._dependencies.generator)
        return Call(
            request=request,
            reply=reply,
            metadata=metadata,
            table=table,
            route=route,
            organisation=organisation,
            service=service,
            is_for_engine=table.is_for_engine(service),
            arrived_at=now,
            deadline=now + max_wait_s,
            units=units,
            traits=traits,
        )

    def _admit_forwarded(
        self, forwarded: ForwardedRequest, reply: Reply
    ) -> Call | Refusal:
        now = self._dependencies.clock.now()
        request = IngressRequest(
            method=forwarded.method,
            target=forwarded.target,
            headers=forwarded.headers,
            body=forwarded.body,
        )
        table = self._dependencies.active_table()
        route = None if table is None else table.find_route(request.host, request.path)
        if table is None or route is None:
            return _refusal(
                result_codes.NOT_READY, "The instance asked has no such route yet."
            )
        organisation = self._dependencies.find_organisation(forwarded.organisation)
        if forwarded.organisation and organisation is None:
            return _refusal(
                result_codes.NOT_READY,
                f"The instance asked does not know {forwarded.organisation} yet.",
            )
        metadata = self._dependencies.protocol.parse_request(request.headers)
        traits = self._guard.admit(_find_traits(request, metadata, organisation))
        if isinstance(traits, Refusal):
            return traits
        return Call(
            request=request,
            reply=reply,
            metadata=metadata,
            table=table,
            route=route,
            organisation=organisation,
            service=forwarded.service,
            is_for_engine=table.is_for_engine(forwarded.service),
            arrived_at=now,
            deadline=now + min(forwarded.remaining_s, route.timeout_s),
            units=_request_units(
                metadata.prompt_tokens, metadata.output_tokens, organisation
            ),
            traits=traits,
            received_by=forwarded.instance,
            regions_of_receiver=forwarded.allowed_regions,
        )

    async def _run_attempts(
        self, call: Call, selector: TargetSelector
    ) -> Refusal | None:
        """Send the request to one endpoint after another until it is answered.

        Returns
        -------
        Refusal or None
            The refusal to answer with, or None if an endpoint's answer was forwarded.
        """
        stream = StreamState(splitter=EventSplitter(call.metadata.last_event_id))
        last_failure: Attempt | None = None
        attempt: Attempt | None = None
        target: Target | Refusal
        while True:
            if not self._dependencies.stop_plan.may_begin(call.route):
                target = _STOPPING
                break
            if self._is_to_hand_over(call):
                attempt = await self._hand_over(call, stream)
                if attempt.result is AttemptResult.NOT_SENT:
                    call.is_taken_by_no_peer = True
                    if self._choose_delivery(call).is_local_possible:
                        continue
                    target = _refusal(
                        result_codes.NO_ENDPOINT,
                        "This instance has no path to an endpoint or no room there; "
                        f"{attempt.detail}.",
                        _NOT_ACCEPTED_RETRY_AFTER_S,
                    )
                    break
                target = _LOST_WITH_PEER
                call.handover_results.append(attempt.result.value)
            else:
                target = await selector.select_target(call)
                if isinstance(target, Refusal) and not self._is_to_hand_over(call):
                    break
                if isinstance(target, Refusal):
                    continue
                if not self._dependencies.stop_plan.may_begin(call.route):
                    target = _STOPPING
                    break
                attempt = await self._attempt(call, selector, target, stream)
                call.attempt_results.append(attempt.result.value)
            if attempt.result is AttemptResult.ANSWERED:
                return None
            if attempt.result is AttemptResult.FAILED:
                last_failure = attempt
            if attempt.result is AttemptResult.WITHHELD:
                target = self._guard.find_refusal(call.traits) or target
                break
            if not await self._try_start_retry(call, attempt, stream):
                break
        if last_failure is not None and last_failure.head is not None:
            await self._dependencies.sender.forward_answer(
                call, last_failure.head, last_failure.body
            )
            return None
        has_attempted = bool(call.attempt_results or call.handover_results)
        if not has_attempted and isinstance(target, Refusal):
            return target
        assert attempt is not None
        return _final_refusal(call, attempt, target)

    def _is_to_hand_over(self, call: Call) -> bool:
        """Return whether a peer is asked to deliver the request.

        One that a peer has handed over is never passed on.
        """
        if call.received_by or call.is_taken_by_no_peer:
            return False
        return not self._choose_delivery(call).is_local_first

    def _choose_delivery(self, call: Call) -> Delivery:
        return self._dependencies.choose_delivery(
            call.service, call.adapter, call.allowed_regions
        )

    async def _hand_over(self, call: Call, stream: StreamState) -> Attempt:
        attempt = await self._dependencies.handover.deliver(
            call, stream, lambda: self._record_forwarded_event(call)
        )
        self._telemetry.record_handover(call, attempt)
        if attempt.result is not AttemptResult.NOT_SENT:
            call.attempts += 1
        if attempt.result not in (AttemptResult.NOT_SENT, AttemptResult.NOT_RUN):
            call.runs += 1
        return attempt

    def _record_forwarded_event(self, call: Call) -> None:
        call.first_event_at = self._dependencies.clock.now()

    async def _attempt(
        self,
        call: Call,
        selector: TargetSelector,
        target: Target,
        stream: StreamState,
    ) -> Attempt:
        now = self._dependencies.clock.now()
        context = ForwardingContext(
            endpoint=target.endpoint,
            remaining_s=max(call.deadline - now, _MIN_REMAINING_S),
            organisation=call.organisation.name if call.organisation else "",
            priority=call.priority,
            version=target.version,
            last_event_id=stream.splitter.last_event_id,
        )
        call.attempts += 1
        withholds_failure = (
            call.route.retry_policy is RetryPolicy.IDEMPOTENT
            and call.runs + 1 < call.max_runs
            and call.attempts < _MAX_ATTEMPTS
        )
        attempt: Attempt | None = None
        call.attempted_endpoints.append(target.endpoint.id)
        call.attempt_times.append(AttemptTimes(chosen_at=target.chosen_at))
        if target.estimate is not None:
            call.engine_estimates.append(target.estimate)
        selector.record_start(call, target)
        self._dependencies.endpoint_health.begin_trial(target.endpoint.id, now)
        try:
            attempt = await self._dependencies.sender.send(
                call,
                context,
                stream,
                withholds_failure=withholds_failure,
                may_send=lambda: self._guard.find_refusal(call.traits) is None,
                on_first_event=lambda: self._record_first_event(call, selector, target),
                on_progress=lambda: self._record_progress(call),
            )
        finally:
            selector.record_end(call, target, attempt)
        self._record_attempt(call, target.endpoint, attempt)
        return attempt

    def _record_first_event(
        self, call: Call, selector: TargetSelector, target: Target
    ) -> None:
        if call.first_event_at is None:
            call.first_event_at = self._dependencies.clock.now()
        selector.record_first_event(call, target)

    def _record_progress(self, call: Call) -> None:
        call.attempt_times[-1].progressed_at = self._dependencies.clock.now()
        self._guard.record_progress(call)

    def _record_attempt(
        self, call: Call, endpoint: ListedEndpoint, attempt: Attempt
    ) -> None:
        now = self._dependencies.clock.now()
        self._telemetry.record_answer_end(call, attempt)
        result = attempt.result
        health = self._dependencies.endpoint_health
        is_unreachable = result is AttemptResult.NOT_SENT
        if attempt.is_failure:
            health.record_failure(
                endpoint.id,
                now,
                is_unreachable=is_unreachable,
                began_at=call.attempt_times[-1].chosen_at,
            )
        if result is AttemptResult.ANSWERED:
            if not attempt.is_failure:
                health.record_success(endpoint.id)
            self._guard.record_answered(call)
            call.runs += 1
            sent_at = call.attempt_times[-1].sent_at
            if sent_at is not None:
                self._dependencies.stop_plan.record_answer(
                    call.route.name, now - sent_at
                )
            return
        if is_unreachable or not attempt.is_failure:
            return
        call.runs += 1
        if result in (AttemptResult.UNKNOWN, AttemptResult.TRUNCATED):
            self._guard.record_interrupted(call, endpoint)
        self._telemetry.record_failed_attempt(call, endpoint.id, attempt)

    async def join(self) -> None:
        """Wait until all background tasks have ended."""
        await self._guard.join()

    async def _try_start_retry(
        self, call: Call, attempt: Attempt, stream: StreamState
    ) -> bool:
        """Return whether to send the request again.

        If so, takes a retry from the budget and discards the partial event that the
        failed attempt left behind.
        """
        now = self._dependencies.clock.now()
        if call.attempts >= _MAX_ATTEMPTS or now + _MIN_REMAINING_S >= call.deadline:
            return False
        if attempt.result in _UNSENT_RESULTS:
            return True
        if attempt.result is AttemptResult.DEADLINE_PASSED or call.traits.is_trial:
            return False
        if attempt.result not in (AttemptResult.NOT_RUN, AttemptResult.LACKS_ADAPTER):
            if (
                call.route.retry_policy is RetryPolicy.AT_MOST_ONCE
                or call.runs >= call.max_runs
            ):
                return False
            if stream.has_head and not stream.splitter.can_resume:
                return False
            if not await self._guard.may_repeat(call):
                return False
            stream.splitter.begin_response()
        return self._dependencies.retry_budget.take_retry(
            call.service, self._dependencies.fleet_size(), now
        )


def _refusal(
    code: ResultCode, detail: str, retry_after_s: float | None = None
) -> Refusal:
    return Refusal(code=code, detail=detail, retry_after_s=retry_after_s)


_STOPPING = _refusal(
    result_codes.STOPPING,
    "This instance is stopping, and the answer is not likely to end before it does.",
    _OTHER_INSTANCE_RETRY_AFTER_S,
)
_LOST_WITH_PEER = _refusal(
    result_codes.OUTCOME_UNKNOWN, "The answer was lost on the way through a peer."
)


def _cut_refusal(call: Call) -> Refusal:
    """Return the answer to a request that is given up at the end of a stop."""
    if call.was_sent or call.runs > 0:
        return _refusal(
            result_codes.OUTCOME_UNKNOWN,
            "This instance stopped while the request was running.",
        )
    return _STOPPING


def _final_refusal(call: Call, attempt: Attempt, target: Target | Refusal) -> Refusal:
    if attempt.result is AttemptResult.DEADLINE_PASSED:
        return _refusal(
            result_codes.DEADLINE_WHILE_RUNNING,
            "The deadline passed after the request was sent.",
        )
    if call.runs == 0:
        if isinstance(target, Refusal):
            return target
        return _refusal(
            result_codes.NO_ENDPOINT,
            f"No endpoint accepted the request: {attempt.result.value}.",
            _NOT_ACCEPTED_RETRY_AFTER_S,
        )
    call.was_sent = True
    if call.route.retry_policy is RetryPolicy.IDEMPOTENT:
        return _refusal(result_codes.ENDPOINT_FAILED, attempt.detail)
    return _refusal(result_codes.OUTCOME_UNKNOWN, attempt.detail)


def _request_units(
    prompt_tokens: int | None,
    output_tokens: int | None,
    organisation: Organisation | None,
) -> float:
    if organisation is None or not organisation.counts_tokens:
        return 1.0
    if prompt_tokens is None:
        return organisation.default_units
    return float(prompt_tokens + (output_tokens or 0))


def _find_traits(
    request: IngressRequest,
    metadata: RequestMetadata,
    organisation: Organisation | None,
) -> CrashTraits:
    name = organisation.name if organisation is not None else ""
    parts = hash_parts(metadata.shared_parts)
    work = " ".join((metadata.model, metadata.adapter, *parts))
    head = f"{name} {request.method} {request.host}{request.target}\n{work}\n"
    fingerprint = hashing.fast_hash(head.encode() + request.body)
    return make_traits(fingerprint, parts, name)
