"""Gossip exchanges with peers, started by this instance or by them."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import final

from grpclib.server import Stream

from chiveslip import logs
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.engine_uses import decode_uses
from chiveslip.fleet.forwarding import answer_forwarded
from chiveslip.fleet.forwarding import decline_forwarded
from chiveslip.fleet.gateway_peers import WIRE_OUTCOMES
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.fleet.gossip_messages import GossipMessages
from chiveslip.fleet.gossip_messages import GossipParts
from chiveslip.fleet.gossip_messages import read_revision
from chiveslip.fleet.gossip_schedule import MIN_FAN_OUT
from chiveslip.fleet.incarnations import decode_limit
from chiveslip.fleet.store_pulls import StorePulls
from chiveslip.fleet.use_notices import UseNotices
from chiveslip.fleet.use_notices import Uses
from chiveslip.gateway.adapter_waits import SlotNeed
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.forwarded import ForwardedRequests
from chiveslip.gateway.routing import Organisation
from chiveslip.generated import peer_pb2 as wire
from chiveslip.generated.peer_grpc import GatewayPeerBase
from chiveslip.settings.fields import Address
from chiveslip.store.client import StoreRevision
from chiveslip.tasks import TaskSet


@final
class Gossip:
    """Exchanges gossip with some peers in each round.

    Parameters
    ----------
    seeds
        Addresses to exchange with as long as no live member is known there.
    """

    def __init__(
        self,
        *,
        messages: GossipMessages,
        parts: GossipParts,
        peers: GatewayPeers,
        store_pulls: StorePulls,
        seeds: tuple[Address, ...],
        generator: random.Random,
    ) -> None:
        self._messages = messages
        self._parts = parts
        self._peers = peers
        self._store_pulls = store_pulls
        self._seeds = seeds
        self._random = generator
        self._rounds = 0
        self._use_notices = UseNotices()
        self._in_flight: set[Address] = set()
        self._log = logs.get_logger("gossip")

    def update_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seeds."""
        self._seeds = seeds

    async def run_round(self) -> None:
        """Exchange with selected peers, and with seeds where no member is known."""
        now = self._parts.clock.now()
        membership = self._parts.membership
        if self._rounds % self._parts.schedule().rounds_per_heartbeat == 0:
            membership.advance_heartbeat(now)
        self._rounds += 1
        addresses = self._select_peers(now)
        addresses += membership.unreached_seeds(self._seeds, now)
        for lost in membership.lost_members(now):
            self._parts.engine_view.forget_peer(lost)
        request = self._messages.build_request()
        available = [address for address in addresses if address not in self._in_flight]
        for address in self._in_flight.intersection(addresses):
            self._record_not_received(address)
        await asyncio.gather(
            *(self._exchange(address, request) for address in available)
        )

    def _select_peers(self, now: float) -> list[Address]:
        """Return the addresses to exchange with in this round.

        Returns all peers, or a few if there are more than the fan-out. Most of these
        are coordinators of engines: a coordinator has to know which adapters are in
        use, and peers don't pass that on. Those to whom a begin or an end has not been
        told yet come first.
        """
        parts = self._parts
        reachable = {
            update.instance: update for update in parts.membership.reachable(now)
        }
        fan_out = parts.schedule().fan_out
        if len(reachable) <= fan_out:
            return [update.address for update in reachable.values()]
        chosen = self._use_notices.select(
            self._group_uses_by_coordinator(), reachable.keys(), fan_out - 1
        )
        others = sorted(reachable.keys() - set(chosen))
        random_count = max(1, MIN_FAN_OUT - len(chosen))
        chosen += self._random.sample(others, random_count)
        return [reachable[name].address for name in chosen]

    def _group_uses_by_coordinator(self) -> dict[str, Uses]:
        """Return the adapters in use here, by the coordinator of their engine."""
        parts = self._parts
        grouped: dict[str, set[tuple[str, frozenset[Adapter]]]] = {}
        for use in parts.engine_view.own_uses():
            coordinator = parts.coordinator.rights.coordinator_of(use.engine)
            grouped.setdefault(coordinator, set()).add((use.engine, use.adapters))
        return {name: frozenset(uses) for name, uses in grouped.items()}

    def _record_not_received(self, address: Address) -> None:
        membership = self._parts.membership
        self._use_notices.record_not_received(
            name
            for name in membership.known_members
            if membership.address_of(name) == address
        )

    async def _exchange(self, address: Address, request: wire.Gossip) -> None:
        self._in_flight.add(address)
        try:
            reply = await self._peers.exchange(address, request)
            self._messages.record_received(request)
            self._messages.apply(reply)
            self._parts.metrics.exchanges.labels("answered").inc()
        except PeerError as error:
            self._parts.metrics.exchanges.labels("failed").inc()
            self._record_not_received(address)
            self._log.debug(
                "Gossip exchange failed.", peer=str(address), cause=str(error)
            )
            return
        finally:
            self._in_flight.discard(address)
        await self._store_pulls.pull_if_overdue(address, read_revision(reply))


