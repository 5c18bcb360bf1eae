"""The mirror never restores an older value, from the store or from peers."""

from __future__ import annotations

import pytest

from chiveslip.store.client import NO_REVISION
from chiveslip.store.client import Changes
from chiveslip.store.client import Item
from chiveslip.store.client import StoreRevision
from chiveslip.store.mirror import EraChange
from chiveslip.store.mirror import StoreMirror


def build_item(key: str, value: str | None, number: int, era: int = 0) -> Item:
    return Item(
        key=key,
        value=None if value is None else value.encode(),
        revision=StoreRevision(era, number),
    )


def build_changes(items: list[Item], number: int, era: int = 0) -> Changes:
    return Changes(items=items, revision=StoreRevision(era, number))


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
    mirror.apply_snapshot(build_changes([build_item("k", "1", 10)], 10))
    for method, items, revision in steps:
        getattr(mirror, method)(build_changes(items, revision))
    assert values_by_key(mirror).get("k") == expected


def test_peer_sends_changes_after_a_revision() -> None:
    source, target = StoreMirror(), StoreMirror()
    initial = build_changes([build_item("k", "1", 10), build_item("l", "1", 9)], 10)
    source.apply_snapshot(initial)
    target.apply_snapshot(initial)
    source.apply_changes(
        build_changes([build_item("k", "2", 11), build_item("l", None, 12)], 12)
    )
    target.apply_peer_reply(source.build_changes_reply(target.revision), "peer")
    assert values_by_key(target) == {"k": b"2"}
    assert target.revision == StoreRevision(0, 12)


def test_peer_without_older_removals_sends_a_snapshot() -> None:
    """A peer that started later does not know the removals before its start."""
    older, younger = StoreMirror(), StoreMirror()
    older.apply_snapshot(
        build_changes([build_item("gone", "1", 5), build_item("k", "1", 6)], 6)
    )
    younger.apply_snapshot(build_changes([build_item("k", "1", 6)], 20))
    older.apply_peer_reply(younger.build_changes_reply(older.revision), "peer")
    assert values_by_key(older) == {"k": b"1"}


def test_snapshot_of_a_later_era_is_taken_although_its_revision_is_lower() -> None:
    mirror = StoreMirror()
    mirror.apply_snapshot(build_changes([build_item("k", "2", 100)], 100))
    mirror.apply_snapshot(build_changes([build_item("k", "1", 70, 1)], 80, era=1))
    assert values_by_key(mirror) == {"k": b"1"}
    mirror.apply_changes(build_changes([build_item("k", "3", 81, 1)], 81, era=1))
    assert values_by_key(mirror) == {"k": b"3"}
    assert mirror.revision == StoreRevision(1, 81)


@pytest.mark.parametrize("method", ["apply_snapshot", "apply_changes"])
def test_answer_of_an_earlier_era_restores_nothing(method: str) -> None:
    mirror = StoreMirror()
    mirror.apply_snapshot(build_changes([build_item("k", "1", 70, 1)], 80, era=1))
    late = build_changes([build_item("k", "2", 100), build_item("l", "1", 99)], 100)
    getattr(mirror, method)(late)
    assert values_by_key(mirror)["k"] == b"1"
    assert mirror.revision == StoreRevision(1, 80)


def test_peer_of_a_later_era_sends_a_snapshot() -> None:
    source, target = StoreMirror(), StoreMirror()
    for mirror in (source, target):
        items = [build_item("k", "2", 100), build_item("gone", "1", 90)]
        mirror.apply_snapshot(build_changes(items, 100))
    source.apply_snapshot(build_changes([build_item("k", "1", 70, 1)], 80, era=1))
    target.apply_peer_reply(source.build_changes_reply(target.revision), "peer")
    assert values_by_key(target) == {"k": b"1"}
    # Nothing goes back by a peer that has not seen the later era.
    target.apply_peer_reply(StoreMirror().build_changes_reply(target.revision), "old")
    assert target.revision == StoreRevision(1, 80)


def test_known_value_is_kept_against_the_copy_and_passed_on() -> None:
    mirror = StoreMirror(lambda _key, known, copy: max(known or b"", copy or b""))
    changes: list[EraChange] = []
    mirror.add_era_listener(changes.append)
    mirror.apply_snapshot(build_changes([build_item("k", "2", 100)], 100))
    mirror.apply_snapshot(build_changes([build_item("k", "1", 70, 1)], 80, era=1))
    assert values_by_key(mirror) == {"k": b"2"}
    assert [change.kept_keys for change in changes] == [["k"]]
    late = StoreMirror()
    late.apply_peer_reply(mirror.build_changes_reply(late.revision), "peer")
    assert values_by_key(late) == {"k": b"2"}


def test_instance_that_begins_with_the_copy_takes_newer_values_of_a_peer() -> None:
    def newest(_key: str, known: bytes | None, copy: bytes | None) -> bytes | None:
        return max(known or b"", copy or b"")

    copy = build_changes(
        [build_item("k", "1", 70, 1), build_item("l", "5", 71, 1)], 80, 1
    )
    peer, late = StoreMirror(newest), StoreMirror(newest)
    known = [build_item("k", "2", 100), build_item("l", "4", 90)]
    peer.apply_snapshot(build_changes(known, 100))
    peer.apply_snapshot(copy)
    late.apply_snapshot(copy)
    late.merge_peer_values(peer.build_changes_reply(NO_REVISION), "peer")
    assert values_by_key(late) == {"k": b"2", "l": b"5"}


