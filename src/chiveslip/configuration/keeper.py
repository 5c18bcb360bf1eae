"""The configuration part: reads revisions, adopts them, passes them on."""

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
from chiveslip.configuration.documents import Manifest
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.reading import FaultyDocumentError
from chiveslip.configuration.source import ConfigurationSource
from chiveslip.configuration.source import SourceError
from chiveslip.configuration.store import ConfigurationStore
from chiveslip.configuration.store import Decision
from chiveslip.configuration.store import Offer
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.peers import Peers
from chiveslip.generated import peer_pb2 as wire
from chiveslip.tasks import TaskSet


@attrs.frozen(kw_only=True)
class KeeperTimes:
    """Waits of the configuration part, in seconds."""

    watch_s: float
    retry_s: float


FetchParts = Callable[[Manifest, tuple[str, ...]], Awaitable[dict[str, bytes]]]


@final
class ConfigurationKeeper:
    """Owns the store of revisions and the watch on the manifest.

    Parameters
    ----------
    reads_itself
        Whether this instance reads from the source now, or only from peers.
    """

    def __init__(
        self,
        *,
        me: str,
        source: ConfigurationSource,
        peers: Peers,
        audit: AuditTrail,
        times: KeeperTimes,
        reads_itself: Callable[[], bool],
    ) -> None:
        self._me = me
        self._source = source
        self._peers = peers
        self._audit = audit
        self._times = times
        self._reads_itself = reads_itself
        self._store = ConfigurationStore()
        self._log = logs.get_logger("configuration")
        self._tasks = TaskSet("configuration")
        self._adopting = asyncio.Lock()
        self._pulling = False
        self._reported: set[str] = set()

    @property
    def current(self) -> Configuration | None:
        """The configuration in force."""
        return self._store.current

    @property
    def store(self) -> ConfigurationStore:
        """The revisions known."""
        return self._store

    def start(self) -> None:
        """Start to watch the manifest."""
        self._tasks.start(self._watch())

    async def close(self) -> None:
        """Stop watching."""
        await self._tasks.close()

    def heard(self, revision: int, peer: str) -> None:
        """Note that `peer` knows a higher revision, and ask it for that."""
        if self._pulling or revision <= self._store.newest_revision:
            return
        self._pulling = True
        self._tasks.start(self._pull(peer))

    def answer_pull(self, request: wire.PullRequest) -> wire.PullReply:
        """Answer a peer that lacks the newest revision."""
        manifest = self._store.newest
        if manifest is None or manifest.revision <= request.above_revision:
            return wire.PullReply()
        known = set(request.known_parts)
        parts = {k: v for k, v in self._store.parts.items() if k not in known}
        return wire.PullReply(document=manifest.content, parts=parts)

    async def _watch(self) -> None:
        index = 0
        while True:
            if not self._reads_itself():
                await asyncio.sleep(self._times.retry_s)
                continue
            try:
                document = await self._source.watch(
                    documents.MANIFEST, index, self._times.watch_s
                )
                await self._consider(document.content, self._from_source)
                index = document.index
            except SourceError as error:
                self._log.warning("The configuration cannot be read.", cause=str(error))
                await asyncio.sleep(self._times.retry_s)

    async def _pull(self, peer: str) -> None:
        request = wire.PullRequest(
            instance=self._me,
            kind=documents.MANIFEST,
            above_revision=self._store.newest_revision,
            known_parts=sorted(self._store.parts),
        )
        try:
            reply = await self._peers.pull(peer, request)
            if reply.document:
                parts = dict(reply.parts)
                await self._consider(reply.document, _fixed(parts))
        except (PeerError, SourceError) as error:
            self._log.warning("A pull failed.", peer=peer, cause=str(error))
        finally:
            self._pulling = False

    async def _consider(self, content: bytes, fetch: FetchParts) -> None:
        try:
            manifest = documents.read_manifest(content)
        except FaultyDocumentError as error:
            self._refused_once(_unreadable(content), (str(error),))
            return
        # Watch and pull may bring the same revision at once.
        async with self._adopting:
            before = self._store.current
            decision = self._store.examine(manifest)
            if decision is None:
                missing = self._store.missing(manifest)
                parts = await fetch(manifest, missing)
                _check_parts(missing, parts)
                decision = self._store.offer(manifest, parts)
        self._record(decision)
        if decision.offer is Offer.ACCEPTED:
            self._record_keys(before, self._store.current)

    async def _from_source(
        self, _manifest: Manifest, missing: tuple[str, ...]
    ) -> dict[str, bytes]:
        contents = await asyncio.gather(*(self._source.part(d) for d in missing))
        return dict(zip(missing, contents, strict=True))

    def _record(self, decision: Decision) -> None:
        if decision.offer is Offer.ACCEPTED:
            self._audit.add(
                AuditKind.CONFIGURATION_ACCEPTED,
                revision=decision.revision,
                subject="configuration",
                cause="a higher revision was published",
            )
        elif decision.offer in (Offer.REFUSED, Offer.CONFLICT):
            self._refused_once(decision.revision, decision.reasons)

    def _record_keys(
        self, before: Configuration | None, after: Configuration | None
    ) -> None:
        if before is None or after is None:
            return
        old = _working_keys(before)
        new = _working_keys(after)
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

    def _refused_once(self, revision: int, reasons: tuple[str, ...]) -> None:
        cause = "; ".join(reasons)
        name = f"{revision} {cause}"
        if name in self._reported:
            return
        self._reported.add(name)
        self._audit.add(
            AuditKind.CONFIGURATION_REFUSED,
            revision=revision,
            subject="configuration",
            cause=cause,
        )


def _fixed(parts: dict[str, bytes]) -> FetchParts:
    async def fetch(_manifest: Manifest, missing: tuple[str, ...]) -> dict[str, bytes]:
        return {digest: parts[digest] for digest in missing if digest in parts}

    return fetch


def _working_keys(configuration: Configuration) -> set[str]:
    """Return the keys that work, as organisation/id; hashes stay out of the trail."""
    return {
        f"{organisation.name}/{key.id}"
        for organisation, key in configuration.keys.values()
        if not key.withdrawn
    }


def _check_parts(missing: tuple[str, ...], parts: dict[str, bytes]) -> None:
    """Tell a part that did not arrive from a revision that is faulty.

    Raises
    ------
    SourceError
        If a part is missing or altered; the revision is tried again.
    """
    for digest in missing:
        if hashing.content_hash(parts.get(digest, b"")) != digest:
            raise SourceError(f"the part {digest} did not arrive whole")


def _unreadable(content: bytes) -> int:
    try:
        return int(json.loads(content)["revision"])
    except (ValueError, KeyError, TypeError):
        return 0
