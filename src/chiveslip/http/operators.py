"""HTTP server for operators: health, status, traces and the audit trail."""

from __future__ import annotations

import json
from collections.abc import Callable

import attrs
from tornado.web import Application
from tornado.web import RequestHandler

from chiveslip.audit import AuditTrail
from chiveslip.dispatch.admission import Admission
from chiveslip.http.traces import TraceBuffer

_MAX_AUDIT_LINES = 1000


@attrs.frozen(kw_only=True)
class PeerSummary:
    """State of a peer as an instance knows it.

    Attributes
    ----------
    silent_s
        Seconds since the last heartbeat of the peer.
    """

    id: str
    serving: bool
    view_revision: int
    configuration_revision: int
    silent_s: float


@attrs.frozen(kw_only=True)
class EngineSummary:
    """State of an engine that an instance owns.

    Attributes
    ----------
    loaded
        Adapters that are loaded.
    running
        Number of calls that run on the engine.
    queued
        Number of calls that wait for it.
    """

    id: str
    incarnation: str
    loaded: tuple[str, ...]
    running: int
    queued: int


@attrs.frozen(kw_only=True)
class Status:
    """Status of an instance, written out as JSON under these names."""

    instance: str
    incarnation: str
    version: str
    ready: bool
    stopping: bool
    lease: bool
    view_revision: int
    endpoints_revision: int
    configuration_revision: int
    newest_revision: int
    refused_because: tuple[str, ...]
    running_calls: int
    peers: tuple[PeerSummary, ...]
    engines: tuple[EngineSummary, ...]
    allowances: tuple[str, ...]


@attrs.frozen(kw_only=True)
class OperatorTools:
    """Objects that the operators' handlers share."""

    admission: Admission
    traces: TraceBuffer
    audit: AuditTrail
    status: Callable[[], Status]


class _Handler(RequestHandler):
    def initialize(self, tools: OperatorTools) -> None:
        self._tools = tools
        self.clear_header("Server")

    def _write_json(self, value: object) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value, sort_keys=True))


class HealthHandler(_Handler):
    """Reports that the process answers."""

    def get(self) -> None:
        """Answer 200."""
        self.finish("ok\n")


class ReadyHandler(_Handler):
    """Reports whether the load balancer should send calls to this instance."""

    def get(self) -> None:
        """Answer 200 when ready, 503 otherwise."""
        if not self._tools.admission.is_ready:
            self.set_status(503)
            self.finish("not ready\n")
            return
        self.finish("ready\n")


class StatusHandler(_Handler):
    """Serves the status of the instance."""

    def get(self) -> None:
        """Answer with the status as JSON."""
        self._write_json(attrs.asdict(self._tools.status()))


class TraceHandler(_Handler):
    """Serves the trace of a call."""

    def get(self, call: str) -> None:
        """Answer with the trace as JSON, or 404 if it is not stored."""
        trace = self._tools.traces.find(call)
        if trace is None:
            self.set_status(404)
            self._write_json({"error": f"this instance has no trace of call {call}"})
            return
        self._write_json(attrs.asdict(trace))


class AuditHandler(_Handler):
    """Serves the newest lines of the audit trail."""

    def get(self) -> None:
        """Answer with the newest lines as JSON, oldest first.

        The query argument ``most`` is the maximum number of lines.
        """
        text = self.get_query_argument("most", "100")
        max_lines = min(int(text), _MAX_AUDIT_LINES) if text.isdigit() else 100
        lines = self._tools.audit.lines[-max_lines:] if max_lines else ()
        self._write_json([json.loads(line.to_json()) for line in lines])


def make_application(tools: OperatorTools) -> Application:
    """Return the Tornado application that serves operators."""
    arguments = {"tools": tools}
    return Application(
        [
            ("/healthz", HealthHandler, arguments),
            ("/readyz", ReadyHandler, arguments),
            ("/status", StatusHandler, arguments),
            ("/trace/([0-9a-f]+)", TraceHandler, arguments),
            ("/audit", AuditHandler, arguments),
        ]
    )
