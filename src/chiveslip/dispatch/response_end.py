"""How a response of an endpoint ended."""

from __future__ import annotations

import enum

import attrs


class Framing(enum.Enum):
    """What shows where the body of a response ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NO_BODY = "no body"
    """The status or the method excludes a body."""
    CONNECTION = "connection"
    """Nothing but the end of the connection."""


class Ending(enum.Enum):
    """What ended the reading of a response."""

    FRAMING = "framing"
    """The framing showed the end of the body."""
    CLOSE = "close"
    """The endpoint closed the connection."""
    RESET = "reset"
    """The connection failed: a reset, or bytes that were not acknowledged."""
    LIMIT = "limit"
    """A limit of this instance on time or bytes."""
    INVALID = "invalid"
    """Bytes that are no response to the request."""


class EventPosition(enum.Enum):
    """Where in a stream of events the last byte lies."""

    BEFORE_FIRST = "before the first event"
    WITHIN = "within an event"
    BETWEEN = "after a whole event"


@attrs.frozen(kw_only=True)
class ResponseEnd:
    """How a response ended.

    Attributes
    ----------
    framing
        Framing of the body, or None if no head was received.
    received_bytes
        Bytes of the body that were received.
    """

    framing: Framing | None
    ending: Ending
    received_bytes: int

    def __str__(self) -> str:
        framing = "no head" if self.framing is None else self.framing.value
        return (
            f"framing {framing}, ended by {self.ending.value}, {self.received_bytes} B"
        )
