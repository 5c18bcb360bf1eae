"""Result codes and refusals: how every decision says what became of a call."""

from __future__ import annotations

import enum

import attrs


class Run(enum.Enum):
    """Whether the call ran at an endpoint."""

    NOT_RUN = "not run"
    RUN = "run"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class ResultCode:
    """A numbered result; the table is in docs/RESULT-CODES.md.

    Attributes
    ----------
    retry_after_s
        Least time in seconds before a repeat, or None where none is foreseen.
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
    """A call's final answer other than its endpoint's own.

    Attributes
    ----------
    retry_after_s
        Time in seconds after which a repeat is worth while; the code's own figure
        where the decision knows no better one.
    """

    code: ResultCode
    detail: str
    retry_after_s: float | None = None

    @property
    def come_back_after_s(self) -> float | None:
        """Time in seconds that the caller is told to wait, or None."""
        if not self.code.may_repeat:
            return None
        if self.retry_after_s is None:
            return self.code.retry_after_s
        return max(self.retry_after_s, 0.0)


class RefusalError(Exception):
    """Carries a refusal out of library callbacks that cannot return one."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
