"""A blocked output never blocks a request, and failures are dropped last."""

from __future__ import annotations

import os
from collections.abc import Iterator

import pytest

from chiveslip.log_output import LogOutput


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def fill(descriptor: int) -> None:
    try:
        while True:
            os.write(descriptor, b"x" * 4096)
    except BlockingIOError:
        return


def drain(reading: int) -> bytes:
    os.set_blocking(reading, False)
    parts = []
    try:
        while True:
            parts.append(os.read(reading, 1 << 20))
    except BlockingIOError:
        return b"".join(parts)


def test_lines_are_written_in_order(pipe: tuple[int, int]) -> None:
    output = LogOutput(pipe[1])
    output.put("one", tells_of_failure=False)
    output.put("two", tells_of_failure=True)
    assert drain(pipe[0]) == b"one\ntwo\n"


def test_blocked_output_keeps_lines_for_later(pipe: tuple[int, int]) -> None:
    output = LogOutput(pipe[1])
    fill(pipe[1])
    output.put("late", tells_of_failure=False)
    drain(pipe[0])
    output.flush()
    assert drain(pipe[0]) == b"late\n"


@pytest.mark.parametrize(
    ("good", "failed", "dropped_good", "dropped_failed"),
    [
        pytest.param(1000, 1000, 0, 0, id="room-for-all"),
        pytest.param(5000, 1500, 3000, 0, id="good-ones-are-bounded"),
        pytest.param(5000, 3500, 4500, 0, id="good-ones-make-way"),
        pytest.param(0, 5000, 0, 1000, id="failures-are-bounded-too"),
    ],
)
def test_good_lines_are_dropped_first(
    pipe: tuple[int, int],
    good: int,
    failed: int,
    dropped_good: int,
    dropped_failed: int,
) -> None:
    output = LogOutput(pipe[1])
    fill(pipe[1])
    for _ in range(good):
        output.put("good", tells_of_failure=False)
    for _ in range(failed):
        output.put("failed", tells_of_failure=True)
    # One batch of lines may already wait for the descriptor.
    assert output.dropped["info"] == pytest.approx(dropped_good, abs=1)
    assert output.dropped["warning"] == pytest.approx(dropped_failed, abs=1)
