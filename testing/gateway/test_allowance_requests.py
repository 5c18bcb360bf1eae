"""Which instance an instance asks for units, and what it does without an answer."""

from __future__ import annotations

from typing import cast

import attrs
import pytest

from chiveslip.clock import ManualClock
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.gateway_peers import GatewayPeers
from chiveslip.gateway.allowance_requests import AllowanceRequests
from chiveslip.gateway.allowance_requests import DecisionSource
from chiveslip.gateway.allowances import Grant
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.routing import Organisation
from testing.gateway.test_allowances import organisation
from testing.gateway.test_allowances import shared_allowances

# Of six instances, the first two in the order of the organisation "trust".
FIRST, SECOND = shared_allowances().grantors_of("trust")
OTHER = next(f"i{n}" for n in range(6) if f"i{n}" not in (FIRST, SECOND))
REFUSED = Grant(retry_after_s=0.7)


@attrs.define
class ScriptedPeers:
    """Answers by instance; those without one do not answer."""

    answers: dict[str, Grant]
    asked: list[tuple[str, float, float]] = attrs.field(factory=list)

    async def request_units(
        self, peer: str, organisation: str, units: float, ahead: float
    ) -> Grant:
        self.asked.append((peer, units, ahead))
        if peer not in self.answers:
            raise PeerError(f"{peer} does not answer")
        return self.answers[peer]


@attrs.define
class Harness:
    requests: AllowanceRequests
    allowances: SharedAllowances
    peers: ScriptedPeers
    clock: ManualClock


def harness(instance: str, answers: dict[str, Grant]) -> Harness:
    clock = ManualClock()
    peers = ScriptedPeers(answers)
    allowances = shared_allowances()
    requests = AllowanceRequests(
        instance=instance,
        allowances=allowances,
        peers=cast(GatewayPeers, peers),
        metrics=GatewayMetrics(),
        clock=clock,
    )
    return Harness(requests, allowances, peers, clock)


@pytest.mark.parametrize(
    ("instance", "answers", "asked", "source", "retry_after_s"),
    [
        pytest.param(FIRST, {}, [], DecisionSource.OWN_BUCKET, 0.0, id="own-bucket"),
        pytest.param(
            OTHER,
            {FIRST: Grant(units=100)},
            [FIRST],
            DecisionSource.PEER,
            0.0,
            id="peer",
        ),
        pytest.param(
            OTHER, {FIRST: REFUSED}, [FIRST], DecisionSource.PEER, 0.7, id="refused"
        ),
        pytest.param(
            OTHER,
            {SECOND: Grant(units=100)},
            [FIRST, SECOND],
            DecisionSource.PEER,
            0.0,
            id="second-after-no-answer",
        ),
        pytest.param(
            SECOND, {}, [FIRST], DecisionSource.PEER, 0.0, id="is-the-second-itself"
        ),
        pytest.param(
            OTHER, {}, [FIRST, SECOND], DecisionSource.SHARE, 0.0, id="no-answer"
        ),
    ],
)
async def test_first_live_instance_decides(
    instance: str,
    answers: dict[str, Grant],
    asked: list[str],
    source: DecisionSource,
    retry_after_s: float,
) -> None:
    case = harness(instance, answers)
    decision = await case.requests.admit(organisation(), 100.0)
    assert [peer for peer, _, _ in case.peers.asked] == asked
    assert (decision.source, decision.retry_after_s) == (source, retry_after_s)


async def test_instance_without_an_answer_is_not_asked_again_at_once() -> None:
    case = harness(OTHER, {SECOND: Grant(units=100)})
    for _ in range(3):
        await case.requests.admit(organisation(), 100.0)
    assert [peer for peer, _, _ in case.peers.asked].count(FIRST) == 1
    case.clock.advance(1.1)
    await case.requests.admit(organisation(), 100.0)
    assert [peer for peer, _, _ in case.peers.asked].count(FIRST) == 2


async def test_units_granted_ahead_spare_a_message_and_return_when_unused() -> None:
    case = harness(OTHER, {FIRST: Grant(units=300)})
    sources = [
        (await case.requests.admit(organisation(), 100.0)).source for _ in range(3)
    ]
    assert sources == [DecisionSource.PEER, *[DecisionSource.CREDIT] * 2]
    await case.requests.admit(organisation(), 100.0)
    case.clock.advance(1.1)
    case.allowances.return_expired_credits(case.clock.now())
    assert case.allowances.used == {"trust": -200.0}


async def test_refunded_units_admit_the_next_request() -> None:
    case = harness(OTHER, {FIRST: Grant(units=100)})
    await case.requests.admit(organisation(), 100.0)
    case.requests.refund(organisation(), 100.0)
    decision = await case.requests.admit(organisation(), 100.0)
    assert decision.source is DecisionSource.CREDIT


async def test_organisation_without_a_limit_asks_nobody() -> None:
    case = harness(OTHER, {})
    unlimited = Organisation(
        name="trust",
        priority=None,
        rate=0.0,
        burst=0.0,
        counts_tokens=True,
        default_units=0.0,
    )
    decision = await case.requests.admit(unlimited, 1e9)
    assert decision.retry_after_s == 0
    assert case.peers.asked == []
