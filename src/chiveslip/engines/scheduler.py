"""Scheduling at one engine by its owner: queue, adapter slots, permits and orders.

The scheduler is a pure state machine: its methods take an event and the current
time, and return the actions to execute. A permit allows one instance to send one
call to the engine directly. It counts as a use of its adapter until it ends, and an
adapter in use is never unloaded.
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
    """Limits of an engine and of its queue.

    Attributes
    ----------
    adapter_slots
        Number of adapters that the engine can hold.
    concurrency
        Maximum number of running calls.
    max_queue_length
        Maximum number of queued calls.
    """

    adapter_slots: int
    concurrency: int
    max_queue_length: int


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load report of an engine.

    Attributes
    ----------
    incarnation
        Id that changes when the engine restarts.
    running
        Number of running calls by adapter version.
    fencing
        Highest fencing number that the engine has received.
    """

    incarnation: str
    loaded: tuple[AdapterVersion, ...]
    running: dict[AdapterVersion, int]
    fencing: int


@attrs.frozen(kw_only=True)
class Permit:
    """Permission to send one call to the engine.

    Attributes
    ----------
    waited_s
        Time in seconds from the call's arrival in the queue to the permit.
    """

    number: int
    waiter: Waiter
    incarnation: str
    waited_s: float


@attrs.frozen(kw_only=True)
class GrantPermit:
    """Action: grant a permit to a queued call."""

    permit: Permit


@attrs.frozen(kw_only=True)
class RefuseWaiter:
    """Action: refuse a queued call."""

    waiter: Waiter
    refusal: Refusal


@attrs.frozen(kw_only=True)
class OrderLoad:
    """Action: order the engine to load an adapter."""

    adapter: AdapterVersion
    fencing: int


@attrs.frozen(kw_only=True)
class OrderUnload:
    """Action: order the engine to unload an adapter."""

    adapter: AdapterVersion
    fencing: int


Action = GrantPermit | RefuseWaiter | OrderLoad | OrderUnload


@attrs.define
class _LoadedAdapter:
    used_at: float
    unloading: bool = False
    abandoned_at: float = -math.inf


@attrs.define
class _RunningPermit:
    permit: Permit
    expires_at: float


