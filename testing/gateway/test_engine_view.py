"""Engine view: which of several reports of an engine holds, and for how long."""

from __future__ import annotations

import pytest

from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.fleet.gossip_updates import EngineUseUpdate
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_view import EngineView

A, B = ("m/a", 1), ("m/b", 1)
PRESENT = float("-inf")


def coordinator_report(
    *adapters: tuple[str, int],
    started: int = 2,
    age_s: float = 0.0,
    told_s: float = 0.0,
    waiting: int = 0,
) -> EngineStateUpdate:
    return EngineStateUpdate(
        engine="e",
        started=started,
        models=frozenset({"m"}),
        adapters=frozenset(adapters),
        running=0,
        waiting=waiting,
        cache_used=0,
        age_s=age_s,
        told_s=told_s,
    )


def engine_report(
    *adapters: tuple[str, int], started: int = 2, running: int = 0, waiting: int = 0
) -> EngineReport:
    return EngineReport(
        started=started,
        accepted_orders=0,
        models=frozenset({"m"}),
        adapters=frozenset(adapters),
        loading_adapters=frozenset(),
        running=running,
        waiting=waiting,
        cache_used=0,
    )


@pytest.fixture
def view() -> EngineView:
    """Return the view of an instance of a large fleet."""
    return EngineView(receives_all_peers=lambda: False)


def test_report_of_an_earlier_start_restores_nothing(view: EngineView) -> None:
    view.apply_coordinator_report("peer", coordinator_report(A, started=2), 10.0)
    view.apply_coordinator_report("peer", coordinator_report(B, started=1), 10.1)
    assert view.ready_at("e", A) == PRESENT
    assert view.ready_at("e", B) is None


def test_adapter_that_never_arrived_is_not_expected_for_ever(view: EngineView) -> None:
    view.apply_coordinator_report("peer", coordinator_report(), 10.0)
    view.expect_adapter("e", A, 10.25)
    view.apply_coordinator_report("peer", coordinator_report(), 11.0)
    assert view.ready_at("e", A) == pytest.approx(10.25)
    view.apply_coordinator_report("peer", coordinator_report(), 13.0)
    assert view.ready_at("e", A) is None


@pytest.mark.parametrize(
    ("report", "usable"),
    [
        pytest.param(engine_report(A, B), {A}, id="may-be-being-dropped"),
        pytest.param(engine_report(B), set(), id="no-longer-there"),
        pytest.param(engine_report(B, started=3), {B}, id="restarted"),
    ],
)
def test_engine_report_confirms_what_its_coordinator_tells(
    view: EngineView, report: EngineReport, usable: set[tuple[str, int]]
) -> None:
    view.apply_coordinator_report("peer", coordinator_report(A), 10.0)
    view.apply_engine_report("e", report, 10.1)
    assert {a for a in (A, B) if view.ready_at("e", a) is not None} == usable


def test_old_coordinator_report_does_not_hide_a_load_read_since(
    view: EngineView,
) -> None:
    view.apply_engine_report("e", engine_report(waiting=9), 10.0)
    view.apply_coordinator_report("peer", coordinator_report(A, age_s=3.0), 10.1)
    assert view.pending_prefill_tokens("e", 10.1) > 8_000.0
    assert view.ready_at("e", A) == PRESENT


@pytest.mark.parametrize(
    ("uses", "in_use"),
    [
        pytest.param([(10.0, {A})], {A}, id="told-seven-seconds-ago"),
        pytest.param([(10.0, {A}), (11.0, set())], set(), id="end-was-told"),
        pytest.param([(10.0, {A}), (11.0, {B})], {B}, id="another-one-since"),
        pytest.param([(1.0, {A})], set(), id="end-cannot-be-told"),
    ],
)
def test_adapter_is_in_use_until_its_user_tells_the_contrary(
    view: EngineView,
    uses: list[tuple[float, set[tuple[str, int]]]],
    in_use: set[tuple[str, int]],
) -> None:
    for told_at, adapters in uses:
        update = EngineUseUpdate(
            engine="e",
            requests=len(adapters),
            pending_prefill_tokens=0.0,
            adapters=frozenset(adapters),
        )
        view.apply_peer_uses("peer", [update] if adapters else [], told_at)
    assert view.adapters_in_use("e", 17.0) == in_use


def test_own_request_without_first_event_shows_that_an_engine_is_late(
    view: EngineView,
) -> None:
    request = view.record_request_start("e", A, 100.0, 10.0, expected_s=0.2)
    assert view.overdue_s("e", 11.0) == pytest.approx(0.8)
    request.has_first_event = True
    assert view.overdue_s("e", 11.0) == 0.0


def test_prompts_sent_after_a_report_are_added_to_it(view: EngineView) -> None:
    view.record_request_start("e", A, 100.0, 9.0)
    view.apply_engine_report("e", engine_report(A, waiting=1), 10.0)
    reported = view.pending_prefill_tokens("e", 10.0)
    view.record_request_start("e", A, 500.0, 10.0)
    assert view.pending_prefill_tokens("e", 10.0) == pytest.approx(reported + 500.0)


def test_adapter_seen_missing_is_not_restored_by_what_was_told_before(
    view: EngineView,
) -> None:
    view.apply_coordinator_report("peer", coordinator_report(A), 10.0)
    view.record_missing_adapter("e", A, 11.0)
    view.apply_coordinator_report("peer", coordinator_report(A, told_s=0.5), 11.1)
    assert view.ready_at("e", A) is None
    view.apply_coordinator_report("peer", coordinator_report(A), 11.2)
    assert view.ready_at("e", A) == PRESENT


def test_newer_contents_hold_although_their_load_was_read_before(
    view: EngineView,
) -> None:
    view.apply_coordinator_report("peer", coordinator_report(A, age_s=0.2), 10.0)
    view.apply_coordinator_report("peer", coordinator_report(B, age_s=0.5), 10.1)
    assert view.ready_at("e", A) is None
    assert view.ready_at("e", B) == PRESENT


@pytest.mark.parametrize(
    ("now", "requests"),
    [
        pytest.param(10.1, 52.0, id="fresh-report"),
        pytest.param(12.0, 0.0, id="old-report"),
    ],
)
def test_fresh_report_counts_where_the_requests_of_all_peers_are_known(
    now: float, requests: float
) -> None:
    """Peers that were lost do not tell theirs any more."""
    view = EngineView(receives_all_peers=lambda: True)
    view.apply_engine_report("e", engine_report(running=12, waiting=40), 10.0)
    assert view.count_requests("e", now) == requests
