"""Loads that wait for an adapter slot: urgent ones first, but none starves."""

from __future__ import annotations

import collections

import pytest

from chiveslip.gateway.adapter_waits import AdapterWaits
from chiveslip.gateway.adapter_waits import SlotNeed
from chiveslip.gateway.adapter_waits import SlotWait


def waiting(
    name: str,
    priority: int = 1,
    organisation: str = "one",
    tokens: float = 1000.0,
    since: float = 0.0,
    until: float = 10.0,
) -> SlotWait:
    need = SlotNeed(
        priority=priority, organisation=organisation, tokens=tokens, max_wait_s=10.0
    )
    return SlotWait(
        adapter=(name, 1),
        need=need,
        user="peer",
        since=since,
        until=until,
        order_by=until,
    )


@pytest.mark.parametrize(
    ("waits", "now", "first"),
    [
        pytest.param(
            [waiting("late-comer", 0, since=0.1), waiting("less-urgent", 1)],
            0.1,
            "late-comer",
            id="urgent-before-earlier",
        ),
        pytest.param(
            [waiting("earlier"), waiting("later", since=0.05)],
            0.1,
            "earlier",
            id="earlier-among-equals",
        ),
        pytest.param(
            [waiting("aged", 1), waiting("urgent", 0, since=0.5)],
            0.5,
            "aged",
            id="ageing",
        ),
        pytest.param(
            [waiting("passed", 0, until=0.2), waiting("open", 2)],
            0.3,
            "open",
            id="objective-passed",
        ),
        pytest.param(
            [waiting("passed", 0, until=0.2)], 0.3, None, id="no-objective-left"
        ),
        pytest.param([], 0.0, None, id="empty"),
    ],
)
def test_next_slot_goes_to_the_most_urgent_load_that_can_use_it(
    waits: list[SlotWait], now: float, first: str | None
) -> None:
    """Loads in the order of arrival let the least urgent requests take the slots."""
    waiting_list = AdapterWaits()
    for wait in waits:
        waiting_list.add(wait, now)
    chosen = waiting_list.first(now)
    assert (chosen.adapter[0] if chosen else None) == first


def test_organisation_at_five_times_its_share_gets_no_more_than_others() -> None:
    """In the order of arrival, it would take the slots of the others as well."""
    waits = AdapterWaits()
    served: collections.Counter[str] = collections.Counter()
    names = ["flood"] * 5 + ["two", "three", "four"]
    for step in range(200):
        now = step * 0.1
        for number, name in enumerate(names):
            wait = waiting(f"{step}-{number}", 1, name, since=now, until=now + 0.15)
            waits.add(wait, now)
        for _ in range(2):
            chosen = waits.first(now)
            assert chosen is not None
            waits.remove(chosen)
            waits.record_load(chosen.need, now)
            served[chosen.need.organisation] += 1
        for wait in waits.waits:
            if wait.until < now + 0.1:
                waits.remove(wait)
    assert max(served.values()) <= 1.2 * min(served.values())


def test_less_urgent_load_is_served_while_urgent_ones_keep_arriving() -> None:
    waits = AdapterWaits()
    patient = waiting("patient", 3, until=60.0)
    waits.add(patient, 0.0)
    for step in range(20):
        now = step * 0.05
        waits.add(waiting(f"urgent-{step}", 0, since=now, until=60.0), now)
        chosen = waits.first(now)
        assert chosen is not None
        if chosen is patient:
            break
        waits.remove(chosen)
    assert chosen is patient


def test_full_list_turns_away_the_last_in_order() -> None:
    """An unbounded list holds requests that are refused only after their objective."""
    waits = AdapterWaits(max_waits=2)
    assert waits.add(waiting("a", 1), 0.0) is None
    assert waits.add(waiting("b", 2), 0.0) is None
    least = waiting("c", 3)
    assert waits.add(least, 0.0) is least
    displaced = waits.add(waiting("d", 0), 0.0)
    assert displaced is not None
    assert displaced.adapter[0] == "b"
    assert len(waits) == 2


def test_loads_that_gave_up_lately_are_expected_to_return() -> None:
    """The list alone is short while most requests are refused after a short wait."""
    waits = AdapterWaits()
    for number in range(10):
        waits.record_load(SlotNeed(), 8.0 + number * 0.2)
    calm_s = waits.expected_wait_s(10.0)
    for _ in range(10):
        waits.record_given_up(9.5)
    assert waits.expected_wait_s(10.0) >= 5 * calm_s
    assert waits.expected_wait_s(30.0) < 5.0


@pytest.mark.parametrize(
    ("loads", "waiting_loads", "at_least", "at_most"),
    [
        pytest.param(10, 0, 0.1, 0.3, id="slots-turn-over-fast"),
        pytest.param(10, 9, 1.5, 2.5, id="many-wait"),
        pytest.param(0, 0, 1.5, 2.5, id="no-slot-became-free-lately"),
    ],
)
def test_expected_wait_follows_from_turnover_and_length(
    loads: int, waiting_loads: int, at_least: float, at_most: float
) -> None:
    """A fixed time brings refused callers back while nothing is free yet."""
    waits = AdapterWaits()
    for number in range(loads):
        waits.record_load(SlotNeed(), 8.0 + number * 0.2)
    for number in range(waiting_loads):
        waits.add(waiting(f"{number}", until=99.0), 10.0)
    assert at_least <= waits.expected_wait_s(10.0) <= at_most
