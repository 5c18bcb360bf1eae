"""Changes of the store reach instances whose own reads of it fail or hang."""

from __future__ import annotations

import pytest

from bench.large_fleet import LargeFleet
from bench.large_fleet import StorePath

JOIN_S = 10.0
# Opened just before the change arrives, a connection takes up to this long.
CONNECT_S = 1.0
CHANGES = 5
STEP_S = 0.05


@pytest.mark.parametrize("path", [StorePath.REFUSED, StorePath.SILENT])
@pytest.mark.parametrize(
    ("size", "drain_bound_s"),
    [pytest.param(6, 2.0, id="small"), pytest.param(91, 3.0, id="large")],
)
def test_departure_reaches_instances_without_the_store_within_the_drain_bound(
    size: int, drain_bound_s: float, path: StorePath
) -> None:
    fleet = LargeFleet(size)
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
    assert max(spreads) <= drain_bound_s - CONNECT_S, spreads
