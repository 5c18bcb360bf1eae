"""Keeps requests that are suspected of crashing endpoints from further ones.

A request is suspected as a whole, by its fingerprint, and by the parts of its prompt
that other requests share.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

import attrs

from chiveslip.clock import Clock
from chiveslip.dispatch.part_suspects import PartSuspects
from chiveslip.dispatch.part_suspects import hash_organisation
from chiveslip.dispatch.suspects import CrashedEndpoint
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.gateway.call import Call
from chiveslip.gateway.call import CrashTraits
from chiveslip.gateway.crash_detection import CrashDetector
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.telemetry import RequestTelemetry
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.tasks import TaskSet

# Advised to callers of a blocked part, at the least: a trial takes this long.
_MIN_RETRY_AFTER_S = 1.0
# A process that crashed refuses connections sooner; a longer check is of an endpoint
# that cannot be reached.
_MAX_CHECK_WAIT_S = 0.2


@final
class CrashGuard:
    """Decides whether a request may be sent, and records what endpoints did with it.

    Parameters
    ----------
    may_try
        Returns whether this instance makes the trials of a part, given by its hash.
    """

    def __init__(
        self,
        *,
        requests: CrashSuspects,
        parts: PartSuspects,
        detector: CrashDetector,
        may_try: Callable[[str], bool],
        telemetry: RequestTelemetry,
        clock: Clock,
    ) -> None:
        self._requests = requests
        self._parts = parts
        self._detector = detector
        self._may_try = may_try
        self._telemetry = telemetry
        self._clock = clock
        self._tasks = TaskSet("crash guard")

    def find_refusal(self, traits: CrashTraits) -> Refusal | None:
        """Return the refusal of a request that must not be sent, or None."""
        now = self._clock.now()
        blocked_s = self._requests.blocked_for_s(traits.fingerprint, now)
        if blocked_s > 0:
            return Refusal(
                code=result_codes.CRASH_SUSPECT,
                detail="Endpoints crashed while they ran this request.",
                retry_after_s=blocked_s,
            )
        blocked = self._parts.find_blocked(traits.parts, traits.organisation)
        if not blocked or traits.is_trial:
            return None
        return Refusal(
            code=result_codes.CRASH_SUSPECT,
            detail=f"Endpoints crashed while they ran requests with the prompt part "
            f"{' or '.join(blocked)} (hash).",
            retry_after_s=max(
                self._parts.next_trial(blocked, now).in_s, _MIN_RETRY_AFTER_S
            ),
        )

    def admit(self, traits: CrashTraits) -> CrashTraits | Refusal:
        """Return the traits of a request that may be sent, or its refusal.

        A request with blocked parts may be admitted as a trial.
        """
        refusal = self.find_refusal(traits)
        if refusal is None:
            return traits
        trial = attrs.evolve(traits, is_trial=True)
        if self.find_refusal(trial) is None and self._begin_trial(trial):
            return trial
        return refusal

    def _begin_trial(self, traits: CrashTraits) -> bool:
        """Return whether a trial may be made now, and record it.

        Of the whole fleet, the coordinator of the trial's first part decides this.
        """
        now = self._clock.now()
        blocked = self._parts.find_blocked(traits.parts, traits.organisation)
        if not blocked:
            return False
        trial = self._parts.next_trial(blocked, now)
        if trial.in_s > 0 or not self._may_try(trial.parts[0]):
            return False
        self._parts.record_trial(trial.parts, now)
        self._telemetry.record_part_trial(blocked)
        return True

    def record_progress(self, call: Call) -> None:
        """Record that an answer to the request has gone on."""
        self._parts.record_progress(call.traits.parts, self._clock.now())

    def record_answered(self, call: Call) -> None:
        """Record that the request was answered completely."""
        self.record_progress(call)
        self._requests.clear(call.traits.fingerprint, self._clock.now())

    def record_interrupted(self, call: Call, endpoint: ListedEndpoint) -> None:
        """Check whether the endpoint crashed, after it broke off the request."""
        call.crash_check = self._tasks.start(
            self._check(
                call.traits,
                endpoint,
                is_engine=call.is_for_engine,
                has_progressed=call.attempt_times[-1].progressed_at is not None,
            )
        )

    async def may_repeat(self, call: Call) -> bool:
        """Return whether the request may be sent to a further endpoint.

        A request of which a part is suspected is not: its caller may send it again.
        """
        if call.traits.is_trial:
            return False
        is_proven = self._parts.are_proven(call.traits.parts)
        if call.crash_check is not None and not is_proven:
            await asyncio.wait([call.crash_check], timeout=_MAX_CHECK_WAIT_S)
        return self.find_refusal(call.traits) is None and not self._parts.is_suspect(
            call.traits.parts
        )

    def count_blocked(self) -> int:
        """Return the number of blocked parts."""
        return len(self._parts.blocked_parts)

    async def join(self) -> None:
        """Wait until all checks have ended."""
        await self._tasks.join()
        await self._detector.join()

    async def _check(
        self,
        traits: CrashTraits,
        endpoint: ListedEndpoint,
        *,
        is_engine: bool,
        has_progressed: bool,
    ) -> None:
        if not await self._detector.has_crashed(endpoint, is_engine=is_engine):
            return
        now = self._clock.now()
        crashed = CrashedEndpoint(endpoint.id, str(endpoint.started))
        self._requests.record_crash(traits.fingerprint, crashed, now)
        suspected = () if has_progressed else traits.parts
        blocked_before = self._parts.blocked_parts
        self._parts.record_crash(suspected, traits.organisation, str(crashed), now)
        self._telemetry.record_crash_suspect(traits.fingerprint, endpoint.id, suspected)
        newly_blocked = self._parts.blocked_parts - blocked_before
        if newly_blocked:
            self._telemetry.record_blocked_parts(sorted(newly_blocked))


def make_traits(
    fingerprint: str, parts: tuple[str, ...], organisation: str
) -> CrashTraits:
    """Return the traits of a request.

    Parameters
    ----------
    parts
        Hashes of the parts of its prompt.
    organisation
        Name of its organisation, or empty.
    """
    return CrashTraits(
        fingerprint=fingerprint,
        parts=parts,
        organisation=hash_organisation(organisation),
    )
