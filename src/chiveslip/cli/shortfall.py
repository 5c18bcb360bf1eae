"""Report on requests that were not answered in time, by place and cause.

Built from the logs of several instances. A request is worth one unit unless its route
is given another worth; a late answer earns a share of it, every other failure nothing.
"""

from __future__ import annotations

import collections
import enum
import statistics
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import attrs

from chiveslip.cli.request_report import LogLine
from chiveslip.generated import result_codes

# Statuses from which an endpoint's own answer is a failure.
_MIN_FAILURE_STATUS = 400
# Rows of each table in the text; the JSON has all.
_MAX_TEXT_ROWS = 20
_MAX_CAUSES_PER_GROUP = 3
# Outcomes of load requests in the log.
_PENDING = "pending"
_USABLE = "usable"


class WaitPart(enum.Enum):
    """What a late request waited for the longest."""

    LOAD = "the load"
    CONNECTION = "the connection"
    EARLIER_ATTEMPT = "an earlier attempt"
    ENGINE = "the endpoint"


@attrs.frozen(kw_only=True)
class EngineWait:
    """Time from the sending of a late request to its first event, and the estimate.

    Attributes
    ----------
    sent_at
        Unix time in seconds.
    report_age_s
        Age in seconds of the engine's report at the choice, or None without one.
    has_estimate
        Whether the log tells what was known at the choice.
    """

    engine: str
    sent_at: float
    waited_s: float
    estimate_s: float | None
    report_age_s: float | None
    has_estimate: bool


@attrs.frozen(kw_only=True)
class RequestOutcome:
    """An admitted request, and what it failed to earn.

    Attributes
    ----------
    cause
        Why its worth was not earned in full, or empty if it was answered in time.
    lost
        Part of its worth that was not earned.
    engine_wait
        For a late answer of an engine, else None.
    """

    data_centre: str
    route: str
    cause: str
    worth: float
    lost: float
    engine_wait: EngineWait | None


@attrs.frozen(kw_only=True)
class GroupShortfall:
    """What the requests of one group failed to earn.

    Attributes
    ----------
    lost_by_cause
        Worth lost and number of requests, by cause, the largest loss first.
    """

    name: str
    requests: int
    worth: float
    lost: float
    lost_by_cause: dict[str, tuple[float, int]]


@attrs.frozen(kw_only=True)
class EngineLateness:
    """Late first events of one engine.

    Attributes
    ----------
    late
        Number of late requests that waited longest for this engine.
    report_age_s
        Median age in seconds of its report at the choices, or None without reports.
    without_report
        Choices without any report of the engine.
    busiest_s
        Unix time of the second in which most of the late requests were sent.
    sent_in_busiest
        Late requests that were sent in that second.
    """

    engine: str
    late: int
    estimate_s: float | None
    waited_s: float
    report_age_s: float | None
    without_report: int
    busiest_s: int
    sent_in_busiest: int


@attrs.frozen(kw_only=True)
class Shortfall:
    """What was not earned, over all and by group.

    Attributes
    ----------
    not_admitted
        Number of requests refused before a route and an allowance were found, by
        result code and route; not part of the other figures.
    engines
        Engines with late requests, most first.
    """

    total: GroupShortfall
    data_centres: list[GroupShortfall]
    routes: list[GroupShortfall]
    not_admitted: dict[str, int]
    engines: list[EngineLateness]

    def to_dict(self) -> dict[str, Any]:
        """Return the shortfall as plain data for JSON."""
        return attrs.asdict(self)


def find_shortfall(
    lines: Iterable[LogLine],
    *,
    worths: Mapping[str, float],
    late_share: float,
    targets_s: Mapping[str, float],
) -> Shortfall:
    """Return what the requests in the log failed to earn.

    Parameters
    ----------
    worths
        Worth of a request by route, 1 for other routes.
    late_share
        Share of its worth that a late answer earns.
    targets_s
        Time in seconds to the first event by route, where it differs from the log or
        the log has none.
    """
    lines = list(lines)
    data_centres = _find_data_centres(lines)
    outcomes = []
    not_admitted: collections.Counter[str] = collections.Counter()
    for line in lines:
        if line.event == "Refused.":
            not_admitted[_describe_not_admitted(line.fields)] += 1
        if line.event != "Ended.":
            continue
        route = str(line.fields.get("route", ""))
        outcomes.append(
            _assess(
                line,
                data_centre=data_centres.get(line.source) or _guess_group(line.source),
                worth=worths.get(route, 1.0),
                late_share=late_share,
                target_s=targets_s.get(route, line.fields.get("target_s")),
            )
        )
    return Shortfall(
        total=_sum_up("all", outcomes),
        data_centres=_sum_up_groups(outcomes, lambda outcome: outcome.data_centre),
        routes=_sum_up_groups(outcomes, lambda outcome: outcome.route),
        not_admitted=dict(not_admitted.most_common()),
        engines=_sum_up_engines(outcomes),
    )


