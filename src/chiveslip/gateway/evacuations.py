"""Data centres to whose endpoints the operator wants nothing more to be sent.

Requests that run there when an evacuation begins go on. The module does no I/O and
reads no clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import final

from chiveslip import logs


@final
class Evacuations:
    """Evacuated data centres, and when earlier evacuations were revoked."""

    def __init__(self) -> None:
        self._began_at: dict[str, float] = {}
        self._ended_at: dict[str, float] = {}
        # Data centres in which own requests may still run.
        self._emptying: set[str] = set()
        self._log = logs.get_logger("evacuations")

    @property
    def data_centres(self) -> list[str]:
        """Names of the evacuated data centres, sorted."""
        return sorted(self._began_at)

    @property
    def is_empty(self) -> bool:
        """Whether no data centre is evacuated."""
        return not self._began_at

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether nothing may be sent to endpoints in a data centre."""
        return data_centre in self._began_at

    def ended_at(self, data_centre: str) -> float:
        """Return when the last evacuation was revoked; minus infinity if none was.

        Returns
        -------
        float
            Local time in seconds at which this instance learnt of it.
        """
        return self._ended_at.get(data_centre, -math.inf)

    def begin(self, data_centre: str, now: float, *, source: str) -> None:
        """Begin the evacuation of a data centre, unless it is evacuated already.

        Parameters
        ----------
        now
            Local time in seconds.
        source
            Where this instance learnt of it, for the log.
        """
        if data_centre in self._began_at:
            return
        self._began_at[data_centre] = now
        self._emptying.add(data_centre)
        self._log.warning("Evacuation begun.", data_centre=data_centre, source=source)

    def end(self, data_centre: str, now: float, *, source: str) -> None:
        """Record that an evacuation was revoked, if one was known.

        Parameters
        ----------
        now
            Local time in seconds.
        source
            Where this instance learnt of it, for the log.
        """
        began_at = self._began_at.pop(data_centre, None)
        if began_at is None:
            return
        self._ended_at[data_centre] = now
        self._emptying.discard(data_centre)
        self._log.warning(
            "Evacuation revoked.",
            data_centre=data_centre,
            source=source,
            lasted_s=round(now - began_at, 3),
        )

    def record_running(self, running: Mapping[str, int], now: float) -> None:
        """Log once for each evacuation that the last own request there has ended.

        Parameters
        ----------
        running
            Requests of this instance that run, by data centre.
        now
            Local time in seconds.
        """
        for data_centre in sorted(self._emptying):
            if running.get(data_centre, 0) > 0:
                continue
            self._emptying.discard(data_centre)
            self._log.info(
                "Last request in an evacuated data centre ended.",
                data_centre=data_centre,
                after_s=round(now - self._began_at[data_centre], 3),
            )
