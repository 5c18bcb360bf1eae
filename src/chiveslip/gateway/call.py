"""State of one admitted request."""

from __future__ import annotations

import asyncio

import attrs

from chiveslip.gateway.endpoint_statements import Incarnation
from chiveslip.gateway.engine_view import KnownLoad
from chiveslip.gateway.event_pauses import EventPauses
from chiveslip.gateway.ingress import IngressRequest
from chiveslip.gateway.protocol import RequestMetadata
from chiveslip.gateway.regions import AllowedRegions
from chiveslip.gateway.regions import intersect
from chiveslip.gateway.reply import Reply
from chiveslip.gateway.routing import Organisation
from chiveslip.gateway.routing import Route
from chiveslip.gateway.routing import RoutingTable
from chiveslip.settings.fields import Address


@attrs.define(kw_only=True)
class AttemptTimes:
    """When an attempt chose its endpoint and when it sent the request.

    Attributes
    ----------
    chosen_at
        Local time in seconds at which the endpoint was chosen.
    sent_at
        Local time in seconds at which the request was sent, or None if it was not.
    progressed_at
        Local time in seconds at which the answer went on after its first part, or
        None if it did not.
    pauses
        Where the arrivals of the answer's events are recorded, or None.
    """

    chosen_at: float
    sent_at: float | None = None
    progressed_at: float | None = None
    pauses: EventPauses | None = None


@attrs.frozen(kw_only=True)
class PromptEstimate:
    """What an engine was expected to keep of a prompt when an attempt chose it.

    Attributes
    ----------
    tokens, cached_tokens
        Length of the prompt, and how much of it the engine was expected to keep.
    kept_parts, missing_parts
        Parts of the prompt that the engine was expected to keep, and the others.
    kept_age_s
        Age in seconds of this instance's own evidence, or None if the order of the
        engines was the only source.
    """

    tokens: float
    cached_tokens: float
    kept_parts: int
    missing_parts: int
    kept_age_s: float | None


@attrs.frozen(kw_only=True)
class EngineEstimate:
    """What an engine was expected to do when an attempt chose it.

    Attributes
    ----------
    first_event_s
        Estimated time in seconds from the choice to the first event.
    known_load
        Load of the engine as it was known at the choice.
    speed
        Speed of the engine that was assumed; 1 is the median of its service.
    prompt
        What it was expected to keep, or None if that had no influence.
    """

    first_event_s: float
    known_load: KnownLoad
    speed: float = 1.0
    prompt: PromptEstimate | None = None


@attrs.define(kw_only=True)
class LoadWait:
    """Wait of a request for a load of its adapter that it asked a coordinator for.

    Attributes
    ----------
    started_at, ended_at
        Local times in seconds; the end is None while the answer is pending.
    outcome
        Outcome of the load request; empty while the answer is pending.
    """

    engine: str
    started_at: float
    ended_at: float | None = None
    outcome: str = ""


