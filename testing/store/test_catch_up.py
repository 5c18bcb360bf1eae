"""When an instance takes changes of the store from its peers."""

from __future__ import annotations

import pytest

from chiveslip.store.catch_up import PeerCatchUp
from chiveslip.store.client import StoreRevision

# The own mirror is at this revision.
OWN = 10


def revision(number: int) -> StoreRevision:
    return StoreRevision(0, number)


@pytest.mark.parametrize(
    ("mentions", "read_began_at", "is_store_lost", "now", "overdue"),
    [
        pytest.param([], 0.0, True, 5.0, False, id="no-peer"),
        pytest.param([(OWN, 0.0)], 0.0, True, 5.0, False, id="same-revision"),
        pytest.param([(11, 1.0)], 0.0, False, 1.2, False, id="read-may-deliver-it"),
        pytest.param([(11, 1.0)], 0.0, False, 1.3, True, id="read-hangs"),
        pytest.param([(11, 1.0)], 2.0, False, 2.2, False, id="next-read-not-due"),
        pytest.param([(11, 1.0)], 2.0, False, 2.3, True, id="next-read-hangs"),
        pytest.param([(11, 1.0)], 2.0, True, 1.0, True, id="store-lost"),
        pytest.param(
            [(11, 1.0), (OWN, 1.1), (9, 1.2)], 0.0, False, 1.3, True, id="lagging-peer"
        ),
        pytest.param(
            [(11, 1.0), (12, 1.25)], 0.0, False, 1.3, True, id="first-mention-counts"
        ),
    ],
)
def test_changes_are_overdue_when_the_own_read_should_have_delivered_them(
    mentions: list[tuple[int, float]],
    read_began_at: float,
    is_store_lost: bool,
    now: float,
    overdue: bool,
) -> None:
    catch_up = PeerCatchUp(
        own_revision=lambda: revision(OWN),
        read_began_at=lambda: read_began_at,
        is_store_lost=lambda: is_store_lost,
    )
    for number, mentioned_at in mentions:
        catch_up.record_peer_revision(revision(number), mentioned_at)
    assert catch_up.is_overdue(now) is overdue


def test_own_progress_does_not_hide_that_later_changes_are_overdue() -> None:
    own = [OWN]
    catch_up = PeerCatchUp(
        own_revision=lambda: revision(own[0]),
        read_began_at=lambda: 0.0,
        is_store_lost=lambda: False,
    )
    catch_up.record_peer_revision(revision(11), 1.0)
    catch_up.record_peer_revision(revision(12), 1.1)
    own[0] = 11
    assert not catch_up.is_overdue(1.35)
    assert catch_up.is_overdue(1.45)
    own[0] = 12
    assert not catch_up.is_overdue(9.0)


def test_lag_appears_no_shorter_after_many_changes() -> None:
    catch_up = PeerCatchUp(
        own_revision=lambda: revision(OWN),
        read_began_at=lambda: 0.0,
        is_store_lost=lambda: False,
    )
    for number in range(1000):
        catch_up.record_peer_revision(revision(OWN + 1 + number), 1.0 + number / 1000)
    assert catch_up.is_overdue(1.3)


def test_lower_revision_of_a_later_era_is_newer() -> None:
    catch_up = PeerCatchUp(
        own_revision=lambda: revision(OWN),
        read_began_at=lambda: 0.0,
        is_store_lost=lambda: False,
    )
    catch_up.record_peer_revision(StoreRevision(1, 3), 1.0)
    assert catch_up.is_overdue(1.3)
