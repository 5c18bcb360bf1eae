"""Which messages are given up when a process holds too many bytes."""

from __future__ import annotations

import contextlib

import pytest

from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.dispatch.held_bytes import HeldBytesError
from chiveslip.dispatch.held_bytes import Holding

MAX_BYTES = 100


class Messages:
    """Messages by name, and which of them were given up."""

    def __init__(self) -> None:
        self.held = HeldBytes(MAX_BYTES)
        self.given_up: list[str] = []
        self._holdings: dict[str, Holding] = {}

    def receive(self, name: str, size: int) -> None:
        if name not in self._holdings:
            self._holdings[name] = self.held.begin(
                "test", lambda: self.given_up.append(name)
            )
        self.held.add(self._holdings[name], size)

    def end(self, name: str) -> None:
        self.held.end(self._holdings[name])


@pytest.mark.parametrize(
    ("received", "given_up", "total"),
    [
        pytest.param([("a", 60), ("b", 40)], [], 100, id="at-the-bound"),
        pytest.param([("a", 60), ("b", 41)], ["a"], 41, id="largest"),
        pytest.param([("a", 20), ("b", 81)], ["b"], 20, id="largest-is-receiving"),
        pytest.param([("a", 51), ("b", 51)], ["b"], 51, id="newest-of-equal-ones"),
        pytest.param([("a", 40), ("b", 40), ("a", 30)], ["a"], 40, id="grows"),
        pytest.param(
            [("a", 30), ("b", 31), ("c", 200)], ["c"], 61, id="others-are-untouched"
        ),
        pytest.param([("a", 60), ("b", 50), ("a", 9)], ["a"], 50, id="late-bytes"),
    ],
)
def test_largest_message_is_given_up_beyond_the_bound(
    received: list[tuple[str, int]], given_up: list[str], total: int
) -> None:
    messages = Messages()
    for name, size in received:
        with contextlib.suppress(HeldBytesError):
            messages.receive(name, size)
    assert messages.given_up == given_up
    assert messages.held.total == total
    assert sum(messages.held.sizes_by_kind().values()) == total


def test_message_that_is_given_up_while_it_receives_raises() -> None:
    messages = Messages()
    with pytest.raises(HeldBytesError, match="exceed 100 bytes"):
        messages.receive("a", MAX_BYTES + 1)
    assert messages.held.take_given_up() == {"test": 1}
    assert messages.held.take_given_up() == {}


def test_bytes_of_ended_messages_do_not_count() -> None:
    messages = Messages()
    for number in range(10):
        messages.receive(f"m{number}", MAX_BYTES)
        messages.end(f"m{number}")
        messages.end(f"m{number}")
    assert messages.held.total == 0
    assert messages.given_up == []
