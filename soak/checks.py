"""The promises, checked from what callers and back ends saw."""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs

from testing.platform.standins import ReceivedRequest

# A withdrawn key stops within this time in seconds, faults of the store included.
KEY_BOUND_S = 10.0
EVENTS = 3


@attrs.define(kw_only=True)
class Asked:
    """A request and what its caller got; status 0 for a broken connection."""

    identity: str
    path: str
    key: str
    at: float
    status: int = 0
    body: bytes = b""


def violations(
    asked: Iterable[Asked],
    seen: Iterable[ReceivedRequest],
    withdrawn: dict[str, float],
    keys: str,
) -> list[str]:
    """Return what was promised and not kept, in words.

    Parameters
    ----------
    withdrawn
        Times at which keys were withdrawn.
    keys
        What all keys begin with.
    """
    runs = collections.Counter(each.headers["X-Request-Id"] for each in seen)
    found = [
        f"a key reached an endpoint: {each.path}" for each in seen if keys in str(each)
    ]
    for each in asked:
        found += _of_one(each, runs[each.identity], withdrawn)
    return found


def _of_one(each: Asked, runs: int, withdrawn: dict[str, float]) -> list[str]:
    found = []
    name = f"{each.identity} {each.path} ({each.status})"
    if each.path.startswith(("/once", "/draft")) and runs > 1:
        found.append(f"{name}: ran {runs} times")
    if each.status in (429, 503) and runs:
        found.append(f"{name}: called not run, and ran")
    if each.status == 200 and not _is_whole(each):
        found.append(f"{name}: not whole: {each.body!r}")
    gone_at = withdrawn.get(each.key)
    if gone_at is not None and runs and each.at > gone_at + KEY_BOUND_S:
        found.append(f"{name}: ran {each.at - gone_at:.1f} s after its key went")
    return found


def _is_whole(each: Asked) -> bool:
    if each.path.startswith("/once"):
        return each.body == b"done"
    ids = [line for line in each.body.split(b"\n") if line.startswith(b"id: ")]
    return ids == [f"id: {number}".encode() for number in range(1, EVENTS + 1)]
