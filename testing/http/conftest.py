"""Fixtures: a small fleet of real processes with stand-ins, and a caller of it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest_asyncio

from local.calls import Caller
from local.fleet import Fleet
from local.processes import Processes


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(tmp_path_factory: object) -> AsyncIterator[Fleet]:
    """Start a small fleet, shared by all tests of a module."""
    directory: Path = tmp_path_factory.mktemp("fleet")  # type: ignore[attr-defined]
    async with Processes(directory) as processes:
        fleet = Fleet(directory=directory, processes=processes)
        await fleet.start()
        yield fleet


@pytest_asyncio.fixture(loop_scope="module")
async def caller(fleet: Fleet) -> AsyncIterator[Caller]:
    """Return a caller of the fleet."""
    caller = Caller(fleet)
    yield caller
    caller.close()
