"""Complete gateways in one process, with stand-ins for the platform."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any

import attrs
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPResponse

from chiveslip.clock import SystemClock
from chiveslip.daemon.gateway import GatewayInstance
from chiveslip.platform.main import UserPlatformInterfaces
from chiveslip.settings.check import check_settings
from local.ports import reserve_port
from testing.platform.published import build_configuration
from testing.platform.standins import ReplicaStandIn
from testing.platform.standins import StoreStandIn

KEY = "key-of-the-trust"
MAX_WAIT_S = 20.0


def published_configuration(
    version: int, *, keys: tuple[str, ...] = (KEY,)
) -> dict[str, Any]:
    """Return a version of the configuration that the operator publishes."""
    return build_configuration(version, keys=keys)


@attrs.define
class Member:
    """A running gateway and its ports."""

    instance: GatewayInstance
    callers: int
    readiness: int
    peers: int
    metrics: int


@attrs.define
class GatewayCluster:
    """Gateways, and the stand-ins that they are connected to."""

    store: StoreStandIn
    kiosk: ReplicaStandIn
    engines: list[ReplicaStandIn]
    members: list[Member] = attrs.field(factory=list)

    async def start_gateway(
        self,
        name: str,
        seeds: list[int],
        *,
        stop_grace: str = "8 s",
        notice: str = "0 s",
        store_port: int | None = None,
    ) -> Member:
        """Start a gateway and wait until it is ready.

        Parameters
        ----------
        store_port
            Port at which it reads the store, or None for the first one.
        stop_grace, notice
            Settings of a planned stop.
        """
        member = Member(None, *(reserve_port() for _ in range(4)))  # type: ignore[arg-type]
        addresses = ",".join(f"127.0.0.1:{port}" for port in seeds)
        store_address = f"127.0.0.1:{store_port or self.store.port}"
        settings_text = f"""
instance: {{id: {name}, data_centre: glasgow}}
listen:
  callers: "127.0.0.1:{member.callers}"
  readiness: "127.0.0.1:{member.readiness}"
  peers: "127.0.0.1:{member.peers}"
  metrics: "127.0.0.1:{member.metrics}"
fleet: {{seeds: "{addresses}", gossip: "50 ms"}}
store: {{address: "{store_address}", gather: "10 ms", pause: "50 ms"}}
gateway:
  order_lease: "300 ms"
  adapter_load: "20 ms"
  adapter_reload: "10 ms"
  stop_grace: "{stop_grace}"
stop: {{notice: "{notice}"}}
"""
        settings = check_settings(settings_text, name).unwrap().settings
        member.instance = GatewayInstance(
            settings, UserPlatformInterfaces(), SystemClock()
        )
        await member.instance.start()
        self.members.append(member)
        await wait_until(lambda: self._is_ready(member))
        return member

    async def start_fleet(self, size: int) -> list[Member]:
        """Start gateways g0, g1 and so on, and wait until all know each other."""
        started: list[Member] = []
        for number in range(size):
            seeds = [member.peers for member in started]
            started.append(await self.start_gateway(f"g{number}", seeds))

        async def are_known() -> bool:
            pages = [await fetch(member.metrics, "/metrics") for member in started]
            known = f"chiveslip_members {size}.0".encode()
            return all(known in page.body for page in pages)

        await wait_until(are_known)
        return started

    async def _is_ready(self, member: Member) -> bool:
        answer = await fetch(member.readiness, "/chiveslip/readiness")
        return answer.code == 200


async def wait_until(condition: Callable[[], Any]) -> None:
    """Wait until a condition is true; fail after `MAX_WAIT_S`."""
    async with asyncio.timeout(MAX_WAIT_S):
        while not await condition():
            await asyncio.sleep(0.02)


async def fetch(
    port: int,
    path: str,
    *,
    method: str = "GET",
    body: bytes | None = None,
    on_chunk: Callable[[bytes], None] | None = None,
    **headers: str,
) -> HTTPResponse:
    """Send a request to a port of a gateway.

    Parameters
    ----------
    on_chunk
        Called with each part of the body, which the response then lacks.
    """
    client = AsyncHTTPClient(force_instance=True)
    try:
        return await client.fetch(
            f"http://127.0.0.1:{port}{path}",
            method=method,
            body=body,
            headers=headers,
            raise_error=False,
            streaming_callback=on_chunk,
        )
    finally:
        client.close()


async def send_request(
    member: Member,
    path: str,
    *,
    adapter: str = "",
    key: str = KEY,
    request_id: str = "r1",
    on_chunk: Callable[[bytes], None] | None = None,
    **further_headers: str,
) -> HTTPResponse:
    """Send a request as a caller.

    Parameters
    ----------
    on_chunk
        As of `fetch`.
    """
    headers = {
        "Host": "kiosk.example",
        "X-Request-Id": request_id,
        "Authorization": f"Bearer {key}",
        "X-Deadline-Remaining": "10000",
    }
    if adapter:
        headers |= {"X-Model": f"m/{adapter}", "X-Token-Count": "100,50"}
    headers |= {k.replace("_", "-"): value for k, value in further_headers.items()}
    return await fetch(member.callers, path, on_chunk=on_chunk, **headers)


@contextlib.asynccontextmanager
async def running_cluster(engines: str = "ab") -> AsyncIterator[GatewayCluster]:
    """Publish a configuration and the entries of the stand-ins; stop all at the end.

    Parameters
    ----------
    engines
        Names of the engines, a letter each.
    """
    store = StoreStandIn()
    cluster = GatewayCluster(
        store, ReplicaStandIn("k"), [ReplicaStandIn(name) for name in engines]
    )
    await store.put("servers/k", cluster.kiosk.build_entry("kiosk"))
    for engine in cluster.engines:
        await store.put(f"servers/{engine.identity}", engine.build_entry("llm"))
    await store.put("servers/odd", b"\x00 from another writer")
    await store.put("op/config", published_configuration(1))
    try:
        yield cluster
    finally:
        for member in cluster.members:
            await member.instance.stop()
        for standin in (store, cluster.kiosk, *cluster.engines):
            standin.server.stop()
            await standin.server.close_all_connections()
