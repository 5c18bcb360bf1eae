"""Exchanges with peers, at each interval and when they ask."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import final

from grpclib.server import Stream

from chiveslip import logs
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.gateway_peers import OUTCOMES
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.fleet.gossip_messages import GossipMessages
from chiveslip.fleet.gossip_messages import GossipParts
from chiveslip.generated import peer_pb2 as wire
from chiveslip.generated.peer_grpc import GatewayPeerBase
from chiveslip.settings.fields import Address


@final
class Gossip:
    """Exchanges with some peers at each interval."""

    def __init__(
        self,
        *,
        messages: GossipMessages,
        parts: GossipParts,
        peers: GatewayPeers,
        seeds: tuple[Address, ...],
        generator: random.Random,
    ) -> None:
        self._messages = messages
        self._parts = parts
        self._peers = peers
        self._seeds = seeds
        self._random = generator
        self._rounds = 0
        self._rounds_asked: dict[str, int] = {}
        self._in_flight: set[Address] = set()
        self._log = logs.get_logger("gossip")

    def use_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take over changed seeds."""
        self._seeds = seeds

    async def round(self) -> None:
        """Exchange with a few peers, and with seeds that nobody heard of."""
        now = self._parts.clock.now()
        membership = self._parts.membership
        if self._rounds % self._parts.pace().rounds_a_beat == 0:
            membership.beat(now)
        self._rounds += 1
        addresses = self._partners(now)
        addresses += membership.unheard_seeds(self._seeds, now)
        for gone in membership.gone(now):
            self._parts.view.forget_peer(gone)
        question = self._messages.question()
        free = [address for address in addresses if address not in self._in_flight]
        await asyncio.gather(*(self._exchange(address, question) for address in free))

    def _partners(self, now: float) -> list[Address]:
        """Return whom to ask: all, or a few, most of them orderers of used engines.

        An orderer has to know which adapters are in use, which is not passed on.
        """
        parts = self._parts
        reachable = {news.instance: news for news in parts.membership.reachable(now)}
        asked = parts.pace().asked
        if len(reachable) <= asked:
            return [news.address for news in reachable.values()]
        used = [use.engine for use in parts.view.own_uses()]
        orderers = {parts.orderer.rights.orderer_of(engine) for engine in used}
        # The one asked longest ago first, so that each is told in turn.
        told = sorted(orderers & reachable.keys(), key=self._asked_at)
        chosen = told[: asked - 1]
        others = sorted(reachable.keys() - set(chosen))
        chosen += self._random.sample(others, asked - len(chosen))
        self._rounds_asked = {
            name: at for name, at in self._rounds_asked.items() if name in reachable
        } | dict.fromkeys(chosen, self._rounds)
        return [reachable[name].address for name in chosen]

    def _asked_at(self, instance: str) -> int:
        return self._rounds_asked.get(instance, 0)

    async def _exchange(self, address: Address, question: wire.Gossip) -> None:
        self._in_flight.add(address)
        try:
            reply = await self._peers.exchange(address, question)
            self._messages.take(reply)
            self._parts.measures.exchanges.labels("answered").inc()
            await self._pull(address, reply.store_revision)
        except PeerError as error:
            self._parts.measures.exchanges.labels("failed").inc()
            self._log.debug("No exchange.", peer=str(address), cause=str(error))
        finally:
            self._in_flight.discard(address)

    async def _pull(self, address: Address, revision: int) -> None:
        """Take changes of the store from a peer that has newer ones."""
        mirror = self._parts.mirror
        patience_s = self._parts.pace().patience_s
        if not mirror.record_peer_revision(
            revision, patience_s, self._parts.clock.now()
        ):
            return
        reply = await self._peers.changes(address, mirror.revision)
        mirror.apply_peer_reply(reply, self._parts.clock.now())


@final
class GatewayPeerService(GatewayPeerBase):
    """Answers other gateways."""

    def __init__(
        self,
        messages: GossipMessages,
        parts: GossipParts,
        mirror_changes: Callable[[int], wire.ChangesReply],
    ) -> None:
        self._messages = messages
        self._parts = parts
        self._mirror_changes = mirror_changes

    async def Exchange(  # noqa: N802
        self, stream: Stream[wire.Gossip, wire.Gossip]
    ) -> None:
        """Answer an exchange."""
        request = await stream.recv_message()
        if request is None:
            return
        self._messages.take(request)
        await stream.send_message(self._messages.answer(request))

    async def Load(  # noqa: N802
        self, stream: Stream[wire.LoadRequest, wire.LoadReply]
    ) -> None:
        """Answer a request for an adapter."""
        request = await stream.recv_message()
        if request is None:
            return
        adapter = (request.adapter, request.version)
        loaded = await self._parts.orderer.load(
            request.endpoint, adapter, request.patience_seconds
        )
        reply = wire.LoadReply(
            outcome=OUTCOMES[loaded.outcome], ready_after_seconds=loaded.after_s
        )
        await stream.send_message(reply)

    async def Changes(  # noqa: N802
        self, stream: Stream[wire.ChangesRequest, wire.ChangesReply]
    ) -> None:
        """Answer a request for changes of the store."""
        request = await stream.recv_message()
        if request is None:
            return
        await stream.send_message(self._mirror_changes(request.after_revision))
