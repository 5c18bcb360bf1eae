"""Nothing is sent to an evacuated data centre, whichever way a request takes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from collections.abc import Iterator

import attrs
import pytest
from structlog.testing import capture_logs
from tornado.httputil import HTTPHeaders

from chiveslip import logs
from chiveslip.audit import AuditTrail
from chiveslip.clock import ManualClock
from chiveslip.gateway.catalogue import Catalogue
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.evacuations import Evacuations
from chiveslip.gateway.handover import ForwardedRequest
from chiveslip.platform.catalogue_updater import CatalogueUpdater
from chiveslip.settings.fields import Address
from chiveslip.store.client import Item
from chiveslip.store.client import StoreRevision
from chiveslip.store.contact import StoreContact
from chiveslip.store.mirror import STORE_SOURCE
from testing.gateway.conftest import FAILS
from testing.gateway.conftest import RESETS
from testing.gateway.conftest import SHEDS
from testing.gateway.conftest import Behaviour
from testing.gateway.conftest import GatewayHarness
from testing.gateway.conftest import RecordingReply

DUNDEE = ("i-0", "i-1")


def endpoint(name: str, data_centre: str, **changes: object) -> ListedEndpoint:
    listed = ListedEndpoint(
        id=name,
        service="llm",
        address=Address("10.0.0.1", 8000),
        data_centre=data_centre,
        slots=6,
        state=EndpointState.READY,
        started=1,
        models=("m",),
        adapters=frozenset({("m/a", 1)}),
    )
    return attrs.evolve(listed, **changes)  # type: ignore[arg-type]


@attrs.define
class UpdaterHarness:
    """A catalogue with an engine in each of two data centres, fed with entries."""

    updater: CatalogueUpdater
    directory: EndpointDirectory
    evacuations: Evacuations
    view: EngineView
    clock: ManualClock
    revision: int = 0

    def write(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        item = Item(key=key, value=value, revision=StoreRevision(0, self.revision))
        self.updater.apply_change(item, STORE_SOURCE)


@pytest.fixture
def harness() -> UpdaterHarness:
    clock = ManualClock()
    evacuations = Evacuations()
    directory = EndpointDirectory(EndpointStatements(clock), evacuations=evacuations)
    view = EngineView()
    catalogue = Catalogue(
        directory=directory,
        view=view,
        audit=AuditTrail("node-1", 10),
        clock=clock,
        store_contact=StoreContact(clock),
        evacuations=evacuations,
    )
    for listed in (endpoint("e1", "dundee"), endpoint("e2", "glasgow")):
        catalogue.update_endpoint(listed, STORE_SOURCE)
    updater = CatalogueUpdater(catalogue)
    return UpdaterHarness(updater, directory, evacuations, view, clock)


def usable(directory: EndpointDirectory) -> set[str]:
    """Return the engines that each of the ways to an endpoint allows."""
    ways = [
        {e.id for e in directory.find_ready("llm")},
        {e.id for e in directory.find_available("llm")},
        {e.id for e in directory.by_id.values() if directory.accepts_work(e)},
    ]
    assert ways[0] == ways[1] == ways[2]
    return ways[0]


@pytest.mark.parametrize("value", [b"{}", b"", b"\x00", b'{"reason": "fire"}'])
def test_key_of_any_value_evacuates_its_data_centre(
    harness: UpdaterHarness, value: bytes
) -> None:
    harness.write("op/evacuate/dundee", value)
    assert usable(harness.directory) == {"e2"}
    harness.write("op/evacuate/dundee", None)
    assert usable(harness.directory) == {"e1", "e2"}


@pytest.mark.parametrize(
    "key", ["op/evacuate/", "op/evacuate/paisley", "op/evacuation/dundee", "op/other"]
)
def test_key_of_another_kind_evacuates_no_known_endpoint(
    harness: UpdaterHarness, key: str
) -> None:
    harness.write(key, b"{}")
    assert usable(harness.directory) == {"e1", "e2"}


def test_endpoint_that_appears_during_an_evacuation_gets_nothing(
    harness: UpdaterHarness,
) -> None:
    harness.write("op/evacuate/dundee", b"{}")
    harness.directory.put(endpoint("e3", "dundee"))
    harness.directory.put(endpoint("e1", "dundee", started=2))
    assert usable(harness.directory) == {"e2"}


def test_contents_of_an_evacuated_engine_stay_known(harness: UpdaterHarness) -> None:
    harness.write("op/evacuate/dundee", b"{}")
    harness.clock.advance(60.0)
    harness.write("op/evacuate/dundee", None)
    assert harness.view.ready_at("e1", ("m/a", 1)) is not None


def test_no_endpoint_of_an_evacuated_data_centre_is_probed(
    harness: UpdaterHarness,
) -> None:
    other = attrs.evolve(endpoint("k", "glasgow"), service="kiosk")
    harness.directory.remove("e2")
    generator = random.Random(1)
    assert harness.directory.sample_others(other, generator)
    harness.write("op/evacuate/dundee", b"{}")
    assert not harness.directory.sample_others(other, generator)


@pytest.fixture
def log_all_levels() -> Iterator[None]:
    logs.configure("console", "info")
    yield
    logs.configure("console", "error")


@pytest.mark.usefixtures("log_all_levels")
def test_each_evacuation_is_logged_once() -> None:
    """An operator follows an evacuation by three lines, not by one for each round."""
    with capture_logs() as lines:
        evacuations = Evacuations()
        evacuations.begin("dundee", 1.0, source="store")
        evacuations.begin("dundee", 2.0, source="peer")
        for at, running in [(3.0, 2), (4.0, 1), (5.0, 0), (6.0, 0)]:
            evacuations.record_running({"dundee": running}, at)
        evacuations.end("dundee", 7.0, source="store")
        evacuations.end("dundee", 8.0, source="peer")
        evacuations.record_running({}, 9.0)
    assert [(line["event"], line["data_centre"]) for line in lines] == [
        ("Evacuation begun.", "dundee"),
        ("Last request in an evacuated data centre ended.", "dundee"),
        ("Evacuation revoked.", "dundee"),
    ]
    assert lines[1]["after_s"] == 4.0
    assert lines[2]["lasted_s"] == 6.0


MakeGateway = Callable[..., GatewayHarness]


def move_to_dundee(gateway: GatewayHarness) -> None:
    for name in DUNDEE:
        known = gateway.directory.by_id[name]
        gateway.directory.put(attrs.evolve(known, data_centre="dundee"))


def count_sent(gateway: GatewayHarness) -> dict[str, int]:
    """Return how many requests were sent by endpoint."""
    counts: dict[str, int] = {}
    for outgoing in gateway.connector.sent:
        name = outgoing.headers.get("X-Expected-Instance", "")
        counts[name] = counts.get(name, 0) + 1
    return counts


@pytest.mark.parametrize(
    ("path", "script"),
    [
        pytest.param("/once/x", (), id="first"),
        pytest.param("/once/x", (SHEDS,), id="refused"),
        pytest.param("/freely/x", (RESETS,), id="retried"),
        pytest.param("/freely/x", (FAILS,), id="failed"),
        pytest.param(
            "/resumable/x",
            (Behaviour(chunks=(b"id: 1\n\n",), is_truncated=True),),
            id="resumed",
        ),
    ],
)
def test_no_attempt_is_made_in_an_evacuated_data_centre(
    make_gateway: MakeGateway, path: str, script: tuple[Behaviour, ...]
) -> None:
    for _ in range(6):
        gateway = make_gateway(*script)
        move_to_dundee(gateway)
        gateway.evacuations.begin("dundee", 0.0, source="store")
        gateway.send_request(path)
        counts = count_sent(gateway)
        assert sum(counts.values()) == len(script) + 1
        assert counts.keys().isdisjoint(DUNDEE)


def test_request_that_was_about_to_be_sent_goes_elsewhere(
    make_gateway: MakeGateway,
) -> None:
    """The evacuation begins while the connection to the endpoint is opened."""
    gateway = make_gateway()
    evacuated: list[str] = []

    def evacuate(address: Address) -> None:
        if evacuated:
            return
        chosen = gateway.directory.find_at(address)
        assert chosen is not None
        evacuated.append(chosen.id)
        gateway.directory.put(attrs.evolve(chosen, data_centre="dundee"))
        gateway.evacuations.begin("dundee", 0.0, source="store")

    gateway.connector.while_connecting = evacuate
    reply = gateway.send_request("/once/x")
    assert reply.status == 200
    assert evacuated
    assert count_sent(gateway).keys().isdisjoint(evacuated)


def test_request_is_refused_at_once_while_all_data_centres_are_evacuated(
    make_gateway: MakeGateway,
) -> None:
    gateway = make_gateway()
    gateway.evacuations.begin("glasgow", 0.0, source="store")
    reply = gateway.send_request("/once/x")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert not gateway.connector.exchanges


def test_request_of_a_peer_with_older_knowledge_is_checked_again(
    make_gateway: MakeGateway,
) -> None:
    gateway = make_gateway()
    gateway.evacuations.begin("glasgow", 0.0, source="store")
    request = ForwardedRequest(
        method="POST",
        target="/once/x",
        headers=HTTPHeaders({"Host": "kiosk.example"}),
        body=b"body",
        organisation="trust",
        service="kiosk",
        remaining_s=5.0,
        instance="there",
    )
    reply = RecordingReply()
    was_not_run = asyncio.run(gateway.gateway.handle_forwarded(request, reply))
    assert was_not_run
    assert reply.status == 503
    assert not gateway.connector.sent
