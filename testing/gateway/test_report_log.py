"""Report ages: an engine whose report expires or comes back is logged once."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping

import pytest
from structlog.testing import capture_logs

from chiveslip import logs
from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.engine_view import KnownLoad
from chiveslip.gateway.report_log import ReportLog

EXPIRED = ("Engine report expired.", "e1")
AGAIN = ("Engine report received again.", "e1")
ROUND_S = 0.5


@pytest.fixture(autouse=True)
def _log_all_levels() -> Iterator[None]:
    logs.configure("console", "info")
    yield
    logs.configure("console", "error")


def make_report(name: str, age_s: float = 0.0) -> EngineStateUpdate:
    return EngineStateUpdate(
        engine=name,
        started=1,
        models=frozenset({"m"}),
        adapters=frozenset(),
        running=7,
        waiting=2,
        cache_used=0,
        age_s=age_s,
    )


@pytest.mark.parametrize(
    ("reports", "listed_until_s", "expected"),
    [
        pytest.param(dict.fromkeys(range(30), 0.0), 30.0, [], id="regular"),
        pytest.param({0: 0.0}, 30.0, [EXPIRED], id="silent"),
        pytest.param({}, 30.0, [EXPIRED], id="never-reported"),
        pytest.param({4: 0.0, 8: 0.0}, 9.0, [], id="first-report-within-the-bound"),
        pytest.param(
            {0: 0.0, 10: 0.0}, 14.0, [EXPIRED, AGAIN], id="silent-and-back-once"
        ),
        pytest.param({0: 0.0, 10: 6.0}, 14.0, [EXPIRED], id="back-with-an-old-report"),
        pytest.param({0: 0.0}, 4.0, [], id="gone-before-the-bound"),
    ],
)
def test_expired_report_is_logged_once(
    reports: Mapping[int, float],
    listed_until_s: float,
    expected: list[tuple[str, str]],
) -> None:
    view = EngineView()
    with capture_logs() as lines:
        log = ReportLog(view)
        for step in range(60):
            now = step * ROUND_S
            if now in reports:
                report = make_report("e1", reports[int(now)])
                view.apply_coordinator_report("peer", report, now)
            log.log_changes(["e1"] if now <= listed_until_s else [], now)
    assert [(line["event"], line["engine"]) for line in lines] == expected


def test_engine_listed_again_has_as_much_time_for_its_first_report() -> None:
    view = EngineView()
    with capture_logs() as lines:
        log = ReportLog(view)
        log.log_changes(["e1"], 0.0)
        log.log_changes([], 4.0)
        log.log_changes(["e1"], 8.0)
        log.log_changes(["e1"], 12.0)
    assert lines == []


def test_known_load_tells_the_report_and_the_own_requests() -> None:
    view = EngineView()
    nothing = KnownLoad(
        report_age_s=None, running=0, waiting=0, own_requests=0, own_unanswered=0
    )
    assert view.known_load("e1", 3.0) == nothing
    view.apply_coordinator_report("peer", make_report("e1", 1.5), 3.0)
    requests = [view.record_request_start("e1", None, 100.0, 3.0) for _ in range(3)]
    requests[0].has_first_event = True
    # A report that is too old to be used is still told.
    assert view.known_load("e1", 20.0) == KnownLoad(
        report_age_s=18.5,
        running=7,
        waiting=2,
        own_requests=3,
        own_unanswered=2,
    )
    view.record_request_end(requests[0])
    assert view.known_load("e1", 20.0).own_requests == 2
