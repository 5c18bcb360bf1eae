"""Builds and applies gossip messages: members, engines, allowance use and suspects.

All gossip messages are built and parsed here, so that no other module depends on their
format.
"""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import final

import attrs

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.dispatch.part_suspects import PartCrash
from chiveslip.dispatch.part_suspects import PartReport
from chiveslip.dispatch.part_suspects import PartSuspects
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.fleet.engine_uses import decode_uses
from chiveslip.fleet.engine_uses import encode_uses
from chiveslip.fleet.engine_uses import format_adapter
from chiveslip.fleet.engine_uses import parse_adapter
from chiveslip.fleet.gossip_schedule import GossipSchedule
from chiveslip.fleet.gossip_updates import EngineStateUpdate
from chiveslip.fleet.incarnations import decode_cold
from chiveslip.fleet.incarnations import decode_incarnations
from chiveslip.fleet.incarnations import decode_limit
from chiveslip.fleet.incarnations import encode_cold
from chiveslip.fleet.incarnations import encode_incarnation
from chiveslip.fleet.incarnations import encode_limit
from chiveslip.fleet.membership import Membership
from chiveslip.fleet.membership import MemberUpdate
from chiveslip.fleet.membership import has_just_started
from chiveslip.fleet.reports import InvalidReportsError
from chiveslip.fleet.reports import ReportCache
from chiveslip.fleet.reports import pack_reports
from chiveslip.fleet.reports import unpack_reports
from chiveslip.fleet.suspect_news import Crashes
from chiveslip.fleet.suspect_news import SuspectNews
from chiveslip.gateway.allowances import SharedAllowances
from chiveslip.gateway.cold_endpoints import ColdEndpoints
from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_statements import EndpointStatement
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.engine_coordinator import EngineCoordinator
from chiveslip.gateway.engine_failures import EngineFailures
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_speeds import EngineStart
from chiveslip.gateway.engine_speeds import SpeedEvidence
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.limit_grants import LimitGrantor
from chiveslip.gateway.metrics import GatewayMetrics
from chiveslip.gateway.rooms import EndpointRooms
from chiveslip.generated import peer_pb2 as wire
from chiveslip.settings.fields import Address
from chiveslip.settings.fields import parse_address
from chiveslip.store.client import StoreRevision
from chiveslip.store.contact import PeerContact
from chiveslip.store.contact import StoreContact
from chiveslip.store.mirror import StoreMirror

# Every report repeats the address of its instance.
_MAX_CACHED_ADDRESSES = 1024
# Suspected parts of prompts in one message; those with the most crashes come first.
_MAX_PART_SUSPECTS = 64
# Unit of the numbers of an EngineSpeed, in seconds and of the logarithm of a ratio: as
# whole numbers they take half of the bytes of floating-point ones.
_SPEED_UNIT = 0.01
# Key under which the news that a part was cleared counts as told, beside its crashes.
_CLEARED_NEWS = "cleared {}"


@attrs.frozen(kw_only=True)
class GossipParts:
    """The components that gossip reads from and updates."""

    membership: Membership
    allowances: SharedAllowances
    engine_view: EngineView
    engine_failures: EngineFailures
    engine_speeds: EngineSpeeds
    coordinator: EngineCoordinator
    suspects: CrashSuspects
    part_suspects: PartSuspects
    statements: EndpointStatements
    rooms: EndpointRooms
    limits: EndpointLimits
    cold: ColdEndpoints
    limit_grantor: LimitGrantor
    mirror: StoreMirror
    store_contact: StoreContact
    schedule: Callable[[], GossipSchedule]
    metrics: GatewayMetrics
    clock: Clock


