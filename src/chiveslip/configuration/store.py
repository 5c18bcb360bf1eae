"""The revisions that an instance knows: the highest one wins and never reverts."""

from __future__ import annotations

import enum

import attrs

from chiveslip.configuration import documents
from chiveslip.configuration.documents import Manifest
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.reading import FaultyDocumentError


class Offer(enum.Enum):
    """What became of an offered revision."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    KNOWN = "known"
    OLD = "old"
    CONFLICT = "conflict"


@attrs.frozen(kw_only=True)
class Decision:
    """What became of an offer, and why."""

    offer: Offer
    revision: int
    reasons: tuple[str, ...] = ()


class ConfigurationStore:
    """Holds the revision in force and remembers the highest one heard of.

    A refused revision counts as heard of: the one before stays in force, and
    only a still higher one replaces it.
    """

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._manifest: Manifest | None = None
        self._newest: Manifest | None = None
        self._parts: dict[str, bytes] = {}
        self._refusal: Decision | None = None
        self._memo = documents.PartMemo()

    @property
    def current(self) -> Configuration | None:
        """The revision in force, or None before the first."""
        return self._current

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return self._current.revision if self._current else 0

    @property
    def newest(self) -> Manifest | None:
        """The manifest of the highest revision decided on."""
        return self._newest

    @property
    def newest_revision(self) -> int:
        """The highest revision decided on, in force or refused."""
        return self._newest.revision if self._newest else 0

    @property
    def refusal(self) -> Decision | None:
        """Why the newest revision was refused, or None."""
        return self._refusal

    @property
    def parts(self) -> dict[str, bytes]:
        """The parts of the newest revision by content hash."""
        return self._parts

    def missing(self, manifest: Manifest) -> tuple[str, ...]:
        """Return the hashes of the parts that are still to be fetched."""
        wanted = set(manifest.parts.values())
        return tuple(sorted(wanted - set(self._parts)))

    def examine(self, manifest: Manifest) -> Decision | None:
        """Return the decision on `manifest` if it needs no parts, else None."""
        if self._newest is None or manifest.revision > self.newest_revision:
            return None
        if manifest.revision < self.newest_revision:
            return Decision(offer=Offer.OLD, revision=manifest.revision)
        if manifest.parts == self._newest.parts:
            return Decision(offer=Offer.KNOWN, revision=manifest.revision)
        reason = "the same revision was published with other content"
        return Decision(
            offer=Offer.CONFLICT, revision=manifest.revision, reasons=(reason,)
        )

    def offer(self, manifest: Manifest, fetched: dict[str, bytes]) -> Decision:
        """Accept or refuse `manifest` whole, with the parts that were fetched."""
        early = self.examine(manifest)
        if early is not None:
            return early
        parts = self._parts | fetched
        wanted = set(manifest.parts.values())
        self._newest = manifest
        self._parts = {digest: parts[digest] for digest in wanted if digest in parts}
        try:
            self._current = documents.read_configuration(manifest, parts, self._memo)
        except FaultyDocumentError as error:
            reasons = tuple(str(fault) for fault in error.faults)
            self._refusal = Decision(
                offer=Offer.REFUSED, revision=manifest.revision, reasons=reasons
            )
            return self._refusal
        self._manifest = manifest
        self._refusal = None
        return Decision(offer=Offer.ACCEPTED, revision=manifest.revision)
