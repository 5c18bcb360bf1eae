"""The faults of the matrix: how each is brought about, and how it ends."""

from __future__ import annotations

import abc
from typing import final

from testing.world.platform import PLATFORM
from testing.world.world import World

TARGET = "a"
OTHER = "b"
FAULT_S = 6.0


class Fault(abc.ABC):
    """A fault that can be brought about at any moment."""

    @abc.abstractmethod
    def begin(self, world: World) -> None:
        """Bring the fault about."""

    def end(self, world: World) -> None:
        """End the fault, where it does not end by itself."""
        del world


@final
class EndpointCrash(Fault):
    """An engine and a service die with all that they run, and come back empty."""

    def begin(self, world: World) -> None:
        """Kill one engine and one service."""
        world.engines[0].crash()
        world.services[0].crash()


@final
class ColdRestart(Fault):
    """All engines restart at once with nothing loaded."""

    def begin(self, world: World) -> None:
        """Restart the engines."""
        for engine in world.engines:
            engine.cold_restart()


@final
class LoadFailure(Fault):
    """The next loads fail."""

    def begin(self, world: World) -> None:
        """Make loads fail."""
        for engine in world.engines:
            engine.failing_loads = 2

    def end(self, world: World) -> None:
        """Let loads succeed."""
        for engine in world.engines:
            engine.failing_loads = 0


@final
class KeyWithdrawn(Fault):
    """The key of a caller with running calls is withdrawn."""

    def begin(self, world: World) -> None:
        """Withdraw the key."""
        world.withdraw("south")


@final
class ConfigurationDown(Fault):
    """The configuration service answers nobody."""

    def begin(self, world: World) -> None:
        """Take the service down."""
        world.platform.down = True

    def end(self, world: World) -> None:
        """Bring it back."""
        world.platform.down = False
        world.platform.readable_since = world.now()


@final
class ConfigurationStale(Fault):
    """The service gives old values to most readers while new ones are published."""

    def begin(self, world: World) -> None:
        """Freeze the service for all but one reader, and publish."""
        world.platform.freeze(but={OTHER})
        world.publish()
        world.publish_lists()

    def end(self, world: World) -> None:
        """Let the service give what is published."""
        world.platform.thaw()


@final
class OwnPause(Fault):
    """The instance that serves the call freezes, believing what it knew."""

    def begin(self, world: World) -> None:
        """Freeze it."""
        _pause(world, TARGET)

    def end(self, world: World) -> None:
        """Let it go on."""
        world.links.resume(TARGET)


@final
class PeerPause(Fault):
    """Another instance freezes."""

    def begin(self, world: World) -> None:
        """Freeze it."""
        _pause(world, OTHER)

    def end(self, world: World) -> None:
        """Let it go on."""
        world.links.resume(OTHER)


@final
class EntryPartition(Fault):
    """Half of the instances cannot reach the other half."""

    def begin(self, world: World) -> None:
        """Part them."""
        half = len(world.names) // 2
        for one in world.names[:half]:
            for other in world.names[half:]:
                world.links.cut(one, other)

    def end(self, world: World) -> None:
        """Join them."""
        world.links.heal()


@final
class EndpointPartition(Fault):
    """The instance that serves the call cannot reach one engine and service."""

    def begin(self, world: World) -> None:
        """Part them."""
        world.links.cut(TARGET, world.engines[0].name)
        world.links.cut(TARGET, world.services[0].name)

    def end(self, world: World) -> None:
        """Join them."""
        world.links.heal()


@final
class PoisonRequest(Fault):
    """A request that crashes each engine that runs it, sent again and again."""

    def begin(self, world: World) -> None:
        """Send it through two instances, and again a while later."""
        for wait_s in (0.0, 1.0, 2.0, 3.0, 4.5, 6.0, 7.5, 9.0, 10.5):
            world.run_later(wait_s, lambda: self._send(world))

    def _send(self, world: World) -> None:
        for node in (TARGET, OTHER):
            if world.nodes[node].alive:
                world.poisons.append(
                    world.complete(
                        node, "north", "north-notes", prompt="poison", max_tokens=10
                    )
                )


