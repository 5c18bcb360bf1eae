"""Keeps the configuration current: reads revisions and serves them to peers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

import attrs

from chiveslip import hashing
from chiveslip import logs
from chiveslip.audit import AuditKind
from chiveslip.audit import AuditTrail
from chiveslip.configuration import documents
from chiveslip.configuration.document_reader import InvalidDocumentError
from chiveslip.configuration.documents import Manifest
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.source import ConfigurationSource
from chiveslip.configuration.source import SourceError
from chiveslip.configuration.store import ConfigurationStore
from chiveslip.configuration.store import Decision
from chiveslip.configuration.store import OfferResult
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.peers import Peers
from chiveslip.generated import peer_pb2 as wire
from chiveslip.tasks import TaskSet


@attrs.frozen(kw_only=True)
class UpdaterTimings:
    """Intervals of the configuration updater, in seconds.

    Attributes
    ----------
    max_watch_s
        Maximum time that one watch waits for a change.
    retry_delay_s
        Delay after a failed read, and between checks of whether to read.
    """

    max_watch_s: float
    retry_delay_s: float


FetchParts = Callable[[Manifest, tuple[str, ...]], Awaitable[dict[str, bytes]]]


@final
class ConfigurationUpdater:
    """Owns the store of revisions and watches the manifest.

    Parameters
    ----------
    instance_id
        Id of this instance.
    reads_source
        Returns whether this instance reads from the source now; otherwise it
        receives revisions from peers only.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        source: ConfigurationSource,
        peers: Peers,
        audit: AuditTrail,
        timings: UpdaterTimings,
        reads_source: Callable[[], bool],
    ) -> None:
        self._instance_id = instance_id
        self._source = source
        self._peers = peers
        self._audit = audit
        self._timings = timings
        self._reads_source = reads_source
        self._store = ConfigurationStore()
        self._log = logs.get_logger("configuration")
        self._tasks = TaskSet("configuration")
        self._update_lock = asyncio.Lock()
        self._is_pulling = False
        self._audited_refusals: set[str] = set()

    @property
    def current(self) -> Configuration | None:
        """The active configuration, or None before the first."""
        return self._store.current

    @property
    def store(self) -> ConfigurationStore:
        """The store of revisions."""
        return self._store

    def start(self) -> None:
        """Start watching the manifest."""
        self._tasks.start_lasting("configuration", self._watch)

    async def close(self) -> None:
        """Stop watching."""
        await self._tasks.close()

    def pull_if_newer(self, revision: int, peer: str) -> None:
        """Pull from `peer` if `revision`, which it has, is higher than the newest here.

        Does nothing while another pull runs.
        """
        if self._is_pulling or revision <= self._store.newest_revision:
            return
        self._is_pulling = True
        self._tasks.start(self._pull(peer))

    def answer_pull(self, request: wire.PullRequest) -> wire.PullReply:
        """Return the newest manifest, and the parts that the peer lacks."""
        manifest = self._store.newest
        if manifest is None or manifest.revision <= request.above_revision:
            return wire.PullReply()
        known = set(request.known_parts)
        parts = {k: v for k, v in self._store.parts.items() if k not in known}
        return wire.PullReply(document=manifest.content, parts=parts)

    async def _watch(self) -> None:
        index = 0
        while True:
            if not self._reads_source():
                await asyncio.sleep(self._timings.retry_delay_s)
                continue
            try:
                document = await self._source.watch(
                    documents.MANIFEST, index, self._timings.max_watch_s
                )
                await self._process_manifest(
                    document.content, self._fetch_parts_from_source
                )
                index = document.index
            except SourceError as error:
                self._log.warning("The configuration cannot be read.", cause=str(error))
                await asyncio.sleep(self._timings.retry_delay_s)

    async def _pull(self, peer: str) -> None:
        request = wire.PullRequest(
            instance=self._instance_id,
            kind=documents.MANIFEST,
            above_revision=self._store.newest_revision,
            known_parts=sorted(self._store.parts),
        )
        try:
            reply = await self._peers.pull(peer, request)
            if reply.document:
                parts = dict(reply.parts)
                await self._process_manifest(reply.document, _fetch_from_reply(parts))
        except (PeerError, SourceError) as error:
            self._log.warning(
                "Pulling the configuration failed.", peer=peer, cause=str(error)
            )
        finally:
            self._is_pulling = False

    async def _process_manifest(self, content: bytes, fetch: FetchParts) -> None:
        try:
            manifest = documents.read_manifest(content)
        except InvalidDocumentError as error:
            self._audit_refusal_once(_revision_or_zero(content), (str(error),))
            return
        # The watch and a pull may receive the same revision at the same time.
        async with self._update_lock:
            before = self._store.current
            decision = self._store.decide_without_parts(manifest)
            if decision is None:
                missing = self._store.missing_parts(manifest)
                parts = await fetch(manifest, missing)
                _verify_parts(missing, parts)
                decision = self._store.offer(manifest, parts)
        self._audit_decision(decision)
        if decision.result is OfferResult.ACCEPTED:
            self._audit_key_changes(before, self._store.current)

    async def _fetch_parts_from_source(
        self, _manifest: Manifest, missing: tuple[str, ...]
    ) -> dict[str, bytes]:
        contents = await asyncio.gather(*(self._source.read_part(d) for d in missing))
        return dict(zip(missing, contents, strict=True))

    def _audit_decision(self, decision: Decision) -> None:
        if decision.result is OfferResult.ACCEPTED:
            self._audit.add(
                AuditKind.CONFIGURATION_ACCEPTED,
                revision=decision.revision,
                subject="configuration",
                cause="a higher revision was published",
            )
        elif decision.result in (OfferResult.REFUSED, OfferResult.CONFLICT):
            self._audit_refusal_once(decision.revision, decision.reasons)

    def _audit_key_changes(
        self, before: Configuration | None, after: Configuration | None
    ) -> None:
        if before is None or after is None:
            return
        old = _valid_keys(before)
        new = _valid_keys(after)
        for kind, names in (
            (AuditKind.KEY_ISSUED, new - old),
            (AuditKind.KEY_WITHDRAWN, old - new),
        ):
            for name in sorted(names):
                self._audit.add(
                    kind,
                    revision=after.revision,
                    subject=name,
                    cause="the configuration changed",
                )

    def _audit_refusal_once(self, revision: int, reasons: tuple[str, ...]) -> None:
        cause = "; ".join(reasons)
        name = f"{revision} {cause}"
        if name in self._audited_refusals:
            return
        self._audited_refusals.add(name)
        self._audit.add(
            AuditKind.CONFIGURATION_REFUSED,
            revision=revision,
            subject="configuration",
            cause=cause,
        )


def _fetch_from_reply(parts: dict[str, bytes]) -> FetchParts:
    async def fetch(_manifest: Manifest, missing: tuple[str, ...]) -> dict[str, bytes]:
        return {digest: parts[digest] for digest in missing if digest in parts}

    return fetch


def _valid_keys(configuration: Configuration) -> set[str]:
    """Return valid keys as organisation/id; the audit trail must not hold hashes."""
    return {
        f"{organisation.name}/{key.id}"
        for organisation, key in configuration.keys.values()
        if not key.withdrawn
    }


def _verify_parts(missing: tuple[str, ...], parts: dict[str, bytes]) -> None:
    """Check the parts that were fetched.

    A failed transfer must not be taken for an invalid revision, which would be
    refused for good.

    Raises
    ------
    SourceError
        If a part is missing or altered; the revision is fetched again.
    """
    for digest in missing:
        if hashing.content_hash(parts.get(digest, b"")) != digest:
            raise SourceError(
                f"part {digest} is missing or altered; it is fetched again"
            )


def _revision_or_zero(content: bytes) -> int:
    try:
        return int(json.loads(content)["revision"])
    except (ValueError, KeyError, TypeError):
        return 0
