"""What gateways tell each other: who is alive, what each has under way and used.

Written and read here, so that no other module knows the messages.
"""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Callable
from typing import final

import attrs

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.fleet.gossip_news import EngineStateNews
from chiveslip.fleet.gossip_news import EngineUseNews
from chiveslip.fleet.membership import MemberNews
from chiveslip.fleet.membership import Membership
from chiveslip.fleet.pace import Pace
from chiveslip.fleet.reports import ReportBook
from chiveslip.fleet.reports import UnreadableReportsError
from chiveslip.fleet.reports import pack
from chiveslip.fleet.reports import unpack
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.measures import GatewayMeasures
from chiveslip.gateway.ordering import Orderer
from chiveslip.generated import peer_pb2 as wire
from chiveslip.settings.fields import parse_address
from chiveslip.store.mirror import StoreMirror

# Names of adapters stand in each report of an engine; as many are kept as engines of a
# large fleet hold.
_KNOWN_NAMES = 4096


@attrs.frozen(kw_only=True)
class GossipParts:
    """The parts that gossip speaks for."""

    membership: Membership
    allowances: SharedAllowances
    view: EngineView
    orderer: Orderer
    suspects: CrashSuspects
    mirror: StoreMirror
    pace: Callable[[], Pace]
    measures: GatewayMeasures
    clock: Clock


@final
class GossipMessages:
    """Writes and reads the messages between gateways."""

    def __init__(self, parts: GossipParts, generator: random.Random) -> None:
        self._parts = parts
        self._random = generator
        self._book = ReportBook()
        self._log = logs.get_logger("gossip")

    def question(self) -> wire.Gossip:
        """Return what this instance has to tell, and what it has heard."""
        parts = self._parts
        message = self._own(parts.clock.now())
        if parts.pace().relays:
            self._book.forget_others(parts.membership.remembered)
            message.heard.extend(self._book.heard())
            return message
        now = parts.clock.now()
        for news in parts.membership.told(self._random, now):
            message.members.append(_member(news))
        return message

    def answer(self, question: wire.Gossip) -> wire.Gossip:
        """Return what this instance has to tell that the asker has not heard."""
        parts = self._parts
        now = parts.clock.now()
        message = self._own(now)
        if parts.pace().relays:
            asker = question.sender.instance
            lacking = self._book.newer_than(question.heard, asker, now)
            message.reports = pack(lacking)
            return message
        for news in parts.membership.told(self._random, now):
            message.members.append(_member(news))
        return message

    def take(self, message: wire.Gossip) -> None:
        """Take over what a peer tells."""
        parts = self._parts
        now = parts.clock.now()
        for told in (message.sender, *message.members):
            self._hear(told, now)
        if parts.membership.is_older(message.sender.heartbeat):
            levels = {use.organisation: use.level for use in message.allowance_uses}
            parts.allowances.started_among(levels, now)
        own = _report_of(message)
        if self._book.keep(own, now) or not parts.pace().relays:
            self._apply(own, now)
        self._take_uses(message, now)
        self._take_suspects(message, now)
        self._take_reports(message, now)

    def _own(self, now: float) -> wire.Gossip:
        parts = self._parts
        message = wire.Gossip(
            sender=_member(parts.membership.own_news()),
            store_revision=parts.mirror.revision,
        )
        self._tell_allowances(message, now)
        self._tell_engines(message)
        for fingerprint, crashes in parts.suspects.prune_crashes(now).items():
            told = message.crash_suspects.add(fingerprint=fingerprint)
            for endpoint, at in crashes.items():
                told.crashes.add(endpoint=endpoint, age_seconds=now - at)
        return message

    def _tell_allowances(self, message: wire.Gossip, now: float) -> None:
        levels = self._parts.allowances.levels(now)
        for name, tokens in self._parts.allowances.used.items():
            message.allowance_uses.add(
                organisation=name, tokens=tokens, level=levels.get(name, math.inf)
            )

    def _tell_engines(self, message: wire.Gossip) -> None:
        parts = self._parts
        for use in parts.view.own_uses():
            message.engine_uses.add(
                endpoint=use.engine,
                requests=use.requests,
                unread_tokens=use.unread_tokens,
                adapters=[_join(adapter) for adapter in use.adapters],
            )
        for state in parts.orderer.states():
            message.engine_states.append(_told_state(state))
        for engine, age_s, fence in parts.orderer.rights.last_orders():
            message.last_orders.add(endpoint=engine, age_seconds=age_s, fence=fence)

    def _hear(self, told: wire.MemberState, now: float) -> None:
        news = _news(told)
        if news is not None:
            self._parts.membership.heard(news, now)

    def _apply(self, report: wire.InstanceReport, now: float) -> None:
        """Take over what an instance said of itself, to this one or to another."""
        parts = self._parts
        member = report.member
        if member.stopping:
            parts.orderer.rights.heard_stop(member.instance)
        used = {use.organisation: use.tokens for use in report.allowance_uses}
        parts.allowances.heard(member.instance, member.incarnation, used)
        for state in report.engine_states:
            parts.view.told(member.instance, _state(state, member.age_seconds), now)
        for order in report.last_orders:
            age_s = order.age_seconds + member.age_seconds
            parts.orderer.heard_order(order.endpoint, order.fence, age_s)

    def _take_uses(self, message: wire.Gossip, now: float) -> None:
        uses = [
            EngineUseNews(
                engine=use.endpoint,
                requests=use.requests,
                unread_tokens=use.unread_tokens,
                adapters=frozenset(_split(adapter) for adapter in use.adapters),
            )
            for use in message.engine_uses
        ]
        self._parts.view.peer_works(message.sender.instance, uses, now)

    def _take_reports(self, message: wire.Gossip, now: float) -> None:
        try:
            reports = unpack(message.reports)
        except UnreadableReportsError as error:
            peer = message.sender.instance
            self._log.warning("Unreadable reports.", peer=peer, cause=str(error))
            return
        for report in reports:
            if report.member.instance == self._parts.membership.instance:
                continue
            if self._book.keep(report, now):
                self._hear(report.member, now)
                self._apply(report, now)

    def _take_suspects(self, message: wire.Gossip, now: float) -> None:
        for suspect in message.crash_suspects:
            for crash in suspect.crashes:
                at = now - crash.age_seconds
                self._parts.suspects.record_peer_crash(
                    suspect.fingerprint, crash.endpoint, at, now
                )


