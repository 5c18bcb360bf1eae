"""Streams are split into whole events, so that they can be resumed."""

from __future__ import annotations

import pytest

from chiveslip.dispatch.response_end import EventPosition
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


@pytest.mark.parametrize(
    ("chunks", "position"),
    [
        pytest.param([], EventPosition.BEFORE_FIRST, id="nothing"),
        pytest.param([b"\n"], EventPosition.BEFORE_FIRST, id="empty-line"),
        pytest.param([ONE[:1]], EventPosition.WITHIN, id="first-byte"),
        pytest.param([ONE[:-1]], EventPosition.WITHIN, id="last-byte-missing"),
        pytest.param([ONE], EventPosition.BETWEEN, id="whole-event"),
        pytest.param([ONE[:-1], b"\n"], EventPosition.BETWEEN, id="end-in-parts"),
        pytest.param([ONE, b"\n"], EventPosition.BETWEEN, id="further-empty-line"),
        pytest.param([ONE, TWO[:3]], EventPosition.WITHIN, id="within-the-second"),
        pytest.param([b"data: x\r\n\r\n"], EventPosition.BETWEEN, id="crlf"),
        pytest.param(
            [b"data: x\r\n\r", b"\n"], EventPosition.BETWEEN, id="crlf-in-parts"
        ),
        pytest.param([b"data: x\r\n"], EventPosition.WITHIN, id="one-crlf"),
        pytest.param([b"x" * (1 << 21)], EventPosition.WITHIN, id="huge-event"),
        pytest.param(
            [b"x" * (1 << 21) + b"\n", b"\n"], EventPosition.BETWEEN, id="huge-whole"
        ),
    ],
)
def test_position_tells_whether_an_event_is_incomplete(
    chunks: list[bytes], position: EventPosition
) -> None:
    splitter = EventSplitter()
    for chunk in chunks:
        splitter.feed(chunk)
    assert splitter.position is position


def test_response_that_resumes_a_stream_has_no_event_at_first() -> None:
    splitter = EventSplitter()
    splitter.feed(ONE + TWO[:4])
    splitter.begin_response()
    assert splitter.position is EventPosition.BEFORE_FIRST


def test_partial_event_is_discarded_before_a_resumption() -> None:
    splitter = EventSplitter()
    splitter.feed(ONE + TWO[:4])
    splitter.begin_response()
    assert splitter.feed(TWO) == TWO
    assert splitter.can_resume


def test_stream_with_a_huge_event_cannot_be_resumed() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"x" * (1 << 21))
    assert not splitter.can_resume
