"""How long an endpoint whose entry was removed stays selectable."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from chiveslip.audit import AuditTrail
from chiveslip.clock import ManualClock
from chiveslip.gateway.catalogue import Catalogue
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_view import EngineView
from chiveslip.settings.fields import Address
from chiveslip.store.contact import PeerContact
from chiveslip.store.contact import StoreContact
from chiveslip.store.mirror import STORE_SOURCE

ENDPOINT = ListedEndpoint(
    id="i-1",
    service="kiosk",
    address=Address("10.0.0.1", 8000),
    data_centre="glasgow",
    slots=6,
    state=EndpointState.READY,
    started=1,
)
STEP_S = 0.05


@attrs.define
class CatalogueHarness:
    """A catalogue with one endpoint, on a store that was lost for a given time.

    Times are seconds after the store became reachable again.
    """

    catalogue: Catalogue
    directory: EndpointDirectory
    clock: ManualClock
    contact: StoreContact
    reconnected_at: float

    def advance_to(self, at: float) -> None:
        self.clock.advance(self.reconnected_at + at - self.clock.now())

    def remove(self, *, may_be_renewed: bool = True) -> None:
        self.catalogue.remove_endpoint(
            ENDPOINT.id, STORE_SOURCE, may_be_renewed=may_be_renewed
        )

    def dropped_after(self, *, is_reading: bool = True) -> float:
        """Return when the endpoint is dropped, if rounds of maintenance run often.

        Parameters
        ----------
        is_reading
            Whether a read of the store ends in each round.
        """
        while self.directory.accepts_work(ENDPOINT):
            self.clock.advance(STEP_S)
            if is_reading:
                self.contact.record_answer(knew_items=True)
            self.catalogue.drop_expired_endpoints()
            assert self.clock.now() < self.reconnected_at + 60.0
        return self.clock.now() - self.reconnected_at


@pytest.fixture
def make_harness() -> Callable[[float], CatalogueHarness]:
    def build(outage_s: float) -> CatalogueHarness:
        clock = ManualClock()
        directory = EndpointDirectory(EndpointStatements(clock))
        contact = StoreContact(clock)
        catalogue = Catalogue(
            directory=directory,
            view=EngineView(),
            audit=AuditTrail("node-1", 10),
            clock=clock,
            store_contact=contact,
        )
        contact.record_answer(knew_items=False)
        catalogue.update_endpoint(ENDPOINT, STORE_SOURCE)
        if outage_s > 0:
            contact.record_failure()
            clock.advance(outage_s)
            contact.record_answer(knew_items=True)
        return CatalogueHarness(catalogue, directory, clock, contact, clock.now())

    return build


MakeHarness = Callable[[float], CatalogueHarness]


@pytest.mark.parametrize(
    ("removed_at", "dropped_by"),
    [
        pytest.param(0.0, 2.0, id="expired-during-the-outage"),
        pytest.param(1.2, 2.0, id="removed-between-two-reads"),
        pytest.param(1.9, 2.0, id="removed-late"),
        pytest.param(2.1, 2.1, id="removed-later"),
    ],
)
def test_removed_endpoint_is_dropped_when_it_can_no_longer_be_renewed(
    make_harness: MakeHarness, removed_at: float, dropped_by: float
) -> None:
    harness = make_harness(10.0)
    harness.advance_to(removed_at)
    harness.remove()
    assert harness.dropped_after() <= dropped_by + STEP_S + 1e-6


def test_renewed_endpoint_stays(make_harness: MakeHarness) -> None:
    harness = make_harness(10.0)
    harness.advance_to(0.1)
    harness.remove()
    harness.advance_to(1.3)
    harness.catalogue.update_endpoint(ENDPOINT, STORE_SOURCE)
    harness.advance_to(9.0)
    harness.catalogue.drop_expired_endpoints()
    assert harness.directory.accepts_work(ENDPOINT)


def test_endpoint_that_peers_knew_to_be_removed_is_dropped_at_once(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(10.0)
    harness.advance_to(0.1)
    harness.remove(may_be_renewed=False)
    assert not harness.directory.accepts_work(ENDPOINT)


def test_removal_that_peers_knew_does_not_end_a_renewal_time(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(10.0)
    harness.advance_to(0.1)
    harness.remove()
    harness.remove(may_be_renewed=False)
    assert harness.directory.accepts_work(ENDPOINT)
    assert harness.dropped_after() <= 2.0 + STEP_S + 1e-6


def test_endpoint_removed_just_after_a_start_is_dropped_at_once(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(0.0)
    harness.advance_to(0.3)
    harness.remove()
    assert not harness.directory.accepts_work(ENDPOINT)


@pytest.mark.parametrize(
    ("reachable_s", "answered_s", "is_kept"),
    [
        pytest.param(20.0, 0.1, False, id="peer-was-answered-all-the-while"),
        pytest.param(20.0, 9.0, True, id="peer-was-not-answered-since"),
        pytest.param(0.3, 0.1, True, id="peer-lost-the-store-too"),
    ],
)
def test_peer_that_kept_the_store_shows_that_the_entry_did_not_expire(
    make_harness: MakeHarness, reachable_s: float, answered_s: float, is_kept: bool
) -> None:
    harness = make_harness(4.0)
    harness.advance_to(0.1)
    harness.remove()
    harness.advance_to(0.4)
    harness.contact.record_peer(
        PeerContact(reachable_s=reachable_s, answered_s=answered_s)
    )
    harness.catalogue.drop_expired_endpoints()
    assert harness.directory.accepts_work(ENDPOINT) == is_kept


def test_endpoint_that_was_not_renewed_is_dropped_before_the_next_read_ends(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(4.0)
    harness.advance_to(0.1)
    harness.remove()
    assert harness.dropped_after(is_reading=False) <= 2.0 + STEP_S + 1e-6


@pytest.mark.parametrize(
    ("is_lost", "dropped_by"),
    [pytest.param(False, 2.5, id="held-up"), pytest.param(True, 3.0, id="reads-fail")],
)
def test_instance_reads_before_it_drops_what_it_could_not_see_renewed(
    make_harness: MakeHarness, is_lost: bool, dropped_by: float
) -> None:
    harness = make_harness(4.0)
    harness.remove()
    if is_lost:
        harness.contact.record_failure()
    harness.advance_to(2.4)
    harness.catalogue.drop_expired_endpoints()
    assert harness.directory.accepts_work(ENDPOINT)
    dropped_after = harness.dropped_after(is_reading=False)
    assert dropped_after <= dropped_by + STEP_S + 1e-6
