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


LOST_CHANGES = 20
SECOND_RETURN_S = 0.3


@pytest.mark.parametrize("path", [StorePath.REFUSED, StorePath.SILENT])
@pytest.mark.parametrize(
    ("size", "bound_s"),
    [
        pytest.param(6, 2.0, id="small"),
        pytest.param(91, 3.0, id="large"),
        pytest.param(300, 3.0, id="largest"),
    ],
)
def test_return_of_the_store_reaches_all_instances_within_the_bound(
    size: int, bound_s: float, path: StorePath
) -> None:
    fleet = LargeFleet(size)
    for number in range(2 * LOST_CHANGES):
        fleet.store.put(f"servers/i-{number}", b"state")
    fleet.run(JOIN_S)
    members = list(fleet.members.values())
    for member in members[::3]:
        member.store_path = path
    first = fleet.store.return_from_copy(LOST_CHANGES)
    second = fleet.store.put("op/config", b"written again")
    returned_at = fleet.clock.now()
    while any(member.parts.mirror.revision < second for member in members):
        fleet.run(STEP_S)
        assert fleet.clock.now() < returned_at + 30.0
    duration_s = fleet.clock.now() - returned_at
    print(f"{size} members, {path.value}: {duration_s:.2f} s")
    assert duration_s <= bound_s - CONNECT_S
    assert all(member.parts.mirror.revision.era == first.era for member in members)
    assert max(member.full_reads for member in members) == 1


@pytest.mark.parametrize("path", [StorePath.REFUSED, StorePath.SILENT])
@pytest.mark.parametrize(
    ("size", "bound_s"),
    [pytest.param(6, 2.0, id="small"), pytest.param(91, 3.0, id="large")],
)
def test_second_return_of_the_store_reaches_all_instances_within_the_bound(
    size: int, bound_s: float, path: StorePath
) -> None:
    """A third of the instances have to learn of both returns from their peers."""
    fleet = LargeFleet(size)
    for number in range(3 * LOST_CHANGES):
        fleet.store.put(f"servers/i-{number}", b"state")
    fleet.run(JOIN_S)
    members = list(fleet.members.values())
    for member in members[::3]:
        member.store_path = path
    fleet.store.return_from_copy(LOST_CHANGES)
    fleet.store.put("op/config", b"lost again")
    fleet.run(SECOND_RETURN_S)
    second = fleet.store.return_from_copy(LOST_CHANGES)
    last = fleet.store.put("op/config", b"written again")
    returned_at = fleet.clock.now()
    while any(member.parts.mirror.revision < last for member in members):
        fleet.run(STEP_S)
        assert fleet.clock.now() < returned_at + 30.0
    duration_s = fleet.clock.now() - returned_at
    print(f"{size} members, {path.value}, second return: {duration_s:.2f} s")
    assert duration_s <= bound_s - CONNECT_S
    assert all(member.parts.mirror.revision.era == second.era for member in members)
    configurations = {m.parts.mirror.items["op/config"].value for m in members}
    assert configurations == {b"written again"}
    assert max(member.full_reads for member in members) <= 2
