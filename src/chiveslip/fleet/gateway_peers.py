"""gRPC client for gossip, loads, store changes and requests to other gateways."""

from __future__ import annotations

import contextlib
import math
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar
from typing import final

from chiveslip.fleet.channels import ChannelOptions
from chiveslip.fleet.channels import PeerChannels
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.engine_uses import encode_uses
from chiveslip.fleet.forwarded_exchange import GrpcForwardedExchange
from chiveslip.fleet.gossip_updates import EngineUseUpdate
from chiveslip.fleet.incarnations import encode_limit
from chiveslip.fleet.use_notifier import UsePeers
from chiveslip.gateway.adapter_waits import SlotNeed
from chiveslip.gateway.allowances import Grant
from chiveslip.gateway.endpoint_limits import NamedLimit
from chiveslip.gateway.engine_coordinator import LoadOutcome
from chiveslip.gateway.engine_coordinator import LoadResult
from chiveslip.gateway.handover import ForwardedExchange
from chiveslip.gateway.handover import ForwardingError
from chiveslip.gateway.handover import PeerForwarder
from chiveslip.gateway.limit_grants import LimitGrant
from chiveslip.gateway.limit_requests import LimitPeers
from chiveslip.generated import peer_pb2 as wire
from chiveslip.generated.peer_grpc import GatewayPeerStub
from chiveslip.settings.fields import Address
from chiveslip.store.client import StoreRevision

# The reply to a load comes when its order was accepted, which may wait for other loads.
# Another engine can still answer in time after this.
_LOAD_TIMEOUT_S = 1.2
# A request waits this long for each of two instances; short calls have 0.1 s in all.
_GRANT_TIMEOUT_S = 0.15
_OPTIONS = ChannelOptions(
    keepalive_s=2.0,
    keepalive_timeout_s=1.0,
    pings_idle=False,
)

Reply = TypeVar("Reply")

WIRE_OUTCOMES = {
    LoadOutcome.USABLE: wire.LoadReply.READY,
    LoadOutcome.NO_ROOM: wire.LoadReply.NO_ROOM,
    LoadOutcome.NOT_COORDINATOR: wire.LoadReply.NOT_HOME,
    LoadOutcome.TOO_LATE: wire.LoadReply.TOO_LATE,
    LoadOutcome.HELD_OFF: wire.LoadReply.HELD_OFF,
    LoadOutcome.FAILED: wire.LoadReply.REFUSED,
}
_OUTCOMES_BY_WIRE_VALUE = {value: outcome for outcome, value in WIRE_OUTCOMES.items()}