def _find_data_centres(lines: list[LogLine]) -> dict[str, str]:
    return {
        line.source: str(line.fields["data_centre"])
        for line in lines
        if line.event == "Started." and "data_centre" in line.fields
    }


def _guess_group(instance: str) -> str:
    """Return the name without its number, for instances whose start is not logged."""
    return instance.rpartition("-")[0] or instance


def _describe_not_admitted(fields: dict[str, Any]) -> str:
    words = [str(fields.get(name, "")) for name in ("code", "name", "route")]
    return " ".join(word for word in words if word)


def _assess(
    line: LogLine,
    *,
    data_centre: str,
    worth: float,
    late_share: float,
    target_s: float | None,
) -> RequestOutcome:
    fields = line.fields
    cause = _find_failure(fields)
    lost = worth if cause else 0.0
    engine_wait = None
    answered_s = fields.get("first_event_s")
    if answered_s is None:
        answered_s = fields.get("total_s", 0.0)
    if not cause and target_s is not None and answered_s > target_s:
        parts = _split_wait(fields, answered_s)
        longest = max(parts, key=lambda part: parts[part])
        cause = f"late, longest wait for {longest.value}"
        lost = worth * (1.0 - late_share)
        if longest is WaitPart.ENGINE:
            arrived_at = line.at - fields.get("total_s", 0.0)
            engine_wait = _describe_engine_wait(fields, arrived_at, parts[longest])
    return RequestOutcome(
        data_centre=data_centre,
        route=str(fields.get("route", "")),
        cause=cause,
        worth=worth,
        lost=lost,
        engine_wait=engine_wait,
    )


def _find_failure(fields: dict[str, Any]) -> str:
    """Return why a request was not answered, or an empty text if it was."""
    ending = fields.get("ending")
    if ending == "answered":
        status = fields.get("status", 0)
        is_failure = status >= _MIN_FAILURE_STATUS
        return f"the endpoint answered {status}" if is_failure else ""
    if ending == "caller left":
        return _describe_disconnect(fields)
    code = result_codes.BY_CODE.get(fields.get("code", 0))
    name = str(fields.get("code", 0)) if code is None else f"{code.code} {code.name}"
    if ending == "broke off":
        return f"broke off midway, {name}"
    reasons = [result for result in fields.get("results", ()) if result != "answered"]
    reasons += [wait["outcome"] for wait in fields.get("load_waits", ())]
    if not reasons:
        return f"refused, {name}"
    return f"refused, {name}, {collections.Counter(reasons).most_common(1)[0][0]}"


def _describe_disconnect(fields: dict[str, Any]) -> str:
    if fields.get("first_event_s") is not None:
        return "the caller left midway"
    waits = fields.get("load_waits", ())
    if waits and waits[-1]["outcome"] == _PENDING:
        return "the caller left, waiting for the load"
    sent_s = fields.get("sent_s", ())
    results = fields.get("results", ())
    if len(results) < len(sent_s):
        part = "the connection" if sent_s[-1] is None else "the endpoint"
        return f"the caller left, waiting for {part}"
    return "the caller left before the next attempt"


def _split_wait(fields: dict[str, Any], answered_s: float) -> dict[WaitPart, float]:
    """Return the time in seconds that each part of the wait for an answer took."""
    chosen_s, sent_s = fields.get("chosen_s", ()), fields.get("sent_s", ())
    if not sent_s or sent_s[-1] is None:
        return {WaitPart.ENGINE: answered_s}
    # Loads that failed are not part of `load_wait_s`.
    failed_loads_s = sum(
        wait["wait_s"]
        for wait in fields.get("load_waits", ())
        if wait["outcome"] != _USABLE
    )
    load_s = fields.get("load_wait_s") or 0.0
    before_sending_s = sum(
        sent - chosen
        for chosen, sent in zip(chosen_s, sent_s, strict=False)
        if sent is not None
    )
    connection_s = max(before_sending_s - load_s, 0.0)
    load_s = min(load_s + failed_loads_s, sent_s[-1])
    return {
        WaitPart.ENGINE: answered_s - sent_s[-1],
        WaitPart.LOAD: load_s,
        WaitPart.CONNECTION: connection_s,
        WaitPart.EARLIER_ATTEMPT: max(sent_s[-1] - load_s - connection_s, 0.0),
    }


def _describe_engine_wait(
    fields: dict[str, Any], arrived_at: float, waited_s: float
) -> EngineWait | None:
    endpoints, sent_s = fields.get("endpoints", ()), fields.get("sent_s", ())
    if not endpoints or not sent_s or sent_s[-1] is None:
        return None
    estimates = fields.get("engine_estimates", ())
    estimate = estimates[-1] if estimates else {}
    return EngineWait(
        engine=endpoints[-1],
        sent_at=arrived_at + sent_s[-1],
        waited_s=waited_s,
        estimate_s=estimate.get("estimate_s", fields.get("estimate_s")),
        report_age_s=estimate.get("report_age_s"),
        has_estimate=bool(estimates),
    )


