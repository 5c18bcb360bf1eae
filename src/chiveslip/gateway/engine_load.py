"""Load of engines, known from reports that age.

Only a fresh report tells the load of its engine. The older a report is, the closer the
estimate is to the load of the busier engines; without a report it is that load. So an
engine of which nothing is heard never looks idle.
"""

from __future__ import annotations

import math
import statistics
from typing import final

import attrs

# Time constant with which the estimate from a report approaches the load of the busier
# engines. Requests last one to three seconds, so a report says little after that.
_AGEING_S = 2.0
# Older reports do not count for the load of the busier engines.
MAX_REPORT_AGE_S = 5.0
# Age up to which a report tells the present load.
_MAX_FRESH_S = 0.5
# Interval at which the load of the busier engines is calculated anew.
_TYPICAL_LOAD_INTERVAL_S = 0.2
# An engine is never taken for emptier than this share of the mean: one that fails its
# requests at once reports none.
_MIN_LOAD_SHARE = 0.5


@attrs.frozen(kw_only=True)
class EngineLoad:
    """Requests at an engine; fractions in estimates.

    Attributes
    ----------
    running
        Requests that produce tokens.
    waiting
        Requests that wait for their first token.
    """

    running: float = 0.0
    waiting: float = 0.0


@attrs.frozen
class _Report:
    load: EngineLoad
    reported_at: float


@attrs.frozen(kw_only=True)
class _TypicalLoad:
    """Load of the engines with recent reports.

    Attributes
    ----------
    busier
        Mean plus one standard deviation.
    min_running
        Fewest running requests that an engine is taken to have.
    """

    busier: EngineLoad = EngineLoad()
    min_running: float = 0.0


@final
class EngineLoads:
    """The newest report of each engine's load."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._typical = _TypicalLoad()
        self._typical_until = float("-inf")

    def record_report(self, engine: str, load: EngineLoad, reported_at: float) -> None:
        """Record a report unless a newer one is known.

        Parameters
        ----------
        reported_at
            Local time in seconds at which the engine reported.
        """
        if reported_at > self.reported_at(engine):
            self._reports[engine] = _Report(load, reported_at)

    def forget(self, engine: str) -> None:
        """Forget the report of an engine that is gone."""
        self._reports.pop(engine, None)

    def reported_at(self, engine: str) -> float:
        """Return the local time of an engine's newest report; -inf without one."""
        report = self._reports.get(engine)
        return float("-inf") if report is None else report.reported_at

    def last_report(self, engine: str) -> EngineLoad:
        """Return the load in an engine's newest report; no load without one."""
        report = self._reports.get(engine)
        return EngineLoad() if report is None else report.load

    def fresh_report(self, engine: str, now: float) -> EngineLoad:
        """Return the load in a report that is still fresh, else no load."""
        is_fresh = now - self.reported_at(engine) <= _MAX_FRESH_S
        return self.last_report(engine) if is_fresh else EngineLoad()

    def estimate(self, engine: str, now: float) -> EngineLoad:
        """Return the estimated load of an engine."""
        typical = self._typical_load(now)
        busier = typical.busier
        report = self._reports.get(engine)
        if report is None:
            return busier
        weight = math.exp(min(report.reported_at - now, 0.0) / _AGEING_S)
        running = busier.running + weight * (report.load.running - busier.running)
        return EngineLoad(
            running=max(running, typical.min_running),
            waiting=busier.waiting + weight * (report.load.waiting - busier.waiting),
        )

    def _typical_load(self, now: float) -> _TypicalLoad:
        if now < self._typical_until:
            return self._typical
        self._typical_until = now + _TYPICAL_LOAD_INTERVAL_S
        loads = [
            report.load
            for report in self._reports.values()
            if now - report.reported_at <= MAX_REPORT_AGE_S
        ]
        running = [load.running for load in loads]
        self._typical = _TypicalLoad(
            busier=EngineLoad(
                running=_mean_plus_deviation(running),
                waiting=_mean_plus_deviation([load.waiting for load in loads]),
            ),
            min_running=_MIN_LOAD_SHARE * statistics.fmean(running) if running else 0.0,
        )
        return self._typical


def _mean_plus_deviation(values: list[float]) -> float:
    if not values:
        return 0.0
    mean = statistics.fmean(values)
    return mean + statistics.pstdev(values, mean)
