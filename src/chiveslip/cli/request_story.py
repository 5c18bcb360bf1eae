"""The way of one request, told from the logs of several instances."""

from __future__ import annotations

import datetime
import json
from collections.abc import Iterable
from typing import Any

import attrs

from chiveslip.generated import result_codes

# Lines without the request's id that are told if they are this near to it.
_NEAR_S = 5.0
_STATE_PARTS = ("catalogue", "store", "orders", "daemon", "audit", "fleet")


@attrs.frozen(kw_only=True)
class LogLine:
    """One line of a log.

    Attributes
    ----------
    at
        Wall time in seconds, as the instance saw it.
    source
        File, or the instance where the line names it.
    """

    at: float
    source: str
    part: str
    event: str
    fields: dict[str, Any]


@attrs.frozen(kw_only=True)
class Story:
    """What the logs say of a request, and its cause in words."""

    request: str
    lines: list[LogLine]
    around: list[LogLine]
    cause: str

    def to_dict(self) -> dict[str, Any]:
        """Return the story as plain data."""
        return {
            "request": self.request,
            "cause": self.cause,
            "lines": [attrs.asdict(line) for line in self.lines],
            "around": [attrs.asdict(line) for line in self.around],
        }


def read_lines(lines: Iterable[str], source: str) -> list[LogLine]:
    """Return the lines that are ours; whatever stands before the JSON is a source."""
    found = []
    for text in lines:
        before, brace, rest = text.partition("{")
        try:
            fields = json.loads(brace + rest)
            at = datetime.datetime.fromisoformat(fields.pop("timestamp")).timestamp()
            part, _, event = fields.pop("event").partition(": ")
        except (ValueError, KeyError, AttributeError):
            continue
        words = before.split()
        name = words[-1] if words else source
        found.append(LogLine(at=at, source=name, part=part, event=event, fields=fields))
    return found


def tell(request: str, lines: list[LogLine]) -> Story | None:
    """Return the story of a request, or None if no line names it."""
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return None
    own.sort(key=lambda line: line.at)
    around = _around(own, lines)
    return Story(request=request, lines=own, around=around, cause=_cause(own, around))


def _around(own: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return changes of state near the request, at its instance or its endpoints."""
    start, end = own[0].at - _NEAR_S, own[-1].at + _NEAR_S
    sources = {line.source for line in own}
    endpoints = set(own[-1].fields.get("endpoints", ()))
    found = []
    for line in lines:
        if line.part not in _STATE_PARTS or not start <= line.at <= end:
            continue
        about = line.fields.get("engine") or line.fields.get("endpoint")
        if about is None:
            if line.source in sources:
                found.append(line)
        elif about in endpoints and line.event != "Order accepted.":
            found.append(line)
    return sorted(found, key=lambda line: line.at)


def _cause(own: list[LogLine], around: list[LogLine]) -> str:
    last = own[-1].fields
    if own[-1].event == "Refused.":
        return f"{_code_words(last)} {last.get('detail', '')}".strip()
    if own[-1].event != "Ended.":
        return "Its end is not in these logs; ask for the logs of all instances."
    ending = last.get("ending")
    if ending == "answered":
        return _answered(last)
    if ending == "caller left":
        return _caller_left(last)
    return f"{_code_words(last)} {_tries(last)} {_neighbours(around)}".strip()


def _answered(last: dict[str, Any]) -> str:
    status = last.get("status", 0)
    if status < 400:
        return f"Answered with {status} after {last.get('total_s')} s. {_tries(last)}"
    return f"The endpoint itself answered {status}; it was passed on. {_tries(last)}"


def _caller_left(last: dict[str, Any]) -> str:
    waited = last.get("total_s")
    if last.get("first_event_s") is None:
        load_s = last.get("load_wait_s")
        return (
            f"The caller left after {waited} s without an answer, "
            f"{load_s} s of it waiting for the adapter. {_tries(last)}"
        )
    return f"The caller left in the middle of the answer, after {waited} s."


def _code_words(fields: dict[str, Any]) -> str:
    code = result_codes.BY_CODE.get(fields.get("code", 0))
    if code is None:
        return ""
    return f"{code.code} {code.name} ({code.run.value}): {code.meaning}"


def _tries(last: dict[str, Any]) -> str:
    pairs = zip(last.get("endpoints", ()), last.get("results", ()), strict=False)
    told = [f"{endpoint} {result}" for endpoint, result in pairs]
    return "Tries: " + ", ".join(told) + "." if told else "It was never sent."


def _neighbours(around: list[LogLine]) -> str:
    told = [line for line in around if line.event in ("Endpoint gone.", "Store lost.")]
    if not told:
        return ""
    return "Near it: " + "; ".join(f"{line.source}: {line.event}" for line in told)


def to_text(story: Story) -> str:
    """Return the story for people."""
    start = story.lines[0].at
    rows = [f"request {story.request}", f"cause: {story.cause}", "", "its lines:"]
    rows += [_row(line, start) for line in story.lines]
    if story.around:
        rows += ["", "changes near it:"]
        rows += [_row(line, start) for line in story.around]
    return "\n".join(rows)


def _row(line: LogLine, start: float) -> str:
    hidden = ("level", "request")
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in hidden and value not in ("", None, [])
    )
    at = f"{line.at - start:+8.3f} s"
    return f"{at}  {line.source}  {line.part}: {line.event} {fields}"
