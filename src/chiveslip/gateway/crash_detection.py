"""Finds out whether an endpoint crashed while it was answering."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import final

from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.engine_control import EngineControlError
from chiveslip.gateway.engine_control import OtherEngineError
from chiveslip.gateway.sending import Sender
from chiveslip.tasks import TaskSet

# A process that crashed closes its port within milliseconds of its connections.
_CHECK_DELAY_S = 0.05
_MAX_REPORT_WAIT_S = 0.15


@final
class CrashDetector:
    """Asks an endpoint whether it is still the process that was asked before.

    Requests that an endpoint breaks off at the same time share one check. An endpoint
    that cannot be reached has crashed only if others can: an instance that has lost its
    paths must not blame the requests that it was waiting for.

    Parameters
    ----------
    find_others
        Returns some other endpoints, by which to tell a crash from lost paths.
    """

    def __init__(
        self,
        sender: Sender,
        control: EngineControl,
        find_others: Callable[[ListedEndpoint], Sequence[ListedEndpoint]],
    ) -> None:
        self._sender = sender
        self._control = control
        self._find_others = find_others
        self._tasks = TaskSet("crashes")
        self._pending: dict[ListedEndpoint, asyncio.Task[bool]] = {}

    async def has_crashed(self, endpoint: ListedEndpoint, *, is_engine: bool) -> bool:
        """Return whether the process that a request was sent to has ended."""
        task = self._pending.get(endpoint)
        if task is None:
            task = self._tasks.start(self._check(endpoint, is_engine))
            self._pending[endpoint] = task
            task.add_done_callback(lambda _: self._pending.pop(endpoint, None))
        return await asyncio.shield(task)

    async def join(self) -> None:
        """Wait until all checks have ended."""
        await self._tasks.join()

    async def _check(self, endpoint: ListedEndpoint, is_engine: bool) -> bool:
        await asyncio.sleep(_CHECK_DELAY_S)
        if not await self._sender.is_reachable(endpoint):
            return await self._reaches_others(endpoint)
        return is_engine and await self._is_another_start(endpoint)

    async def _reaches_others(self, endpoint: ListedEndpoint) -> bool:
        """Return whether another endpoint can be reached, or there is none."""
        others = self._find_others(endpoint)
        if not others:
            return True
        checks = [self._sender.is_reachable(other) for other in others]
        return any(await asyncio.gather(*checks))

    async def _is_another_start(self, engine: ListedEndpoint) -> bool:
        """Return whether another process answers at the engine's address."""
        try:
            async with asyncio.timeout(_MAX_REPORT_WAIT_S):
                report = await self._control.read_report(engine)
        except OtherEngineError:
            return True
        except (EngineControlError, TimeoutError):
            return False
        return 0 < engine.started != report.started > 0
