"""The copy of the store never goes back, whoever feeds it."""

from __future__ import annotations

import pytest

from chiveslip.store.client import Changes
from chiveslip.store.client import Item
from chiveslip.store.mirror import StoreMirror


def item(key: str, value: str | None, revision: int) -> Item:
    return Item(
        key=key, value=None if value is None else value.encode(), revision=revision
    )


def values(mirror: StoreMirror) -> dict[str, bytes | None]:
    return {key: held.value for key, held in mirror.items.items()}


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param([("apply", [item("k", "2", 12)], 12)], b"2", id="newer"),
        pytest.param([("apply", [item("k", "0", 8)], 8)], b"1", id="older-value"),
        pytest.param([("replace", [item("k", "0", 8)], 8)], b"1", id="old-read-of-all"),
        pytest.param([("replace", [], 15)], None, id="gone-in-a-read-of-all"),
        pytest.param([("apply", [item("k", None, 14)], 14)], None, id="removed"),
        pytest.param(
            [
                ("apply", [item("k", None, 14)], 14),
                ("apply", [item("k", "1", 10)], 14),
            ],
            None,
            id="removed-and-an-old-value-comes-late",
        ),
    ],
)
def test_only_newer_changes_count(steps: list, expected: bytes | None) -> None:
    mirror = StoreMirror()
    mirror.replace(Changes(items=[item("k", "1", 10)], revision=10))
    for how, items, revision in steps:
        getattr(mirror, how)(Changes(items=items, revision=revision))
    assert values(mirror).get("k") == expected


def test_peer_passes_on_what_changed() -> None:
    one, two = StoreMirror(), StoreMirror()
    start = Changes(items=[item("k", "1", 10), item("l", "1", 9)], revision=10)
    one.replace(start)
    two.replace(start)
    one.apply(Changes(items=[item("k", "2", 11), item("l", None, 12)], revision=12))
    two.take_from_peer(one.changes_after(two.revision), 0.0)
    assert values(two) == {"k": b"2"}
    assert two.revision == 12


def test_peer_that_started_later_passes_on_everything() -> None:
    """It cannot know what was removed before, so it sends all that there is."""
    old, young = StoreMirror(), StoreMirror()
    old.replace(Changes(items=[item("gone", "1", 5), item("k", "1", 6)], revision=6))
    young.replace(Changes(items=[item("k", "1", 6)], revision=20))
    old.take_from_peer(young.changes_after(old.revision), 0.0)
    assert values(old) == {"k": b"1"}


def test_own_watch_has_time_before_a_peer_is_asked() -> None:
    mirror = StoreMirror()
    assert not mirror.lags_behind(5, 0.3, 0.0)
    assert mirror.lags_behind(5, 0.3, 0.4)
    mirror.apply(Changes(items=[], revision=5))
    assert not mirror.lags_behind(5, 0.3, 0.5)