def _sum_up_groups(
    outcomes: list[RequestOutcome], group_of: Callable[[RequestOutcome], str]
) -> list[GroupShortfall]:
    """Return the shortfall of each group, by name."""
    groups: dict[str, list[RequestOutcome]] = {}
    for outcome in outcomes:
        groups.setdefault(group_of(outcome), []).append(outcome)
    return [_sum_up(name, groups[name]) for name in sorted(groups)]


def _sum_up(name: str, outcomes: list[RequestOutcome]) -> GroupShortfall:
    lost: dict[str, float] = collections.defaultdict(float)
    requests: collections.Counter[str] = collections.Counter()
    for outcome in outcomes:
        if outcome.cause:
            lost[outcome.cause] += outcome.lost
            requests[outcome.cause] += 1
    return GroupShortfall(
        name=name,
        requests=len(outcomes),
        worth=sum(outcome.worth for outcome in outcomes),
        lost=sum(outcome.lost for outcome in outcomes),
        lost_by_cause={
            cause: (lost[cause], requests[cause])
            for cause in sorted(lost, key=lambda cause: -lost[cause])
        },
    )


def _sum_up_engines(outcomes: list[RequestOutcome]) -> list[EngineLateness]:
    waits: dict[str, list[EngineWait]] = {}
    for outcome in outcomes:
        if outcome.engine_wait is not None:
            waits.setdefault(outcome.engine_wait.engine, []).append(outcome.engine_wait)
    engines = [_sum_up_engine(engine, own) for engine, own in waits.items()]
    return sorted(engines, key=lambda engine: -engine.late)


def _sum_up_engine(engine: str, waits: list[EngineWait]) -> EngineLateness:
    seconds = collections.Counter(int(wait.sent_at) for wait in waits)
    busiest_s, sent_in_busiest = seconds.most_common(1)[0]
    return EngineLateness(
        engine=engine,
        late=len(waits),
        estimate_s=_median(wait.estimate_s for wait in waits),
        waited_s=statistics.median(wait.waited_s for wait in waits),
        report_age_s=_median(wait.report_age_s for wait in waits),
        without_report=sum(
            wait.has_estimate and wait.report_age_s is None for wait in waits
        ),
        busiest_s=busiest_s,
        sent_in_busiest=sent_in_busiest,
    )


def _median(values: Iterable[float | None]) -> float | None:
    known = [value for value in values if value is not None]
    return statistics.median(known) if known else None


def format_shortfall(shortfall: Shortfall) -> str:
    """Return the shortfall as text."""
    total = shortfall.total
    rows = [
        f"{total.requests} requests, {_earned(total):.3f} of their worth earned",
        "",
        "cause: requests, share of all worth lost",
    ]
    causes = list(total.lost_by_cause.items())[:_MAX_TEXT_ROWS]
    rows += [
        f"  {cause}: {requests}, {lost / total.worth:.4f}"
        for cause, (lost, requests) in causes
    ]
    for title, groups in (
        ("data centre", shortfall.data_centres),
        ("route", shortfall.routes),
    ):
        rows += ["", f"{title}: requests, share of its worth earned, largest losses"]
        rows += [_format_group(group) for group in groups]
    if shortfall.not_admitted:
        rows += ["", "not admitted: requests"]
        refusals = list(shortfall.not_admitted.items())
        rows += [f"  {name}: {count}" for name, count in refusals[:_MAX_TEXT_ROWS]]
    if shortfall.engines:
        rows += ["", "late at engines, medians:"]
        rows += [_format_engine(e) for e in shortfall.engines[:_MAX_TEXT_ROWS]]
    return "\n".join(rows)


def _earned(group: GroupShortfall) -> float:
    return 1.0 - group.lost / group.worth if group.worth else 0.0


def _format_group(group: GroupShortfall) -> str:
    causes = list(group.lost_by_cause.items())[:_MAX_CAUSES_PER_GROUP]
    losses = "; ".join(
        f"{cause} {lost / group.worth:.3f}" for cause, (lost, _) in causes
    )
    return f"  {group.name}: {group.requests}, {_earned(group):.3f}, {losses}"


def _format_engine(engine: EngineLateness) -> str:
    return (
        f"  {engine.engine}: {engine.late} late, estimated "
        f"{_format_seconds(engine.estimate_s)}, came after {engine.waited_s:.3f} s, "
        f"report {_format_seconds(engine.report_age_s)} old, "
        f"{engine.without_report} without a report; "
        f"{engine.sent_in_busiest} of them sent within one second"
    )


def _format_seconds(seconds: float | None) -> str:
    return "(unknown)" if seconds is None else f"{seconds:.3f} s"
