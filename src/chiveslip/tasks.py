"""Sets of background tasks whose failures are logged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import final

from chiveslip import logs

# Keeps work that fails at once from using the processor.
RESTART_DELAY_S = 0.5


@final
class TaskSet:
    """Background tasks of one component.

    References to running tasks prevent their garbage collection.
    """

    def __init__(self, part: str) -> None:
        self._log = logs.get_logger(part)
        # A dict keeps the order of starting, so that runs are reproducible.
        self._tasks: dict[asyncio.Task[Any], None] = {}

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start `work` as a background task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._on_task_done)
        return task

    def start_lasting(
        self, name: str, make_work: Callable[[], Coroutine[Any, Any, None]]
    ) -> asyncio.Task[Any]:
        """Start work that lasts as long as the component, again whenever it fails.

        Parameters
        ----------
        name
            What the work is, for the log.
        """
        return self.start(self._repeat(name, make_work))

    async def _repeat(
        self, name: str, make_work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await make_work()
            except Exception as error:
                self._log.error("Failed; starting again.", work=name, exc_info=error)
            await asyncio.sleep(RESTART_DELAY_S)

    async def join(self) -> None:
        """Wait until all tasks that are running now have ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log.error("A background task failed.", exc_info=error)
