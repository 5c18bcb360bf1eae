"""Metadata that a gateway exchanges with callers and endpoints.

A deployment implements `GatewayProtocol` for its own headers; the gateway uses only
the types of this module.
"""

from __future__ import annotations

import abc

import attrs
from tornado.httputil import HTTPHeaders

from chiveslip.gateway.endpoint_statements import NO_STATEMENT
from chiveslip.gateway.endpoint_statements import EndpointStatement
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.prompt_parts import PromptPart


@attrs.frozen(kw_only=True)
class RequestMetadata:
    """A request's metadata, from the caller's headers.

    Attributes
    ----------
    request_id
        Id of this attempt of the caller; a retry by the caller has another id.
    key
        The caller's key, or empty.
    max_wait_s
        Time in seconds that the caller waits, or None if undeclared.
    model, adapter
        Requested base model and adapter, each empty if none.
    prompt_tokens, output_tokens
        Declared length of the prompt and maximum length of the output, in tokens;
        None if undeclared.
    last_event_id
        Id of the last event that the caller has received, to resume its stream after
        it, or empty.
    shared_parts
        Ids of the parts of its prompt, in order, without the last one, which belongs
        to the request or its session alone.
    prompt_parts
        Parts of its prompt, in order, with their lengths; the last one belongs to the
        request or its session.
    """

    request_id: str
    key: str
    max_wait_s: float | None
    model: str
    adapter: str
    prompt_tokens: int | None
    output_tokens: int | None
    last_event_id: str
    shared_parts: tuple[str, ...] = ()
    prompt_parts: tuple[PromptPart, ...] = ()


@attrs.frozen(kw_only=True)
class ForwardingContext:
    """What the gateway adds to a request that it forwards to an endpoint.

    Attributes
    ----------
    remaining_s
        Time in seconds that remains for the answer.
    organisation
        Name of the caller's organisation, or empty.
    priority
        Priority among the requests of an engine, or None; 0 is the most urgent.
    version
        Version of the adapter that must answer, or None.
    last_event_id
        Id of the last event that was forwarded to the caller, or empty.
    """

    endpoint: ListedEndpoint
    remaining_s: float
    organisation: str
    priority: int | None
    version: int | None
    last_event_id: str


@attrs.frozen(kw_only=True)
class AnswerMetadata:
    """An answer's metadata, from the endpoint's status and headers.

    Attributes
    ----------
    is_genuine
        Whether the answer is the endpoint's own and the endpoint confirms its body.
    did_not_run
        Whether the endpoint says that it did not run the request.
    lacks_adapter
        Whether it did not run the request because it lacks the adapter or is not the
        expected endpoint.
    statement
        What the endpoint says of itself.
    """

    is_genuine: bool
    did_not_run: bool
    lacks_adapter: bool
    statement: EndpointStatement = NO_STATEMENT


class GatewayProtocol(abc.ABC):
    """Headers that callers and endpoints of one deployment use."""

    @abc.abstractmethod
    def parse_request(self, headers: HTTPHeaders) -> RequestMetadata:
        """Return the metadata in a caller's headers."""

    @abc.abstractmethod
    def build_endpoint_headers(
        self, headers: HTTPHeaders, context: ForwardingContext
    ) -> dict[str, str]:
        """Return the headers for an endpoint, from those of the caller's request."""

    @abc.abstractmethod
    def build_forwarded_headers(
        self, headers: HTTPHeaders, last_event_id: str
    ) -> HTTPHeaders:
        """Return a caller's headers for another instance, without the caller's key.

        Parameters
        ----------
        last_event_id
            Id of the last event that the caller has received, or empty.
        """

    @abc.abstractmethod
    def parse_answer(self, status: int, headers: HTTPHeaders) -> AnswerMetadata:
        """Return the metadata in an endpoint's status and headers."""

    @abc.abstractmethod
    def build_answer_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers for the caller, from those of the endpoint's answer."""

    @abc.abstractmethod
    def build_refusal_headers(self, request_id: str, code: int) -> HTTPHeaders:
        """Return the headers of a refusal with a result code."""
