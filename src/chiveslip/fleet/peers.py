"""Calls to other instances: the interface and its gRPC implementation."""

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

_OPTIONS = ChannelOptions(keepalive_s=5.0, keepalive_timeout_s=2.0, pings_idle=True)

Reply = TypeVar("Reply")


class Peers(abc.ABC):
    """Client for the other instances, addressed by their published names.

    Every method raises `PeerError` if no reply comes in time.
    """

    @abc.abstractmethod
    async def confirm(self, to: str, request: wire.ConfirmRequest) -> wire.ConfirmReply:
        """Send a heartbeat and return the peer's reply."""

    @abc.abstractmethod
    async def pull(self, to: str, request: wire.PullRequest) -> wire.PullReply:
        """Request a document that the peer has in a newer revision."""

    @abc.abstractmethod
    async def credit(self, to: str, request: wire.CreditRequest) -> wire.CreditReply:
        """Request credit from the owner of an allowance."""

    @abc.abstractmethod
    async def permit(
        self, to: str, request: wire.PermitRequest, timeout_s: float
    ) -> wire.PermitReply:
        """Request a permit from the owner of an engine, which may take long."""

    @abc.abstractmethod
    async def end_permit(self, to: str, request: wire.PermitEnd) -> None:
        """Return a permit."""

    @abc.abstractmethod
    async def remember(
        self, to: str, request: wire.RememberRequest
    ) -> wire.RememberReply:
        """Place the record of an at-most-once call."""

    @abc.abstractmethod
    async def finish(self, to: str, request: wire.FinishRequest) -> None:
        """Record the outcome of an at-most-once call."""

    @abc.abstractmethod
    async def copy(self, to: str, request: wire.CopyRequest) -> bool:
        """Copy records to a peer; return whether it accepted them."""

    @abc.abstractmethod
    async def history(self, to: str, request: wire.HistoryRequest) -> wire.HistoryReply:
        """Request the recent views."""

    @abc.abstractmethod
    async def hand_over(self, to: str, request: wire.HandOverRequest) -> bool:
        """Hand buckets over to their new owner; return whether it accepted them."""

    async def close(self) -> None:
        """Release all resources, such as channels."""
        return


@final
class GrpcPeers(Peers):
    """Client for the other instances over gRPC.

    Parameters
    ----------
    address_of
        Returns the published address of an instance, or None if it has none.
    timeout_s
        Timeout in seconds of all calls except requests for permits.
    """

    def __init__(
        self, address_of: Callable[[str], Address | None], timeout_s: float
    ) -> None:
        self._address_of = address_of
        self._timeout_s = timeout_s
        self._channels = PeerChannels(_OPTIONS)
        self._addresses: dict[str, Address] = {}

    async def confirm(self, to: str, request: wire.ConfirmRequest) -> wire.ConfirmReply:
        """Send a heartbeat and return the peer's reply."""
        return await self._call(to, lambda s, t: s.Confirm(request, timeout=t))

    async def pull(self, to: str, request: wire.PullRequest) -> wire.PullReply:
        """Request a document that the peer has in a newer revision."""
        return await self._call(to, lambda s, t: s.Pull(request, timeout=t))

    async def credit(self, to: str, request: wire.CreditRequest) -> wire.CreditReply:
        """Request credit from the owner of an allowance."""
        return await self._call(to, lambda s, t: s.Credit(request, timeout=t))

    async def permit(
        self, to: str, request: wire.PermitRequest, timeout_s: float
    ) -> wire.PermitReply:
        """Request a permit from the owner of an engine, which may take long."""
        return await self._call(
            to, lambda s, t: s.Permit(request, timeout=t), timeout_s
        )

    async def end_permit(self, to: str, request: wire.PermitEnd) -> None:
        """Return a permit."""
        await self._call(to, lambda s, t: s.EndPermit(request, timeout=t))

    async def remember(
        self, to: str, request: wire.RememberRequest
    ) -> wire.RememberReply:
        """Place the record of an at-most-once call."""
        return await self._call(to, lambda s, t: s.Remember(request, timeout=t))

    async def finish(self, to: str, request: wire.FinishRequest) -> None:
        """Record the outcome of an at-most-once call."""
        await self._call(to, lambda s, t: s.Finish(request, timeout=t))

    async def copy(self, to: str, request: wire.CopyRequest) -> bool:
        """Copy records to a peer; return whether it accepted them."""
        reply = await self._call(to, lambda s, t: s.Copy(request, timeout=t))
        return reply.accepted

    async def history(self, to: str, request: wire.HistoryRequest) -> wire.HistoryReply:
        """Request the recent views."""
        return await self._call(to, lambda s, t: s.History(request, timeout=t))

    async def hand_over(self, to: str, request: wire.HandOverRequest) -> bool:
        """Hand buckets over to their new owner; return whether it accepted them."""
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
        previous = self._addresses.get(to)
        if previous is not None and previous != address:
            self._channels.close_channel(previous)
        self._addresses[to] = address
        return address
