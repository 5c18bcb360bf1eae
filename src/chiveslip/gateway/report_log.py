"""Log lines for each engine whose report expires or is received again."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

from chiveslip import logs
from chiveslip.gateway.engine_load import MAX_REPORT_AGE_S
from chiveslip.gateway.engine_view import EngineView


@final
class ReportLog:
    """Logs when the last report of an engine becomes too old to be used.

    Parameters
    ----------
    view
        View that the reports are read from.
    """

    def __init__(self, view: EngineView) -> None:
        self._view = view
        self._listed_since: dict[str, float] = {}
        self._expired: set[str] = set()
        self._log = logs.get_logger("reports")

    def log_changes(self, engines: Iterable[str], now: float) -> None:
        """Log the changes since the last call.

        An engine that never reported has as much time for its first report.

        Parameters
        ----------
        engines
            Ids of all engines that take new work.
        """
        self._listed_since = {
            engine: self._listed_since.get(engine, now) for engine in engines
        }
        self._expired &= self._listed_since.keys()
        for engine, listed_since in self._listed_since.items():
            age_s = self._view.report_age_s(engine, now)
            silent_s = now - listed_since if age_s is None else age_s
            is_expired = silent_s > MAX_REPORT_AGE_S
            if is_expired == (engine in self._expired):
                continue
            if is_expired:
                self._expired.add(engine)
                self._log.warning(
                    "Engine report expired.",
                    engine=engine,
                    age_s=None if age_s is None else round(age_s, 3),
                )
            else:
                self._expired.discard(engine)
                self._log.info(
                    "Engine report received again.",
                    engine=engine,
                    age_s=round(silent_s, 3),
                )
