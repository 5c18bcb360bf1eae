"""Which responses are complete, by framing, what ended them and position."""

from __future__ import annotations

import pytest

from chiveslip.dispatch.response_end import Ending
from chiveslip.dispatch.response_end import EventPosition
from chiveslip.dispatch.response_end import Framing
from chiveslip.dispatch.response_end import ResponseEnd
from chiveslip.dispatch.response_end import find_body_fault
from chiveslip.dispatch.response_end import find_document_fault
from chiveslip.dispatch.response_end import find_marked_stream_fault
from chiveslip.dispatch.response_end import find_stream_fault

COMPLETE_BODIES = {
    *((framing, Ending.FRAMING) for framing in Framing),
    (Framing.CONNECTION, Ending.CLOSE),
}


def response_end(framing: Framing | None, ending: Ending) -> ResponseEnd:
    return ResponseEnd(framing=framing, ending=ending, received_bytes=3)


@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("framing", [*Framing, None])
def test_body_is_complete_by_its_framing_or_a_close(
    framing: Framing | None, ending: Ending
) -> None:
    fault = find_body_fault(response_end(framing, ending))
    is_complete = (framing, ending) in COMPLETE_BODIES or (
        framing is None and ending is Ending.FRAMING
    )
    assert (fault is None) == is_complete


@pytest.mark.parametrize(
    ("framing", "ending", "position", "is_complete"),
    [
        (Framing.CHUNKS, Ending.FRAMING, EventPosition.BETWEEN, True),
        (Framing.CHUNKS, Ending.FRAMING, EventPosition.BEFORE_FIRST, True),
        (Framing.CHUNKS, Ending.FRAMING, EventPosition.WITHIN, False),
        (Framing.CHUNKS, Ending.CLOSE, EventPosition.BETWEEN, False),
        (Framing.LENGTH, Ending.FRAMING, EventPosition.BETWEEN, True),
        (Framing.LENGTH, Ending.FRAMING, EventPosition.WITHIN, False),
        (Framing.CONNECTION, Ending.CLOSE, EventPosition.BETWEEN, True),
        (Framing.CONNECTION, Ending.CLOSE, EventPosition.WITHIN, False),
        (Framing.CONNECTION, Ending.CLOSE, EventPosition.BEFORE_FIRST, False),
        (Framing.CONNECTION, Ending.RESET, EventPosition.BETWEEN, False),
        (Framing.CONNECTION, Ending.LIMIT, EventPosition.BETWEEN, False),
    ],
)
def test_stream_is_complete_after_a_whole_event_only(
    framing: Framing, ending: Ending, position: EventPosition, is_complete: bool
) -> None:
    fault = find_stream_fault(response_end(framing, ending), position)
    assert (fault is None) == is_complete


@pytest.mark.parametrize("ending", Ending)
def test_end_marker_alone_decides(ending: Ending) -> None:
    end = response_end(Framing.CONNECTION, ending)
    assert find_marked_stream_fault(end, has_end_marker=True) is None
    assert find_marked_stream_fault(end, has_end_marker=False) is not None


@pytest.mark.parametrize(
    ("framing", "content_type", "body", "is_complete"),
    [
        (Framing.CONNECTION, "application/json", b'{"a": 1}', True),
        (Framing.CONNECTION, "application/json", b'{"a": 1', False),
        (Framing.CONNECTION, "application/json; charset=utf-8", b"", False),
        (Framing.CONNECTION, "application/problem+json", b"{", False),
        (Framing.CONNECTION, "text/plain", b"{", True),
        (Framing.CONNECTION, "", b"{", True),
        (Framing.CONNECTION, "application/json", b"[" * 100_000, True),
        (Framing.LENGTH, "application/json", b"{", True),
        (Framing.CHUNKS, "application/json", b"{", True),
    ],
)
def test_unframed_json_must_parse(
    framing: Framing, content_type: str, body: bytes, is_complete: bool
) -> None:
    end = response_end(framing, Ending.CLOSE)
    fault = find_document_fault(end, content_type, body)
    assert (fault is None) == is_complete
