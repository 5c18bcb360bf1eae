"""Gateway processes that the soak starts, freezes, stops and kills."""

from __future__ import annotations

import contextlib
import math
import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import final

import attrs

_SETTINGS = """\
instance: {{id: {name}, data_centre: glasgow}}
listen:
  callers: "127.0.0.1:{callers}"
  readiness: "127.0.0.1:{readiness}"
  peers: "127.0.0.1:{peers}"
  metrics: "127.0.0.1:{metrics}"
fleet: {{seeds: "{seeds}"}}
store: {{address: "127.0.0.1:{store}"}}
gateway: {{order_lease: "1 s", adapter_load: "20 ms", stop_grace: "4 s"}}
stop: {{notice: "500 ms"}}
"""


@attrs.frozen(kw_only=True)
class Ports:
    """Listening ports of one gateway."""

    callers: int
    readiness: int
    peers: int
    metrics: int


@final
class GatewayProcess:
    """A gateway that runs as a child process.

    Parameters
    ----------
    without
        Name of a mechanism that is switched off, or empty.
    further_settings
        Sections of its settings besides those that every process has, as YAML.
    max_descriptors
        Descriptors that it may open, as on a small machine, or None.

    Attributes
    ----------
    disturbances
        Monotonic times in seconds at which it was started or sent a signal.
    most_memory_bytes
        Largest memory of its processes that `measure_memory` saw.
    most_descriptors
        Largest number of its open descriptors that `measure_descriptors` saw.
    """

    def __init__(
        self,
        name: str,
        ports: Ports,
        seeds: str,
        store: int,
        folder: Path,
        without: str = "",
        *,
        further_settings: str = "",
        max_descriptors: int | None = None,
    ) -> None:
        self.name = name
        self._command = [sys.executable, "-m", "chiveslip.platform"]
        if without:
            self._command = [sys.executable, "-m", "soak.switched_off", without]
        self.ports = ports
        self._settings = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._freezes: list[tuple[float, float]] = []
        self.disturbances: list[float] = []
        self.most_memory_bytes = 0
        self.most_descriptors = 0
        self._max_descriptors = max_descriptors
        self._frozen_at: float | None = None
        self._ended_at: float | None = None
        self._absences: list[tuple[float, float]] = []
        self._settings.write_text(
            _SETTINGS.format(name=name, seeds=seeds, store=store, **attrs.asdict(ports))
            + further_settings
        )

    def start(self) -> None:
        """Start the process unless it is running."""
        if self._process is not None and self._process.poll() is None:
            return
        now = time.monotonic()
        self.disturbances.append(now)
        if self._ended_at is not None:
            self._absences.append((self._ended_at, now))
            self._ended_at = None
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                env=os.environ | {"CHIVESLIP_BOOT": str(self._settings)},
                stdout=log,
                stderr=log,
            )
        if self._max_descriptors is not None:
            limits = (self._max_descriptors, self._max_descriptors)
            resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limits)

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)
            self.disturbances.append(time.monotonic())
            if number in (signal.SIGTERM, signal.SIGKILL) and self._ended_at is None:
                self._ended_at = time.monotonic()
        self._record_freeze(number)

    def measure_memory(self) -> None:
        """Measure the memory of the process, if it is running."""
        if self._process is None or self._process.poll() is not None:
            return
        with contextlib.suppress(OSError):
            pages = Path(f"/proc/{self._process.pid}/statm").read_text().split()[1]
            used = int(pages) * resource.getpagesize()
            self.most_memory_bytes = max(self.most_memory_bytes, used)

    def measure_descriptors(self) -> None:
        """Count the open descriptors of the process, if it is running."""
        if self._process is None or self._process.poll() is not None:
            return
        with contextlib.suppress(OSError):
            count = len(os.listdir(f"/proc/{self._process.pid}/fd"))
            self.most_descriptors = max(self.most_descriptors, count)

    def was_disturbed(self, begin: float, end: float) -> bool:
        """Return whether it was signalled, frozen or not running between two times."""
        outages = [*self._freezes, *self._absences]
        outages += [
            (since, math.inf)
            for since in (self._frozen_at, self._ended_at)
            if since is not None
        ]
        was_out = any(start <= end and stop >= begin for start, stop in outages)
        return was_out or any(begin <= at <= end for at in self.disturbances)

    def frozen_s(self, since: float) -> float:
        """Return for how long in seconds it was frozen since a monotonic time."""
        freezes = list(self._freezes)
        if self._frozen_at is not None:
            freezes.append((self._frozen_at, time.monotonic()))
        return sum(max(end - max(begin, since), 0.0) for begin, end in freezes)

    def _record_freeze(self, number: signal.Signals) -> None:
        now = time.monotonic()
        if number == signal.SIGSTOP and self._frozen_at is None:
            self._frozen_at = now
        elif number == signal.SIGCONT and self._frozen_at is not None:
            self._freezes.append((self._frozen_at, now))
            self._frozen_at = None

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
