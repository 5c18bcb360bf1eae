"""Exchanges with other instances: the interface, and gRPC below it."""

from __future__ import annotations

import abc
import asyncio
import contextlib
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar
from typing import final

from grpclib.client import Channel
from grpclib.config import Configuration as ChannelConfiguration
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError

from chiveslip.generated import peer_pb2 as wire
from chiveslip.generated.peer_grpc import PeerStub
from chiveslip.settings.fields import Address

_KEEPALIVE_S = 5.0
_KEEPALIVE_TIMEOUT_S = 2.0

Reply = TypeVar("Reply")


class PeerError(Exception):
    """A peer gave no answer; whether it got the message is unknown."""


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
    """Peers over gRPC; a channel that failed once is not used again."""

    def __init__(
        self, address_of: Callable[[str], Address | None], timeout_s: float
    ) -> None:
        self._address_of = address_of
        self._timeout_s = timeout_s
        self._channels: dict[str, tuple[Address, Channel]] = {}

    async def confirm(self, to: str, request: wire.ConfirmRequest) -> wire.ConfirmReply:
        """Exchange heartbeats."""
        return await self._ask(to, lambda s, t: s.Confirm(request, timeout=t))

    async def pull(self, to: str, request: wire.PullRequest) -> wire.PullReply:
        """Ask for a document that the peer has and this instance lacks."""
        return await self._ask(to, lambda s, t: s.Pull(request, timeout=t))

    async def credit(self, to: str, request: wire.CreditRequest) -> wire.CreditReply:
        """Ask an allowance's home for credit."""
        return await self._ask(to, lambda s, t: s.Credit(request, timeout=t))

    async def permit(
        self, to: str, request: wire.PermitRequest, timeout_s: float
    ) -> wire.PermitReply:
        """Ask an engine's home for a permit, which may take long."""
        return await self._ask(to, lambda s, t: s.Permit(request, timeout=t), timeout_s)

    async def end_permit(self, to: str, request: wire.PermitEnd) -> None:
        """Give a permit back."""
        await self._ask(to, lambda s, t: s.EndPermit(request, timeout=t))

    async def remember(
        self, to: str, request: wire.RememberRequest
    ) -> wire.RememberReply:
        """Place the record of a once-only call."""
        return await self._ask(to, lambda s, t: s.Remember(request, timeout=t))

    async def finish(self, to: str, request: wire.FinishRequest) -> None:
        """Note the outcome of a once-only call."""
        await self._ask(to, lambda s, t: s.Finish(request, timeout=t))

    async def copy(self, to: str, request: wire.CopyRequest) -> bool:
        """Give records on; return whether the peer took them."""
        reply = await self._ask(to, lambda s, t: s.Copy(request, timeout=t))
        return reply.accepted

    async def history(self, to: str, request: wire.HistoryRequest) -> wire.HistoryReply:
        """Ask for the views of the last while."""
        return await self._ask(to, lambda s, t: s.History(request, timeout=t))

    async def hand_over(self, to: str, request: wire.HandOverRequest) -> bool:
        """Hand over what the peer is home of now; return whether it took it."""
        reply = await self._ask(to, lambda s, t: s.HandOver(request, timeout=t))
        return reply.accepted

    async def close(self) -> None:
        """Close all channels."""
        for _, channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _ask(
        self,
        to: str,
        send: Callable[[PeerStub, float], Awaitable[Reply]],
        timeout_s: float | None = None,
    ) -> Reply:
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        channel = self._channel(to)
        try:
            async with asyncio.timeout(limit_s):
                return await send(PeerStub(channel), limit_s)
        except (
            GRPCError,
            ProtocolError,
            StreamTerminatedError,
            OSError,
            TimeoutError,
        ) as error:
            self._drop(to, channel)
            raise PeerError(f"{to}: {error!r}") from error

    def _channel(self, to: str) -> Channel:
        address = self._address_of(to)
        if address is None:
            raise PeerError(f"{to} is not in the list of instances")
        held = self._channels.get(to)
        if held is not None and held[0] == address:
            return held[1]
        if held is not None:
            held[1].close()
        channel = Channel(
            address.host,
            address.port,
            config=ChannelConfiguration(
                _keepalive_time=_KEEPALIVE_S,
                _keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
                _keepalive_permit_without_calls=True,
                _http2_max_pings_without_data=0,
                _http2_min_sent_ping_interval_without_data=_KEEPALIVE_S,
            ),
        )
        self._channels[to] = (address, channel)
        return channel

    def _drop(self, to: str, channel: Channel) -> None:
        held = self._channels.get(to)
        if held is None or held[1] is not channel:
            return
        del self._channels[to]
        # Other calls may still run on the channel; they end by their deadlines.
        with contextlib.suppress(RuntimeError):
            asyncio.get_running_loop().call_later(60.0, channel.close)
