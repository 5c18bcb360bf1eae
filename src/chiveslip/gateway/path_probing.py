"""Collects evidence of the paths to endpoints, and probes those in doubt."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import final

from chiveslip import logs
from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import Exchange
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.paths import MIN_UNREACHED
from chiveslip.gateway.paths import EndpointPaths
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address
from chiveslip.tasks import TaskSet

_PROBE_INTERVAL_S = 0.25
# A connection between two data centres opens within a few milliseconds.
_PROBE_TIMEOUT_S = 0.3


@final
class WatchedConnector(Connector):
    """Records which connections to endpoints could be opened."""

    def __init__(
        self,
        connector: Connector,
        directory: EndpointDirectory,
        paths: EndpointPaths,
        health: EndpointHealth,
    ) -> None:
        self._connector = connector
        self._directory = directory
        self._paths = paths
        self._health = health

    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        """Return an exchange on a new connection, or on an idle one of the pool."""
        endpoint = self._directory.find_at(address)
        if endpoint is None:
            return await self._connector.open(address, fresh=fresh)
        waiting = self._paths.record_sent(endpoint.service)
        try:
            exchange = await self._connector.open(address, fresh=fresh)
        except ConnectError:
            self._paths.record_not_opened(endpoint.service, endpoint.id)
            raise
        finally:
            self._paths.record_end(endpoint.service, waiting)
        if not exchange.reused:
            self._paths.record_opened(endpoint.service)
            self._health.record_reachable(endpoint.id)
        return exchange


@final
class PathProber:
    """Opens connections to endpoints of services whose paths are in doubt.

    Attributes
    ----------
    on_change
        Called with the services to which the paths are lost when these have changed,
        so that peers can be told.
    """

    def __init__(
        self,
        connector: Connector,
        directory: EndpointDirectory,
        paths: EndpointPaths,
        generator: random.Random,
    ) -> None:
        self.on_change: Callable[[frozenset[str]], None] | None = None
        self._connector = connector
        self._directory = directory
        self._paths = paths
        self._random = generator
        self._tasks = TaskSet("paths")
        self._cut_services: frozenset[str] = frozenset()
        self._log = logs.get_logger("paths")

    @property
    def cut_services(self) -> int:
        """Number of services to which the paths were lost at the last look."""
        return len(self._cut_services)

    async def run(self) -> None:
        """Probe the services in doubt in each interval, until cancelled."""
        try:
            while True:
                await asyncio.sleep(_PROBE_INTERVAL_S)
                for service in self._choose_services():
                    self._start_probes(service)
                self._update_cut_services()
                given_up = self._paths.give_up_waiting()
                if given_up:
                    self._log.warning("Waits given up.", requests=given_up)
        finally:
            await self._tasks.close()

    def _choose_services(self) -> list[str]:
        """Return the services in doubt, and one to compare them with."""
        doubtful = self._paths.services_to_probe()
        others = sorted(self._directory.services.difference(doubtful))
        if doubtful and others:
            doubtful.append(self._random.choice(others))
        return doubtful

    def _start_probes(self, service: str) -> None:
        endpoints = self._directory.find_ready(service)
        for endpoint in self._random.sample(
            endpoints, min(MIN_UNREACHED, len(endpoints))
        ):
            self._tasks.start(self._probe(service, endpoint.id, endpoint.address))

    async def _probe(self, service: str, endpoint: str, address: Address) -> None:
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                exchange = await self._connector.open(address, fresh=True)
        except TimeoutError:
            self._paths.record_not_opened(service, endpoint)
        except ConnectError:
            # Recorded by the connector.
            return
        else:
            exchange.close()

    def _update_cut_services(self) -> None:
        services = self._directory.services
        cut = frozenset(service for service in services if self._paths.is_cut(service))
        for service in cut - self._cut_services:
            self._log.warning("Paths to a service are lost.", service=service)
        for service in self._cut_services - cut:
            self._log.info("Paths to a service are back.", service=service)
        has_changed = cut != self._cut_services
        self._cut_services = cut
        if has_changed and self.on_change is not None:
            self.on_change(cut)
