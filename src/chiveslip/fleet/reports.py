"""The newest report of each instance, kept to be passed on.

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
_MOST_REPORTS = 64
# Reports repeat the names of organisations and adapters, which the fastest level
# already finds: a quarter of the bytes is left.
_LEVEL = 1
# Largest answer in bytes once unpacked; a report takes about one kilobyte.
_MOST_BYTES = 4 << 20


class UnreadableReportsError(Exception):
    """Reports of a peer that cannot be unpacked."""


@attrs.frozen
class _Kept:
    report: wire.InstanceReport
    made_at: float


@final
class ReportBook:
    """Reports by instance."""

    def __init__(self) -> None:
        self._kept: dict[str, _Kept] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def keep(self, report: wire.InstanceReport, now: float) -> bool:
        """Keep a report, and return whether it is newer than the one before."""
        member = report.member
        kept = self._kept.get(member.instance)
        if kept is not None and _order(member) <= _order(kept.report.member):
            return False
        self._kept[member.instance] = _Kept(report, now - member.age_seconds)
        return True

    def forget_others(self, instances: Collection[str]) -> None:
        """Drop the reports of all instances but these."""
        for name in [name for name in self._kept if name not in instances]:
            del self._kept[name]

    def heard(self) -> list[wire.Heard]:
        """Return what is known, for a question."""
        return [
            wire.Heard(
                instance=name,
                incarnation=kept.report.member.incarnation,
                heartbeat=kept.report.member.heartbeat,
            )
            for name, kept in self._kept.items()
        ]

    def newer_than(
        self, heard: Iterable[wire.Heard], asker: str, now: float
    ) -> list[wire.InstanceReport]:
        """Return what an asker lacks that has heard just this."""
        has = {entry.instance: (entry.incarnation, entry.heartbeat) for entry in heard}
        lacking = [
            kept
            for name, kept in self._kept.items()
            if name != asker
            and _start_and_beat(kept.report.member) > has.get(name, (0, 0))
        ]
        lacking.sort(key=lambda kept: kept.made_at)
        return [_aged(kept, now) for kept in lacking[:_MOST_REPORTS]]


def pack(reports: list[wire.InstanceReport]) -> bytes:
    """Return reports as they go into an answer; nothing for none."""
    if not reports:
        return b""
    packed = wire.InstanceReports(reports=reports).SerializeToString()
    return zlib.compress(packed, _LEVEL)


def unpack(packed: bytes) -> list[wire.InstanceReport]:
    """Return the reports of an answer.

    Raises
    ------
    UnreadableReportsError
        If they are malformed or too large.
    """
    if not packed:
        return []
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(packed, _MOST_BYTES)
        if inflater.unconsumed_tail or not inflater.eof:
            raise UnreadableReportsError(f"more than {_MOST_BYTES} bytes, or cut")
        return list(wire.InstanceReports.FromString(plain).reports)
    except (zlib.error, DecodeError) as error:
        raise UnreadableReportsError(str(error)) from error


def _order(member: wire.MemberState) -> tuple[int, bool, int]:
    return (member.incarnation, member.stopping, member.heartbeat)


def _start_and_beat(member: wire.MemberState) -> tuple[int, int]:
    return (member.incarnation, member.heartbeat)


def _aged(kept: _Kept, now: float) -> wire.InstanceReport:
    report = wire.InstanceReport()
    report.CopyFrom(kept.report)
    report.member.age_seconds = now - kept.made_at
    return report
