"""One instance of a world: the product's parts between fakes."""

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
from testing.world.endpoints import FakeConnector
from testing.world.endpoints import FakeEndpoint
from testing.world.links import Links
from testing.world.peers import FakePeers
from testing.world.platform import FakeSource
from testing.world.platform import Platform

_MIDDLE_OF_STREAM = 4
StepHook = Callable[[str, Step], None]


@final
class LoopClock(Clock):
    """The time of the event loop, which is virtual in tests."""

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_event_loop_policy().get_event_loop().time()


@attrs.define(kw_only=True)
class CallRecord:
    """A call and all that its caller saw of it.

    Attributes
    ----------
    code
        Result, or None while the call runs or when the connection was lost.
    charged_at
        Time at which the allowance was charged, or None.
    """

    id: str
    node: str
    organisation: str
    key: str
    kind: str
    model: str
    once_key: str
    started_at: float
    deadline_s: float
    ended_at: float | None = None
    code: ResultCode | None = None
    refusal: Refusal | None = None
    head: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    whole: bool = False
    lost: bool = False
    charged_at: float | None = None
    tokens: float = 0.0


class _HookedTrace(Trace):
    """A trace that tells the world of each step."""

    def attach(self, record: CallRecord, hook: StepHook) -> None:
        self._record = record
        self._hook = hook

    def add_step(self, now: float, step: Step, text: str) -> None:
        super().add_step(now, step, text)
        if step is Step.ALLOW:
            self._record.charged_at = now
        self._hook(self._record.node, step)


@final
class _Reply(Reply):
    """The caller's end of a call."""

    def __init__(self, record: CallRecord, links: Links, hook: StepHook) -> None:
        self._record = record
        self._links = links
        self._hook = hook
        self._chunks = 0

    @property
    def started(self) -> bool:
        """Whether a byte of an answer has gone to the caller."""
        return self._chunks > 0

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Take the head."""
        self._record.head = headers | {"status": str(status)}

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""
        await self._links.gate(self._record.node)
        if self._links.is_dead(self._record.node):
            raise CallerDisconnectedError("the instance died")
        self._chunks += 1
        if self._chunks == _MIDDLE_OF_STREAM:
            self._hook(self._record.node, Step.MID_STREAM)
        self._record.body += chunk

    async def finish(self) -> None:
        """Take the end."""
        await self._links.gate(self._record.node)
        self._hook(self._record.node, Step.REPLY)
        self._record.whole = True

    async def refuse(self, refusal: Refusal) -> None:
        """Take a refusal."""
        await self._links.gate(self._record.node)
        self._hook(self._record.node, Step.REPLY)
        self._record.refusal = refusal


@final
class WorldNode:
    """An instance that can be paused, killed and restarted."""

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        links: Links,
        endpoints: list[FakeEndpoint],
        service_of: Callable[[str], PeerService | None],
        record: Callable[[str, bytes], None],
        hook: StepHook,
        number: int,
        note: Callable[[str], None],
    ) -> None:
        self.name = settings.instance.id
        self._settings = settings
        self._links = links
        self._hook = hook
        self._number = number
        self._calls: dict[asyncio.Task[None], None] = {}
        self.peers = FakePeers(
            self.name,
            links,
            service_of,
            record,
            settings.fleet.peer_timeout,
            note,
        )
        dependencies = NodeDependencies(
            clock=LoopClock(),
            generator=random.Random(number),
            incarnation=f"{self.name}-{number}",
            source=FakeSource(platform, links, self.name),
            peers=self.peers,
            connector=FakeConnector(
                self.name, links, {e.address: e for e in endpoints}, note
            ),
        )
        self.node = Node(settings, dependencies, make_ownership(settings))
        self.service = PeerService(self.node.peer_parts)
        self.alive = True
        self.stopped = False
        self._joining: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the parts and join."""
        self.node.start()
        self._joining = asyncio.get_running_loop().create_task(self.node.join())

    async def joined(self) -> None:
        """Wait until the instance serves."""
        if self._joining is not None:
            await self._joining

    async def kill(self) -> None:
        """Die with everything that runs."""
        self.alive = False
        self._links.kill(self.name)
        for task in list(self._calls):
            task.cancel()
        if self._joining is not None:
            self._joining.cancel()
        await self.node.close()

    async def stop(self) -> None:
        """Stop as planned."""
        await self.node.drain(lambda: None)
        self.stopped = True
        self.alive = False
        # The process ends, with all that still runs.
        for task in list(self._calls):
            task.cancel()
        await self.node.close()

    def call(self, record: CallRecord, request: Request) -> asyncio.Task[None]:
        """Serve a call."""
        task = asyncio.get_running_loop().create_task(self._serve(record, request))
        self._calls[task] = None
        task.add_done_callback(lambda done: self._call_ended(done, record))
        return task

    def _call_ended(self, task: asyncio.Task[None], record: CallRecord) -> None:
        self._calls.pop(task, None)
        if record.ended_at is None:
            # Killed before it began.
            record.lost = True
            record.ended_at = self.node.pipeline.clock.now()

    async def _serve(self, record: CallRecord, request: Request) -> None:
        trace = _HookedTrace(request=request.id, started_at=request.arrived_at)
        trace.attach(record, self._hook)
        reply = _Reply(record, self._links, self._hook)
        self.node.admission.begin_request()
        pipeline = CallPipeline(self.node.pipeline, request, reply, trace, lambda: None)
        try:
            await self._links.gate(self.name)
            record.code = await pipeline.serve()
            record.tokens = trace.tokens
        except (asyncio.CancelledError, CallerDisconnectedError):
            record.lost = True
            record.code = result_codes.CALLER_GONE
            record.tokens = trace.tokens
        finally:
            record.ended_at = self.node.pipeline.clock.now()
            self.node.admission.end_request()
