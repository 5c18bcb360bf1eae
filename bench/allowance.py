"""Wrongful refusals and worst window of allowances, against a static split.

Run ``python -m bench.allowance``. Six instances in virtual time; two organisations
send 80% of their rate, nine tenths of it to one instance that changes every 5 s;
a third sends five times its rate everywhere. With ``home lost`` the home of the first
organisation's allowance dies at 20 s and the list drops it 10 s later.
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
_NAMES = ("a", "b", "c", "d", "e", "f")
_RUN_S = 60.0
_MOVES_S = 5.0
_SKEW = 0.9
_SHARE_OF_RATE = 0.8
_TIMES_OF_RATE = 5.0
_KILLED_AT_S = 20.0
_LIST_LAG_S = 10.0
_DEADLINE_S = 2.0


@attrs.frozen(kw_only=True)
class Figures:
    """What one run showed; shares from 0 to 1."""

    calls: int
    refused: int
    lost: int
    worst_window: float

    @property
    def refused_share(self) -> float:
        """Share of calls inside their rate that were refused."""
        return self.refused / self.calls if self.calls else 0.0


def main() -> None:
    """Measure and print the table."""
    logs.configure("console", "error")
    print("| version | fault | calls inside their rate | refused | share | window |")
    print("|---|---|---|---|---|---|")
    for name, split in (("credits", False), ("static split", True)):
        for fault, killed in (("none", False), ("home lost", True)):
            figures = _run(split, killed)
            print(
                f"| {name} | {fault} | {figures.calls} | {figures.refused} "
                f"| {figures.refused_share:.2%} | {figures.worst_window:.3f} |"
            )


def _run(split: bool, killed: bool) -> Figures:
    patch = pytest.MonkeyPatch()
    if split:
        patch.setattr(AllowanceManager, "charge", _static_charge)
        patch.setattr(AllowanceManager, "settle", lambda *_: None)
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_scenario(killed))
    finally:
        loop.close()
        patch.undo()


async def _static_charge(
    self: AllowanceManager, account: str, tokens: float, deadline: float
) -> Any:
    """Charge a sixth of rate and burst, kept by each instance alone."""
    del deadline
    limits = self._get_limits(account)
    buckets = self.__dict__.setdefault("split", {})
    now = self._clock.now()
    if limits is None:
        refusal = Refusal(code=result_codes.KEY_REFUSED, detail="")
        return Failure(refusal)
    if account not in buckets:
        share = len(_NAMES)
        buckets[account] = Bucket(
            rate=limits.rate / share, burst=limits.burst / share, credit_s=1, now=now
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


async def _scenario(killed: bool) -> Figures:
    generator = random.Random(SEED)
    world = SimulatedCluster(_NAMES)
    await world.start()
    if killed:
        victim = world.owner_of("allowance/organisation/north", excluding="")
        world.run_later(_KILLED_AT_S, lambda: world.kill(victim))
        world.run_later(
            _KILLED_AT_S + _LIST_LAG_S, lambda: world.remove_from_lists(victim)
        )
    first = len(world.calls)
    senders = [
        _send(world, generator, "north", _SHARE_OF_RATE, skewed=True),
        _send(world, generator, "south", _SHARE_OF_RATE, skewed=True),
        _send(world, generator, "tiny", _TIMES_OF_RATE, skewed=False),
    ]
    await asyncio.gather(*senders)
    await asyncio.sleep(_DEADLINE_S + 1)
    inside = [c for c in world.calls[first:] if c.organisation != "tiny"]
    codes = (result_codes.ALLOWANCE_EXCEEDED, result_codes.HOME_UNAVAILABLE)
    figures = Figures(
        calls=len(inside),
        refused=sum(call.code in codes for call in inside),
        lost=sum(call.connection_lost for call in inside),
        worst_window=_worst_window(world),
    )
    await world.close()
    return figures


async def _send(
    world: SimulatedCluster,
    generator: random.Random,
    name: str,
    share: float,
    *,
    skewed: bool,
) -> None:
    per_s = world.organisations[name].rate * share / BULK_CALL_TOKENS
    began = world.now()
    while world.now() < began + _RUN_S:
        await asyncio.sleep(generator.expovariate(per_s))
        # The balancer sends nothing to a dead instance.
        live = [node.name for node in world.live_instances]
        favourite = live[int((world.now() - began) / _MOVES_S) % len(live)]
        node = generator.choice(live)
        if skewed and generator.random() < _SKEW:
            node = favourite
        world.send_idempotent_call(node, name, path="/bulk", deadline_s=_DEADLINE_S)


def _worst_window(world: SimulatedCluster) -> float:
    return max(
        used / allowed
        for organisation in world.organisations.values()
        for _, used, allowed in allowance_windows(world, organisation)
    )


if __name__ == "__main__":
    main()
