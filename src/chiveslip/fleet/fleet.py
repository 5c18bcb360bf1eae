"""Keeps the published lists current, and exchanges heartbeats with peers."""

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
from chiveslip.fleet.lists import ListWatchTimes
from chiveslip.fleet.lists import PublishedLists
from chiveslip.fleet.ownership import Ownership
from chiveslip.fleet.peers import Peers
from chiveslip.fleet.readers import configuration_readers
from chiveslip.generated import peer_pb2 as wire
from chiveslip.tasks import TaskSet


@attrs.frozen(kw_only=True)
class FleetTimes:
    """Intervals and timeouts of a `Fleet`, in seconds.

    Attributes
    ----------
    heartbeat_interval_s
        Interval between heartbeats to each peer.
    max_watch_s
        Longest wait of one watch of a list.
    retry_delay_s
        Delay after a failed read.
    """

    heartbeat_interval_s: float
    max_watch_s: float
    retry_delay_s: float


@attrs.frozen(kw_only=True)
class PeerStatus:
    """The last heartbeat reply of a peer.

    Attributes
    ----------
    last_seen_at
        When the reply arrived, local time in seconds.
    """

    incarnation: str
    view_revision: int
    configuration_revision: int
    serving: bool
    last_seen_at: float


class ConfigurationHooks:
    """Callbacks into the configuration, which is created after the `Fleet`.

    Parameters
    ----------
    revision
        Returns the newest configuration revision that this instance knows.
    record_revision
        Called with a newer revision and the peer that has it.
    """

    def __init__(
        self, revision: Callable[[], int], record_revision: Callable[[int, str], None]
    ) -> None:
        self.revision = revision
        self.record_revision = record_revision


