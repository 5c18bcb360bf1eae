"""Tells coordinators at once which adapters this instance uses at their engines.

Gossip tells the same, but in a large fleet only to a few coordinators in a round. Every
notice lists all uses of this instance, so the next one repairs a lost one.
"""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from typing import final

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.channels import UnsupportedCallError
from chiveslip.fleet.gossip_updates import EngineUseUpdate
from chiveslip.fleet.use_notices import UseNotices
from chiveslip.fleet.use_notices import Uses
from chiveslip.gateway.coordinator_rights import CoordinatorRights
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.gateway.routing import has_scarce_adapter_slots
from chiveslip.tasks import TaskSet

# Changes are collected for this time, so that a coordinator gets them in one call.
_INTERVAL_S = 0.1
# Largest number of coordinators that are told in one interval. An instance of the
# users' largest fleets begins and ends up to 16 uses a second at its peak.
_MAX_NOTICES = 2
# A coordinator that did not answer is not told for this time, and one that does not
# know the call for the longer time: each failed call costs a new connection.
_PAUSE_S = 1.0
_UNSUPPORTED_PAUSE_S = 30.0


class UsePeers(abc.ABC):
    """Client for the notices of uses to other instances."""

    @abc.abstractmethod
    async def tell_uses(
        self, peer: str, number: tuple[int, int], uses: list[EngineUseUpdate]
    ) -> None:
        """Tell a peer all uses of this instance; raises `PeerError` if it fails."""


@final
class UseNotifier:
    """Notices of this instance's uses to the coordinators of the engines.

    Parameters
    ----------
    instance, incarnation
        This instance and the number of its start.
    reachable
        Returns the names of the peers that can be called.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        view: EngineView,
        rights: CoordinatorRights,
        peers: UsePeers,
        reachable: Callable[[], Iterable[str]],
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._view = view
        self._rights = rights
        self._peers = peers
        self._reachable = reachable
        self._clock = clock
        self._metrics = metrics
        self._notices = UseNotices()
        self._engines: frozenset[str] = frozenset()
        self._in_flight: set[str] = set()
        self._paused_until: dict[str, float] = {}
        self._tasks = TaskSet("uses")
        self._log = logs.get_logger("uses")

    def update_engines(
        self, engines: Iterable[tuple[ListedEndpoint, EngineCapacity]]
    ) -> None:
        """Set the engines; uses of those with few adapter slots are told."""
        self._engines = frozenset(
            engine.id
            for engine, capacity in engines
            if has_scarce_adapter_slots(capacity)
        )

    async def run(self) -> None:
        """Tell changes of the uses, in intervals, without end."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            self.start_notices()

    def start_notices(self) -> None:
        """Begin to tell those coordinators that do not know the present uses."""
        if self._view.receives_all_peers or not self._engines:
            return
        now = self._clock.now()
        self._paused_until = {
            name: until for name, until in self._paused_until.items() if until > now
        }
        reachable = set(self._reachable()) - {self._instance}
        busy = self._in_flight | self._paused_until.keys()
        for name in self._notices.select(
            self._group_uses(), reachable, _MAX_NOTICES, busy
        ):
            self._in_flight.add(name)
            self._tasks.start(self._tell(name))

    async def close(self) -> None:
        """Cancel the notices that are under way."""
        await self._tasks.close()

    def _group_uses(self) -> dict[str, Uses]:
        """Return the uses of engines with few adapter slots, by coordinator."""
        grouped: dict[str, set[tuple[str, frozenset[Adapter]]]] = {}
        for use in self._view.own_uses():
            if use.engine in self._engines and use.adapters:
                coordinator = self._rights.coordinator_of(use.engine)
                grouped.setdefault(coordinator, set()).add((use.engine, use.adapters))
        return {name: frozenset(uses) for name, uses in grouped.items()}

    async def _tell(self, name: str) -> None:
        number = (self._incarnation, self._view.own_uses_number)
        try:
            await self._peers.tell_uses(name, number, self._view.own_uses())
        except PeerError as error:
            is_unsupported = isinstance(error, UnsupportedCallError)
            pause_s = _UNSUPPORTED_PAUSE_S if is_unsupported else _PAUSE_S
            self._paused_until[name] = self._clock.now() + pause_s
            self._notices.record_not_received([name])
            self._metrics.use_notices.labels("failed").inc()
            self._log.debug("Uses not told.", peer=name, cause=str(error))
        else:
            self._metrics.use_notices.labels("answered").inc()
        finally:
            self._in_flight.discard(name)
