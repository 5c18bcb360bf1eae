"""Shared fixtures, and expected failures of the tests listed in KNOWN-RED.txt."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import hypothesis
import pytest

from chiveslip import logs
from chiveslip.clock import ManualClock
from testing.raw_endpoint import StartEndpoint
from testing.raw_endpoint import raw_endpoints

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
_TEST_PREFIX = "test: "

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=200, database=None
)
hypothesis.settings.load_profile("ci")

logs.configure("console", "error")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt lists as expected failures."""
    known_failures = _read_known_failures()
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


def _read_known_failures() -> set[str]:
    if not KNOWN_RED.is_file():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(_TEST_PREFIX).strip()
        for line in lines
        if line.startswith(_TEST_PREFIX)
    }


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that only the test advances."""
    return ManualClock()


@pytest.fixture
async def start_endpoint() -> AsyncIterator[StartEndpoint]:
    """Return a function that starts an endpoint from the scripts of its requests."""
    async with raw_endpoints() as start:
        yield start
