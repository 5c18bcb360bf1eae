"""Decisions of an engine's home: queue, adapter slots, permits and orders.

A pure state machine: it is told what happened and the time, and returns what is
to be done. A permit allows one instance to send one call to the engine directly;
it counts as a use of its adapter until it ends, and an adapter in use is never
unloaded.
"""

from __future__ import annotations

import collections
import math
from typing import final

import attrs

from chiveslip.engines.adapter import AdapterVersion
from chiveslip.engines.fair_queue import FairQueue
from chiveslip.engines.fair_queue import Waiter
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.results import ResultCode

PERMIT_START_S = 1.0
PERMIT_GRACE_S = 5.0
LOAD_RETRY_S = 1.0
MAX_CONCURRENT_LOADS = 2
FENCING_STRIDE = 2**20


@attrs.frozen(kw_only=True)
class EngineLimits:
    """What an engine can hold and run, and the longest queue before it."""

    adapter_slots: int
    concurrency: int
    queue: int


@attrs.frozen(kw_only=True)
class LoadReport:
    """An engine's report of itself.

    Attributes
    ----------
    incarnation
        Changes when the engine restarts.
    running
        Calls that run, by adapter version.
    fencing
        Highest fencing number that the engine has seen.
    """

    incarnation: str
    loaded: tuple[AdapterVersion, ...]
    running: dict[AdapterVersion, int]
    fencing: int


@attrs.frozen(kw_only=True)
class Permit:
    """Leave to send one call to the engine."""

    number: int
    waiter: Waiter
    incarnation: str
    waited_for_load_s: float


@attrs.frozen(kw_only=True)
class GrantPermit:
    """Action: tell the waiter that it may go."""

    permit: Permit


@attrs.frozen(kw_only=True)
class RefuseWaiter:
    """Action: tell the waiter that it will not go."""

    waiter: Waiter
    refusal: Refusal


@attrs.frozen(kw_only=True)
class OrderLoad:
    """Action: order the engine to load."""

    adapter: AdapterVersion
    fencing: int


@attrs.frozen(kw_only=True)
class OrderUnload:
    """Action: order the engine to unload."""

    adapter: AdapterVersion
    fencing: int


Action = GrantPermit | RefuseWaiter | OrderLoad | OrderUnload


@attrs.define
class _Loaded:
    used_at: float
    unloading: bool = False
    abandoned_at: float = -math.inf


@attrs.define
class _Running:
    permit: Permit
    ends_by: float


