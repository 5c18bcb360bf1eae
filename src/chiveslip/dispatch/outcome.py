"""What became of a call, for its trace and its metrics."""

from __future__ import annotations

import attrs

from chiveslip.results import Refusal
from chiveslip.results import ResultCode


@attrs.define(kw_only=True)
class Trace:
    """The road of one call: what happened, and when (seconds from its arrival)."""

    request: str
    started_at: float
    organisation: str = ""
    steps: list[tuple[float, str]] = attrs.field(factory=list)
    code: int = 0
    endpoint: str = ""
    adapter: str = ""
    tokens: float = 0.0

    def step(self, now: float, text: str) -> None:
        """Add a step."""
        self.steps.append((round(now - self.started_at, 6), text))

    def ended(self, now: float, code: ResultCode) -> None:
        """Note the result."""
        self.code = code.code
        self.step(now, f"answered {code.code} {code.name}")


class FailedError(Exception):
    """A call that ends with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def failed(
    code: ResultCode, detail: str, retry_after_s: float | None = None
) -> FailedError:
    """Return the error that ends a call with `code`."""
    return FailedError(Refusal(code=code, detail=detail, retry_after_s=retry_after_s))
