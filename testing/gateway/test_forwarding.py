"""Answers to the caller for each failure at each step of forwarding."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.event_pauses import EventPauses
from chiveslip.gateway.service_selection import ServiceTargetSelector
from chiveslip.settings.fields import Address
from testing.gateway.conftest import DOWN
from testing.gateway.conftest import FAILS
from testing.gateway.conftest import KEY
from testing.gateway.conftest import MISDIRECTED
from testing.gateway.conftest import RESETS
from testing.gateway.conftest import SHEDS
from testing.gateway.conftest import Behaviour
from testing.gateway.conftest import GatewayHarness

GOOD = Behaviour()
# Connection to another endpoint, which shows that the first one crashed.
OTHER_IS_UP = GOOD
NO_ANSWER = Behaviour(is_silent=True)
TRUNCATED = Behaviour(is_truncated=True)
UNSIGNED = Behaviour(is_signed=False)
ENCODED = Behaviour(headers={"Content-Encoding": "gzip"})
UNCONFIRMED_503 = Behaviour(status=503)
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n")
STREAMED = Behaviour(chunks=EVENTS)

SceneOf = Callable[..., GatewayHarness]


@pytest.mark.parametrize(
    ("path", "script", "status", "sent"),
    [
        pytest.param("/once/x", [GOOD], 200, 1, id="once-answered"),
        pytest.param("/once/x", [DOWN, GOOD], 200, 1, id="once-not-sent-is-retried"),
        pytest.param("/once/x", [SHEDS, GOOD], 200, 2, id="once-not-run-is-retried"),
        pytest.param(
            "/once/x", [MISDIRECTED, GOOD], 200, 2, id="once-misdirected-is-retried"
        ),
        pytest.param("/once/x", [RESETS], 502, 1, id="once-reset-is-unknown"),
        pytest.param("/once/x", [TRUNCATED], 502, 1, id="once-truncated-is-unknown"),
        pytest.param("/once/x", [UNSIGNED], 502, 1, id="once-unsigned-is-unknown"),
        pytest.param("/once/x", [ENCODED], 502, 1, id="once-encoded-is-unknown"),
        pytest.param(
            "/once/x", [UNCONFIRMED_503], 502, 1, id="503-that-ran-is-unknown"
        ),
        pytest.param("/once/x", [FAILS], 500, 1, id="once-failure-is-forwarded"),
        pytest.param("/once/x", [SHEDS] * 4, 503, 4, id="once-never-run"),
        pytest.param("/once/x", [DOWN] * 4, 503, 0, id="once-never-sent"),
        pytest.param(
            "/once/x", [SHEDS, RESETS], 502, 2, id="once-unknown-after-not-run"
        ),
        pytest.param("/freely/x", [RESETS, GOOD], 200, 2, id="freely-reset-is-retried"),
        pytest.param(
            "/freely/x", [FAILS, GOOD], 200, 2, id="freely-failure-is-retried"
        ),
        pytest.param(
            "/freely/x", [FAILS, FAILS], 500, 2, id="freely-last-failure-is-forwarded"
        ),
        pytest.param(
            "/freely/x",
            [FAILS, RESETS],
            500,
            2,
            id="freely-withheld-failure-is-forwarded",
        ),
        pytest.param("/freely/x", [RESETS, RESETS], 502, 2, id="freely-max-runs"),
        pytest.param("/stream/x", [RESETS], 502, 1, id="stream-reset-is-unknown"),
        pytest.param(
            "/resumable/x", [RESETS, STREAMED], 200, 2, id="resumable-reset-is-retried"
        ),
        pytest.param("/nowhere/x", [], 404, 0, id="no-route"),
    ],
)
def test_caller_receives_the_outcome(
    make_gateway: SceneOf, path: str, script: list[Behaviour], status: int, sent: int
) -> None:
    scene = make_gateway(*script)
    reply = scene.send_request(path)
    assert (reply.status, len(scene.connector.sent)) == (status, sent)
    assert reply.is_complete


@pytest.mark.parametrize("path", ["/once/x", "/freely/x", "/stream/x"])
def test_refusal_has_retry_after(make_gateway: SceneOf, path: str) -> None:
    reply = make_gateway(*[SHEDS] * 4).send_request(path)
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0


@pytest.mark.parametrize(
    ("path", "first", "second", "body", "whole"),
    [
        pytest.param("/stream/x", EVENTS, None, b"".join(EVENTS), True, id="complete"),
        pytest.param(
            "/stream/x", EVENTS[:2], (), EVENTS[0] + EVENTS[1], False, id="truncated"
        ),
        pytest.param(
            "/resumable/x", EVENTS[:1], EVENTS[1:], b"".join(EVENTS), True, id="resumed"
        ),
        pytest.param(
            "/resumable/x",
            (EVENTS[0], EVENTS[1][:6]),
            EVENTS[1:],
            b"".join(EVENTS),
            True,
            id="resumed-after-a-partial-event",
        ),
        pytest.param(
            "/resumable/x",
            EVENTS[:1],
            None,
            EVENTS[0],
            False,
            id="resumed-and-truncated",
        ),
    ],
)
def test_stream_is_complete_or_aborted(
    make_gateway: SceneOf,
    path: str,
    first: tuple[bytes, ...],
    second: tuple[bytes, ...] | None,
    body: bytes,
    whole: bool,
) -> None:
    first_behaviour = Behaviour(chunks=first, is_truncated=first != EVENTS)
    second_behaviour = TRUNCATED if second is None else Behaviour(chunks=second)
    if second is None and first != EVENTS:
        second_behaviour = Behaviour(chunks=(), is_truncated=True)
    scene = make_gateway(first_behaviour, second_behaviour)
    reply = scene.send_request(path)
    assert (reply.body, reply.is_complete, reply.is_truncated) == (
        body,
        whole,
        not whole,
    )


def test_resumption_sends_the_id_of_the_last_whole_event(make_gateway: SceneOf) -> None:
    truncated = Behaviour(
        chunks=(EVENTS[0], EVENTS[1], EVENTS[2][:4]), is_truncated=True
    )
    scene = make_gateway(truncated, Behaviour(chunks=EVENTS[2:]))
    scene.send_request("/resumable/x")
    first, second = scene.connector.sent
    assert "Last-Event-Id" not in first.headers
    assert second.headers["Last-Event-Id"] == "2"


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        pytest.param({"Authorization": ""}, 401, id="no-key"),
        pytest.param({"Authorization": "Bearer other"}, 401, id="unknown-key"),
        pytest.param({"Authorization": f"Basic {KEY}"}, 401, id="other-scheme"),
        pytest.param({"Host": "other.example"}, 404, id="other-host"),
        pytest.param({"Host": "KIOSK.example:80"}, 200, id="host-with-a-port"),
    ],
)
def test_unauthorised_or_unroutable_request_is_refused(
    make_gateway: SceneOf, headers: dict[str, str], status: int
) -> None:
    scene = make_gateway(GOOD)
    assert scene.send_request("/once/x", **headers).status == status
    assert len(scene.connector.sent) == (1 if status == 200 else 0)


def test_key_and_internal_headers_are_not_forwarded(make_gateway: SceneOf) -> None:
    scene = make_gateway(GOOD)
    scene.send_request(
        "/once/x?q=1",
        X_Tenant="other",
        X_Hold="h",
        X_Expected_Instance="other",
        Kv_From="10.0.0.9:1/x",
        Connection="X-Private",
        X_Private="1",
        X_Model="m/a",
    )
    sent = scene.connector.sent[0]
    assert (sent.method, sent.path, sent.body) == ("POST", "/once/x?q=1", b"body")
    assert KEY not in str(sent)
    assert sent.headers["X-Tenant"] == "trust"
    assert sent.headers["X-Expected-Instance"].startswith("i-")
    assert sent.headers["X-Model"] == "m/a"
    assert not {"X-Hold", "Kv-From", "X-Private", "Connection"} & set(sent.headers)
    assert 0 < int(sent.headers["X-Deadline-Remaining"]) <= 600


def test_instance_without_configuration_refuses(make_gateway: SceneOf) -> None:
    reply = make_gateway(table=None).send_request("/once/x")
    assert reply.status == 503


def test_stopping_instance_refuses_with_a_short_retry_after(
    make_gateway: SceneOf,
) -> None:
    scene = make_gateway(takes_requests=False)
    reply = scene.send_request("/once/x")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) < 0.1
    assert not scene.connector.sent


def test_request_that_crashed_three_endpoints_is_blocked(
    make_gateway: SceneOf,
) -> None:
    crash_two = [RESETS, RESETS, DOWN, DOWN, OTHER_IS_UP, OTHER_IS_UP]
    scene = make_gateway(*crash_two, *crash_two, GOOD)
    assert scene.send_request("/freely/x").status == 502
    assert scene.send_request("/freely/x").status == 502
    reply = scene.send_request("/freely/x")
    assert reply.status == 503
    assert len(scene.connector.sent) == 4


def test_lost_answers_alone_do_not_block_a_request(make_gateway: SceneOf) -> None:
    """Repeated polls of one path have the same fingerprint."""
    scene = make_gateway(*[RESETS, RESETS, GOOD, GOOD] * 4, GOOD)
    for _ in range(4):
        assert scene.send_request("/freely/x").status == 502
    assert scene.send_request("/freely/x").status == 200


def test_success_clears_a_crash_suspect(make_gateway: SceneOf) -> None:
    crash_two = [RESETS, RESETS, DOWN, DOWN, OTHER_IS_UP, OTHER_IS_UP]
    scene = make_gateway(*crash_two, GOOD, *crash_two, GOOD)
    statuses = [scene.send_request("/freely/x").status for _ in range(4)]
    assert statuses == [502, 200, 502, 200]


def test_no_answer_until_the_deadline_is_a_timeout(make_gateway: SceneOf) -> None:
    scene = make_gateway(NO_ANSWER)
    scene.clock.advance(0.0)
    reply = scene.send_request("/once/x", X_Deadline_Remaining="0")
    assert reply.status == 504


def test_exchanges_are_closed_after_failures(make_gateway: SceneOf) -> None:
    scene = make_gateway(SHEDS, TRUNCATED)
    scene.send_request("/once/x")
    assert all(exchange.closed for exchange in scene.connector.exchanges)


def _begin_to_leave(harness: GatewayHarness, endpoint: ListedEndpoint) -> None:
    harness.directory.put(attrs.evolve(endpoint, state=EndpointState.LEAVING))


def _disappear(harness: GatewayHarness, endpoint: ListedEndpoint) -> None:
    harness.directory.remove(endpoint.id)


def _restart(harness: GatewayHarness, endpoint: ListedEndpoint) -> None:
    harness.directory.put(attrs.evolve(endpoint, started=endpoint.started + 1))


@pytest.mark.parametrize("leave", [_begin_to_leave, _disappear, _restart])
@pytest.mark.parametrize(
    ("path", "script", "connections", "sent"),
    [
        pytest.param("/once/x", [GOOD, GOOD], 2, 1, id="once"),
        pytest.param("/freely/x", [GOOD, GOOD], 2, 1, id="freely"),
        pytest.param("/stream/x", [STREAMED, STREAMED], 2, 1, id="stream"),
        pytest.param("/freely/x", [RESETS, GOOD, GOOD], 3, 2, id="retry"),
        pytest.param(
            "/resumable/x",
            [Behaviour(chunks=EVENTS[:1], is_truncated=True), STREAMED, STREAMED],
            3,
            2,
            id="resumed-stream",
        ),
    ],
)
def test_request_is_not_sent_to_an_endpoint_that_left_while_connecting(
    make_gateway: SceneOf,
    path: str,
    script: list[Behaviour],
    connections: int,
    sent: int,
    leave: Callable[[GatewayHarness, ListedEndpoint], None],
) -> None:
    harness = make_gateway(*script)
    opened = []

    def leave_during_the_connection_before_the_last(address: Address) -> None:
        opened.append(address)
        if len(opened) == connections - 1:
            endpoints = harness.directory.by_id.values()
            leave(harness, next(e for e in endpoints if e.address == address))

    harness.connector.while_connecting = leave_during_the_connection_before_the_last
    reply = harness.send_request(path)
    assert (reply.status, reply.is_complete) == (200, True)
    assert len(harness.connector.sent) == sent
    # Later connections only check whether the endpoint of a failed attempt is up.
    assert len(set(opened[:connections])) == connections


@pytest.mark.parametrize(
    ("chunks", "events"),
    [
        pytest.param([b"data: 1\n\n"] * 3, [1, 1, 1], id="one-each"),
        pytest.param([b"data: 1\n\n" * 3, b"data: 1\n\n"], [3, 1], id="several"),
        pytest.param([b"data: 1\r\n\r\n", b"data: 1\r\n\r\n"], [1, 1], id="crlf"),
    ],
)
def test_arrivals_of_events_are_recorded_where_the_selector_asks_for_them(
    make_gateway: SceneOf,
    monkeypatch: pytest.MonkeyPatch,
    chunks: list[bytes],
    events: list[int],
) -> None:
    """Guards against streams whose pauses nobody sees."""
    recorded: list[int] = []
    pauses = EventPauses(lambda *_: None)
    monkeypatch.setattr(
        EventPauses, "record_events", lambda _, count, now: recorded.append(count)
    )
    monkeypatch.setattr(
        ServiceTargetSelector,
        "record_start",
        lambda _, call, target: setattr(call.attempt_times[-1], "pauses", pauses),
    )
    make_gateway(Behaviour(chunks=tuple(chunks))).send_request("/stream/x")
    assert recorded == events
