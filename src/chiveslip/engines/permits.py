"""The engines that this instance is home of, and permits from all homes."""

from __future__ import annotations

import asyncio
from typing import final

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from chiveslip import logs
from chiveslip.configuration.model import Endpoint
from chiveslip.configuration.model import EndpointKind
from chiveslip.engines.adapter import AdapterVersion
from chiveslip.engines.fair_queue import Waiter
from chiveslip.engines.scheduler import EngineScheduler
from chiveslip.engines.task import EngineTask
from chiveslip.engines.task import EngineTools
from chiveslip.engines.task import engine_limits
from chiveslip.fleet.channels import PeerError
from chiveslip.fleet.fleet import Fleet
from chiveslip.fleet.peers import Peers
from chiveslip.generated import peer_pb2 as wire
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.tasks import TaskSet

_RECONCILE_S = 0.1


@attrs.frozen(kw_only=True)
class AcquiredPermit:
    """A permit as the instance sees it that sends the call."""

    engine: Endpoint
    home: str
    number: int
    incarnation: str
    waited_s: float


@attrs.define
class _Kept:
    task: EngineTask
    term: int


@final
class EnginePermits:
    """Starts and stops the tasks of engines as ownership comes and goes."""

    def __init__(
        self,
        *,
        instance_id: str,
        fleet: Fleet,
        peers: Peers,
        tools: EngineTools,
        queue: int,
    ) -> None:
        self._instance_id = instance_id
        self._fleet = fleet
        self._peers = peers
        self._tools = tools
        self._queue = queue
        self._kept: dict[str, _Kept] = {}
        self._tasks = TaskSet("engines")
        self._log = logs.get_logger("engines")

    @property
    def schedulers(self) -> dict[str, EngineScheduler]:
        """The decisions of each engine that is at home here."""
        return {name: kept.task.home for name, kept in self._kept.items()}

    def start(self) -> None:
        """Start to follow ownership."""
        self._tasks.start(self._follow())

    async def close(self) -> None:
        """Stop all tasks."""
        await self._tasks.close()
        for kept in list(self._kept.values()):
            await kept.task.close()
        self._kept.clear()

    async def acquire(
        self, engine: Endpoint, waiter: Waiter
    ) -> Result[AcquiredPermit, Refusal]:
        """Ask the engine's home for a permit, waiting up to the deadline."""
        home = self._fleet.ownership.home(home_key(engine.id))
        if home is None:
            return Failure(_unavailable(engine.id, "no instance is in the list"))
        if home == self._instance_id:
            return await self._acquire_here(engine, waiter)
        return await self._acquire_there(engine, home, waiter)

    def end(self, permit: AcquiredPermit, *, abandoned: bool) -> None:
        """Give a permit back; an abandoned call may still run at the engine."""
        if permit.home == self._instance_id:
            self._end_here(permit.engine.id, permit.number, abandoned)
            return
        message = wire.PermitEnd(
            instance=self._instance_id,
            endpoint=permit.engine.id,
            permit=permit.number,
            abandoned=abandoned,
        )
        self._tasks.start(self._end_there(permit.home, message))

    async def answer_permit(self, request: wire.PermitRequest) -> wire.PermitReply:
        """Answer another instance as home of the engine."""
        now = self._tools.clock.now()
        waiter = Waiter(
            request=request.request,
            organisation=request.organisation,
            instance=request.instance,
            adapter=AdapterVersion(request.adapter, request.version),
            priority=request.priority,
            weight=request.weight or 1.0,
            tokens=request.tokens,
            arrived_at=now,
            deadline=now + request.deadline_seconds,
        )
        kept = self._held(request.endpoint)
        if kept is None:
            refusal = _unavailable(request.endpoint, "not at home here")
            return _refused(refusal)
        result = await kept.task.permit(waiter)
        if isinstance(result, Failure):
            return _refused(result.failure())
        permit = result.unwrap()
        return wire.PermitReply(
            code=result_codes.OK.code,
            permit=permit.number,
            engine_incarnation=permit.incarnation,
            waited_for_load_seconds=permit.waited_for_load_s,
        )

    def answer_end(self, request: wire.PermitEnd) -> None:
        """Take back a permit, or a request for one that nobody waits for."""
        if request.permit:
            self._end_here(request.endpoint, request.permit, request.abandoned)
            return
        kept = self._kept.get(request.endpoint)
        if kept is not None:
            kept.task.leave(request.request)

    async def _acquire_here(
        self, engine: Endpoint, waiter: Waiter
    ) -> Result[AcquiredPermit, Refusal]:
        kept = self._held(engine.id)
        if kept is None:
            return Failure(_unavailable(engine.id, "this instance may not act yet"))
        result = await kept.task.permit(waiter)
        return result.map(
            lambda permit: AcquiredPermit(
                engine=engine,
                home=self._instance_id,
                number=permit.number,
                incarnation=permit.incarnation,
                waited_s=permit.waited_for_load_s,
            )
        )

    async def _acquire_there(
        self, engine: Endpoint, home: str, waiter: Waiter
    ) -> Result[AcquiredPermit, Refusal]:
        left_s = waiter.deadline - self._tools.clock.now()
        request = wire.PermitRequest(
            instance=self._instance_id,
            endpoint=engine.id,
            adapter=waiter.adapter.adapter,
            version=waiter.adapter.version,
            organisation=waiter.organisation,
            priority=waiter.priority,
            weight=waiter.weight,
            tokens=waiter.tokens,
            deadline_seconds=left_s,
            request=waiter.request,
            view_revision=self._fleet.ownership.view.revision,
        )
        answered = False
        try:
            reply = await self._peers.permit(home, request, max(left_s, 0.0))
            answered = True
        except PeerError as error:
            return Failure(_unavailable(engine.id, str(error)))
        finally:
            if not answered:
                self._withdraw(home, engine.id, waiter.request)
        if reply.code != result_codes.OK.code:
            return Failure(_read_refusal(reply, engine.id))
        return Success(
            AcquiredPermit(
                engine=engine,
                home=home,
                number=reply.permit,
                incarnation=reply.engine_incarnation,
                waited_s=reply.waited_for_load_seconds,
            )
        )

    def _withdraw(self, home: str, engine: str, request: str) -> None:
        message = wire.PermitEnd(
            instance=self._instance_id, endpoint=engine, request=request
        )
        self._tasks.start(self._end_there(home, message))

    async def _end_there(self, home: str, message: wire.PermitEnd) -> None:
        try:
            await self._peers.end_permit(home, message)
        except PeerError as error:
            # The home ends the permit itself when the call's deadline has passed.
            self._log.warning("A permit could not be given back.", cause=str(error))

    def _end_here(self, engine: str, number: int, abandoned: bool) -> None:
        kept = self._kept.get(engine)
        if kept is not None:
            kept.task.end(number, abandoned=abandoned)

    def _held(self, engine: str) -> _Kept | None:
        kept = self._kept.get(engine)
        if kept is None or not self._may_act(engine, kept.term):
            return None
        return kept

    def _may_act(self, engine: str, term: int) -> bool:
        ownership = self._fleet.ownership
        now = self._tools.clock.now()
        return ownership.holds(home_key(engine), now) and ownership.term == term

    async def _follow(self) -> None:
        while True:
            await self._reconcile()
            await asyncio.sleep(_RECONCILE_S)

    async def _reconcile(self) -> None:
        engines = {
            e.id: e
            for e in self._fleet.endpoints.endpoints.values()
            if e.kind is EndpointKind.ENGINE
        }
        for name, kept in list(self._kept.items()):
            if name in engines and self._may_act(name, kept.term):
                kept.task.home.configure(engine_limits(engines[name], self._queue))
                continue
            del self._kept[name]
            self._log.info("An engine is at home here no more.", engine=name)
            await kept.task.close()
        now = self._tools.clock.now()
        for name, endpoint in engines.items():
            held = self._fleet.ownership.holds(home_key(name), now)
            if held and name not in self._kept:
                self._begin(endpoint)

    def _begin(self, endpoint: Endpoint) -> None:
        ownership = self._fleet.ownership
        revision = ownership.view.revision
        home = EngineScheduler(
            endpoint.id,
            engine_limits(endpoint, self._queue),
            revision,
            self._tools.clock.now(),
        )
        term = ownership.term
        task = EngineTask(
            endpoint=endpoint,
            home=home,
            tools=self._tools,
            may_act=lambda: self._may_act(endpoint.id, term),
            revision=revision,
        )
        self._kept[endpoint.id] = _Kept(task, term)
        self._log.info("An engine is at home here.", engine=endpoint.id)
        task.start()


def home_key(engine: str) -> str:
    """Return the key whose home decides for `engine`."""
    return f"engine/{engine}"


def _unavailable(engine: str, cause: str) -> Refusal:
    detail = f"The home of {engine} does not decide now: {cause}."
    return Refusal(code=result_codes.HOME_UNAVAILABLE, detail=detail)


def _refused(refusal: Refusal) -> wire.PermitReply:
    return wire.PermitReply(
        code=refusal.code.code, wait_seconds=refusal.come_back_after_s or 0.0
    )


def _read_refusal(reply: wire.PermitReply, engine: str) -> Refusal:
    code = result_codes.BY_CODE.get(reply.code, result_codes.NO_ENDPOINT)
    return Refusal(
        code=code,
        detail=f"{engine}: {code.meaning}",
        retry_after_s=reply.wait_seconds or None,
    )
