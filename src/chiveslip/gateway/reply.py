"""Interface for writing the answer to one request."""

from __future__ import annotations

import abc

from tornado.httputil import HTTPHeaders


class CallerDisconnectedError(Exception):
    """The caller's connection is closed, so nothing more can be written."""


class Reply(abc.ABC):
    """Writes one answer to a caller."""

    @property
    @abc.abstractmethod
    def status(self) -> int:
        """Status of the answer, or 0 before its head was written."""

    @property
    @abc.abstractmethod
    def has_started(self) -> bool:
        """Whether the head of the answer was written."""

    @abc.abstractmethod
    async def respond(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Write a complete answer."""

    @abc.abstractmethod
    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Write the head of an answer whose body is written in parts."""

    @abc.abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Write a part of the body and wait until it is accepted.

        Raises
        ------
        CallerDisconnectedError
            If the caller closed the connection.
        """

    @abc.abstractmethod
    def end(self) -> None:
        """Finish the answer, so that the caller sees it as complete."""

    @abc.abstractmethod
    def abort(self) -> None:
        """End the answer so that a truncated one does not look complete."""
