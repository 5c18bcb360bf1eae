"""Watches the published lists of instances and endpoints."""

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
class ListWatchTimes:
    """Timeouts and delays of the watches, in seconds.

    Attributes
    ----------
    max_instances_wait_s
        Longest wait of one watch of the list of instances. Each read confirms the
        view, so it has to be short enough to keep the lease valid.
    max_endpoints_wait_s
        Longest wait of one watch of the list of endpoints.
    retry_delay_s
        Delay after a failed read.
    idle_delay_s
        Delay before the next check while this instance is not a reader.
    """

    max_instances_wait_s: float
    max_endpoints_wait_s: float
    retry_delay_s: float
    idle_delay_s: float


@final
class PublishedLists:
    """Watches both lists and keeps the newest revision of each.

    Parameters
    ----------
    is_reader
        Returns whether this instance reads from the source now, or only from peers.
    on_instances
        Called with each newer list of instances.
    on_read
        Called after each read of the list of instances, with its revision and the
        time when the request was sent.
    """

    def __init__(
        self,
        *,
        source: ConfigurationSource,
        clock: Clock,
        times: ListWatchTimes,
        is_reader: Callable[[], bool],
        on_instances: Callable[[InstanceList], None],
        on_read: Callable[[int, float], None],
    ) -> None:
        self._source = source
        self._clock = clock
        self._times = times
        self._is_reader = is_reader
        self._on_instances = on_instances
        self._on_read = on_read
        self._instances_revision = 0
        self._endpoints = EndpointList(revision=0, endpoints={})
        self._contents: dict[str, bytes] = {}
        self._log = logs.get_logger("fleet")

    @property
    def endpoints(self) -> EndpointList:
        """The newest list of endpoints."""
        return self._endpoints

    def content(self, name: str) -> bytes:
        """Return the content of a list; empty if none was read yet."""
        return self._contents.get(name, b"")

    async def watch_instances(self) -> None:
        """Watch the list of instances until cancelled."""
        index = 0
        while True:
            requested_at = self._clock.now()
            document = await self._read_next(
                documents.INSTANCES, index, self._times.max_instances_wait_s
            )
            if document is None:
                continue
            index = document.index
            revision = self.apply(documents.INSTANCES, document.content)
            if revision is not None:
                self._on_read(revision, requested_at)

    async def watch_endpoints(self) -> None:
        """Watch the list of endpoints until cancelled."""
        index = 0
        while True:
            document = await self._read_next(
                documents.ENDPOINTS, index, self._times.max_endpoints_wait_s
            )
            if document is not None:
                index = document.index
                self.apply(documents.ENDPOINTS, document.content)

    def apply(self, name: str, content: bytes) -> int | None:
        """Apply a list that came from the source or a peer.

        Returns
        -------
        int or None
            The revision of the list; None if it is invalid, which is logged.
        """
        try:
            if name == documents.INSTANCES:
                return self._apply_instances(content)
            return self._apply_endpoints(content)
        except InvalidDocumentError as error:
            self._log.error("Published list is invalid.", name=name, cause=str(error))
            return None

    async def _read_next(
        self, name: str, index: int, max_wait_s: float
    ) -> Document | None:
        if not self._is_reader():
            await asyncio.sleep(self._times.idle_delay_s)
            return None
        try:
            return await self._source.watch(name, index, max_wait_s)
        except SourceError as error:
            self._log.warning(
                "Published list could not be read.", name=name, cause=str(error)
            )
            await asyncio.sleep(self._times.retry_delay_s)
            return None

    def _apply_instances(self, content: bytes) -> int:
        if content == self._contents.get(documents.INSTANCES):
            return self._instances_revision
        view = documents.read_instances(content)
        if view.revision > self._instances_revision:
            self._instances_revision = view.revision
            self._on_instances(view)
            self._contents[documents.INSTANCES] = content
        else:
            self._log_conflict(documents.INSTANCES, view.revision)
        return view.revision

    def _apply_endpoints(self, content: bytes) -> int:
        if content == self._contents.get(documents.ENDPOINTS):
            return self._endpoints.revision
        endpoints = documents.read_endpoints(content)
        if endpoints.revision > self._endpoints.revision:
            self._endpoints = endpoints
            self._contents[documents.ENDPOINTS] = content
        else:
            self._log_conflict(documents.ENDPOINTS, endpoints.revision)
        return endpoints.revision

    def _log_conflict(self, name: str, revision: int) -> None:
        known = {
            documents.INSTANCES: self._instances_revision,
            documents.ENDPOINTS: self._endpoints.revision,
        }[name]
        if revision == known:
            self._log.error(
                "A revision was published twice with different contents.",
                name=name,
                revision=revision,
            )
