"""Changes of the store reach instances whose own reads of it fail or hang."""

from __future__ import annotations

import pytest

from bench.large_fleet import LargeFleet
from bench.large_fleet import StorePath

JOIN_S = 10.0
# The users' shortest bound for a large deployment, less the time of a connection that
# is opened just before the change arrives.
MAX_SPREAD_S = 3.0 - 1.0
SIZE = 91
CHANGES = 5
STEP_S = 0.05


@pytest.mark.parametrize("path", [StorePath.REFUSED, StorePath.SILENT])
def test_departure_reaches_instances_without_the_store_within_the_drain_bound(
    path: StorePath,
) -> None:
    fleet = LargeFleet(SIZE)
    fleet.run(JOIN_S)
    members = list(fleet.members.values())
    for member in members[::3]:
        member.store_path = path
    spreads = []
    for number in range(CHANGES):
        revision = fleet.store.put("servers/i-1", f"state {number}".encode())
        acknowledged_at = fleet.clock.now()
        while any(member.parts.mirror.revision < revision for member in members):
            fleet.run(STEP_S)
            assert fleet.clock.now() < acknowledged_at + 30.0
        spreads.append(fleet.clock.now() - acknowledged_at)
        fleet.run(fleet.random.random())
    assert max(spreads) <= MAX_SPREAD_S, spreads
