"""Which instances read from the configuration service; the rest ask these."""

from __future__ import annotations

from chiveslip import hashing
from chiveslip.configuration.model import InstanceList
from chiveslip.configuration.model import State

READERS_PER_DATA_CENTRE = 3
SMALL_FLEET = 12


def relays(view: InstanceList, data_centre: str) -> tuple[str, ...]:
    """Return the instances of `data_centre` that read for it.

    In a small fleet everybody reads, which costs little and loses nothing when
    a reader dies.
    """
    live = [i for i in view.instances.values() if i.state is State.LIVE]
    if len(live) <= SMALL_FLEET:
        return tuple(sorted(i.id for i in live))
    here = [i.id for i in live if i.data_centre == data_centre]
    ranked = hashing.rank(f"relay/{data_centre}", here)
    return tuple(ranked[:READERS_PER_DATA_CENTRE])
