"""Endpoints and popularity of adapters that the simulations of placement share."""

from __future__ import annotations

import itertools

from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.settings.fields import Address

MODEL = "m"
SERVICE = "llm"


def build_endpoint(name: str, slots: int, started: int = 1) -> ListedEndpoint:
    """Return the description of an engine that holds the base model."""
    return ListedEndpoint(
        id=name,
        service=SERVICE,
        address=Address("127.0.0.1", 1),
        data_centre="one",
        slots=slots,
        state=EndpointState.READY,
        started=started,
        models=(MODEL,),
    )


def cumulative_zipf_weights(adapters: int, exponent: float) -> list[float]:
    """Return the cumulative weights of adapters, the most popular one first."""
    weights = (1.0 / (rank + 1) ** exponent for rank in range(adapters))
    return list(itertools.accumulate(weights))
