"""Only whole events go on, so that a stream can be resumed after its last one."""

from __future__ import annotations

import pytest

from chiveslip.gateway.event_stream import EventSplitter

ONE = b"id: 1\ndata: a\n\n"
TWO = b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize(
    ("chunks", "passed", "last"),
    [
        pytest.param([ONE, TWO], [ONE, TWO], "2", id="event-by-event"),
        pytest.param([ONE + TWO], [ONE + TWO], "2", id="two-at-once"),
        pytest.param([ONE[:5], ONE[5:]], [b"", ONE], "1", id="one-in-parts"),
        pytest.param([ONE + TWO[:7]], [ONE], "1", id="cut-in-the-second"),
        pytest.param([b"data: x\n\n"], [b"data: x\n\n"], "", id="without-an-id"),
        pytest.param(
            [b"data: x\nid: 7\n\n"], [b"data: x\nid: 7\n\n"], "7", id="id-comes-later"
        ),
    ],
)
def test_whole_events_are_passed(
    chunks: list[bytes], passed: list[bytes], last: str
) -> None:
    splitter = EventSplitter()
    assert [splitter.feed(chunk) for chunk in chunks] == passed
    assert splitter.last_event == last


def test_part_of_an_event_is_dropped_before_a_resumption() -> None:
    splitter = EventSplitter()
    splitter.feed(ONE + TWO[:4])
    splitter.restart()
    assert splitter.feed(TWO) == TWO
    assert splitter.may_resume


def test_huge_event_cannot_be_resumed() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"x" * (1 << 21))
    assert not splitter.may_resume
