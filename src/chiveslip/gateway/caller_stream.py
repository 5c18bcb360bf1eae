"""A caller's connection, whose bytes and processor time are counted."""

from __future__ import annotations

import asyncio
import collections
import http
import socket
from collections.abc import Awaitable
from typing import Any
from typing import final

from tornado.concurrent import Future
from tornado.iostream import IOStream
from tornado.iostream import UnsatisfiableReadError

from chiveslip.clock import Clock
from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.gateway.caller_budget import CallerLimits
from chiveslip.gateway.caller_budget import CallerState
from chiveslip.gateway.caller_budget import Stage
from chiveslip.gateway.caller_budget import served_size
from chiveslip.gateway.caller_log import CallerLog
from chiveslip.gateway.lingering import LingeringSockets
from chiveslip.gateway.turns import Turns

# Read at one time: what each of a crowd's connections holds before it is parsed.
READ_BYTES = 16 << 10
# How Tornado asks for the end of a head, and an equal expression that is searched for
# some forty times faster, as it begins with a constant. A head that comes slowly is
# searched again with each part.
_HEAD_END = rb"\r?\n\r?\n"
_FAST_HEAD_END = rb"\n\r?\n"
# Parsed without a pause. An ordinary body comes in chunks of kilobytes.
_CHUNKS_PER_TURN = 32
# Requests that are given up free their bytes at once.
_RETRY_AFTER_S = 1
_HELD_KIND = "callers"


