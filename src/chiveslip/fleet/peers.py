"""Exchanges with other instances: the interface, and gRPC below it."""

from __future__ import annotations

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar
from typing import final

from chiveslip.fleet.channels import ChannelOptions
from chiveslip.fleet.channels import PeerChannels
from chiveslip.fleet.channels import PeerError
from chiveslip.generated import peer_pb2 as wire
from chiveslip.generated.peer_grpc import PeerStub
from chiveslip.settings.fields import Address

# A permit may be waited for this long on a channel that failed for another call.
_OPTIONS = ChannelOptions(
    keepalive_s=5.0, keepalive_timeout_s=2.0, pings_idle=True, max_call_s=60.0
)

Reply = TypeVar("Reply")


class Peers(abc.ABC):
    """The other instances by their published names.

    Every method raises `PeerError` if no answer comes in time.
    """

    @abc.abstractmethod
    async def confirm(self, to: str, request: wire.ConfirmRequest) -> wire.ConfirmReply:
        """Exchange heartbeats."""

    @abc.abstractmethod
    async def pull(self, to: str, request: wire.PullRequest) -> wire.PullReply:
        """Ask for a document that the peer has and this instance lacks."""

    @abc.abstractmethod
    async def credit(self, to: str, request: wire.CreditRequest) -> wire.CreditReply:
        """Ask an allowance's home for credit."""

    @abc.abstractmethod
    async def permit(
        self, to: str, request: wire.PermitRequest, timeout_s: float
    ) -> wire.PermitReply:
        """Ask an engine's home for a permit, which may take long."""

    @abc.abstractmethod
    async def end_permit(self, to: str, request: wire.PermitEnd) -> None:
        """Give a permit back."""

    @abc.abstractmethod
    async def remember(
        self, to: str, request: wire.RememberRequest
    ) -> wire.RememberReply:
        """Place the record of a once-only call."""

    @abc.abstractmethod
    async def finish(self, to: str, request: wire.FinishRequest) -> None:
        """Note the outcome of a once-only call."""

    @abc.abstractmethod
    async def copy(self, to: str, request: wire.CopyRequest) -> bool:
        """Give records on; return whether the peer took them."""

    @abc.abstractmethod
    async def history(self, to: str, request: wire.HistoryRequest) -> wire.HistoryReply:
        """Ask for the views of the last while."""

    @abc.abstractmethod
    async def hand_over(self, to: str, request: wire.HandOverRequest) -> bool:
        """Hand over what the peer is home of now; return whether it took it."""

    async def close(self) -> None:
        """Free what the peers hold."""
        return


@final
class GrpcPeers(Peers):
    """Peers over gRPC."""

    def __init__(
        self, address_of: Callable[[str], Address | None], timeout_s: float
    ) -> None:
        self._address_of = address_of
        self._timeout_s = timeout_s
        self._channels = PeerChannels(_OPTIONS)
        self._addresses: dict[str, Address] = {}

    async def confirm(self, to: str, request: wire.ConfirmRequest) -> wire.ConfirmReply:
        """Exchange heartbeats."""
        return await self._call(to, lambda s, t: s.Confirm(request, timeout=t))

    async def pull(self, to: str, request: wire.PullRequest) -> wire.PullReply:
        """Ask for a document that the peer has and this instance lacks."""
        return await self._call(to, lambda s, t: s.Pull(request, timeout=t))

    async def credit(self, to: str, request: wire.CreditRequest) -> wire.CreditReply:
        """Ask an allowance's home for credit."""
        return await self._call(to, lambda s, t: s.Credit(request, timeout=t))

    async def permit(
        self, to: str, request: wire.PermitRequest, timeout_s: float
    ) -> wire.PermitReply:
        """Ask an engine's home for a permit, which may take long."""
        return await self._call(
            to, lambda s, t: s.Permit(request, timeout=t), timeout_s
        )

    async def end_permit(self, to: str, request: wire.PermitEnd) -> None:
        """Give a permit back."""
        await self._call(to, lambda s, t: s.EndPermit(request, timeout=t))

    async def remember(
        self, to: str, request: wire.RememberRequest
    ) -> wire.RememberReply:
        """Place the record of a once-only call."""
        return await self._call(to, lambda s, t: s.Remember(request, timeout=t))

    async def finish(self, to: str, request: wire.FinishRequest) -> None:
        """Note the outcome of a once-only call."""
        await self._call(to, lambda s, t: s.Finish(request, timeout=t))

    async def copy(self, to: str, request: wire.CopyRequest) -> bool:
        """Give records on; return whether the peer took them."""
        reply = await self._call(to, lambda s, t: s.Copy(request, timeout=t))
        return reply.accepted

    async def history(self, to: str, request: wire.HistoryRequest) -> wire.HistoryReply:
        """Ask for the views of the last while."""
        return await self._call(to, lambda s, t: s.History(request, timeout=t))

    async def hand_over(self, to: str, request: wire.HandOverRequest) -> bool:
        """Hand over what the peer is home of now; return whether it took it."""
        reply = await self._call(to, lambda s, t: s.HandOver(request, timeout=t))
        return reply.accepted

    async def close(self) -> None:
        """Close all channels."""
        self._channels.close()

    async def _call(
        self,
        to: str,
        send: Callable[[PeerStub, float], Awaitable[Reply]],
        timeout_s: float | None = None,
    ) -> Reply:
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        return await self._channels.call(
            self._address(to), limit_s, lambda channel, t: send(PeerStub(channel), t)
        )

    def _address(self, to: str) -> Address:
        address = self._address_of(to)
        if address is None:
            raise PeerError(f"{to} is not in the list of instances")
        before = self._addresses.get(to)
        if before is not None and before != address:
            self._channels.close_channel(before)
        self._addresses[to] = address
        return address
