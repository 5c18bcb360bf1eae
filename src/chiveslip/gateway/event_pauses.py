"""Pauses between the events of one streamed answer, summarised over short windows."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

# A window ends after this time and number of pauses: those of four tokens take 40 ms
# at the users' engines. Shorter windows would tell less of a step and cost more.
WINDOW_S = 0.25
_MIN_PAUSES = 4
# A window of a slow stream ends after this time all the same.
_MAX_WINDOW_S = 0.75
# Fewer pauses at the end of a stream are left out: the last one, before the mark of the
# end, is shorter than a step.
_MIN_LAST_PAUSES = 3
# The pause that stands for a window, as a share of its sorted pauses. In longer ones
# the engine may have prefilled other prompts, which takes up to a third of its time,
# and shorter ones can follow a late read of this process.
_QUANTILE = 0.35


@final
class EventPauses:
    """Summarises the pauses of a stream.

    Parameters
    ----------
    on_window
        Called with the typical pause for each event and the time that the window
        covers, both in seconds, and the local time.
    """

    def __init__(self, on_window: Callable[[float, float, float], None]) -> None:
        self._on_window = on_window
        self._pauses: list[float] = []
        self._began_at: float | None = None
        self._last_at = 0.0

    def record_events(self, events: int, now: float) -> None:
        """Record the arrival of events that came at once."""
        if self._began_at is None:
            self._began_at = self._last_at = now
            return
        self._pauses.append((now - self._last_at) / events)
        self._last_at = now
        covered_s = now - self._began_at
        if covered_s >= WINDOW_S and (
            len(self._pauses) >= _MIN_PAUSES or covered_s >= _MAX_WINDOW_S
        ):
            self._end_window(covered_s)

    def record_end(self) -> None:
        """Report the last pauses of the stream, if there are enough."""
        if self._began_at is not None and len(self._pauses) >= _MIN_LAST_PAUSES:
            self._end_window(self._last_at - self._began_at)

    def _end_window(self, covered_s: float) -> None:
        pauses = sorted(self._pauses)
        pause_s = pauses[round((len(pauses) - 1) * _QUANTILE)]
        self._pauses.clear()
        self._began_at = self._last_at
        self._on_window(pause_s, covered_s, self._last_at)
