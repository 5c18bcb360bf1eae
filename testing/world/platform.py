"""The platform's published documents, read by index and long poll."""

from __future__ import annotations

import asyncio
from typing import final

import attrs

from chiveslip.configuration.source import ConfigurationSource
from chiveslip.configuration.source import Document
from chiveslip.configuration.source import SourceError
from testing.world.links import Links

_POLL_S = 0.05
_READ_TIMEOUT_S = 1.0
PLATFORM = "platform"


@attrs.define
class Platform:
    """Published documents, and the faults of the service."""

    documents: dict[str, Document] = attrs.field(factory=dict)
    parts: dict[str, bytes] = attrs.field(factory=dict)
    frozen: dict[str, Document] | None = None
    up_to_date: set[str] = attrs.field(factory=set)
    down: bool = False
    readable_since: float = 0.0
    reads: int = 0

    def publish(self, name: str, content: bytes) -> None:
        """Publish a document under the next index."""
        index = self.documents[name].index + 1 if name in self.documents else 1
        self.documents[name] = Document(content=content, index=index)

    def freeze(self, but: set[str]) -> None:
        """Go on with what was published until now, but for some readers."""
        self.frozen = dict(self.documents)
        self.up_to_date = but

    def thaw(self) -> None:
        """Give what is published."""
        self.frozen = None

    def read(self, name: str, reader: str) -> Document:
        """Return a document as a reader sees it."""
        fresh = self.frozen is None or reader in self.up_to_date
        seen = self.documents if fresh else self.frozen or {}
        if self.down or name not in seen:
            raise SourceError(f"{name}: the service answers 503")
        return seen[name]


@final
class FakeSource(ConfigurationSource):
    """The platform as one instance reads it."""

    def __init__(self, platform: Platform, links: Links, me: str) -> None:
        self._platform = platform
        self._links = links
        self._me = me

    async def watch(self, name: str, after_index: int, wait_s: float) -> Document:
        """Return a document when its index differs."""
        self._platform.reads += 1
        await self._cross()
        left_s = wait_s
        while True:
            document = self._platform.read(name, self._me)
            if document.index != after_index or left_s <= 0:
                await self._links.gate(self._me)
                return document
            await asyncio.sleep(_POLL_S)
            left_s -= _POLL_S

    async def read_part(self, digest: str) -> bytes:
        """Return a part."""
        self._platform.reads += 1
        await self._cross()
        if self._platform.down or digest not in self._platform.parts:
            raise SourceError(f"{digest}: the service answers 503")
        return self._platform.parts[digest]

    async def _cross(self) -> None:
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                await self._links.cross(self._me, PLATFORM)
        except TimeoutError as error:
            raise SourceError("the service does not answer") from error