@final
class GatewayPeers(PeerForwarder, LimitPeers, UsePeers):
    """Client for other gateways; channels are opened on first use.

    Every method raises `PeerError` if no reply comes in time.

    Parameters
    ----------
    address_of
        Returns the peer address of an instance, or None if it is unknown.
    timeout_s
        Timeout in seconds of one exchange.
    instance
        Name of this instance.
    """

    def __init__(
        self,
        address_of: Callable[[str], Address | None],
        timeout_s: float,
        instance: str = "",
    ) -> None:
        self._instance = instance
        self._address_of = address_of
        self._timeout_s = timeout_s
        self._channels = PeerChannels(_OPTIONS)

    async def exchange(self, address: Address, gossip: wire.Gossip) -> wire.Gossip:
        """Send gossip to a peer and return its gossip."""
        return await self._call(
            address, self._timeout_s, lambda stub, t: stub.Exchange(gossip, timeout=t)
        )

    async def load(
        self,
        peer: str,
        engine: str,
        adapter: tuple[str, int],
        max_wait_s: float,
        need: SlotNeed,
    ) -> LoadResult:
        """Ask the coordinator of an engine to load an adapter.

        Parameters
        ----------
        adapter
            Name and version.
        max_wait_s
            How long in seconds the request can wait for the adapter.
        need
            What it needs a slot for.
        """
        address = self._known_address(peer)
        request = wire.LoadRequest(
            instance=self._instance,
            endpoint=engine,
            adapter=adapter[0],
            version=adapter[1],
            patience_seconds=max_wait_s,
            priority=max(need.priority, 0),
            organisation=need.organisation,
            tokens=need.tokens,
            slot_wait_seconds=need.max_wait_s,
        )
        reply = await self._call(
            address, _LOAD_TIMEOUT_S, lambda stub, t: stub.Load(request, timeout=t)
        )
        outcome = _OUTCOMES_BY_WIRE_VALUE.get(reply.outcome, LoadOutcome.FAILED)
        return LoadResult(outcome=outcome, ready_in_s=reply.ready_after_seconds)

    async def tell_uses(
        self, peer: str, number: tuple[int, int], uses: list[EngineUseUpdate]
    ) -> None:
        """Tell a peer all uses of engines by this instance.

        Parameters
        ----------
        number
            Incarnation of this instance, and number of the list of uses.

        Raises
        ------
        PeerError
            Also if the peer does not know this instance yet.
        """
        address = self._known_address(peer)
        notice = wire.UsesNotice(
            instance=self._instance,
            incarnation=number[0],
            uses_number=number[1],
            uses=encode_uses(uses),
        )
        reply = await self._call(
            address, self._timeout_s, lambda stub, t: stub.Uses(notice, timeout=t)
        )
        if not reply.is_applied:
            raise PeerError(f"{peer} does not know this instance yet")

    async def request_units(
        self, peer: str, organisation: str, units: float, ahead: float
    ) -> Grant:
        """Ask the instance that grants an organisation's units for some of them.

        Parameters
        ----------
        units
            Units that are needed.
        ahead
            Units wanted beyond these.

        Raises
        ------
        PeerError
            Also if the peer does not know the organisation, or answers nonsense.
        """
        address = self._known_address(peer)
        request = wire.GrantRequest(organisation=organisation, units=units, ahead=ahead)
        reply = await self._call(
            address, _GRANT_TIMEOUT_S, lambda stub, t: stub.Grant(request, timeout=t)
        )
        grant = Grant(units=reply.units, retry_after_s=reply.retry_after_seconds)
        is_whole = grant.units >= units and grant.units <= units + ahead
        is_refusal = grant.units == 0 and grant.retry_after_s > 0
        if not reply.is_decided or not (is_whole or is_refusal):
            raise PeerError(
                f"{peer} granted {grant.units} of {units} + {ahead} units of "
                f"{organisation}; expected all, some ahead, or a time to wait"
            )
        return grant

    async def request_sends(
        self, peer: str, limit: NamedLimit, now: float, ahead: int
    ) -> LimitGrant:
        """Ask an instance for requests to an endpoint with a limit."""
        address = self._known_address(peer)
        request = wire.GrantSendsRequest(limit=encode_limit(limit, now), ahead=ahead)
        reply = await self._call(
            address,
            _GRANT_TIMEOUT_S,
            lambda stub, t: stub.GrantSends(request, timeout=t),
        )
        is_refusal = reply.requests == 0 and 0 < reply.retry_after_seconds < math.inf
        if not reply.is_decided or not (is_refusal or 1 <= reply.requests <= 1 + ahead):
            raise PeerError(
                f"{peer} granted {reply.requests} of {1 + ahead} requests to "
                f"{limit.incarnation.endpoint}; expected some, or a time to wait"
            )
        return LimitGrant(
            requests=reply.requests, retry_after_s=reply.retry_after_seconds
        )

    @contextlib.asynccontextmanager
    async def open_forwarding(
        self, peer: str, service: str, max_s: float
    ) -> AsyncIterator[ForwardedExchange]:
        """Ask a peer to take a request; leaving the context cancels the request."""
        try:
            address = self._known_address(peer)
            async with (
                self._channels.open(address) as channel,
                GatewayPeerStub(channel).Forward.open(timeout=max_s) as stream,
            ):
                exchange = GrpcForwardedExchange(stream)
                await exchange.ask(service)
                yield exchange
        except PeerError as error:
            raise ForwardingError(str(error)) from error

    def _known_address(self, peer: str) -> Address:
        address = self._address_of(peer)
        if address is None:
            raise PeerError(
                f"the address of {peer} is unknown; it is not a known member"
            )
        return address

    async def changes(
        self, address: Address, after: StoreRevision
    ) -> wire.ChangesReply:
        """Request the changes of the store after revision `after`."""
        request = wire.ChangesRequest(after_era=after.era, after_revision=after.number)
        return await self._call(
            address, self._timeout_s, lambda stub, t: stub.Changes(request, timeout=t)
        )

    def close(self) -> None:
        """Close all channels."""
        self._channels.close()

    async def _call(
        self,
        address: Address,
        timeout_s: float,
        send: Callable[[GatewayPeerStub, float], Awaitable[Reply]],
    ) -> Reply:
        return await self._channels.call(
            address, timeout_s, lambda channel, t: send(GatewayPeerStub(channel), t)
        )
