"""The language an engine speaks: the interface, and the OpenAI form.

A dialect only says what to send and how to read what came; sending is the
business of the dispatch part.
"""

from __future__ import annotations

import abc
import json
from typing import Any
from typing import final

import attrs

from chiveslip.engines import adapter as adapters
from chiveslip.engines.adapter import AdapterVersion
from chiveslip.engines.scheduler import LoadReport

REQUEST_ID_HEADER = "X-Request-Id"
ADAPTER_HEADER = "X-Adapter"
FENCING_HEADER = "X-Fencing-Number"
PRIORITY_HEADER = "X-Priority"
LAST_EVENT_HEADER = "Last-Event-ID"


@attrs.frozen(kw_only=True)
class Outgoing:
    """A request to an endpoint, ready to be sent.

    Attributes
    ----------
    request_id
        Id that the endpoint echoes in its answer; an answer with another id is
        passed over. Empty where the endpoint echoes none.
    """

    method: str
    path: str
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    request_id: str = ""


class InvalidReportError(Exception):
    """An engine's report could not be read."""


class EngineProtocol(abc.ABC):
    """What is said to an engine."""

    @abc.abstractmethod
    def call(
        self,
        path: str,
        body: dict[str, Any],
        adapter: AdapterVersion,
        *,
        request: str,
        priority: int,
    ) -> Outgoing:
        """Return the engine's form of a caller's request."""

    @abc.abstractmethod
    def resume(
        self, request: str, adapter: AdapterVersion, last_event: int
    ) -> Outgoing:
        """Return the request for the rest of a stream after `last_event`."""

    @abc.abstractmethod
    def cancel(self, request: str) -> Outgoing:
        """Return the request that stops a call."""

    @abc.abstractmethod
    def load(self, adapter: AdapterVersion, fencing: int) -> Outgoing:
        """Return the order to load an adapter."""

    @abc.abstractmethod
    def unload(self, adapter: AdapterVersion, fencing: int) -> Outgoing:
        """Return the order to unload an adapter."""

    @abc.abstractmethod
    def report(self) -> Outgoing:
        """Return the request for a load report."""

    @abc.abstractmethod
    def read_report(self, body: bytes) -> LoadReport:
        """Read a load report.

        Raises
        ------
        InvalidReportError
            If it cannot be read.
        """


@final
class OpenAIProtocol(EngineProtocol):
    """The OpenAI form, with the usual load and unload of LoRA adapters."""

    def call(
        self,
        path: str,
        body: dict[str, Any],
        adapter: AdapterVersion,
        *,
        request: str,
        priority: int,
    ) -> Outgoing:
        """Return the engine's form of a caller's request."""
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID_HEADER: request,
            PRIORITY_HEADER: str(priority),
        }
        content = body | {"model": str(adapter)}
        return Outgoing(
            method="POST",
            path=path,
            headers=headers,
            body=json.dumps(content, ensure_ascii=False).encode(),
        )

    def resume(
        self, request: str, adapter: AdapterVersion, last_event: int
    ) -> Outgoing:
        """Return the request for the rest of a stream after `last_event`."""
        headers = {REQUEST_ID_HEADER: request, LAST_EVENT_HEADER: str(last_event)}
        return Outgoing(method="GET", path=f"/v1/streams/{request}", headers=headers)

    def cancel(self, request: str) -> Outgoing:
        """Return the request that stops a call."""
        headers = {REQUEST_ID_HEADER: request}
        return Outgoing(method="DELETE", path=f"/v1/streams/{request}", headers=headers)

    def load(self, adapter: AdapterVersion, fencing: int) -> Outgoing:
        """Return the order to load an adapter."""
        return _order("/v1/load_lora_adapter", adapter, fencing)

    def unload(self, adapter: AdapterVersion, fencing: int) -> Outgoing:
        """Return the order to unload an adapter."""
        return _order("/v1/unload_lora_adapter", adapter, fencing)

    def report(self) -> Outgoing:
        """Return the request for a load report."""
        return Outgoing(method="GET", path="/v1/load")

    def read_report(self, body: bytes) -> LoadReport:
        """Read a load report."""
        try:
            value = json.loads(body)
            return LoadReport(
                incarnation=str(value["incarnation"]),
                loaded=tuple(adapters.parse(name) for name in value["loaded"]),
                running={
                    adapters.parse(name): int(count)
                    for name, count in value["running"].items()
                },
                fencing=int(value["fencing"]),
            )
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise InvalidReportError(f"no load report: {error!r}") from error


def _order(path: str, adapter: AdapterVersion, fencing: int) -> Outgoing:
    body = {"lora_name": str(adapter), "lora_path": f"store://{adapter}"}
    headers = {
        "Content-Type": "application/json",
        FENCING_HEADER: str(fencing),
    }
    return Outgoing(
        method="POST", path=path, headers=headers, body=json.dumps(body).encode()
    )
