"""The fleet part: published lists, heartbeats, and what follows from them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from typing import final

import attrs

from chiveslip import logs
from chiveslip.audit import AuditKind
from chiveslip.audit import AuditTrail
from chiveslip.clock import Clock
from chiveslip.configuration import documents
from chiveslip.configuration.model import EndpointList
from chiveslip.configuration.model import InstanceList
from chiveslip.configuration.source import ConfigurationSource
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.history import PastView
from chiveslip.fleet.history import ViewHistory
from chiveslip.fleet.lists import ListWaits
from chiveslip.fleet.lists import PublishedLists
from chiveslip.fleet.ownership import Ownership
from chiveslip.fleet.peers import Peers
from chiveslip.fleet.relays import relays
from chiveslip.generated import peer_pb2 as wire
from chiveslip.tasks import TaskSet


@attrs.frozen(kw_only=True)
class FleetTimes:
    """Intervals of the fleet part, in seconds."""

    confirm_s: float
    watch_s: float
    retry_s: float


@attrs.frozen(kw_only=True)
class PeerStatus:
    """What a peer said last, and when (local time in seconds)."""

    incarnation: str
    view_revision: int
    configuration_revision: int
    serving: bool
    heard_at: float


class ConfigurationKnowledge:
    """What the fleet part asks of the configuration part."""

    def __init__(
        self, revision: Callable[[], int], heard: Callable[[int, str], None]
    ) -> None:
        self.revision = revision
        self.heard = heard


@final
class Fleet:
    """Owns the view of instances and endpoints and the heartbeats.

    Parameters
    ----------
    on_view
        Called before a newer list of instances is believed in, with the list.
    on_adopted
        Called when it is believed in.
    on_homes_moved
        Called when homes moved within a view, because an instance is absent.
    """

    def __init__(
        self,
        *,
        me: str,
        data_centre: str,
        incarnation: str,
        ownership: Ownership,
        peers: Peers,
        source: ConfigurationSource,
        clock: Clock,
        times: FleetTimes,
        audit: AuditTrail,
        suspects: CrashSuspects,
        history: ViewHistory,
    ) -> None:
        self._me = me
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._ownership = ownership
        self._peers = peers
        self._clock = clock
        self._times = times
        self._audit = audit
        self._suspects = suspects
        self._history = history
        self._log = logs.get_logger("fleet")
        self._tasks = TaskSet("fleet")
        self._started_at = clock.now()
        self._lists = PublishedLists(
            source=source,
            clock=clock,
            waits=ListWaits(
                instances_s=min(times.watch_s, times.confirm_s),
                endpoints_s=times.watch_s,
                retry_s=times.retry_s,
                idle_s=times.confirm_s,
            ),
            reads_itself=self.reads_itself,
            take_instances=self._adopt,
            confirmed=self._read_from_service,
        )
        self._heard: dict[str, PeerStatus] = {}
        self._pulling: set[str] = set()
        self._seen_serving = False
        self._was_held = False
        self.serving = False
        self.stopping = False
        self.configuration: ConfigurationKnowledge | None = None
        self.on_view: Callable[[InstanceList], None] | None = None
        self.on_homes_moved: Callable[[], None] | None = None
        self.on_adopted: Callable[[], None] | None = None

    @property
    def ownership(self) -> Ownership:
        """The ownership believed in."""
        return self._ownership

    @property
    def endpoints(self) -> EndpointList:
        """The list of endpoints believed in."""
        return self._lists.endpoints

    @property
    def heard(self) -> dict[str, PeerStatus]:
        """What each peer said last."""
        return dict(self._heard)

    @property
    def found_serving_peer(self) -> bool:
        """Whether any peer served when this instance joined."""
        return self._seen_serving

    def start(self) -> None:
        """Start the watches and the heartbeats."""
        self._tasks.start(self._lists.watch_instances())
        self._tasks.start(self._lists.watch_endpoints())
        self._tasks.start(self._beat())

    async def close(self) -> None:
        """Stop all of it."""
        await self._tasks.close()

    def reads_itself(self) -> bool:
        """Return whether this instance reads from the service, or from peers."""
        view = self._ownership.view
        if self._me not in view.instances:
            return True
        return self._me in relays(view, self._data_centre)

    def answer_confirm(self, request: wire.ConfirmRequest) -> wire.ConfirmReply:
        """Answer a peer's heartbeat."""
        self._hear_suspects(request.crash_suspects)
        now = self._clock.now()
        # Whom this instance suspects is read before the question counts as a sign
        # of life: the one that asks was not confirmed until then.
        suspected = self._ownership.suspected(now)
        self._ownership.heard(request.instance, now)
        self._note_revisions(
            request.instance,
            request.view_revision,
            request.endpoints_revision,
            request.configuration_revision,
        )
        return wire.ConfirmReply(
            instance=self._me,
            incarnation=self._incarnation,
            view_revision=self._ownership.view.revision,
            endpoints_revision=self.endpoints.revision,
            configuration_revision=self._configuration_revision(),
            serving=self.serving,
            suspected=sorted(suspected),
            uptime_seconds=self._clock.now() - self._started_at,
            crash_suspects=self._known_suspects(),
        )

    def answer_history(self) -> wire.HistoryReply:
        """Answer an instance that joins with the views of the last while."""
        now = self._clock.now()
        return wire.HistoryReply(
            views=[
                wire.PastView(
                    revision=view.revision,
                    members=view.members,
                    ended_seconds_ago=now - view.ended_at,
                )
                for view in self._history.views(now)
            ]
        )

    async def learn_history(self) -> bool:
        """Ask the witnesses for earlier views; return whether one answered."""
        request = wire.HistoryRequest(instance=self._me)
        answered = not self._ownership.witnesses
        for witness in self._ownership.witnesses:
            try:
                reply = await self._peers.history(witness, request)
            except PeerError:
                continue
            answered = True
            now = self._clock.now()
            for view in reply.views:
                ended_at = now - view.ended_seconds_ago
                self._history.add(
                    PastView(
                        revision=view.revision,
                        members=tuple(view.members),
                        ended_at=ended_at,
                    ),
                    now,
                )
        return answered

    def document(self, name: str) -> bytes:
        """Return a published list as it was read; empty if there is none yet."""
        return self._lists.content(name)

    def _known_suspects(self) -> list[wire.CrashSuspect]:
        now = self._clock.now()
        return [
            wire.CrashSuspect(
                fingerprint=fingerprint,
                crashes=[
                    wire.Crash(endpoint=endpoint, age_seconds=now - at)
                    for endpoint, at in crashes.items()
                ],
            )
            for fingerprint, crashes in self._suspects.prune_crashes(now).items()
        ]

    def _hear_suspects(self, suspects: Iterable[wire.CrashSuspect]) -> None:
        now = self._clock.now()
        for suspect in suspects:
            for crash in suspect.crashes:
                at = now - crash.age_seconds
                self._suspects.record_peer_crash(
                    suspect.fingerprint, crash.endpoint, at, now
                )

    def _configuration_revision(self) -> int:
        return self.configuration.revision() if self.configuration else 0

    def _adopt(self, view: InstanceList) -> None:
        if self.on_view is not None:
            self.on_view(view)
        self._remember_view()
        self._ownership.adopt(view, self._clock.now())
        if self.on_adopted is not None:
            self.on_adopted()
        self._heard = {k: v for k, v in self._heard.items() if k in view.instances}
        self._audit.add(
            AuditKind.OWNERSHIP,
            revision=view.revision,
            subject="instances",
            cause="the list of instances changed",
        )

    def _read_from_service(self, revision: int, asked_at: float) -> None:
        self._ownership.read_from_service(revision, asked_at, self._clock.now())

    def _remember_view(self) -> None:
        now = self._clock.now()
        members = self._ownership.members
        if members:
            view = PastView(
                revision=self._ownership.view.revision, members=members, ended_at=now
            )
            self._history.add(view, now)

    async def _beat(self) -> None:
        while True:
            targets = set(self._ownership.witnesses)
            if not self.reads_itself():
                targets.update(relays(self._ownership.view, self._data_centre))
            targets.discard(self._me)
            for target in sorted(targets):
                self._tasks.start(self._beat_one(target))
            await asyncio.sleep(self._times.confirm_s)
            self._note_lease()
            self._note_absence()

    async def _beat_one(self, target: str) -> None:
        sent_at = self._clock.now()
        request = wire.ConfirmRequest(
            instance=self._me,
            incarnation=self._incarnation,
            view_revision=self._ownership.view.revision,
            endpoints_revision=self.endpoints.revision,
            configuration_revision=self._configuration_revision(),
            stopping=self.stopping,
            crash_suspects=self._known_suspects(),
        )
        try:
            reply = await self._peers.confirm(target, request)
        except PeerError:
            return
        if reply.instance != target:
            # Another process has taken over the address.
            return
        now = self._clock.now()
        self._hear_suspects(reply.crash_suspects)
        self._seen_serving = self._seen_serving or reply.serving
        self._heard[target] = PeerStatus(
            incarnation=reply.incarnation,
            view_revision=reply.view_revision,
            configuration_revision=reply.configuration_revision,
            serving=reply.serving,
            heard_at=now,
        )
        self._ownership.heard(target, now)
        if request.view_revision == self._ownership.view.revision:
            self._take_confirmation(target, reply, sent_at, now)
        self._note_revisions(
            target,
            reply.view_revision,
            reply.endpoints_revision,
            reply.configuration_revision,
        )

    def _take_confirmation(
        self, target: str, reply: wire.ConfirmReply, sent_at: float, now: float
    ) -> None:
        if reply.view_revision != self._ownership.view.revision:
            return
        suspected = frozenset(reply.suspected)
        self._ownership.reported(target, suspected, sent_at, now)
        if self._me not in suspected:
            self._ownership.confirmed(target, reply.view_revision, sent_at, now)

    def _note_revisions(
        self, peer: str, view: int, endpoints: int, configuration: int
    ) -> None:
        if view > self._ownership.view.revision:
            self._pull(peer, documents.INSTANCES)
        if endpoints > self.endpoints.revision:
            self._pull(peer, documents.ENDPOINTS)
        if self.configuration and configuration > self.configuration.revision():
            self.configuration.heard(configuration, peer)

    def _pull(self, peer: str, name: str) -> None:
        if name in self._pulling:
            return
        self._pulling.add(name)
        self._tasks.start(self._pull_one(peer, name))

    async def _pull_one(self, peer: str, name: str) -> None:
        try:
            request = wire.PullRequest(instance=self._me, kind=name)
            reply = await self._peers.pull(peer, request)
            if reply.document:
                self._lists.take(name, reply.document)
        except PeerError as error:
            self._log.warning("A pull failed.", name=name, cause=str(error))
        finally:
            self._pulling.discard(name)

    def _note_absence(self) -> None:
        self._ownership.refresh(self._clock.now())
        if not self._ownership.take_homes_moved():
            return
        if self.on_homes_moved is not None:
            self.on_homes_moved()
        self._audit.add(
            AuditKind.OWNERSHIP,
            revision=self._ownership.view.revision,
            subject="homes",
            cause="the instances that count as absent changed",
        )

    def _note_lease(self) -> None:
        held = self._ownership.has_lease(self._clock.now())
        if held == self._was_held:
            return
        self._was_held = held
        cause = "the view is confirmed" if held else "the lease lapsed"
        self._audit.add(
            AuditKind.OWNERSHIP,
            revision=self._ownership.view.revision,
            subject="lease",
            cause=cause,
        )
