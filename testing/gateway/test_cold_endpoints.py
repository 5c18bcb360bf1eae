"""Endpoints that are cold: who knows it, and what they get."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import cast

import attrs
import pytest

from chiveslip.audit import AuditTrail
from chiveslip.clock import ManualClock
from chiveslip.gateway.call import Call
from chiveslip.gateway.call import SendGrant
from chiveslip.gateway.catalogue import Catalogue
from chiveslip.gateway.cold_endpoints import MAX_COLD_S
from chiveslip.gateway.cold_endpoints import ColdEndpoints
from chiveslip.gateway.cold_endpoints import prefer_warm
from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_limits import make_limit
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoint_statements import Incarnation
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.evacuations import Evacuations
from chiveslip.gateway.routing import Service
from chiveslip.platform.catalogue_updater import CatalogueUpdater
from chiveslip.settings.fields import Address
from chiveslip.store.client import Item
from chiveslip.store.client import StoreRevision
from chiveslip.store.contact import StoreContact
from chiveslip.store.mirror import STORE_SOURCE
from testing.gateway.limits import make_limit_requests

E1 = Incarnation("e1", 1, Address("10.0.0.1", 80))
RESTARTED = Incarnation("e1", 2, Address("10.0.0.1", 80))
COLD_PER_S = 11.0
COLD_START_S = 3.0


def service(**changes: float) -> Service:
    limits = {"cold_per_s": COLD_PER_S, "cold_start_s": COLD_START_S} | changes
    return Service(name="llm", max_connections=9, **limits)


def make_cold(**changes: float) -> ColdEndpoints:
    return ColdEndpoints(lambda _endpoint: service(**changes))


@pytest.mark.parametrize(
    ("remaining_s", "cold_s"),
    [
        (3.0, 3.0),
        (0.0, 0.0),
        (-1.0, 0.0),
        (float("nan"), 0.0),
        (float("inf"), 0.0),
        (1e6, MAX_COLD_S),
    ],
)
def test_time_that_is_said_is_believed_within_bounds(
    remaining_s: float, cold_s: float
) -> None:
    cold = make_cold()
    cold.record(E1, remaining_s, 10.0, source="e1")
    assert (cold.find(E1, 10.0 + cold_s - 0.01) is not None) == (cold_s > 0)
    assert cold.find(E1, 10.0 + cold_s) is None


def test_service_without_a_rate_has_no_limit() -> None:
    cold = make_cold(cold_per_s=0.0)
    cold.record(E1, 3.0, 10.0, source="e1")
    assert cold.find(E1, 10.0) is None
    assert cold.current(10.0) == []


def test_another_start_of_an_endpoint_is_not_cold_for_it() -> None:
    cold = make_cold()
    cold.record(E1, 3.0, 10.0, source="e1")
    assert cold.find(RESTARTED, 10.0) is None


def test_two_instances_that_tell_each_other_let_a_time_end() -> None:
    """Each message takes some time, which a receiver cannot know."""
    one, other = make_cold(), make_cold()
    one.record(E1, 3.0, 0.0, source="e1")
    now = 0.0
    while now < 30.0:
        for teller, hearer in ((one, other), (other, one)):
            told = [(t.incarnation, t.until - now) for t in teller.current(now)]
            now += 0.3
            for incarnation, remaining_s in told:
                hearer.record_told(incarnation, remaining_s, now, peer="peer")
        if not one.current(now) and not other.current(now):
            break
    assert now < 3.0 + 1.5


def test_instance_that_has_heard_nobody_takes_endpoints_for_cold() -> None:
    """An evacuation may have been revoked just before its start."""
    is_unsure = True
    cold = ColdEndpoints(lambda _endpoint: service(), lambda: is_unsure, 10.0)
    assert not cold.is_empty
    assert cold.find(E1, 12.9) is not None
    assert cold.find(E1, 13.1) is None
    is_unsure = False
    assert cold.is_empty
    assert cold.find(E1, 12.9) is None


@pytest.mark.parametrize(
    ("named", "expected"), [(None, 11.0), (4.0, 4.0), (200.0, 11.0)]
)
def test_lower_of_two_limits_holds(named: float | None, expected: float) -> None:
    clock = ManualClock()
    limits = EndpointLimits(clock, make_cold())
    if named is not None:
        limits.record_named(E1, named)
    limits.record_cold(E1, 3.0)
    limit = limits.find(E1)
    assert limit is not None
    assert (limit.requests_per_s, limit.is_cold) == (expected, True)
    assert E1 in limits.limited()
    clock.advance(3.0)
    limit = limits.find(E1)
    assert (None if limit is None else limit.requests_per_s) == named


def test_grantor_believes_a_peer_that_an_endpoint_is_cold_for_its_grant_alone() -> None:
    """The peer may have read an old entry; the grantor's own requests go on."""
    clock = ManualClock()
    limits = EndpointLimits(clock, make_cold())
    told = make_limit(E1, 11.0, 0.0, clock.now(), cold_s=3.0)
    assert told is not None
    assert limits.find_told(told).is_cold
    assert limits.find(E1) is None


@attrs.define(eq=False)
class SendCall:
    send_grant: SendGrant | None = None


def test_grant_for_a_cold_endpoint_is_not_prolonged() -> None:
    """Given back and taken again, it would be used when others are granted, too."""
    clock = ManualClock()
    limits = EndpointLimits(clock, make_cold())
    limits.record_cold(E1, 10.0)
    requests = make_limit_requests(limits, clock)
    endpoint = cast("object", type("Listed", (), {"incarnation": E1}))
    call = cast(Call, SendCall())
    assert asyncio.run(requests.may_send(call, endpoint))  # type: ignore[arg-type]
    assert call.send_grant is not None
    expires_at = call.send_grant.expires_at
    assert expires_at - clock.now() < 0.5
    for _ in range(3):
        clock.advance(0.05)
        requests.give_back(call)
        assert asyncio.run(requests.may_send(call, endpoint))  # type: ignore[arg-type]
        assert call.send_grant is not None
        assert call.send_grant.expires_at == expires_at