@final
class GossipMessages:
    """Builds and applies gossip messages."""

    def __init__(self, parts: GossipParts, generator: random.Random) -> None:
        self._parts = parts
        self._random = generator
        self._report_cache = ReportCache()
        self._suspect_news = SuspectNews()
        self._part_news = SuspectNews()
        self._log = logs.get_logger("gossip")

    def build_request(self) -> wire.Gossip:
        """Return the gossip of this instance and the versions of the reports it has."""
        parts = self._parts
        message = self._build_own_gossip(parts.clock.now())
        if parts.schedule().relays_reports:
            self._report_cache.retain(parts.membership.known_members)
            message.heard.extend(self._report_cache.known_versions())
            return message
        now = parts.clock.now()
        for update in parts.membership.sample_updates(self._random, now):
            message.members.append(_build_member(update))
        return message

    def build_reply(self, request: wire.Gossip) -> wire.Gossip:
        """Return the gossip of this instance and reports that the requester lacks."""
        parts = self._parts
        now = parts.clock.now()
        message = self._build_own_gossip(
            now, is_for_newcomer=has_just_started(request.sender.heartbeat)
        )
        if parts.schedule().relays_reports:
            requester = request.sender.instance
            missing = self._report_cache.newer_than(request.heard, requester, now)
            message.reports = pack_reports(missing)
            return message
        for update in parts.membership.sample_updates(self._random, now):
            message.members.append(_build_member(update))
        return message

    def record_received(self, message: wire.Gossip) -> None:
        """Record that a peer received a message of this instance."""
        self._suspect_news.record_told(
            (suspect.fingerprint, crash.endpoint)
            for suspect in message.crash_suspects
            for crash in suspect.crashes
        )
        self._part_news.record_told(
            (suspect.part, key)
            for suspect in message.part_suspects
            for key in _list_news(
                (crash.endpoint for crash in suspect.crashes), suspect.clearances
            )
        )

    def apply(self, message: wire.Gossip) -> None:
        """Apply the gossip of a peer."""
        parts = self._parts
        now = parts.clock.now()
        for member in (message.sender, *message.members):
            self._apply_member(member, now)
        if parts.membership.is_older_peer(message.sender.heartbeat):
            levels = {use.organisation: use.level for use in message.allowance_uses}
            parts.allowances.lower_to_peer_levels(levels, now)
        sender_report = _build_sender_report(message)
        if (
            self._report_cache.add(sender_report, now)
            or not parts.schedule().relays_reports
        ):
            self._apply_report(sender_report, now)
        self._apply_store_contact(message)
        self._apply_uses(message, now)
        self._apply_suspects(message, now)
        self._apply_part_suspects(message, now)
        self._apply_leaving_endpoints(message)
        for brittle in message.brittle_services:
            self._parts.rooms.record_brittle(
                brittle.service,
                brittle.refusals_per_second,
                brittle.age_seconds,
                source=message.sender.instance,
            )
        self._apply_limits(message, now)
        self._apply_cold_endpoints(message, now)
        self._apply_reports(message, now)

    def _build_own_gossip(
        self, now: float, *, is_for_newcomer: bool = False
    ) -> wire.Gossip:
        """Return the gossip of this instance.

        An instance that has just started is told all crash suspects.
        """
        parts = self._parts
        message = wire.Gossip(
            sender=_build_member(parts.membership.own_update()),
            store_era=parts.mirror.revision.era,
            store_revision=parts.mirror.revision.number,
        )
        contact = parts.store_contact.describe()
        if contact is not None:
            message.store_contact.reachable_seconds = contact.reachable_s
            message.store_contact.answered_seconds = contact.answered_s
        self._add_allowances(message, now)
        self._add_engines(message)
        crashes: Crashes = parts.suspects.prune_crashes(now)
        if not is_for_newcomer:
            crashes = self._suspect_news.select(crashes, parts.schedule().fan_out)
        for fingerprint, endpoints in crashes.items():
            suspect = message.crash_suspects.add(fingerprint=fingerprint)
            for endpoint, crashed_at in endpoints.items():
                suspect.crashes.add(endpoint=endpoint, age_seconds=now - crashed_at)
        self._add_part_suspects(message, now, is_for_newcomer=is_for_newcomer)
        for leaving in parts.statements.leaving():
            message.leaving_endpoints.append(encode_incarnation(leaving))
        for brittle in parts.rooms.brittle_services():
            message.brittle_services.add(
                service=brittle.service,
                refusals_per_second=brittle.refusals_per_s,
                age_seconds=now - brittle.said_at,
            )
        for limit in parts.limits.named():
            message.endpoint_limits.append(encode_limit(limit, now))
        for time in parts.cold.current(now):
            if time.is_told:
                message.cold_endpoints.append(encode_cold(time, now))
        return message

    def _add_part_suspects(
        self, message: wire.Gossip, now: float, *, is_for_newcomer: bool
    ) -> None:
        parts = self._parts
        reports = {report.part: report for report in parts.part_suspects.prune(now)}
        news = {
            part: dict.fromkeys(_list_news(report.crashes, report.clearances), now)
            for part, report in reports.items()
        }
        told: Crashes = news
        if not is_for_newcomer:
            told = self._part_news.select(news, parts.schedule().fan_out)
        strongest = sorted(
            told, key=lambda part: _strength(reports[part]), reverse=True
        )
        for part in strongest[:_MAX_PART_SUSPECTS]:
            message.part_suspects.append(_build_part_suspect(reports[part], now))

    def _add_allowances(self, message: wire.Gossip, now: float) -> None:
        self._parts.allowances.return_expired_credits(now)
        levels = self._parts.allowances.current_levels(now)
        for name, tokens in self._parts.allowances.used.items():
            message.allowance_uses.add(
                organisation=name, tokens=tokens, level=levels.get(name, math.inf)
            )

    def _add_engines(self, message: wire.Gossip) -> None:
        parts = self._parts
        message.engine_uses.extend(encode_uses(parts.engine_view.own_uses()))
        message.uses_number = parts.engine_view.own_uses_number
        for state in parts.coordinator.engine_states():
            message.engine_states.append(_build_engine_state(state))
        for engine, age_s, fence in parts.coordinator.rights.recent_own_orders():
            message.last_orders.add(endpoint=engine, age_seconds=age_s, fence=fence)
        failures = parts.engine_failures.own_failures(parts.clock.now())
        for (engine, started), requests in failures.items():
            message.engine_failures.add(
                endpoint=engine, started=started, requests=requests
            )
        speeds = parts.engine_speeds.summaries(parts.clock.now())
        for start, evidence in speeds.items():
            message.engine_speeds.append(_build_engine_speed(start, evidence))

    def _apply_member(self, member: wire.MemberState, now: float) -> None:
        update = _parse_member(member)
        if update is not None:
            self._parts.membership.apply_update(update, now)

    def _apply_report(self, report: wire.InstanceReport, now: float) -> None:
        """Apply the report of an instance, received from it or from another one."""
        parts = self._parts
        member = report.member
        if member.stopping:
            parts.coordinator.rights.record_announced_stop(member.instance)
        used = {use.organisation: use.tokens for use in report.allowance_uses}
        parts.allowances.record_peer_use(member.instance, member.incarnation, used)
        for state in report.engine_states:
            parts.engine_view.apply_coordinator_report(
                member.instance, _parse_engine_state(state, member.age_seconds), now
            )
        for order in report.last_orders:
            age_s = order.age_seconds + member.age_seconds
            parts.coordinator.record_peer_order(order.endpoint, order.fence, age_s)
        parts.engine_failures.apply_peer_failures(
            member.instance,
            {(f.endpoint, f.started): f.requests for f in report.engine_failures},
            now - member.age_seconds,
        )
        parts.engine_speeds.apply_peer(
            member.instance,
            dict(map(_parse_engine_speed, report.engine_speeds)),
            now - member.age_seconds,
        )

    def _apply_uses(self, message: wire.Gossip, now: float) -> None:
        sender = message.sender
        number = (sender.incarnation, message.uses_number)
        self._parts.engine_view.apply_peer_uses(
            sender.instance,
            decode_uses(message.engine_uses),
            now,
            number if message.uses_number else None,
        )

    def _apply_reports(self, message: wire.Gossip, now: float) -> None:
        try:
            reports = unpack_reports(message.reports)
        except InvalidReportsError as error:
            peer = message.sender.instance
            self._log.warning(
                "Reports of a peer are invalid.", peer=peer, cause=str(error)
            )
            return
        for report in reports:
            if report.member.instance == self._parts.membership.instance:
                continue
            if self._report_cache.add(report, now):
                self._apply_member(report.member, now)
                self._apply_report(report, now)

    def _apply_suspects(self, message: wire.Gossip, now: float) -> None:
        for suspect in message.crash_suspects:
            for crash in suspect.crashes:
                crashed_at = now - crash.age_seconds
                self._parts.suspects.record_peer_crash(
                    suspect.fingerprint, crash.endpoint, crashed_at, now
                )

    def _apply_part_suspects(self, message: wire.Gossip, now: float) -> None:
        suspects = self._parts.part_suspects
        for suspect in message.part_suspects:
            age_s = suspect.progress_age_seconds
            if suspect.HasField("progress_age_seconds") and 0 <= age_s < math.inf:
                suspects.record_peer_progress(suspect.part, now - age_s)
            for crash in suspect.crashes:
                if not 0 <= crash.age_seconds < math.inf:
                    continue
                known = PartCrash(
                    now - crash.age_seconds, frozenset(crash.organisations)
                )
                suspects.record_peer_crash(suspect.part, crash.endpoint, known, now)

    def _apply_store_contact(self, message: wire.Gossip) -> None:
        if not message.HasField("store_contact"):
            return
        contact = PeerContact(
            reachable_s=message.store_contact.reachable_seconds,
            answered_s=message.store_contact.answered_seconds,
        )
        if not 0 <= contact.answered_s <= contact.reachable_s < math.inf:
            self._log.warning(
                "Times of a peer are invalid.",
                peer=message.sender.instance,
                reachable_s=contact.reachable_s,
                answered_s=contact.answered_s,
            )
            return
        self._parts.store_contact.record_peer(contact)

    def _apply_limits(self, message: wire.Gossip, now: float) -> None:
        for named in message.endpoint_limits:
            limit = decode_limit(named, now, source=message.sender.instance)
            if limit is not None:
                self._parts.limits.record_limit(limit, source=message.sender.instance)

    def _apply_cold_endpoints(self, message: wire.Gossip, now: float) -> None:
        source = message.sender.instance
        for told in message.cold_endpoints:
            cold = decode_cold(told, source=source)
            if cold is not None:
                self._parts.cold.record_told(*cold, now, peer=source)

    def _apply_leaving_endpoints(self, message: wire.Gossip) -> None:
        leaving = decode_incarnations(
            message.leaving_endpoints, source=message.sender.instance
        )
        for incarnation in leaving:
            self._parts.statements.record(
                incarnation, EndpointStatement(is_leaving=True)
            )


