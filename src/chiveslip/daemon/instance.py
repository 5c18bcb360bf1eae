"""Runs one instance: a node with its servers, started and stopped in order."""

from __future__ import annotations

import random
import uuid
from pathlib import Path
from typing import final

from grpclib.server import Server as PeerServer
from tornado.httpserver import HTTPServer
from tornado.web import Application

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.configuration.service_source import ServiceSource
from chiveslip.configuration.source import ConfigurationSource
from chiveslip.configuration.source import DirectorySource
from chiveslip.daemon.node import Node
from chiveslip.daemon.node import NodeDependencies
from chiveslip.daemon.status import collect_status
from chiveslip.dispatch.connection import ConnectionPool
from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.fleet.ownership import LeaseLimits
from chiveslip.fleet.ownership import Ownership
from chiveslip.fleet.peers import GrpcPeers
from chiveslip.fleet.service import PeerService
from chiveslip.generated.settings import Settings
from chiveslip.http import operators
from chiveslip.http.handlers import CallerHandler
from chiveslip.http.handlers import CallerTools
from chiveslip.http.traces import TraceBuffer
from chiveslip.metrics import Metrics
from chiveslip.settings.fields import Address


@final
class Instance:
    """A node with its servers for peers, callers and operators."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._log = logs.get_logger("daemon")
        self._ownership = make_ownership(settings)
        dependencies = NodeDependencies(
            clock=clock,
            generator=random.Random(),
            incarnation=uuid.uuid4().hex,
            source=_make_source(settings),
            peers=GrpcPeers(self._address_of, settings.fleet.peer_timeout),
            connector=ConnectionPool(
                clock,
                settings.services.connect,
                HeldBytes.for_memory(settings.limits.memory),
            ),
        )
        self._node = Node(settings, dependencies, self._ownership)
        self._traces = TraceBuffer()
        self._peer_server = PeerServer([PeerService(self._node.peer_parts)])
        self._caller_server = self._make_caller_server()
        self._operator_server = HTTPServer(
            operators.make_application(self._make_operator_tools())
        )

    async def start(self) -> None:
        """Listen on all addresses, and start the tasks of the node.

        Raises
        ------
        OSError
            If an address cannot be listened on.
        """
        listen = self._settings.listen
        await self._peer_server.start(listen.peers.host, listen.peers.port)
        self._operator_server.listen(listen.operators.port, listen.operators.host)
        self._caller_server.listen(listen.callers.port, listen.callers.host)
        self._node.start()
        self._log.info("Started.", callers=str(listen.callers))

    async def join(self) -> None:
        """Wait until this instance has the state of the fleet, then serve calls."""
        await self._node.join()

    async def stop(self) -> None:
        """Drain the calls, hand over the state, and close all sockets."""
        await self._node.drain(self._caller_server.stop)
        await self._caller_server.close_all_connections()
        self._peer_server.close()
        await self._node.close()
        self._operator_server.stop()
        await self._peer_server.wait_closed()
        self._log.info("Stopped.")

    def _address_of(self, instance: str) -> Address | None:
        entry = self._ownership.find_instance(instance)
        return entry.peers if entry else None

    def _make_caller_server(self) -> HTTPServer:
        limits = self._settings.limits
        metrics = self._settings.metrics
        tools = CallerTools(
            pipeline=self._node.pipeline,
            traces=self._traces,
            metrics=Metrics(metrics.statsd, metrics.prefix),
        )
        return HTTPServer(
            Application([(".*", CallerHandler, {"tools": tools})]),
            idle_connection_timeout=limits.idle_connection,
            body_timeout=limits.default_deadline,
            max_header_size=limits.headers,
            max_body_size=limits.body,
        )

    def _make_operator_tools(self) -> operators.OperatorTools:
        return operators.OperatorTools(
            admission=self._node.admission,
            traces=self._traces,
            audit=self._node.audit,
            status=lambda: collect_status(self._settings.instance.id, self._node),
        )


def make_ownership(settings: Settings) -> Ownership:
    """Return the ownership of an instance that has no view of the fleet yet."""
    limits = LeaseLimits(
        lease_s=settings.fleet.lease,
        hold_off_s=settings.fleet.hold_off,
        max_heartbeat_peers=settings.fleet.witnesses,
    )
    return Ownership(settings.instance.id, limits)


def _make_source(settings: Settings) -> ConfigurationSource:
    if settings.configuration.source == "directory":
        return DirectorySource(Path(settings.configuration.directory))
    return ServiceSource(
        settings.configuration.service, settings.configuration.read_timeout
    )
