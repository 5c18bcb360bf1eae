"""Trace of a call, and the error that ends it with a refusal."""

from __future__ import annotations

import enum

import attrs

from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.results import ResultCode
from chiveslip.results import Run


class Step(enum.Enum):
    """Steps of a call, in order."""

    ACCEPT = "accept"
    AUTHENTICATE = "authenticate"
    ALLOW = "allow"
    QUEUE = "queue"
    PLACE = "place"
    LOAD = "load"
    DISPATCH = "dispatch"
    FIRST_BYTE = "first byte"
    MID_STREAM = "mid-stream"
    RESPONSE_END = "response end"
    SETTLE = "settle"
    REPLY = "reply"


@attrs.frozen(kw_only=True)
class TraceLine:
    """One step of a trace; `at_s` is in seconds from the call's arrival."""

    at_s: float
    step: str
    text: str


@attrs.define(kw_only=True)
class Trace:
    """Steps and result of one call.

    Attributes
    ----------
    started_at
        Local time in seconds.
    code
        Result code; 0 until the call ends.
    """

    request: str
    started_at: float
    organisation: str = ""
    steps: list[TraceLine] = attrs.field(factory=list)
    code: int = 0
    endpoint: str = ""
    adapter: str = ""
    tokens: float = 0.0

    def add_step(self, now: float, step: Step, text: str) -> None:
        """Add a step."""
        at_s = round(now - self.started_at, 6)
        self.steps.append(TraceLine(at_s=at_s, step=step.value, text=text))

    def record_result(self, now: float, code: ResultCode) -> None:
        """Record the result of the call."""
        self.code = code.code
        self.add_step(now, Step.REPLY, f"{code.code} {code.name}")


class CallRefusedError(Exception):
    """Ends a call with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def call_refused(
    code: ResultCode, detail: str, retry_after_s: float | None = None
) -> CallRefusedError:
    """Return the error that ends a call with `code`.

    Parameters
    ----------
    retry_after_s
        Time in seconds after which a repeat is useful; None selects the time of the
        code.
    """
    return CallRefusedError(
        Refusal(code=code, detail=detail, retry_after_s=retry_after_s)
    )


def adjust_refusal(was_sent: bool, refusal: Refusal) -> Refusal:
    """Return a refusal that accounts for an earlier attempt of the call.

    If that attempt may have been sent, the call may have run, so a code that says
    that it did not run is replaced by ``endpoint_failed``.
    """
    if not was_sent or refusal.code.run is not Run.NOT_RUN:
        return refusal
    return Refusal(code=result_codes.ENDPOINT_FAILED, detail=refusal.detail)
