"""Checks of the gateway's guarantees against what callers and endpoints received."""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs

from testing.platform.standins import ReceivedRequest

# A withdrawn key must be refused after this time, also while the store has faults.
KEY_WITHDRAWAL_LIMIT_S = 10.0
EVENTS_PER_STREAM = 3
# For connecting to a gateway that starts, and for scheduling on a busy machine.
LATENESS_LIMIT_S = 2.0


@attrs.define(kw_only=True)
class SentRequest:
    """A request and the response to it; status 0 stands for a broken connection.

    Attributes
    ----------
    took_s
        Time in seconds until the response or the end of the connection, or None.
    frozen_s
        Time in seconds for which its gateway was frozen since the request was sent.
    gateway
        Name of its gateway.
    leaving
        Replica and start that said in the answer that they leave, or None.
    limited
        Replica that named a limit in the answer, or empty.
    """

    request_id: str
    path: str
    key: str
    sent_at: float
    status: int = 0
    body: bytes = b""
    took_s: float | None = None
    frozen_s: float = 0.0
    gateway: str = ""
    leaving: tuple[str, int] | None = None
    limited: str = ""


def find_violations(
    requests: Iterable[SentRequest],
    received: Iterable[ReceivedRequest],
    withdrawn: dict[str, float],
    key_prefix: str,
    deadline_s: float,
) -> list[str]:
    """Return a description of each violated guarantee.

    Parameters
    ----------
    withdrawn
        Monotonic time in seconds at which each withdrawn key was withdrawn.
    key_prefix
        Prefix of all keys, to find keys that were passed on to an endpoint.
    deadline_s
        Time in seconds that each request allowed for its answer.
    """
    runs = collections.Counter(each.headers["X-Request-Id"] for each in received)
    violations = [
        f"a caller's key reached an endpoint: {each.path}"
        for each in received
        if key_prefix in str(each)
    ]
    for request in requests:
        violations += _request_violations(request, runs[request.request_id], withdrawn)
        violations += _lateness(request, deadline_s)
    return violations


def _request_violations(
    request: SentRequest, runs: int, withdrawn: dict[str, float]
) -> list[str]:
    violations = []
    label = f"{request.request_id} {request.path} ({request.status})"
    if request.path.startswith(("/once", "/draft")) and runs > 1:
        violations.append(f"{label}: ran {runs} times")
    if request.status in (429, 503) and runs:
        violations.append(f"{label}: reported as not run, but ran")
    if request.status == 200 and not _is_complete(request):
        violations.append(f"{label}: incomplete body: {request.body!r}")
    withdrawn_at = withdrawn.get(request.key)
    if (
        withdrawn_at is not None
        and runs
        and request.sent_at > withdrawn_at + KEY_WITHDRAWAL_LIMIT_S
    ):
        violations.append(
            f"{label}: ran {request.sent_at - withdrawn_at:.1f} s after its key was "
            "withdrawn"
        )
    return violations


def _lateness(request: SentRequest, deadline_s: float) -> list[str]:
    limit_s = deadline_s + request.frozen_s + LATENESS_LIMIT_S
    if request.took_s is None or request.took_s <= limit_s:
        return []
    label = f"{request.request_id} {request.path} ({request.status})"
    return [f"{label}: ended after {request.took_s:.1f} s, expected {limit_s:.1f} s"]


def _is_complete(request: SentRequest) -> bool:
    if request.path.startswith("/once"):
        return request.body == b"done"
    ids = [line for line in request.body.split(b"\n") if line.startswith(b"id: ")]
    return ids == [
        f"id: {number}".encode() for number in range(1, EVENTS_PER_STREAM + 1)
    ]
