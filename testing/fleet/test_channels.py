"""A failed channel is replaced, and every failure raises the same error."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from chiveslip.fleet.channels import ChannelOptions
from chiveslip.fleet.channels import PeerChannels
from chiveslip.fleet.channels import PeerError
from chiveslip.settings.fields import Address

PEER = Address("127.0.0.1", 1)
OPTIONS = ChannelOptions(
    keepalive_s=5.0, keepalive_timeout_s=2.0, pings_idle=False, max_call_s=0.0
)

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
