"""A fake platform whose published documents are read by index and long poll."""

from __future__ import annotations

import asyncio
from typing import final

import attrs

from chiveslip.configuration.source import ConfigurationSource
from chiveslip.configuration.source import Document
from chiveslip.configuration.source import SourceError
from testing.simulation.network import SimulatedNetwork

_POLL_S = 0.05
_READ_TIMEOUT_S = 1.0
PLATFORM_NAME = "platform"


@attrs.frozen
class PublishedCopy:
    """Documents by name, and parts by content hash, of an earlier time."""

    documents: dict[str, Document]
    parts: dict[str, bytes]


@attrs.define
class FakePlatform:
    """Published documents, and the injected faults of the configuration service.

    Attributes
    ----------
    frozen_documents
        Old documents that most readers get, or None.
    unfrozen_readers
        Instances that get the current documents all the same.
    readable_since
        Time of the last recovery of the service, in seconds.
    """

    documents: dict[str, Document] = attrs.field(factory=dict)
    parts: dict[str, bytes] = attrs.field(factory=dict)
    frozen_documents: dict[str, Document] | None = None
    unfrozen_readers: set[str] = attrs.field(factory=set)
    is_down: bool = False
    readable_since: float = 0.0
    read_count: int = 0

    def publish(self, name: str, content: bytes) -> None:
        """Publish a document under the next index."""
        index = self.documents[name].index + 1 if name in self.documents else 1
        self.documents[name] = Document(content=content, index=index)

    def copy(self) -> PublishedCopy:
        """Return a copy of all documents and parts."""
        return PublishedCopy(dict(self.documents), dict(self.parts))

    def return_from_copy(self, copy: PublishedCopy) -> None:
        """Lose what was published since a copy; its indices are given out again."""
        self.documents, self.parts = dict(copy.documents), dict(copy.parts)

    def freeze(self, except_readers: set[str]) -> None:
        """Serve the current documents from now on, except to some readers."""
        self.frozen_documents = dict(self.documents)
        self.unfrozen_readers = except_readers

    def unfreeze(self) -> None:
        """Serve the newest documents to all readers."""
        self.frozen_documents = None

    def read(self, name: str, reader: str) -> Document:
        """Return the document that the service sends to a reader."""
        is_current = self.frozen_documents is None or reader in self.unfrozen_readers
        visible = self.documents if is_current else self.frozen_documents or {}
        if self.is_down or name not in visible:
            raise SourceError(f"{name}: the service answered 503")
        return visible[name]


@final
class FakeSource(ConfigurationSource):
    """The configuration source of one instance."""

    def __init__(
        self, platform: FakePlatform, network: SimulatedNetwork, instance_id: str
    ) -> None:
        self._platform = platform
        self._network = network
        self._instance_id = instance_id

    async def watch(self, name: str, after_index: int, wait_s: float) -> Document:
        """Return a document once its index differs, or after `wait_s` seconds."""
        self._platform.read_count += 1
        await self._reach_platform()
        remaining_s = wait_s
        while True:
            document = self._platform.read(name, self._instance_id)
            if document.index != after_index or remaining_s <= 0:
                await self._network.wait_while_paused(self._instance_id)
                return document
            await asyncio.sleep(_POLL_S)
            remaining_s -= _POLL_S

    async def read_part(self, digest: str) -> bytes:
        """Return the configuration part with a digest."""
        self._platform.read_count += 1
        await self._reach_platform()
        if self._platform.is_down or digest not in self._platform.parts:
            raise SourceError(f"{digest}: the service answered 503")
        return self._platform.parts[digest]

    async def _reach_platform(self) -> None:
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                await self._network.deliver(self._instance_id, PLATFORM_NAME)
        except TimeoutError as error:
            raise SourceError("the service did not answer in time") from error
