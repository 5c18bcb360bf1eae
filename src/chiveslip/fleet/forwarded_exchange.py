"""Requests that this gateway hands over to another, over gRPC."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
from typing import final

from grpclib.client import Stream
from tornado.httputil import HTTPHeaders

from chiveslip.fleet.incarnations import decode_incarnations
from chiveslip.gateway.handover import AnswerPart
from chiveslip.gateway.handover import ForwardedExchange
from chiveslip.gateway.handover import ForwardedRequest
from chiveslip.gateway.handover import RequestDeclinedError
from chiveslip.generated import peer_pb2 as wire

# A peer that does not accept a request in this time is not sent it.
_ACCEPT_TIMEOUT_S = 0.25


@final
class GrpcForwardedExchange(ForwardedExchange):
    """The side of the instance that hands a request over."""

    def __init__(self, stream: Stream[wire.ForwardMessage, wire.ForwardPart]) -> None:
        self._stream = stream

    async def ask(self, service: str) -> None:
        """Ask whether the peer takes a request of a service.

        Raises
        ------
        RequestDeclinedError
            If it declines.
        TimeoutError
            If it does not answer in time.
        """
        async with asyncio.timeout(_ACCEPT_TIMEOUT_S):
            await self._stream.send_message(wire.ForwardMessage(service=service))
            part = await self._stream.recv_message()
        if part is None or part.is_declined:
            raise RequestDeclinedError("the request was declined")

    async def send(self, request: ForwardedRequest) -> None:
        """Send the request; from here on the peer may have it run."""
        message = wire.ForwardMessage(request=_encode_request(request))
        await self._stream.send_message(message, end=True)

    async def parts(self) -> AsyncIterator[AnswerPart]:
        """Yield the parts of the answer as they arrive."""
        async for part in self._stream:
            yield AnswerPart(
                status=part.status,
                headers=decode_headers(part.headers),
                chunk=part.chunk,
                is_end=part.is_end,
                was_not_run=part.was_not_run,
                is_declined=part.is_declined,
                leaving=decode_incarnations(
                    part.leaving_endpoints, source="answer through a peer"
                ),
            )


def _encode_request(request: ForwardedRequest) -> wire.ForwardRequest:
    return wire.ForwardRequest(
        method=request.method,
        target=request.target,
        headers=encode_headers(request.headers),
        body=request.body,
        organisation=request.organisation,
        service=request.service,
        remaining_seconds=request.remaining_s,
        instance=request.instance,
        allowed_regions=sorted(request.allowed_regions or ()),
        is_restricted=request.allowed_regions is not None,
    )


def encode_headers(headers: HTTPHeaders) -> list[wire.Header]:
    """Return headers as messages, in order, with repeated names."""
    return [wire.Header(name=name, value=value) for name, value in headers.get_all()]


def decode_headers(headers: Iterable[wire.Header]) -> HTTPHeaders:
    """Return the headers that `encode_headers` encoded."""
    decoded = HTTPHeaders()
    for header in headers:
        decoded.add(header.name, header.value)
    return decoded
