"""Fake peer connections that use the real peer service and message encoding."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from typing import final

from google.protobuf import text_format

from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.peers import Peers
from chiveslip.fleet.service import PeerService
from chiveslip.generated import peer_pb2 as wire
from testing.simulation.network import SimulatedNetwork


class _UnaryStream:
    """The server side of one unary call."""

    def __init__(self, request: Any) -> None:
        self._request = request
        self.reply: Any = None

    async def recv_message(self) -> Any:
        return self._request

    async def send_message(self, reply: Any) -> None:
        self.reply = reply


@final
class FakePeers(Peers):
    """The connections of one instance to its peers.

    Parameters
    ----------
    find_service
        Returns the peer service of a live instance, or None.
    record_message
        Called with the receiver and each encoded request.
    """

    def __init__(
        self,
        instance_id: str,
        network: SimulatedNetwork,
        find_service: Callable[[str], PeerService | None],
        record_message: Callable[[str, bytes], None],
        timeout_s: float,
        write_transcript: Callable[[str], None],
    ) -> None:
        self._instance_id = instance_id
        self._network = network
        self._find_service = find_service
        self._record_message = record_message
        self._timeout_s = timeout_s
        self._write_transcript = write_transcript
        self.on_hand_over: Callable[[], None] = lambda: None

    async def confirm(self, to: str, request: wire.ConfirmRequest) -> wire.ConfirmReply:
        """Exchange heartbeats."""
        return await self._call_peer(to, "Confirm", request)

    async def pull(self, to: str, request: wire.PullRequest) -> wire.PullReply:
        """Request a document."""
        return await self._call_peer(to, "Pull", request)

    async def credit(self, to: str, request: wire.CreditRequest) -> wire.CreditReply:
        """Request credit from the owner of an allowance."""
        return await self._call_peer(to, "Credit", request)

    async def permit(
        self, to: str, request: wire.PermitRequest, timeout_s: float
    ) -> wire.PermitReply:
        """Request a permit from an engine's owner."""
        return await self._call_peer(to, "Permit", request, timeout_s)

    async def end_permit(self, to: str, request: wire.PermitEnd) -> None:
        """Return a permit."""
        await self._call_peer(to, "EndPermit", request)

    async def remember(
        self, to: str, request: wire.RememberRequest
    ) -> wire.RememberReply:
        """Store a record of an at-most-once call."""
        return await self._call_peer(to, "Remember", request)

    async def finish(self, to: str, request: wire.FinishRequest) -> None:
        """Record the outcome of an at-most-once call."""
        await self._call_peer(to, "Finish", request)

    async def copy(self, to: str, request: wire.CopyRequest) -> bool:
        """Copy records to a peer."""
        reply = await self._call_peer(to, "Copy", request)
        return bool(reply.accepted)

    async def history(self, to: str, request: wire.HistoryRequest) -> wire.HistoryReply:
        """Request earlier views."""
        return await self._call_peer(to, "History", request)

    async def hand_over(self, to: str, request: wire.HandOverRequest) -> bool:
        """Hand over the state of owned keys."""
        self.on_hand_over()
        reply = await self._call_peer(to, "HandOver", request)
        return bool(reply.accepted)

    async def _call_peer(
        self, to: str, method: str, request: Any, timeout_s: float | None = None
    ) -> Any:
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        try:
            async with asyncio.timeout(limit_s):
                return await self._exchange(to, method, request)
        except TimeoutError as error:
            raise PeerError(f"{to}: no answer in {limit_s} s") from error

    async def _exchange(self, to: str, method: str, request: Any) -> Any:
        content = request.SerializeToString()
        text = text_format.MessageToString(request, as_one_line=True)
        self._write_transcript(f"{self._instance_id} -> {to} {method} {text}")
        if self._network.is_dead(to):
            raise PeerError(f"{to}: connection refused")
        await self._network.deliver(self._instance_id, to)
        self._record_message(to, content)
        service = self._find_service(to)
        if service is None:
            raise PeerError(f"{to}: connection refused")
        stream = _UnaryStream(type(request).FromString(content))
        await getattr(service, method)(stream)
        await self._network.deliver(to, self._instance_id)
        text = text_format.MessageToString(stream.reply, as_one_line=True)
        self._write_transcript(f"{to} -> {self._instance_id} {method} {text}")
        return type(stream.reply).FromString(stream.reply.SerializeToString())
