"""A world: instances, endpoints, a platform, callers, and a virtual clock."""

from __future__ import annotations

import asyncio
import collections
import json
from collections.abc import Callable
from typing import Any

import attrs

from chiveslip import hashing
from chiveslip.configuration.documents import ENDPOINTS
from chiveslip.configuration.documents import INSTANCES
from chiveslip.configuration.documents import MANIFEST
from chiveslip.dispatch.outcome import Step
from chiveslip.dispatch.pipeline import Request
from chiveslip.fleet.service import PeerService
from chiveslip.settings.check import check_settings
from chiveslip.settings.fields import Address
from testing.world.endpoints import FakeEndpoint
from testing.world.endpoints import FakeEngine
from testing.world.endpoints import FakeService
from testing.world.links import Links
from testing.world.node import CallRecord
from testing.world.node import WorldNode
from testing.world.platform import Platform

NODES = ("a", "b", "c", "d")
RATE = 400.0
BURST = 1200.0
TINY_RATE = 100.0
TINY_BURST = 300.0
BULK_TOKENS = 50.0
_SETTINGS = """
instance: {{id: {name}, data_centre: here}}
configuration: {{watch: 2 s, retry: 200 ms}}
fleet: {{confirm: 200 ms, lease: 1 s, hold_off: 1600 ms, peer_timeout: 500 ms}}
allowance: {{credit: 500 ms}}
engines: {{report: 500 ms, chunk_silence: 1 s, load_timeout: 3 s}}
stop: {{notice: 500 ms, leave: 3 s, drain: 20 s}}
"""


@attrs.define(kw_only=True)
class Organisation:
    """An organisation as the world publishes it."""

    name: str
    key: str
    rate: float
    burst: float
    withdrawn_at: float | None = None