@final
class Fleet:
    """Maintains the lists of instances and endpoints, and sends the heartbeats.

    Attributes
    ----------
    before_view_change
        Called with a newer list of instances before it replaces the view.
    after_view_change
        Called after the view was replaced.
    on_owners_changed
        Called when owners changed within a view, because a member became absent or
        returned.
    """

    def __init__(
        self,
        *,
        instance_id: str,
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
        self._instance_id = instance_id
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
            times=ListWatchTimes(
                max_instances_wait_s=min(times.max_watch_s, times.heartbeat_interval_s),
                max_endpoints_wait_s=times.max_watch_s,
                retry_delay_s=times.retry_delay_s,
                idle_delay_s=times.heartbeat_interval_s,
            ),
            is_reader=self.is_configuration_reader,
            on_instances=self._apply_view,
            on_read=self._record_service_read,
        )
        self._peer_statuses: dict[str, PeerStatus] = {}
        self._pulls_in_flight: set[str] = set()
        self._has_seen_serving_peer = False
        self._had_lease = False
        self.serving = False
        self.stopping = False
        self.configuration: ConfigurationHooks | None = None
        self.before_view_change: Callable[[InstanceList], None] | None = None
        self.on_owners_changed: Callable[[], None] | None = None
        self.after_view_change: Callable[[], None] | None = None

    @property
    def ownership(self) -> Ownership:
        """The ownership of keys, with the current view."""
        return self._ownership

    @property
    def endpoints(self) -> EndpointList:
        """The current list of endpoints."""
        return self._lists.endpoints

    @property
    def peer_statuses(self) -> dict[str, PeerStatus]:
        """The last heartbeat reply of each peer."""
        return dict(self._peer_statuses)

    @property
    def has_seen_serving_peer(self) -> bool:
        """Whether any heartbeat reply came from a peer that serves."""
        return self._has_seen_serving_peer

    def start(self) -> None:
        """Start the watches and the heartbeats."""
        self._tasks.start_lasting("list of instances", self._lists.watch_instances)
        self._tasks.start_lasting("list of endpoints", self._lists.watch_endpoints)
        self._tasks.start_lasting("heartbeats", self._run_heartbeats)

    async def close(self) -> None:
        """Stop the watches and the heartbeats."""
        await self._tasks.close()

    def is_configuration_reader(self) -> bool:
        """Return whether this instance reads from the configuration service.

        All other instances pull from peers.
        """
        view = self._ownership.view
        if self._instance_id not in view.instances:
            return True
        return self._instance_id in configuration_readers(view, self._data_centre)

    def answer_confirm(self, request: wire.ConfirmRequest) -> wire.ConfirmReply:
        """Answer a peer's heartbeat."""
        self._record_crash_suspects(request.crash_suspects)
        now = self._clock.now()
        # The suspected members are read before this request counts as a heartbeat:
        # the sender was not confirmed until now.
        suspected = self._ownership.suspected_members(now)
        self._ownership.record_heartbeat(request.instance, now)
        self._pull_newer_documents(
            request.instance,
            request.view_revision,
            request.endpoints_revision,
            request.configuration_revision,
        )
        return wire.ConfirmReply(
            instance=self._instance_id,
            incarnation=self._incarnation,
            view_revision=self._ownership.view.revision,
            endpoints_revision=self.endpoints.revision,
            configuration_revision=self._configuration_revision(),
            serving=self.serving,
            suspected=sorted(suspected),
            uptime_seconds=self._clock.now() - self._started_at,
            crash_suspects=self._known_crash_suspects(),
        )

    def answer_history(self) -> wire.HistoryReply:
        """Answer an instance that joins with the recent views."""
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

    async def fetch_history(self) -> bool:
        """Request earlier views from all heartbeat peers and add them to the history.

        Returns
        -------
        bool
            Whether at least one peer answered, or there are no peers.
        """
        request = wire.HistoryRequest(instance=self._instance_id)
        answered = not self._ownership.heartbeat_peers
        for peer in self._ownership.heartbeat_peers:
            try:
                reply = await self._peers.history(peer, request)
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
        """Return the content of a published list; empty if none was read yet."""
        return self._lists.content(name)

    def _known_crash_suspects(self) -> list[wire.CrashSuspect]:
        now = self._clock.now()
        return [
            wire.CrashSuspect(
                fingerprint=fingerprint,
                crashes=[
                    wire.Crash(endpoint=endpoint, age_seconds=now - crashed_at)
                    for endpoint, crashed_at in crashes.items()
                ],
            )
            for fingerprint, crashes in self._suspects.prune_crashes(now).items()
        ]

    def _record_crash_suspects(self, suspects: Iterable[wire.CrashSuspect]) -> None:
        now = self._clock.now()
        for suspect in suspects:
            for crash in suspect.crashes:
                crashed_at = now - crash.age_seconds
                self._suspects.record_peer_crash(
                    suspect.fingerprint, crash.endpoint, crashed_at, now
                )

    def _configuration_revision(self) -> int:
        return self.configuration.revision() if self.configuration else 0

    def _apply_view(self, view: InstanceList) -> None:
        if self.before_view_change is not None:
            self.before_view_change(view)
        self._add_to_history()
        self._ownership.update_view(view, self._clock.now())
        if self.after_view_change is not None:
            self.after_view_change()
        self._peer_statuses = {
            k: v for k, v in self._peer_statuses.items() if k in view.instances
        }
        self._audit.add(
            AuditKind.OWNERSHIP,
            revision=view.revision,
            subject="instances",
            cause="the list of instances changed",
        )

    def _record_service_read(self, revision: int, requested_at: float) -> None:
        self._ownership.record_service_read(revision, requested_at, self._clock.now())

    def _add_to_history(self) -> None:
        now = self._clock.now()
        members = self._ownership.members
        if members:
            view = PastView(
                revision=self._ownership.view.revision, members=members, ended_at=now
            )
            self._history.add(view, now)

    async def _run_heartbeats(self) -> None:
        while True:
            targets = set(self._ownership.heartbeat_peers)
            if not self.is_configuration_reader():
                targets.update(
                    configuration_readers(self._ownership.view, self._data_centre)
                )
            targets.discard(self._instance_id)
            for target in sorted(targets):
                self._tasks.start(self._send_heartbeat(target))
            await asyncio.sleep(self._times.heartbeat_interval_s)
            self._audit_lease()
            self._update_owners()

    async def _send_heartbeat(self, target: str) -> None:
        sent_at = self._clock.now()
        request = wire.ConfirmRequest(
            instance=self._instance_id,
            incarnation=self._incarnation,
            view_revision=self._ownership.view.revision,
            endpoints_revision=self.endpoints.revision,
            configuration_revision=self._configuration_revision(),
            stopping=self.stopping,
            crash_suspects=self._known_crash_suspects(),
        )
        try:
            reply = await self._peers.confirm(target, request)
        except PeerError:
            return
        if reply.instance != target:
            # Another instance now uses this address.
            return
        now = self._clock.now()
        self._record_crash_suspects(reply.crash_suspects)
        self._has_seen_serving_peer = self._has_seen_serving_peer or reply.serving
        self._peer_statuses[target] = PeerStatus(
            incarnation=reply.incarnation,
            view_revision=reply.view_revision,
            configuration_revision=reply.configuration_revision,
            serving=reply.serving,
            last_seen_at=now,
        )
        self._ownership.record_heartbeat(target, now)
        if request.view_revision == self._ownership.view.revision:
            self._record_confirmation(target, reply, sent_at, now)
        self._pull_newer_documents(
            target,
            reply.view_revision,
            reply.endpoints_revision,
            reply.configuration_revision,
        )

    def _record_confirmation(
        self, target: str, reply: wire.ConfirmReply, sent_at: float, now: float
    ) -> None:
        if reply.view_revision != self._ownership.view.revision:
            return
        suspected = frozenset(reply.suspected)
        self._ownership.record_suspicions(target, suspected, sent_at, now)
        if self._instance_id not in suspected:
            self._ownership.record_confirmation(
                target, reply.view_revision, sent_at, now
            )

    def _pull_newer_documents(
        self, peer: str, view: int, endpoints: int, configuration: int
    ) -> None:
        if view > self._ownership.view.revision:
            self._start_pull(peer, documents.INSTANCES)
        if endpoints > self.endpoints.revision:
            self._start_pull(peer, documents.ENDPOINTS)
        if self.configuration and configuration > self.configuration.revision():
            self.configuration.record_revision(configuration, peer)

    def _start_pull(self, peer: str, name: str) -> None:
        if name in self._pulls_in_flight:
            return
        self._pulls_in_flight.add(name)
        self._tasks.start(self._fetch_document(peer, name))

    async def _fetch_document(self, peer: str, name: str) -> None:
        try:
            request = wire.PullRequest(instance=self._instance_id, kind=name)
            reply = await self._peers.pull(peer, request)
            if reply.document:
                self._lists.apply(name, reply.document)
        except PeerError as error:
            self._log.warning("Pull from a peer failed.", name=name, cause=str(error))
        finally:
            self._pulls_in_flight.discard(name)

    def _update_owners(self) -> None:
        self._ownership.update_absent_members(self._clock.now())
        if not self._ownership.pop_owners_changed():
            return
        if self.on_owners_changed is not None:
            self.on_owners_changed()
        self._audit.add(
            AuditKind.OWNERSHIP,
            revision=self._ownership.view.revision,
            subject="homes",
            cause="the set of absent instances changed",
        )

    def _audit_lease(self) -> None:
        has_lease = self._ownership.check_lease(self._clock.now())
        if has_lease == self._had_lease:
            return
        self._had_lease = has_lease
        cause = "the view is confirmed" if has_lease else "the lease lapsed"
        self._audit.add(
            AuditKind.OWNERSHIP,
            revision=self._ownership.view.revision,
            subject="lease",
            cause=cause,
        )
