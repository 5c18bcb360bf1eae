"""Keeps the sockets of refused callers open until they may have read their refusal."""

from __future__ import annotations

import collections
import socket
from typing import final

import attrs

from chiveslip.clock import Clock

# A socket that is closed while its caller still sends is reset, and the caller may not
# read the refusal. What such a caller sends stays in the kernel.
_LINGER_S = 1.0
# Bound on the descriptors for this; beyond it, callers are reset at once.
MAX_LINGERING = 32


@attrs.frozen
class _Lingering:
    socket: socket.socket
    until: float


@final
class LingeringSockets:
    """Sockets on which a refusal was sent and from which nothing more is read."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sockets: collections.deque[_Lingering] = collections.deque()

    def answer(self, connection: socket.socket, data: bytes) -> None:
        """Send a refusal; the caller of this method closes its own descriptor."""
        try:
            connection.send(data)
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller has gone, or takes no bytes: it cannot be told anything.
            return
        if len(self._sockets) < MAX_LINGERING:
            until = self._clock.now() + _LINGER_S
            self._sockets.append(_Lingering(connection.dup(), until))

    def close_old(self) -> None:
        """Close the sockets whose callers have had their time."""
        while self._sockets and self._sockets[0].until <= self._clock.now():
            self._sockets.popleft().socket.close()

    def close(self) -> None:
        """Close all sockets."""
        while self._sockets:
            self._sockets.popleft().socket.close()
