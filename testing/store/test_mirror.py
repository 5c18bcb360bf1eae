"""The mirror never restores an older value, from the store or from peers."""

from __future__ import annotations

import pytest

from chiveslip.store.client import Changes
from chiveslip.store.client import Item
from chiveslip.store.mirror import StoreMirror


def build_item(key: str, value: str | None, revision: int) -> Item:
    return Item(
        key=key, value=None if value is None else value.encode(), revision=revision
    )


def values_by_key(mirror: StoreMirror) -> dict[str, bytes | None]:
    return {key: item.value for key, item in mirror.items.items()}


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param(
            [("apply_changes", [build_item("k", "2", 12)], 12)], b"2", id="newer-value"
        ),
        pytest.param(
            [("apply_changes", [build_item("k", "0", 8)], 8)], b"1", id="older-value"
        ),
        pytest.param(
            [("apply_snapshot", [build_item("k", "0", 8)], 8)],
            b"1",
            id="older-snapshot",
        ),
        pytest.param([("apply_snapshot", [], 15)], None, id="missing-in-snapshot"),
        pytest.param(
            [("apply_changes", [build_item("k", None, 14)], 14)], None, id="removed"
        ),
        pytest.param(
            [
                ("apply_changes", [build_item("k", None, 14)], 14),
                ("apply_changes", [build_item("k", "1", 10)], 14),
            ],
            None,
            id="older-value-after-removal",
        ),
    ],
)
def test_only_newer_changes_are_applied(steps: list, expected: bytes | None) -> None:
    mirror = StoreMirror()
    mirror.apply_snapshot(Changes(items=[build_item("k", "1", 10)], revision=10))
    for method, items, revision in steps:
        getattr(mirror, method)(Changes(items=items, revision=revision))
    assert values_by_key(mirror).get("k") == expected


def test_peer_sends_changes_after_a_revision() -> None:
    source, target = StoreMirror(), StoreMirror()
    initial = Changes(
        items=[build_item("k", "1", 10), build_item("l", "1", 9)], revision=10
    )
    source.apply_snapshot(initial)
    target.apply_snapshot(initial)
    source.apply_changes(
        Changes(
            items=[build_item("k", "2", 11), build_item("l", None, 12)], revision=12
        )
    )
    target.apply_peer_reply(source.build_changes_reply(target.revision), "peer")
    assert values_by_key(target) == {"k": b"2"}
    assert target.revision == 12


def test_peer_without_older_removals_sends_a_snapshot() -> None:
    """A peer that started later does not know the removals before its start."""
    older, younger = StoreMirror(), StoreMirror()
    older.apply_snapshot(
        Changes(items=[build_item("gone", "1", 5), build_item("k", "1", 6)], revision=6)
    )
    younger.apply_snapshot(Changes(items=[build_item("k", "1", 6)], revision=20))
    older.apply_peer_reply(younger.build_changes_reply(older.revision), "peer")
    assert values_by_key(older) == {"k": b"1"}
