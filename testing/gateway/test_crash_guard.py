"""Requests with parts of prompts on which endpoints crash, through the gateway."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import attrs
import pytest

from chiveslip.dispatch.part_suspects import hash_organisation
from chiveslip.dispatch.part_suspects import hash_parts
from chiveslip.gateway.crash_detection import CrashDetector
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_control import OtherEngineError
from chiveslip.gateway.sending import Sender
from testing.gateway.conftest import DOWN
from testing.gateway.conftest import RESETS
from testing.gateway.conftest import TRUST
from testing.gateway.conftest import Behaviour
from testing.gateway.conftest import GatewayHarness

MakeGateway = Callable[..., GatewayHarness]
ORGANISATION = hash_organisation(TRUST.name)
PREFIX = {"X_Prompt_Prefix": "c0:50,bad:30,own:20"}
CRASH_SUSPECT = "1408"


def crash(harness: GatewayHarness, part: str, episodes: int) -> None:
    """Record crashes of a part, one each second until now."""
    now = harness.clock.now()
    for number in range(episodes):
        harness.parts.record_crash(
            hash_parts([part]), ORGANISATION, f"e-{number}/1", now - number
        )


def test_request_with_a_blocked_part_is_refused_and_not_sent(
    make_gateway: MakeGateway,
) -> None:
    harness = make_gateway()
    crash(harness, "bad", 3)
    reply = harness.send_request("/stream/x", **PREFIX)
    assert (reply.status, reply.headers["X-Result-Code"]) == (503, CRASH_SUSPECT)
    assert float(reply.headers["Retry-After"]) >= 1.0
    assert not harness.connector.sent
    reply = harness.send_request("/once/x", X_Prompt_Prefix="c0:50,own:2")
    assert reply.status == 200


def test_request_is_withheld_if_its_part_is_blocked_while_it_connects(
    make_gateway: MakeGateway,
) -> None:
    harness = make_gateway()
    harness.connector.while_connecting = lambda _: crash(harness, "bad", 3)
    reply = harness.send_request("/stream/x", **PREFIX)
    assert (reply.status, reply.headers["X-Result-Code"]) == (503, CRASH_SUSPECT)
    assert not harness.connector.sent


@pytest.mark.parametrize("path", ["/freely/x", "/resumable/x"])
def test_trial_is_one_request_that_is_not_repeated(
    make_gateway: MakeGateway, path: str
) -> None:
    harness = make_gateway(RESETS, DOWN)
    crash(harness, "bad", 3)
    harness.clock.advance(5.1)
    replies = [harness.send_request(path, **PREFIX) for _ in range(4)]
    assert len(harness.connector.sent) == 1
    assert [reply.status for reply in replies] == [502, 503, 503, 503]


def test_trial_that_is_answered_ends_the_block(make_gateway: MakeGateway) -> None:
    harness = make_gateway()
    crash(harness, "bad", 3)
    harness.clock.advance(5.1)
    replies = [harness.send_request("/once/x", **PREFIX) for _ in range(3)]
    assert [reply.status for reply in replies] == [200, 200, 200]


@pytest.mark.parametrize(
    ("is_proven", "sent"),
    [
        pytest.param(False, 1, id="never answered"),
        pytest.param(True, 2, id="answered before"),
    ],
)
def test_crashed_request_is_repeated_only_with_proven_parts(
    make_gateway: MakeGateway, is_proven: bool, sent: int
) -> None:
    harness = make_gateway(RESETS, DOWN)
    if is_proven:
        harness.parts.record_progress(hash_parts(["c0", "bad"]), harness.clock.now())
        harness.clock.advance(0.1)
    harness.send_request("/resumable/x", **PREFIX)
    assert len(harness.connector.sent) == sent


def test_parts_of_an_answer_that_went_on_are_not_suspected(
    make_gateway: MakeGateway,
) -> None:
    events = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
    harness = make_gateway(Behaviour(chunks=events, is_truncated=True), DOWN)
    harness.send_request("/stream/x", **PREFIX)
    assert not harness.parts.is_suspect(hash_parts(["c0", "bad"]))


@attrs.define
class StubEngine:
    """An engine that can be reached, and what its report says."""

    report: EngineReport | EngineControlError
    checks: int = 0

    async def is_reachable(self, endpoint: ListedEndpoint) -> bool:
        self.checks += 1
        return True

    async def read_report(self, engine: ListedEndpoint) -> EngineReport:
        if isinstance(self.report, EngineControlError):
            raise self.report
        return self.report


def report_of_start(started: int) -> EngineReport:
    return EngineReport(
        started=started,
        accepted_orders=0,
        models=frozenset(),
        adapters=frozenset(),
        loading_adapters=frozenset(),
        running=0,
        waiting=0,
        cache_used=0,
    )


@pytest.mark.parametrize(
    ("report", "has_crashed"),
    [
        pytest.param(report_of_start(1), False, id="same start"),
        pytest.param(report_of_start(2), True, id="next start"),
        pytest.param(report_of_start(0), False, id="no start given"),
        pytest.param(OtherEngineError("421"), True, id="another engine"),
        pytest.param(EngineControlError("no answer"), False, id="no answer"),
    ],
)
def test_engine_that_can_be_reached_again_counts_as_crashed_by_its_start(
    make_gateway: MakeGateway,
    report: EngineReport | EngineControlError,
    has_crashed: bool,
) -> None:
    engine = StubEngine(report)
    detector = CrashDetector(
        cast(Sender, engine), cast(EngineControl, engine), lambda _: []
    )
    listed = make_gateway().directory.by_id["i-0"]

    async def check_twice() -> list[bool]:
        checks = (detector.has_crashed(listed, is_engine=True) for _ in range(2))
        return await asyncio.gather(*checks)

    assert asyncio.run(check_twice()) == [has_crashed] * 2
    assert engine.checks == 1


@attrs.define
class StubPaths:
    """A sender that reaches some endpoints only."""

    reached: frozenset[str]

    async def is_reachable(self, endpoint: ListedEndpoint) -> bool:
        return endpoint.id in self.reached


@pytest.mark.parametrize(
    ("others", "reached", "has_crashed"),
    [
        pytest.param(["i-1"], ["i-1"], True, id="another endpoint is reached"),
        pytest.param(["i-1", "i-2"], ["i-2"], True, id="one of two is reached"),
        pytest.param(["i-1", "i-2"], [], False, id="no endpoint is reached"),
        pytest.param([], [], True, id="the only endpoint"),
    ],
)
def test_lost_paths_are_not_taken_for_a_crash(
    make_gateway: MakeGateway, others: list[str], reached: list[str], has_crashed: bool
) -> None:
    listed = make_gateway().directory.by_id
    sender = StubPaths(frozenset(reached))
    detector = CrashDetector(
        cast(Sender, sender),
        cast(EngineControl, sender),
        lambda _: [listed[name] for name in others],
    )
    check = detector.has_crashed(listed["i-0"], is_engine=False)
    assert asyncio.run(check) is has_crashed


def test_requests_broken_off_as_all_paths_are_lost_are_not_blocked(
    make_gateway: MakeGateway,
) -> None:
    harness = make_gateway(*[RESETS, DOWN, DOWN] * 3)
    for _ in range(3):
        assert harness.send_request("/once/x", **PREFIX).status == 502
        harness.clock.advance(1.0)
        # Before the next one, the paths are back for a moment.
        harness.paths.record_opened("kiosk")
    assert not harness.parts.is_suspect(hash_parts(["c0", "bad"]))
    assert harness.send_request("/once/x", **PREFIX).status == 200
