"""Interface to the caller's connection, over which a call is answered."""

from __future__ import annotations

import abc

import attrs

from chiveslip.results import Refusal


class CallerDisconnectedError(Exception):
    """The caller disconnected or no longer reads the answer."""


@attrs.frozen(kw_only=True)
class Call:
    """A caller's request as it is dispatched, without the caller's key.

    Attributes
    ----------
    id
        Id for correlation, which is also sent to the endpoint.
    deadline
        Local time in seconds at which the caller stops waiting.
    """

    id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float


class Reply(abc.ABC):
    """Sends the answer to the caller of one call."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether any byte of an answer was sent to the caller."""

    @abc.abstractmethod
    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the status and headers of the answer."""

    @abc.abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Send a part of the body, and wait until the connection accepts it.

        Raises
        ------
        CallerDisconnectedError
            If the caller disconnected, or read nothing for too long.
        """

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer."""

    @abc.abstractmethod
    async def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal, or abort an answer that has been started."""
