"""Where a call's answer goes: the interface to the caller's connection."""

from __future__ import annotations

import abc

import attrs

from chiveslip.results import Refusal


class CallerDisconnectedError(Exception):
    """The caller left or takes no bytes any more."""


@attrs.frozen(kw_only=True)
class Call:
    """A caller's request as the dispatch part sees it; it has no key.

    Attributes
    ----------
    id
        Id for correlation, which the endpoint gets too.
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
    """The caller's side of a call."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether a byte of an answer has gone to the caller."""

    @abc.abstractmethod
    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the answer's head."""

    @abc.abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Send a part of the body, and wait until the connection takes it.

        Raises
        ------
        CallerDisconnectedError
            If the caller left, or took nothing for too long.
        """

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer."""

    @abc.abstractmethod
    async def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal, or break off an answer that has begun."""
