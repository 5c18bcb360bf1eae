"""An evacuated data centre gets nothing from any instance, over sockets."""

from __future__ import annotations

import pytest

from testing.platform.gateways import GatewayCluster
from testing.platform.gateways import fetch
from testing.platform.gateways import running_cluster
from testing.platform.gateways import send_request
from testing.platform.gateways import wait_until

pytestmark = pytest.mark.xdist_group("sockets")

INSTANCES = 2


async def are_told(cluster: GatewayCluster, data_centres: int) -> bool:
    """Return whether all instances know how many data centres are evacuated."""
    pages = [await fetch(member.metrics, "/metrics") for member in cluster.members]
    known = f"chiveslip_evacuated_data_centres {data_centres}.0".encode()
    return all(known in page.body for page in pages)


def count_received(cluster: GatewayCluster, place: int) -> int:
    """Return how many requests and orders an engine has received."""
    engine = cluster.engines[place]
    return len(engine.arrivals) + len(engine.received_orders)


async def test_evacuated_engine_gets_neither_requests_nor_orders() -> None:
    """Also an instance that starts during the evacuation, or lacks the store, obeys."""
    async with running_cluster() as cluster:
        first, second = cluster.engines
        await cluster.store.put(
            f"servers/{first.identity}", first.build_entry("llm", zone="dundee")
        )
        instances = await cluster.start_fleet(INSTANCES)
        await cluster.store.put("op/evacuate/dundee", {})
        await wait_until(lambda: are_told(cluster, 1))
        cluster.store.is_down = True
        before = count_received(cluster, 0)

        async def is_served() -> bool:
            answer = await send_request(instances[0], "/draft/x", adapter="a1")
            return answer.code == 200

        await wait_until(is_served)
        for number in range(20):
            answer = await send_request(
                instances[number % INSTANCES],
                "/draft/x",
                adapter=f"a{number % 2}",
                request_id=f"e{number}",
            )
            assert answer.code == 200
        cluster.store.is_down = False
        late = await cluster.start_gateway("late", [instances[0].peers])
        await send_request(late, "/draft/x", adapter="a1", request_id="late")
        assert count_received(cluster, 0) == before
        await cluster.store.remove("op/evacuate/dundee")
        await wait_until(lambda: are_told(cluster, 0))
        await cluster.store.put(
            f"servers/{second.identity}", second.build_entry("llm", state="draining")
        )
        await wait_until(is_served)

        async def has_returned() -> bool:
            await is_served()
            return count_received(cluster, 0) > before

        await wait_until(has_returned)
