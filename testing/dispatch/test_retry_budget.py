"""Retries stay within the fleet's budget without messages between instances."""

from __future__ import annotations

import pytest

from chiveslip.dispatch.retry_budget import RetryBudget


@pytest.mark.parametrize(
    ("requests", "instances", "allowed"),
    [
        pytest.param(0, 1, 33, id="slack-only"),
        pytest.param(100, 1, 53, id="slack-and-share"),
        pytest.param(100, 6, 25, id="slack-is-divided"),
    ],
)
def test_retries_in_one_window(requests: int, instances: int, allowed: int) -> None:
    budget = RetryBudget(share=0.2, slack=50, window_s=10.0)
    for _ in range(requests):
        budget.record_request("kiosk", 0.0)
    taken = sum(budget.take_retry("kiosk", instances, 1.0) for _ in range(200))
    assert taken == allowed


def test_fleet_stays_within_its_budget() -> None:
    budgets = [RetryBudget(share=0.2, slack=52, window_s=10.0) for _ in range(6)]
    retries = 0
    for index, budget in enumerate(budgets):
        for _ in range(50 * index):
            budget.record_request("kiosk", 0.0)
        while budget.take_retry("kiosk", 6, 0.0):
            retries += 1
    assert retries <= 0.2 * sum(50 * index for index in range(6)) + 52


def test_budget_is_restored_after_the_window() -> None:
    budget = RetryBudget(share=0.0, slack=3, window_s=10.0)
    assert [budget.take_retry("kiosk", 1, 0.0) for _ in range(3)] == [True, True, False]
    assert budget.take_retry("kiosk", 1, 10.0)


def test_services_have_separate_budgets() -> None:
    budget = RetryBudget(share=0.0, slack=2, window_s=10.0)
    assert budget.take_retry("kiosk", 1, 0.0)
    assert not budget.take_retry("kiosk", 1, 0.0)
    assert budget.take_retry("portal", 1, 0.0)
