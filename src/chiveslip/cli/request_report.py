"""Report on the course of a request, built from the logs of several instances."""

from __future__ import annotations

import datetime
import json
from collections.abc import Iterable
from typing import Any

import attrs

from chiveslip.generated import result_codes

# Changes of state this long before or after the request are part of the report.
_CONTEXT_S = 5.0
# Parts whose log lines are about changes of state.
_STATE_PARTS = ("catalogue", "store", "orders", "daemon", "audit", "fleet")


@attrs.frozen(kw_only=True)
class LogLine:
    """One line of a log.

    Attributes
    ----------
    at
        Unix time in seconds, by the clock of the instance.
    source
        Name of the instance if the line starts with it, else of the log file.
    """

    at: float
    source: str
    part: str
    event: str
    fields: dict[str, Any]


@attrs.frozen(kw_only=True)
class RequestReport:
    """Log lines of a request, and the cause of its result.

    Attributes
    ----------
    lines
        Lines with the id of the request, by time.
    state_changes
        Lines of changes of state near the request, by time.
    cause
        What the result was and why, as text.
    """

    request: str
    lines: list[LogLine]
    state_changes: list[LogLine]
    cause: str

    def to_dict(self) -> dict[str, Any]:
        """Return the report as plain data for JSON."""
        return {
            "request": self.request,
            "cause": self.cause,
            "lines": [attrs.asdict(line) for line in self.lines],
            "around": [attrs.asdict(line) for line in self.state_changes],
        }


def parse_lines(lines: Iterable[str], source: str) -> list[LogLine]:
    """Parse the log lines of this program, and skip all others.

    The last word before the JSON of a line is its source; `source` is that of lines
    without one.
    """
    parsed = []
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
        parsed.append(
            LogLine(at=at, source=name, part=part, event=event, fields=fields)
        )
    return parsed


def build_report(request: str, lines: list[LogLine]) -> RequestReport | None:
    """Return the report on a request, or None if no line has its id."""
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return None
    own.sort(key=lambda line: line.at)
    changes = _find_state_changes(own, lines)
    return RequestReport(
        request=request,
        lines=own,
        state_changes=changes,
        cause=_describe_cause(own, changes),
    )


def _find_state_changes(own: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return the changes of state near the request.

    These are changes at the instances that logged the request, and changes of the
    endpoints that it was sent to.
    """
    start, end = own[0].at - _CONTEXT_S, own[-1].at + _CONTEXT_S
    sources = {line.source for line in own}
    endpoints = set(own[-1].fields.get("endpoints", ()))
    changes = []
    for line in lines:
        if line.part not in _STATE_PARTS or not start <= line.at <= end:
            continue
        subject = line.fields.get("engine") or line.fields.get("endpoint")
        if subject is None:
            if line.source in sources:
                changes.append(line)
        elif subject in endpoints and line.event != "Order accepted.":
            changes.append(line)
    return sorted(changes, key=lambda line: line.at)


def _describe_cause(own: list[LogLine], changes: list[LogLine]) -> str:
    last = own[-1].fields
    if own[-1].event == "Refused.":
        return f"{_describe_code(last)} {last.get('detail', '')}".strip()
    if own[-1].event != "Ended.":
        return "These logs do not contain its end; give the logs of all instances."
    ending = last.get("ending")
    if ending == "answered":
        return _describe_answer(last)
    if ending == "caller left":
        return _describe_disconnect(last)
    return (
        f"{_describe_code(last)} {_describe_attempts(last)} "
        f"{_describe_nearby_failures(changes)}"
    ).strip()


def _describe_answer(last: dict[str, Any]) -> str:
    status = last.get("status", 0)
    if status < 400:
        return (
            f"Answered with {status} after {last.get('total_s')} s. "
            f"{_describe_attempts(last)}"
        )
    return (
        f"The endpoint itself answered {status}; the answer was forwarded. "
        f"{_describe_attempts(last)}"
    )


def _describe_disconnect(last: dict[str, Any]) -> str:
    waited = last.get("total_s")
    if last.get("first_event_s") is None:
        load_s = last.get("load_wait_s")
        return (
            f"The caller disconnected after {waited} s without an answer, "
            f"{load_s} s of it waiting for the adapter. {_describe_attempts(last)}"
        )
    return f"The caller disconnected during the answer, after {waited} s."


def _describe_code(fields: dict[str, Any]) -> str:
    code = result_codes.BY_CODE.get(fields.get("code", 0))
    if code is None:
        return ""
    return f"{code.code} {code.name} ({code.run.value}): {code.meaning}"


def _describe_attempts(last: dict[str, Any]) -> str:
    pairs = zip(last.get("endpoints", ()), last.get("results", ()), strict=False)
    attempts = [f"{endpoint} {result}" for endpoint, result in pairs]
    return (
        "Attempts: " + ", ".join(attempts) + "." if attempts else "It was never sent."
    )


def _describe_nearby_failures(changes: list[LogLine]) -> str:
    failures = [
        line for line in changes if line.event in ("Endpoint gone.", "Store lost.")
    ]
    if not failures:
        return ""
    return "Nearby events: " + "; ".join(
        f"{line.source}: {line.event}" for line in failures
    )


def format_report(report: RequestReport) -> str:
    """Return the report as text."""
    start = report.lines[0].at
    rows = [f"request {report.request}", f"cause: {report.cause}", "", "log lines:"]
    rows += [_format_line(line, start) for line in report.lines]
    if report.state_changes:
        rows += ["", "nearby changes of state:"]
        rows += [_format_line(line, start) for line in report.state_changes]
    return "\n".join(rows)


def _format_line(line: LogLine, start: float) -> str:
    hidden = ("level", "request")
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in hidden and value not in ("", None, [])
    )
    at = f"{line.at - start:+8.3f} s"
    return f"{at}  {line.source}  {line.part}: {line.event} {fields}"
