"""Which peers an instance asks for what they keep against the copy of an era."""

from __future__ import annotations

from typing import cast

import attrs
import pytest

from chiveslip.clock import ManualClock
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.fleet.store_pulls import StorePulls
from chiveslip.generated import peer_pb2 as wire
from chiveslip.settings.fields import Address
from chiveslip.store.catch_up import PeerCatchUp
from chiveslip.store.client import Changes
from chiveslip.store.client import StoreRevision
from chiveslip.store.mirror import StoreMirror


@attrs.define
class RecordingPeers:
    """Peers that send no items, and the peers that were asked."""

    reply_era: int = 0
    asked: list[str] = attrs.field(factory=list)

    async def changes(
        self, address: Address, after: StoreRevision
    ) -> wire.ChangesReply:
        del after
        self.asked.append(address.host)
        return wire.ChangesReply(store_era=self.reply_era)


# Each step is the era of this instance, and the peers that gossip with their eras.
Step = tuple[int, list[tuple[str, int]]]


@pytest.mark.parametrize(
    ("steps", "asked"),
    [
        pytest.param([(0, [("a", 0)])], [], id="no-return"),
        pytest.param([(1, [("a", 0), ("b", 1)])], ["b"], id="peer-before-the-return"),
        pytest.param([(0, [("a", 1)])], [], id="own-reads-before-the-return"),
        pytest.param(
            [(1, [(name, 1) for name in "abcda"])], ["a", "b", "c"], id="three-peers"
        ),
        pytest.param(
            [(1, [("a", 1)]), (2, [("a", 1), ("a", 2), ("b", 2)])],
            ["a", "a", "b"],
            id="second-return",
        ),
    ],
)
async def test_few_peers_are_asked_in_each_era(
    clock: ManualClock, steps: list[Step], asked: list[str]
) -> None:
    mirror, peers = StoreMirror(), RecordingPeers()
    pulls = make_pulls(mirror, peers, clock)
    for era, gossip in steps:
        mirror.apply_snapshot(Changes(items=[], revision=StoreRevision(era, 10)))
        peers.reply_era = era
        for name, peer_era in gossip:
            await pulls.pull_if_overdue(Address(name, 1), StoreRevision(peer_era, 10))
    assert peers.asked == asked


async def test_peer_whose_reply_is_of_another_era_is_asked_again(
    clock: ManualClock,
) -> None:
    mirror, peers = StoreMirror(), RecordingPeers(reply_era=1)
    mirror.apply_snapshot(Changes(items=[], revision=StoreRevision(2, 10)))
    pulls = make_pulls(mirror, peers, clock)
    for _ in range(2):
        await pulls.pull_if_overdue(Address("a", 1), StoreRevision(2, 10))
    assert peers.asked == ["a", "a"]


def make_pulls(
    mirror: StoreMirror, peers: RecordingPeers, clock: ManualClock
) -> StorePulls:
    return StorePulls(
        mirror=mirror,
        catch_up=PeerCatchUp(
            own_revision=lambda: mirror.revision,
            read_began_at=clock.now,
            is_store_lost=lambda: False,
        ),
        peers=cast(GatewayPeers, peers),
        clock=clock,
    )