class World:
    """Everything of a scenario, all on one event loop with virtual time."""

    def __init__(
        self, nodes: tuple[str, ...] = NODES, settings: str = _SETTINGS
    ) -> None:
        self._settings = settings
        self.links = Links()
        self.platform = Platform()
        self.organisations = {
            name: Organisation(name=name, key=f"csk_{name}_secret", rate=r, burst=b)
            for name, r, b in (
                ("north", RATE, BURST),
                ("south", RATE, BURST),
                ("tiny", TINY_RATE, TINY_BURST),
            )
        }
        self.engines = [
            FakeEngine(
                f"engine-{n}",
                Address("10.0.0.1", n),
                self.links,
                slots=2,
                checks=n == 1,
            )
            for n in (1, 2)
        ]
        self.services = [
            FakeService(f"service-{n}", Address("10.0.0.2", n), self.links)
            for n in (1, 2)
        ]
        self.names = list(nodes)
        self.nodes: dict[str, WorldNode] = {}
        self.calls: list[CallRecord] = []
        self.peer_bytes: list[bytes] = []
        self.revision = 0
        self.list_revision = 0
        self.leaving: dict[str, float] = {}
        self.unlisted: set[str] = set()
        self.was_paused: set[str] = set()
        self.on_step: dict[Step, list[Any]] = collections.defaultdict(list)
        self.on_hand_over: list[Any] = []
        self.revisions: dict[str, list[tuple[float, int]]] = {}
        self.published: list[tuple[float, int]] = []
        self.poisons: list[CallRecord] = []
        self.transcript: list[str] = []
        self._started = 0
        self._background: set[asyncio.Task[Any]] = set()

    @property
    def endpoints(self) -> list[FakeEndpoint]:
        """Engines and services."""
        return [*self.engines, *self.services]

    @property
    def live_nodes(self) -> list[WorldNode]:
        """Instances that run."""
        return [node for node in self.nodes.values() if node.alive]

    def now(self) -> float:
        """Return the world's time in seconds."""
        return asyncio.get_running_loop().time()

    def run(self, work: Any) -> None:
        """Run a coroutine beside the scenario."""
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)

    def run_later(self, wait_s: float, action: Callable[[], None]) -> None:
        """Do something after a while."""
        asyncio.get_running_loop().call_later(wait_s, action)

    def kill(self, name: str) -> None:
        """Kill an instance."""
        self.run(self.nodes[name].kill())

    def home_of(self, key: str, *, not_: str) -> str:
        """Return the home of `key`, or another live instance than `not_`."""
        others = [n.name for n in self.live_nodes if n.name != not_]
        return hashing.rank(key, others)[0]

    async def start(self) -> None:
        """Publish everything and start all instances."""
        self.publish()
        self.publish_lists()
        for name in self.names:
            self.start_node(name)
        for node in list(self.nodes.values()):
            await node.joined()
        self.run(self._watch_revisions())
        # The buckets fill from empty; they exist from the first call on.
        for name in self.organisations:
            self.poll(self.names[0], name)
        await asyncio.sleep(3.5)

    async def close(self) -> None:
        """Stop everything."""
        for name in list(self.nodes):
            self.links.resume(name)
        for task in self._background:
            task.cancel()
        for node in self.live_nodes:
            await node.kill()
        for endpoint in self.endpoints:
            endpoint.crash()

    def start_node(self, name: str) -> WorldNode:
        """Start an instance, or a new process under a dead one's name."""
        self._started += 1
        loaded = check_settings(self._settings.format(name=name), "settings.yaml")
        self.links.revive(name)
        node = WorldNode(
            loaded.unwrap(),
            self.platform,
            self.links,
            self.endpoints,
            self._service_of,
            lambda _to, content: self.peer_bytes.append(content),
            self._stepped,
            self._started,
            self._note,
        )
        node.peers.on_hand_over = self._hand_over_begins
        self.nodes[name] = node
        self.revisions.setdefault(name, [])
        node.start()
        return node

    def publish(self, rates: dict[str, float] | None = None) -> int:
        """Publish the next revision of the configuration."""
        self.revision += 1
        for name, rate in (rates or {}).items():
            self.organisations[name].rate = rate
        parts = {
            "templates": {"plain": {"adapters": ["$organisation-*"]}},
            "organisations": {
                o.name: {
                    "template": "plain",
                    "rate": o.rate,
                    "burst": o.burst,
                    "keys": [_key(o)],
                }
                for o in self.organisations.values()
            },
            "adapters": {
                f"{name}-{kind}": _adapter(self.revision)
                for name in self.organisations
                for kind in ("logs", "drafts", "notes")
            },
            "routes": {"routes": _routes()},
            "platform": {"weight_store": {"loads_per_s": 8, "loads_in_flight": 8}},
        }
        names = {}
        for section, value in parts.items():
            content = json.dumps(value).encode()
            digest = hashing.content_hash(content)
            self.platform.parts[digest] = content
            names[section] = digest
        manifest = {"revision": self.revision, "parts": names}
        self.platform.publish(MANIFEST, json.dumps(manifest).encode())
        self.published.append((self.now(), self.revision))
        return self.revision

    def publish_lists(self) -> None:
        """Publish the next revision of both lists."""
        self.list_revision += 1
        instances = [
            {
                "id": name,
                "data_centre": "here",
                "peers": f"10.0.1.1:{number}",
                "state": "leaving" if name in self.leaving else "live",
            }
            for number, name in enumerate(self.names)
            if name not in self.unlisted
        ]
        endpoints = [
            {
                "id": endpoint.name,
                "kind": "engine" if endpoint in self.engines else "service",
                "serves": "base" if endpoint in self.engines else "kiosk",
                "address": str(endpoint.address),
                "data_centre": "here",
                "state": "leaving" if endpoint.name in self.leaving else "live",
                "adapter_slots": 2,
                "concurrency": 16,
                "checks_fencing": endpoint.name == "engine-1",
            }
            for endpoint in self.endpoints
            if endpoint.name not in self.unlisted
        ]
        common = {"revision": self.list_revision}
        content = json.dumps(common | {"instances": instances}).encode()
        self.platform.publish(INSTANCES, content)
        content = json.dumps(common | {"endpoints": endpoints}).encode()
        self.platform.publish(ENDPOINTS, content)

    def leave(self, name: str) -> None:
        """Publish that an instance or endpoint is leaving."""
        self.leaving[name] = self.now()
        self.publish_lists()

    def unlist(self, name: str) -> None:
        """Publish lists without an instance or endpoint."""
        self.unlisted.add(name)
        self.publish_lists()

    def withdraw(self, organisation: str) -> None:
        """Withdraw an organisation's key and publish that."""
        self.organisations[organisation].withdrawn_at = self.now()
        self.publish()

    def complete(
        self,
        node: str,
        organisation: str,
        model: str,
        *,
        stream: bool = False,
        prompt: str = "Summarise.",
        max_tokens: int = 20,
        deadline_s: float = 8.0,
    ) -> CallRecord:
        """Send a completion call."""
        body = {
            "model": model,
            "prompt": prompt,
            "stream": stream,
            "max_tokens": max_tokens,
        }
        return self._send(
            node,
            organisation,
            "POST",
            "/v1/completions",
            kind="stream" if stream else "completion",
            model=model,
            body=json.dumps(body).encode(),
            deadline_s=deadline_s,
        )

    def unlock(
        self, node: str, organisation: str, once_key: str, deadline_s: float = 8.0
    ) -> CallRecord:
        """Send a once-only call."""
        return self._send(
            node,
            organisation,
            "POST",
            "/unlock",
            kind="once",
            once_key=once_key,
            body=b'{"locker": 7}',
            deadline_s=deadline_s,
        )

    def poll(
        self,
        node: str,
        organisation: str,
        *,
        path: str = "/bays",
        deadline_s: float = 8.0,
    ) -> CallRecord:
        """Send an idempotent call."""
        return self._send(
            node, organisation, "GET", path, kind="poll", deadline_s=deadline_s
        )

    def _send(
        self,
        node: str,
        organisation: str,
        method: str,
        uri: str,
        *,
        kind: str,
        model: str = "",
        once_key: str = "",
        body: bytes = b"",
        deadline_s: float,
    ) -> CallRecord:
        key = self.organisations[organisation].key
        headers = {
            "authorization": f"Bearer {key}",
            "x-deadline-seconds": str(deadline_s),
        }
        if once_key:
            headers["idempotency-key"] = once_key
        record = CallRecord(
            id=f"call-{len(self.calls)}",
            node=node,
            organisation=organisation,
            key=key,
            kind=kind,
            model=model,
            once_key=once_key,
            started_at=self.now(),
            deadline_s=deadline_s,
        )
        self.calls.append(record)
        request = Request(
            id=record.id,
            method=method,
            uri=uri,
            headers=headers,
            body=body,
            arrived_at=self.now(),
        )
        if not self.nodes[node].alive:
            record.lost = True
            record.ended_at = self.now()
            return record
        self.nodes[node].call(record, request)
        return record

    def _note(self, line: str) -> None:
        self.transcript.append(f"{self.now():.3f} {line}")

    def _service_of(self, name: str) -> PeerService | None:
        node = self.nodes.get(name)
        return node.service if node is not None and node.alive else None

    def _stepped(self, node: str, step: Step) -> None:
        for action in self.on_step.pop(step, []):
            action(node)

    def _hand_over_begins(self) -> None:
        actions = self.on_hand_over
        self.on_hand_over = []
        for action in actions:
            action()

    async def _watch_revisions(self) -> None:
        while True:
            for name, node in self.nodes.items():
                if node.alive:
                    seen = node.node.configuration_updater.store.revision
                    self.revisions[name].append((self.now(), seen))
            await asyncio.sleep(0.1)


def _key(organisation: Organisation) -> dict[str, Any]:
    return {
        "id": "first",
        "hash": hashing.key_hash(organisation.key),
        "withdrawn": organisation.withdrawn_at is not None,
    }


def _adapter(revision: int) -> dict[str, Any]:
    # A new revision brings a new version beside the old one.
    versions = ["1"] if revision == 1 else ["1", "2"]
    return {"base_model": "base", "current": versions[-1], "versions": versions}


def _routes() -> list[dict[str, Any]]:
    return [
        {"prefix": "/bays", "methods": ["GET"], "service": "kiosk", "idempotent": True},
        {"prefix": "/unlock", "methods": ["POST"], "service": "kiosk"},
        {
            "prefix": "/bulk",
            "methods": ["GET"],
            "service": "kiosk",
            "idempotent": True,
            "tokens": BULK_TOKENS,
        },
    ]
