"""Other instances, reached through the real service and the wire form."""

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
from testing.world.links import Links


class _Stream:
    """One unary exchange as the service sees it."""

    def __init__(self, request: Any) -> None:
        self._request = request
        self.reply: Any = None

    async def recv_message(self) -> Any:
        return self._request

    async def send_message(self, reply: Any) -> None:
        self.reply = reply


@final
class FakePeers(Peers):
    """The other instances of a world.

    Parameters
    ----------
    service_of
        Returns the service of an instance that lives, or None.
    record
        Takes every byte that a peer receives.
    """

    def __init__(
        self,
        me: str,
        links: Links,
        service_of: Callable[[str], PeerService | None],
        record: Callable[[str, bytes], None],
        timeout_s: float,
        note: Callable[[str], None],
    ) -> None:
        self._me = me
        self._links = links
        self._service_of = service_of
        self._record = record
        self._timeout_s = timeout_s
        self._note = note
        self.on_hand_over: Callable[[], None] = lambda: None

    async def confirm(self, to: str, request: wire.ConfirmRequest) -> wire.ConfirmReply:
        """Exchange heartbeats."""
        return await self._ask(to, "Confirm", request)

    async def pull(self, to: str, request: wire.PullRequest) -> wire.PullReply:
        """Ask for a document."""
        return await self._ask(to, "Pull", request)

    async def credit(self, to: str, request: wire.CreditRequest) -> wire.CreditReply:
        """Ask for credit."""
        return await self._ask(to, "Credit", request)

    async def permit(
        self, to: str, request: wire.PermitRequest, timeout_s: float
    ) -> wire.PermitReply:
        """Ask for a permit."""
        return await self._ask(to, "Permit", request, timeout_s)

    async def end_permit(self, to: str, request: wire.PermitEnd) -> None:
        """Give a permit back."""
        await self._ask(to, "EndPermit", request)

    async def remember(
        self, to: str, request: wire.RememberRequest
    ) -> wire.RememberReply:
        """Place a record."""
        return await self._ask(to, "Remember", request)

    async def finish(self, to: str, request: wire.FinishRequest) -> None:
        """Note an outcome."""
        await self._ask(to, "Finish", request)

    async def copy(self, to: str, request: wire.CopyRequest) -> bool:
        """Give records on."""
        reply = await self._ask(to, "Copy", request)
        return bool(reply.accepted)

    async def history(self, to: str, request: wire.HistoryRequest) -> wire.HistoryReply:
        """Ask for earlier views."""
        return await self._ask(to, "History", request)

    async def hand_over(self, to: str, request: wire.HandOverRequest) -> bool:
        """Hand over."""
        self.on_hand_over()
        reply = await self._ask(to, "HandOver", request)
        return bool(reply.accepted)

    async def _ask(
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
        words = text_format.MessageToString(request, as_one_line=True)
        self._note(f"{self._me} -> {to} {method} {words}")
        if self._links.is_dead(to):
            raise PeerError(f"{to}: connection refused")
        await self._links.cross(self._me, to)
        self._record(to, content)
        service = self._service_of(to)
        if service is None:
            raise PeerError(f"{to}: connection refused")
        stream = _Stream(type(request).FromString(content))
        await getattr(service, method)(stream)
        await self._links.cross(to, self._me)
        words = text_format.MessageToString(stream.reply, as_one_line=True)
        self._note(f"{to} -> {self._me} {method} {words}")
        return type(stream.reply).FromString(stream.reply.SerializeToString())