@pytest.mark.parametrize(
    ("holding", "expected"),
    [
        pytest.param("", ["w1", "w2"], id="none-holds-it"),
        pytest.param("w1", ["w1", "w2"], id="a-warm-one-holds-it"),
        pytest.param("c1", ["c1", "w1", "w2"], id="a-cold-one-holds-it"),
        pytest.param("c1 w2", ["w1", "w2"], id="both-hold-it"),
    ],
)
def test_warm_endpoints_are_preferred_unless_only_cold_ones_hold_the_adapter(
    holding: str, expected: list[str]
) -> None:
    names = ["c1", "w1", "w2"]
    found = prefer_warm(names, lambda n: n[0] == "c", lambda n: n in holding.split())
    assert found == expected
    assert prefer_warm(["c1"], lambda _: True) == ["c1"]


@attrs.define
class StoreHarness:
    """A catalogue that is fed with entries of one service."""

    updater: CatalogueUpdater
    cold: ColdEndpoints
    clock: ManualClock
    revision: int = 10

    def write(self, key: str, document: object, *, era: int = 0) -> None:
        value = None if document is None else json.dumps(document).encode()
        revision = StoreRevision(era, self.revision)
        self.updater.apply_change(
            Item(key=key, value=value, revision=revision), STORE_SOURCE
        )
        self.revision += 1

    def register(self, name: str, *, zone: str = "dundee", **changes: object) -> None:
        entry = {
            "service": "llm",
            "address": "10.0.0.1:80",
            "zone": zone,
            "state": "ready",
            "born": 1,
        }
        self.write(f"servers/{name}", entry | changes)

    def cold_names(self) -> list[str]:
        now = self.clock.now()
        return sorted(t.incarnation.endpoint for t in self.cold.current(now))


@pytest.fixture
def make_store() -> Callable[..., StoreHarness]:
    def build(**changes: float) -> StoreHarness:
        clock = ManualClock()
        evacuations = Evacuations()
        cold = ColdEndpoints(lambda name: catalogue.find_service(name))
        directory = EndpointDirectory(
            EndpointStatements(clock),
            limits=EndpointLimits(clock, cold),
            evacuations=evacuations,
        )
        catalogue = Catalogue(
            directory=directory,
            view=EngineView(),
            audit=AuditTrail("node-1", 10),
            clock=clock,
            store_contact=StoreContact(clock),
            evacuations=evacuations,
            cold=cold,
        )
        harness = StoreHarness(CatalogueUpdater(catalogue), cold, clock)
        limits = {"cold_per_s": COLD_PER_S, "cold_start_s": COLD_START_S} | changes
        table = {"version": 1, "services": [{"name": "llm", **limits}], "routes": []}
        harness.write("op/config", table)
        return harness

    return build


MakeStore = Callable[..., StoreHarness]


@pytest.mark.parametrize(
    ("field", "is_cold"),
    [
        (3000, True),
        (2500.5, True),
        (0, False),
        (-5, False),
        ("3000", False),
        (None, False),
        (True, False),
        ([], False),
    ],
)
def test_entry_says_that_an_endpoint_is_cold(
    make_store: MakeStore, field: object, is_cold: bool
) -> None:
    """An unreadable time must not make the endpoint unusable."""
    store = make_store()
    store.register("e1", cold_remaining_ms=field)
    assert store.cold_names() == (["e1"] if is_cold else [])


def test_entry_without_the_field_is_not_cold(make_store: MakeStore) -> None:
    store = make_store()
    store.register("e1")
    assert store.cold_names() == []


def test_endpoints_are_cold_after_their_evacuation(make_store: MakeStore) -> None:
    store = make_store()
    store.register("e1")
    store.register("e2", zone="glasgow")
    store.write("op/evacuate/dundee", {})
    store.write("op/evacuate/dundee", None)
    assert store.cold_names() == ["e1"]
    store.clock.advance(COLD_START_S - 0.5)
    store.register("e3")
    assert store.cold_names() == ["e1", "e3"]
    store.clock.advance(0.6)
    assert store.cold_names() == []


def test_removal_of_an_unknown_evacuation_makes_nothing_cold(
    make_store: MakeStore,
) -> None:
    store = make_store()
    store.register("e1")
    store.write("op/evacuate/dundee", None)
    assert store.cold_names() == []


def test_entries_of_an_older_copy_do_not_make_their_endpoints_cold_again(
    make_store: MakeStore,
) -> None:
    """All entries are read anew, and say for how long they were cold long ago."""
    store = make_store()
    store.register("e1", cold_remaining_ms=3000)
    store.clock.advance(60.0)
    store.revision -= 1
    store.register("e1", cold_remaining_ms=3000)
    assert store.cold_names() == []
    store.register("e1", cold_remaining_ms=3000)
    assert store.cold_names() == ["e1"]


def test_peers_are_not_told_of_entries_that_may_be_old(make_store: MakeStore) -> None:
    store = make_store()
    store.register("e1", cold_remaining_ms=9000)
    store.clock.advance(5.0)
    store.register("e2", cold_remaining_ms=9000)
    times = store.cold.current(store.clock.now())
    assert [(t.incarnation.endpoint, t.is_told) for t in times] == [
        ("e1", False),
        ("e2", True),
    ]
