"""Result codes and refusals, which state the outcome of a call."""

from __future__ import annotations

import enum

import attrs


class Run(enum.Enum):
    """Whether a call ran at an endpoint."""

    NOT_RUN = "not run"
    RUN = "run"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class ResultCode:
    """Numbered result of a call; docs/RESULT-CODES.md has the table.

    Attributes
    ----------
    retry_after_s
        Minimum time in seconds before a repeat, or None if the code defines none.
    """

    code: int
    name: str
    status: int
    run: Run
    may_repeat: bool
    retry_after_s: float | None
    meaning: str


@attrs.frozen(kw_only=True)
class Refusal:
    """Final answer to a call that does not come from its endpoint.

    Attributes
    ----------
    retry_after_s
        Time in seconds after which a repeat is useful; None selects the time of the
        result code.
    """

    code: ResultCode
    detail: str
    retry_after_s: float | None = None

    @property
    def advised_retry_after_s(self) -> float | None:
        """Time in seconds before a repeat, as sent to the caller, or None."""
        if not self.code.may_repeat:
            return None
        if self.retry_after_s is None:
            return self.code.retry_after_s
        return max(self.retry_after_s, 0.0)


class RefusalError(Exception):
    """Carries a refusal through library callbacks that cannot return it."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
