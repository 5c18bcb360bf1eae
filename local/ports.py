"""Ports on loopback, each of which belongs to one process until that process ends.

A port that is free when it is looked for may be taken before somebody listens on it.
Processes that look for ports here lock them in a common file, so that no two of them
find the same one. The ports lie below the system's ephemeral range, so that no outgoing
connection takes one either.
"""

from __future__ import annotations

import fcntl
import os
import random
import socket
import tempfile
from collections.abc import Collection
from pathlib import Path
from typing import final

_FIRST_PORT = 12000
_LAST_PORT = 32000


class NoFreePortError(Exception):
    """Every port is in use or belongs to a process."""


@final
class PortReservations:
    """Ports that belong to this process.

    Each port is a byte of the lock file. The system drops the locks of a process that
    ends, whatever ends it.
    """

    def __init__(self, lock_file: Path, ports: range) -> None:
        self._file = lock_file.open("ab")
        self._ports = ports
        # Those that were tried are owned, or belong to others.
        self._untried = random.SystemRandom().sample(ports, len(ports))

    def reserve(self, without: Collection[int] = ()) -> int:
        """Return a free port that belongs to this process from now on.

        Parameters
        ----------
        without
            Ports that must not be returned.

        Raises
        ------
        NoFreePortError
            If there is none.
        """
        skipped = []
        try:
            while self._untried:
                port = self._untried.pop()
                if port in without:
                    skipped.append(port)
                # A port stays locked if somebody uses it who does not lock ports.
                elif self._lock(port) and _is_free(port):
                    return port
        finally:
            self._untried += skipped
        raise NoFreePortError(
            f"no free port from {self._ports.start} to {self._ports.stop - 1}"
        )

    def _lock(self, port: int) -> bool:
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port, os.SEEK_SET)
        except OSError:
            return False
        return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


_RESERVATIONS = PortReservations(
    Path(tempfile.gettempdir()) / f"chiveslip-ports-{os.getuid()}.lock",
    range(_FIRST_PORT, _LAST_PORT),
)


def reserve_port(without: Collection[int] = ()) -> int:
    """Return a free port on loopback that belongs to this process until it ends."""
    return _RESERVATIONS.reserve(without)
