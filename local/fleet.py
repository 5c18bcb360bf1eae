"""A local fleet: stand-ins, published configuration files and three instances."""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
from pathlib import Path

import attrs
import yaml

from local.ports import reserve_port
from local.processes import Processes
from local.processes import wait_for_url

ROOT = Path(__file__).resolve().parent.parent
INSTANCES = ("entry-1", "entry-2", "entry-3")
ENGINES = ("engine-1", "engine-2")
SERVICES = ("kiosk-1", "kiosk-2")
_DATA_CENTRES = ("glasgow", "edinburgh", "aberdeen")
_READY_TIMEOUT_S = 30.0


@attrs.frozen(kw_only=True)
class Ports:
    """Listening ports of one instance."""

    callers: int
    peers: int
    operators: int


@attrs.define(kw_only=True)
class Fleet:
    """A running fleet.

    Attributes
    ----------
    instances
        Ports of each instance by its name.
    standins
        Port of each stand-in by its name.
    keys
        A key of each organisation by the organisation's name.
    list_revision
        Revision of the lists of instances and endpoints published last.
    engine_arguments
        Further command-line arguments of the engine stand-ins.
    """

    directory: Path
    processes: Processes
    instances: dict[str, Ports] = attrs.field(factory=dict)
    standins: dict[str, int] = attrs.field(factory=dict)
    keys: dict[str, str] = attrs.field(factory=dict)
    list_revision: int = 0
    engine_arguments: tuple[str, ...] = ()

    @property
    def source(self) -> Path:
        """Directory of the YAML files that operators edit."""
        return self.directory / "source"

    @property
    def published(self) -> Path:
        """Directory that the configuration service serves."""
        return self.directory / "published"

    @property
    def records(self) -> list[Path]:
        """Files with all bytes that the stand-ins received."""
        return sorted(self.directory.glob("*.received"))

    @property
    def operators(self) -> list[str]:
        """Addresses at which the instances serve operators."""
        return [f"127.0.0.1:{ports.operators}" for ports in self.instances.values()]

    def url(self, instance: str, path: str) -> str:
        """Return the URL of a path at an instance's port for callers."""
        return f"http://127.0.0.1:{self.instances[instance].callers}{path}"

    async def start(self) -> None:
        """Start the stand-ins and instances and wait until all are ready."""
        shutil.copytree(ROOT / "example", self.source)
        self.published.mkdir()
        names = ("platform", *ENGINES, *SERVICES)
        ports = [reserve_port() for _ in range(len(names) + 3 * len(INSTANCES))]
        self.standins = dict(zip(names, ports, strict=False))
        remaining_ports = iter(ports[len(names) :])
        for name in INSTANCES:
            self.instances[name] = Ports(
                callers=next(remaining_ports),
                peers=next(remaining_ports),
                operators=next(remaining_ports),
            )
        for organisation in ("north", "south", "trial"):
            self.keys[organisation] = await self.make_key(organisation, "first")
        await self.publish()
        self.write_lists()
        await self._start_standins()
        for name in INSTANCES:
            await self.start_instance(name)
        await asyncio.gather(*(self.wait_until_ready(name) for name in INSTANCES))

    async def start_standin(self, name: str) -> None:
        """Start one engine or service stand-in and wait until it responds."""
        module = "standins.engine" if name in ENGINES else "standins.service"
        arguments = ["-m", module, "--port", str(self.standins[name])]
        if name in ENGINES:
            arguments += self.engine_arguments
        record = self.directory / f"{name}.received"
        await self.processes.start(name, *arguments, "--record", str(record))
        await wait_for_url(
            self.standin_url(name, _readiness_path(name)), _READY_TIMEOUT_S
        )

    async def start_instance(self, name: str) -> None:
        """Start one instance."""
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._settings(name)))
        await self.processes.start(name, "-m", "chiveslip.daemon.main", str(path))

    async def wait_until_ready(self, name: str) -> None:
        """Wait until an instance is ready."""
        port = self.instances[name].operators
        await wait_for_url(f"http://127.0.0.1:{port}/readyz", _READY_TIMEOUT_S)

    def standin_url(self, name: str, path: str) -> str:
        """Return the URL of a path at a stand-in."""
        return f"http://127.0.0.1:{self.standins[name]}{path}"

    async def run_command(self, *arguments: str) -> str:
        """Run the operators' command line and return its output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chiveslip.cli.main",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        if process.returncode:
            raise RuntimeError(
                f"chiveslip {arguments} exited with {process.returncode}"
            )
        return output.decode()

    async def make_key(self, organisation: str, name: str) -> str:
        """Make a key of an organisation; it is accepted once it is published."""
        text = await self.run_command(
            "make-key", str(self.source), organisation, name, "--json"
        )
        return str(json.loads(text)["key"])

    async def publish(self) -> int:
        """Publish the operators' files as the next revision and return its number."""
        text = await self.run_command(
            "publish", str(self.source), str(self.published), "--json"
        )
        return int(json.loads(text)["revision"])

    async def wait_until_active(self, revision: int) -> None:
        """Wait until a revision is active at all instances."""
        await self.run_command("wait", *self.operators, "--revision", str(revision))

    def write_lists(
        self,
        *,
        leaving: tuple[str, ...] = (),
        without: tuple[str, ...] = (),
    ) -> None:
        """Publish the next revision of the lists of instances and endpoints.

        Parameters
        ----------
        leaving
            Names listed with the state ``leaving``.
        without
            Names left out of the lists.
        """
        self.list_revision += 1
        instances = [
            {
                "id": name,
                "data_centre": _DATA_CENTRES[number],
                "peers": f"127.0.0.1:{ports.peers}",
                "state": "leaving" if name in leaving else "live",
            }
            for number, (name, ports) in enumerate(self.instances.items())
            if name not in without
        ]
        endpoints = [
            self._endpoint(name, leaving)
            for name in (*ENGINES, *SERVICES)
            if name not in without
        ]
        self._write_list("instances", {"instances": instances})
        self._write_list("endpoints", {"endpoints": endpoints})

    async def _start_standins(self) -> None:
        await self.processes.start(
            "platform",
            *("-m", "standins.platform", "--port", str(self.standins["platform"])),
            *("--directory", str(self.published)),
            *("--record", str(self.directory / "platform.received")),
        )
        await wait_for_url(self.standin_url("platform", "/reads"), _READY_TIMEOUT_S)
        await asyncio.gather(*(self.start_standin(n) for n in (*ENGINES, *SERVICES)))

    def _endpoint(self, name: str, leaving: tuple[str, ...]) -> dict[str, object]:
        number = int(name[-1]) - 1
        common: dict[str, object] = {
            "id": name,
            "address": f"127.0.0.1:{self.standins[name]}",
            "data_centre": _DATA_CENTRES[number],
            "state": "leaving" if name in leaving else "live",
            "concurrency": 64,
        }
        if name in ENGINES:
            return common | {
                "kind": "engine",
                "serves": "base-8b",
                "adapter_slots": 4,
                "checks_fencing": False,
            }
        return common | {"kind": "service", "serves": "kiosk"}

    def _write_list(self, name: str, value: dict[str, object]) -> None:
        content = json.dumps({"revision": self.list_revision} | value)
        temporary_path = self.published / f"{name}.new"
        temporary_path.write_text(content)
        temporary_path.replace(self.published / f"{name}.json")

    def _settings(self, name: str) -> dict[str, dict[str, str]]:
        ports = self.instances[name]
        return {
            "instance": {
                "id": name,
                "data_centre": _DATA_CENTRES[INSTANCES.index(name)],
            },
            "listen": {
                "callers": f"127.0.0.1:{ports.callers}",
                "peers": f"127.0.0.1:{ports.peers}",
                "operators": f"127.0.0.1:{ports.operators}",
            },
            "configuration": {
                "source": "service",
                "service": f"127.0.0.1:{self.standins['platform']}",
                "retry": "200 ms",
            },
            "fleet": {"confirm": "200 ms", "lease": "1 s", "hold_off": "1600 ms"},
            "allowance": {"credit": "500 ms"},
            "stop": {"notice": "500 ms", "leave": "1 s"},
        }


def _readiness_path(name: str) -> str:
    return "/v1/load" if name in ENGINES else "/runs"
