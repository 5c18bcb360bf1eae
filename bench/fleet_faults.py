"""Faults of engines, and of the knowledge about them, in the simulated fleet."""

from __future__ import annotations

import abc
import asyncio
from typing import TYPE_CHECKING
from typing import final

import attrs

from bench.simulated_engine import SimulatedEngine

if TYPE_CHECKING:
    from bench.simulated_fleet import SimulatedFleet


@attrs.frozen(kw_only=True)
class Fault(abc.ABC):
    """A fault; times in seconds since the traffic began.

    Attributes
    ----------
    share
        Share of the engines that have the fault.
    """

    at_s: float
    duration_s: float
    share: float

    @abc.abstractmethod
    async def run(self, fleet: SimulatedFleet, engines: list[str]) -> None:
        """Inject the fault at `engines`, and end it after its duration."""


@final
@attrs.frozen(kw_only=True)
class WithoutQuorum(Fault):
    """The coordinators of engines have no quorum: nobody reports, nobody loads."""

    async def run(self, fleet: SimulatedFleet, engines: list[str]) -> None:
        """Take the quorum from the engines' coordinators."""
        instances = [fleet.coordinator_of(engine) for engine in engines]
        for instance in instances:
            instance.has_quorum = False
        await fleet.sleep(self.duration_s)
        for instance in instances:
            instance.has_quorum = True


@final
@attrs.frozen(kw_only=True)
class InstancesWithoutPeers(Fault):
    """A share of the instances considers most others dead, and has no quorum.

    Attributes
    ----------
    lost_share
        Share of all instances that each of them considers dead.
    """

    lost_share: float

    async def run(self, fleet: SimulatedFleet, engines: list[str]) -> None:
        """Let instances, not engines, lose their peers."""
        instances = fleet.draw_instances(self.share)
        for instance in instances:
            live = {i.name for i in fleet.draw_instances(1 - self.lost_share)}
            instance.live_instances = sorted(live | {instance.name})
            instance.has_quorum = False
        await fleet.sleep(self.duration_s)
        for instance in instances:
            instance.live_instances = fleet.instance_names
            instance.has_quorum = True


@final
@attrs.frozen(kw_only=True)
class UnreadableReports(Fault):
    """The reports of engines cannot be read, although the engines work."""

    async def run(self, fleet: SimulatedFleet, engines: list[str]) -> None:
        """Let reading the reports fail."""
        for engine in engines:
            fleet.engine(engine).reports_fail = True
        await fleet.sleep(self.duration_s)
        for engine in engines:
            fleet.engine(engine).reports_fail = False


@final
@attrs.frozen(kw_only=True)
class UndeliveredReports(Fault):
    """Reports of engines do not reach a part of the instances.

    Attributes
    ----------
    instance_share
        Share of the instances that the reports do not reach.
    """

    instance_share: float

    async def run(self, fleet: SimulatedFleet, engines: list[str]) -> None:
        """Withhold the reports."""
        instances = fleet.draw_instances(self.instance_share)
        for instance in instances:
            instance.withheld_engines.update(engines)
        await fleet.sleep(self.duration_s)
        for instance in instances:
            instance.withheld_engines.difference_update(engines)


@final
@attrs.frozen(kw_only=True)
class InstancesWithoutStore(Fault):
    """A share of the instances learns from peers only which engines are listed."""

    async def run(self, fleet: SimulatedFleet, engines: list[str]) -> None:
        """Keep instances, not engines, from reading the store."""
        instances = fleet.draw_instances(self.share)
        for instance in instances:
            instance.reads_store = False
        await fleet.sleep(self.duration_s)
        for instance in instances:
            instance.reads_store = True


@final
@attrs.frozen(kw_only=True)
class DarkEngines(Fault):
    """Engines accept and answer nothing, then restart empty."""

    async def run(self, fleet: SimulatedFleet, engines: list[str]) -> None:
        """Stop the engines' work, and restart them."""
        for engine in engines:
            fleet.engine(engine).go_dark()
        await fleet.sleep(self.duration_s)
        for engine in engines:
            fleet.restart(engine)


@final
@attrs.frozen(kw_only=True)
class CrashingEngines(Fault):
    """Engines reset their connections and refuse new ones, then restart empty."""

    async def run(self, fleet: SimulatedFleet, engines: list[str]) -> None:
        """Crash the engines, and restart them."""
        for engine in engines:
            fleet.engine(engine).crash()
        await fleet.sleep(self.duration_s)
        for engine in engines:
            fleet.restart(engine)


@final
@attrs.frozen(kw_only=True)
class FlappingEngines(Fault):
    """Engines go down and up by turns.

    Attributes
    ----------
    interval_s
        Time that an engine is down, and then up.
    """

    interval_s: float

    async def run(self, fleet: SimulatedFleet, engines: list[str]) -> None:
        """Crash and restart the engines by turns."""
        ends_at = fleet.now() + self.duration_s
        while fleet.now() < ends_at:
            for engine in engines:
                fleet.engine(engine).crash()
            await fleet.sleep(self.interval_s)
            for engine in engines:
                fleet.restart(engine)
            await fleet.sleep(self.interval_s)


@final
@attrs.frozen(kw_only=True)
class SlowEngines(Fault):
    """Engines take longer for each step; their reports look like the others'."""

    factor: float

    async def run(self, fleet: SimulatedFleet, engines: list[str]) -> None:
        """Slow the engines down."""
        slowed: list[SimulatedEngine] = [fleet.engine(engine) for engine in engines]
        for engine in slowed:
            engine.slowdown = self.factor
        await fleet.sleep(self.duration_s)
        for engine in slowed:
            engine.slowdown = 1.0


@final
@attrs.frozen(kw_only=True)
class SlowSpells(Fault):
    """Engines take longer for each step in short spells.

    Attributes
    ----------
    spell_s
        Length of a spell.
    interval_s
        Mean time from the begin of a spell to that of the next one.
    """

    factor: float
    spell_s: float
    interval_s: float

    async def run(self, fleet: SimulatedFleet, engines: list[str]) -> None:
        """Let the engines have their spells, each at times of its own."""
        async with asyncio.TaskGroup() as spells:
            for engine in engines:
                spells.create_task(self._repeat(fleet, engine))

    async def _repeat(self, fleet: SimulatedFleet, engine: str) -> None:
        ends_at = fleet.now() + self.duration_s
        while fleet.now() < ends_at:
            await fleet.sleep(2 * fleet.random.random() * self._pause_s)
            fleet.engine(engine).slowdown = self.factor
            await fleet.sleep(self.spell_s)
            fleet.engine(engine).slowdown = 1.0

    @property
    def _pause_s(self) -> float:
        return self.interval_s - self.spell_s


@final
@attrs.frozen(kw_only=True)
class ResettingEngines(Fault):
    """Engines reset a part of their requests while their reports look sound.

    Attributes
    ----------
    request_share
        Share of the requests whose connection is reset.
    """

    request_share: float

    async def run(self, fleet: SimulatedFleet, engines: list[str]) -> None:
        """Let the engines reset requests."""
        faulty = [fleet.engine(engine) for engine in engines]
        for engine in faulty:
            engine.reset_share = self.request_share
        await fleet.sleep(self.duration_s)
        for engine in faulty:
            engine.reset_share = 0.0
