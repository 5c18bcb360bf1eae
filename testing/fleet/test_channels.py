"""A failed channel is replaced, and every failure raises the same error."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Awaitable
from collections.abc import Callable
from typing import cast

import attrs
import pytest
from grpclib.client import Channel
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import H2Protocol
from grpclib.server import Server
from grpclib.server import Stream

from chiveslip.fleet.channels import ChannelOptions
from chiveslip.fleet.channels import PeerChannels
from chiveslip.fleet.channels import PeerError
from chiveslip.generated import peer_pb2 as wire
from chiveslip.generated.peer_grpc import GatewayPeerStub
from chiveslip.settings.fields import Address

PEER = Address("127.0.0.1", 1)
OPTIONS = ChannelOptions(keepalive_s=5.0, keepalive_timeout_s=2.0, pings_idle=False)

LONGER_THAN_ANY_DELAY_S = 0.1

Send = Callable[[Channel, float], Awaitable[str]]


def failing(error: Exception) -> Send:
    async def send(channel: Channel, timeout_s: float) -> str:
        raise error

    return send


async def never_reply(channel: Channel, timeout_s: float) -> str:
    await asyncio.sleep(60.0)
    return "late"


@pytest.mark.parametrize(
    "send",
    [
        pytest.param(failing(GRPCError(Status.UNAVAILABLE)), id="refused"),
        pytest.param(failing(StreamTerminatedError("reset")), id="reset"),
        pytest.param(failing(ConnectionRefusedError()), id="not-listening"),
        pytest.param(never_reply, id="no-reply"),
    ],
)
async def test_failed_channel_is_not_used_again(send: Send) -> None:
    channels = PeerChannels(OPTIONS)
    used: list[Channel] = []

    async def answer(channel: Channel, timeout_s: float) -> str:
        used.append(channel)
        return "answer"

    assert await channels.call(PEER, 0.01, answer) == "answer"
    assert await channels.call(PEER, 0.01, answer) == "answer"
    with pytest.raises(PeerError, match=r"127\.0\.0\.1"):
        await channels.call(PEER, 0.01, send)
    assert await channels.call(PEER, 0.01, answer) == "answer"
    assert used[0] is used[1]
    assert used[1] is not used[2]
    channels.close()


@attrs.define(eq=False)
class FakeChannel:
    """Records that it was closed."""

    is_closed: bool = False

    def close(self) -> None:
        self.is_closed = True


async def test_call_that_runs_on_a_failed_channel_is_not_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(PeerChannels, "_make_channel", lambda *_: FakeChannel())
    channels = PeerChannels(OPTIONS)
    async with channels.open(PEER) as long_call:
        with pytest.raises(PeerError):
            await channels.call(PEER, 0.01, never_reply)
        async with channels.open(PEER) as next_call:
            assert next_call is not long_call
        await asyncio.sleep(LONGER_THAN_ANY_DELAY_S)
        assert not cast(FakeChannel, long_call).is_closed
    assert cast(FakeChannel, long_call).is_closed
    assert not cast(FakeChannel, next_call).is_closed
    channels.close()
    assert cast(FakeChannel, next_call).is_closed


class BrokenPeer:
    """Answers each exchange with the same bytes, and ends the reply properly."""

    def __init__(self, parts: list[bytes]) -> None:
        self._parts = parts

    async def exchange(self, stream: Stream[wire.Gossip, wire.Gossip]) -> None:
        await stream.recv_message()
        await stream.send_initial_metadata()
        for part in self._parts:
            await stream._stream.send_data(part)
            await asyncio.sleep(0.02)
        await stream.send_trailing_metadata(status=Status.OK)

    def __mapping__(self) -> dict[str, Handler]:
        handler = Handler(
            self.exchange, Cardinality.UNARY_UNARY, wire.Gossip, wire.Gossip
        )
        return {"/chiveslip.GatewayPeer/Exchange": handler}


def message(content: bytes, *, announced: int | None = None) -> bytes:
    size = len(content) if announced is None else announced
    return struct.pack(">?I", False, size) + content


@pytest.mark.xdist_group("sockets")
@pytest.mark.parametrize(
    "parts",
    [
        pytest.param([], id="no-message"),
        pytest.param([b"\x00\x00"], id="part-of-the-length"),
        pytest.param([message(b"\x08", announced=100)], id="part-of-a-message"),
        pytest.param([message(b"\xff\xff\xff")], id="not-a-message"),
        pytest.param([b"\x01" + message(b"")[1:]], id="compressed"),
        pytest.param([message(b"", announced=100), *[b"\x00"] * 99], id="slow-bytes"),
        pytest.param([message(b"", announced=1 << 31)], id="huge-message"),
    ],
)
async def test_reply_that_is_no_whole_message_is_an_error_of_the_peer(
    parts: list[bytes],
) -> None:
    server = Server([BrokenPeer(parts)])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    channels = PeerChannels(OPTIONS)
    with pytest.raises(PeerError):
        await channels.call(
            Address("127.0.0.1", port),
            0.5,
            lambda channel, t: GatewayPeerStub(channel).Exchange(
                wire.Gossip(), timeout=t
            ),
        )
    channels.close()
    server.close()
    await server.wait_closed()


async def _lose_before_first_call(
    create: Callable[[Channel], Awaitable[H2Protocol]], channel: Channel
) -> H2Protocol:
    protocol = await create(channel)
    protocol.connection_lost(ConnectionResetError())
    return protocol


@pytest.mark.xdist_group("sockets")
async def test_connection_lost_before_its_first_call_is_an_error_of_the_peer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    create = Channel._create_connection
    monkeypatch.setattr(
        Channel, "_create_connection", lambda c: _lose_before_first_call(create, c)
    )
    server = Server([BrokenPeer([message(b"")])])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    channels = PeerChannels(OPTIONS)
    with pytest.raises(PeerError):
        await channels.call(
            Address("127.0.0.1", port),
            0.5,
            lambda channel, t: GatewayPeerStub(channel).Exchange(
                wire.Gossip(), timeout=t
            ),
        )
    channels.close()
    server.close()
    await server.wait_closed()
