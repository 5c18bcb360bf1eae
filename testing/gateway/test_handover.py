"""Requests that peers deliver while this instance reaches no endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator

import attrs
import pytest
from structlog.testing import capture_logs
from tornado.httputil import HTTPHeaders

from chiveslip import logs
from chiveslip.gateway.delivery import Delivery
from chiveslip.gateway.handover import AnswerPart
from chiveslip.gateway.handover import ForwardedRequest
from testing.gateway.conftest import DOWN
from testing.gateway.conftest import FAILS
from testing.gateway.conftest import KEY
from testing.gateway.conftest import RESETS
from testing.gateway.conftest import SHEDS
from testing.gateway.conftest import Behaviour
from testing.gateway.conftest import GatewayHarness
from testing.gateway.conftest import RecordingReply
from testing.gateway.conftest import ScriptedPeer

MakeGateway = Callable[..., GatewayHarness]


def part(
    chunk: bytes = b"",
    *,
    status: int = 0,
    content_type: str = "",
    is_end: bool = False,
    was_not_run: bool = False,
    is_declined: bool = False,
) -> AnswerPart:
    headers = HTTPHeaders({"Content-Type": content_type} if content_type else {})
    return AnswerPart(
        status=status,
        headers=headers,
        chunk=chunk,
        is_end=is_end,
        was_not_run=was_not_run,
        is_declined=is_declined,
    )


def event(number: int) -> bytes:
    return f"id: {number}\ndata: x\n\n".encode()


ANSWERS = ScriptedPeer(parts=(part(b"answer", status=200, is_end=True),))
REFUSES = ScriptedPeer(
    parts=(part(b"full", status=503, is_end=True, was_not_run=True),)
)
LOSES_ANSWER = ScriptedPeer(breaks_off=True)
ENDS_EARLY = ScriptedPeer(parts=(part(b"ans", status=200),))
DECLINES = ScriptedPeer(declines=True)
DECLINES_LATE = ScriptedPeer(parts=(part(is_declined=True),))


def send(
    make_gateway: MakeGateway, path: str, *peers: ScriptedPeer
) -> tuple[int, bytes, int]:
    """Send a request without paths; return status, body and requests at peers."""
    fresh = {
        f"peer-{number}": ScriptedPeer(
            parts=peer.parts, declines=peer.declines, breaks_off=peer.breaks_off
        )
        for number, peer in enumerate(peers)
    }
    harness = make_gateway(peers=fresh)
    harness.lose_paths()
    reply = harness.send_request(path)
    assert harness.connector.sent == []
    return reply.status, reply.body, sum(len(peer.received) for peer in fresh.values())


@pytest.mark.parametrize(
    ("path", "peers", "status", "received"),
    [
        pytest.param("/once/x", (ANSWERS,), 200, 1, id="answered"),
        pytest.param("/once/x", (DECLINES, ANSWERS), 200, 1, id="one declines"),
        pytest.param("/once/x", (REFUSES,), 503, 1, id="refused by the peer"),
        pytest.param("/once/x", (LOSES_ANSWER,), 502, 1, id="once, answer lost"),
        pytest.param("/once/x", (ENDS_EARLY,), 502, 1, id="once, answer cut"),
        pytest.param("/freely/x", (LOSES_ANSWER,), 502, 2, id="freely, answer lost"),
        pytest.param("/once/x", (DECLINES,) * 5, 503, 0, id="all decline"),
        pytest.param("/once/x", (), 503, 0, id="no peer"),
    ],
)
def test_caller_is_told_what_became_of_a_handed_over_request(
    make_gateway: MakeGateway,
    path: str,
    peers: tuple[ScriptedPeer, ...],
    status: int,
    received: int,
) -> None:
    assert send(make_gateway, path, *peers)[::2] == (status, received)


@pytest.mark.parametrize("status", [0, 1, 42, 99, 100, 101, 103, 199, 600, 700, 999])
@pytest.mark.parametrize(
    ("path", "received"),
    [("/once/x", 1), ("/freely/x", 2), ("/stream/x", 1), ("/resumable/x", 2)],
)
def test_status_of_a_peer_that_is_none_is_no_answer(
    make_gateway: MakeGateway, path: str, received: int, status: int
) -> None:
    """Guards against an older peer that passes on what an endpoint in trouble sent."""
    odd = ScriptedPeer(parts=(part(b"answer", status=status, is_end=True),))
    assert send(make_gateway, path, odd)[::2] == (502, received)


def test_refusal_of_a_peer_after_an_attempt_that_may_have_run_is_not_passed_on(
    make_gateway: MakeGateway,
) -> None:
    refusal = part(b"full", status=503, is_end=True, was_not_run=True)
    peers = {name: ScriptedPeer(parts=(refusal,)) for name in ("a", "b")}
    harness = make_gateway(RESETS, peers=peers)
    gateway = harness.gateway
    gateway._dependencies = attrs.evolve(
        gateway._dependencies,
        choose_delivery=lambda _service, _adapter, _allowed: Delivery(
            is_local_first=not harness.connector.sent, is_local_possible=False
        ),
    )
    reply = harness.send_request("/freely/x")
    assert len(harness.connector.sent) == 1
    assert sum(len(peer.received) for peer in peers.values()) > 0
    assert (reply.status, reply.headers["X-Result-Code"]) == (502, "1602")


@pytest.mark.parametrize(
    ("unreached", "status", "sent"),
    [
        pytest.param(["i-0", "i-1", "i-2"], 200, 1, id="one may be reached"),
        pytest.param(["i-0", "i-1", "i-2", "i-3"], 503, 0, id="none is reached"),
    ],
)
def test_request_that_no_peer_takes_is_tried_where_an_endpoint_may_be_reached(
    make_gateway: MakeGateway, unreached: list[str], status: int, sent: int
) -> None:
    harness = make_gateway(peers={"peer": ScriptedPeer(declines=True)})
    for endpoint in unreached:
        harness.paths.record_not_opened("kiosk", endpoint)
    reply = harness.send_request("/once/x")
    assert (reply.status, len(harness.connector.sent)) == (status, sent)


def test_endpoint_that_leaves_by_an_answer_through_a_peer_gets_no_request(
    make_gateway: MakeGateway,
) -> None:
    harness = make_gateway(peers={"peer": ScriptedPeer()})
    leaving = [e.incarnation for e in harness.directory.by_id.values()][:3]
    answer = attrs.evolve(
        part(b"answer", status=200, is_end=True), leaving=tuple(leaving)
    )
    harness.forwarder.peers["peer"].parts = (answer,)
    harness.lose_paths()
    assert harness.send_request("/once/x").status == 200
    harness.paths.record_opened("kiosk")
    for _ in range(8):
        assert harness.send_request("/once/x").status == 200
    endpoints = {s.headers["X-Expected-Instance"] for s in harness.connector.sent}
    assert endpoints == {"i-3"}


def test_request_that_a_peer_declines_late_goes_to_the_next(
    make_gateway: MakeGateway,
) -> None:
    status, body, received = send(make_gateway, "/once/x", DECLINES_LATE, ANSWERS)
    assert (status, body) == (200, b"answer")
    assert received <= 2


def test_peer_gets_the_request_without_the_key(make_gateway: MakeGateway) -> None:
    peer = ScriptedPeer(parts=(part(b"answer", status=200, is_end=True),))
    harness = make_gateway(peers={"peer": peer})
    harness.lose_paths()
    harness.send_request("/once/x", X_Token_Count="10,20", X_Prompt_Prefix="a:1,b:2")
    (received,) = peer.received
    assert KEY not in str(received)
    assert (received.organisation, received.service) == ("trust", "kiosk")
    assert (received.method, received.target, received.body) == (
        "POST",
        "/once/x",
        b"body",
    )
    assert received.headers["X-Request-Id"] == "r1"
    assert received.headers["X-Prompt-Prefix"] == "a:1,b:2"
    assert received.remaining_s == pytest.approx(0.6)


@pytest.mark.parametrize(
    ("path", "endpoints", "status", "attempts", "is_certainly_not_run"),
    [
        pytest.param("/freely/x", (), 200, 1, False, id="served"),
        pytest.param("/freely/x", (RESETS,), 502, 1, False, id="reset"),
        pytest.param("/freely/x", (FAILS,), 500, 1, False, id="failed"),
        pytest.param("/once/x", (SHEDS, DOWN), 200, 2, False, id="refused elsewhere"),
        pytest.param("/once/x", (SHEDS,) * 4, 503, 4, True, id="refused everywhere"),
    ],
)
def test_peer_runs_a_request_at_most_once_and_never_passes_it_on(
    make_gateway: MakeGateway,
    path: str,
    endpoints: tuple[Behaviour, ...],
    status: int,
    attempts: int,
    is_certainly_not_run: bool,
) -> None:
    peer = ScriptedPeer(parts=(part(b"answer", status=200, is_end=True),))
    harness = make_gateway(*endpoints, peers={"peer": peer})
    request = ForwardedRequest(
        method="POST",
        target=path,
        headers=HTTPHeaders({"Host": "kiosk.example", "X-Request-Id": "r1"}),
        body=b"body",
        organisation="trust",
        service="kiosk",
        remaining_s=1.0,
        instance="other",
    )
    reply = RecordingReply()

    async def answer() -> bool:
        was_not_run = await harness.gateway.handle_forwarded(request, reply)
        await harness.gateway.join()
        return was_not_run

    assert asyncio.run(answer()) is is_certainly_not_run
    assert (reply.status, len(harness.connector.sent)) == (status, attempts)
    assert {sent.headers["X-Tenant"] for sent in harness.connector.sent} == {"trust"}
    assert peer.received == []


@pytest.mark.parametrize(
    ("path", "parts", "is_complete"),
    [
        pytest.param(
            "/stream/x",
            (
                part(event(1), status=200, content_type="text/event-stream"),
                part(event(2), is_end=True),
            ),
            True,
            id="whole",
        ),
        pytest.param(
            "/stream/x",
            (part(event(1), status=200, content_type="text/event-stream"),),
            False,
            id="cut",
        ),
    ],
)
def test_stream_through_a_peer_is_complete_only_with_its_end(
    make_gateway: MakeGateway,
    path: str,
    parts: tuple[AnswerPart, ...],
    is_complete: bool,
) -> None:
    peer = ScriptedPeer(parts=parts, breaks_off=not is_complete)
    harness = make_gateway(peers={"peer": peer})
    harness.lose_paths()
    reply = harness.send_request(path)
    assert reply.body == b"".join(p.chunk for p in parts)
    assert (reply.is_complete, reply.is_truncated) == (is_complete, not is_complete)


@pytest.fixture
def log_all_levels() -> Iterator[None]:
    logs.configure("console", "info")
    yield
    logs.configure("console", "error")


@pytest.mark.usefixtures("log_all_levels")
def test_log_line_has_a_result_for_each_endpoint_beside_the_handovers(
    make_gateway: MakeGateway,
) -> None:
    peer = ScriptedPeer(breaks_off=True)
    with capture_logs() as lines:
        harness = make_gateway(peers={"peer": peer})
        peer.on_received = lambda: harness.paths.record_opened("kiosk")
        harness.lose_paths()
        assert harness.send_request("/freely/x").status == 200
    (ended,) = [line for line in lines if line["event"] == "Ended."]
    assert ended["handovers"] == ["unknown"]
    assert ended["forwarded_to"] == "peer"
    assert len(ended["endpoints"]) == len(ended["results"]) == len(ended["sent_s"]) == 1


def test_peer_that_declined_is_not_asked_again_at_once(
    make_gateway: MakeGateway,
) -> None:
    peer = ScriptedPeer(declines=True)
    harness = make_gateway(peers={"peer": peer})
    harness.lose_paths()
    assert harness.send_request("/once/x").status == 503
    peer.declines = False
    peer.parts = (part(b"answer", status=200, is_end=True),)
    assert harness.send_request("/once/x").status == 503
    harness.clock.advance(0.6)
    assert harness.send_request("/once/x").status == 200
