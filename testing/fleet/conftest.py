"""Fleets of gateways in virtual time."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from bench.large_fleet import LargeFleet


@pytest.fixture
def fleet_of() -> Callable[[int], LargeFleet]:
    """Return a builder of fleets whose members know three seeds."""
    return LargeFleet
