"""Who delivers a request: this instance or a peer."""

from __future__ import annotations

import attrs
import pytest

from chiveslip.clock import ManualClock
from chiveslip.gateway.delivery import Deliveries
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.paths import EndpointPaths
from chiveslip.gateway.rooms import EndpointRooms
from chiveslip.gateway.rooms import divide_slots
from chiveslip.settings.fields import Address

SERVICE = "llm"
ENGINES = ("e1", "e2", "e3", "e4")
SLOTS = 6
INSTANCES = tuple(f"instance-{n}" for n in range(20))
ADAPTER = "m/a1"


def endpoint(name: str) -> ListedEndpoint:
    return ListedEndpoint(
        id=name,
        service=SERVICE,
        address=Address("10.0.0.1", 8000 + ENGINES.index(name)),
        data_centre="glasgow",
        slots=SLOTS,
        state=EndpointState.READY,
        started=1,
    )


class Scene:
    """An instance of a fleet of 20, and four engines of which one holds the adapter."""

    def __init__(self, instance: str, holding: str = "e1") -> None:
        clock = ManualClock()
        self.without_paths: set[str] = set()
        self.rooms = EndpointRooms(instance, lambda: INSTANCES, clock)
        directory = EndpointDirectory(EndpointStatements(clock), self.rooms.has_room)
        self.directory = directory
        for name in ENGINES:
            directory.put(endpoint(name))
        self.paths = EndpointPaths(clock, lambda _service: set(ENGINES))
        self.deliveries = Deliveries(
            instance=instance,
            directory=directory,
            paths=self.paths,
            rooms=self.rooms,
            live_instances=lambda: INSTANCES,
            has_adapter=lambda engine, adapter: (engine, adapter) == (holding, ADAPTER),
            without_paths=lambda _service: self.without_paths,
        )

    def lose(self, *endpoints: str) -> None:
        for name in endpoints:
            self.paths.record_not_opened(SERVICE, name)

    def become_brittle(self) -> None:
        self.rooms.record_brittle(SERVICE, float(SLOTS), 0.0, source="e1")


@pytest.mark.parametrize(
    ("unreached", "is_local_first", "is_local_possible", "can_deliver"),
    [
        pytest.param((), True, True, True, id="no loss"),
        pytest.param(ENGINES[:2], True, True, True, id="two have failed"),
        pytest.param(ENGINES[:3], False, True, False, id="one may be reached"),
        pytest.param(ENGINES, False, False, False, id="none is reached"),
    ],
)
def test_peers_deliver_while_the_paths_are_lost(
    unreached: tuple[str, ...],
    is_local_first: bool,
    is_local_possible: bool,
    can_deliver: bool,
) -> None:
    scene = Scene(INSTANCES[0])
    scene.lose(*unreached)
    delivery = scene.deliveries.choose(SERVICE, ADAPTER)
    assert delivery.is_local_first is is_local_first
    assert delivery.is_local_possible is is_local_possible
    assert scene.deliveries.can_deliver(SERVICE) is can_deliver
    assert scene.deliveries.find_peers(SERVICE) == sorted(INSTANCES[1:])


def test_instance_that_knows_no_endpoint_yet_takes_no_request_of_a_peer() -> None:
    assert not Scene(INSTANCES[0]).deliveries.can_deliver("unknown")


@pytest.mark.parametrize(
    ("without_paths", "peers"),
    [
        pytest.param(INSTANCES[1:19], INSTANCES[19:], id="one has paths"),
        pytest.param(INSTANCES[1:], INSTANCES[1:], id="none says that it has paths"),
    ],
)
def test_peers_that_have_lost_their_paths_are_not_asked(
    without_paths: tuple[str, ...], peers: tuple[str, ...]
) -> None:
    scene = Scene(INSTANCES[0])
    scene.lose(*ENGINES)
    scene.without_paths = set(without_paths)
    assert scene.deliveries.find_peers(SERVICE) == sorted(peers)


def holders_of(engine: str) -> set[str]:
    """Return the instances with a share of a brittle engine's slots."""
    return set(divide_slots(engine, SLOTS, INSTANCES, float(SLOTS)))


@pytest.mark.parametrize("instance", INSTANCES)
def test_request_goes_to_an_instance_with_room_where_its_adapter_is(
    instance: str,
) -> None:
    scene = Scene(instance)
    assert scene.deliveries.choose(SERVICE, ADAPTER).is_local_first
    scene.become_brittle()
    delivery = scene.deliveries.choose(SERVICE, ADAPTER)
    has_other_room = any(instance in holders_of(engine) for engine in ENGINES)
    assert delivery.is_local_first is (instance in holders_of("e1"))
    assert delivery.is_local_possible is has_other_room
    assert set(scene.deliveries.find_peers(SERVICE, ADAPTER)) == (
        holders_of("e1") - {instance}
    )


def test_adapter_that_no_engine_holds_may_be_loaded_wherever_there_is_room() -> None:
    (instance, *_) = holders_of("e2") - holders_of("e1")
    scene = Scene(instance, holding="")
    scene.become_brittle()
    assert scene.deliveries.choose(SERVICE, ADAPTER).is_local_first


def test_room_in_another_region_does_not_count_for_a_restricted_request() -> None:
    """It would be refused here although a peer has room where it may be sent."""
    instance = min(set().union(*map(holders_of, ENGINES)))
    scene = Scene(instance)
    scene.become_brittle()
    elsewhere = [name for name in ENGINES if instance in holders_of(name)]
    assert 0 < len(elsewhere) < len(ENGINES)
    for name in elsewhere:
        moved = attrs.evolve(endpoint(name), data_centre="york")
        scene.directory.put(moved)
    assert scene.deliveries.choose(SERVICE).is_local_first
    allowed = frozenset({"glasgow"})
    delivery = scene.deliveries.choose(SERVICE, "", allowed)
    assert not delivery.is_local_first
    assert not delivery.is_local_possible
    holders: set[str] = set()
    holders.update(*(holders_of(name) for name in ENGINES if name not in elsewhere))
    assert set(scene.deliveries.find_peers(SERVICE, "", allowed)) == holders