@final
class GatewayPeerService(GatewayPeerBase):
    """The gRPC service for other gateways."""

    def __init__(
        self,
        messages: GossipMessages,
        parts: GossipParts,
        store_pulls: StorePulls,
        changes_after: Callable[[StoreRevision], wire.ChangesReply],
        find_organisation: Callable[[str], Organisation | None],
        forwarded: ForwardedRequests,
    ) -> None:
        self._messages = messages
        self._parts = parts
        self._store_pulls = store_pulls
        self._changes_after = changes_after
        self._find_organisation = find_organisation
        self._forwarded = forwarded
        self._tasks = TaskSet("gossip")
        self._log = logs.get_logger("gossip")

    async def Exchange(  # noqa: N802
        self, stream: Stream[wire.Gossip, wire.Gossip]
    ) -> None:
        """Apply the gossip of a peer and reply with that of this instance."""
        request = await stream.recv_message()
        if request is None:
            return
        self._messages.apply(request)
        reply = self._messages.build_reply(request)
        await stream.send_message(reply)
        self._messages.record_received(reply)
        sender = self._parts.membership.address_of(request.sender.instance)
        if sender is not None:
            pull = self._store_pulls.pull_if_overdue(sender, read_revision(request))
            self._tasks.start(pull)

    async def Load(  # noqa: N802
        self, stream: Stream[wire.LoadRequest, wire.LoadReply]
    ) -> None:
        """Answer a request to load an adapter."""
        request = await stream.recv_message()
        if request is None:
            return
        adapter = (request.adapter, request.version)
        # An order is carried through although the peer stops waiting for it.
        loaded = await asyncio.shield(
            self._tasks.start(
                self._parts.coordinator.load_adapter(
                    request.endpoint,
                    adapter,
                    request.patience_seconds,
                    request.instance,
                    _parse_need(request),
                )
            )
        )
        reply = wire.LoadReply(
            outcome=WIRE_OUTCOMES[loaded.outcome], ready_after_seconds=loaded.ready_in_s
        )
        await stream.send_message(reply)

    async def Uses(  # noqa: N802
        self, stream: Stream[wire.UsesNotice, wire.UsesReply]
    ) -> None:
        """Apply the uses of engines that a peer tells at once."""
        notice = await stream.recv_message()
        if notice is None:
            return
        is_known = self._parts.membership.address_of(notice.instance) is not None
        if is_known:
            self._parts.engine_view.apply_use_notice(
                notice.instance,
                decode_uses(notice.uses),
                self._parts.clock.now(),
                (notice.incarnation, notice.uses_number),
            )
        await stream.send_message(wire.UsesReply(is_applied=is_known))

    async def Changes(  # noqa: N802
        self, stream: Stream[wire.ChangesRequest, wire.ChangesReply]
    ) -> None:
        """Answer a request for changes of the store."""
        request = await stream.recv_message()
        if request is None:
            return
        after = StoreRevision(request.after_era, request.after_revision)
        await stream.send_message(self._changes_after(after))

    async def Grant(  # noqa: N802
        self, stream: Stream[wire.GrantRequest, wire.GrantReply]
    ) -> None:
        """Grant units of an organisation's allowance, or say when to ask again."""
        request = await stream.recv_message()
        if request is None:
            return
        organisation = self._find_organisation(request.organisation)
        is_valid = 0 <= request.units < math.inf and 0 <= request.ahead < math.inf
        if organisation is None or not is_valid:
            await stream.send_message(wire.GrantReply())
            return
        grant = self._parts.allowances.grant(
            organisation, request.units, request.ahead, self._parts.clock.now()
        )
        reply = wire.GrantReply(
            is_decided=True,
            units=grant.units,
            retry_after_seconds=grant.retry_after_s,
        )
        await stream.send_message(reply)

    async def GrantSends(  # noqa: N802
        self, stream: Stream[wire.GrantSendsRequest, wire.GrantSendsReply]
    ) -> None:
        """Grant requests to an endpoint with a limit, or say when to ask again."""
        request = await stream.recv_message()
        if request is None:
            return
        parts = self._parts
        told = decode_limit(request.limit, parts.clock.now(), source="a peer's request")
        if told is None:
            await stream.send_message(wire.GrantSendsReply())
            return
        if not told.is_cold:
            parts.limits.record_limit(told, source="a peer's request")
        limit = parts.limits.find_told(told)
        grant = parts.limit_grantor.grant(limit, request.ahead)
        if grant is None:
            await stream.send_message(wire.GrantSendsReply())
            return
        reply = wire.GrantSendsReply(
            is_decided=True,
            requests=grant.requests,
            retry_after_seconds=grant.retry_after_s,
        )
        await stream.send_message(reply)

    async def Forward(  # noqa: N802
        self, stream: Stream[wire.ForwardMessage, wire.ForwardPart]
    ) -> None:
        """Answer a request for which a peer has no path to an endpoint.

        It comes without a key, so nobody but members may send one.
        """
        address = stream.peer.addr()
        if address is None or not self._parts.membership.has_member_on(address[0]):
            self._log.warning(
                "Request declined, as no member runs there.", address=address
            )
            await decline_forwarded(stream)
            return
        await answer_forwarded(stream, self._forwarded)


def _parse_need(request: wire.LoadRequest) -> SlotNeed:
    """Return what a load request needs a slot for; a malformed one does not wait."""
    is_valid = 0 <= request.tokens < math.inf and request.slot_wait_seconds >= 0
    return SlotNeed(
        priority=request.priority,
        organisation=request.organisation,
        tokens=request.tokens if is_valid else 0.0,
        max_wait_s=request.slot_wait_seconds if is_valid else 0.0,
    )