def _member(news: MemberNews) -> wire.MemberState:
    return wire.MemberState(
        instance=news.instance,
        address=str(news.address),
        incarnation=news.incarnation,
        heartbeat=news.heartbeat,
        stopping=news.stopping,
        age_seconds=news.age_s,
    )


def _report_of(message: wire.Gossip) -> wire.InstanceReport:
    """Return what the sender said of itself that others have to know."""
    report = wire.InstanceReport(
        member=message.sender,
        engine_states=message.engine_states,
        last_orders=message.last_orders,
    )
    for use in message.allowance_uses:
        # The level is for an instance that has just started, which asks by itself.
        report.allowance_uses.add(organisation=use.organisation, tokens=use.tokens)
    return report


def _news(told: wire.MemberState) -> MemberNews | None:
    try:
        address = parse_address(told.address)
    except ValueError:
        return None
    return MemberNews(
        instance=told.instance,
        address=address,
        incarnation=told.incarnation,
        heartbeat=told.heartbeat,
        stopping=told.stopping,
        age_s=told.age_seconds,
    )


def _told_state(state: EngineStateNews) -> wire.EngineState:
    return wire.EngineState(
        endpoint=state.engine,
        started=state.started,
        models=sorted(state.models),
        adapters=[_join(adapter) for adapter in state.adapters],
        running=state.running,
        waiting=state.waiting,
        cache_used=state.cache_used,
        age_seconds=state.age_s,
    )


def _state(state: wire.EngineState, age_s: float) -> EngineStateNews:
    return EngineStateNews(
        engine=state.endpoint,
        started=state.started,
        models=frozenset(state.models),
        adapters=frozenset(_split(adapter) for adapter in state.adapters),
        running=state.running,
        waiting=state.waiting,
        cache_used=state.cache_used,
        age_s=state.age_seconds + age_s,
    )


def _join(adapter: tuple[str, int]) -> str:
    return f"{adapter[0]}@{adapter[1]}"


@functools.lru_cache(maxsize=_KNOWN_NAMES)
def _split(text: str) -> tuple[str, int]:
    name, _, version = text.rpartition("@")
    return (name, int(version)) if version.isdigit() else (text, 0)
