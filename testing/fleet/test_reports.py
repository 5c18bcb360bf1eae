"""Only newer reports are passed on, with their age."""

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
    member_state = wire.MemberState(
        instance=name, incarnation=incarnation, heartbeat=heartbeat, **member
    )
    return wire.InstanceReport(member=member_state)


@pytest.mark.parametrize(
    ("first", "second", "is_newer"),
    [
        pytest.param(report("a", 1), report("a", 2), True, id="next-heartbeat"),
        pytest.param(report("a", 2), report("a", 2), False, id="repeated"),
        pytest.param(report("a", 2), report("a", 1), False, id="late"),
        pytest.param(report("a", 9), report("a", 1, 2), True, id="restarted"),
        pytest.param(
            report("a", 2, stopping=True), report("a", 9), False, id="after-its-stop"
        ),
        pytest.param(report("a", 1), report("b", 1), True, id="other-instance"),
    ],
)
def test_only_newer_reports_are_stored(
    first: wire.InstanceReport, second: wire.InstanceReport, is_newer: bool
) -> None:
    cache = ReportCache()
    assert cache.add(first, 0.0)
    assert cache.add(second, 0.0) is is_newer


def test_requester_gets_the_reports_it_lacks_except_its_own() -> None:
    cache, requester = ReportCache(), ReportCache()
    for name in ("a", "b", "c", "requester"):
        cache.add(report(name, 5), 0.0)
    requester.add(report("a", 5), 0.0)
    requester.add(report("b", 4), 0.0)
    missing = cache.newer_than(requester.known_versions(), "requester", 1.0)
    assert sorted(r.member.instance for r in missing) == ["b", "c"]


def test_report_ages_in_the_cache() -> None:
    cache = ReportCache()
    cache.add(report("a", 5, age_seconds=0.5), 10.0)
    (passed_on,) = cache.newer_than([], "requester", 12.0)
    assert passed_on.member.age_seconds == pytest.approx(2.5)


def test_reports_of_other_members_are_dropped() -> None:
    cache = ReportCache()
    cache.add(report("a", 5), 0.0)
    cache.add(report("b", 5), 0.0)
    cache.retain({"a"})
    assert len(cache) == 1


def test_packed_reports_are_smaller_and_unpack_unchanged() -> None:
    reports = [report(f"instance-{number}", number + 1) for number in range(64)]
    packed = pack_reports(reports)
    assert unpack_reports(packed) == reports
    assert len(packed) < sum(r.ByteSize() for r in reports) / 2


@pytest.mark.parametrize(
    "packed",
    [
        pytest.param(b"no zlib", id="not-compressed"),
        pytest.param(pack_reports([report("a", 1)])[:-4], id="truncated"),
        pytest.param(zlib.compress(b"\xff\xff\xff"), id="not-a-message"),
        pytest.param(zlib.compress(bytes(5 << 20)), id="too-large"),
    ],
)
def test_invalid_reports_are_rejected(packed: bytes) -> None:
    with pytest.raises(InvalidReportsError):
        unpack_reports(packed)