def choose_removal(_key: str, known: bytes | None, copy: bytes | None) -> bytes | None:
    return None if known is None else copy


def build_peer_that_saw_removals(number: int) -> StoreMirror:
    """Return a mirror that saw `k` removed before the store returned."""
    peer = StoreMirror(choose_removal)
    known = [build_item("k", "1", 70), build_item("l", "1", 71)]
    peer.apply_snapshot(build_changes(known, 80))
    peer.apply_changes(build_changes([build_item("k", None, 90)], 90))
    copy = [build_item("k", "1", 70, 1), build_item("l", "1", 71, 1)]
    peer.apply_snapshot(build_changes(copy, number, era=1))
    return peer


@pytest.mark.parametrize(
    ("written", "expected"),
    [
        pytest.param([], None, id="listed-by-the-copy"),
        pytest.param([build_item("k", "1", 82, 1)], b"1", id="written-again"),
    ],
)
@pytest.mark.parametrize("path", ["merge", "pull", "pull-then-read"])
def test_instance_that_begins_with_the_copy_takes_removals_of_a_peer(
    path: str, written: list[Item], expected: bytes | None
) -> None:
    peer, late = build_peer_that_saw_removals(80), StoreMirror(choose_removal)
    present = [build_item("k", "1", 70, 1), build_item("l", "1", 71, 1)]
    if path == "merge":
        late.apply_snapshot(build_changes(present, 80, era=1))
        late.merge_peer_values(peer.build_changes_reply(NO_REVISION), "peer")
    else:
        late.apply_peer_reply(peer.build_changes_reply(NO_REVISION), "peer")
    if path == "pull-then-read":
        late.apply_snapshot(build_changes(present, 80, era=1))
    late.apply_changes(build_changes(written, 82, era=1))
    assert values_by_key(late).get("k") == expected
    assert values_by_key(late)["l"] == b"1"
    # It passes on what it took.
    last = StoreMirror(choose_removal)
    last.apply_snapshot(build_changes([*present, *written], 82, era=1))
    last.merge_peer_values(late.build_changes_reply(NO_REVISION), "late")
    assert values_by_key(last).get("k") == expected


def test_peer_that_lags_does_not_remove_what_was_written_again() -> None:
    late = StoreMirror(choose_removal)
    late.apply_snapshot(build_changes([build_item("k", "1", 82, 1)], 82, era=1))
    peer = build_peer_that_saw_removals(80)
    late.merge_peer_values(peer.build_changes_reply(NO_REVISION), "peer")
    assert values_by_key(late) == {"k": b"1"}


def choose_known(_key: str, known: bytes | None, _copy: bytes | None) -> bytes | None:
    return known


@pytest.mark.parametrize("written_at", [95, 110])
def test_entry_that_was_written_after_a_known_removal_is_taken(written_at: int) -> None:
    """An instance that was cut off knows a removal that is older than the entry."""
    mirror = StoreMirror(choose_known)
    mirror.apply_snapshot(build_changes([build_item("k", "1", 70)], 80))
    mirror.apply_changes(build_changes([build_item("k", None, 100)], 100))
    copy = [build_item("k", "1", written_at, 1)]
    mirror.apply_snapshot(build_changes(copy, 120, era=1))
    assert ("k" in values_by_key(mirror)) == (written_at > 100)


def build_peer_that_keeps(key: str, *, number: int) -> StoreMirror:
    """Return a mirror that keeps a value which the copy of the store lacks."""
    peer = StoreMirror(choose_known)
    peer.apply_snapshot(build_changes([build_item(key, "1", 90)], 100))
    peer.apply_snapshot(build_changes([], number, era=1))
    return peer


@pytest.mark.parametrize("path", ["merge", "pull", "pull-then-read"])
def test_instance_that_begins_with_the_copy_takes_what_it_lacks(path: str) -> None:
    """An instance that starts after the return must know what the operator wrote."""
    peer, late = build_peer_that_keeps("k", number=80), StoreMirror(choose_known)
    if path == "merge":
        late.apply_snapshot(build_changes([], 80, era=1))
        late.merge_peer_values(peer.build_changes_reply(NO_REVISION), "peer")
    else:
        late.apply_peer_reply(peer.build_changes_reply(NO_REVISION), "peer")
    if path == "pull-then-read":
        late.apply_snapshot(build_changes([], 80, era=1))
    assert values_by_key(late) == {"k": b"1"}
    # It passes on what it took, and ends it when the key is removed.
    last = StoreMirror(choose_known)
    last.apply_snapshot(build_changes([], 80, era=1))
    last.merge_peer_values(late.build_changes_reply(NO_REVISION), "late")
    assert values_by_key(last) == {"k": b"1"}
    last.apply_changes(build_changes([build_item("k", None, 81, 1)], 81, era=1))
    assert values_by_key(last) == {}


def test_peer_that_lags_does_not_restore_what_was_removed_since() -> None:
    late, peer = StoreMirror(choose_known), build_peer_that_keeps("k", number=80)
    late.apply_snapshot(build_changes([], 82, era=1))
    late.merge_peer_values(peer.build_changes_reply(NO_REVISION), "peer")
    assert values_by_key(late) == {}
