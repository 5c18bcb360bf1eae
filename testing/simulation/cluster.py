"""A simulated cluster: instances, endpoints, platform, callers and virtual time."""

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
from testing.simulation.endpoints import FakeEndpoint
from testing.simulation.endpoints import FakeEngine
from testing.simulation.endpoints import FakeService
from testing.simulation.instance import CallRecord
from testing.simulation.instance import SimulatedInstance
from testing.simulation.network import SimulatedNetwork
from testing.simulation.platform import FakePlatform

INSTANCE_NAMES = ("a", "b", "c", "d")
RATE_TOKENS_PER_S = 400.0
BURST_TOKENS = 1200.0
TINY_RATE_TOKENS_PER_S = 100.0
TINY_BURST_TOKENS = 300.0
BULK_CALL_TOKENS = 50.0
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
    """An organisation of the published configuration.

    `rate` is in tokens per second, `burst` in tokens; `withdrawn_at` is the time at
    which its key was withdrawn, or None.
    """

    name: str
    key: str
    rate: float
    burst: float
    withdrawn_at: float | None = None


class SimulatedCluster:
    """All processes of a scenario, on one event loop with virtual time.

    Attributes
    ----------
    calls
        Record of each call that was sent, in order.
    peer_messages
        Encoded requests that instances received from their peers.
    leaving_since
        Time at which an instance or endpoint was published as leaving, by name.
    unlisted
        Names that the published lists leave out.
    ever_paused
        Names of the instances that were paused at least once.
    on_step, on_hand_over
        Actions to call once, at the next occurrence of a step or hand-over.
    observed_revisions
        Times and active configuration revisions, by instance.
    poison_calls
        Calls that crash each engine that runs them.
    transcript
        Messages between instances and to and from endpoints, with their times.
    """

    def __init__(
        self,
        instance_names: tuple[str, ...] = INSTANCE_NAMES,
        settings: str = _SETTINGS,
    ) -> None:
        self._settings = settings
        self.network = SimulatedNetwork()
        self.platform = FakePlatform()
        self.organisations = {
            name: Organisation(name=name, key=f"csk_{name}_secret", rate=r, burst=b)
            for name, r, b in (
                ("north", RATE_TOKENS_PER_S, BURST_TOKENS),
                ("south", RATE_TOKENS_PER_S, BURST_TOKENS),
                ("tiny", TINY_RATE_TOKENS_PER_S, TINY_BURST_TOKENS),
            )
        }
        self.engines = [
            FakeEngine(
                f"engine-{n}",
                Address("10.0.0.1", n),
                self.network,
                adapter_slots=2,
                checks_fencing=n == 1,
            )
            for n in (1, 2)
        ]
        self.services = [
            FakeService(f"service-{n}", Address("10.0.0.2", n), self.network)
            for n in (1, 2)
        ]
        self.instance_names = list(instance_names)
        self.instances: dict[str, SimulatedInstance] = {}
        self.calls: list[CallRecord] = []
        self.peer_messages: list[bytes] = []
        self.configuration_revision = 0
        self.list_revision = 0
        self.leaving_since: dict[str, float] = {}
        self.unlisted: set[str] = set()
        self.ever_paused: set[str] = set()
        self.on_step: dict[Step, list[Any]] = collections.defaultdict(list)
        self.on_hand_over: list[Any] = []
        self.observed_revisions: dict[str, list[tuple[float, int]]] = {}
        self.published_revisions: list[tuple[float, int]] = []
        self.poison_calls: list[CallRecord] = []
        self.transcript: list[str] = []
        self._process_count = 0
        self._background: set[asyncio.Task[Any]] = set()

    @property
    def endpoints(self) -> list[FakeEndpoint]:
        """All engines and services."""
        return [*self.engines, *self.services]

    @property
    def live_instances(self) -> list[SimulatedInstance]:
        """The instances that are running."""
        return [instance for instance in self.instances.values() if instance.is_alive]

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def run_in_background(self, coroutine: Any) -> None:
        """Run a coroutine concurrently with the scenario until `close`."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.add(task)

    def run_later(self, wait_s: float, action: Callable[[], None]) -> None:
        """Call `action` after `wait_s` seconds."""
        asyncio.get_running_loop().call_later(wait_s, action)

    def kill(self, name: str) -> None:
        """Kill an instance without a drain."""
        self.run_in_background(self.instances[name].kill())

    def owner_of(self, key: str, *, excluding: str) -> str:
        """Return the live instance that owns `key` when `excluding` is left out."""
        candidates = [i.name for i in self.live_instances if i.name != excluding]
        return hashing.rank(key, candidates)[0]

    async def start(self) -> None:
        """Publish all documents, start all instances and wait for the first credit."""
        self.publish_configuration()
        self.publish_lists()
        for name in self.instance_names:
            self.start_instance(name)
        for instance in list(self.instances.values()):
            await instance.wait_until_joined()
        self.run_in_background(self._watch_revisions())
        # A bucket is created empty by the first call and needs time to fill.
        for name in self.organisations:
            self.send_idempotent_call(self.instance_names[0], name)
        await asyncio.sleep(3.5)

    async def close(self) -> None:
        """Stop all processes and background tasks."""
        for name in list(self.instances):
            self.network.resume(name)
        for task in self._background:
            task.cancel()
        for instance in self.live_instances:
            await instance.kill()
        for endpoint in self.endpoints:
            endpoint.crash()

    def start_instance(self, name: str) -> SimulatedInstance:
        """Start an instance, or a new process of a dead one's name."""
        self._process_count += 1
        loaded = check_settings(self._settings.format(name=name), "settings.yaml")
        self.network.mark_running(name)
        instance = SimulatedInstance(
            loaded.unwrap().settings,
            self.platform,
            self.network,
            self.endpoints,
            self._find_service,
            lambda _to, content: self.peer_messages.append(content),
            self._run_step_actions,
            self._process_count,
            self._write_transcript,
        )
        instance.peers.on_hand_over = self._run_hand_over_actions
        self.instances[name] = instance
        self.observed_revisions.setdefault(name, [])
        instance.start()
        return instance

    def publish_configuration(self, rates: dict[str, float] | None = None) -> int:
        """Publish the next configuration revision, with changed `rates` if given."""
        self.configuration_revision += 1
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
                f"{name}-{kind}": _adapter(self.configuration_revision)
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
        manifest = {"revision": self.configuration_revision, "parts": names}
        self.platform.publish(MANIFEST, json.dumps(manifest).encode())
        self.published_revisions.append((self.now(), self.configuration_revision))
        return self.configuration_revision

    def publish_lists(self) -> None:
        """Publish the next revision of the lists of instances and endpoints."""
        self.list_revision += 1
        instances = [
            {
                "id": name,
                "data_centre": "here",
                "peers": f"10.0.1.1:{number}",
                "state": "leaving" if name in self.leaving_since else "live",
            }
            for number, name in enumerate(self.instance_names)
            if name not in self.unlisted
        ]
        endpoints = [
            {
                "id": endpoint.name,
                "kind": "engine" if endpoint in self.engines else "service",
                "serves": "base" if endpoint in self.engines else "kiosk",
                "address": str(endpoint.address),
                "data_centre": "here",
                "state": "leaving" if endpoint.name in self.leaving_since else "live",
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

    def mark_leaving(self, name: str) -> None:
        """Publish lists in which an instance or endpoint is leaving."""
        self.leaving_since[name] = self.now()
        self.publish_lists()

    def remove_from_lists(self, name: str) -> None:
        """Publish lists without an instance or endpoint."""
        self.unlisted.add(name)
        self.publish_lists()

    def withdraw_key(self, organisation: str) -> None:
        """Publish a configuration in which an organisation's key is withdrawn."""
        self.organisations[organisation].withdrawn_at = self.now()
        self.publish_configuration()

    def send_completion(
        self,
        instance: str,
        organisation: str,
        model: str,
        *,
        stream: bool = False,
        prompt: str = "Summarise.",
        max_tokens: int = 20,
        deadline_s: float = 8.0,
    ) -> CallRecord:
        """Send a completion call to an instance."""
        body = {
            "model": model,
            "prompt": prompt,
            "stream": stream,
            "max_tokens": max_tokens,
        }
        return self._send(
            instance,
            organisation,
            "POST",
            "/v1/completions",
            kind="stream" if stream else "completion",
            model=model,
            body=json.dumps(body).encode(),
            deadline_s=deadline_s,
        )

    def send_at_most_once_call(
        self,
        instance: str,
        organisation: str,
        idempotency_key: str,
        deadline_s: float = 8.0,
    ) -> CallRecord:
        """Send an at-most-once call with an idempotency key to an instance."""
        return self._send(
            instance,
            organisation,
            "POST",
            "/unlock",
            kind="at-most-once",
            idempotency_key=idempotency_key,
            body=b'{"locker": 7}',
            deadline_s=deadline_s,
        )

    def send_idempotent_call(
        self,
        instance: str,
        organisation: str,
        *,
        path: str = "/bays",
        deadline_s: float = 8.0,
    ) -> CallRecord:
        """Send an idempotent service call to an instance."""
        return self._send(
            instance,
            organisation,
            "GET",
            path,
            kind="idempotent",
            deadline_s=deadline_s,
        )

    def _send(
        self,
        instance: str,
        organisation: str,
        method: str,
        uri: str,
        *,
        kind: str,
        model: str = "",
        idempotency_key: str = "",
        body: bytes = b"",
        deadline_s: float,
    ) -> CallRecord:
        key = self.organisations[organisation].key
        headers = {
            "authorization": f"Bearer {key}",
            "x-deadline-seconds": str(deadline_s),
        }
        if idempotency_key:
            headers["idempotency-key"] = idempotency_key
        record = CallRecord(
            id=f"call-{len(self.calls)}",
            instance=instance,
            organisation=organisation,
            key=key,
            kind=kind,
            model=model,
            idempotency_key=idempotency_key,
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
        if not self.instances[instance].is_alive:
            record.connection_lost = True
            record.ended_at = self.now()
            return record
        self.instances[instance].start_call(record, request)
        return record

    def _write_transcript(self, line: str) -> None:
        self.transcript.append(f"{self.now():.3f} {line}")

    def _find_service(self, name: str) -> PeerService | None:
        instance = self.instances.get(name)
        return instance.service if instance is not None and instance.is_alive else None

    def _run_step_actions(self, instance: str, step: Step) -> None:
        for action in self.on_step.pop(step, []):
            action(instance)

    def _run_hand_over_actions(self) -> None:
        actions = self.on_hand_over
        self.on_hand_over = []
        for action in actions:
            action()

    async def _watch_revisions(self) -> None:
        while True:
            for name, instance in self.instances.items():
                if instance.is_alive:
                    revision = instance.node.configuration_updater.store.revision
                    self.observed_revisions[name].append((self.now(), revision))
            await asyncio.sleep(0.1)


def _key(organisation: Organisation) -> dict[str, Any]:
    return {
        "id": "first",
        "hash": hashing.key_hash(organisation.key),
        "withdrawn": organisation.withdrawn_at is not None,
    }


def _adapter(revision: int) -> dict[str, Any]:
    # Later revisions add a second version, which becomes the current one.
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
            "tokens": BULK_CALL_TOKENS,
        },
    ]
