"""The newest report of each instance, entry to be passed on.

Answers the load of a fleet in which not everybody speaks with everybody: who asks
says what it has, and gets just the reports that are newer. Nothing here reads a clock
or a socket.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection
from collections.abc import Iterable
from typing import final

import attrs
from google.protobuf.message import DecodeError

from chiveslip.generated import peer_pb2 as wire

# Reports in one answer, the ones least behind last; the next answer brings the rest.
_MAX_REPORTS = 64
# Reports repeat the names of organisations and adapters, which the fastest level
# already finds: a quarter of the bytes is left.
_COMPRESSION_LEVEL = 1
# Largest answer in bytes once unpacked; a report takes about one kilobyte.
_MAX_UNPACKED_BYTES = 4 << 20


class InvalidReportsError(Exception):
    """Reports of a peer that cannot be unpacked."""


@attrs.frozen
class _Entry:
    report: wire.InstanceReport
    made_at: float


@final
class ReportCache:
    """Reports by instance."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, report: wire.InstanceReport, now: float) -> bool:
        """Keep a report, and return whether it is newer than the one before."""
        member = report.member
        entry = self._entries.get(member.instance)
        if entry is not None and _precedence(member) <= _precedence(
            entry.report.member
        ):
            return False
        self._entries[member.instance] = _Entry(report, now - member.age_seconds)
        return True

    def retain(self, instances: Collection[str]) -> None:
        """Drop the reports of all instances but these."""
        for name in [name for name in self._entries if name not in instances]:
            del self._entries[name]

    def known_versions(self) -> list[wire.Heard]:
        """Return what is known, for a question."""
        return [
            wire.Heard(
                instance=name,
                incarnation=entry.report.member.incarnation,
                heartbeat=entry.report.member.heartbeat,
            )
            for name, entry in self._entries.items()
        ]

    def newer_than(
        self, heard: Iterable[wire.Heard], asker: str, now: float
    ) -> list[wire.InstanceReport]:
        """Return what an asker lacks that has heard just this."""
        has = {entry.instance: (entry.incarnation, entry.heartbeat) for entry in heard}
        lacking = [
            entry
            for name, entry in self._entries.items()
            if name != asker and _version(entry.report.member) > has.get(name, (0, 0))
        ]
        lacking.sort(key=lambda entry: entry.made_at)
        return [_with_age(entry, now) for entry in lacking[:_MAX_REPORTS]]


def pack_reports(reports: list[wire.InstanceReport]) -> bytes:
    """Return reports as they go into an answer; nothing for none."""
    if not reports:
        return b""
    packed = wire.InstanceReports(reports=reports).SerializeToString()
    return zlib.compress(packed, _COMPRESSION_LEVEL)


def unpack_reports(packed: bytes) -> list[wire.InstanceReport]:
    """Return the reports of an answer.

    Raises
    ------
    InvalidReportsError
        If they are malformed or too large.
    """
    if not packed:
        return []
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(packed, _MAX_UNPACKED_BYTES)
        if inflater.unconsumed_tail or not inflater.eof:
            raise InvalidReportsError(f"more than {_MAX_UNPACKED_BYTES} bytes, or cut")
        return list(wire.InstanceReports.FromString(plain).reports)
    except (zlib.error, DecodeError) as error:
        raise InvalidReportsError(str(error)) from error


def _precedence(member: wire.MemberState) -> tuple[int, bool, int]:
    return (member.incarnation, member.stopping, member.heartbeat)


def _version(member: wire.MemberState) -> tuple[int, int]:
    return (member.incarnation, member.heartbeat)


def _with_age(entry: _Entry, now: float) -> wire.InstanceReport:
    report = wire.InstanceReport()
    report.CopyFrom(entry.report)
    report.member.age_seconds = now - entry.made_at
    return report
