"""Requests with allowed regions stay there, over sockets."""

from __future__ import annotations

import pytest

from testing.platform.gateways import fetch
from testing.platform.gateways import published_configuration
from testing.platform.gateways import running_cluster
from testing.platform.gateways import send_request
from testing.platform.gateways import wait_until

pytestmark = pytest.mark.xdist_group("sockets")

INSTANCES = 2


async def test_restricted_requests_reach_engines_of_their_region_alone() -> None:
    """Also with adapters that only an engine elsewhere holds."""
    async with running_cluster() as cluster:
        abroad, at_home = cluster.engines
        await cluster.store.put(
            f"servers/{abroad.identity}", abroad.build_entry("llm", zone="dundee")
        )
        instances = await cluster.start_fleet(INSTANCES)

        async def is_held_abroad() -> bool:
            answer = await send_request(instances[0], "/draft/x", adapter="a1")
            return answer.code == 200 and "a1@1" in abroad.models["m"]

        await cluster.store.put(
            f"servers/{at_home.identity}", at_home.build_entry("llm", state="draining")
        )
        await wait_until(is_held_abroad)
        at_home.restart_in_place()
        await cluster.store.put(
            f"servers/{at_home.identity}", at_home.build_entry("llm")
        )
        configuration = published_configuration(2)
        configuration["tenants"][0]["allowed_regions"] = ["glasgow"]
        await cluster.store.put("op/config", configuration)

        async def are_restricted() -> bool:
            pages = [await fetch(member.metrics, "/metrics") for member in instances]
            return all(b"configuration_version 2.0" in page.body for page in pages)

        await wait_until(are_restricted)
        before = len(abroad.arrivals)

        async def is_served() -> bool:
            answer = await send_request(instances[1], "/draft/x", adapter="a1")
            return answer.code == 200

        await wait_until(is_served)
        for number in range(10):
            answer = await send_request(
                instances[number % INSTANCES],
                "/draft/x",
                adapter="a1",
                request_id=f"h{number}",
            )
            assert answer.code == 200
        assert len(abroad.arrivals) == before
        await cluster.store.remove(f"servers/{at_home.identity}")

        async def is_refused() -> bool:
            answer = await send_request(instances[0], "/draft/x", adapter="a1")
            return answer.code == 503

        await wait_until(is_refused)
        assert len(abroad.arrivals) == before
