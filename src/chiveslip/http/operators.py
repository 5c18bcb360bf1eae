"""What operators read over HTTP: health, status, traces, the audit trail."""

from __future__ import annotations

import json
from collections.abc import Callable

import attrs
from tornado.web import Application
from tornado.web import RequestHandler

from chiveslip.audit import AuditTrail
from chiveslip.dispatch.admission import Admission
from chiveslip.http.traces import Traces

_MOST_AUDIT_LINES = 1000


@attrs.frozen(kw_only=True)
class PeerLine:
    """What an instance knows of a peer; `silent_s` in seconds."""

    id: str
    serving: bool
    view_revision: int
    configuration_revision: int
    silent_s: float


@attrs.frozen(kw_only=True)
class EngineLine:
    """An engine that is at home at an instance."""

    id: str
    incarnation: str
    loaded: tuple[str, ...]
    running: int
    queued: int


@attrs.frozen(kw_only=True)
class Status:
    """Status of an instance."""

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
    peers: tuple[PeerLine, ...]
    engines: tuple[EngineLine, ...]
    allowances: tuple[str, ...]


@attrs.frozen(kw_only=True)
class OperatorTools:
    """What the operators' handlers share."""

    admission: Admission
    traces: Traces
    audit: AuditTrail
    status: Callable[[], Status]


class _Handler(RequestHandler):
    def initialize(self, tools: OperatorTools) -> None:
        self._tools = tools
        self.clear_header("Server")

    def _answer(self, value: object) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value, sort_keys=True))


class HealthHandler(_Handler):
    """The process answers."""

    def get(self) -> None:
        """Answer that the process lives."""
        self.finish("ok\n")


class ReadyHandler(_Handler):
    """Whether the balancer should send calls here."""

    def get(self) -> None:
        """Answer 200 when ready, 503 otherwise."""
        if not self._tools.admission.is_ready:
            self.set_status(503)
            self.finish("not ready\n")
            return
        self.finish("ready\n")


class StatusHandler(_Handler):
    """Status of the instance."""

    def get(self) -> None:
        """Answer with the status as JSON."""
        self._answer(attrs.asdict(self._tools.status()))


class TraceHandler(_Handler):
    """The trace of one call."""

    def get(self, call: str) -> None:
        """Answer with the trace as JSON, or 404."""
        trace = self._tools.traces.find(call)
        if trace is None:
            self.set_status(404)
            self._answer({"error": f"no trace of {call} is held here"})
            return
        self._answer(attrs.asdict(trace))


class AuditHandler(_Handler):
    """The newest audit lines."""

    def get(self) -> None:
        """Answer with up to ``most`` lines, oldest first."""
        text = self.get_query_argument("most", "100")
        most = min(int(text), _MOST_AUDIT_LINES) if text.isdigit() else 100
        lines = self._tools.audit.lines[-most:] if most else ()
        self._answer([json.loads(line.to_json()) for line in lines])


def application(tools: OperatorTools) -> Application:
    """Return the operators' application."""
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
