"""The platform's lists of instances and endpoints, as this instance has them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

import attrs

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.configuration import documents
from chiveslip.configuration.document_reader import InvalidDocumentError
from chiveslip.configuration.model import EndpointList
from chiveslip.configuration.model import InstanceList
from chiveslip.configuration.source import ConfigurationSource
from chiveslip.configuration.source import Document
from chiveslip.configuration.source import SourceError


@attrs.frozen(kw_only=True)
class ListWaits:
    """Waits of the watches, in seconds.

    Attributes
    ----------
    instances_s
        Longest wait of a watch on the instances; a short one confirms the view
        often enough to hold a lease by it.
    """

    instances_s: float
    endpoints_s: float
    retry_s: float
    idle_s: float


@final
class PublishedLists:
    """Reads both lists and keeps the newest of each.

    Parameters
    ----------
    reads_itself
        Whether this instance reads from the source now, or only from peers.
    take_instances
        Called with each newer list of instances.
    confirmed
        Called after each read with the revision read and when it was asked for.
    """

    def __init__(
        self,
        *,
        source: ConfigurationSource,
        clock: Clock,
        waits: ListWaits,
        reads_itself: Callable[[], bool],
        take_instances: Callable[[InstanceList], None],
        confirmed: Callable[[int, float], None],
    ) -> None:
        self._source = source
        self._clock = clock
        self._waits = waits
        self._reads_itself = reads_itself
        self._take_instances = take_instances
        self._confirmed = confirmed
        self._instances_revision = 0
        self._endpoints = EndpointList(revision=0, endpoints={})
        self._contents: dict[str, bytes] = {}
        self._log = logs.get_logger("fleet")

    @property
    def endpoints(self) -> EndpointList:
        """The newest list of endpoints."""
        return self._endpoints

    def content(self, name: str) -> bytes:
        """Return a list as it was published; empty if there is none yet."""
        return self._contents.get(name, b"")

    async def watch_instances(self) -> None:
        """Follow the list of instances for ever."""
        index = 0
        while True:
            asked_at = self._clock.now()
            document = await self._next(
                documents.INSTANCES, index, self._waits.instances_s
            )
            if document is None:
                continue
            index = document.index
            revision = self.take(documents.INSTANCES, document.content)
            if revision is not None:
                self._confirmed(revision, asked_at)

    async def watch_endpoints(self) -> None:
        """Follow the list of endpoints for ever."""
        index = 0
        while True:
            document = await self._next(
                documents.ENDPOINTS, index, self._waits.endpoints_s
            )
            if document is not None:
                index = document.index
                self.take(documents.ENDPOINTS, document.content)

    def take(self, name: str, content: bytes) -> int | None:
        """Take in a list from the source or a peer; return its revision.

        A faulty one is refused and reported, with None.
        """
        try:
            if name == documents.INSTANCES:
                return self._take_instances_in(content)
            return self._take_endpoints_in(content)
        except InvalidDocumentError as error:
            self._log.error("A list is refused.", name=name, cause=str(error))
            return None

    async def _next(self, name: str, index: int, wait_s: float) -> Document | None:
        if not self._reads_itself():
            await asyncio.sleep(self._waits.idle_s)
            return None
        try:
            return await self._source.watch(name, index, wait_s)
        except SourceError as error:
            self._log.warning("A list cannot be read.", name=name, cause=str(error))
            await asyncio.sleep(self._waits.retry_s)
            return None

    def _take_instances_in(self, content: bytes) -> int:
        if content == self._contents.get(documents.INSTANCES):
            return self._instances_revision
        view = documents.read_instances(content)
        if view.revision > self._instances_revision:
            self._instances_revision = view.revision
            self._take_instances(view)
            self._contents[documents.INSTANCES] = content
        else:
            self._report_conflict(documents.INSTANCES, view.revision)
        return view.revision

    def _take_endpoints_in(self, content: bytes) -> int:
        if content == self._contents.get(documents.ENDPOINTS):
            return self._endpoints.revision
        endpoints = documents.read_endpoints(content)
        if endpoints.revision > self._endpoints.revision:
            self._endpoints = endpoints
            self._contents[documents.ENDPOINTS] = content
        else:
            self._report_conflict(documents.ENDPOINTS, endpoints.revision)
        return endpoints.revision

    def _report_conflict(self, name: str, revision: int) -> None:
        known = {
            documents.INSTANCES: self._instances_revision,
            documents.ENDPOINTS: self._endpoints.revision,
        }[name]
        if revision == known:
            self._log.error(
                "A revision was published twice with other content.",
                name=name,
                revision=revision,
            )
