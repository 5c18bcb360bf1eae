"""Requests that an instance without paths or room at endpoints has peers deliver.

The instance that received a request authenticates it and charges the allowance; the
peer chooses the endpoint, repeats within its retry budget and passes the answer back. A
peer is asked first whether it takes a request of a service, and gets the request only
then, so that a request whose peer did not accept has certainly not run.
"""

from __future__ import annotations

import abc
import http
import random
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager
from typing import final

import attrs
from tornado.httputil import HTTPHeaders

from chiveslip.clock import Clock
from chiveslip.dispatch.response_end import is_final_status
from chiveslip.gateway.call import Call
from chiveslip.gateway.endpoint_statements import EndpointStatement
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoint_statements import Incarnation
from chiveslip.gateway.protocol import GatewayProtocol
from chiveslip.gateway.regions import AllowedRegions
from chiveslip.gateway.sending import Attempt
from chiveslip.gateway.sending import AttemptResult
from chiveslip.gateway.sending import StreamState
from chiveslip.gateway.sending import is_event_stream

# Peers that are asked for one request, one after the other.
_MAX_PEERS = 6
# A peer that declined is not asked again for this long; places are free again soon.
_DECLINED_S = 0.1
_UNREACHED_S = 0.5
# An answer that the peer gives up at the deadline may take this long to arrive.
_DEADLINE_GRACE_S = 0.15
_LEAVING = EndpointStatement(is_leaving=True)


class ForwardingError(Exception):
    """The connection to the peer failed, or the peer declined."""


class RequestDeclinedError(ForwardingError):
    """The peer has certainly not had the request run, and cannot."""


@attrs.frozen(kw_only=True)
class ForwardedRequest:
    """A request that was admitted by another instance.

    Attributes
    ----------
    target
        Path and query as sent by the caller.
    headers
        Headers of the caller without its key.
    organisation
        Name of the organisation to whose allowance it was charged, or empty.
    remaining_s
        Time in seconds that remains for the answer.
    instance
        Instance that received it from the caller.
    allowed_regions
        Regions whose endpoints it may be sent to, or None for all.
    """

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes
    organisation: str
    service: str
    remaining_s: float
    instance: str
    allowed_regions: AllowedRegions = None


@attrs.frozen(kw_only=True)
class AnswerPart:
    """A part of the answer that a peer passes back.

    Attributes
    ----------
    status
        Status of the answer in the part with its head, else 0.
    is_end
        Whether the answer is complete with this part.
    was_not_run
        Whether it is a refusal of a request that certainly did not run.
    is_declined
        Whether the request did not run because the peer reaches no endpoint either.
    leaving
        Endpoints of the service that have said to the peer that they leave.
    """

    status: int
    headers: HTTPHeaders
    chunk: bytes
    is_end: bool
    was_not_run: bool
    is_declined: bool
    leaving: Sequence[Incarnation] = ()


@attrs.frozen(kw_only=True)
class _Head:
    """Head of an answer."""

    status: int
    headers: HTTPHeaders

    @property
    def is_final(self) -> bool:
        """Whether the status is one that an answer can have."""
        return is_final_status(self.status)

    @property
    def is_success(self) -> bool:
        """Whether the status is one of a success."""
        return 0 < self.status < http.HTTPStatus.MULTIPLE_CHOICES

    @property
    def has_events(self) -> bool:
        """Whether the body consists of events."""
        return is_event_stream(self.headers)


_NO_HEAD = _Head(status=0, headers=HTTPHeaders())


class ForwardedExchange(abc.ABC):
    """A request that a peer has agreed to take, and its answer."""

    @abc.abstractmethod
    async def send(self, request: ForwardedRequest) -> None:
        """Send the request; from here on the peer may have it run."""

    @abc.abstractmethod
    def parts(self) -> AsyncIterator[AnswerPart]:
        """Yield the parts of the answer as they arrive."""


class PeerForwarder(abc.ABC):
    """Opens exchanges with peers."""

    @abc.abstractmethod
    def open_forwarding(
        self, peer: str, service: str, max_s: float
    ) -> AbstractAsyncContextManager[ForwardedExchange]:
        """Ask a peer to take a request; leaving the context cancels the request.

        Parameters
        ----------
        max_s
            Maximum time in seconds until the end of the answer.

        Raises
        ------
        RequestDeclinedError
            If the peer declines.
        ForwardingError
            If the peer does not answer, and later, from the exchange, if
            the connection to it fails.
        """


