"""Sources of published documents: the interface, and a directory of files."""

from __future__ import annotations

import abc
import asyncio
from pathlib import Path
from typing import final

import attrs

_POLL_INTERVAL_S = 0.2


@attrs.frozen(kw_only=True)
class Document:
    """A published value.

    Attributes
    ----------
    index
        Changes with every change of the value; pass it to the next `watch`.
    """

    content: bytes
    index: int


class SourceError(Exception):
    """The source could not be read; the message gives the reason."""


class ConfigurationSource(abc.ABC):
    """Read-only access to the documents that the platform publishes."""

    @abc.abstractmethod
    async def watch(self, name: str, after_index: int, wait_s: float) -> Document:
        """Wait until the index of `name` differs from `after_index`; return the value.

        Parameters
        ----------
        after_index
            Index of the value that the caller has; with 0 the call returns at once.
        wait_s
            Maximum wait in seconds, after which the unchanged value is returned.

        Raises
        ------
        SourceError
            If the value cannot be read.
        """

    @abc.abstractmethod
    async def read_part(self, digest: str) -> bytes:
        """Return the part whose content hash is `digest`.

        Raises
        ------
        SourceError
            If the part cannot be read.
        """

    async def close(self) -> None:
        """Release the resources of the source."""
        return


@final
class DirectorySource(ConfigurationSource):
    """A directory with ``manifest.json``, the platform's two lists, and ``parts/``."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory

    async def watch(self, name: str, after_index: int, wait_s: float) -> Document:
        """Return the file ``<name>.json``; its index is its modification time in ns."""
        path = self._directory / f"{name}.json"
        remaining_s = wait_s
        while True:
            document = await asyncio.to_thread(self._read, path)
            if document.index != after_index or remaining_s <= 0:
                return document
            await asyncio.sleep(_POLL_INTERVAL_S)
            remaining_s -= _POLL_INTERVAL_S

    async def read_part(self, digest: str) -> bytes:
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
