"""Adapters and load of each engine, as known to this instance.

The view combines three sources of different age: the store's list (seconds old), the
reports that each engine's coordinator reads and publishes (a few hundred milliseconds
old), and the requests in progress (own ones immediately, those of peers within a
gossip interval). In a fleet where not every peer exchanges with this instance, the
engine reports take the place of the peers' requests.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import attrs

from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.fleet.gossip_updates import EngineUseUpdate

Adapter = tuple[str, int]
"""MODEL/NAME and version."""

# Reports of engines and peers that are older than this are ignored.
MAX_REPORT_AGE_S = 5.0
# Pending prefill tokens of a request that an engine reports as waiting: the mean
# prompt of the users' sheets.
_WAITING_REQUEST_TOKENS = 1000.0


@attrs.define
class _EngineContents:
    """Models and adapters at one engine, with the time each adapter is usable from."""

    started: int = 0
    models: frozenset[str] = frozenset()
    present: set[Adapter] = attrs.field(factory=set)
    ready_at: dict[Adapter, float] = attrs.field(factory=dict)


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


@attrs.define
class _OwnUse:
    requests: int = 0
    unanswered: int = 0
    pending_prefill_tokens: float = 0.0
    adapters: dict[Adapter, int] = attrs.field(factory=dict)


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
        self._own_uses: dict[str, _OwnUse] = {}
        self._peer_engines: dict[str, frozenset[str]] = {}
        self._peer_uses: dict[str, dict[str, tuple[float, EngineUseUpdate]]] = {}
        self._reports: dict[str, tuple[float, EngineStateUpdate]] = {}

    @property
    def receives_all_peers(self) -> bool:
        """Whether every peer reports its requests in progress to this instance."""
        return self._receives_all_peers()

    def update_engine(
        self,
        engine: str,
        started: int,
        models: frozenset[str],
        adapters: frozenset[Adapter],
        now: float,
    ) -> None:
        """Replace the models and adapters of an engine by those it reports."""
        contents = self._contents.setdefault(engine, _EngineContents())
        if started != contents.started:
            self._contents[engine] = contents = _EngineContents(started=started)
        contents.models = models
        # A report lags, so it does not list adapters that were ordered just before.
        recent = {
            adapter
            for adapter, ready_at in contents.ready_at.items()
            if now < ready_at + MAX_REPORT_AGE_S / 2
        }
        contents.present = set(adapters) | recent

    def apply_coordinator_report(
        self, peer: str, report: EngineStateUpdate, now: float
    ) -> None:
        """Update an engine from its coordinator's report, unless it is outdated."""
        reported_at = now - report.age_s
        known = self._reports.get(report.engine)
        if known is not None and known[0] > reported_at:
            return
        self._reports[report.engine] = (reported_at, report)
        self.update_engine(
            report.engine, report.started, report.models, report.adapters, now
        )

    def apply_peer_uses(
        self, peer: str, uses: list[EngineUseUpdate], now: float
    ) -> None:
        """Replace the requests that a peer has in progress by those it reports."""
        engines = frozenset(use.engine for use in uses)
        for engine in self._peer_engines.get(peer, frozenset()) - engines:
            self._peer_uses[engine].pop(peer, None)
        self._peer_engines[peer] = engines
        for use in uses:
            self._peer_uses.setdefault(use.engine, {})[peer] = (now, use)

    def forget_peer(self, peer: str) -> None:
        """Forget the requests that a peer had in progress."""
        for engine in self._peer_engines.pop(peer, frozenset()):
            self._peer_uses[engine].pop(peer, None)

    def forget_engine(self, engine: str) -> None:
        """Forget the models, adapters and report of an engine that is gone."""
        self._contents.pop(engine, None)
        self._reports.pop(engine, None)

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

    def record_missing_adapter(self, engine: str, adapter: Adapter) -> None:
        """Record that an engine does not hold an adapter or is dropping it."""
        contents = self._contents.get(engine)
        if contents is None:
            return
        contents.present.discard(adapter)
        contents.ready_at.pop(adapter, None)

    def record_request_start(
        self, engine: str, adapter: Adapter | None, prompt_tokens: float
    ) -> None:
        """Count a request of this instance and its pending prefill."""
        use = self._own_uses.setdefault(engine, _OwnUse())
        use.requests += 1
        use.unanswered += 1
        use.pending_prefill_tokens += prompt_tokens
        if adapter is not None:
            use.adapters[adapter] = use.adapters.get(adapter, 0) + 1

    def record_prefill_end(self, engine: str, prompt_tokens: float) -> None:
        """Stop counting the prefill of a request; to be called once for each.

        The first event has come, or the request ended without one.
        """
        use = self._own_uses.setdefault(engine, _OwnUse())
        use.unanswered = max(use.unanswered - 1, 0)
        use.pending_prefill_tokens = max(
            use.pending_prefill_tokens - prompt_tokens, 0.0
        )

    def record_request_end(self, engine: str, adapter: Adapter | None) -> None:
        """Stop counting a request of this instance."""
        use = self._own_uses.setdefault(engine, _OwnUse())
        use.requests = max(use.requests - 1, 0)
        if adapter is None:
            return
        remaining = use.adapters.get(adapter, 0) - 1
        if remaining > 0:
            use.adapters[adapter] = remaining
        else:
            use.adapters.pop(adapter, None)

    def own_uses(self) -> list[EngineUseUpdate]:
        """Return the requests of this instance in progress, to send to peers."""
        return [
            EngineUseUpdate(
                engine=name,
                requests=use.requests,
                pending_prefill_tokens=use.pending_prefill_tokens,
                adapters=frozenset(use.adapters),
            )
            for name, use in self._own_uses.items()
            if use.requests > 0
        ]

    def count_requests(self, engine: str, now: float) -> int:
        """Return the requests of all instances in progress at an engine."""
        own_use = self._own_uses.get(engine)
        own_requests = 0 if own_use is None else own_use.requests
        if self._receives_all_peers():
            return own_requests + sum(
                use.requests for use in self._recent_peer_uses(engine, now)
            )
        report = self._recent_report(engine, now)
        if report is None:
            return own_requests
        # The report includes own requests, except the most recent ones.
        return max(own_requests, report.running + report.waiting)

    def pending_prefill_tokens(self, engine: str, now: float) -> float:
        """Return the prompt tokens of all instances whose prefill is pending."""
        own_use = self._own_uses.get(engine)
        own_tokens = 0.0 if own_use is None else own_use.pending_prefill_tokens
        if self._receives_all_peers():
            uses = self._recent_peer_uses(engine, now)
            return own_tokens + sum(use.pending_prefill_tokens for use in uses)
        report = self._recent_report(engine, now)
        return own_tokens + (
            0.0 if report is None else report.waiting * _WAITING_REQUEST_TOKENS
        )

    def report_age_s(self, engine: str, now: float) -> float | None:
        """Return the age in seconds of an engine's last report, or None without one."""
        report = self._reports.get(engine)
        return None if report is None else now - report[0]

    def known_load(self, engine: str, now: float) -> KnownLoad:
        """Return what is known about the load of an engine."""
        own_use = self._own_uses.get(engine)
        reported_at, report = self._reports.get(engine, (now, None))
        return KnownLoad(
            report_age_s=None if report is None else now - reported_at,
            running=0 if report is None else report.running,
            waiting=0 if report is None else report.waiting,
            own_requests=0 if own_use is None else own_use.requests,
            own_unanswered=0 if own_use is None else own_use.unanswered,
        )

    def adapters_in_use(self, engine: str, now: float) -> set[Adapter]:
        """Return the adapters with requests in progress, from all instances."""
        own_use = self._own_uses.get(engine)
        in_use = set() if own_use is None else set(own_use.adapters)
        for use in self._recent_peer_uses(engine, now):
            in_use |= use.adapters
        return in_use

    def _recent_report(self, engine: str, now: float) -> EngineStateUpdate | None:
        reported_at, report = self._reports.get(engine, (float("-inf"), None))
        return report if now - reported_at <= MAX_REPORT_AGE_S else None

    def _recent_peer_uses(self, engine: str, now: float) -> list[EngineUseUpdate]:
        uses = self._peer_uses.get(engine)
        if not uses:
            return []
        return [
            use
            for received_at, use in uses.values()
            if now - received_at <= MAX_REPORT_AGE_S
        ]
