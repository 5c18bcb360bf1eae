"""Switches that disable one mechanism each, to show that the matrix detects it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

import attrs
import pytest
from returns.result import Success

from chiveslip import auth
from chiveslip.allowance import account
from chiveslip.allowance.account import Portion
from chiveslip.allowance.account import Reservation
from chiveslip.auth import Caller
from chiveslip.configuration.model import EndpointList
from chiveslip.configuration.model import State
from chiveslip.configuration.store import ConfigurationStore
from chiveslip.dispatch import connection
from chiveslip.dispatch import service_calls
from chiveslip.dispatch.admission import Admission
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.dispatch.engine_calls import EngineCall
from chiveslip.dispatch.engine_stream import StreamRelay
from chiveslip.dispatch.response_limits import ResponseTimer
from chiveslip.dispatch.service_calls import ServiceCall
from chiveslip.dispatch.suspects import CrashSuspects
from chiveslip.engines import placement
from chiveslip.engines.scheduler import EngineScheduler
from chiveslip.fleet.ownership import Ownership
from chiveslip.generated import result_codes
from chiveslip.idempotency import decision
from chiveslip.idempotency.decision import Granted
from chiveslip.platform import store
from chiveslip.services.protocol import PlainHttpProtocol
from testing.simulation import endpoints

Patch = pytest.MonkeyPatch


def no_self_fence(patch: Patch) -> None:
    """Let an instance act as owner without a confirmed view."""

    def check_lease(self: Ownership, now: float) -> bool:
        if self._lease_since is None:
            self._lease_since = now - 1000
            self._term = 1
        return True

    patch.setattr(Ownership, "check_lease", check_lease)


def no_hold_off(patch: Patch) -> None:
    """Let a new owner act without the hold-off delay."""

    def check_ownership(self: Ownership, key: str, now: float) -> bool:
        return self.check_lease(now) and self.owner_of(key) == self._instance_id

    patch.setattr(Ownership, "check_ownership", check_ownership)


def resend_allowed(patch: Patch) -> None:
    """Resend a call that the endpoint may have received."""
    original = ServiceCall._attempt

    async def attempt(self: ServiceCall, endpoint: Any, *, fresh: bool) -> Any:
        try:
            return await original(self, endpoint, fresh=fresh)
        except ExchangeInterruptedError as error:
            raise service_calls._NotSentError(str(error)) from error

    patch.setattr(ServiceCall, "_attempt", attempt)


def no_record(patch: Patch) -> None:
    """Grant every claim on an at-most-once call."""
    patch.setattr(decision, "decide_claim", lambda _answers, _sets: Success(Granted()))


def reserve_off(patch: Patch) -> None:
    """Charge calls to an allowance without credit."""

    def charge(self: account.Account, tokens: float, now: float) -> Reservation:
        del now
        return Reservation(
            owner=self._owner, portions=(Portion(grant=0, tokens=tokens),)
        )

    patch.setattr(account.Account, "charge", charge)


def revert_allowed(patch: Patch) -> None:
    """Accept a configuration with a lower revision than the active one."""
    patch.setattr(
        ConfigurationStore, "decide_without_parts", lambda _self, _manifest: None
    )


def unload_without_count(patch: Patch) -> None:
    """Unload an adapter without checking that no call uses it."""
    patch.setattr(EngineScheduler, "_is_idle", lambda _self, _adapter: True)


def withdrawal_ignored(patch: Patch) -> None:
    """Accept calls with a withdrawn key."""

    def find_caller(key_hash: str, configuration: Any) -> Any:
        organisation, key = configuration.keys[key_hash]
        caller = Caller(organisation=organisation, key_id=key.id, key_hash=key_hash)
        return Success(caller)

    patch.setattr(auth, "find_caller", find_caller)


def no_drain(patch: Patch) -> None:
    """Do not wait for running calls on a planned stop."""

    async def wait_until_drained(_self: Admission, _timeout_s: float) -> bool:
        return True

    patch.setattr(Admission, "wait_until_drained", wait_until_drained)


def leaving_ignored(patch: Patch) -> None:
    """Send calls to endpoints that are leaving: at the choice and before sending."""

    def all_live(endpoints: EndpointList) -> EndpointList:
        live = {
            name: attrs.evolve(entry, state=State.LIVE)
            for name, entry in endpoints.endpoints.items()
        }
        return EndpointList(revision=endpoints.revision, endpoints=live)

    live_service_endpoints = EndpointList.live_service_endpoints
    accepts_calls = EndpointList.accepts_calls
    rank_engines = placement.rank_engines
    patch.setattr(
        EndpointList,
        "accepts_calls",
        lambda self, chosen: accepts_calls(all_live(self), chosen),
    )
    patch.setattr(
        EndpointList,
        "live_service_endpoints",
        lambda self, service: live_service_endpoints(all_live(self), service),
    )
    patch.setattr(
        placement,
        "rank_engines",
        lambda adapter, base_model, endpoints, avoid=(): rank_engines(
            adapter, base_model, all_live(endpoints), avoid
        ),
    )


def end_marker_ignored(patch: Patch) -> None:
    """Treat a stream without an end marker as complete."""
    original = StreamRelay.relay

    async def relay(self: StreamRelay, exchange: Any, max_idle_s: float) -> None:
        try:
            await original(self, exchange, max_idle_s)
        except ExchangeInterruptedError:
            self._done = True

    patch.setattr(StreamRelay, "relay", relay)


def resume_from_start(patch: Patch) -> None:
    """Resume a stream from its start without checking event numbers."""
    patch.setattr(StreamRelay, "last_number", property(lambda _self: 0))
    original = StreamRelay._accept_event

    def is_next(self: StreamRelay, event: Any) -> bool:
        self._last_number = (event.number or 1) - 1
        return original(self, event)

    patch.setattr(StreamRelay, "_accept_event", is_next)


def not_run_unproved(patch: Patch) -> None:
    """Report an interrupted call as not run."""
    patch.setattr(result_codes, "ENDPOINT_FAILED", result_codes.NO_ENDPOINT)
    patch.setattr(result_codes, "OUTCOME_UNKNOWN", result_codes.NO_ENDPOINT)


def suspects_forgotten(patch: Patch) -> None:
    """Do not block requests that crashed engines before."""
    patch.setattr(CrashSuspects, "blocked_for_s", lambda *_: 0.0)


def echo_ignored(patch: Patch) -> None:
    """Return an answer to the caller without checking that it is for this call."""
    patch.setattr(EngineCall, "_check_echo", lambda *_: None)
    patch.setattr(PlainHttpProtocol, "is_answer_to", lambda *_: True)


def any_end_accepted(patch: Patch) -> None:
    """Treat a body as complete however its connection ended."""
    patch.setattr(connection, "find_document_fault", lambda *_: None)
    patch.setattr(endpoints, "find_body_fault", lambda _end: None)


def bound_per_piece(patch: Patch) -> None:
    """Start the time of a response anew with each piece."""

    def remaining_s(self: ResponseTimer, max_wait_s: float = math.inf) -> float:
        if not hasattr(self, "whole_s"):
            now = asyncio.get_running_loop().time()
            self.whole_s = max(self._expires_at - now, 0.0)
        return min(self.whole_s, max_wait_s)

    patch.setattr(ResponseTimer, "remaining_s", remaining_s)


def eras_ignored(patch: Patch) -> None:
    """Take every answer of the store for one of era 0."""
    patch.setattr(store, "_read_era", lambda _head: 0)


SWITCHES: dict[str, Callable[[Patch], None]] = {
    "no-self-fence": no_self_fence,
    "no-hold-off": no_hold_off,
    "resend-allowed": resend_allowed,
    "no-record": no_record,
    "reserve-off": reserve_off,
    "revert-allowed": revert_allowed,
    "unload-without-count": unload_without_count,
    "withdrawal-ignored": withdrawal_ignored,
    "no-drain": no_drain,
    "leaving-ignored": leaving_ignored,
    "end-marker-ignored": end_marker_ignored,
    "resume-from-start": resume_from_start,
    "not-run-unproved": not_run_unproved,
    "suspects-forgotten": suspects_forgotten,
    "echo-ignored": echo_ignored,
    "any-end-accepted": any_end_accepted,
    "bound-per-piece": bound_per_piece,
}

STORE_SWITCHES: dict[str, Callable[[Patch], None]] = {"eras-ignored": eras_ignored}
"""Switches for the path with the key-value store."""
