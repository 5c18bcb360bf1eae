"""Exchanges with peers: who is alive, what each has under way and has used."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import final

import attrs
from grpclib.server import Stream

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.fleet.gateway_peers import OUTCOMES
from chiveslip.fleet.gateway_peers import GatewayPeerError
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.fleet.gossip_news import EngineStateNews
from chiveslip.fleet.gossip_news import EngineUseNews
from chiveslip.fleet.membership import MemberNews
from chiveslip.fleet.membership import Membership
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.ordering import Orderer
from chiveslip.generated import peer_pb2 as wire
from chiveslip.generated.peer_grpc import GatewayPeerBase
from chiveslip.settings.fields import Address
from chiveslip.settings.fields import parse_address
from chiveslip.store.mirror import StoreMirror


@attrs.frozen(kw_only=True)
class GossipParts:
    """The parts that gossip speaks for."""

    membership: Membership
    allowances: SharedAllowances
    view: EngineView
    orderer: Orderer
    suspects: CrashSuspects
    mirror: StoreMirror
    clock: Clock


@final
class GossipMessages:
    """Writes and reads the messages between gateways."""

    def __init__(self, parts: GossipParts, generator: random.Random) -> None:
        self._parts = parts
        self._random = generator

    def compose(self) -> wire.Gossip:
        """Return what this instance has to tell."""
        parts = self._parts
        now = parts.clock.now()
        message = wire.Gossip(
            sender=_member(parts.membership.own_news()),
            store_revision=parts.mirror.revision,
        )
        for news in parts.membership.told(self._random, now):
            message.members.append(_member(news))
        levels = parts.allowances.levels(now)
        for name, tokens in parts.allowances.used.items():
            message.allowance_uses.add(
                organisation=name, tokens=tokens, level=levels.get(name, math.inf)
            )
        for use in parts.view.own_uses():
            message.engine_uses.add(
                endpoint=use.engine,
                requests=use.requests,
                unread_tokens=use.unread_tokens,
                adapters=[_join(adapter) for adapter in use.adapters],
            )
        for state in parts.orderer.states():
            message.engine_states.add(
                endpoint=state.engine,
                started=state.started,
                models=sorted(state.models),
                adapters=[_join(adapter) for adapter in state.adapters],
                running=state.running,
                waiting=state.waiting,
                cache_used=state.cache_used,
                age_seconds=state.age_s,
            )
        for engine, age_s, fence in parts.orderer.last_orders():
            message.last_orders.add(endpoint=engine, age_seconds=age_s, fence=fence)
        for fingerprint, crashes in parts.suspects.known(now).items():
            told = message.crash_suspects.add(fingerprint=fingerprint)
            for endpoint, at in crashes.items():
                told.crashes.add(endpoint=endpoint, age_seconds=now - at)
        return message

    def take(self, message: wire.Gossip) -> None:
        """Take over what a peer tells."""
        parts = self._parts
        now = parts.clock.now()
        peer = message.sender.instance
        for told in (message.sender, *message.members):
            news = _news(told)
            if news is not None:
                parts.membership.heard(news, now)
        if message.sender.stopping:
            parts.orderer.heard_stop(peer)
        if parts.membership.is_older(message.sender.heartbeat):
            levels = {use.organisation: use.level for use in message.allowance_uses}
            parts.allowances.started_among(levels, now)
        used = {use.organisation: use.tokens for use in message.allowance_uses}
        parts.allowances.heard(peer, message.sender.incarnation, used)
        uses = [
            EngineUseNews(
                engine=use.endpoint,
                requests=use.requests,
                unread_tokens=use.unread_tokens,
                adapters=frozenset(_split(adapter) for adapter in use.adapters),
            )
            for use in message.engine_uses
        ]
        parts.view.peer_works(peer, uses, now)
        for state in message.engine_states:
            parts.view.told(peer, _state(state), now)
        for order in message.last_orders:
            parts.orderer.heard_order(order.endpoint, order.fence, order.age_seconds)
        for suspect in message.crash_suspects:
            for crash in suspect.crashes:
                at = now - crash.age_seconds
                parts.suspects.heard(suspect.fingerprint, crash.endpoint, at, now)


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
        fan_out: int,
        generator: random.Random,
    ) -> None:
        self._messages = messages
        self._parts = parts
        self._peers = peers
        self._seeds = seeds
        self._fan_out = fan_out
        self._random = generator
        self._in_flight: set[Address] = set()
        self._log = logs.get_logger("gossip")

    def use_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take over changed seeds."""
        self._seeds = seeds

    async def round(self) -> None:
        """Exchange with a few peers, and with seeds that nobody heard of."""
        now = self._parts.clock.now()
        membership = self._parts.membership
        membership.beat(now)
        addresses = [news.address for news in membership.reachable(now)]
        if len(addresses) > self._fan_out:
            addresses = self._random.sample(addresses, self._fan_out)
        addresses += membership.unheard_seeds(self._seeds, now)
        for gone in membership.gone(now):
            self._parts.view.forget_peer(gone)
        message = self._messages.compose()
        free = [address for address in addresses if address not in self._in_flight]
        await asyncio.gather(*(self._exchange(address, message) for address in free))

    async def _exchange(self, address: Address, message: wire.Gossip) -> None:
        self._in_flight.add(address)
        try:
            reply = await self._peers.exchange(address, message)
            self._messages.take(reply)
            await self._pull(address, reply.store_revision)
        except GatewayPeerError as error:
            self._log.debug("No exchange.", peer=str(address), cause=str(error))
        finally:
            self._in_flight.discard(address)

    async def _pull(self, address: Address, revision: int) -> None:
        """Take changes of the store from a peer that has newer ones."""
        mirror = self._parts.mirror
        if not mirror.lags_behind(revision, self._parts.clock.now()):
            return
        reply = await self._peers.changes(address, mirror.revision)
        mirror.take_from_peer(reply, self._parts.clock.now())


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
        await stream.send_message(self._messages.compose())

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


def _member(news: MemberNews) -> wire.MemberState:
    return wire.MemberState(
        instance=news.instance,
        address=str(news.address),
        incarnation=news.incarnation,
        heartbeat=news.heartbeat,
        stopping=news.stopping,
        age_seconds=news.age_s,
    )


def _news(told: wire.MemberState) -> MemberNews | None:
    try:
        address = parse_address(told.address)
    except ValueError:
        return None
    return MemberNews(
        instance=told.instance,
        address=address,
        incarnation=told.incarnation,
        heartbeat=told.heartbeat,
        stopping=told.stopping,
        age_s=told.age_seconds,
    )


def _state(state: wire.EngineState) -> EngineStateNews:
    return EngineStateNews(
        engine=state.endpoint,
        started=state.started,
        models=frozenset(state.models),
        adapters=frozenset(_split(adapter) for adapter in state.adapters),
        running=state.running,
        waiting=state.waiting,
        cache_used=state.cache_used,
        age_s=state.age_seconds,
    )


def _join(adapter: tuple[str, int]) -> str:
    return f"{adapter[0]}@{adapter[1]}"


def _split(text: str) -> tuple[str, int]:
    name, _, version = text.rpartition("@")
    return (name, int(version)) if version.isdigit() else (text, 0)
