"""Adapters and load of each engine, as known to this instance.

The view combines four sources of different age: the store's list (seconds old), the
reports that each engine's coordinator reads and publishes (a few hundred milliseconds
old, seconds in a large fleet), the reports that this instance reads before it sends a
request, and the requests in progress (own ones immediately, those of peers within a
gossip interval). In a fleet where not every peer exchanges with this instance, the
engine reports take the place of the peers' requests.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import final

import attrs

from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.fleet.gossip_updates import EngineUseUpdate
from chiveslip.gateway.adapter_uses import AdapterUses
from chiveslip.gateway.adapter_uses import UseEnd
from chiveslip.gateway.engine_control import EngineReport
from chiveslip.gateway.engine_load import EngineLoad
from chiveslip.gateway.engine_load import EngineLoads
from chiveslip.gateway.free_slots import FreeSlots

Adapter = tuple[str, int]
"""MODEL/NAME and version."""

# Requests in progress that a peer reported longer ago are ignored.
_MAX_USE_AGE_S = 5.0
# A peer that uses an adapter tells the engine's coordinator when it began and when it
# ended. This limits the damage if it cannot tell the end.
_MAX_ADAPTER_USE_AGE_S = 10.0
# Time until the coordinator has heard of either: from all peers in each round, or from
# those with news in turn.
_USE_NOTICE_S = 0.6
_USE_NOTICE_IN_TURN_S = 1.5
# An adapter that was ordered within this time may be missing from a report.
_ORDER_LAG_S = 2.5
# A report shows the state of up to this long ago.
_REPORT_LAG_S = 0.2
# Waiting requests in an older report have begun to run since. A coordinator reads one
# report each second.
_MAX_WAITING_AGE_S = 1.5
# Pending prefill tokens of a request that an engine reports as waiting: the mean
# prompt of the users' sheets.
_WAITING_REQUEST_TOKENS = 1000.0


@attrs.define
class _EngineContents:
    """Models and adapters at one engine.

    Attributes
    ----------
    ready_at
        Local time in seconds from which an adapter that was ordered is usable.
    missing_at
        Local time in seconds at which this instance saw itself that an adapter is
        missing.
    """

    started: int = 0
    models: frozenset[str] = frozenset()
    present: frozenset[Adapter] = frozenset()
    ready_at: dict[Adapter, float] = attrs.field(factory=dict)
    missing_at: dict[Adapter, float] = attrs.field(factory=dict)


@attrs.define(eq=False)
class OwnRequest:
    """A request of this instance in progress at an engine.

    Attributes
    ----------
    prompt_tokens
        Tokens to prefill before the first event.
    sent_at
        Local time in seconds at which it was sent.
    expected_s
        Estimated time in seconds to its first event.
    """

    engine: str
    adapter: Adapter | None
    prompt_tokens: float
    sent_at: float
    expected_s: float = 0.0
    has_first_event: bool = False


@attrs.frozen(kw_only=True)
class KnownLoad:
    """Load of an engine, as known to this instance at one moment.

    Attributes
    ----------
    report_age_s
        Age in seconds of the engine's last report, or None without a report.
    running, waiting
        Requests in that report, also if it is too old to be used.
    own_requests
        Requests of this instance in progress at the engine.
    own_unanswered
        Those of them whose first event is pending.
    """

    report_age_s: float | None
    running: int
    waiting: int
    own_requests: int
    own_unanswered: int


@final
class EngineView:
    """Adapters and load of all engines.

    Parameters
    ----------
    receives_all_peers
        Returns whether every peer reports its requests in progress to this instance.
    """

    def __init__(self, receives_all_peers: Callable[[], bool] = lambda: True) -> None:
        self._receives_all_peers = receives_all_peers
        self._contents: dict[str, _EngineContents] = {}
        self._own_requests: dict[str, set[OwnRequest]] = {}
        self._peer_engines: dict[str, frozenset[str]] = {}
        self._peer_uses: dict[str, dict[str, tuple[float, EngineUseUpdate]]] = {}
        self._uses = AdapterUses()
        self._free_slots = FreeSlots()
        self._own_uses_number = 1
        self._loads = EngineLoads()
        self._contents_told_at: dict[str, float] = {}
        self._loads_held_until: dict[str, float] = {}

    @property
    def receives_all_peers(self) -> bool:
        """Whether every peer reports its requests in progress to this instance."""
        return self._receives_all_peers()

    @property
    def use_notice_s(self) -> float:
        """Time in seconds until a coordinator has heard that an adapter is in use."""
        return _USE_NOTICE_S if self._receives_all_peers() else _USE_NOTICE_IN_TURN_S

    @property
    def own_uses_number(self) -> int:
        """Number of the list of own uses; it increases with each change."""
        return self._own_uses_number

    def update_engine(
        self,
        engine: str,
        started: int,
        models: frozenset[str],
        adapters: frozenset[Adapter],
        told_at: float,
    ) -> None:
        """Replace the models and adapters of an engine by those it reports.

        Does nothing if they are those of an earlier start of the engine.

        Parameters
        ----------
        told_at
            Local time in seconds at which this was true.
        """
        contents = self._contents_of_start(engine, started)
        if contents is None:
            return
        contents.models = models
        # A report lags, so it does not list adapters that were ordered just before.
        contents.ready_at = {
            adapter: ready_at
            for adapter, ready_at in contents.ready_at.items()
            if adapter in adapters or told_at < ready_at + _ORDER_LAG_S
        }
        contents.missing_at = {
            adapter: missing_at
            for adapter, missing_at in contents.missing_at.items()
            if missing_at > told_at
        }
        contents.present = adapters - contents.missing_at.keys()
        contents.present |= contents.ready_at.keys()

    def apply_coordinator_report(
        self, peer: str, report: EngineStateUpdate, now: float
    ) -> None:
        """Update an engine from its coordinator's report, unless it is outdated."""
        load = EngineLoad(running=report.running, waiting=report.waiting)
        self._loads.record_report(report.engine, load, now - report.age_s)
        told_at = now - report.told_s
        if told_at < self._contents_told_at.get(report.engine, float("-inf")):
            return
        self._contents_told_at[report.engine] = told_at
        self._free_slots.record_told(report.engine, report.free_adapter_slots, told_at)
        self.update_engine(
            report.engine, report.started, report.models, report.adapters, told_at
        )

    def apply_engine_report(
        self, engine: str, report: EngineReport, now: float
    ) -> None:
        """Update an engine from a report that this instance read itself.

        Which adapters may be used, its coordinator decides: the report of an engine
        lists those that are being dropped, too.
        """
        load = EngineLoad(running=report.running, waiting=report.waiting)
        self._loads.record_report(engine, load, now)
        requests = report.running + report.waiting
        self._free_slots.record_requests(engine, requests, now)
        known = self._contents.get(engine)
        if known is None or known.started != report.started:
            self.update_engine(
                engine, report.started, report.models, report.adapters, now
            )
            return
        listed = report.adapters | report.loading_adapters
        known.models = report.models
        for adapter in known.present - listed:
            if now >= known.ready_at.get(adapter, float("-inf")) + _ORDER_LAG_S:
                self.record_missing_adapter(engine, adapter, now)

    def apply_peer_uses(
        self,
        peer: str,
        uses: list[EngineUseUpdate],
        now: float,
        number: tuple[int, int] | None = None,
    ) -> bool:
        """Replace the requests that a peer has in progress by those it reports.

        Parameters
        ----------
        number
            Incarnation of the peer and number of its list, or None if it does not tell.

        Returns
        -------
        bool
            Whether the list is not older than the last one of the peer.
        """
        if not self._uses.accept_number(peer, number):
            return False
        engines = frozenset(use.engine for use in uses)
        for engine in self._peer_engines.get(peer, frozenset()) - engines:
            self._end_peer_use(engine, peer, frozenset(), now)
        self._peer_engines[peer] = engines
        for use in uses:
            self._end_peer_use(use.engine, peer, use.adapters, now)
            self._peer_uses.setdefault(use.engine, {})[peer] = (now, use)
        return True

    def apply_use_notice(
        self,
        peer: str,
        uses: list[EngineUseUpdate],
        now: float,
        number: tuple[int, int],
    ) -> None:
        """Apply a list of requests in progress that a peer sends at each change."""
        if self.apply_peer_uses(peer, uses, now, number):
            self._uses.record_told_at_once(peer, now)

    def last_use_ends(self, engine: str) -> dict[Adapter, UseEnd]:
        """Return the last known end of the use of each adapter at an engine."""
        return self._uses.last_ends(engine)

    def is_told_at_once(self, peer: str, since: float) -> bool:
        """Return whether a peer has told its uses at once after a local time."""
        return self._uses.is_told_at_once(peer, since)

    def forget_peer(self, peer: str) -> None:
        """Forget the requests that a peer had in progress."""
        for engine in self._peer_engines.pop(peer, frozenset()):
            self._peer_uses[engine].pop(peer, None)
        self._uses.forget_instance(peer)

    def forget_engine(self, engine: str) -> None:
        """Forget the models, adapters and report of an engine that is gone."""
        self._contents.pop(engine, None)
        self._contents_told_at.pop(engine, None)
        self._loads_held_until.pop(engine, None)
        self._loads.forget(engine)
        self._uses.forget_engine(engine)
        self._free_slots.forget(engine)

    def has_model(self, engine: str, model: str) -> bool:
        """Return whether a base model is present at an engine."""
        contents = self._contents.get(engine)
        return contents is not None and model in contents.models

    def count_model_holders(self, model: str) -> int:
        """Return how many engines hold a base model."""
        return sum(model in contents.models for contents in self._contents.values())

    def ready_at(self, engine: str, adapter: Adapter) -> float | None:
        """Return when an adapter is usable at an engine, or None if it is absent.

        Returns
        -------
        float or None
            Local time in seconds, possibly in the past; minus infinity if the adapter
            is present and the time is not known.
        """
        contents = self._contents.get(engine)
        if contents is None:
            return None
        if adapter in contents.ready_at:
            return contents.ready_at[adapter]
        return float("-inf") if adapter in contents.present else None

    def expect_adapter(self, engine: str, adapter: Adapter, ready_at: float) -> None:
        """Record that an adapter is being loaded and usable from `ready_at`."""
        contents = self._contents.setdefault(engine, _EngineContents())
        contents.ready_at[adapter] = ready_at
        contents.missing_at.pop(adapter, None)

    def record_load(self, engine: str) -> None:
        """Record that a load that this instance asked for takes an adapter slot."""
        self._free_slots.record_taken(engine)

    def record_no_room(self, engine: str, now: float) -> None:
        """Record that an engine has no adapter slot for another load."""
        if not self._receives_all_peers():
            self._free_slots.record_told(engine, 0, now)

    def slot_shortage(self, engine: str, adapter_slots: int, now: float) -> float:
        """Return how likely an engine cannot load another adapter, from 0 to 1."""
        in_use = self.adapters_in_use(engine, now)
        if len(in_use) >= adapter_slots:
            return 1.0
        return self._free_slots.shortage(engine, adapter_slots, now)

    def hold_loads(self, engine: str, until: float) -> None:
        """Record that no adapter can be ordered at an engine before a local time."""
        self._loads_held_until[engine] = until

    def loads_held_s(self, engine: str, now: float) -> float:
        """Return the time in seconds until adapters can be ordered at an engine."""
        return max(self._loads_held_until.get(engine, now) - now, 0.0)

    def record_missing_adapter(self, engine: str, adapter: Adapter, now: float) -> None:
        """Record that an engine does not hold an adapter or is dropping it."""
        contents = self._contents.get(engine)
        if contents is None:
            return
        contents.present -= {adapter}
        contents.ready_at.pop(adapter, None)
        contents.missing_at[adapter] = now

    def record_request_start(
        self,
        engine: str,
        adapter: Adapter | None,
        prompt_tokens: float,
        now: float,
        expected_s: float = 0.0,
    ) -> OwnRequest:
        """Count a request of this instance until `record_request_end`.

        Parameters
        ----------
        expected_s
            Estimated time in seconds to its first event.
        """
        request = OwnRequest(engine, adapter, prompt_tokens, now, expected_s)
        self._own_requests.setdefault(engine, set()).add(request)
        self._own_uses_number += 1
        return request

    def record_request_end(self, request: OwnRequest, now: float | None = None) -> None:
        """Stop counting a request of this instance.

        Parameters
        ----------
        now
            Local time in seconds, to record the end of the adapter's use.
        """
        self._own_uses_number += 1
        requests = self._own_requests.get(request.engine, set())
        requests.discard(request)
        if not requests:
            self._own_requests.pop(request.engine, None)
        if request.adapter is not None and now is not None:
            ended = {request.adapter} - _used_adapters(requests)
            self._uses.record_ends(request.engine, ended, None, now)

    def own_uses(self) -> list[EngineUseUpdate]:
        """Return the requests of this instance in progress, to send to peers."""
        return [
            EngineUseUpdate(
                engine=engine,
                requests=len(requests),
                pending_prefill_tokens=_sum_pending_tokens(requests),
                adapters=_used_adapters(requests),
            )
            for engine, requests in self._own_requests.items()
            if requests
        ]

    def overdue_s(self, engine: str, now: float) -> float:
        """Return by how many seconds the latest first event is overdue here."""
        return max(
            (
                now - request.sent_at - request.expected_s
                for request in self._own_requests.get(engine, ())
                if not request.has_first_event
            ),
            default=0.0,
        )

    def count_requests(self, engine: str, now: float) -> float:
        """Return the estimated requests of all instances in progress at an engine."""
        own_requests = len(self._own_requests.get(engine, ()))
        if self._receives_all_peers():
            told = own_requests + sum(
                use.requests
                for use in self._recent_peer_uses(engine, now, _MAX_USE_AGE_S)
            )
            load = self._loads.fresh_report(engine, now)
            return max(told, load.running + load.waiting)
        load = self._loads.estimate(engine, now)
        # The report includes own requests, except the most recent ones.
        return max(own_requests, load.running + load.waiting)

    def pending_prefill_tokens(self, engine: str, now: float) -> float:
        """Return the prompt tokens of all instances whose prefill is pending."""
        own_requests = self._own_requests.get(engine, set())
        if self._receives_all_peers():
            told = _sum_pending_tokens(own_requests) + sum(
                use.pending_prefill_tokens
                for use in self._recent_peer_uses(engine, now, _MAX_USE_AGE_S)
            )
            waiting = self._loads.fresh_report(engine, now).waiting
            return max(told, waiting * _WAITING_REQUEST_TOKENS)
        shown_until = self._loads.reported_at(engine) - _REPORT_LAG_S
        unreported = {r for r in own_requests if r.sent_at > shown_until}
        waiting = self._loads.estimate(engine, now).waiting
        return _sum_pending_tokens(unreported) + waiting * _WAITING_REQUEST_TOKENS

    def report_age_s(self, engine: str, now: float) -> float | None:
        """Return the age in seconds of an engine's last report, or None without one."""
        reported_at = self._loads.reported_at(engine)
        return None if reported_at == float("-inf") else now - reported_at

    def count_reported_waiting(self, engine: str, now: float) -> int:
        """Return the waiting requests in an engine's last report, 0 if it is old."""
        if now - self._loads.reported_at(engine) > _MAX_WAITING_AGE_S:
            return 0
        return int(self._loads.last_report(engine).waiting)

    def known_load(self, engine: str, now: float) -> KnownLoad:
        """Return what is known about the load of an engine."""
        load = self._loads.last_report(engine)
        own_requests = self._own_requests.get(engine, set())
        return KnownLoad(
            report_age_s=self.report_age_s(engine, now),
            running=int(load.running),
            waiting=int(load.waiting),
            own_requests=len(own_requests),
            own_unanswered=sum(not r.has_first_event for r in own_requests),
        )

    def adapters_in_use(self, engine: str, now: float) -> set[Adapter]:
        """Return the adapters with requests in progress, from all instances.

        A peer uses an adapter until it tells the contrary.
        """
        in_use = set(_used_adapters(self._own_requests.get(engine, set())))
        for use in self._recent_peer_uses(engine, now, _MAX_ADAPTER_USE_AGE_S):
            in_use |= use.adapters
        return in_use

    def _contents_of_start(self, engine: str, started: int) -> _EngineContents | None:
        """Return the contents of a start of an engine, None if it is an earlier one.

        Start numbers increase; 0 stands for an unknown one.
        """
        contents = self._contents.get(engine)
        if contents is not None and started == contents.started:
            return contents
        if contents is not None and 0 < started < contents.started:
            return None
        contents = self._contents[engine] = _EngineContents(started=started)
        return contents

    def _end_peer_use(
        self, engine: str, peer: str, still_used: frozenset[Adapter], now: float
    ) -> None:
        known = self._peer_uses.get(engine, {}).pop(peer, None)
        if known is not None:
            self._uses.record_ends(engine, known[1].adapters - still_used, peer, now)

    def _recent_peer_uses(
        self, engine: str, now: float, max_age_s: float
    ) -> list[EngineUseUpdate]:
        uses = self._peer_uses.get(engine)
        if not uses:
            return []
        return [
            use for received_at, use in uses.values() if now - received_at <= max_age_s
        ]


def _sum_pending_tokens(requests: Iterable[OwnRequest]) -> float:
    return sum(r.prompt_tokens for r in requests if not r.has_first_event)


def _used_adapters(requests: Iterable[OwnRequest]) -> frozenset[Adapter]:
    return frozenset(r.adapter for r in requests if r.adapter is not None)
