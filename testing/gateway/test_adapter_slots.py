"""Adapter slots: an engine is never ordered to hold more adapters than it has slots."""

from __future__ import annotations

import pytest

from chiveslip.gateway.adapter_slots import REPORT_LAG_S
from chiveslip.gateway.adapter_slots import AdapterSlots
from chiveslip.gateway.engine_control import EngineReport

A, B, C = ("m/a", 1), ("m/b", 1), ("m/c", 1)


def report(*adapters: tuple[str, int], coming: tuple = ()) -> EngineReport:
    return EngineReport(
        started=1,
        accepted_orders=0,
        models=frozenset({"m"}),
        adapters=frozenset(adapters),
        loading_adapters=frozenset(coming),
        running=0,
        waiting=0,
        cache_used=0,
    )


@pytest.mark.parametrize(
    ("requested_at", "adapters"),
    [
        pytest.param(10.2, {A}, id="report-may-predate-the-order"),
        pytest.param(10.0 + REPORT_LAG_S + 0.1, set(), id="order-had-no-effect"),
    ],
)
def test_ordered_adapter_keeps_its_slot(requested_at: float, adapters: set) -> None:
    slots = AdapterSlots()
    slots.record_load(A, 10.0, 10.25)
    slots.apply_report(report(), requested_at)
    assert slots.adapters == adapters


def test_adapter_being_loaded_occupies_a_slot() -> None:
    slots = AdapterSlots()
    slots.apply_report(report(A, coming=(B,)), 1.0)
    assert len(slots) == 2


def test_old_report_does_not_restore_an_unloaded_adapter() -> None:
    slots = AdapterSlots()
    slots.apply_report(report(A), 1.0)
    slots.record_unloaded(A, 2.0)
    slots.apply_report(report(A), 2.1)
    assert len(slots) == 0
    slots.apply_report(report(A), 2.0 + REPORT_LAG_S + 0.1)
    assert len(slots) == 1


@pytest.mark.parametrize(
    ("in_use", "now", "victim"),
    [
        pytest.param(set(), 20.0, A, id="least-recently-used"),
        pytest.param({A}, 20.0, B, id="used-least-recently-of-those-not-in-use"),
        pytest.param({A, B, C}, 20.0, None, id="all-in-use"),
        pytest.param(set(), 5.3, A, id="recently-used-are-kept"),
        pytest.param({A}, 5.3, None, id="others-recently-used"),
    ],
)
def test_select_victim(in_use: set, now: float, victim: object) -> None:
    slots = AdapterSlots()
    slots.apply_report(report(A, B, C), 1.0)
    slots.record_use({A}, 2.0)
    slots.record_use({B, C}, 5.0)
    assert slots.select_victim(in_use, now, min_idle_s=0.6) == victim


@pytest.mark.parametrize(
    ("min_idle_s", "victim"),
    [
        pytest.param(0.6, A, id="all-uses-are-told-at-once"),
        pytest.param(4.0, None, id="use-may-not-have-been-told-yet"),
    ],
)
def test_adapter_whose_use_may_be_untold_is_not_unloaded(
    min_idle_s: float, victim: object
) -> None:
    slots = AdapterSlots()
    slots.apply_report(report(A), 1.0)
    slots.record_use({A}, 2.0)
    assert slots.select_victim(set(), 5.0, min_idle_s) == victim


@pytest.mark.parametrize(
    ("told_at", "idle_s", "victim"),
    [
        pytest.param(2.0, 0.35, A, id="end-told-at-once"),
        pytest.param(2.0, 0.25, None, id="next-request-may-be-in-transit"),
        pytest.param(1.9, 0.35, None, id="end-told-by-gossip-only"),
        pytest.param(1.9, 1.6, A, id="end-told-by-gossip-only-long-ago"),
        pytest.param(2.1, 0.35, A, id="gossip-was-faster-than-the-call"),
    ],
)
def test_adapter_is_kept_as_long_as_its_user_may_not_have_told_a_use(
    told_at: float, idle_s: float, victim: object
) -> None:
    """A user whose calls get lost may use the adapter again without being heard."""
    slots = AdapterSlots()
    slots.record_load(A, 0.0, 0.3)
    slots.record_last_use(A, 2.0, "user")
    chosen = slots.select_victim(
        set(), 2.0 + idle_s, 1.5, lambda user, since: told_at >= since
    )
    assert chosen == victim
