"""Shares the event loop between connections that keep it busy with small chunks."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from typing import final

from chiveslip.tasks import TaskSet

# Share of the event loop's time for all connections that wait for turns.
_LOOP_SHARE = 0.25
_MAX_PAUSE_S = 0.05


@final
class Turns:
    """Lets connections go on one after another; who has used least goes first.

    Without it, each of many connections with buffered bytes runs in every iteration of
    the event loop, and an ordinary request needs some ten iterations.
    """

    def __init__(self, tasks: TaskSet) -> None:
        self._tasks = tasks
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()
        self._is_running = False

    def take(self, used: int) -> asyncio.Future[None]:
        """Return a future that is done at the connection's turn.

        Parameters
        ----------
        used
            What the connection's request has used so far.
        """
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (used, next(self._numbers), turn))
        if not self._is_running:
            self._is_running = True
            self._tasks.start(self._give_turns())
        return turn

    async def _give_turns(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self._waiting:
                _, _, turn = heapq.heappop(self._waiting)
                if turn.done():
                    continue
                began_at = loop.time()
                turn.set_result(None)
                # The connection runs in the next iteration.
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                pause_s = (loop.time() - began_at) * (1 / _LOOP_SHARE - 1)
                await asyncio.sleep(min(pause_s, _MAX_PAUSE_S))
        finally:
            self._is_running = False
            for _, _, turn in self._waiting:
                turn.cancel()