@final
class EngineScheduler:
    """Scheduler of one engine, for one term of ownership.

    Parameters
    ----------
    view_revision
        Published revision in which this term began; the fencing number is derived
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
        self._loaded: dict[AdapterVersion, _LoadedAdapter] = {}
        self._loading_since: dict[AdapterVersion, float] = {}
        self._load_failed_at: dict[AdapterVersion, float] = {}
        self._running: dict[int, _RunningPermit] = {}
        # Counts are kept across restarts of the engine: a permit that was granted
        # before a restart may be used after it.
        self._permit_counts: collections.Counter[AdapterVersion] = collections.Counter()
        self._reported_running: dict[AdapterVersion, int] = {}
        self._reported_at = float("-inf")
        self._unpermitted_calls = 0
        self._superseded = False
        self._next_permit = 1
        self._mean_turnaround_s = 1.0

    @property
    def queue_length(self) -> int:
        """Number of queued calls."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Number of permits that have not ended."""
        return len(self._running)

    @property
    def loaded(self) -> tuple[AdapterVersion, ...]:
        """Adapters that are loaded and not being unloaded."""
        return tuple(a for a, entry in self._loaded.items() if not entry.unloading)

    @property
    def incarnation(self) -> str:
        """Incarnation of the engine; empty before its first report."""
        return self._incarnation

    def update_limits(self, limits: EngineLimits) -> None:
        """Replace the limits."""
        self._limits = limits

    def add_call(self, waiter: Waiter, now: float) -> list[Action]:
        """Queue a call, or refuse it if the queue is full."""
        if len(self._queue) >= self._limits.max_queue_length:
            return [self._refuse_queue_full(waiter)]
        self._queue.add(waiter)
        return self.tick(now)

    def withdraw_call(self, request: str, now: float) -> list[Action]:
        """Remove a call whose sender no longer waits for its permit."""
        for waiter in list(self._queue):
            if waiter.request == request:
                self._queue.remove(waiter)
        # The permit may have been granted, but the reply that contained it lost.
        for number, running in list(self._running.items()):
            if running.permit.waiter.request == request:
                self._release(self._running.pop(number), True, now)
        return self.tick(now)

    def end_permit(self, number: int, *, abandoned: bool, now: float) -> list[Action]:
        """End a permit, because its call ended or was never sent.

        Parameters
        ----------
        abandoned
            Whether the call may still be running at the engine.
        """
        running = self._running.pop(number, None)
        if running is None:
            return []
        self._release(running, abandoned, now)
        return self.tick(now)

    def record_load(self, adapter: AdapterVersion, now: float) -> list[Action]:
        """Record that the engine has loaded an adapter."""
        if self._loading_since.pop(adapter, None) is None:
            return []
        self._loaded[adapter] = _LoadedAdapter(used_at=now)
        return self.tick(now)

    def record_load_failure(self, adapter: AdapterVersion, now: float) -> list[Action]:
        """Record that a load failed, and refuse the calls that are queued for it."""
        if self._loading_since.pop(adapter, None) is None:
            return []
        self._load_failed_at[adapter] = now
        actions: list[Action] = []
        for waiter in [w for w in self._queue if w.adapter == adapter]:
            self._queue.remove(waiter)
            detail = f"{self._engine} could not load {adapter}."
            actions.append(_refuse(waiter, result_codes.LOAD_FAILED, detail))
        return actions + self.tick(now)

    def record_unload(
        self, adapter: AdapterVersion, succeeded: bool, now: float
    ) -> list[Action]:
        """Record whether an unload succeeded."""
        entry = self._loaded.get(adapter)
        if entry is None or not entry.unloading:
            return []
        if succeeded:
            del self._loaded[adapter]
        else:
            entry.unloading = False
        return self.tick(now)

    def process_report(
        self, report: LoadReport, requested_at: float, now: float
    ) -> list[Action]:
        """Process a load report that was requested at `requested_at`."""
        if requested_at < self._reported_at:
            return []
        is_first_report = not self._incarnation
        if report.incarnation != self._incarnation:
            self._reset_after_restart(report, now)
        self._incarnation = report.incarnation
        self._reported_at = requested_at
        self._reported_running = report.running
        if report.fencing >= self._fencing_end:
            # The owner of a later view has given orders; this one must not act.
            self._superseded = True
            return self.close()
        if is_first_report:
            self._fencing = max(self._fencing, report.fencing + 1)
        self._reconcile(report, requested_at, now)
        return self.tick(now)

    def mark_unreachable(self, now: float) -> list[Action]:
        """Refuse all queued calls, because the engine does not answer."""
        waiters = list(self._queue)
        detail = f"{self._engine} does not answer."
        for waiter in waiters:
            self._queue.remove(waiter)
        return [_refuse(w, result_codes.NO_ENDPOINT, detail) for w in waiters]

    def close(self) -> list[Action]:
        """Refuse all queued calls, because this instance no longer owns the engine."""
        waiters = list(self._queue)
        detail = f"The ownership of {self._engine} moved to another instance."
        for waiter in waiters:
            self._queue.remove(waiter)
        return [_refuse(w, result_codes.HOME_UNAVAILABLE, detail) for w in waiters]

    def tick(self, now: float) -> list[Action]:
        """Refuse overdue calls, grant permits and order loads that are due."""
        actions: list[Action] = []
        self._expire_permits(now)
        for waiter in self._queue.find_overdue(now):
            self._queue.remove(waiter)
            detail = f"The deadline passed in the queue of {self._engine}."
            code = result_codes.DEADLINE_BEFORE_START
            actions.append(_refuse(waiter, code, detail))
        if not self._incarnation or self._superseded:
            return actions
        actions.extend(self._grant_permits(now))
        actions.extend(self._order_loads(now))
        return actions

    def _grant_permits(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while self._free_capacity > 0 and len(self._queue):
            waiter = self._queue.find_first(now, self._is_loaded)
            if waiter is None:
                break
            self._queue.serve(waiter)
            actions.append(GrantPermit(permit=self._issue_permit(waiter, now)))
        return actions

    @property
    def _free_capacity(self) -> int:
        busy = len(self._running) + self._unpermitted_calls
        return self._limits.concurrency - busy

    def _is_loaded(self, waiter: Waiter) -> bool:
        entry = self._loaded.get(waiter.adapter)
        return entry is not None and not entry.unloading

    def _issue_permit(self, waiter: Waiter, now: float) -> Permit:
        entry = self._loaded[waiter.adapter]
        self._permit_counts[waiter.adapter] += 1
        entry.used_at = now
        permit = Permit(
            number=self._next_permit,
            waiter=waiter,
            incarnation=self._incarnation,
            waited_s=now - waiter.arrived_at,
        )
        self._next_permit += 1
        expires_at = waiter.deadline + PERMIT_GRACE_S
        self._running[permit.number] = _RunningPermit(permit, expires_at)
        return permit

    def _order_loads(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for waiter in self._queue.list_candidates(now):
            if len(self._loading_since) >= MAX_CONCURRENT_LOADS:
                break
            adapter = waiter.adapter
            if adapter in self._loaded or adapter in self._loading_since:
                continue
            if now < self._load_failed_at.get(adapter, -math.inf) + LOAD_RETRY_S:
                continue
            if self._slots_taken >= self._limits.adapter_slots:
                actions.extend(self._evict(now))
                break
            self._loading_since[adapter] = now
            actions.append(OrderLoad(adapter=adapter, fencing=self._fencing))
        return actions

    @property
    def _slots_taken(self) -> int:
        return len(self._loaded) + len(self._loading_since)

    def _evict(self, now: float) -> list[Action]:
        if any(entry.unloading for entry in self._loaded.values()):
            return []
        queued_adapters = {waiter.adapter for waiter in self._queue}
        idle = [
            a for a in self._loaded if a not in queued_adapters and self._is_idle(a)
        ]
        if not idle:
            return []
        victim = min(idle, key=lambda adapter: self._loaded[adapter].used_at)
        self._loaded[victim].unloading = True
        return [OrderUnload(adapter=victim, fencing=self._fencing)]

    def _is_idle(self, adapter: AdapterVersion) -> bool:
        entry = self._loaded[adapter]
        # An abandoned call may still be running; only a report that was requested
        # later proves that it ended.
        is_report_newer = self._reported_at > entry.abandoned_at
        is_unused = self._permit_counts[adapter] == 0
        return (
            is_unused
            and is_report_newer
            and self._reported_running.get(adapter, 0) == 0
        )

    def _expire_permits(self, now: float) -> None:
        expired = [
            n for n, running in self._running.items() if running.expires_at <= now
        ]
        for number in expired:
            self._release(self._running.pop(number), True, now)

    def _release(self, running: _RunningPermit, abandoned: bool, now: float) -> None:
        adapter = running.permit.waiter.adapter
        self._permit_counts[adapter] -= 1
        turnaround_s = max(now - running.permit.waiter.arrived_at, 0.0)
        self._mean_turnaround_s += 0.1 * (turnaround_s - self._mean_turnaround_s)
        entry = self._loaded.get(adapter)
        if entry is None:
            return
        entry.used_at = now
        if abandoned:
            entry.abandoned_at = now

    def _reset_after_restart(self, report: LoadReport, now: float) -> None:
        self._loaded = {
            adapter: _LoadedAdapter(used_at=now) for adapter in report.loaded
        }
        self._loading_since.clear()
        self._load_failed_at.clear()

    def _reconcile(self, report: LoadReport, requested_at: float, now: float) -> None:
        for adapter in report.loaded:
            if adapter not in self._loaded and adapter not in self._loading_since:
                self._loaded[adapter] = _LoadedAdapter(used_at=now)
        missing = [
            adapter
            for adapter, entry in self._loaded.items()
            if adapter not in report.loaded
            and entry.used_at < requested_at
            and self._permit_counts[adapter] == 0
        ]
        for adapter in missing:
            del self._loaded[adapter]
        # Calls that were permitted by an earlier owner have no permit of this term.
        self._unpermitted_calls = max(
            sum(report.running.values()) - len(self._running), 0
        )

    def _refuse_queue_full(self, waiter: Waiter) -> Action:
        wait_s = len(self._queue) * self._mean_turnaround_s / self._limits.concurrency
        detail = f"The queue of {self._engine} is full."
        refusal = Refusal(
            code=result_codes.QUEUE_FULL, detail=detail, retry_after_s=max(wait_s, 1.0)
        )
        return RefuseWaiter(waiter=waiter, refusal=refusal)


def _refuse(waiter: Waiter, code: ResultCode, detail: str) -> Action:
    return RefuseWaiter(waiter=waiter, refusal=Refusal(code=code, detail=detail))