@attrs.frozen(kw_only=True)
class CrashTraits:
    """What a request may have in common with others that crash endpoints.

    Attributes
    ----------
    fingerprint
        Hash of the organisation, method, host, target, model, shared parts and body;
        the same for repeats of a request.
    parts
        Hashes of the parts of its prompt that other requests share.
    organisation
        Hash of the name of its organisation.
    is_trial
        Whether it is sent to find out whether blocked parts still crash endpoints.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()
    organisation: str = ""
    is_trial: bool = False


@attrs.frozen(kw_only=True)
class SendGrant:
    """A request that may be sent to an endpoint with a limit.

    Attributes
    ----------
    expires_at
        Local time in seconds until which it may be sent.
    is_cold
        Whether the endpoint is cold, so that the grant is not kept for longer.
    """

    incarnation: Incarnation
    expires_at: float
    is_cold: bool = False


@attrs.define(kw_only=True, eq=False)
class Call:
    """A request that was admitted.

    Attributes
    ----------
    deadline
        Local time in seconds at which the final answer is due.
    units
        Units charged to the organisation's allowance.
    traits
        By what it is suspected of crashing endpoints.
    is_for_engine
        Whether its service runs models.
    was_sent
        Whether a byte of the request may have reached an endpoint, unless the
        endpoint says that it did not run the request.
    attempts
        Attempts so far.
    runs
        Attempts that may have run the request.
    attempted_endpoints
        Ids of the endpoints of all attempts, in order.
    sent_addresses
        Addresses to which it was sent.
    retryable_endpoint
        Attempted endpoint that was not ready yet and may be asked once more, or
        empty.
    attempt_results
        Results of all attempts, in order.
    handover_results
        Results of all attempts through peers that took it, in order.
    answer_ends
        How the answers of endpoints ended, in order, as text for the log.
    attempt_times
        Times of all attempts, in order.
    engine_estimates
        Estimates of all attempts at engines, in order.
    load_waits
        Waits for coordinators that were asked to load the adapter, in order.
    estimate_s
        Estimated time in seconds until the first event, or None if not estimated.
    load_wait_s
        Time in seconds that the request waited for its adapter.
    first_event_at
        Local time in seconds of the answer's first part, or None before.
    received_by
        Instance that received it from its caller, or empty if this one did.
    regions_of_receiver
        Regions that this instance allows it, as it knows, or None for all.
    forwarded_to
        Instance to which it was handed over last, or empty.
    is_taken_by_no_peer
        Whether the peers that were asked have declined it, so that none is asked again.
    send_grant
        Grant for the endpoint chosen last, until the request is sent, or None.
    crash_check
        Check whether the last endpoint crashed, or None if none was started.
    """

    request: IngressRequest
    reply: Reply
    metadata: RequestMetadata
    table: RoutingTable
    route: Route
    organisation: Organisation | None
    service: str
    arrived_at: float
    deadline: float
    units: float
    traits: CrashTraits
    is_for_engine: bool = False
    was_sent: bool = False
    attempts: int = 0
    runs: int = 0
    attempted_endpoints: list[str] = attrs.field(factory=list)
    sent_addresses: set[Address] = attrs.field(factory=set)
    retryable_endpoint: str = ""
    attempt_results: list[str] = attrs.field(factory=list)
    handover_results: list[str] = attrs.field(factory=list)
    answer_ends: list[str] = attrs.field(factory=list)
    attempt_times: list[AttemptTimes] = attrs.field(factory=list)
    engine_estimates: list[EngineEstimate] = attrs.field(factory=list)
    load_waits: list[LoadWait] = attrs.field(factory=list)
    estimate_s: float | None = None
    load_wait_s: float = 0.0
    first_event_at: float | None = None
    received_by: str = ""
    regions_of_receiver: AllowedRegions = None
    forwarded_to: str = ""
    is_taken_by_no_peer: bool = False
    send_grant: SendGrant | None = None
    crash_check: asyncio.Task[None] | None = None

    @property
    def adapter(self) -> str:
        """MODEL/NAME of the adapter that it needs, or empty."""
        if not self.metadata.adapter:
            return ""
        return f"{self.metadata.model}/{self.metadata.adapter}"

    @property
    def allowed_regions(self) -> AllowedRegions:
        """Regions whose endpoints it may be sent to, or None for all.

        Those of its route and of its organisation both bind, and those that the
        instance knows that received it.
        """
        own = None if self.organisation is None else self.organisation.allowed_regions
        return intersect(self.route.allowed_regions, own, self.regions_of_receiver)

    @property
    def first_event_deadline(self) -> float:
        """Local time in seconds at which a caller without an event disconnects."""
        return min(self.arrived_at + self.route.max_first_event_wait_s, self.deadline)

    @property
    def max_runs(self) -> int:
        """Maximum number of attempts of this instance that may have run the request.

        The instance that handed a request over repeats it itself.
        """
        return 1 if self.received_by else self.route.max_runs

    @property
    def priority(self) -> int:
        """Priority of the organisation if it has one, else of the route."""
        own = self.organisation.priority if self.organisation is not None else None
        return self.route.priority if own is None else own
