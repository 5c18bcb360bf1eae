"""Load requests: a coordinator that does not answer costs few requests their time."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from chiveslip.clock import ManualClock
from chiveslip.fleet.channels import PeerError
from chiveslip.gateway.engine_coordinator import LoadOutcome
from chiveslip.gateway.engine_coordinator import LoadResult
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.load_requests import LoadRequests

ADAPTER = ("m/a", 1)


@attrs.define
class ScriptedPeers:
    """Coordinators that answer, or do not."""

    silent: set[str]
    asked: list[str] = attrs.field(factory=list)

    async def load(
        self, peer: str, engine: str, adapter: tuple[str, int], max_wait_s: float
    ) -> LoadResult:
        self.asked.append(peer)
        if peer in self.silent:
            raise PeerError("no reply in time")
        return LoadResult(outcome=LoadOutcome.USABLE)


@attrs.define
class LoadHarness:
    """Load requests of an instance that coordinates no engine itself."""

    requests: LoadRequests
    peers: ScriptedPeers
    clock: ManualClock

    def load(self, engine: str) -> LoadOutcome:
        load = self.requests.request_adapter(engine, ADAPTER, 1.0)
        return asyncio.run(load).outcome


@pytest.fixture
def harness() -> LoadHarness:
    """Return a harness in which `peer-N` coordinates `engine-N`."""
    clock = ManualClock()
    peers = ScriptedPeers(silent={"peer-1"})
    rights = SimpleNamespace(
        coordinator_of=lambda engine: engine.replace("engine", "peer")
    )
    requests = LoadRequests(
        instance="self",
        coordinator=SimpleNamespace(rights=rights),  # type: ignore[arg-type]
        peers=peers,  # type: ignore[arg-type]
        view=EngineView(),
        clock=clock,
    )
    return LoadHarness(requests, peers, clock)


def test_silent_coordinator_is_not_asked_again_at_once(harness: LoadHarness) -> None:
    assert harness.load("engine-1") is LoadOutcome.NO_ANSWER
    assert harness.load("engine-1") is LoadOutcome.NO_ANSWER
    assert harness.load("engine-1") is LoadOutcome.NOT_ASKED
    assert harness.peers.asked == ["peer-1", "peer-1"]
    assert harness.load("engine-2") is LoadOutcome.USABLE


def test_coordinator_that_answers_again_is_used(harness: LoadHarness) -> None:
    harness.load("engine-1")
    harness.load("engine-1")
    harness.peers.silent.clear()
    harness.clock.advance(1.5)
    assert harness.load("engine-1") is LoadOutcome.USABLE
    assert harness.load("engine-1") is LoadOutcome.USABLE