def _list_news(endpoints: Iterable[str], clearances: int) -> list[str]:
    """Return the keys under which what is known of a part counts as told."""
    return [*endpoints, *([_CLEARED_NEWS.format(clearances)] if clearances else ())]


def _strength(report: PartReport) -> tuple[int, float]:
    times = (crash.crashed_at for crash in report.crashes.values())
    return len(report.crashes), max(times, default=report.progressed_at or 0.0)


def _build_part_suspect(report: PartReport, now: float) -> wire.PartSuspect:
    suspect = wire.PartSuspect(part=report.part, clearances=report.clearances)
    if report.progressed_at is not None:
        suspect.progress_age_seconds = max(now - report.progressed_at, 0.0)
    for endpoint, crash in report.crashes.items():
        suspect.crashes.add(
            endpoint=endpoint,
            age_seconds=max(now - crash.crashed_at, 0.0),
            organisations=sorted(crash.organisations),
        )
    return suspect


def _build_member(update: MemberUpdate) -> wire.MemberState:
    return wire.MemberState(
        instance=update.instance,
        address=str(update.address),
        incarnation=update.incarnation,
        heartbeat=update.heartbeat,
        stopping=update.stopping,
        age_seconds=update.age_s,
        lost_services=update.lost_services,
        data_centre=update.data_centre,
    )


