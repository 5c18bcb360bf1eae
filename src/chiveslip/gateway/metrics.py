"""Prometheus metrics of a gateway.

docs/operators/METRICS.md explains the meaning and unit of each metric, and what to do
about unusual values.
"""

from __future__ import annotations

from typing import final

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.gateway.caller_budget import Stage

# Bucket bounds around the latency objectives of streams and of short calls.
_LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0)
_SHORT_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8)


@final
class GatewayMetrics:
    """Metrics of one gateway, in a registry of their own."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        registry = self._registry
        self.answers = Counter(
            "chiveslip_answers",
            "Answers by route, status and result code; code 0 is an endpoint's own.",
            ("route", "status", "code"),
            registry=registry,
        )
        self.answer_time = Histogram(
            "chiveslip_answer_seconds",
            "Time from a request's arrival to the end of its answer.",
            ("route",),
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.first_event = Histogram(
            "chiveslip_first_event_seconds",
            "Time from a request's arrival to the first part of its answer.",
            ("route",),
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "chiveslip_tries",
            "Tries at endpoints by service and result.",
            ("service", "result"),
            registry=registry,
        )
        self.answer_ends = Counter(
            "chiveslip_answer_ends",
            "Answers of endpoints by framing, what ended them, and position in a "
            "stream.",
            ("framing", "ending", "position"),
            registry=registry,
        )
        self.held_bytes = Gauge(
            "chiveslip_held_bytes",
            "Bytes of messages that are kept until they are complete, by kind.",
            ("kind",),
            registry=registry,
        )
        self.given_up_messages = Counter(
            "chiveslip_given_up_messages",
            "Messages that were given up, as the process held too many bytes, by kind.",
            ("kind",),
            registry=registry,
        )
        self.caller_connections = Gauge(
            "chiveslip_caller_connections",
            "Callers' connections by what they are doing.",
            ("stage",),
            registry=registry,
        )
        self.given_up_callers = Counter(
            "chiveslip_given_up_callers",
            "Callers that were refused or whose connections were closed, by kind.",
            ("kind",),
            registry=registry,
        )
        self.handovers = Counter(
            "chiveslip_handovers",
            "Requests handed over to peers for want of a path, by service and result.",
            ("service", "result"),
            registry=registry,
        )
        self.cut_services = Gauge(
            "chiveslip_cut_services",
            "Services to whose endpoints this instance has lost its paths.",
            registry=registry,
        )
        self.brittle_services = Gauge(
            "chiveslip_brittle_services",
            "Services whose endpoints fail if they refuse too much.",
            registry=registry,
        )
        self.forwarded_requests = Gauge(
            "chiveslip_forwarded_requests",
            "Requests of other instances that are being answered.",
            registry=registry,
        )
        self.allowance_decisions = Counter(
            "chiveslip_allowance_decisions",
            "Decisions on allowances by what they were made from, and result.",
            ("source", "result"),
            registry=registry,
        )
        self.use_notices = Counter(
            "chiveslip_use_notices",
            "Notices of the adapters in use to coordinators of engines, by result.",
            ("result",),
            registry=registry,
        )
        self.slot_wait = Histogram(
            "chiveslip_adapter_slot_wait_seconds",
            "Time that loads waited for an adapter slot, by outcome.",
            ("outcome",),
            buckets=_SHORT_BUCKETS_S,
            registry=registry,
        )
        self.waiting_loads = Gauge(
            "chiveslip_waiting_loads",
            "Loads that wait here for an adapter slot, by priority.",
            ("priority",),
            registry=registry,
        )
        self.free_adapter_slots = Gauge(
            "chiveslip_free_adapter_slots",
            "Adapter slots that are free or could be freed, by coordinated engine.",
            ("engine",),
            registry=registry,
        )
        self.evictions = Counter(
            "chiveslip_adapter_evictions",
            "Adapters that were unloaded to make room for others.",
            registry=registry,
        )
        self.limit_decisions = Counter(
            "chiveslip_limit_decisions",
            "Decisions on requests to endpoints that have named a limit, by result.",
            ("result",),
            registry=registry,
        )
        self.limit_requests_unanswered = Counter(
            "chiveslip_limit_requests_unanswered",
            "Requests to an instance that grants requests to limited endpoints, "
            "without an answer.",
            registry=registry,
        )
        self.limited_endpoints = Gauge(
            "chiveslip_limited_endpoints",
            "Endpoints that have named a limit of requests a second.",
            registry=registry,
        )
        self.evacuated_data_centres = Gauge(
            "chiveslip_evacuated_data_centres",
            "Data centres to whose endpoints nothing may be sent.",
            registry=registry,
        )
        self.evacuated_requests = Gauge(
            "chiveslip_evacuated_requests_running",
            "Requests of this instance that still run in evacuated data centres.",
            registry=registry,
        )
        self.cold_endpoints = Gauge(
            "chiveslip_cold_endpoints",
            "Endpoints that are cold, and get few requests.",
            registry=registry,
        )
        self.allowance_requests_unanswered = Counter(
            "chiveslip_allowance_requests_unanswered",
            "Requests for units that the instance that grants them did not answer.",
            registry=registry,
        )
        self.load_wait = Histogram(
            "chiveslip_load_wait_seconds",
            "Time that requests waited for their adapter.",
            buckets=_SHORT_BUCKETS_S,
            registry=registry,
        )
        self.estimate_error = Histogram(
            "chiveslip_estimate_error_seconds",
            "First event later than estimated, in seconds; earlier ones count as 0.",
            buckets=_SHORT_BUCKETS_S,
            registry=registry,
        )
        self.prompt_first_event = Histogram(
            "chiveslip_prompt_first_event_seconds",
            "Time to the first event of requests on routes with sessions, by class of "
            "the prompt's length, expected and seen, from the choice of the engine.",
            ("length", "source"),
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.prompt_parts = Counter(
            "chiveslip_prompt_parts",
            "Parts of prompts that the chosen engine was expected to keep (found) or "
            "not (missed).",
            ("expected",),
            registry=registry,
        )
        self.engine_report_age = Gauge(
            "chiveslip_engine_report_age_seconds",
            "Age of the last report known of each engine; infinite without one.",
            ("engine",),
            registry=registry,
        )
        self.engine_speed = Gauge(
            "chiveslip_engine_speed",
            "Speed of each engine as learned; 1 is the median of its service.",
            ("engine",),
            registry=registry,
        )
        self.blocked_parts = Gauge(
            "chiveslip_blocked_prompt_parts",
            "Parts of prompts whose requests are refused, as they crashed endpoints.",
            registry=registry,
        )
        self.part_trials = Counter(
            "chiveslip_prompt_part_trials",
            "Requests with a blocked part that this instance sent as a trial.",
            registry=registry,
        )
        self.orders = Counter(
            "chiveslip_orders",
            "Orders to engines by operation and answer.",
            ("operation", "answer"),
            registry=registry,
        )
        self.live_members = Gauge(
            "chiveslip_members",
            "Instances alive, this one included.",
            registry=registry,
        )
        self.exchanges = Counter(
            "chiveslip_peer_exchanges",
            "Exchanges with peers that this instance began, by outcome.",
            ("outcome",),
            registry=registry,
        )
        self.coordinated_engines = Gauge(
            "chiveslip_engines_ordered",
            "Engines that this instance orders at.",
            registry=registry,
        )
        self.configuration_version = Gauge(
            "chiveslip_configuration_version",
            "Version of the configuration in force; 0 before the first.",
            registry=registry,
        )
        self.store_outage = Gauge(
            "chiveslip_store_lost_seconds",
            "Time since the store stopped answering; 0 while it answers.",
            registry=registry,
        )
        self.store_era = Gauge(
            "chiveslip_store_era",
            "How often the store has returned from an older copy, as it says.",
            registry=registry,
        )
        self.store_returns = Counter(
            "chiveslip_store_returns",
            "Returns of the store from an older copy that this instance saw.",
            registry=registry,
        )
        self.ready_endpoints = Gauge(
            "chiveslip_endpoints",
            "Endpoints that take new work, by service.",
            ("service",),
            registry=registry,
        )
        self.running_requests = Gauge(
            "chiveslip_requests_running", "Requests under way.", registry=registry
        )
        self.round_delay = Histogram(
            "chiveslip_round_delay_seconds",
            "Time by which a round of periodic work began late.",
            buckets=_SHORT_BUCKETS_S,
            registry=registry,
        )
        self.dropped_log_lines = Gauge(
            "chiveslip_log_lines_dropped",
            "Log lines dropped since the start, by level.",
            ("level",),
            registry=registry,
        )

    def record_held_bytes(self, held: HeldBytes) -> None:
        """Update the metrics of the bytes that the process holds."""
        self.held_bytes.clear()
        for kind, size in held.sizes_by_kind().items():
            self.held_bytes.labels(kind).set(size)
        for kind, number in held.take_given_up().items():
            self.given_up_messages.labels(kind).inc(number)

    def record_callers(
        self, connections: dict[Stage, int], given_up: dict[str, int]
    ) -> None:
        """Update the metrics of callers' connections."""
        for stage in Stage:
            self.caller_connections.labels(stage.value).set(connections.get(stage, 0))
        for kind, number in given_up.items():
            self.given_up_callers.labels(kind).inc(number)

    def render_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
