"""Streams are split into whole events, so that they can be resumed."""

from __future__ import annotations

import pytest

from chiveslip.gateway.event_stream import EventSplitter

ONE = b"id: 1\ndata: a\n\n"
TWO = b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize(
    ("chunks", "released", "last_event_id"),
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
def test_only_whole_events_are_released(
    chunks: list[bytes], released: list[bytes], last_event_id: str
) -> None:
    splitter = EventSplitter()
    assert [splitter.feed(chunk) for chunk in chunks] == released
    assert splitter.last_event_id == last_event_id


def test_partial_event_is_discarded_before_a_resumption() -> None:
    splitter = EventSplitter()
    splitter.feed(ONE + TWO[:4])
    splitter.discard_partial_event()
    assert splitter.feed(TWO) == TWO
    assert splitter.can_resume


def test_stream_with_a_huge_event_cannot_be_resumed() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"x" * (1 << 21))
    assert not splitter.can_resume
