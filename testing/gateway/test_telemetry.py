"""The log lines of requests tell what was known when their engines were chosen."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from structlog.testing import capture_logs

from chiveslip import logs
from chiveslip.clock import ManualClock
from chiveslip.gateway.call import AttemptTimes
from chiveslip.gateway.call import Call
from chiveslip.gateway.call import CrashTraits
from chiveslip.gateway.call import EngineEstimate
from chiveslip.gateway.call import LoadWait
from chiveslip.gateway.call import PromptEstimate
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
    ("tokens", "length"),
    [
        pytest.param(499.0, "below 500", id="short"),
        pytest.param(500.0, "below 1000", id="bound"),
        pytest.param(1_460.0, "below 2000", id="long"),
        pytest.param(9_000.0, "4000 and above", id="longest"),
    ],
)
def test_prompt_is_counted_by_its_length_and_its_parts(
    tokens: float, length: str
) -> None:
    """Guards against long prompts whose delays are hidden among the short ones."""
    clock = ManualClock()
    call = make_call(clock)
    load = KnownLoad(
        report_age_s=0.2, running=1, waiting=0, own_requests=0, own_unanswered=0
    )
    call.engine_estimates.append(
        EngineEstimate(
            first_event_s=0.3,
            known_load=load,
            prompt=PromptEstimate(
                tokens=tokens,
                cached_tokens=350.4,
                kept_parts=2,
                missing_parts=1,
                kept_age_s=1.23456,
            ),
        )
    )
    call.attempt_times.append(AttemptTimes(chosen_at=clock.now()))
    call.first_event_at = clock.now() + 0.7
    metrics = GatewayMetrics()
    with capture_logs() as lines:
        RequestTelemetry(metrics, clock).record_end(call, None, is_cancelled=False)
    (estimate,) = lines[0]["engine_estimates"]
    assert estimate["prompt_tokens"] == tokens
    assert (estimate["cached_tokens"], estimate["cached_age_s"]) == (350, 1.235)
    text = metrics.render_text().decode()
    name = "chiveslip_prompt_first_event_seconds_sum"
    assert f'{name}{{length="{length}",source="expected"}} 0.3' in text
    assert f'{name}{{length="{length}",source="seen"}} 0.7' in text
    assert 'chiveslip_prompt_parts_total{expected="found"} 2.0' in text
    assert 'chiveslip_prompt_parts_total{expected="missed"} 1.0' in text


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
