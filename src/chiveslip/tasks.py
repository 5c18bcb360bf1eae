"""Tasks of the daemon: each owns its state, and none is lost unseen."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import final

from chiveslip import logs


@final
class TaskSet:
    """Holds background tasks so that they are not collected, and logs failures."""

    def __init__(self, part: str) -> None:
        self._log = logs.get_logger(part)
        # In the order of their start, so that a run can be repeated exactly.
        self._tasks: dict[asyncio.Task[Any], None] = {}

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run `work` in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._ended)
        return task

    async def join(self) -> None:
        """Wait until all tasks that run now have ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close(self) -> None:
        """Cancel all tasks and wait until they ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log.error("A task failed.", exc_info=error)
