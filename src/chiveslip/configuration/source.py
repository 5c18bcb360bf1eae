"""Where published documents are read: the interface, and a directory of files."""

from __future__ import annotations

import abc
import asyncio
from pathlib import Path
from typing import final

import attrs

_POLL_S = 0.2


@attrs.frozen(kw_only=True)
class Document:
    """A published value and the index at which it was read."""

    content: bytes
    index: int


class SourceError(Exception):
    """The source could not be read; the message says why."""


class ConfigurationSource(abc.ABC):
    """Read-only access to what the platform publishes."""

    @abc.abstractmethod
    async def watch(self, name: str, after_index: int, wait_s: float) -> Document:
        """Return the value of `name` when its index differs from `after_index`.

        Parameters
        ----------
        after_index
            Index of the value that is known already; 0 returns at once.
        wait_s
            Longest wait in seconds, after which the value returns unchanged.

        Raises
        ------
        SourceError
            If the value cannot be read.
        """

    @abc.abstractmethod
    async def part(self, digest: str) -> bytes:
        """Return the content-addressed part `digest`.

        Raises
        ------
        SourceError
            If the part cannot be read.
        """

    async def close(self) -> None:
        """Free what the source holds."""
        return


@final
class DirectorySource(ConfigurationSource):
    """A directory with ``manifest.json``, both lists, and ``parts/``."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory

    async def watch(self, name: str, after_index: int, wait_s: float) -> Document:
        """Return the file ``<name>.json`` when its time of change differs."""
        path = self._directory / f"{name}.json"
        left_s = wait_s
        while True:
            document = await asyncio.to_thread(self._read, path)
            if document.index != after_index or left_s <= 0:
                return document
            await asyncio.sleep(_POLL_S)
            left_s -= _POLL_S

    async def part(self, digest: str) -> bytes:
        """Return the file ``parts/<digest>``."""
        path = self._directory / "parts" / digest
        document = await asyncio.to_thread(self._read, path)
        return document.content

    def _read(self, path: Path) -> Document:
        try:
            index = path.stat().st_mtime_ns
            return Document(content=path.read_bytes(), index=index)
        except OSError as error:
            raise SourceError(f"{path.name}: {error.strerror}") from error