@final
class SilentConnection(Fault):
    """Open connections to endpoints go silent for good; new ones work."""

    def begin(self, world: World) -> None:
        """Silence what is open now."""
        for endpoint in world.endpoints:
            world.links.silence(TARGET, endpoint.name)
        # What was open has gone silent once a byte was due; new ones are sound.
        world.run_later(0.3, world.links.end_silence)


@final
class HomeLost(Fault):
    """An instance dies with all that it is home of, and is dropped from the list."""

    def begin(self, world: World) -> None:
        """Kill it."""
        victim = world.home_of("allowance/organisation/north", not_=TARGET)
        world.kill(victim)
        world.run_later(1.0, lambda: world.unlist(victim))


@final
class ListLagging(Fault):
    """An instance dies, and the list goes on showing it for a long time."""

    def begin(self, world: World) -> None:
        """Kill it."""
        victim = world.home_of("allowance/organisation/north", not_=TARGET)
        world.kill(victim)
        world.run_later(10.0, lambda: world.unlist(victim))


@final
class ServiceLost(Fault):
    """The instance that serves the call cannot reach the platform."""

    def begin(self, world: World) -> None:
        """Part them."""
        world.links.cut(TARGET, PLATFORM)

    def end(self, world: World) -> None:
        """Join them."""
        world.links.heal()


@final
class CrossedAnswer(Fault):
    """Endpoints answer for another call than they were asked."""

    def begin(self, world: World) -> None:
        """Cross the next answers."""
        for endpoint in world.endpoints:
            endpoint.crossing = 2

    def end(self, world: World) -> None:
        """Let answers be their own."""
        for endpoint in world.endpoints:
            endpoint.crossing = 0


@final
class EndpointLeaving(Fault):
    """An engine and a service are leaving."""

    def begin(self, world: World) -> None:
        """Publish that they leave."""
        world.leave(world.engines[0].name)
        world.leave(world.services[0].name)


@final
class SplitView(Fault):
    """A home is dropped from the list, and is the only one not to hear of it.

    It is parted from all others, and the service gives it the old list.
    """

    def begin(self, world: World) -> None:
        """Part the home and publish a list without it."""
        home = world.home_of("allowance/organisation/tiny", not_="")
        others = {name for name in world.names if name != home}
        for other in others:
            world.links.cut(home, other)
        world.platform.freeze(but=others)
        world.unlist(home)
        # The parted home has callers enough to spend all that it may grant.
        for number in range(16):
            world.run_later(0.1 * number, lambda: self._flood(world, home))

    def end(self, world: World) -> None:
        """Join them and let the service give what is published."""
        world.links.heal()
        world.platform.thaw()

    def _flood(self, world: World, home: str) -> None:
        for _ in range(2):
            world.poll(home, "tiny", path="/bulk", deadline_s=1.0)


def _pause(world: World, name: str) -> None:
    world.was_paused.add(name)
    world.links.pause(name)


FAULTS: dict[str, type[Fault]] = {
    "endpoint-crash": EndpointCrash,
    "cold-restart": ColdRestart,
    "load-failure": LoadFailure,
    "key-withdrawn": KeyWithdrawn,
    "configuration-down": ConfigurationDown,
    "configuration-stale": ConfigurationStale,
    "own-pause": OwnPause,
    "peer-pause": PeerPause,
    "entry-partition": EntryPartition,
    "endpoint-partition": EndpointPartition,
    "poison-request": PoisonRequest,
    "silent-connection": SilentConnection,
    "home-lost": HomeLost,
    "list-lagging": ListLagging,
    "platform-partition": ServiceLost,
    "crossed-answer": CrossedAnswer,
    "endpoint-leaving": EndpointLeaving,
    "split-view": SplitView,
}
