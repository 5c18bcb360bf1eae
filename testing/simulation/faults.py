"""The faults of the fault matrix: how each is injected and how it ends."""

from __future__ import annotations

import abc
from typing import final

from testing.simulation.cluster import SimulatedCluster
from testing.simulation.endpoints import ResponseFault
from testing.simulation.platform import PLATFORM_NAME

TARGET_INSTANCE = "a"
OTHER_INSTANCE = "b"
FAULT_DURATION_S = 6.0


class Fault(abc.ABC):
    """A fault that can be injected at any injection point."""

    @abc.abstractmethod
    def begin(self, cluster: SimulatedCluster) -> None:
        """Inject the fault."""

    def end(self, cluster: SimulatedCluster) -> None:
        """End the fault, unless it ends by itself."""
        del cluster


@final
class EndpointCrash(Fault):
    """An engine and a service crash during running calls and restart empty."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Crash one engine and one service."""
        cluster.engines[0].crash()
        cluster.services[0].crash()


@final
class ColdRestart(Fault):
    """All engines restart at the same time with no adapters loaded."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Restart the engines."""
        for engine in cluster.engines:
            engine.cold_restart()


@final
class LoadFailure(Fault):
    """The next adapter loads fail."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Make loads fail."""
        for engine in cluster.engines:
            engine.loads_to_fail = 2

    def end(self, cluster: SimulatedCluster) -> None:
        """Let loads succeed."""
        for engine in cluster.engines:
            engine.loads_to_fail = 0


@final
class KeyWithdrawn(Fault):
    """The API key of a caller with running calls is withdrawn."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Withdraw the key."""
        cluster.withdraw_key("south")


@final
class ConfigurationDown(Fault):
    """The configuration service answers no reader."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Take the service down."""
        cluster.platform.is_down = True

    def end(self, cluster: SimulatedCluster) -> None:
        """Bring the service back."""
        cluster.platform.is_down = False
        cluster.platform.readable_since = cluster.now()


@final
class ConfigurationStale(Fault):
    """The configuration service returns outdated documents to all readers but one."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Freeze the service for all but one reader, and publish."""
        cluster.platform.freeze(except_readers={OTHER_INSTANCE})
        cluster.publish_configuration()
        cluster.publish_lists()

    def end(self, cluster: SimulatedCluster) -> None:
        """Serve the newest documents to all readers."""
        cluster.platform.unfreeze()


@final
class ConfigurationReturned(Fault):
    """The configuration service returns from a copy half a second old.

    Lost are a withdrawn key and a leaving service, which are published again later.
    """

    def begin(self, cluster: SimulatedCluster) -> None:
        """Publish what is lost with the return of the service."""
        copy = cluster.platform.copy()
        cluster.withdraw_key("south")
        cluster.mark_leaving(cluster.services[0].name)
        cluster.run_later(0.5, lambda: cluster.platform.return_from_copy(copy))
        cluster.run_later(1.5, lambda: self._publish_again(cluster))

    def _publish_again(self, cluster: SimulatedCluster) -> None:
        cluster.publish_configuration()
        cluster.publish_lists()


@final
class OwnPause(Fault):
    """The instance that serves the call pauses, and resumes with stale state."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Pause the instance."""
        _pause(cluster, TARGET_INSTANCE)

    def end(self, cluster: SimulatedCluster) -> None:
        """Resume the instance."""
        cluster.network.resume(TARGET_INSTANCE)


@final
class PeerPause(Fault):
    """Another instance pauses."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Pause the instance."""
        _pause(cluster, OTHER_INSTANCE)

    def end(self, cluster: SimulatedCluster) -> None:
        """Resume the instance."""
        cluster.network.resume(OTHER_INSTANCE)


@final
class EntryPartition(Fault):
    """One half of the instances cannot reach the other half."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Partition the network."""
        half = len(cluster.instance_names) // 2
        for one in cluster.instance_names[:half]:
            for other in cluster.instance_names[half:]:
                cluster.network.partition(one, other)

    def end(self, cluster: SimulatedCluster) -> None:
        """Remove the partition."""
        cluster.network.heal_partitions()


@final
class EndpointPartition(Fault):
    """The instance that serves the call cannot reach one engine and one service."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Partition the network."""
        cluster.network.partition(TARGET_INSTANCE, cluster.engines[0].name)
        cluster.network.partition(TARGET_INSTANCE, cluster.services[0].name)

    def end(self, cluster: SimulatedCluster) -> None:
        """Remove the partition."""
        cluster.network.heal_partitions()


@final
class PoisonRequest(Fault):
    """A request that crashes every engine that runs it is sent repeatedly."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Send the request through two instances, several times."""
        for wait_s in (0.0, 1.0, 2.0, 3.0, 4.5, 6.0, 7.5, 9.0, 10.5):
            cluster.run_later(wait_s, lambda: self._send(cluster))

    def _send(self, cluster: SimulatedCluster) -> None:
        for instance in (TARGET_INSTANCE, OTHER_INSTANCE):
            if cluster.instances[instance].is_alive:
                cluster.poison_calls.append(
                    cluster.send_completion(
                        instance, "north", "north-notes", prompt="poison", max_tokens=10
                    )
                )


