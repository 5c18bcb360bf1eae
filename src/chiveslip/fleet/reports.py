"""Cache of the newest report of each instance, from which reports are relayed.

Used in a large fleet, where instances exchange with only a few peers per round: a
request lists the versions that the sender has, and the reply contains only newer
reports. The module does no I/O and reads no clock.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection
from collections.abc import Iterable
from typing import final

import attrs
from google.protobuf.message import DecodeError

from chiveslip.generated import peer_pb2 as wire

# Maximum number of reports in one reply. The oldest come first; the next reply contains
# the rest.
_MAX_REPORTS = 64
# Reports repeat the names of organisations and adapters. The fastest level already
# reduces them to a quarter of their size.
_COMPRESSION_LEVEL = 1
# Size limit of an uncompressed reply in bytes; a report takes about one kilobyte.
_MAX_UNPACKED_BYTES = 4 << 20


class InvalidReportsError(Exception):
    """Packed reports are malformed or too large."""


@attrs.frozen
class _Entry:
    """The newest report of an instance.

    Attributes
    ----------
    version
        Incarnation and heartbeat of the report.
    heard
        The version as a request lists it.
    """

    report: wire.InstanceReport
    created_at: float
    precedence: tuple[int, bool, int]
    version: tuple[int, int]
    heard: wire.Heard


@final
class ReportCache:
    """The newest report of each instance."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, report: wire.InstanceReport, now: float) -> bool:
        """Store a report if it is newer than the stored one; return whether it was.

        Parameters
        ----------
        now
            When the report arrived, local time in seconds.
        """
        member = report.member
        name, incarnation, heartbeat = (
            member.instance,
            member.incarnation,
            member.heartbeat,
        )
        precedence = (incarnation, member.stopping, heartbeat)
        entry = self._entries.get(name)
        if entry is not None and precedence <= entry.precedence:
            return False
        self._entries[name] = _Entry(
            report,
            now - member.age_seconds,
            precedence,
            (incarnation, heartbeat),
            wire.Heard(instance=name, incarnation=incarnation, heartbeat=heartbeat),
        )
        return True

    def retain(self, instances: Collection[str]) -> None:
        """Drop the reports of all instances except these."""
        for name in [name for name in self._entries if name not in instances]:
            del self._entries[name]

    def known_versions(self) -> list[wire.Heard]:
        """Return the versions of the stored reports, for a request."""
        return [entry.heard for entry in self._entries.values()]

    def newer_than(
        self, heard: Iterable[wire.Heard], requester: str, now: float
    ) -> list[wire.InstanceReport]:
        """Return the reports that a requester lacks.

        They are those of the cache, with their present age; they are valid until the
        next call.

        Parameters
        ----------
        heard
            Versions that the requester has.
        requester
            Name of the requester, whose own report is left out.
        """
        known = {
            version.instance: (version.incarnation, version.heartbeat)
            for version in heard
        }
        missing = [
            entry
            for name, entry in self._entries.items()
            if entry.version > known.get(name, (0, 0)) and name != requester
        ]
        missing.sort(key=lambda entry: entry.created_at)
        del missing[_MAX_REPORTS:]
        for entry in missing:
            entry.report.member.age_seconds = now - entry.created_at
        return [entry.report for entry in missing]


def pack_reports(reports: list[wire.InstanceReport]) -> bytes:
    """Return reports as compressed bytes; no bytes for no reports."""
    if not reports:
        return b""
    packed = wire.InstanceReports(reports=reports).SerializeToString()
    return zlib.compress(packed, _COMPRESSION_LEVEL)


def unpack_reports(packed: bytes) -> list[wire.InstanceReport]:
    """Return the reports of a reply.

    Raises
    ------
    InvalidReportsError
        If they are malformed or too large.
    """
    if not packed:
        return []
    decompressor = zlib.decompressobj()
    try:
        unpacked = decompressor.decompress(packed, _MAX_UNPACKED_BYTES)
        if decompressor.unconsumed_tail or not decompressor.eof:
            raise InvalidReportsError(
                f"reports are larger than {_MAX_UNPACKED_BYTES} bytes, or truncated"
            )
        return list(wire.InstanceReports.FromString(unpacked).reports)
    except (zlib.error, DecodeError) as error:
        raise InvalidReportsError(str(error)) from error
