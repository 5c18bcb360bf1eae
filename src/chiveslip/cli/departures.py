"""Report on endpoints that left, and on the requests sent to them afterwards.

Built from the logs of several instances: when each instance learnt that an endpoint
was leaving or gone and from whom, and when it chose the endpoint for a late request.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from typing import Any

import attrs

from chiveslip.cli.request_report import LogLine

_LEAVING_STATE = "leaving"


@attrs.frozen(kw_only=True)
class Notice:
    """What one instance learnt about an endpoint.

    Attributes
    ----------
    at
        Unix time in seconds.
    source
        ``store``, ``expiry`` or the address of a peer.
    event
        Text of the log line.
    """

    at: float
    instance: str
    source: str
    event: str


@attrs.frozen(kw_only=True)
class LateSend:
    """A request that was sent to an endpoint after its departure was first known.

    Attributes
    ----------
    after_s
        Time in seconds from the first notice at any instance to the sending.
    chosen_after_s
        Time in seconds from the first notice at any instance to the choice.
    notice
        First notice at the sender, or None if its log has none.
    """

    request: str
    instance: str
    after_s: float
    chosen_after_s: float
    result: str
    notice: Notice | None


@attrs.frozen(kw_only=True)
class Departure:
    """An endpoint that left.

    Attributes
    ----------
    notices
        First notice at each instance, by time.
    late_sends
        Requests sent to it later than the bound, by time.
    """

    endpoint: str
    notices: list[Notice]
    late_sends: list[LateSend]

    @property
    def started_at(self) -> float:
        """Unix time in seconds of the first notice at any instance."""
        return self.notices[0].at

    @property
    def spread_s(self) -> float:
        """Time in seconds from the first notice to that at the last instance."""
        return self.notices[-1].at - self.started_at

    def to_dict(self) -> dict[str, Any]:
        """Return the departure as plain data for JSON."""
        return attrs.asdict(self) | {"spread_s": self.spread_s}


@attrs.frozen(kw_only=True)
class _Sending:
    request: str
    instance: str
    chosen_at: float
    sent_at: float
    result: str


def find_departures(lines: Iterable[LogLine], bound_s: float) -> list[Departure]:
    """Return the departures in the log, by time.

    Parameters
    ----------
    bound_s
        A request sent later than this many seconds after the first notice is late.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    notices = _find_first_notices(ordered)
    sendings = _find_sendings(ordered)
    departures = []
    for (endpoint, _), first_notices in notices.items():
        by_instance = {notice.instance: notice for notice in first_notices}
        started_at = first_notices[0].at
        returned_at = _find_return(ordered, endpoint, started_at)
        late_sends = [
            LateSend(
                request=sending.request,
                instance=sending.instance,
                after_s=sending.sent_at - started_at,
                chosen_after_s=sending.chosen_at - started_at,
                result=sending.result,
                notice=by_instance.get(sending.instance),
            )
            for sending in sendings.get(endpoint, ())
            if started_at + bound_s < sending.sent_at < returned_at
        ]
        departures.append(
            Departure(endpoint=endpoint, notices=first_notices, late_sends=late_sends)
        )
    return sorted(departures, key=lambda departure: departure.started_at)


def _is_departure(line: LogLine) -> bool:
    if line.part != "catalogue":
        return False
    if line.event == "Endpoint state changed.":
        return line.fields.get("state") == _LEAVING_STATE
    return line.event in ("Endpoint gone.", "Removal deferred.")


def _is_return(line: LogLine) -> bool:
    return (
        line.part == "catalogue"
        and line.event == "Endpoint state changed."
        and line.fields.get("state") != _LEAVING_STATE
    )


def _find_return(lines: list[LogLine], endpoint: str, after: float) -> float:
    """Return when an instance first saw the endpoint ready again, or infinity."""
    start = bisect.bisect_right(lines, after, key=lambda line: line.at)
    return next(
        (
            line.at
            for line in lines[start:]
            if _is_return(line) and line.fields.get("endpoint") == endpoint
        ),
        float("inf"),
    )


def _find_first_notices(
    lines: list[LogLine],
) -> dict[tuple[str, int], list[Notice]]:
    """Return the first notice at each instance, by endpoint and number of its return.

    An endpoint that is listed as ready again starts a new departure.
    """
    notices: dict[tuple[str, int], list[Notice]] = {}
    returns: dict[str, int] = {}
    informed: dict[str, set[str]] = {}
    for line in lines:
        endpoint = line.fields.get("endpoint", "")
        if _is_return(line) and endpoint in informed:
            del informed[endpoint]
            returns[endpoint] = returns.get(endpoint, 0) + 1
            continue
        if not _is_departure(line):
            continue
        instances = informed.setdefault(endpoint, set())
        if line.source in instances:
            continue
        instances.add(line.source)
        notice = Notice(
            at=line.at,
            instance=line.source,
            source=str(line.fields.get("source", "")),
            event=line.event,
        )
        notices.setdefault((endpoint, returns.get(endpoint, 0)), []).append(notice)
    return notices


def _find_sendings(lines: list[LogLine]) -> dict[str, list[_Sending]]:
    """Return the attempts that sent a request, by endpoint."""
    sendings: dict[str, list[_Sending]] = {}
    for line in lines:
        if line.event != "Ended.":
            continue
        fields = line.fields
        arrived_at = line.at - fields.get("total_s", 0.0)
        attempts = zip(
            fields.get("endpoints", ()),
            fields.get("results", ()),
            fields.get("chosen_s", ()),
            fields.get("sent_s", ()),
            strict=False,
        )
        for endpoint, result, chosen_s, sent_s in attempts:
            if sent_s is None:
                continue
            sending = _Sending(
                request=str(fields.get("request", "")),
                instance=line.source,
                chosen_at=arrived_at + chosen_s,
                sent_at=arrived_at + sent_s,
                result=result,
            )
            sendings.setdefault(endpoint, []).append(sending)
    return sendings


def format_departures(departures: list[Departure]) -> str:
    """Return the departures as text, with one row for each late send."""
    rows = []
    for departure in departures:
        last = departure.notices[-1]
        rows.append(
            f"{departure.endpoint}: known to {len(departure.notices)} instances within "
            f"{departure.spread_s:.3f} s, last to {last.instance} from {last.source}; "
            f"{len(departure.late_sends)} late requests"
        )
        rows += [_format_late_send(late, departure) for late in departure.late_sends]
    return "\n".join(rows)


def _format_late_send(late: LateSend, departure: Departure) -> str:
    learnt = "never learnt"
    if late.notice is not None:
        learnt_s = late.notice.at - departure.started_at
        learnt = f"learnt {learnt_s:+.3f} s from {late.notice.source}"
    return (
        f"  {late.request} by {late.instance}: {learnt}, chosen "
        f"{late.chosen_after_s:+.3f} s, sent {late.after_s:+.3f} s, {late.result}"
    )
