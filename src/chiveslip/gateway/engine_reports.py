"""Reads the reports of engines that requests are about to be sent to.

Concurrent requests for the report of one engine share a single read.
"""

from __future__ import annotations

import asyncio
import enum
from typing import final

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_view import EngineView
from chiveslip.services.health import EndpointHealth
from chiveslip.tasks import TaskSet

# An engine answers within a few milliseconds, also across data centres.
_MAX_WAIT_S = 0.15
# A timeout that is noticed this much late shows that this process was held up.
_MAX_TIMER_DELAY_S = 0.03


class ReadResult(enum.Enum):
    """Result of reading the report of an engine."""

    READ = "read"
    NO_ANSWER = "no answer"
    UNKNOWN = "unknown"
    """This process was held up, so that a missing answer says nothing."""


@final
class EngineReports:
    """Reads reports into the view, at most one at a time per engine."""

    def __init__(
        self,
        *,
        control: EngineControl,
        view: EngineView,
        health: EndpointHealth,
        clock: Clock,
    ) -> None:
        self._control = control
        self._view = view
        self._health = health
        self._clock = clock
        self._tasks = TaskSet("reports")
        self._pending: dict[str, asyncio.Task[ReadResult]] = {}
        self._log = logs.get_logger("reports")

    async def read(self, engine: ListedEndpoint) -> ReadResult:
        """Read the report of an engine into the view."""
        task = self._pending.get(engine.id)
        if task is None:
            task = self._tasks.start(self._read_unless_held_up(engine))
            self._pending[engine.id] = task
            task.add_done_callback(lambda _: self._pending.pop(engine.id, None))
        return await asyncio.shield(task)

    def record_unreachable(self, engine: ListedEndpoint, asked_at: float) -> None:
        """Record that an engine did not answer while another one did.

        Parameters
        ----------
        asked_at
            Local time in seconds at which it was asked.
        """
        self._health.record_failure(
            engine.id, self._clock.now(), is_unreachable=True, began_at=asked_at
        )
        self._log.info("Engine did not answer; chose another one.", engine=engine.id)

    async def _read_unless_held_up(self, engine: ListedEndpoint) -> ReadResult:
        result = await self._read(engine)
        if result is ReadResult.UNKNOWN:
            result = await self._read(engine)
        return result

    async def _read(self, engine: ListedEndpoint) -> ReadResult:
        started_at = self._clock.now()
        try:
            async with asyncio.timeout(_MAX_WAIT_S):
                report = await self._control.read_report(engine)
        except EngineControlError:
            return ReadResult.NO_ANSWER
        except TimeoutError:
            delay_s = self._clock.now() - started_at - _MAX_WAIT_S
            is_held_up = delay_s > _MAX_TIMER_DELAY_S
            return ReadResult.UNKNOWN if is_held_up else ReadResult.NO_ANSWER
        self._health.record_reachable(engine.id)
        self._view.apply_engine_report(engine.id, report, self._clock.now())
        return ReadResult.READ