def _build_sender_report(message: wire.Gossip) -> wire.InstanceReport:
    """Return the part of the sender's gossip that is passed on to others."""
    report = wire.InstanceReport(
        member=message.sender,
        engine_states=message.engine_states,
        last_orders=message.last_orders,
        engine_failures=message.engine_failures,
        engine_speeds=message.engine_speeds,
    )
    for use in message.allowance_uses:
        # The level is left out: only an instance that has just started needs it, and
        # it gets the level in its own exchanges with older peers.
        report.allowance_uses.add(organisation=use.organisation, tokens=use.tokens)
    return report


def _parse_member(member: wire.MemberState) -> MemberUpdate | None:
    try:
        address = _parse_address(member.address)
    except ValueError:
        return None
    return MemberUpdate(
        instance=member.instance,
        address=address,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        stopping=member.stopping,
        age_s=member.age_seconds,
        lost_services=frozenset(member.lost_services),
        data_centre=member.data_centre,
    )


@functools.lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def _parse_address(text: str) -> Address:
    return parse_address(text)


def _build_engine_state(state: EngineStateUpdate) -> wire.EngineState:
    return wire.EngineState(
        endpoint=state.engine,
        started=state.started,
        models=sorted(state.models),
        adapters=[format_adapter(adapter) for adapter in state.adapters],
        running=state.running,
        waiting=state.waiting,
        cache_used=state.cache_used,
        age_seconds=state.age_s,
        free_adapter_slots=state.free_adapter_slots,
    )


