"""Simulated fleets of gateways in virtual time."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from bench.large_fleet import LargeFleet


@pytest.fixture
def fleet_of() -> Callable[[int], LargeFleet]:
    """Return a factory of fleets, by size; all members know the same three seeds."""
    return LargeFleet