@final
class Handover:
    """Hands requests over to peers and forwards their answers.

    Parameters
    ----------
    find_peers
        Returns the names of the other live instances that may deliver a request of a
        service that needs an adapter, or none, and may be sent to some regions.
    may_receive
        Returns whether a peer may have a request that may be sent to some regions.
    """

    def __init__(
        self,
        *,
        instance: str,
        forwarder: PeerForwarder,
        protocol: GatewayProtocol,
        statements: EndpointStatements,
        find_peers: Callable[[str, str, AllowedRegions], list[str]],
        clock: Clock,
        generator: random.Random,
        may_receive: Callable[[str, AllowedRegions], bool] = lambda _peer, _regions: (
            True
        ),
    ) -> None:
        self._instance = instance
        self._may_receive = may_receive
        self._forwarder = forwarder
        self._protocol = protocol
        self._statements = statements
        self._find_peers = find_peers
        self._clock = clock
        self._random = generator
        self._skipped_until: dict[tuple[str, str], float] = {}

    async def deliver(
        self, call: Call, stream: StreamState, on_first_part: Callable[[], None]
    ) -> Attempt:
        """Have a peer deliver a request, and forward the answer to the caller.

        Returns
        -------
        Attempt
            `NOT_SENT` if no peer took the request.
        """
        detail = "no other instance can be asked"
        for peer in self._choose_peers(call):
            was_sent = False
            try:
                max_s = self._remaining_s(call) + _DEADLINE_GRACE_S
                async with self._forwarder.open_forwarding(
                    peer, call.service, max_s
                ) as exchange:
                    was_sent = call.was_sent = True
                    call.forwarded_to = peer
                    await exchange.send(self._build_request(call, stream))
                    return await self._forward_answer(
                        exchange, call, stream, on_first_part
                    )
            except ForwardingError as error:
                detail = f"{peer}: {error}"
                if was_sent and not isinstance(error, RequestDeclinedError):
                    return self._build_lost_answer(call, stream, detail)
                is_declined = isinstance(error, RequestDeclinedError)
                self._skip(
                    peer, call.service, _DECLINED_S if is_declined else _UNREACHED_S
                )
        return Attempt(result=AttemptResult.NOT_SENT, detail=detail)

    async def _forward_answer(
        self,
        exchange: ForwardedExchange,
        call: Call,
        stream: StreamState,
        on_first_part: Callable[[], None],
    ) -> Attempt:
        """Forward the parts of an answer until its end.

        An answer that is no stream is kept until it is complete.
        """
        head = _NO_HEAD
        body = b""
        async for part in exchange.parts():
            if part.is_declined:
                call.was_sent = False
                raise RequestDeclinedError("the peer reaches no endpoint either")
            for incarnation in part.leaving:
                # The answer to the caller may say so, too.
                self._statements.record(incarnation, _LEAVING)
            if part.status:
                head = _Head(status=part.status, headers=part.headers)
            if (part.status or part.is_end) and not head.is_final:
                # A peer of an older build passes on what an endpoint in trouble sent.
                return self._build_lost_answer(
                    call, stream, f"the peer answered with status {head.status:03}"
                )
            if part.was_not_run:
                call.was_sent = False
            is_stream = call.route.is_stream and head.is_success
            if stream.has_head and not (is_stream and head.has_events):
                return Attempt(
                    result=AttemptResult.TRUNCATED,
                    detail=f"the stream was not resumed: status {head.status}",
                )
            if part.chunk and call.first_event_at is None:
                on_first_part()
            if is_stream:
                await self._forward_chunk(call, stream, head, part)
            else:
                body += part.chunk
            if not part.is_end:
                continue
            if part.was_not_run and call.runs > 0:
                # An earlier attempt may have run, so the refusal would be untrue.
                return Attempt(
                    result=AttemptResult.NOT_RUN, detail=f"status {head.status}"
                )
            if is_stream:
                call.reply.end()
            else:
                await call.reply.respond(head.status, head.headers, body)
            return Attempt(result=AttemptResult.ANSWERED)
        return self._build_lost_answer(call, stream, "the peer broke off the answer")

    async def _forward_chunk(
        self, call: Call, stream: StreamState, head: _Head, part: AnswerPart
    ) -> None:
        released = part.chunk
        if head.has_events:
            released = stream.splitter.feed(part.chunk)
            if part.is_end:
                released += stream.splitter.flush()
        if not released and not part.is_end:
            return
        if not stream.has_head:
            stream.has_head = True
            call.reply.start(head.status, head.headers)
        if released:
            await call.reply.write(released)

    def _build_lost_answer(
        self, call: Call, stream: StreamState, detail: str
    ) -> Attempt:
        if stream.has_head:
            return Attempt(result=AttemptResult.TRUNCATED, detail=detail)
        if self._remaining_s(call) <= 0:
            return Attempt(result=AttemptResult.DEADLINE_PASSED, detail=detail)
        return Attempt(result=AttemptResult.UNKNOWN, detail=detail)

    def _build_request(self, call: Call, stream: StreamState) -> ForwardedRequest:
        return ForwardedRequest(
            method=call.request.method,
            target=call.request.target,
            headers=self._protocol.build_forwarded_headers(
                call.request.headers, stream.splitter.last_event_id
            ),
            body=call.request.body,
            organisation="" if call.organisation is None else call.organisation.name,
            service=call.service,
            remaining_s=self._remaining_s(call),
            instance=self._instance,
            allowed_regions=call.allowed_regions,
        )

    def _choose_peers(self, call: Call) -> list[str]:
        now = self._clock.now()
        self._skipped_until = {
            key: until for key, until in self._skipped_until.items() if until > now
        }
        allowed = call.allowed_regions
        peers = [
            peer
            for peer in self._find_peers(call.service, call.adapter, allowed)
            if (peer, call.service) not in self._skipped_until
            and self._may_receive(peer, allowed)
        ]
        return self._random.sample(peers, min(_MAX_PEERS, len(peers)))

    def _skip(self, peer: str, service: str, for_s: float) -> None:
        self._skipped_until[peer, service] = self._clock.now() + for_s

    def _remaining_s(self, call: Call) -> float:
        return max(call.deadline - self._clock.now(), 0.0)