def _parse_engine_state(state: wire.EngineState, age_s: float) -> EngineStateUpdate:
    return EngineStateUpdate(
        engine=state.endpoint,
        started=state.started,
        models=frozenset(state.models),
        adapters=frozenset(map(parse_adapter, state.adapters)),
        running=state.running,
        waiting=state.waiting,
        cache_used=state.cache_used,
        age_s=state.age_seconds + age_s,
        told_s=age_s,
        free_adapter_slots=(
            state.free_adapter_slots if state.HasField("free_adapter_slots") else None
        ),
    )


def _build_engine_speed(
    start: EngineStart, evidence: SpeedEvidence
) -> wire.EngineSpeed:
    return wire.EngineSpeed(
        endpoint=start[0],
        started=start[1],
        lasting_weight=round(evidence.lasting_s / _SPEED_UNIT),
        lasting_log=round(evidence.lasting_log / _SPEED_UNIT),
        recent_weight=round(evidence.recent_s / _SPEED_UNIT),
        recent_log=round(evidence.recent_log / _SPEED_UNIT),
        first_events_weight=round(evidence.first_events_s / _SPEED_UNIT),
        first_events_log=round(evidence.first_events_log / _SPEED_UNIT),
    )


def _parse_engine_speed(
    speed: wire.EngineSpeed,
) -> tuple[EngineStart, SpeedEvidence]:
    evidence = SpeedEvidence(
        lasting_s=speed.lasting_weight * _SPEED_UNIT,
        lasting_log=speed.lasting_log * _SPEED_UNIT,
        recent_s=speed.recent_weight * _SPEED_UNIT,
        recent_log=speed.recent_log * _SPEED_UNIT,
        first_events_s=speed.first_events_weight * _SPEED_UNIT,
        first_events_log=speed.first_events_log * _SPEED_UNIT,
    )
    return (speed.endpoint, speed.started), evidence


def read_revision(message: wire.Gossip) -> StoreRevision:
    """Return the sender's revision of the store; builds without eras send era 0."""
    return StoreRevision(message.store_era, message.store_revision)
