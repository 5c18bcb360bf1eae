"""Which instances read from the configuration service; the rest ask these."""

from __future__ import annotations

from chiveslip import hashing
from chiveslip.configuration.model import InstanceList
from chiveslip.configuration.model import State

READERS_PER_DATA_CENTRE = 3
MAX_FLEET_OF_READERS = 12


def configuration_readers(view: InstanceList, data_centre: str) -> tuple[str, ...]:
    """Return the instances of `data_centre` that read for it.

    In a small fleet everybody reads, which costs little and loses nothing when
    a reader dies.
    """
    live = [i for i in view.instances.values() if i.state is State.LIVE]
    if len(live) <= MAX_FLEET_OF_READERS:
        return tuple(sorted(i.id for i in live))
    here = [i.id for i in live if i.data_centre == data_centre]
    ranked = hashing.rank(f"relay/{data_centre}", here)
    return tuple(ranked[:READERS_PER_DATA_CENTRE])
