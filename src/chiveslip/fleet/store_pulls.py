"""Takes changes of the store from peers while this instance's own reads lag."""

from __future__ import annotations

from typing import final

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.settings.fields import Address
from chiveslip.store.catch_up import PeerCatchUp
from chiveslip.store.client import NO_REVISION
from chiveslip.store.client import StoreRevision
from chiveslip.store.mirror import StoreMirror

# A peer that has not answered a pull for this time is slow or gone; another is asked.
_MAX_PULL_S = 0.3
# A peer may have begun with the copy itself, so that several are asked in each era.
_MAX_MERGED_PEERS = 3


@final
class StorePulls:
    """Pulls changes of the store from peers, usually from one at a time."""

    def __init__(
        self,
        *,
        mirror: StoreMirror,
        catch_up: PeerCatchUp,
        peers: GatewayPeers,
        clock: Clock,
    ) -> None:
        self._mirror = mirror
        self._catch_up = catch_up
        self._peers = peers
        self._clock = clock
        self._pulling_since = float("-inf")
        self._merged_era = 0
        self._merged_peers: set[Address] = set()
        self._log = logs.get_logger("store")

    async def pull_if_overdue(
        self, peer: Address, peer_revision: StoreRevision
    ) -> None:
        """Pull the changes of a peer that has newer ones than the own reads delivered.

        Parameters
        ----------
        peer_revision
            Revision of the store up to which the peer has every change.
        """
        await self._merge_values(peer, peer_revision.era)
        now = self._clock.now()
        self._catch_up.record_peer_revision(peer_revision, now)
        is_pulling = now < self._pulling_since + _MAX_PULL_S
        is_newer = peer_revision > self._mirror.revision
        if not is_newer or is_pulling or not self._catch_up.is_overdue(now):
            return
        self._pulling_since = now
        try:
            reply = await self._peers.changes(peer, self._mirror.revision)
        except PeerError as error:
            self._log.debug(
                "Pull of store changes failed.", peer=str(peer), cause=str(error)
            )
            return
        finally:
            if self._pulling_since == now:
                self._pulling_since = float("-inf")
        self._mirror.apply_peer_reply(reply, str(peer))

    async def _merge_values(self, peer: Address, peer_era: int) -> None:
        """Learn from a few peers what they keep against the copy of this era."""
        era = self._mirror.revision.era
        if era == 0 or peer_era != era:
            return
        if era != self._merged_era:
            self._merged_era = era
            self._merged_peers.clear()
        if len(self._merged_peers) >= _MAX_MERGED_PEERS or peer in self._merged_peers:
            return
        self._merged_peers.add(peer)
        try:
            reply = await self._peers.changes(peer, NO_REVISION)
        except PeerError as error:
            self._merged_peers.discard(peer)
            self._log.debug(
                "Pull of store values failed.", peer=str(peer), cause=str(error)
            )
            return
        if reply.store_era != era:
            self._merged_peers.discard(peer)
        self._mirror.merge_peer_values(reply, str(peer))
