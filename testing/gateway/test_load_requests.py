"""What an instance remembers of the answers of coordinators."""

from __future__ import annotations

import asyncio
import math
from typing import cast

import pytest

from chiveslip.clock import ManualClock
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.gateway.adapter_waits import SlotNeed
from chiveslip.gateway.engine_coordinator import EngineCoordinator
from chiveslip.gateway.engine_coordinator import LoadOutcome
from chiveslip.gateway.engine_coordinator import LoadResult
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.load_requests import LoadRequests

# Longer than any hold-off of a small fleet.
LATER_S = 10.0


class HeldOff:
    """A coordinator at another instance that answers that it holds off."""

    def __init__(self, held_s: float) -> None:
        self.rights = self
        self._held_s = held_s

    def coordinator_of(self, engine: str) -> str:
        return "other"

    async def load(
        self,
        peer: str,
        engine: str,
        adapter: Adapter,
        max_wait_s: float,
        need: SlotNeed,
    ) -> LoadResult:
        return LoadResult(outcome=LoadOutcome.HELD_OFF, ready_in_s=self._held_s)


@pytest.mark.parametrize("held_s", [3.8, -1.0, 1e9, math.inf, math.nan])
def test_answer_about_a_hold_off_does_not_block_an_engine_for_good(
    held_s: float,
) -> None:
    clock, view, other = ManualClock(), EngineView(), HeldOff(held_s)
    requests = LoadRequests(
        instance="here",
        coordinator=cast(EngineCoordinator, other),
        peers=cast(GatewayPeers, other),
        view=view,
        clock=clock,
    )
    asyncio.run(requests.request_adapter("engine", ("m/a", 1), 5.0))
    clock.advance(LATER_S)
    assert view.loads_held_s("engine", clock.now()) == 0.0
