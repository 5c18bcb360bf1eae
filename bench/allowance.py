"""Measures wrong refusals and overuse of allowances, compared with a static split.

Run ``python -m bench.allowance``. Six instances run in virtual time. Two organisations
send 80% of their rate, nine tenths of it to one preferred instance, which changes
every 5 s; a third sends five times its rate to all instances. With the fault ``home
lost``, the owner of the first organisation's allowance is killed at 20 s and removed
from the list of instances 10 s later.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import attrs
import looptime
import pytest
from returns.result import Failure
from returns.result import Success

from chiveslip import logs
from chiveslip.allowance.account import Portion
from chiveslip.allowance.account import Reservation
from chiveslip.allowance.bucket import Bucket
from chiveslip.allowance.manager import AllowanceManager
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from testing.simulation.checker import allowance_windows
from testing.simulation.cluster import BULK_CALL_TOKENS
from testing.simulation.cluster import SimulatedCluster

SEED = 7
_INSTANCES = ("a", "b", "c", "d", "e", "f")
_RUN_S = 60.0
_PREFERENCE_PERIOD_S = 5.0
_PREFERRED_SHARE = 0.9
_NORMAL_RATE_SHARE = 0.8
_EXCESS_RATE_FACTOR = 5.0
_KILL_AT_S = 20.0
_LIST_LAG_S = 10.0
_DEADLINE_S = 2.0


@attrs.frozen(kw_only=True)
class Measurement:
    """Results of one run.

    Attributes
    ----------
    calls
        Calls of the organisations that stay within their rate.
    refused_calls
        Those of them that were refused for the allowance or for lack of its owner.
    lost_calls
        Those of them that got no answer.
    worst_window
        Largest ratio of the tokens used to the tokens allowed in any window of time.
    """

    calls: int
    refused_calls: int
    lost_calls: int
    worst_window: float

    @property
    def refused_share(self) -> float:
        """Share of calls within their rate that were refused, from 0 to 1."""
        return self.refused_calls / self.calls if self.calls else 0.0


def main() -> None:
    """Run all cases and print a table in Markdown."""
    logs.configure("console", "error")
    print("| version | fault | calls inside their rate | refused | share | window |")
    print("|---|---|---|---|---|---|")
    for name, is_split in (("credits", False), ("static split", True)):
        for fault, kills_owner in (("none", False), ("home lost", True)):
            measurement = _run(is_split, kills_owner)
            print(
                f"| {name} | {fault} "
                f"| {measurement.calls} | {measurement.refused_calls} "
                f"| {measurement.refused_share:.2%} | {measurement.worst_window:.3f} |"
            )


def _run(is_split: bool, kills_owner: bool) -> Measurement:
    patch = pytest.MonkeyPatch()
    if is_split:
        patch.setattr(AllowanceManager, "charge", _static_charge)
        patch.setattr(AllowanceManager, "settle", lambda *_: None)
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_scenario(kills_owner))
    finally:
        loop.close()
        patch.undo()


async def _static_charge(
    self: AllowanceManager, account: str, tokens: float, deadline: float
) -> Any:
    """Charge a bucket of this instance alone, with a sixth of the rate and burst."""
    del deadline
    limits = self._get_limits(account)
    buckets = self.__dict__.setdefault("static_buckets", {})
    now = self._clock.now()
    if limits is None:
        refusal = Refusal(code=result_codes.KEY_REFUSED, detail="")
        return Failure(refusal)
    if account not in buckets:
        instance_count = len(_INSTANCES)
        buckets[account] = Bucket(
            rate=limits.rate / instance_count,
            burst=limits.burst / instance_count,
            credit_s=1,
            now=now,
        )
    bucket = buckets[account]
    grant, granted = bucket.grant(wanted=tokens, minimum=tokens, now=now)
    if not grant:
        refusal = Refusal(code=result_codes.ALLOWANCE_EXCEEDED, detail="")
        return Failure(refusal)
    bucket.record_spent(grant, granted, now)
    return Success(
        Reservation(
            owner=self._instance_id, portions=(Portion(grant=grant, tokens=granted),)
        )
    )


async def _scenario(kills_owner: bool) -> Measurement:
    generator = random.Random(SEED)
    world = SimulatedCluster(_INSTANCES)
    await world.start()
    if kills_owner:
        victim = world.owner_of("allowance/organisation/north", excluding="")
        world.run_later(_KILL_AT_S, lambda: world.kill(victim))
        world.run_later(
            _KILL_AT_S + _LIST_LAG_S, lambda: world.remove_from_lists(victim)
        )
    first_call = len(world.calls)
    senders = [
        _send(world, generator, "north", _NORMAL_RATE_SHARE, is_skewed=True),
        _send(world, generator, "south", _NORMAL_RATE_SHARE, is_skewed=True),
        _send(world, generator, "tiny", _EXCESS_RATE_FACTOR, is_skewed=False),
    ]
    await asyncio.gather(*senders)
    await asyncio.sleep(_DEADLINE_S + 1)
    calls_within_rate = [
        c for c in world.calls[first_call:] if c.organisation != "tiny"
    ]
    codes = (result_codes.ALLOWANCE_EXCEEDED, result_codes.HOME_UNAVAILABLE)
    measurement = Measurement(
        calls=len(calls_within_rate),
        refused_calls=sum(call.code in codes for call in calls_within_rate),
        lost_calls=sum(call.connection_lost for call in calls_within_rate),
        worst_window=_worst_window(world),
    )
    await world.close()
    return measurement


async def _send(
    world: SimulatedCluster,
    generator: random.Random,
    name: str,
    rate_share: float,
    *,
    is_skewed: bool,
) -> None:
    calls_per_s = world.organisations[name].rate * rate_share / BULK_CALL_TOKENS
    started_at = world.now()
    while world.now() < started_at + _RUN_S:
        await asyncio.sleep(generator.expovariate(calls_per_s))
        # The load balancer sends no calls to an instance that was killed.
        live = [node.name for node in world.live_instances]
        preferred = live[
            int((world.now() - started_at) / _PREFERENCE_PERIOD_S) % len(live)
        ]
        node = generator.choice(live)
        if is_skewed and generator.random() < _PREFERRED_SHARE:
            node = preferred
        world.send_idempotent_call(node, name, path="/bulk", deadline_s=_DEADLINE_S)


def _worst_window(world: SimulatedCluster) -> float:
    return max(
        used / allowed
        for organisation in world.organisations.values()
        for _, used, allowed in allowance_windows(world, organisation)
    )


if __name__ == "__main__":
    main()
