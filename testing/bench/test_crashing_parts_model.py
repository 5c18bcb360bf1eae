"""Which requests are refused while engines crash, for a harmful part or for no part."""

from __future__ import annotations

import pytest

from bench.crashing_parts import LOADS
from bench.crashing_parts import SEEDS
from bench.crashing_parts import Play

# The users' bound, with the longest and the shortest `contact_ms` of their deployments.
MAX_LATE_REQUESTS = 3
CONTACT_S = 3.0
CONTACT_OF_LARGE_FLEETS_S = 5.0
MAX_WRONGLY_REFUSED = 0.01


@pytest.mark.parametrize("seed", list(SEEDS)[:3])
@pytest.mark.parametrize("name", [name for name in LOADS if LOADS[name].harmful_rate])
def test_harmful_part_reaches_few_engines_after_the_fifth_crash(
    name: str, seed: int
) -> None:
    load = LOADS[name]
    is_large = load.knowledge_delay_s > CONTACT_S
    contact_s = CONTACT_OF_LARGE_FLEETS_S if is_large else CONTACT_S
    outcome = Play(load, seed).run()
    assert outcome.crashes_at_block is not None
    assert outcome.count_late_requests(contact_s) <= MAX_LATE_REQUESTS


@pytest.mark.parametrize("seed", list(SEEDS)[:3])
@pytest.mark.parametrize("name", LOADS)
def test_harmless_parts_are_served_while_engines_crash(name: str, seed: int) -> None:
    outcome = Play(LOADS[name], seed).run()
    assert outcome.wrongly_refused_share <= MAX_WRONGLY_REFUSED