@final
class CallerStream(IOStream):
    """A caller's connection.

    Attributes
    ----------
    state
        What the rules of the budget judge.
    address
        Address of the caller.
    """

    def __init__(
        self,
        connection: socket.socket,
        address: str,
        limits: CallerLimits,
        held: HeldBytes,
        turns: Turns,
        log: CallerLog,
        lingering: LingeringSockets,
        clock: Clock,
    ) -> None:
        # No read needs more than a head.
        super().__init__(
            connection,
            max_buffer_size=limits.head_bytes + READ_BYTES * 2,
            read_chunk_size=READ_BYTES,
        )
        self.address = address
        self._limits = limits
        self._held = held
        self._turns = turns
        self._log = log
        self._lingering = lingering
        self._clock = clock
        now = clock.now()
        self.state = CallerState(stage_began_at=now, progressed_at=now)
        self._holding = held.begin(_HELD_KIND, self._give_way)
        self._body = bytearray()
        self._chunks = 0
        self._turn: asyncio.Future[None] | None = None
        # Length of each write that the caller has not taken completely. The buffer of a
        # write is freed only as a whole.
        self._writes: collections.deque[int] = collections.deque()
        self._written_of_first = 0

    def begin_request(self) -> None:
        """Begin to read the next request; what was received already belongs to it."""
        if self._is_refused():
            return
        self._body = bytearray()
        self._chunks = 0
        self.state.body_bytes = 0
        self._begin(Stage.HEAD if self._read_buffer_size else Stage.IDLE)
        self.state.head_bytes = self._read_buffer_size
        self._count()

    def end_head(self, announced_bytes: int) -> None:
        """Judge a request by its head; what follows it is its body.

        Parameters
        ----------
        announced_bytes
            Length of the body, or 0 if it is not announced.
        """
        if self._is_refused():
            return
        self.state.head_bytes -= self._read_buffer_size
        self._begin(Stage.BODY)
        if self.state.head_bytes > self._limits.head_bytes:
            self.refuse("large head", http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif announced_bytes > self._limits.body_bytes:
            self.refuse("large body", http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._has_room(announced_bytes):
            self.refuse("no room", http.HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self._count()

    def add_body(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        if self._is_refused():
            return
        self._body += chunk
        self.state.body_bytes = len(self._body)
        if self.state.body_bytes > self._limits.body_bytes:
            self.refuse("large body", http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        self._count()

    def end_body(self) -> bytes | None:
        """Return the body, or None if the request is refused."""
        if not self._is_refused() and not self._has_room(self.state.body_bytes):
            self.refuse("no room", http.HTTPStatus.SERVICE_UNAVAILABLE)
        if self._is_refused():
            return None
        body = bytes(self._body)
        self._body = bytearray()
        self.state.served += 1
        self._begin(Stage.SERVED)
        self._count()
        return body

    def end_answer(self) -> None:
        """Note that the whole answer was written to the connection's buffer."""
        if self._is_refused():
            return
        self.state.body_bytes = 0
        self.state.head_bytes = 0
        self._begin(Stage.ANSWERED)
        self._count()

    def refuse(self, kind: str, status: http.HTTPStatus) -> None:
        """Answer that the request is not served, and end the connection."""
        if self.closed():
            return
        self._log.record(kind, self.address)
        lines = [
            f"HTTP/1.1 {status.value} {status.phrase}",
            "Content-Length: 0",
            "Connection: close",
        ]
        if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
            lines.append(f"Retry-After: {_RETRY_AFTER_S}")
        if not self.state.unwritten_bytes:
            self._lingering.answer(self.socket, "\r\n".join([*lines, "", ""]).encode())
        self._discard()

    def drop(self, kind: str) -> None:
        """Close the connection without an answer."""
        if self.closed():
            return
        self._log.record(kind, self.address)
        self._discard()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket."""
        size = super().read_from_fd(buf)
        if not size:
            return size
        self.state.progressed_at = self._clock.now()
        if self.state.stage is Stage.IDLE:
            self._begin(Stage.HEAD)
        if self.state.stage is Stage.HEAD:
            self.state.head_bytes += size
        self._count(received=size)
        # It may have given way to others by what it received.
        return None if self._is_refused() else size

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a head."""
        if regex == _HEAD_END:
            regex = _FAST_HEAD_END
        return super().read_until_regex(regex, max_bytes)

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read the head of a chunk; wait for a turn after each few of them."""
        self._chunks += 1
        if self._chunks % _CHUNKS_PER_TURN:
            return super().read_until(delimiter, max_bytes)
        return self._read_after_turn(delimiter, max_bytes)

    def write(self, data: bytes | memoryview) -> Future[None]:
        """Write to the connection, and count the bytes until the caller took them."""
        if not self.closed() and data:
            if not self._writes:
                self.state.progressed_at = self._clock.now()
            self._writes.append(len(data))
            self.state.unwritten_bytes += len(data)
        written = super().write(data)
        self._count()
        return written

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket."""
        size = super().write_to_fd(data)
        if size:
            self._written_of_first += size
            while self._writes and self._written_of_first >= self._writes[0]:
                first = self._writes.popleft()
                self._written_of_first -= first
                self.state.unwritten_bytes -= first
            self.state.progressed_at = self._clock.now()
            self._count()
        return size

    def close(self, exc_info: Any = False) -> None:
        """Close the connection; what it held is free."""
        if isinstance(exc_info, UnsatisfiableReadError) and (
            self.state.stage is Stage.HEAD
        ):
            self.refuse("large head", http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        super().close(exc_info)
        self._held.end(self._holding)
        if self._turn is not None:
            self._turn.cancel()

    async def _read_after_turn(self, delimiter: bytes, max_bytes: int | None) -> bytes:
        turn = self._turns.take(self._chunks)
        self._turn = turn
        try:
            await turn
        finally:
            self._turn = None
        return await super().read_until(delimiter, max_bytes)

    def _begin(self, stage: Stage) -> None:
        self.state.begin(stage, self._clock.now())

    def _is_refused(self) -> bool:
        return self.state.stage is Stage.REFUSED

    def _has_room(self, body_bytes: int) -> bool:
        size = served_size(self.state.head_bytes, body_bytes)
        return not body_bytes or self._held.has_room(size, self._holding)

    def _count(self, received: int = 0) -> None:
        """Tell the budget what the connection holds."""
        state = self.state
        in_head = state.stage in (Stage.IDLE, Stage.HEAD)
        state.unread_bytes = 0 if in_head else self._read_buffer_size + received
        self._held.set_fixed(self._holding, is_fixed=state.is_waiting_for_endpoint)
        self._holding.progressed_at = state.progressed_at
        self._held.resize(self._holding, state.held_bytes)

    def _give_way(self) -> None:
        """Refuse the request, or close the connection if that may be too late."""
        if self.state.stage in (Stage.SERVED, Stage.ANSWERED):
            self.drop("no room for the answer")
        else:
            self.refuse("no room", http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _discard(self) -> None:
        """Close the connection, and drop what was received and not parsed."""
        self._begin(Stage.REFUSED)
        self._body = bytearray()
        self.close()
        # Tornado keeps it until the serving loop has ended, and would parse it.
        self._read_buffer = bytearray()
        self._read_buffer_size = 0
