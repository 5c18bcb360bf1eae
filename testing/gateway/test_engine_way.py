"""A request goes to an engine that can answer it, also after it waited."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs
import pytest

from chiveslip.clock import ManualClock
from chiveslip.gateway.call import Call
from chiveslip.gateway.dialect import RequestFacts
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.engine_way import EngineWay
from chiveslip.gateway.forwarding import Target
from chiveslip.gateway.loads import LoadTimes
from chiveslip.gateway.ordering import Loaded
from chiveslip.gateway.ordering import LoadOutcome
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.routing import EngineLimits
from chiveslip.gateway.routing import Repeat
from chiveslip.gateway.routing import Route
from chiveslip.gateway.routing import RoutingTable
from chiveslip.gateway.routing import Service
from chiveslip.results import Refusal
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address

LIMITS = EngineLimits(
    slots=64,
    cache_tokens=100_000,
    adapter_places=4,
    models={"m": 100.0},
    memory_mb=150.0,
    model_loads_per_s=2.0,
)
ROUTE = Route(
    name="draft",
    host="h",
    prefix="/",
    is_stream=True,
    repeat=Repeat.ONCE,
    timeout_s=15.0,
    target_s=0.8,
    patience_s=3.2,
    priority=1,
    services=(("llm", 1.0),),
    most_tries=1,
    is_public=True,
)
TABLE = RoutingTable(
    version=1,
    routes={},
    services={"llm": Service(name="llm", most_connections=9, engine=LIMITS)},
    keys={},
    needs_keys=False,
)


def engine(name: str, state: EndpointState = EndpointState.READY) -> ListedEndpoint:
    return ListedEndpoint(
        id=name,
        service="llm",
        address=Address("10.0.0.1", 1),
        data_centre="here",
        slots=64,
        state=state,
        started=1,
        models=("m",),
    )


@attrs.define
class Scene:
    """Two engines, and what an orderer answers."""

    way: EngineWay
    directory: EndpointDirectory
    clock: ManualClock
    asked: list[str] = attrs.field(factory=list)
    answer: Callable[[str], Loaded] = lambda _: Loaded(outcome=LoadOutcome.USABLE)

    async def ask(self, name: str, adapter: Adapter, patience_s: float) -> Loaded:
        self.asked.append(name)
        return self.answer(name)

    def choose(self) -> Target | Refusal:
        now = self.clock.now()
        call = Call(
            request=None,  # type: ignore[arg-type]
            reply=None,  # type: ignore[arg-type]
            facts=RequestFacts(
                request_id="r",
                key="",
                patience_s=None,
                model="m",
                adapter="a1",
                prompt_tokens=100,
                output_tokens=10,
                last_event="",
            ),
            table=TABLE,
            route=ROUTE,
            organisation=None,
            service="llm",
            arrived_at=now,
            deadline=now + ROUTE.timeout_s,
            units=0.0,
            fingerprint="",
        )
        return asyncio.run(self.way.choose(call))


@pytest.fixture
def scene() -> Scene:
    clock = ManualClock()
    directory = EndpointDirectory()
    view = EngineView()
    times = LoadTimes(fetch_s=0.25, reload_s=0.025, most_fetches=8)
    for name in ("e1", "e2"):
        directory.put(engine(name))
        view.seen(name, 1, frozenset({"m"}), frozenset(), clock.now())
    made = Scene(None, directory, clock)  # type: ignore[arg-type]
    made.way = EngineWay(
        directory=directory,
        view=view,
        placement=Placement(
            view,
            EndpointHealth(),
            times,
            instances=lambda: 6,
            generator=random.Random(1),
        ),
        load_requests=made,  # type: ignore[arg-type]
        load_times=times,
        versions=lambda _: 1,
        clock=clock,
    )
    return made


def test_engine_that_began_to_leave_meanwhile_is_not_sent_to(scene: Scene) -> None:
    def first_leaves(name: str) -> Loaded:
        if len(scene.asked) == 1:
            scene.directory.put(engine(name, EndpointState.LEAVING))
        return Loaded(outcome=LoadOutcome.USABLE)

    scene.answer = first_leaves
    target = scene.choose()
    assert isinstance(target, Target)
    assert target.endpoint.id == scene.asked[1] != scene.asked[0]


def test_engine_that_is_gone_meanwhile_is_not_sent_to(scene: Scene) -> None:
    def all_go(name: str) -> Loaded:
        scene.directory.remove(name)
        return Loaded(outcome=LoadOutcome.USABLE)

    scene.answer = all_go
    refusal = scene.choose()
    assert isinstance(refusal, Refusal)
    assert "leaves" in refusal.detail


@pytest.mark.parametrize(
    ("loaded", "come_back_s"),
    [
        pytest.param(
            Loaded(outcome=LoadOutcome.TOO_LATE, after_s=4.0), 4.0, id="too-late"
        ),
        pytest.param(
            Loaded(outcome=LoadOutcome.USABLE, after_s=5.0), 5.0, id="usable-too-late"
        ),
        pytest.param(Loaded(outcome=LoadOutcome.NOT_HOME), 0.3, id="no-orderer"),
        pytest.param(Loaded(outcome=LoadOutcome.NO_ROOM), 0.3, id="no-room"),
    ],
)
def test_refusal_says_when_the_adapter_could_be_there(
    scene: Scene, loaded: Loaded, come_back_s: float
) -> None:
    scene.answer = lambda _: loaded
    refusal = scene.choose()
    assert isinstance(refusal, Refusal)
    assert refusal.advised_retry_after_s == pytest.approx(come_back_s)
