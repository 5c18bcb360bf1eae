"""What a gateway needs to read from callers and endpoints, and to tell them.

The words on the wire belong to a dialect; the gateway only knows these types.
"""

from __future__ import annotations

import abc

import attrs
from tornado.httputil import HTTPHeaders

from chiveslip.gateway.endpoints import ListedEndpoint


@attrs.frozen(kw_only=True)
class RequestFacts:
    """What a caller's headers say of its request.

    Attributes
    ----------
    request_id
        Id of this try of the caller; its next try has another one.
    key
        The caller's key, or empty.
    patience_s
        Time in seconds that the caller waits, or None if it doesn't say.
    model, adapter
        Base model and adapter asked for, each empty if none.
    prompt_tokens, output_tokens
        Declared tokens to be read, and at most to be made; None if undeclared.
    last_event
        Id of the last event that the caller of a resumed stream has, or empty.
    """

    request_id: str
    key: str
    patience_s: float | None
    model: str
    adapter: str
    prompt_tokens: int | None
    output_tokens: int | None
    last_event: str


@attrs.frozen(kw_only=True)
class Passing:
    """What the gateway says to an endpoint about a request.

    Attributes
    ----------
    remaining_s
        Time in seconds that is left for the answer.
    urgency
        Rank among the requests of an engine, 0 being the first, or None.
    version
        Version of the adapter that must answer, or None.
    last_event
        Id of the last event that was passed on, or empty.
    """

    endpoint: ListedEndpoint
    remaining_s: float
    organisation: str
    urgency: int | None
    version: int | None
    last_event: str


@attrs.frozen(kw_only=True)
class AnswerFacts:
    """What an endpoint's head says of its answer.

    Attributes
    ----------
    is_genuine
        Whether the answer is the endpoint's own, with a body that it vouches for.
    surely_not_run
        Whether the endpoint says that it did not run the request.
    lacks_adapter
        Whether it refused because it does not hold the adapter or is another one.
    """

    is_genuine: bool
    surely_not_run: bool
    lacks_adapter: bool


class GatewayDialect(abc.ABC):
    """The words of callers and endpoints."""

    @abc.abstractmethod
    def read_request(self, headers: HTTPHeaders) -> RequestFacts:
        """Return what a caller's headers say."""

    @abc.abstractmethod
    def pass_on(self, headers: HTTPHeaders, passing: Passing) -> dict[str, str]:
        """Return the headers for an endpoint."""

    @abc.abstractmethod
    def read_answer(self, status: int, headers: HTTPHeaders) -> AnswerFacts:
        """Return what an answer's head says."""

    @abc.abstractmethod
    def answer_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an endpoint's answer for the caller."""

    @abc.abstractmethod
    def refusal_headers(self, request_id: str, code: int) -> HTTPHeaders:
        """Return the headers of an answer of the gateway's own."""