@final
class SilentConnection(Fault):
    """Open connections to endpoints stop delivering data for good; new ones work."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Silence the open connections."""
        for endpoint in cluster.endpoints:
            cluster.network.silence_open_connections(TARGET_INSTANCE, endpoint.name)
        # Open connections had data to deliver by now and stay silent; new ones work.
        cluster.run_later(0.3, cluster.network.end_silence)


@final
class OwnerLost(Fault):
    """An instance that owns an allowance dies and is soon removed from the list."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Kill the owner of an allowance."""
        victim = cluster.owner_of(
            "allowance/organisation/north", excluding=TARGET_INSTANCE
        )
        cluster.kill(victim)
        cluster.run_later(1.0, lambda: cluster.remove_from_lists(victim))


@final
class ListLagging(Fault):
    """An instance dies and is removed from the list only 10 s later."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Kill the owner of an allowance."""
        victim = cluster.owner_of(
            "allowance/organisation/north", excluding=TARGET_INSTANCE
        )
        cluster.kill(victim)
        cluster.run_later(10.0, lambda: cluster.remove_from_lists(victim))


@final
class PlatformPartition(Fault):
    """The instance that serves the call cannot reach the platform."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Partition the network."""
        cluster.network.partition(TARGET_INSTANCE, PLATFORM_NAME)

    def end(self, cluster: SimulatedCluster) -> None:
        """Remove the partition."""
        cluster.network.heal_partitions()


@final
class CrossedAnswer(Fault):
    """Endpoints return the answer of another call."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Mismatch the next answers of each endpoint."""
        for endpoint in cluster.endpoints:
            endpoint.mismatched_answers = 2

    def end(self, cluster: SimulatedCluster) -> None:
        """Let endpoints return the right answers."""
        for endpoint in cluster.endpoints:
            endpoint.mismatched_answers = 0


@final
class EndpointLeaving(Fault):
    """An engine and a service are published as leaving."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Publish them as leaving."""
        cluster.mark_leaving(cluster.engines[0].name)
        cluster.mark_leaving(cluster.services[0].name)


@final
class SplitView(Fault):
    """An owner is removed from the list and alone keeps reading the old list.

    It is partitioned from all other instances.
    """

    def begin(self, cluster: SimulatedCluster) -> None:
        """Partition the owner and publish a list without it."""
        owner = cluster.owner_of("allowance/organisation/tiny", excluding="")
        others = {name for name in cluster.instance_names if name != owner}
        for other in others:
            cluster.network.partition(owner, other)
        cluster.platform.freeze(except_readers=others)
        cluster.remove_from_lists(owner)
        # Its callers are numerous enough to spend all credit that it may grant.
        for number in range(16):
            cluster.run_later(0.1 * number, lambda: self._flood(cluster, owner))

    def end(self, cluster: SimulatedCluster) -> None:
        """Remove the partition and serve the newest documents to all readers."""
        cluster.network.heal_partitions()
        cluster.platform.unfreeze()

    def _flood(self, cluster: SimulatedCluster, owner: str) -> None:
        for _ in range(2):
            cluster.send_idempotent_call(owner, "tiny", path="/bulk", deadline_s=1.0)


@final
class ResponsesCut(Fault):
    """Responses have no length and are closed or reset at a random byte."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Cut the responses of all endpoints."""
        _set_response_fault(cluster, ResponseFault.CUT)

    def end(self, cluster: SimulatedCluster) -> None:
        """Let responses be whole."""
        _set_response_fault(cluster, None)


@final
class ResponsesEndless(Fault):
    """Responses have no length and go on with a byte now and then."""

    def begin(self, cluster: SimulatedCluster) -> None:
        """Let the responses of all endpoints go on."""
        _set_response_fault(cluster, ResponseFault.ENDLESS)

    def end(self, cluster: SimulatedCluster) -> None:
        """Let responses be whole."""
        _set_response_fault(cluster, None)


def _set_response_fault(cluster: SimulatedCluster, fault: ResponseFault | None) -> None:
    for endpoint in cluster.endpoints:
        endpoint.response_fault = fault


def _pause(cluster: SimulatedCluster, name: str) -> None:
    cluster.ever_paused.add(name)
    cluster.network.pause(name)


FAULTS: dict[str, type[Fault]] = {
    "endpoint-crash": EndpointCrash,
    "cold-restart": ColdRestart,
    "load-failure": LoadFailure,
    "key-withdrawn": KeyWithdrawn,
    "configuration-down": ConfigurationDown,
    "configuration-stale": ConfigurationStale,
    "configuration-returned": ConfigurationReturned,
    "own-pause": OwnPause,
    "peer-pause": PeerPause,
    "entry-partition": EntryPartition,
    "endpoint-partition": EndpointPartition,
    "poison-request": PoisonRequest,
    "silent-connection": SilentConnection,
    "home-lost": OwnerLost,
    "list-lagging": ListLagging,
    "platform-partition": PlatformPartition,
    "crossed-answer": CrossedAnswer,
    "endpoint-leaving": EndpointLeaving,
    "split-view": SplitView,
    "responses-cut": ResponsesCut,
    "responses-endless": ResponsesEndless,
}
