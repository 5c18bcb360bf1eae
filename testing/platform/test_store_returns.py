"""What is known does not go back when the store returns, at each step."""

from __future__ import annotations

import pytest

from testing.platform.store_returns import RETURN_STEPS
from testing.platform.store_returns import run_return
from testing.simulation.switches import STORE_SWITCHES

pytestmark = pytest.mark.xdist_group("sockets")


@pytest.mark.parametrize("step", RETURN_STEPS)
async def test_invariants_hold_across_a_return(step: str) -> None:
    assert await run_return(step) == []


@pytest.mark.parametrize("step", RETURN_STEPS)
@pytest.mark.parametrize("name", STORE_SWITCHES)
async def test_step_detects_disabled_mechanism(
    name: str, step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    STORE_SWITCHES[name](monkeypatch)
    assert await run_return(step) != []
