"""What a prompt costs at an engine."""

from __future__ import annotations

import itertools

import attrs
import pytest

from chiveslip.gateway.prompt_lengths import EngineState
from chiveslip.gateway.prompt_lengths import delay_of_others_s
from chiveslip.gateway.prompt_lengths import displacement_cost_s
from chiveslip.gateway.prompt_lengths import first_event_s

IDLE = EngineState(
    requests=0,
    pending_tokens=0,
    slots=16,
    prefill_tokens_per_s=20_000.0,
    step_s=0.01,
)


@pytest.mark.parametrize(
    ("changes", "tokens", "expected_s"),
    [
        pytest.param({}, 0, 0.01, id="a-step"),
        pytest.param({}, 2_000, 0.11, id="its-own-prefill"),
        pytest.param({"pending_tokens": 4_000}, 2_000, 0.31, id="prefills-before-it"),
        pytest.param({"prefill_tokens_per_s": 10_000.0}, 2_000, 0.21, id="slow-engine"),
        pytest.param({"slots": 0, "requests": 9}, 0, 0.01, id="unknown-slots"),
    ],
)
def test_first_event_waits_for_all_prefills_before_it(
    changes: dict[str, float], tokens: float, expected_s: float
) -> None:
    """Guards against short prompts behind long ones that no estimate shows."""
    state = attrs.evolve(IDLE, **changes)
    assert first_event_s(state, tokens) == pytest.approx(expected_s, abs=1e-4)


def test_wait_for_a_slot_grows_smoothly_before_all_are_taken() -> None:
    """Guards against many instances that all take an engine's last slot."""
    waits = [
        first_event_s(attrs.evolve(IDLE, requests=requests), 0)
        for requests in range(80)
    ]
    assert waits == sorted(waits)
    assert waits[8] < 0.011
    assert 0.02 < waits[14] < 0.06
    # All slots and 16 more are taken: one more request time and a sixteenth.
    assert waits[32] == pytest.approx(0.01 + 1.5 * 17 / 16, abs=0.01)
    steps = [after - before for before, after in itertools.pairwise(waits)]
    assert max(steps) < 0.1


def test_delay_of_others_grows_with_them_and_with_the_prompt() -> None:
    busy = attrs.evolve(IDLE, requests=10)
    assert delay_of_others_s(IDLE, 4_000) == 0
    assert 0 < delay_of_others_s(busy, 500) < delay_of_others_s(busy, 4_000)
    fast = attrs.evolve(busy, prefill_tokens_per_s=40_000.0)
    assert delay_of_others_s(fast, 500) < delay_of_others_s(busy, 500)


def test_load_at_a_busy_engine_costs_more() -> None:
    """Guards against adapters that displace each other at the busiest engines."""
    costs = [
        displacement_cost_s(attrs.evolve(IDLE, requests=requests))
        for requests in (0, 8, 16, 40)
    ]
    assert costs[0] == 0
    assert costs[0] < costs[1] < costs[2] == costs[3]
