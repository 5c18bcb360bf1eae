"""Tests that a blocked output never blocks and that failures are dropped last."""

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
    """Write to a pipe until it blocks."""
    try:
        while True:
            os.write(descriptor, b"x" * 4096)
    except BlockingIOError:
        return


def drain(reading: int) -> bytes:
    """Read everything that is in a pipe."""
    os.set_blocking(reading, False)
    parts = []
    try:
        while True:
            parts.append(os.read(reading, 1 << 20))
    except BlockingIOError:
        return b"".join(parts)


def test_lines_are_written_in_order(pipe: tuple[int, int]) -> None:
    output = LogOutput(pipe[1])
    output.put("one", is_failure=False)
    output.put("two", is_failure=True)
    assert drain(pipe[0]) == b"one\ntwo\n"


def test_lines_are_kept_while_output_is_blocked(pipe: tuple[int, int]) -> None:
    output = LogOutput(pipe[1])
    fill(pipe[1])
    output.put("late", is_failure=False)
    drain(pipe[0])
    output.flush()
    assert drain(pipe[0]) == b"late\n"


@pytest.mark.parametrize(
    ("successful", "failed", "dropped_successful", "dropped_failed"),
    [
        pytest.param(1000, 1000, 0, 0, id="all-fit"),
        pytest.param(5000, 1500, 3000, 0, id="successful-are-limited"),
        pytest.param(5000, 3500, 4500, 0, id="successful-are-displaced"),
        pytest.param(0, 5000, 0, 1000, id="failures-are-limited"),
    ],
)
def test_lines_of_successful_requests_are_dropped_first(
    pipe: tuple[int, int],
    successful: int,
    failed: int,
    dropped_successful: int,
    dropped_failed: int,
) -> None:
    output = LogOutput(pipe[1])
    fill(pipe[1])
    for _ in range(successful):
        output.put("successful", is_failure=False)
    for _ in range(failed):
        output.put("failed", is_failure=True)
    # One batch of lines may already have left the queue for the descriptor.
    assert output.dropped["info"] == pytest.approx(dropped_successful, abs=1)
    assert output.dropped["warning"] == pytest.approx(dropped_failed, abs=1)
