"""A small deployment on loopback: gateways as processes, and stand-ins around them.

The stand-ins of the store, of the replicas and of the callers use the standard library
only. The gateways are started with the `run` command of the deploy file, and their
settings are rendered from its template.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MEMORY_MB = 300
LINK_BYTES_PER_S = 125_000_000
HOST = "kiosk.example"
KEY = "key-of-the-kiosks"
OTHER_KEY = "key-of-the-wards"
_RESTART_DELAY_S = 0.5
# All gateways run on one address: on loopback, a connection does not come from the
# address that its process listens on, and peers check where a request comes from.
_ADDRESS = "127.0.0.1"
_PORT_NAMES = ("front", "ready", "control", "first")
_EMPTY_ENDS = b"\r\n\r\n"


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Message:
    """A request or a response that was read from a connection."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = True

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of a message, or None if the connection has ended."""
    try:
        head = await reader.readuntil(_EMPTY_ENDS)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return Message(lines[0], headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return a whole request, or None if the connection has ended."""
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.headers.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def build_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + _EMPTY_ENDS + body


class _Server:
    """Serves HTTP on a loopback address."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def abort(self) -> None:
        """Close the port and break off all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                request = await read_request(reader)
                if request is None or not await self.answer(request, writer):
                    break
        self._writers.discard(writer)
        writer.close()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError


