"""Checks of what gateways send to endpoints that leave, rest or are brittle.

Times are monotonic, in seconds. What a gateway had no chance to know is excused: it was
started or frozen since, or its path to the endpoint was harmed.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from soak.checks import SentRequest
from testing.platform.standins import Arrival
from testing.platform.standins import BrittleTime

# An endpoint that leaves gets nothing after this time (`drain_ms` of the users).
MAX_NOTICE_S = 0.5
# Requests that an endpoint may get from one gateway while it rests.
MAX_IN_REST = 2
# From this time after the begin of a cut, callers have to be served.
CONTACT_S = 3.0
# Falls of the endpoints of a service in one time in which they are brittle; more of
# them may fall by their number.
MAX_FALLS = 2
_MAX_FALLS_SHARE = 0.1
# The users' bound on requests to an endpoint that has named a limit.
LIMIT_WINDOW_S = 4.0
MAX_LIMIT_EXCESS = 1.5
LIMIT_SLACK_REQUESTS = 5
# An endpoint whose entry was removed gets nothing after this time (`drain_ms`).
DRAIN_S = 2.0
_MIN_REQUESTS = 20
_MIN_SHARE_OF_OTHERS = 2 / 3


@attrs.frozen(kw_only=True)
class SentArrival:
    """A request that reached an endpoint, and where it came from.

    Attributes
    ----------
    sender
        Gateway that sent it there.
    excused_until
        Time up to which the sender cannot be blamed for what it did not know.
    asked_at
        When its caller sent it.
    """

    endpoint: str
    arrival: Arrival
    sender: str
    excused_until: float
    asked_at: float


@attrs.frozen(kw_only=True)
class LimitedTime:
    """A time in which an endpoint named a limit of requests a second."""

    endpoint: str
    requests_per_s: float
    begin: float
    end: float


@attrs.frozen(kw_only=True)
class RemovedTime:
    """A time in which an endpoint served although its entry was removed."""

    endpoint: str
    begin: float
    end: float


@attrs.frozen(kw_only=True)
class CutTime:
    """A time in which a gateway had no path to any endpoint."""

    gateway: str
    begin: float
    end: float


def find_requests_to_leaving(
    requests: Iterable[SentRequest], arrivals: Iterable[SentArrival]
) -> list[str]:
    """Return the requests that reached an endpoint that had said that it leaves."""
    told: dict[tuple[str, tuple[str, int]], list[float]] = {}
    for request in requests:
        if request.leaving is not None and request.took_s is not None:
            key = (request.gateway, request.leaving)
            told.setdefault(key, []).append(request.sent_at + request.took_s)
    violations = []
    for sent in arrivals:
        key = (sent.sender, (sent.endpoint, sent.arrival.start))
        if any(
            sent.excused_until < told_at < sent.asked_at - MAX_NOTICE_S
            for told_at in told.get(key, ())
        ):
            violations.append(
                f"{sent.arrival.request_id}: reached {sent.endpoint}, which had told "
                f"{sent.sender} that it leaves"
            )
    return violations


def find_requests_to_removed(
    removed_times: Iterable[RemovedTime],
    arrivals: Iterable[SentArrival],
    was_in_touch: Callable[[Arrival], bool],
) -> list[str]:
    """Return the requests that reached an endpoint long after its removal.

    A request that was held up on a harmed path is excused.
    """
    sents = list(arrivals)
    return [
        f"{sent.arrival.request_id}: reached {sent.endpoint} from {sent.sender} "
        f"{sent.arrival.at - removed.begin:.2f} s after the removal of its entry"
        for removed in removed_times
        for sent in sents
        if sent.endpoint == removed.endpoint
        and removed.begin + DRAIN_S < sent.arrival.at <= removed.end
        and sent.excused_until <= sent.arrival.at - CONTACT_S
        and was_in_touch(sent.arrival)
    ]


def find_requests_over_limits(
    limited_times: Iterable[LimitedTime],
    requests: Iterable[SentRequest],
    arrivals: Iterable[SentArrival],
) -> list[str]:
    """Return the times in which an endpoint got far more than the limit it named.

    Requests count of gateways that had passed on an answer with the limit, and that
    were not disturbed since.
    """
    answers = [
        (request.limited, request.gateway, request.sent_at + request.took_s)
        for request in requests
        if request.limited and request.took_s is not None
    ]
    sents = list(arrivals)
    violations = []
    for limited in limited_times:
        told_at: dict[str, float] = {}
        for endpoint, gateway, at in answers:
            if endpoint == limited.endpoint and limited.begin < at < limited.end:
                told_at[gateway] = min(at, told_at.get(gateway, at))
        times = sorted(
            sent.arrival.at
            for sent in sents
            if sent.endpoint == limited.endpoint
            and sent.arrival.at < limited.end
            and sent.arrival.at > told_at.get(sent.sender, limited.end) + MAX_NOTICE_S
            and sent.excused_until < told_at[sent.sender]
        )
        counts = [
            sum(begin <= at < begin + LIMIT_WINDOW_S for at in times) for begin in times
        ]
        allowed = MAX_LIMIT_EXCESS * limited.requests_per_s * LIMIT_WINDOW_S
        if max(counts, default=0) > allowed + LIMIT_SLACK_REQUESTS:
            violations.append(
                f"{limited.endpoint} named a limit of {limited.requests_per_s:.2f} a "
                f"second and got {max(counts)} requests in {LIMIT_WINDOW_S:.0f} s"
            )
    return violations


def find_requests_in_rest(arrivals: Iterable[SentArrival]) -> list[str]:
    """Return the times of rest in which an endpoint got too many requests."""
    by_path: dict[tuple[str, int, str], list[SentArrival]] = {}
    for sent in arrivals:
        path = (sent.endpoint, sent.arrival.start, sent.sender)
        by_path.setdefault(path, []).append(sent)
    violations = []
    for (endpoint, _, sender), sents in by_path.items():
        for asked in sents:
            begin = asked.arrival.at + MAX_NOTICE_S
            end = asked.arrival.at + asked.arrival.rest_s
            later = [
                sent
                for sent in sents
                if begin < sent.arrival.at < end
                and sent.excused_until < asked.arrival.at
            ]
            if len(later) > MAX_IN_REST:
                violations.append(
                    f"{endpoint} asked {sender} for a rest of {asked.arrival.rest_s} s "
                    f"and got {len(later)} requests"
                )
    return violations


def find_falls(
    brittle_times: Iterable[Sequence[BrittleTime]],
    was_in_touch: Callable[[Arrival], bool],
) -> list[str]:
    """Return the times in which brittle endpoints fell too often.

    Parameters
    ----------
    brittle_times
        For each time, what became of each endpoint of the service.
    was_in_touch
        Returns whether the sender of a request had not been disturbed before.
    """
    violations = []
    for endpoints in brittle_times:
        falls = [
            refused
            for endpoint in endpoints
            for refused in endpoint.falls
            if 2 * sum(map(was_in_touch, refused)) > len(refused)
        ]
        if len(falls) > MAX_FALLS + _MAX_FALLS_SHARE * len(endpoints):
            violations.append(
                f"{len(endpoints)} brittle endpoints fell {len(falls)} times, at last "
                f"after refusing {[each.request_id for each in falls[-1]]}"
            )
    return violations


def find_unserved_cuts(
    requests: Iterable[SentRequest],
    cuts: Iterable[CutTime],
    was_disturbed: Callable[[str, float, float], bool],
) -> list[str]:
    """Return the cuts in which callers of the gateway were served too seldom.

    Parameters
    ----------
    was_disturbed
        Returns whether a gateway was disturbed between two times.
    """
    requests = list(requests)
    violations = []
    for cut in cuts:
        begin = cut.begin + CONTACT_S
        during = [
            request
            for request in requests
            if begin <= request.sent_at < cut.end
            and not was_disturbed(request.gateway, cut.begin, cut.end)
        ]
        here = [r for r in during if r.gateway == cut.gateway]
        others = [r for r in during if r.gateway != cut.gateway]
        if min(len(here), len(others)) < _MIN_REQUESTS:
            continue
        failed = sum(r.status != 200 for r in here)
        limit = _MIN_SHARE_OF_OTHERS * _served_share(others)
        if _served_share(here) < limit and failed > 10 + len(during) / 50:
            violations.append(
                f"{cut.gateway} without paths served {_served_share(here):.2f} of "
                f"{len(here)} requests, the others {_served_share(others):.2f}"
            )
    return violations


def _served_share(requests: list[SentRequest]) -> float:
    return sum(r.status == 200 for r in requests) / len(requests)
