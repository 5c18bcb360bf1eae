"""Requests that other gateways hand over to this one, over gRPC."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import final

from grpclib.server import Stream
from tornado.httputil import HTTPHeaders

from chiveslip.fleet.forwarded_exchange import decode_headers
from chiveslip.fleet.forwarded_exchange import encode_headers
from chiveslip.fleet.incarnations import encode_incarnation
from chiveslip.gateway.endpoint_statements import Incarnation
from chiveslip.gateway.forwarded import ForwardedOutcome
from chiveslip.gateway.forwarded import ForwardedRequests
from chiveslip.gateway.handover import ForwardedRequest
from chiveslip.gateway.reply import Reply
from chiveslip.generated import peer_pb2 as wire


@final
class PeerReply(Reply):
    """Passes an answer back to the instance that received the request.

    Parameters
    ----------
    find_leaving
        Returns the endpoints of the service that have said that they leave.
    """

    def __init__(
        self,
        stream: Stream[wire.ForwardMessage, wire.ForwardPart],
        find_leaving: Callable[[], Iterable[Incarnation]],
    ) -> None:
        self._stream = stream
        self._find_leaving = find_leaving
        self._status = 0
        self._head: wire.ForwardPart | None = None
        self._has_ended = False

    @property
    def status(self) -> int:
        """Status of the answer, or 0 before its head was written."""
        return self._status

    @property
    def has_started(self) -> bool:
        """Whether the head of the answer was written."""
        return self._status > 0

    async def respond(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Keep a complete answer; `finish` sends it."""
        self.start(status, headers)
        assert self._head is not None
        self._head.chunk = body
        self.end()

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Keep the head of the answer, which is sent with the next part."""
        self._status = status
        self._head = wire.ForwardPart(
            status=status,
            headers=encode_headers(headers),
            leaving_endpoints=map(encode_incarnation, self._find_leaving()),
        )

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body and wait until the peer has room for it."""
        part = self._head or wire.ForwardPart()
        self._head = None
        part.chunk = chunk
        await self._stream.send_message(part)

    def end(self) -> None:
        """Record that the answer is complete; `finish` tells the peer."""
        self._has_ended = True

    def abort(self) -> None:
        """Do nothing: an answer without its end is not complete."""

    async def finish(self, outcome: ForwardedOutcome) -> None:
        """Send the end of the answer, if it is complete."""
        if outcome is ForwardedOutcome.DECLINED:
            await self._stream.send_message(wire.ForwardPart(is_declined=True))
            return
        if not self._has_ended:
            return
        part = self._head or wire.ForwardPart()
        part.is_end = True
        part.was_not_run = outcome is ForwardedOutcome.NOT_RUN
        await self._stream.send_message(part)


async def answer_forwarded(
    stream: Stream[wire.ForwardMessage, wire.ForwardPart],
    requests: ForwardedRequests,
) -> None:
    """Answer a peer that asks to take a request, and then the request."""
    offer = await stream.recv_message()
    if offer is None:
        return
    with requests.reserve(offer.service) as is_accepted:
        if not is_accepted:
            await decline_forwarded(stream)
            return
        await stream.send_message(wire.ForwardPart())
        message = await stream.recv_message()
        if message is None or not message.HasField("request"):
            return
        reply = PeerReply(stream, lambda: requests.find_leaving(offer.service))
        outcome = await requests.answer(_decode_request(message.request), reply)
        await reply.finish(outcome)


async def decline_forwarded(
    stream: Stream[wire.ForwardMessage, wire.ForwardPart],
) -> None:
    """Decline a request unread."""
    await stream.send_message(wire.ForwardPart(is_declined=True))


def _decode_request(request: wire.ForwardRequest) -> ForwardedRequest:
    return ForwardedRequest(
        method=request.method,
        target=request.target,
        headers=decode_headers(request.headers),
        body=request.body,
        organisation=request.organisation,
        service=request.service,
        remaining_s=request.remaining_seconds,
        instance=request.instance,
        allowed_regions=frozenset(request.allowed_regions)
        if request.is_restricted
        else None,
    )
