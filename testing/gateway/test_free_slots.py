"""Requests are refused for want of adapter slots while other engines have some free."""

from __future__ import annotations

import random

import pytest

from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.free_slots import FreeSlots
from chiveslip.gateway.load_times import LoadTimes
from chiveslip.gateway.placement import Choice
from chiveslip.gateway.placement import Placement
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.services.health import EndpointHealth
from chiveslip.settings.fields import Address

ADAPTER_SLOTS = 10
CAPACITY = EngineCapacity(
    slots=16,
    cache_tokens=71_552,
    adapter_slots=ADAPTER_SLOTS,
    models={"m": 1.0},
    memory_mb=2.0,
    model_loads_per_s=1.0,
)
NOW = 100.0


@pytest.mark.parametrize(
    ("free", "age_s", "requests", "at_least", "at_most"),
    [
        pytest.param(None, 0.0, None, 0.0, 0.0, id="older-coordinator-tells-none"),
        pytest.param(0, 0.0, None, 0.95, 1.0, id="no-slot"),
        pytest.param(0, 6.0, None, 0.0, 0.05, id="no-slot-long-ago"),
        pytest.param(1, 0.0, None, 0.03, 0.1, id="last-slot-may-be-taken"),
        pytest.param(5, 0.0, None, 0.0, 0.01, id="many-slots"),
        pytest.param(0, 0.5, 3, 0.0, 0.01, id="engine-reports-few-requests"),
        pytest.param(0, 0.0, 16, 0.95, 1.0, id="engine-reports-many-requests"),
    ],
)
def test_shortage_of_slots_follows_from_what_was_told_and_its_age(
    free: int | None,
    age_s: float,
    requests: int | None,
    at_least: float,
    at_most: float,
) -> None:
    slots = FreeSlots()
    slots.record_told("e", free, NOW - age_s)
    if requests is not None:
        slots.record_requests("e", requests, NOW)
    assert at_least <= slots.shortage("e", ADAPTER_SLOTS, NOW) <= at_most


def test_own_loads_take_the_free_slots_that_were_told() -> None:
    """All requests of an instance would go to the engine that had one free slot."""
    slots = FreeSlots()
    slots.record_told("e", 1, NOW)
    slots.record_taken("e")
    assert slots.shortage("e", ADAPTER_SLOTS, NOW) == 1.0


def _choose(view: EngineView, free: dict[str, int | None]) -> Choice:
    engines = [
        ListedEndpoint(
            id=name,
            service="llm",
            address=Address("10.0.0.1", 8000),
            data_centre="one",
            slots=16,
            state=EndpointState.READY,
            started=1,
            models=("m",),
        )
        for name in free
    ]
    for name, count in free.items():
        state = EngineStateUpdate(
            engine=name,
            started=1,
            models=frozenset({"m"}),
            adapters=frozenset(),
            running=0,
            waiting=0,
            cache_used=0,
            age_s=0.1,
            told_s=0.1,
            free_adapter_slots=count,
        )
        view.apply_coordinator_report("peer", state, NOW)
    placement = Placement(
        view,
        EndpointHealth(),
        LoadTimes(fetch_s=0.25, reload_s=0.025, max_full_speed_fetches=40),
        failures=EngineFailures(),
        speeds=EngineSpeeds(),
        instance_count=lambda: 81,
        generator=random.Random(1),
    )
    choice = placement.choose_engine(engines, CAPACITY, "m", ("m/a", 1), 500.0, (), NOW)
    assert choice is not None
    return choice


@pytest.mark.parametrize("roomy", ["e0", "e7", "e19"])
def test_engine_with_a_free_slot_is_asked_first(roomy: str) -> None:
    """Each request asks three engines at most; blind choices found no room."""
    free: dict[str, int | None] = dict.fromkeys((f"e{n}" for n in range(20)), 0)
    view = EngineView(lambda: False)
    choice = _choose(view, free | {roomy: 4})
    assert choice.engine.id == roomy


def test_engine_that_had_no_room_is_not_asked_next() -> None:
    """The next request for the same adapter would be turned away, too."""
    view = EngineView(lambda: False)
    free: dict[str, int | None] = dict.fromkeys((f"e{n}" for n in range(20)), 4)
    first = _choose(view, free).engine.id
    view.record_no_room(first, NOW)
    shortage = view.slot_shortage(first, ADAPTER_SLOTS, NOW + 0.1)
    assert shortage > 0.9


def test_small_fleet_chooses_by_the_uses_that_it_knows() -> None:
    view = EngineView(lambda: True)
    view.record_no_room("e", NOW)
    assert view.slot_shortage("e", ADAPTER_SLOTS, NOW) == 0.0
