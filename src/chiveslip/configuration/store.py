"""Store of configuration revisions; the active revision never goes back."""

from __future__ import annotations

import enum

import attrs

from chiveslip.configuration import documents
from chiveslip.configuration.document_reader import InvalidDocumentError
from chiveslip.configuration.documents import Manifest
from chiveslip.configuration.model import Configuration


class OfferResult(enum.Enum):
    """Result of offering a manifest to the store.

    `OLD`: a higher revision has been decided on. `KNOWN`: this revision has been
    decided on. `CONFLICT`: it has, but with different content.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    KNOWN = "known"
    OLD = "old"
    CONFLICT = "conflict"


@attrs.frozen(kw_only=True)
class Decision:
    """Result of an offer, and the reasons if the manifest was refused."""

    result: OfferResult
    revision: int
    reasons: tuple[str, ...] = ()


class ConfigurationStore:
    """Holds the active revision and the highest revision decided on.

    A refused revision counts as decided on: the previous one stays active, and only
    a higher revision than the refused one can replace it.
    """

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._manifest: Manifest | None = None
        self._newest: Manifest | None = None
        self._parts: dict[str, bytes] = {}
        self._refusal: Decision | None = None
        self._part_cache = documents.PartCache()

    @property
    def current(self) -> Configuration | None:
        """The active configuration, or None before the first."""
        return self._current

    @property
    def revision(self) -> int:
        """The active revision; 0 before the first."""
        return self._current.revision if self._current else 0

    @property
    def newest(self) -> Manifest | None:
        """The manifest of the highest revision decided on, or None before the first."""
        return self._newest

    @property
    def newest_revision(self) -> int:
        """The highest revision decided on, accepted or refused; 0 before the first."""
        return self._newest.revision if self._newest else 0

    @property
    def refusal(self) -> Decision | None:
        """The decision that refused the newest revision, or None if none did."""
        return self._refusal

    @property
    def parts(self) -> dict[str, bytes]:
        """The parts of the newest revision by content hash."""
        return self._parts

    def missing_parts(self, manifest: Manifest) -> tuple[str, ...]:
        """Return the hashes of the parts of `manifest` that are not stored, sorted."""
        wanted = set(manifest.parts.values())
        return tuple(sorted(wanted - set(self._parts)))

    def decide_without_parts(self, manifest: Manifest) -> Decision | None:
        """Return the decision on `manifest` if it needs no parts, otherwise None."""
        if self._newest is None or manifest.revision > self.newest_revision:
            return None
        if manifest.revision < self.newest_revision:
            return Decision(result=OfferResult.OLD, revision=manifest.revision)
        if manifest.parts == self._newest.parts:
            return Decision(result=OfferResult.KNOWN, revision=manifest.revision)
        reason = "the same revision was published with different content"
        return Decision(
            result=OfferResult.CONFLICT, revision=manifest.revision, reasons=(reason,)
        )

    def offer(self, manifest: Manifest, fetched: dict[str, bytes]) -> Decision:
        """Accept or refuse `manifest` as a whole.

        Parameters
        ----------
        fetched
            Content of the parts that were not stored, by content hash.
        """
        decision = self.decide_without_parts(manifest)
        if decision is not None:
            return decision
        parts = self._parts | fetched
        wanted = set(manifest.parts.values())
        self._newest = manifest
        self._parts = {digest: parts[digest] for digest in wanted if digest in parts}
        try:
            self._current = documents.read_configuration(
                manifest, parts, self._part_cache
            )
        except InvalidDocumentError as error:
            reasons = tuple(str(detail) for detail in error.errors)
            self._refusal = Decision(
                result=OfferResult.REFUSED, revision=manifest.revision, reasons=reasons
            )
            return self._refusal
        self._manifest = manifest
        self._refusal = None
        return Decision(result=OfferResult.ACCEPTED, revision=manifest.revision)
