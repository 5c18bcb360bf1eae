"""Permits for engines: requests to owners, and tasks for the engines owned here."""

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

_RECONCILE_INTERVAL_S = 0.1


@attrs.frozen(kw_only=True)
class AcquiredPermit:
    """A permit, as seen by the instance that sends the call.

    Attributes
    ----------
    owner
        Instance that granted the permit.
    waited_s
        Time in seconds that the call was queued at the owner.
    """

    engine: Endpoint
    owner: str
    number: int
    incarnation: str
    waited_s: float


@attrs.define
class _OwnedEngine:
    task: EngineTask
    term: int


@final
class EnginePermits:
    """Acquires permits from the owners of engines.

    Runs a task for each engine while this instance owns it, and answers the permit
    requests of other instances for these engines.

    Parameters
    ----------
    max_queue_length
        Maximum number of queued calls per engine.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        fleet: Fleet,
        peers: Peers,
        tools: EngineTools,
        max_queue_length: int,
    ) -> None:
        self._instance_id = instance_id
        self._fleet = fleet
        self._peers = peers
        self._tools = tools
        self._max_queue_length = max_queue_length
        self._owned: dict[str, _OwnedEngine] = {}
        self._tasks = TaskSet("engines")
        self._log = logs.get_logger("engines")

    @property
    def schedulers(self) -> dict[str, EngineScheduler]:
        """Schedulers of the engines that this instance owns, by engine id."""
        return {name: owned.task.scheduler for name, owned in self._owned.items()}

    def start(self) -> None:
        """Start to check periodically which engines this instance owns."""
        self._tasks.start_lasting("ownership of engines", self._follow_ownership)

    async def close(self) -> None:
        """Stop all tasks."""
        await self._tasks.close()
        for owned in list(self._owned.values()):
            await owned.task.close()
        self._owned.clear()

    async def acquire(
        self, engine: Endpoint, waiter: Waiter
    ) -> Result[AcquiredPermit, Refusal]:
        """Request a permit from the engine's owner and wait up to the deadline."""
        owner = self._fleet.ownership.owner_of(ownership_key(engine.id))
        if owner is None:
            return Failure(_owner_unavailable(engine.id, "no instance is in the list"))
        if owner == self._instance_id:
            return await self._acquire_local(engine, waiter)
        return await self._acquire_remote(engine, owner, waiter)

    def end(self, permit: AcquiredPermit, *, abandoned: bool) -> None:
        """Return a permit; an abandoned call may still be running at the engine."""
        if permit.owner == self._instance_id:
            self._end_local(permit.engine.id, permit.number, abandoned)
            return
        message = wire.PermitEnd(
            instance=self._instance_id,
            endpoint=permit.engine.id,
            permit=permit.number,
            abandoned=abandoned,
        )
        self._tasks.start(self._end_remote(permit.owner, message))

    async def answer_permit(self, request: wire.PermitRequest) -> wire.PermitReply:
        """Answer the permit request of another instance as the engine's owner."""
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
        owned = self._find_owned(request.endpoint)
        if owned is None:
            refusal = _owner_unavailable(
                request.endpoint, "the instance does not own it"
            )
            return _refusal_reply(refusal)
        result = await owned.task.acquire_permit(waiter)
        if isinstance(result, Failure):
            return _refusal_reply(result.failure())
        permit = result.unwrap()
        return wire.PermitReply(
            code=result_codes.OK.code,
            permit=permit.number,
            engine_incarnation=permit.incarnation,
            waited_for_load_seconds=permit.waited_s,
        )

    def answer_end_permit(self, request: wire.PermitEnd) -> None:
        """End a permit, or withdraw a request whose sender no longer waits."""
        if request.permit:
            self._end_local(request.endpoint, request.permit, request.abandoned)
            return
        owned = self._owned.get(request.endpoint)
        if owned is not None:
            owned.task.withdraw(request.request)

    async def _acquire_local(
        self, engine: Endpoint, waiter: Waiter
    ) -> Result[AcquiredPermit, Refusal]:
        owned = self._find_owned(engine.id)
        if owned is None:
            return Failure(
                _owner_unavailable(engine.id, "this instance does not own it yet")
            )
        result = await owned.task.acquire_permit(waiter)
        return result.map(
            lambda permit: AcquiredPermit(
                engine=engine,
                owner=self._instance_id,
                number=permit.number,
                incarnation=permit.incarnation,
                waited_s=permit.waited_s,
            )
        )

    async def _acquire_remote(
        self, engine: Endpoint, owner: str, waiter: Waiter
    ) -> Result[AcquiredPermit, Refusal]:
        remaining_s = waiter.deadline - self._tools.clock.now()
        request = wire.PermitRequest(
            instance=self._instance_id,
            endpoint=engine.id,
            adapter=waiter.adapter.adapter,
            version=waiter.adapter.version,
            organisation=waiter.organisation,
            priority=waiter.priority,
            weight=waiter.weight,
            tokens=waiter.tokens,
            deadline_seconds=remaining_s,
            request=waiter.request,
            view_revision=self._fleet.ownership.view.revision,
        )
        is_answered = False
        try:
            reply = await self._peers.permit(owner, request, max(remaining_s, 0.0))
            is_answered = True
        except PeerError as error:
            return Failure(_owner_unavailable(engine.id, str(error)))
        finally:
            if not is_answered:
                self._withdraw(owner, engine.id, waiter.request)
        if reply.code != result_codes.OK.code:
            return Failure(_parse_refusal(reply, engine.id))
        return Success(
            AcquiredPermit(
                engine=engine,
                owner=owner,
                number=reply.permit,
                incarnation=reply.engine_incarnation,
                waited_s=reply.waited_for_load_seconds,
            )
        )

    def _withdraw(self, owner: str, engine: str, request: str) -> None:
        message = wire.PermitEnd(
            instance=self._instance_id, endpoint=engine, request=request
        )
        self._tasks.start(self._end_remote(owner, message))

    async def _end_remote(self, owner: str, message: wire.PermitEnd) -> None:
        try:
            await self._peers.end_permit(owner, message)
        except PeerError as error:
            # The owner expires the permit after the call's deadline.
            self._log.warning("Returning a permit failed.", cause=str(error))

    def _end_local(self, engine: str, number: int, abandoned: bool) -> None:
        owned = self._owned.get(engine)
        if owned is not None:
            owned.task.end_permit(number, abandoned=abandoned)

    def _find_owned(self, engine: str) -> _OwnedEngine | None:
        owned = self._owned.get(engine)
        if owned is None or not self._is_owner(engine, owned.term):
            return None
        return owned

    def _is_owner(self, engine: str, term: int) -> bool:
        ownership = self._fleet.ownership
        now = self._tools.clock.now()
        return (
            ownership.check_ownership(ownership_key(engine), now)
            and ownership.term == term
        )

    def _may_order(self, engine: Endpoint, term: int) -> bool:
        """Return whether this instance may send an order to an engine right now."""
        listed = self._fleet.endpoints.endpoints.get(engine.id)
        is_listed = listed is not None and listed.address == engine.address
        return is_listed and self._is_owner(engine.id, term)

    async def _follow_ownership(self) -> None:
        while True:
            await self._reconcile()
            await asyncio.sleep(_RECONCILE_INTERVAL_S)

    async def _reconcile(self) -> None:
        engines = {
            e.id: e
            for e in self._fleet.endpoints.endpoints.values()
            if e.kind is EndpointKind.ENGINE
        }
        for name, owned in list(self._owned.items()):
            if name in engines and self._is_owner(name, owned.term):
                owned.task.scheduler.update_limits(
                    engine_limits(engines[name], self._max_queue_length)
                )
                continue
            del self._owned[name]
            self._log.info("Engine is no longer owned by this instance.", engine=name)
            await owned.task.close()
        now = self._tools.clock.now()
        for name, endpoint in engines.items():
            is_owner = self._fleet.ownership.check_ownership(ownership_key(name), now)
            if is_owner and name not in self._owned:
                self._start_task(endpoint)

    def _start_task(self, endpoint: Endpoint) -> None:
        ownership = self._fleet.ownership
        revision = ownership.view.revision
        scheduler = EngineScheduler(
            endpoint.id,
            engine_limits(endpoint, self._max_queue_length),
            revision,
            self._tools.clock.now(),
        )
        term = ownership.term
        task = EngineTask(
            endpoint=endpoint,
            scheduler=scheduler,
            tools=self._tools,
            may_order=lambda: self._may_order(endpoint, term),
            revision=revision,
        )
        self._owned[endpoint.id] = _OwnedEngine(task, term)
        self._log.info("Engine is owned by this instance.", engine=endpoint.id)
        task.start()


def ownership_key(engine: str) -> str:
    """Return the key whose owner schedules the calls of `engine`."""
    return f"engine/{engine}"


def _owner_unavailable(engine: str, cause: str) -> Refusal:
    detail = f"The owner of {engine} is unavailable: {cause}."
    return Refusal(code=result_codes.HOME_UNAVAILABLE, detail=detail)


def _refusal_reply(refusal: Refusal) -> wire.PermitReply:
    return wire.PermitReply(
        code=refusal.code.code, wait_seconds=refusal.advised_retry_after_s or 0.0
    )


def _parse_refusal(reply: wire.PermitReply, engine: str) -> Refusal:
    code = result_codes.BY_CODE.get(reply.code, result_codes.NO_ENDPOINT)
    return Refusal(
        code=code,
        detail=f"{engine}: {code.meaning}",
        retry_after_s=reply.wait_seconds or None,
    )
