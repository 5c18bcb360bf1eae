"""Selection of the engines that may serve an adapter, by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Collection

from chiveslip import hashing
from chiveslip.configuration.model import Endpoint
from chiveslip.configuration.model import EndpointKind
from chiveslip.configuration.model import EndpointList
from chiveslip.configuration.model import State
from chiveslip.engines.adapter import AdapterVersion

MAX_ATTEMPTS = 3


def rank_engines(
    adapter: AdapterVersion,
    base_model: str,
    endpoints: EndpointList,
    avoid: Collection[str] = (),
) -> list[Endpoint]:
    """Return the live engines to try for an adapter, best first.

    Rendezvous hashing maps an adapter to the same engine each time, so that the
    adapter is loaded only there and its calls are batched. At most
    ``MAX_ATTEMPTS`` engines are returned.

    Parameters
    ----------
    avoid
        Ids of engines that refused or failed recently; they are ranked last.
    """
    candidates = {
        e.id: e
        for e in endpoints.endpoints.values()
        if e.kind is EndpointKind.ENGINE
        and e.state is State.LIVE
        and e.serves == base_model
    }
    ranked = hashing.rank(str(adapter), candidates)
    ordered = [e for e in ranked if e not in avoid]
    ordered += [e for e in ranked if e in avoid]
    return [candidates[name] for name in ordered[:MAX_ATTEMPTS]]
