"""The gRPC service for other instances; dispatches each call to its component."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import final

import attrs
from grpclib.server import Stream

from chiveslip.allowance.manager import AllowanceManager
from chiveslip.configuration import documents
from chiveslip.configuration.updater import ConfigurationUpdater
from chiveslip.engines.permits import EnginePermits
from chiveslip.fleet.fleet import Fleet
from chiveslip.fleet.handover import HandOvers
from chiveslip.generated import peer_pb2 as wire
from chiveslip.generated.peer_grpc import PeerBase
from chiveslip.idempotency.claims import Claims
from chiveslip.idempotency.replication import RecordReplicator


@attrs.frozen(kw_only=True)
class PeerParts:
    """The components that answer calls of peers."""

    fleet: Fleet
    configuration_updater: ConfigurationUpdater
    allowances: AllowanceManager
    engine_permits: EnginePermits
    claims: Claims
    replicator: RecordReplicator
    hand_overs: HandOvers


@final
class PeerService(PeerBase):
    """The gRPC service for other instances."""

    def __init__(self, parts: PeerParts) -> None:
        self._parts = parts

    async def Confirm(  # noqa: N802
        self, stream: Stream[wire.ConfirmRequest, wire.ConfirmReply]
    ) -> None:
        """Answer a heartbeat."""
        await _answer(stream, self._parts.fleet.answer_confirm)

    async def Pull(  # noqa: N802
        self, stream: Stream[wire.PullRequest, wire.PullReply]
    ) -> None:
        """Answer a request for a published document."""
        await _answer(stream, self._pull)

    async def Credit(  # noqa: N802
        self, stream: Stream[wire.CreditRequest, wire.CreditReply]
    ) -> None:
        """Answer a request for credit."""
        await _answer(stream, self._parts.allowances.answer_credit_request)

    async def Permit(  # noqa: N802
        self, stream: Stream[wire.PermitRequest, wire.PermitReply]
    ) -> None:
        """Answer a request for a permit."""
        await _answer_async(stream, self._parts.engine_permits.answer_permit)

    async def EndPermit(  # noqa: N802
        self, stream: Stream[wire.PermitEnd, wire.Acknowledgement]
    ) -> None:
        """Accept a returned permit."""
        await _answer(stream, self._end_permit)

    async def Remember(  # noqa: N802
        self, stream: Stream[wire.RememberRequest, wire.RememberReply]
    ) -> None:
        """Answer a claim on an at-most-once call."""
        await _answer(stream, self._parts.claims.answer_remember)

    async def Finish(  # noqa: N802
        self, stream: Stream[wire.FinishRequest, wire.Acknowledgement]
    ) -> None:
        """Record the outcome of an at-most-once call."""
        await _answer(stream, self._finish)

    async def Copy(  # noqa: N802
        self, stream: Stream[wire.CopyRequest, wire.Acknowledgement]
    ) -> None:
        """Store copies of records."""
        await _answer(stream, self._copy)

    async def History(  # noqa: N802
        self, stream: Stream[wire.HistoryRequest, wire.HistoryReply]
    ) -> None:
        """Answer a request for recent views from an instance that joins."""
        await _answer(stream, lambda _request: self._parts.fleet.answer_history())

    async def HandOver(  # noqa: N802
        self, stream: Stream[wire.HandOverRequest, wire.Acknowledgement]
    ) -> None:
        """Accept buckets from their previous owner."""
        await _answer(stream, self._hand_over)

    def _pull(self, request: wire.PullRequest) -> wire.PullReply:
        if request.kind == documents.MANIFEST:
            return self._parts.configuration_updater.answer_pull(request)
        return wire.PullReply(document=self._parts.fleet.document(request.kind))

    def _end_permit(self, request: wire.PermitEnd) -> wire.Acknowledgement:
        self._parts.engine_permits.answer_end_permit(request)
        return wire.Acknowledgement(accepted=True)

    def _finish(self, request: wire.FinishRequest) -> wire.Acknowledgement:
        accepted = self._parts.claims.answer_finish(request)
        return wire.Acknowledgement(accepted=accepted)

    def _copy(self, request: wire.CopyRequest) -> wire.Acknowledgement:
        accepted = self._parts.replicator.receive_copies(request)
        return wire.Acknowledgement(accepted=accepted)

    def _hand_over(self, request: wire.HandOverRequest) -> wire.Acknowledgement:
        accepted = self._parts.hand_overs.answer_hand_over(request)
        return wire.Acknowledgement(accepted=accepted)


async def _answer(stream: Stream[Any, Any], answer: Callable[[Any], Any]) -> None:
    request = await stream.recv_message()
    if request is not None:
        await stream.send_message(answer(request))


async def _answer_async(
    stream: Stream[Any, Any], answer: Callable[[Any], Awaitable[Any]]
) -> None:
    request = await stream.recv_message()
    if request is not None:
        await stream.send_message(await answer(request))
