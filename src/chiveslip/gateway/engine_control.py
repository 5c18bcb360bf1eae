"""Interface to read the reports of engines and to send them orders."""

from __future__ import annotations

import abc
import enum
from collections.abc import Callable

import attrs

from chiveslip.gateway.endpoints import ListedEndpoint


class EngineControlError(Exception):
    """The engine did not answer, or its answer could not be read."""


class OtherEngineError(EngineControlError):
    """A different engine answers at this address."""


@attrs.frozen(kw_only=True)
class EngineReport:
    """State that an engine reports of itself, a few hundred milliseconds old.

    Attributes
    ----------
    started
        Number that differs between two starts of the engine; 0 if it gives none.
    accepted_orders
        Orders that it has accepted since its start.
    models
        Base models present.
    adapters, loading_adapters
        Adapters present, and adapters being loaded, with their versions.
    running, waiting
        Requests that are running and requests that are waiting.
    cache_used
        Tokens held in the engine's cache.
    """

    started: int
    accepted_orders: int
    models: frozenset[str]
    adapters: frozenset[tuple[str, int]]
    loading_adapters: frozenset[tuple[str, int]]
    running: int
    waiting: int
    cache_used: int


class Operation(enum.Enum):
    """Operation that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen(kw_only=True)
class EngineOrder:
    """An order to an engine.

    Attributes
    ----------
    target
        MODEL, or MODEL/NAME for an adapter of a base model that is present.
    version
        Version of the adapter.
    holder
        Instance that sends the order.
    fence
        Fencing number: an engine refuses a lower one than it has seen before.
    after_orders
        Number of orders that the engine must have accepted before, or None if any
        number is right.
    """

    operation: Operation
    target: str
    version: int
    holder: str
    fence: int
    after_orders: int | None


class OrderAnswer(enum.Enum):
    """An engine's answer to an order."""

    IN_PROGRESS = "under way"
    """Accepted; the operation has begun."""
    ALREADY_DONE = "holds already"
    """Accepted; the engine is in the requested state already."""
    CONFLICT = "conflict"
    """Another order is in progress, or the engine has accepted other orders since."""
    FENCED = "fenced"
    """A higher fencing number has been used."""
    REFUSED = "refused"
    WRONG_ENGINE = "other engine"
    """A different engine answers at this address."""
    WITHHELD = "withheld"
    """Not sent: it was no longer allowed once the connection was open."""


class EngineControl(abc.ABC):
    """Reads the reports of engines and sends them orders."""

    @abc.abstractmethod
    async def read_report(self, engine: ListedEndpoint) -> EngineReport:
        """Read an engine's report.

        Raises
        ------
        EngineControlError
            If the report is unavailable or cannot be read.
        OtherEngineError
            If another engine answers at the address.
        """

    @abc.abstractmethod
    async def send_order(
        self, engine: ListedEndpoint, order: EngineOrder, may_send: Callable[[], bool]
    ) -> OrderAnswer:
        """Send an order to an engine.

        Parameters
        ----------
        may_send
            Returns whether the order is still allowed; called once the connection is
            open, directly before the order is sent.

        Raises
        ------
        EngineControlError
            If no answer came; the engine may have accepted the order.
        """
