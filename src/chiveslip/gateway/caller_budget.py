"""Decides which callers' connections give way when a process runs short.

The rules are pure. A connection gives way that holds much or makes little progress; one
whose request is being served only if its caller does not take the answer.
"""

from __future__ import annotations

import enum
import heapq
import http
from collections.abc import Iterable
from typing import TypeVar

import attrs

# Descriptors for files, the store and listening sockets.
_RESERVED_DESCRIPTORS = 200
# Each caller's request may need a connection to an endpoint or a peer.
_CALLERS_SHARE = 0.5
_MIN_CONNECTIONS = 16
# Above what a parsed head occupies for each of its bytes.
_HEAD_FACTOR = 4
# The body of a request that is served exists twice: for a retry, and joined with its
# head in the connection's write buffer.
_SERVED_FACTOR = 2
# A connection with progress since then is closed only if all others have some too, so
# that a burst of new callers does not close those that are about to send.
_MIN_STALL_S = 0.25


_Key = TypeVar("_Key")


class Stage(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    SERVED = "served"
    ANSWERED = "answered"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits of callers' connections.

    Attributes
    ----------
    body_bytes, head_bytes
        Maximum size of a request's body and of its head.
    connections
        Maximum number of connections.
    idle_s
        Time without a request.
    head_s
        Time from the first byte of a head to its end.
    stall_s
        Time without a byte of a body, and before its rate counts.
    body_bytes_per_s
        Least average rate of a body.
    unread_s
        Time in which a caller takes no byte of an answer.
    """

    body_bytes: int
    head_bytes: int
    connections: int = 1 << 20
    idle_s: float = 75.0
    head_s: float = 5.0
    stall_s: float = 10.0
    body_bytes_per_s: int = 1 << 10
    unread_s: float = 30.0


@attrs.define(kw_only=True)
class CallerState:
    """State of one connection.

    Attributes
    ----------
    stage_began_at, progressed_at
        Times in seconds at which the stage began, and at which its caller last sent or
        took bytes.
    served
        Number of its requests that were passed on.
    head_bytes
        Bytes that were received of the head.
    body_bytes
        Bytes that are held of the body.
    unread_bytes
        Bytes that were received but not parsed.
    unwritten_bytes
        Bytes of writes that the caller has not taken completely.
    """

    stage: Stage = Stage.IDLE
    stage_began_at: float
    progressed_at: float
    served: int = 0
    head_bytes: int = 0
    body_bytes: int = 0
    unread_bytes: int = 0
    unwritten_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that the connection occupies in memory."""
        is_served = self.stage in (Stage.SERVED, Stage.ANSWERED)
        return (
            self.head_bytes * _HEAD_FACTOR
            + self.body_bytes * (_SERVED_FACTOR if is_served else 1)
            + self.unread_bytes
            + self.unwritten_bytes
        )

    @property
    def is_waiting_for_endpoint(self) -> bool:
        """Whether its caller has done its part, so that it does not give way."""
        return self.stage is Stage.SERVED and not self.unwritten_bytes

    def begin(self, stage: Stage, now: float) -> None:
        """Begin a stage."""
        self.stage = stage
        self.stage_began_at = now
        self.progressed_at = now


@attrs.frozen
class Overdue:
    """Why a connection is given up.

    Attributes
    ----------
    status
        Status that the caller is told, or None if the connection is just closed.
    """

    kind: str
    status: http.HTTPStatus | None = None


def count_connections(descriptors: int) -> int:
    """Return how many of a process's descriptors callers' connections may take."""
    free = max(descriptors - _RESERVED_DESCRIPTORS, 0)
    return max(int(free * _CALLERS_SHARE), _MIN_CONNECTIONS)


def served_size(head_bytes: int, body_bytes: int) -> int:
    """Return the bytes that a request occupies while it is served."""
    return head_bytes * _HEAD_FACTOR + body_bytes * _SERVED_FACTOR


def find_overdue(
    state: CallerState, limits: CallerLimits, now: float
) -> Overdue | None:
    """Return why a connection is to be given up now, or None."""
    lasts_s = now - state.stage_began_at
    stalls_s = now - state.progressed_at
    match state.stage:
        case Stage.IDLE if lasts_s > limits.idle_s:
            return Overdue("idle")
        case Stage.HEAD if lasts_s > limits.head_s:
            return Overdue("slow head", http.HTTPStatus.REQUEST_TIMEOUT)
        case Stage.BODY if stalls_s > limits.stall_s or (
            state.body_bytes < (lasts_s - limits.stall_s) * limits.body_bytes_per_s
        ):
            return Overdue("slow body", http.HTTPStatus.REQUEST_TIMEOUT)
        case Stage.SERVED | Stage.ANSWERED if (
            state.unwritten_bytes and stalls_s > limits.unread_s
        ):
            return Overdue("unread answer")
    return None


def choose_closed(
    states: Iterable[tuple[_Key, CallerState]], now: float, count: int
) -> list[_Key]:
    """Return the connections to close when there are too many, `count` at most.

    Those that have just made progress come last. Before them, those that never sent a
    whole request come first, of these the silent ones, then those in a head; within
    each, the longest without progress.
    """
    candidates = [
        (_closing_rank(state, now), key)
        for key, state in states
        if not state.is_waiting_for_endpoint
    ]
    chosen = heapq.nlargest(count, candidates, key=lambda candidate: candidate[0])
    return [key for _, key in chosen]


def _closing_rank(state: CallerState, now: float) -> tuple[bool, bool, int, float]:
    stalls_s = now - state.progressed_at
    stages = {Stage.IDLE: 2, Stage.HEAD: 1}
    return (
        stalls_s >= _MIN_STALL_S,
        not state.served,
        stages.get(state.stage, 0),
        stalls_s,
    )
