"""The log lines of requests tell what was known when their engines were chosen."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from structlog.testing import capture_logs

from chiveslip import logs
from chiveslip.clock import ManualClock
from chiveslip.gateway.call import Call
from chiveslip.gateway.call import CrashTraits
from chiveslip.gateway.call import EngineEstimate
from chiveslip.gateway.call import LoadWait
from chiveslip.gateway.engine_view import KnownLoad
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.protocol import RequestMetadata
from chiveslip.gateway.telemetry import RequestTelemetry
from testing.gateway.conftest import KEY
from testing.gateway.conftest import TABLE
from testing.gateway.conftest import GatewayHarness
from testing.gateway.conftest import RecordingReply
from testing.gateway.test_forwarding import SceneOf


@pytest.fixture(autouse=True)
def _log_all_levels() -> Iterator[None]:
    logs.configure("console", "info")
    yield
    logs.configure("console", "error")


def make_call(clock: ManualClock) -> Call:
    route = TABLE.find_route("kiosk.example", "/stream/x")
    assert route is not None
    return Call(
        request=None,  # type: ignore[arg-type]
        reply=RecordingReply(),  # type: ignore[arg-type]
        metadata=RequestMetadata(
            request_id="r",
            key="",
            max_wait_s=None,
            model="m",
            adapter="a1",
            prompt_tokens=100,
            output_tokens=10,
            last_event_id="",
        ),
        table=TABLE,
        route=route,
        organisation=None,
        service="kiosk",
        arrived_at=clock.now(),
        deadline=clock.now() + 8.0,
        units=1.0,
        traits=CrashTraits(fingerprint=""),
    )


@pytest.mark.parametrize(
    ("report_age_s", "logged_age_s"),
    [
        pytest.param(1.23456, 1.235, id="reported"),
        pytest.param(None, None, id="no-report"),
    ],
)
def test_end_of_a_request_tells_the_estimate_of_each_attempt(
    report_age_s: float | None, logged_age_s: float | None
) -> None:
    clock = ManualClock()
    call = make_call(clock)
    load = KnownLoad(
        report_age_s=report_age_s,
        running=7,
        waiting=2,
        own_requests=3,
        own_unanswered=1,
    )
    call.engine_estimates.append(
        EngineEstimate(first_event_s=0.25, known_load=load, speed=0.617)
    )
    call.load_waits.append(
        LoadWait(
            engine="e1",
            started_at=call.arrived_at,
            ended_at=call.arrived_at + 0.5,
            outcome="no room",
        )
    )
    call.load_waits.append(LoadWait(engine="e2", started_at=call.arrived_at + 0.5))
    clock.advance(1.5)
    with capture_logs() as lines:
        telemetry = RequestTelemetry(GatewayMetrics(), clock)
        telemetry.record_end(call, None, is_cancelled=False)
    (line,) = lines
    assert line["max_wait_s"] == 8.0
    assert line["target_s"] == 0.5
    assert line["load_waits"] == [
        {"engine": "e1", "outcome": "no room", "wait_s": 0.5},
        {"engine": "e2", "outcome": "pending", "wait_s": 1.0},
    ]
    assert line["engine_estimates"] == [
        {
            "estimate_s": 0.25,
            "report_age_s": logged_age_s,
            "running": 7,
            "waiting": 2,
            "own": 3,
            "own_unanswered": 1,
            "speed": 0.62,
        }
    ]


@pytest.mark.parametrize(
    ("path", "authorization", "route"),
    [
        pytest.param("/once/x", "Bearer other", "once", id="key-refused"),
        pytest.param("/nowhere/x", f"Bearer {KEY}", "", id="no-route"),
    ],
)
def test_request_that_is_not_admitted_is_logged_with_its_route(
    make_gateway: SceneOf, path: str, authorization: str, route: str
) -> None:
    harness: GatewayHarness = make_gateway()
    with capture_logs() as lines:
        harness.send_request(path, Authorization=authorization)
    (line,) = [line for line in lines if line["event"] == "Refused."]
    assert line["route"] == route
