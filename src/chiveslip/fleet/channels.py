"""gRPC channels to other instances; a channel is replaced after its first failure.

A failed channel takes no new calls. It is closed once the calls that still run on it
have ended, since one late reply does not show that the others are lost.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar
from typing import final

import attrs
from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError

from chiveslip.settings.fields import Address

Reply = TypeVar("Reply")

_CALL_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    # grpclib asserts that a reply is as long as announced, and reads no compressed one.
    AssertionError,
    NotImplementedError,
    DecodeError,
    # grpclib removes the transport of a lost connection while calls still use it.
    AttributeError,
)


class PeerError(Exception):
    """A call to a peer failed; whether the peer received it is unknown."""


class UnsupportedCallError(PeerError):
    """The peer does not know the call: it runs an older version."""


@attrs.frozen(kw_only=True)
class ChannelOptions:
    """Options for keep-alive pings and for closing channels; times in seconds.

    Attributes
    ----------
    keepalive_s
        Interval between pings.
    keepalive_timeout_s
        Maximum wait for the reply to a ping.
    pings_idle
        Whether channels without a running call are pinged too. An instance with
        channels to many others leaves this off, because the pings would cost more
        than the messages.
    """

    keepalive_s: float
    keepalive_timeout_s: float
    pings_idle: bool


@final
class PeerChannels:
    """Channels by address, opened on first use."""

    def __init__(self, options: ChannelOptions) -> None:
        self._options = options
        self._channels: dict[Address, Channel] = {}
        self._running: collections.Counter[Channel] = collections.Counter()

    async def call(
        self,
        address: Address,
        timeout_s: float,
        send: Callable[[Channel, float], Awaitable[Reply]],
    ) -> Reply:
        """Call a peer and return its reply.

        Parameters
        ----------
        timeout_s
            Maximum wait for the reply in seconds.
        send
            Sends the request on a channel; called with the channel and `timeout_s`.

        Raises
        ------
        PeerError
            If no reply came in time, the peer refused the call, or its reply is no
            whole message.
        """
        async with self.open(address) as channel, asyncio.timeout(timeout_s):
            return await send(channel, timeout_s)

    @contextlib.asynccontextmanager
    async def open(self, address: Address) -> AsyncIterator[Channel]:
        """Provide the channel to a peer, and replace it if it fails meanwhile.

        Raises
        ------
        PeerError
            If the channel, or a call on it, fails.
        """
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._make_channel(address)
        self._running[channel] += 1
        try:
            yield channel
        except _CALL_ERRORS as error:
            if isinstance(error, GRPCError) and error.status is Status.UNIMPLEMENTED:
                # The channel works.
                raise UnsupportedCallError(
                    f"{address} does not know the call"
                ) from error
            if self._channels.get(address) is channel:
                del self._channels[address]
            raise PeerError(f"call to {address} failed: {error!r}") from error
        finally:
            self._end_call(address, channel)

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def close_channel(self, address: Address) -> None:
        """Close the channel to an address that is no longer a peer's.

        Calls that run on it fail.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def _end_call(self, address: Address, channel: Channel) -> None:
        """Stop counting a call, and close its channel if no other uses it."""
        self._running[channel] -= 1
        if self._running[channel] > 0:
            return
        del self._running[channel]
        if self._channels.get(address) is not channel:
            channel.close()

    def _make_channel(self, address: Address) -> Channel:
        options = self._options
        if not options.pings_idle:
            configuration = Configuration(
                _keepalive_time=options.keepalive_s,
                _keepalive_timeout=options.keepalive_timeout_s,
            )
            return Channel(address.host, address.port, config=configuration)
        configuration = Configuration(
            _keepalive_time=options.keepalive_s,
            _keepalive_timeout=options.keepalive_timeout_s,
            _keepalive_permit_without_calls=True,
            _http2_max_pings_without_data=0,
            _http2_min_sent_ping_interval_without_data=options.keepalive_s,
        )
        return Channel(address.host, address.port, config=configuration)
