"""Ports of tests belong to one process each, also before it listens on them."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from local.ports import NoFreePortError
from local.ports import PortReservations

# Two ports that nothing else here uses.
PORTS = range(11990, 11992)

RESERVE_ONE = f"""
import sys
from pathlib import Path
from local.ports import PortReservations
reservations = PortReservations(Path(sys.argv[1]), range({PORTS.start}, {PORTS.stop}))
print(reservations.reserve())
sys.stdout.flush()
sys.stdin.read()
"""


@pytest.fixture
def lock_file(tmp_path: Path) -> Path:
    return tmp_path / "ports.lock"


def test_port_belongs_to_one_process_until_it_ends(lock_file: Path) -> None:
    command = [sys.executable, "-c", RESERVE_ONE, str(lock_file)]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as other:
        assert other.stdin is not None
        assert other.stdout is not None
        theirs = int(other.stdout.readline())
        mine = PortReservations(lock_file, PORTS)
        assert mine.reserve() == sum(PORTS) - theirs
        with pytest.raises(NoFreePortError, match="11990 to 11991"):
            mine.reserve()
        other.stdin.close()
        other.wait()
    assert PortReservations(lock_file, range(theirs, theirs + 1)).reserve() == theirs


def test_port_in_use_is_not_returned(lock_file: Path) -> None:
    with socket.socket() as used:
        used.bind(("127.0.0.1", PORTS.start))
        assert PortReservations(lock_file, PORTS).reserve() == PORTS.stop - 1


def test_excluded_port_is_left_for_others(lock_file: Path) -> None:
    reservations = PortReservations(lock_file, PORTS)
    assert reservations.reserve({PORTS.start}) == PORTS.stop - 1
    assert reservations.reserve() == PORTS.start
