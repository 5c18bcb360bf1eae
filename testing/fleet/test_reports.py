"""Reports are passed on once, newer ones only, with their age."""

from __future__ import annotations

import zlib

import pytest

from chiveslip.fleet.reports import InvalidReportsError
from chiveslip.fleet.reports import ReportCache
from chiveslip.fleet.reports import pack_reports
from chiveslip.fleet.reports import unpack_reports
from chiveslip.generated import peer_pb2 as wire


def report(
    name: str, heartbeat: int, incarnation: int = 1, **member: object
) -> wire.InstanceReport:
    told = wire.MemberState(
        instance=name, incarnation=incarnation, heartbeat=heartbeat, **member
    )
    return wire.InstanceReport(member=told)


@pytest.mark.parametrize(
    ("first", "second", "is_newer"),
    [
        pytest.param(report("a", 1), report("a", 2), True, id="next-heartbeat"),
        pytest.param(report("a", 2), report("a", 2), False, id="the-same-again"),
        pytest.param(report("a", 2), report("a", 1), False, id="late"),
        pytest.param(report("a", 9), report("a", 1, 2), True, id="started-again"),
        pytest.param(
            report("a", 2, stopping=True), report("a", 9), False, id="after-its-stop"
        ),
        pytest.param(report("a", 1), report("b", 1), True, id="of-another"),
    ],
)
def test_only_newer_reports_are_kept(
    first: wire.InstanceReport, second: wire.InstanceReport, is_newer: bool
) -> None:
    cache = ReportCache()
    assert cache.add(first, 0.0)
    assert cache.add(second, 0.0) is is_newer


def test_asker_gets_what_it_lacks_and_nothing_of_itself() -> None:
    cache, asker = ReportCache(), ReportCache()
    for name in ("a", "b", "c", "asker"):
        cache.add(report(name, 5), 0.0)
    asker.add(report("a", 5), 0.0)
    asker.add(report("b", 4), 0.0)
    lacking = cache.newer_than(asker.known_versions(), "asker", 1.0)
    assert sorted(r.member.instance for r in lacking) == ["b", "c"]


def test_report_ages_on_its_way() -> None:
    cache = ReportCache()
    cache.add(report("a", 5, age_seconds=0.5), 10.0)
    (told,) = cache.newer_than([], "asker", 12.0)
    assert told.member.age_seconds == pytest.approx(2.5)


def test_reports_of_forgotten_members_are_dropped() -> None:
    cache = ReportCache()
    cache.add(report("a", 5), 0.0)
    cache.add(report("b", 5), 0.0)
    cache.retain({"a"})
    assert len(cache) == 1


def test_packed_reports_come_back_whole_and_smaller() -> None:
    reports = [report(f"instance-{number}", number + 1) for number in range(64)]
    packed = pack_reports(reports)
    assert unpack_reports(packed) == reports
    assert len(packed) < sum(r.ByteSize() for r in reports) / 2


@pytest.mark.parametrize(
    "packed",
    [
        pytest.param(b"no zlib", id="not-compressed"),
        pytest.param(pack_reports([report("a", 1)])[:-4], id="cut"),
        pytest.param(zlib.compress(b"\xff\xff\xff"), id="no-message"),
        pytest.param(zlib.compress(bytes(5 << 20)), id="too-large"),
    ],
)
def test_reports_that_cannot_be_read_are_refused(packed: bytes) -> None:
    with pytest.raises(InvalidReportsError):
        unpack_reports(packed)
