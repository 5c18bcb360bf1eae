"""Crash suspects in gossip: the crash of a busy endpoint does not fill the links."""

from __future__ import annotations

import pytest

from chiveslip.fleet.suspect_news import Crashes
from chiveslip.fleet.suspect_news import SuspectNews

FAN_OUT = 3
MAX_MESSAGES = 12


def make_crashes(requests: int, endpoints: int = 1) -> dict[str, dict[str, float]]:
    return {
        f"request-{number}": {f"endpoint-{e}": 1.0 for e in range(endpoints)}
        for number in range(requests)
    }


def tell(news: SuspectNews, crashes: Crashes) -> None:
    selected = news.select(crashes, FAN_OUT)
    news.record_told((f, e) for f, endpoints in selected.items() for e in endpoints)


@pytest.mark.parametrize(
    ("endpoints", "messages", "is_told"),
    [
        pytest.param(1, MAX_MESSAGES - 1, True, id="one-crash-at-first"),
        pytest.param(1, MAX_MESSAGES, False, id="one-crash-later"),
        pytest.param(2, 10 * MAX_MESSAGES, True, id="two-crashes"),
    ],
)
def test_suspects_of_one_crash_are_told_a_limited_number_of_times(
    endpoints: int, messages: int, is_told: bool
) -> None:
    news, crashes = SuspectNews(), make_crashes(200, endpoints)
    for _ in range(messages):
        tell(news, crashes)
    assert bool(news.select(crashes, FAN_OUT)) is is_told


def test_second_crash_of_a_request_is_told_with_the_first() -> None:
    news, crashes = SuspectNews(), make_crashes(1)
    for _ in range(MAX_MESSAGES):
        tell(news, crashes)
    crashes["request-0"]["endpoint-1"] = 2.0
    assert news.select(crashes, FAN_OUT) == crashes


def test_expired_crash_that_comes_again_is_told_again() -> None:
    news, crashes = SuspectNews(), make_crashes(1)
    for _ in range(MAX_MESSAGES):
        tell(news, crashes)
    news.select({}, FAN_OUT)
    assert news.select(crashes, FAN_OUT) == crashes


def test_crash_is_told_until_messages_are_received() -> None:
    """An instance that is cut off sends its messages in vain."""
    news, crashes = SuspectNews(), make_crashes(1)
    for _ in range(10 * MAX_MESSAGES):
        assert news.select(crashes, FAN_OUT) == crashes
