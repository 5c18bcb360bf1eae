"""One simulated instance: the real components between fake interfaces."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import final

import attrs

from chiveslip.clock import Clock
from chiveslip.daemon.instance import make_ownership
from chiveslip.daemon.node import Node
from chiveslip.daemon.node import NodeDependencies
from chiveslip.dispatch.outcome import Step
from chiveslip.dispatch.outcome import Trace
from chiveslip.dispatch.pipeline import CallPipeline
from chiveslip.dispatch.pipeline import Request
from chiveslip.dispatch.reply import CallerDisconnectedError
from chiveslip.dispatch.reply import Reply
from chiveslip.fleet.service import PeerService
from chiveslip.generated import result_codes
from chiveslip.generated.settings import Settings
from chiveslip.results import Refusal
from chiveslip.results import ResultCode
from testing.simulation.endpoints import FakeConnector
from testing.simulation.endpoints import FakeEndpoint
from testing.simulation.network import SimulatedNetwork
from testing.simulation.peers import FakePeers
from testing.simulation.platform import FakePlatform
from testing.simulation.platform import FakeSource

_MID_STREAM_CHUNK_COUNT = 4
StepHook = Callable[[str, Step], None]


@final
class LoopClock(Clock):
    """The clock of the event loop, which is virtual in tests."""

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_event_loop_policy().get_event_loop().time()


@attrs.define(kw_only=True)
class CallRecord:
    """A call and the answer that its caller received.

    Attributes
    ----------
    kind
        One of "stream", "completion", "idempotent" and "at-most-once".
    code
        Result, or None while the call runs or if it was never started.
    is_complete
        Whether the end of the answer reached the caller.
    connection_lost
        Whether the call failed because its instance was dead, died or stopped.
    charged_tokens
        Tokens that the call used of the allowance.
    charged_at
        Time at which the allowance was charged, or None.
    """

    id: str
    instance: str
    organisation: str
    key: str
    kind: str
    model: str
    idempotency_key: str
    started_at: float
    deadline_s: float
    ended_at: float | None = None
    code: ResultCode | None = None
    refusal: Refusal | None = None
    head: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_complete: bool = False
    connection_lost: bool = False
    charged_at: float | None = None
    charged_tokens: float = 0.0


class _HookedTrace(Trace):
    """A trace that calls a hook at each step."""

    def attach(self, record: CallRecord, on_step: StepHook) -> None:
        self._record = record
        self._on_step = on_step

    def add_step(self, now: float, step: Step, text: str) -> None:
        super().add_step(now, step, text)
        if step is Step.ALLOW:
            self._record.charged_at = now
        self._on_step(self._record.instance, step)


@final
class _RecordingReply(Reply):
    """A reply that records what the caller receives."""

    def __init__(
        self, record: CallRecord, network: SimulatedNetwork, on_step: StepHook
    ) -> None:
        self._record = record
        self._network = network
        self._on_step = on_step
        self._chunks = 0

    @property
    def started(self) -> bool:
        """Whether a part of the body was sent to the caller."""
        return self._chunks > 0

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Record status and headers."""
        self._record.head = headers | {"status": str(status)}

    async def write(self, chunk: bytes) -> None:
        """Record a part of the body."""
        await self._network.wait_while_paused(self._record.instance)
        if self._network.is_dead(self._record.instance):
            raise CallerDisconnectedError("the instance died")
        self._chunks += 1
        if self._chunks == _MID_STREAM_CHUNK_COUNT:
            self._on_step(self._record.instance, Step.MID_STREAM)
        self._record.body += chunk

    async def finish(self) -> None:
        """Record the end of the answer."""
        await self._network.wait_while_paused(self._record.instance)
        self._on_step(self._record.instance, Step.REPLY)
        self._record.is_complete = True

    async def refuse(self, refusal: Refusal) -> None:
        """Record a refusal."""
        await self._network.wait_while_paused(self._record.instance)
        self._on_step(self._record.instance, Step.REPLY)
        self._record.refusal = refusal


@final
class SimulatedInstance:
    """An instance that can be paused, killed and restarted."""

    def __init__(
        self,
        settings: Settings,
        platform: FakePlatform,
        network: SimulatedNetwork,
        endpoints: list[FakeEndpoint],
        find_service: Callable[[str], PeerService | None],
        record_peer_message: Callable[[str, bytes], None],
        on_step: StepHook,
        process_number: int,
        write_transcript: Callable[[str], None],
    ) -> None:
        self.name = settings.instance.id
        self._settings = settings
        self._network = network
        self._on_step = on_step
        self._process_number = process_number
        self._calls: dict[asyncio.Task[None], None] = {}
        self.peers = FakePeers(
            self.name,
            network,
            find_service,
            record_peer_message,
            settings.fleet.peer_timeout,
            write_transcript,
        )
        dependencies = NodeDependencies(
            clock=LoopClock(),
            generator=random.Random(process_number),
            incarnation=f"{self.name}-{process_number}",
            source=FakeSource(platform, network, self.name),
            peers=self.peers,
            connector=FakeConnector(
                self.name, network, {e.address: e for e in endpoints}, write_transcript
            ),
        )
        self.node = Node(settings, dependencies, make_ownership(settings))
        self.service = PeerService(self.node.peer_parts)
        self.is_alive = True
        self.stopped = False
        self._joining: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the components and join the cluster."""
        self.node.start()
        self._joining = asyncio.get_running_loop().create_task(self.node.join())

    async def wait_until_joined(self) -> None:
        """Wait until the instance has joined."""
        if self._joining is not None:
            await self._joining

    async def kill(self) -> None:
        """Kill the process and cancel its running calls."""
        self.is_alive = False
        self._network.mark_dead(self.name)
        for task in list(self._calls):
            task.cancel()
        if self._joining is not None:
            self._joining.cancel()
        await self.node.close()

    async def stop(self) -> None:
        """Stop as planned, with a drain."""
        await self.node.drain(lambda: None)
        self.stopped = True
        self.is_alive = False
        # The process exits; calls that are still running are cancelled.
        for task in list(self._calls):
            task.cancel()
        await self.node.close()

    def start_call(self, record: CallRecord, request: Request) -> asyncio.Task[None]:
        """Start to serve a call."""
        task = asyncio.get_running_loop().create_task(self._serve(record, request))
        self._calls[task] = None
        task.add_done_callback(lambda done: self._finish_call_record(done, record))
        return task

    def _finish_call_record(self, task: asyncio.Task[None], record: CallRecord) -> None:
        self._calls.pop(task, None)
        if record.ended_at is None:
            # The task was cancelled before it started.
            record.connection_lost = True
            record.ended_at = self.node.pipeline.clock.now()

    async def _serve(self, record: CallRecord, request: Request) -> None:
        trace = _HookedTrace(request=request.id, started_at=request.arrived_at)
        trace.attach(record, self._on_step)
        reply = _RecordingReply(record, self._network, self._on_step)
        self.node.admission.begin_request()
        pipeline = CallPipeline(self.node.pipeline, request, reply, trace, lambda: None)
        try:
            await self._network.wait_while_paused(self.name)
            record.code = await pipeline.serve()
            record.charged_tokens = trace.tokens
        except (asyncio.CancelledError, CallerDisconnectedError):
            record.connection_lost = True
            record.code = result_codes.CALLER_GONE
            record.charged_tokens = trace.tokens
        finally:
            record.ended_at = self.node.pipeline.clock.now()
            self.node.admission.end_request()
