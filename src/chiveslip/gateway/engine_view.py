"""What this instance believes of each engine: adapters present, work under way.

Three sources of different age are joined: the store's list (seconds), reports that
the engine's orderer reads and tells (some hundred milliseconds), and what this
instance and its peers have under way (own at once, others within a gossip interval).
In a fleet where not every peer speaks with this instance, the reports stand for what
others have under way.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import attrs

from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.fleet.gossip_updates import EngineUseUpdate

Adapter = tuple[str, int]
"""MODEL/NAME and version."""

# Adapters that were told to be present are not believed for longer than this
# without news, and what peers have under way neither.
_BELIEVED_S = 5.0
# Prompt tokens still to be read of a request that an engine reports as waiting; the
# mean prompt of the users' sheets.
_WAITING_TOKENS = 1000.0


@attrs.define
class _Held:
    """Adapters at one engine, with when each was last used here."""

    started: int = 0
    models: frozenset[str] = frozenset()
    present: set[Adapter] = attrs.field(factory=set)
    ready_at: dict[Adapter, float] = attrs.field(factory=dict)


@attrs.define
class _Work:
    requests: int = 0
    unread_tokens: float = 0.0
    adapters: dict[Adapter, int] = attrs.field(factory=dict)


@final
class EngineView:
    """Adapters and load of all engines, as believed here.

    Parameters
    ----------
    hears_all
        Returns whether every peer tells this instance what it has under way.
    """

    def __init__(self, hears_all: Callable[[], bool] = lambda: True) -> None:
        self._hears_all = hears_all
        self._held: dict[str, _Held] = {}
        self._own: dict[str, _Work] = {}
        self._peer_engines: dict[str, frozenset[str]] = {}
        self._users: dict[str, dict[str, tuple[float, EngineUseUpdate]]] = {}
        self._reports: dict[str, tuple[float, EngineStateUpdate]] = {}

    @property
    def hears_all(self) -> bool:
        """Whether every peer tells this instance what it has under way."""
        return self._hears_all()

    def seen(
        self,
        engine: str,
        started: int,
        models: frozenset[str],
        adapters: frozenset[Adapter],
        now: float,
    ) -> None:
        """Take over what the engine gave of itself as held."""
        held = self._held.setdefault(engine, _Held())
        if started != held.started:
            self._held[engine] = held = _Held(started=started)
        held.models = models
        # What was ordered just now is not in a list that lags.
        recent = {a for a, at in held.ready_at.items() if now < at + _BELIEVED_S / 2}
        held.present = set(adapters) | recent

    def told(self, peer: str, news: EngineStateUpdate, now: float) -> None:
        """Take over what the engine's orderer tells."""
        at = now - news.age_s
        known = self._reports.get(news.engine)
        if known is not None and known[0] > at:
            return
        self._reports[news.engine] = (at, news)
        self.seen(news.engine, news.started, news.models, news.adapters, now)

    def peer_works(self, peer: str, uses: list[EngineUseUpdate], now: float) -> None:
        """Take over what a peer has under way."""
        engines = frozenset(use.engine for use in uses)
        for engine in self._peer_engines.get(peer, frozenset()) - engines:
            self._users[engine].pop(peer, None)
        self._peer_engines[peer] = engines
        for use in uses:
            self._users.setdefault(use.engine, {})[peer] = (now, use)

    def forget_peer(self, peer: str) -> None:
        """Drop what a peer had under way."""
        for engine in self._peer_engines.pop(peer, frozenset()):
            self._users[engine].pop(peer, None)

    def forget_engine(self, engine: str) -> None:
        """Drop all of an engine that is gone."""
        self._held.pop(engine, None)
        self._reports.pop(engine, None)

    def has_model(self, engine: str, model: str) -> bool:
        """Return whether a base model is present."""
        held = self._held.get(engine)
        return held is not None and model in held.models

    def model_holders(self, model: str) -> int:
        """Return how many engines hold a base model."""
        return sum(model in held.models for held in self._held.values())

    def ready_at(self, engine: str, adapter: Adapter) -> float | None:
        """Return when an adapter is or was usable, or None if it is not there.

        Returns
        -------
        float or None
            Local time in seconds; minus infinity if it has been there for long.
        """
        held = self._held.get(engine)
        if held is None:
            return None
        if adapter in held.ready_at:
            return held.ready_at[adapter]
        return float("-inf") if adapter in held.present else None

    def becomes_ready(self, engine: str, adapter: Adapter, at: float) -> None:
        """Note that an adapter is on its way and usable from `at`."""
        held = self._held.setdefault(engine, _Held())
        held.ready_at[adapter] = at

    def missing(self, engine: str, adapter: Adapter) -> None:
        """Note that the engine said that it does not hold an adapter."""
        held = self._held.get(engine)
        if held is None:
            return
        held.present.discard(adapter)
        held.ready_at.pop(adapter, None)

    def begins(self, engine: str, adapter: Adapter | None, unread: float) -> None:
        """Note a request sent from here, with its prompt tokens to be read."""
        work = self._own.setdefault(engine, _Work())
        work.requests += 1
        work.unread_tokens += unread
        if adapter is not None:
            work.adapters[adapter] = work.adapters.get(adapter, 0) + 1

    def has_read(self, engine: str, unread: float) -> None:
        """Note that the first event came, so that the prompt has been read."""
        work = self._own.setdefault(engine, _Work())
        work.unread_tokens = max(work.unread_tokens - unread, 0.0)

    def ends(self, engine: str, adapter: Adapter | None) -> None:
        """Note that a request sent from here has ended."""
        work = self._own.setdefault(engine, _Work())
        work.requests = max(work.requests - 1, 0)
        if adapter is None:
            return
        left = work.adapters.get(adapter, 0) - 1
        if left > 0:
            work.adapters[adapter] = left
        else:
            work.adapters.pop(adapter, None)

    def own_uses(self) -> list[EngineUseUpdate]:
        """Return what this instance has under way, for peers."""
        return [
            EngineUseUpdate(
                engine=name,
                requests=work.requests,
                pending_prefill_tokens=work.unread_tokens,
                adapters=frozenset(work.adapters),
            )
            for name, work in self._own.items()
            if work.requests > 0
        ]

    def requests(self, engine: str, now: float) -> int:
        """Return the requests under way at an engine, from all instances."""
        own = self._own.get(engine)
        count = 0 if own is None else own.requests
        if self._hears_all():
            return count + sum(use.requests for use in self._peer_uses(engine, now))
        report = self._report(engine, now)
        if report is None:
            return count
        # Own requests are in the report, but for those of the last moment.
        return max(count, report.running + report.waiting)

    def unread_tokens(self, engine: str, now: float) -> float:
        """Return the prompt tokens still to be read there, from all instances."""
        own = self._own.get(engine)
        tokens = 0.0 if own is None else own.unread_tokens
        if self._hears_all():
            uses = self._peer_uses(engine, now)
            return tokens + sum(use.pending_prefill_tokens for use in uses)
        report = self._report(engine, now)
        return tokens + (0.0 if report is None else report.waiting * _WAITING_TOKENS)

    def adapters_in_use(self, engine: str, now: float) -> set[Adapter]:
        """Return the adapters that any instance has requests for there."""
        own = self._own.get(engine)
        found = set() if own is None else set(own.adapters)
        for use in self._peer_uses(engine, now):
            found |= use.adapters
        return found

    def _report(self, engine: str, now: float) -> EngineStateUpdate | None:
        at, report = self._reports.get(engine, (float("-inf"), None))
        return report if now - at <= _BELIEVED_S else None

    def _peer_uses(self, engine: str, now: float) -> list[EngineUseUpdate]:
        users = self._users.get(engine)
        if not users:
            return []
        return [use for at, use in users.values() if now - at <= _BELIEVED_S]
