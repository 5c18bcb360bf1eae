"""Reports and orders of engines: the interface, and what they say."""

from __future__ import annotations

import abc
import enum

import attrs

from chiveslip.gateway.endpoints import ListedEndpoint


class EngineControlError(Exception):
    """The engine did not answer, or its answer could not be read."""


@attrs.frozen(kw_only=True)
class EngineReport:
    """What an engine says of itself; some hundred milliseconds old.

    Attributes
    ----------
    started
        The engine's own number of its start; 0 where it gives none.
    orders
        Orders that it accepted since its start.
    models
        Base models present.
    adapters, coming
        Adapters present, and those on their way, with their versions.
    """

    started: int
    orders: int
    models: frozenset[str]
    adapters: frozenset[tuple[str, int]]
    coming: frozenset[tuple[str, int]]
    running: int
    waiting: int
    cache_used: int


class Operation(enum.Enum):
    """What an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen(kw_only=True)
class EngineOrder:
    """An order to an engine.

    Attributes
    ----------
    target
        MODEL, or MODEL/NAME for an adapter of a model that is present.
    version
        Version of the adapter.
    fence
        Number that engines compare: a lower one than before is refused.
    after_orders
        Orders that the engine must have accepted before, or None.
    """

    operation: Operation
    target: str
    version: int
    holder: str
    fence: int
    after_orders: int | None


class OrderAnswer(enum.Enum):
    """What an engine answers to an order."""

    UNDER_WAY = "under way"
    HOLDS_ALREADY = "holds already"
    CONFLICT = "conflict"
    """Another order is in progress, or the engine accepted others meanwhile."""
    FENCED = "fenced"
    """A higher fencing number was used."""
    REFUSED = "refused"
    OTHER_ENGINE = "other engine"


class EngineControl(abc.ABC):
    """Speaks with engines about themselves."""

    @abc.abstractmethod
    async def report(self, engine: ListedEndpoint) -> EngineReport:
        """Read an engine's report.

        Raises
        ------
        EngineControlError
            If it cannot be had.
        """

    @abc.abstractmethod
    async def order(self, engine: ListedEndpoint, order: EngineOrder) -> OrderAnswer:
        """Give an order.

        Raises
        ------
        EngineControlError
            If no answer came; the order may have been accepted.
        """