@final
class EngineScheduler:
    """The home of one engine, during one term of ownership.

    Parameters
    ----------
    view_revision
        Published revision in which this home began; its fencing number follows
        from it.
    """

    def __init__(
        self, engine: str, limits: EngineLimits, view_revision: int, now: float
    ) -> None:
        self._engine = engine
        self._limits = limits
        self._fencing = view_revision * FENCING_STRIDE
        self._fencing_end = self._fencing + FENCING_STRIDE
        self._queue = FairQueue()
        self._incarnation = ""
        self._loaded: dict[AdapterVersion, _Loaded] = {}
        self._loading: dict[AdapterVersion, float] = {}
        self._failed: dict[AdapterVersion, float] = {}
        self._running: dict[int, _Running] = {}
        # Uses outlive an incarnation: a permit that was given before a restart may
        # be used after it.
        self._uses: collections.Counter[AdapterVersion] = collections.Counter()
        self._reported: dict[AdapterVersion, int] = {}
        self._reported_at = float("-inf")
        self._foreign = 0
        self._superseded = False
        self._next_permit = 1
        self._mean_run_s = 1.0

    @property
    def queue_length(self) -> int:
        """Calls that wait."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Permits that have not ended."""
        return len(self._running)

    @property
    def loaded(self) -> tuple[AdapterVersion, ...]:
        """Adapters that are loaded and not being unloaded."""
        return tuple(a for a, held in self._loaded.items() if not held.unloading)

    @property
    def incarnation(self) -> str:
        """The engine's incarnation, empty before its first report."""
        return self._incarnation

    def configure(self, limits: EngineLimits) -> None:
        """Take over changed limits."""
        self._limits = limits

    def add_call(self, waiter: Waiter, now: float) -> list[Action]:
        """Queue a call for the engine."""
        if len(self._queue) >= self._limits.queue:
            return [self._refuse_full(waiter)]
        self._queue.add(waiter)
        return self.tick(now)

    def withdraw_call(self, request: str, now: float) -> list[Action]:
        """Take a call out, because nobody waits for its permit any more."""
        for waiter in list(self._queue):
            if waiter.request == request:
                self._queue.remove(waiter)
        # The permit may have been granted and its message lost.
        for number, running in list(self._running.items()):
            if running.permit.waiter.request == request:
                self._release(self._running.pop(number), True, now)
        return self.tick(now)

    def end_permit(self, number: int, *, abandoned: bool, now: float) -> list[Action]:
        """Note that a permit's call ended or was never sent.

        Parameters
        ----------
        abandoned
            Whether the engine may still run the call.
        """
        running = self._running.pop(number, None)
        if running is None:
            return []
        self._release(running, abandoned, now)
        return self.tick(now)

    def load_finished(self, adapter: AdapterVersion, now: float) -> list[Action]:
        """Note that the engine has loaded an adapter."""
        if self._loading.pop(adapter, None) is None:
            return []
        self._loaded[adapter] = _Loaded(used_at=now)
        return self.tick(now)

    def load_failed(self, adapter: AdapterVersion, now: float) -> list[Action]:
        """Note that a load failed; those who wait for it are told at once."""
        if self._loading.pop(adapter, None) is None:
            return []
        self._failed[adapter] = now
        actions: list[Action] = []
        for waiter in [w for w in self._queue if w.adapter == adapter]:
            self._queue.remove(waiter)
            detail = f"{self._engine} could not load {adapter}."
            actions.append(_refuse(waiter, result_codes.LOAD_FAILED, detail))
        return actions + self.tick(now)

    def unload_finished(
        self, adapter: AdapterVersion, done: bool, now: float
    ) -> list[Action]:
        """Note that an unload was carried out, or that it was not."""
        held = self._loaded.get(adapter)
        if held is None or not held.unloading:
            return []
        if done:
            del self._loaded[adapter]
        else:
            held.unloading = False
        return self.tick(now)

    def process_report(
        self, report: LoadReport, asked_at: float, now: float
    ) -> list[Action]:
        """Take in a load report that was asked for at `asked_at`."""
        if asked_at < self._reported_at:
            return []
        first = not self._incarnation
        if report.incarnation != self._incarnation:
            self._restarted(report, now)
        self._incarnation = report.incarnation
        self._reported_at = asked_at
        self._reported = report.running
        if report.fencing >= self._fencing_end:
            # A home of a later view has given orders; this one must not act.
            self._superseded = True
            return self.close()
        if first:
            self._fencing = max(self._fencing, report.fencing + 1)
        self._reconcile(report, asked_at, now)
        return self.tick(now)

    def unreachable(self, now: float) -> list[Action]:
        """Refuse everybody who waits, because the engine does not answer."""
        waiters = list(self._queue)
        detail = f"{self._engine} does not answer."
        for waiter in waiters:
            self._queue.remove(waiter)
        return [_refuse(w, result_codes.NO_ENDPOINT, detail) for w in waiters]

    def close(self) -> list[Action]:
        """Refuse everybody who waits, because this instance is home no more."""
        waiters = list(self._queue)
        detail = f"The home of {self._engine} moved."
        for waiter in waiters:
            self._queue.remove(waiter)
        return [_refuse(w, result_codes.HOME_UNAVAILABLE, detail) for w in waiters]

    def tick(self, now: float) -> list[Action]:
        """Do what is due: drop overdue calls, give permits, order loads."""
        actions: list[Action] = []
        self._expire_permits(now)
        for waiter in self._queue.overdue(now):
            self._queue.remove(waiter)
            detail = f"The deadline passed in the queue of {self._engine}."
            code = result_codes.DEADLINE_BEFORE_START
            actions.append(_refuse(waiter, code, detail))
        if not self._incarnation or self._superseded:
            return actions
        actions.extend(self._grant_in_turn(now))
        actions.extend(self._order_loads(now))
        return actions

    def _grant_in_turn(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while self._free > 0 and len(self._queue):
            waiter = self._queue.first(now, self._is_loaded)
            if waiter is None:
                break
            self._queue.serve(waiter)
            actions.append(GrantPermit(permit=self._permit(waiter, now)))
        return actions

    @property
    def _free(self) -> int:
        busy = len(self._running) + self._foreign
        return self._limits.concurrency - busy

    def _is_loaded(self, waiter: Waiter) -> bool:
        held = self._loaded.get(waiter.adapter)
        return held is not None and not held.unloading

    def _permit(self, waiter: Waiter, now: float) -> Permit:
        held = self._loaded[waiter.adapter]
        self._uses[waiter.adapter] += 1
        held.used_at = now
        permit = Permit(
            number=self._next_permit,
            waiter=waiter,
            incarnation=self._incarnation,
            waited_for_load_s=now - waiter.arrived_at,
        )
        self._next_permit += 1
        ends_by = waiter.deadline + PERMIT_GRACE_S
        self._running[permit.number] = _Running(permit, ends_by)
        return permit

    def _order_loads(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for waiter in self._queue.in_turn(now):
            if len(self._loading) >= MAX_CONCURRENT_LOADS:
                break
            adapter = waiter.adapter
            if adapter in self._loaded or adapter in self._loading:
                continue
            if now < self._failed.get(adapter, -math.inf) + LOAD_RETRY_S:
                continue
            if self._slots_taken >= self._limits.adapter_slots:
                actions.extend(self._evict(now))
                break
            self._loading[adapter] = now
            actions.append(OrderLoad(adapter=adapter, fencing=self._fencing))
        return actions

    @property
    def _slots_taken(self) -> int:
        return len(self._loaded) + len(self._loading)

    def _evict(self, now: float) -> list[Action]:
        if any(held.unloading for held in self._loaded.values()):
            return []
        wanted = {waiter.adapter for waiter in self._queue}
        idle = [a for a in self._loaded if a not in wanted and self._is_idle(a)]
        if not idle:
            return []
        victim = min(idle, key=lambda adapter: self._loaded[adapter].used_at)
        self._loaded[victim].unloading = True
        return [OrderUnload(adapter=victim, fencing=self._fencing)]

    def _is_idle(self, adapter: AdapterVersion) -> bool:
        held = self._loaded[adapter]
        # What was abandoned may still run; only a later report proves the end.
        proved = self._reported_at > held.abandoned_at
        unused = self._uses[adapter] == 0
        return unused and proved and self._reported.get(adapter, 0) == 0

    def _expire_permits(self, now: float) -> None:
        late = [n for n, running in self._running.items() if running.ends_by <= now]
        for number in late:
            self._release(self._running.pop(number), True, now)

    def _release(self, running: _Running, abandoned: bool, now: float) -> None:
        adapter = running.permit.waiter.adapter
        self._uses[adapter] -= 1
        run_s = max(now - running.permit.waiter.arrived_at, 0.0)
        self._mean_run_s += 0.1 * (run_s - self._mean_run_s)
        held = self._loaded.get(adapter)
        if held is None:
            return
        held.used_at = now
        if abandoned:
            held.abandoned_at = now

    def _restarted(self, report: LoadReport, now: float) -> None:
        self._loaded = {adapter: _Loaded(used_at=now) for adapter in report.loaded}
        self._loading.clear()
        self._failed.clear()

    def _reconcile(self, report: LoadReport, asked_at: float, now: float) -> None:
        for adapter in report.loaded:
            if adapter not in self._loaded and adapter not in self._loading:
                self._loaded[adapter] = _Loaded(used_at=now)
        gone = [
            adapter
            for adapter, held in self._loaded.items()
            if adapter not in report.loaded
            and held.used_at < asked_at
            and self._uses[adapter] == 0
        ]
        for adapter in gone:
            del self._loaded[adapter]
        # Calls that an earlier home permitted run here without a permit of ours.
        self._foreign = max(sum(report.running.values()) - len(self._running), 0)

    def _refuse_full(self, waiter: Waiter) -> Action:
        wait_s = len(self._queue) * self._mean_run_s / self._limits.concurrency
        detail = f"The queue of {self._engine} is full."
        refusal = Refusal(
            code=result_codes.QUEUE_FULL, detail=detail, retry_after_s=max(wait_s, 1.0)
        )
        return RefuseWaiter(waiter=waiter, refusal=refusal)


def _refuse(waiter: Waiter, code: ResultCode, detail: str) -> Action:
    return RefuseWaiter(waiter=waiter, refusal=Refusal(code=code, detail=detail))
