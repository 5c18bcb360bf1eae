"""Selects the instances that read from the configuration service.

All other instances pull the documents from these.
"""

from __future__ import annotations

from chiveslip import hashing
from chiveslip.configuration.model import InstanceList
from chiveslip.configuration.model import State

READERS_PER_DATA_CENTRE = 3
MAX_INSTANCES_ALL_READ = 12


def configuration_readers(view: InstanceList, data_centre: str) -> tuple[str, ...]:
    """Return the instances that read the configuration for `data_centre`.

    In a small fleet all instances read: that costs little, and nothing depends on a
    single reader.
    """
    live = [i for i in view.instances.values() if i.state is State.LIVE]
    if len(live) <= MAX_INSTANCES_ALL_READ:
        return tuple(sorted(i.id for i in live))
    local = [i.id for i in live if i.data_centre == data_centre]
    ranked = hashing.rank(f"relay/{data_centre}", local)
    return tuple(ranked[:READERS_PER_DATA_CENTRE])