class Store(_Server):
    """The platform's store: items with one increasing revision."""

    def __init__(self) -> None:
        super().__init__()
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 10
        self._changed = asyncio.Condition()

    async def put(self, key: str, value: dict[str, Any]) -> None:
        """Write an item."""
        self._revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": data, "revision": self._revision}
        created = self._items.get(key, item)
        item |= {"created_rev": created.get("created_rev", self._revision), "lease": 0}
        self._items[key] = item
        self._events.append(item)
        async with self._changed:
            self._changed.notify_all()

    async def remove(self, key: str) -> None:
        """Remove an item."""
        self._revision += 1
        del self._items[key]
        event = {"key": key, "revision": self._revision, "removed": True}
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a read or a watch."""
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/chiveslip/kv-range":
            document = self._read_range(query)
        else:
            document = await self._watch(query)
        headers = {"Content-Type": "application/json"}
        writer.write(build_response(200, headers, json.dumps(document).encode()))
        await writer.drain()
        return True

    def _read_range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return {
            "items": [self._items[key] for key in keys[:500]],
            "has_more": len(keys) > 500,
            "store_revision": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self._revision > after)
        events = [event for event in self._events if event["revision"] > after]
        return {"events": events, "store_revision": self._revision}


Fault = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]


@dataclass
class Run:
    """A request that a replica has begun to work on."""

    request_id: str
    replica: str
    began_at: float
    ended_at: float | None = None


class Replica(_Server):
    """A replica of a plain service, or a model replica whose adapters are ordered.

    Attributes
    ----------
    choose_fault
        Returns how to answer a request wrongly, or None to answer it as usual.
    """

    def __init__(
        self, identity: str, service: str, record: Record, *, slots: int, queue: int
    ) -> None:
        super().__init__()
        self.identity = identity
        self.service = service
        self.runs: list[Run] = []
        self.rejected: list[str] = []
        self.arrivals: list[tuple[float, Message]] = []
        self.choose_fault: Callable[[Message], Fault | None] = lambda _request: None
        self.work_s = 0.0225
        self.events = 57
        self.event_pause_s = 0.02
        self._record = record
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._queue = queue
        self._waiting = 0
        self._running = 0
        self._adapters: dict[str, int] = {}
        self._fence = 0
        self._sequence = 0
        self._born = int(time.time() * 1000)

    @property
    def is_engine(self) -> bool:
        """Whether it runs models."""
        return self.service == "llm"

    def build_entry(self) -> dict[str, Any]:
        """Return the entry with which it registers in the store."""
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "glasgow",
            "version": 1,
            "slots": self._slot_count,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        return entry | ({"models": self._list_models()} if self.is_engine else {})

    async def start_again(self) -> None:
        """Start again after a crash, empty, at the same port."""
        self._adapters.clear()
        self._fence = self._sequence = 0
        self._born = int(time.time() * 1000)
        await self.start()

    def _list_models(self) -> list[dict[str, Any]]:
        names = [f"{name}@{version}" for name, version in self._adapters.items()]
        return [{"name": "m", "version": 1, "adapters": names}]

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a report, an order or a request."""
        expected = request.headers.get("x-expected-instance", self.identity)
        if expected != self.identity:
            writer.write(self._build_reply(request, 421, b""))
            return True
        if request.target == "/chiveslip/report":
            writer.write(build_response(200, {}, json.dumps(self._report()).encode()))
            return True
        if request.target == "/chiveslip/order":
            status = self._apply_order(json.loads(request.body))
            writer.write(build_response(status, {}, b"{}"))
            return True
        self.arrived(request)
        return await self._run(request, writer)

    def arrived(self, request: Message) -> None:
        """Note a request for work that has arrived here."""
        self.arrivals.append((time.monotonic(), request))

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": self._list_models(),
            "busy": False,
            "sequence": self._sequence,
            "waiting": self._waiting,
            "running": self._running,
            "kv_used": 0,
            "kv_total": 120_000,
            "handles": 0,
            "born": self._born,
            "coming": [],
        }

    def _apply_order(self, order: dict[str, Any]) -> int:
        if order["fencing_token"] < self._fence:
            return 412
        if order.get("precondition", self._sequence) != self._sequence:
            return 409
        self._fence = order["fencing_token"]
        self._sequence += 1
        if order["operation"] == "load":
            self._adapters[order["adapter"]] = order.get("version", 1)
            return 202
        self._adapters.pop(order["adapter"], None)
        return 200

    def _build_reply(
        self, request: Message, status: int, body: bytes, **further: str
    ) -> bytes:
        headers = {"X-Request-Id": request.headers.get("x-request-id", "")}
        headers |= {name.replace("_", "-"): value for name, value in further.items()}
        return build_response(status, headers, body)

    async def _run(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        request_id = request.headers.get("x-request-id", "")
        adapter = request.headers.get("x-model", "").partition("/")[2]
        if adapter and adapter not in self._adapters:
            writer.write(self._build_reply(request, 421, b"", X_Not_Executed="1"))
            return True
        if self._slots.locked() and self._waiting >= self._queue:
            self._record.add(f"{self.identity} rejects {request_id}: full")
            self.rejected.append(request_id)
            writer.write(self._build_reply(request, 503, b"", X_Not_Executed="1"))
            return True
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            run = Run(request_id, self.identity, time.monotonic())
            self.runs.append(run)
            self._record.add(f"{self.identity} runs {request.method} {request_id}")
            try:
                return await self._finish(request, writer)
            finally:
                run.ended_at = time.monotonic()
                self._running -= 1

    async def _finish(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        fault = self.choose_fault(request)
        if fault is not None:
            return await fault(request, writer)
        if self.is_engine:
            return await self._stream(request, writer)
        await asyncio.sleep(self.work_s)
        body = b"" if request.method == "HEAD" else b"x" * 800
        signature = f"sig-{self.identity}"
        writer.write(
            self._build_reply(request, 200, body, X_Server_Signature=signature)
        )
        await writer.drain()
        return True

    async def _stream(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {request.headers.get('x-request-id', '')}\r\n"
            f"X-Server-Signature: sig-{self.identity}\r\n"
            "X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_pause_s)
            event = f"id: {number}\ndata: abc abc abc\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def build_configuration(
    version: int = 1, *, kiosk_timeout_ms: int = 600
) -> dict[str, Any]:
    """Return a configuration with a plain service and engines."""

    def route(name: str, kind: str, service: str, **further: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "priority": 1,
            "max_attempts": 2,
        } | further

    engine = {
        "slots": 64,
        "kv_cache_tokens": 120_000,
        "models": [
            {
                "name": "m",
                "weights_mb": 65_100.0,
                "load_time_s": 3.9,
                "adapters": 3000,
                "adapter_size_mb": 12.0,
            }
        ],
        "weights_mb": 67_000.0,
        "adapter_slots": 17,
        "loads_per_s": 4.2,
    }
    kiosk: dict[str, Any] = {"timeout_ms": kiosk_timeout_ms, "target_latency_ms": 125}
    stream: dict[str, Any] = {
        "timeout_ms": 15_000,
        "target_latency_ms": 800,
        "gap_aim_ms": 300,
        "sticky_sessions": True,
    }
    return {
        "version": version,
        "routes": [
            route("unlock", "non_idempotent", "kiosk", **kiosk),
            route("status", "idempotent", "kiosk", **kiosk),
            route("digest", "streaming", "llm", **stream),
        ],
        "services": [
            {"name": "kiosk", "connection_limit": 96, "health_path": "/health"},
            {"name": "llm", "connection_limit": 360, "engine": engine},
        ],
        "limits": {
            "header_bytes": 16_384,
            "body_bytes": 4_194_304,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": 10_000,
        },
        "tenants": [
            {
                "name": name,
                "api_keys": [key],
                "unit": "tokens",
                "plain_tokens": 200,
                "requests_per_s": 1_000_000,
                "burst": 1_000_000,
            }
            for name, key in (("kiosks", KEY), ("wards", OTHER_KEY))
        ],
    }


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fill the template of the settings in, as the platform does."""

    def value(path: str) -> Any:
        found: Any = fields
        for name in path.split("."):
            if isinstance(found, list):
                found = found[int(name)]
            else:
                found = found.get(name) if isinstance(found, dict) else None
        return found

    def section(match: re.Match[str]) -> str:
        found = value(match[1])
        return "" if found is None else match[2].replace("{{.}}", str(found))

    def text(match: re.Match[str]) -> str:
        found = value(match[1])
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)

    rendered = re.sub(r"{{#([^}]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([^}#/]+)}}", text, rendered)


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((_ADDRESS, 0))
        return [probe.getsockname()[1] for probe in probes]


@dataclass
class Gateway:
    """A gateway that runs as a process.

    Attributes
    ----------
    ended
        How its processes ended that this program did not stop, with the times.
    """

    name: str
    ports: dict[str, int]
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None
    started_at: float = 0.0
    peak_mb: float = 0.0
    ended: list[tuple[float, str]] = field(default_factory=list)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CHIVESLIP_BOOT": str(self.settings),
        }
        self.started_at = time.monotonic()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["gateway"]["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the memory that the process uses."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        used_mb = int(found[1]) / 1024 if found else 0.0
        self.peak_mb = max(self.peak_mb, used_mb)
        return used_mb

    async def is_ready(self) -> bool:
        """Return whether it answers that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                _ADDRESS, self.ports["ready"]
            )
        except OSError:
            return False
        writer.write(b"GET /chiveslip/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await read_head(reader)
        writer.close()
        return head is not None and head.status == 200


class Platform:
    """Starts gateways, restarts those that end, and kills those that grow too large."""

    def __init__(self, record: Record, folder: Path, store: Store) -> None:
        self.gateways: list[Gateway] = []
        self._record = record
        self._folder = folder
        self._store = store

    async def start(self, count: int) -> None:
        """Start gateways and wait until all are ready."""
        template = (ROOT / "deploy/settings.yaml").read_text()
        free = find_free_ports(count * len(_PORT_NAMES))
        for number in range(count):
            ports = dict(zip(_PORT_NAMES, free[number::count], strict=True))
            name = f"frontend-glasgow-{number + 1}"
            gateway = Gateway(
                name,
                ports,
                self._folder / f"{name}.yaml",
                self._folder / f"{name}.log",
            )
            self.gateways.append(gateway)
        for gateway in self.gateways:
            settings = _render(template, self._build_fields(gateway))
            gateway.settings.write_text(settings)
            gateway.start()
        async with asyncio.timeout(20):
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(0.05)
        self._record.add(f"{count} gateways are ready")

    def _build_fields(self, gateway: Gateway) -> dict[str, Any]:
        seeds = [f"{_ADDRESS}:{seed.ports['control']}" for seed in self.gateways[:3]]
        ports = gateway.ports
        return {
            "node_name": gateway.name,
            "zone": "glasgow",
            "ip_address": _ADDRESS,
            "internal_ports": [ports["first"], ports["first"]],
            "seeds": seeds,
            "listen": {
                kind: f"{_ADDRESS}:{ports[kind]}"
                for kind in ("front", "ready", "control")
            },
            "platform": {"address": f"127.0.0.1:{self._store.port}"},
            "limits": {"memory_mb": MEMORY_MB},
            "bounds": {
                "retry_budget_ratio": 0.2,
                "retry_budget_slack": 52,
                "budget_window_s": 10,
                "lease_ms": 3000,
                "grace_period_s": 8,
            },
        }

    async def watch(self) -> None:
        """Enforce the limit on memory, and restart what has ended, until cancelled."""
        while True:
            for gateway in self.gateways:
                if gateway.process is None:
                    continue
                if gateway.memory_mb() > MEMORY_MB:
                    gateway.process.kill()
                    gateway.process.wait()
                    self._note_end(gateway, f"killed over {MEMORY_MB} MB")
                elif gateway.process.poll() is not None:
                    self._note_end(gateway, f"ended {gateway.process.returncode}")
            await asyncio.sleep(0.02)

    def _note_end(self, gateway: Gateway, how: str) -> None:
        gateway.ended.append((time.monotonic(), how))
        self._record.add(f"{gateway.name} {how}; it is started again")
        gateway.process = None
        asyncio.get_running_loop().call_later(_RESTART_DELAY_S, gateway.start)

    def stop(self) -> None:
        """Kill all processes."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait()


@dataclass
class Answer:
    """What became of one request of a caller.

    Attributes
    ----------
    status
        Status of the answer, or 0 if the connection ended without one.
    is_complete
        Whether the whole answer came.
    """

    request_id: str
    sent_at: float
    ended_at: float
    status: int = 0
    is_complete: bool = False
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    has_timed_out: bool = False


class Caller:
    """A caller with one connection that it keeps as long as the gateway does."""

    def __init__(self, gateway: Gateway, record: Record) -> None:
        self._gateway = gateway
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_connected(self) -> bool:
        """Whether a connection is kept."""
        return self._writer is not None

    async def connect(self) -> None:
        """Open the connection unless one is kept."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                _ADDRESS, self._gateway.ports["front"]
            )

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def send(
        self,
        request_id: str,
        method: str,
        path: str,
        *,
        deadline_s: float,
        silence_s: float = 60.0,
        body: bytes = b"",
        key: str = KEY,
        **further: str,
    ) -> Answer:
        """Send a request and return what became of it.

        Parameters
        ----------
        silence_s
            Time in seconds without a byte after which the caller gives up.
        """
        answer = Answer(request_id, time.monotonic(), 0.0)
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Remaining": str(int(deadline_s * 1000)),
            "Authorization": f"Bearer {key}",
        } | {name.replace("_", "-"): value for name, value in further.items()}
        if body or method == "POST":
            headers["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        try:
            async with asyncio.timeout(deadline_s + 1.0):
                await self.connect()
                assert self._writer is not None
                data = "\r\n".join(lines).encode("latin-1") + _EMPTY_ENDS + body
                self._writer.write(data)
                await self._read(answer, method, silence_s)
        except TimeoutError:
            answer.has_timed_out = True
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        answer.ended_at = time.monotonic()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        took_ms = (answer.ended_at - answer.sent_at) * 1000
        how = "whole" if answer.is_complete else "without an end"
        if answer.has_timed_out:
            how = "given up"
        self._record.add(
            f"{self._gateway.name} {method} {path} {request_id}: "
            f"{answer.status or 'no answer'}, {how}, {took_ms:.0f} ms"
        )
        return answer

    async def _read(self, answer: Answer, method: str, silence_s: float) -> None:
        assert self._reader is not None
        async with asyncio.timeout(silence_s):
            head = await read_head(self._reader)
        if head is None:
            raise ConnectionError
        answer.status, answer.headers = head.status, head.headers
        if method == "HEAD":
            answer.is_complete = True
            return
        if "content-length" in head.headers:
            length = int(head.headers["content-length"])
            answer.body = await self._reader.readexactly(length)
        else:
            while True:
                async with asyncio.timeout(silence_s):
                    size = int(await self._reader.readuntil(b"\r\n"), 16)
                    answer.body += (await self._reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        answer.is_complete = True


@contextlib.contextmanager
def temporary_folder() -> Iterator[Path]:
    """Provide a folder that is removed at the end."""
    with tempfile.TemporaryDirectory(prefix="chiveslip-review-") as name:
        yield Path(name)


@dataclass
class Deployment:
    """Gateways with a store and replicas."""

    record: Record
    platform: Platform
    store: Store
    kiosks: list[Replica]
    engines: list[Replica]


@contextlib.asynccontextmanager
async def run_deployment(
    record: Record, *, gateways: int, kiosks: int = 4, engines: int = 5
) -> Any:
    """Provide a running deployment; end all its processes at the end."""
    with temporary_folder() as folder:
        store = Store()
        await store.start()
        kiosk_replicas = [
            Replica(f"k{n}", "kiosk", record, slots=6, queue=24)
            for n in range(1, kiosks + 1)
        ]
        engine_replicas = [
            Replica(f"e{n}", "llm", record, slots=64, queue=192)
            for n in range(1, engines + 1)
        ]
        replicas = [*kiosk_replicas, *engine_replicas]
        await store.put("op/config", build_configuration())
        for replica in replicas:
            await replica.start()
            await store.put(f"servers/{replica.identity}", replica.build_entry())
        platform = Platform(record, folder, store)
        watch = None
        try:
            await platform.start(gateways)
            watch = asyncio.create_task(platform.watch())
            yield Deployment(record, platform, store, kiosk_replicas, engine_replicas)
        finally:
            if watch is not None:
                watch.cancel()
            platform.stop()
            for server in (store, *replicas):
                server.close()
