"""Protocol of model engines: the interface, and the OpenAI-compatible protocol.

A protocol only builds requests and parses reports; ``chiveslip.dispatch`` sends
the requests.
"""

from __future__ import annotations

import abc
import json
from typing import Any
from typing import final

from chiveslip.dispatch.outgoing import REQUEST_ID_HEADER
from chiveslip.dispatch.outgoing import OutgoingRequest
from chiveslip.engines import adapter as adapters
from chiveslip.engines.adapter import AdapterVersion
from chiveslip.engines.scheduler import LoadReport

ADAPTER_HEADER = "X-Adapter"
FENCING_HEADER = "X-Fencing-Number"
PRIORITY_HEADER = "X-Priority"
LAST_EVENT_HEADER = "Last-Event-ID"


class InvalidReportError(Exception):
    """A load report of an engine could not be parsed."""


class EngineProtocol(abc.ABC):
    """Builds the requests to an engine and parses its load reports."""

    @abc.abstractmethod
    def build_call_request(
        self,
        path: str,
        body: dict[str, Any],
        adapter: AdapterVersion,
        *,
        request: str,
        priority: int,
    ) -> OutgoingRequest:
        """Return the request to the engine for a caller's completion request."""

    @abc.abstractmethod
    def build_resume_request(
        self, request: str, adapter: AdapterVersion, last_event: int
    ) -> OutgoingRequest:
        """Return the request for the rest of a stream after `last_event`."""

    @abc.abstractmethod
    def build_cancel_request(self, request: str) -> OutgoingRequest:
        """Return the request that cancels a call."""

    @abc.abstractmethod
    def build_load_order(
        self, adapter: AdapterVersion, fencing: int
    ) -> OutgoingRequest:
        """Return the order to load an adapter."""

    @abc.abstractmethod
    def build_unload_order(
        self, adapter: AdapterVersion, fencing: int
    ) -> OutgoingRequest:
        """Return the order to unload an adapter."""

    @abc.abstractmethod
    def build_report_request(self) -> OutgoingRequest:
        """Return the request for a load report."""

    @abc.abstractmethod
    def parse_report(self, body: bytes) -> LoadReport:
        """Parse a load report.

        Raises
        ------
        InvalidReportError
            If the body is not a valid load report.
        """


@final
class OpenAIProtocol(EngineProtocol):
    """The OpenAI-compatible protocol, with the usual loading of LoRA adapters."""

    def build_call_request(
        self,
        path: str,
        body: dict[str, Any],
        adapter: AdapterVersion,
        *,
        request: str,
        priority: int,
    ) -> OutgoingRequest:
        """Return the request to the engine for a caller's completion request."""
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID_HEADER: request,
            PRIORITY_HEADER: str(priority),
        }
        content = body | {"model": str(adapter)}
        return OutgoingRequest(
            method="POST",
            path=path,
            headers=headers,
            body=json.dumps(content, ensure_ascii=False).encode(),
        )

    def build_resume_request(
        self, request: str, adapter: AdapterVersion, last_event: int
    ) -> OutgoingRequest:
        """Return the request for the rest of a stream after `last_event`."""
        headers = {REQUEST_ID_HEADER: request, LAST_EVENT_HEADER: str(last_event)}
        return OutgoingRequest(
            method="GET", path=f"/v1/streams/{request}", headers=headers
        )

    def build_cancel_request(self, request: str) -> OutgoingRequest:
        """Return the request that cancels a call."""
        headers = {REQUEST_ID_HEADER: request}
        return OutgoingRequest(
            method="DELETE", path=f"/v1/streams/{request}", headers=headers
        )

    def build_load_order(
        self, adapter: AdapterVersion, fencing: int
    ) -> OutgoingRequest:
        """Return the order to load an adapter."""
        return _build_order("/v1/load_lora_adapter", adapter, fencing)

    def build_unload_order(
        self, adapter: AdapterVersion, fencing: int
    ) -> OutgoingRequest:
        """Return the order to unload an adapter."""
        return _build_order("/v1/unload_lora_adapter", adapter, fencing)

    def build_report_request(self) -> OutgoingRequest:
        """Return the request for a load report."""
        return OutgoingRequest(method="GET", path="/v1/load")

    def parse_report(self, body: bytes) -> LoadReport:
        """Parse a load report."""
        try:
            value = json.loads(body)
            return LoadReport(
                incarnation=str(value["incarnation"]),
                loaded=tuple(
                    adapters.parse_adapter_version(name) for name in value["loaded"]
                ),
                running={
                    adapters.parse_adapter_version(name): int(count)
                    for name, count in value["running"].items()
                },
                fencing=int(value["fencing"]),
            )
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise InvalidReportError(
                f"the body is not a valid load report: {error!r}"
            ) from error


def _build_order(path: str, adapter: AdapterVersion, fencing: int) -> OutgoingRequest:
    body = {"lora_name": str(adapter), "lora_path": f"store://{adapter}"}
    headers = {
        "Content-Type": "application/json",
        FENCING_HEADER: str(fencing),
    }
    return OutgoingRequest(
        method="POST", path=path, headers=headers, body=json.dumps(body).encode()
    )
