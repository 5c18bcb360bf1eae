"""Validation of completion requests, and the number of tokens to reserve for them."""

from __future__ import annotations

import json
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.results import ResultCode

COMPLETIONS = "/v1/completions"
CHAT_COMPLETIONS = "/v1/chat/completions"
PATHS = (COMPLETIONS, CHAT_COMPLETIONS)
DEFAULT_MAX_TOKENS = 256
_MAX_TOKENS = 1_000_000
_BYTES_PER_TOKEN = 4


@attrs.frozen(kw_only=True)
class Completion:
    """A validated completion request.

    Attributes
    ----------
    prompt_tokens
        Estimated number of prompt tokens, from the length of the body.
    max_tokens
        Maximum number of tokens that the engine may generate.
    """

    path: str
    body: dict[str, Any]
    model: str
    stream: bool
    prompt_tokens: int
    max_tokens: int

    @property
    def reserved_tokens(self) -> float:
        """Number of tokens that are charged before the call starts."""
        return float(self.prompt_tokens + self.max_tokens)


def parse_completion(path: str, content: bytes) -> Result[Completion, Refusal]:
    """Parse and validate the body of a completion request."""
    try:
        text = content.decode()
    except UnicodeDecodeError as error:
        detail = f"The body is not valid UTF-8 at byte {error.start}."
        return _refuse(result_codes.INVALID_UTF8, detail)
    try:
        body = json.loads(text)
    except (ValueError, RecursionError) as error:
        return _refuse(
            result_codes.MALFORMED_JSON, f"The body is not valid JSON: {error}."
        )
    if not isinstance(body, dict):
        return _refuse(result_codes.MALFORMED_JSON, "The body is not a JSON object.")
    return _check_fields(path, body, len(content))


def _check_fields(
    path: str, body: dict[str, Any], size: int
) -> Result[Completion, Refusal]:
    prompt_field = "prompt" if path == COMPLETIONS else "messages"
    model = body.get("model")
    if not isinstance(model, str) or not model:
        return _refuse_field(
            "model", "adapter@version, or adapter for its current version"
        )
    expected_type = str if path == COMPLETIONS else list
    prompt = body.get(prompt_field)
    if not isinstance(prompt, expected_type) or not prompt:
        return _refuse_field(
            prompt_field, "a string" if expected_type is str else "a list"
        )
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        return _refuse_field("stream", "true or false")
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if type(max_tokens) is not int or not 1 <= max_tokens <= _MAX_TOKENS:
        return _refuse_field("max_tokens", f"an integer from 1 to {_MAX_TOKENS}")
    return Success(
        Completion(
            path=path,
            body=body | {"max_tokens": max_tokens},
            model=model,
            stream=stream,
            prompt_tokens=size // _BYTES_PER_TOKEN + 1,
            max_tokens=max_tokens,
        )
    )


def _refuse_field(field: str, allowed: str) -> Result[Completion, Refusal]:
    detail = f"The field {field!r} is missing or invalid; it must be {allowed}."
    return _refuse(result_codes.MISSING_FIELD, detail)


def _refuse(code: ResultCode, detail: str) -> Result[Completion, Refusal]:
    return Failure(Refusal(code=code, detail=detail))
