"""Calls of each kind to the local fleet, and the result expected of each."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import attrs
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from local.fleet import Fleet

_REQUEST_TIMEOUT_S = 30.0


@attrs.frozen(kw_only=True)
class Answer:
    """The response to a call."""

    status: int
    code: int
    body: bytes
    headers: dict[str, str]

    @property
    def text(self) -> str:
        """The first 60 characters of the body, with white space collapsed."""
        return " ".join(self.body.decode(errors="replace").split())[:60]


@attrs.frozen(kw_only=True)
class CallRow:
    """A call as a row of the table: its answer and the expected result."""

    name: str
    instance: str
    answer: Answer
    expected: str
    is_expected: bool


class Caller:
    """HTTP client that sends calls to the instances, and faults to the stand-ins."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=1000)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def send(
        self,
        instance: str,
        method: str,
        path: str,
        *,
        key: str | None = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one call; status 599 stands for a broken connection."""
        all_headers = dict(headers or {})
        if key is not None:
            all_headers["Authorization"] = f"Bearer {key}"
        request = HTTPRequest(
            self._fleet.url(instance, path),
            method=method,
            headers=all_headers,
            body=body,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            request_timeout=_REQUEST_TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            return Answer(status=599, code=0, body=str(error).encode(), headers={})
        return _to_answer(response)

    async def complete(
        self, instance: str, key: str, model: str, **fields: Any
    ) -> Answer:
        """Send a completion call."""
        body = {"model": model, "prompt": "Summarise the log.", "max_tokens": 16}
        return await self.send(
            instance,
            "POST",
            "/v1/completions",
            key=key,
            body=json.dumps(body | fields).encode(),
        )

    async def set_fault(self, standin: str, name: str, value: float) -> None:
        """Switch a fault of a stand-in on, or off with the value 0."""
        url = self._fleet.standin_url(standin, f"/fault/{name}?value={value}")
        try:
            await self._client.fetch(HTTPRequest(url, method="POST", body=b""))
        except (HTTPClientError, OSError):
            if name != "crash":
                raise

    async def read_json(self, standin: str, path: str) -> Any:
        """Return the JSON that a stand-in serves at a path."""
        url = self._fleet.standin_url(standin, path)
        response = await self._client.fetch(url)
        return json.loads(response.body)


async def run_calls(
    fleet: Fleet, show_progress: Callable[[str], None]
) -> list[CallRow]:
    """Send a call of each kind and return the rows of the table."""
    caller = Caller(fleet)
    try:
        return [row async for row in _call_rows(fleet, caller, show_progress)]
    finally:
        caller.close()


async def _call_rows(
    fleet: Fleet, caller: Caller, show_progress: Callable[[str], None]
):
    north = fleet.keys["north"]
    calls = [
        ("completion", "entry-1", caller.complete("entry-1", north, "north-logs@1")),
        ("current version", "entry-2", caller.complete("entry-2", north, "north-logs")),
        (
            "streamed completion",
            "entry-3",
            caller.complete("entry-3", north, "north-drafts@1", stream=True),
        ),
        (
            "idempotent call",
            "entry-1",
            caller.send("entry-1", "GET", "/bays", key=north),
        ),
        ("open route", "entry-2", caller.send("entry-2", "GET", "/public")),
    ]
    for name, instance, call in calls:
        show_progress(name)
        answer = await call
        yield _code_row(name, instance, answer, 1000)
    show_progress("stream cut in the middle")
    yield await _resumed_stream_row(fleet, caller)
    async for row in _at_most_once_rows(fleet, caller, show_progress):
        yield row
    async for row in _refusal_rows(fleet, caller, show_progress):
        yield row


async def _resumed_stream_row(fleet: Fleet, caller: Caller) -> CallRow:
    await caller.set_fault("engine-1", "cut", 1)
    await caller.set_fault("engine-2", "cut", 1)
    answer = await caller.complete(
        "entry-1", fleet.keys["south"], "south-logs", stream=True
    )
    for engine in ("engine-1", "engine-2"):
        await caller.set_fault(engine, "cut", 0)
    has_event = [f"id: {n}\n".encode() in answer.body for n in range(1, 9)]
    is_expected = all(has_event) and answer.body.endswith(b"data: [DONE]\n\n")
    is_expected = is_expected and answer.body.count(b"id: ") == len(has_event)
    return CallRow(
        name="stream cut in the middle",
        instance="entry-1",
        answer=answer,
        expected="8 tokens, each once",
        is_expected=is_expected,
    )


async def _at_most_once_rows(
    fleet: Fleet, caller: Caller, show_progress: Callable[[str], None]
):
    north = fleet.keys["north"]
    headers = {"Idempotency-Key": "unlock-locker-7"}
    body = b'{"locker": 7}'
    for name, instance in (
        ("at-most-once call", "entry-1"),
        ("repeat at another instance", "entry-2"),
    ):
        show_progress(name)
        answer = await caller.send(
            instance, "POST", "/unlock", key=north, body=body, headers=headers
        )
        yield _code_row(name, instance, answer, 1000)
    show_progress("repeat with another body")
    answer = await caller.send(
        "entry-3", "POST", "/unlock", key=north, body=b"{}", headers=headers
    )
    yield _code_row("repeat with another body", "entry-3", answer, 1502)
    runs = [
        await caller.read_json(service, "/runs") for service in ("kiosk-1", "kiosk-2")
    ]
    count = sum(run.get("POST /unlock unlock-locker-7", 0) for run in runs)
    yield CallRow(
        name="runs of the at-most-once call",
        instance="",
        answer=Answer(status=200, code=1000, body=str(count).encode(), headers={}),
        expected="1",
        is_expected=count == 1,
    )


async def _refusal_rows(
    fleet: Fleet, caller: Caller, show_progress: Callable[[str], None]
):
    show_progress("wrong key")
    answer = await caller.send("entry-1", "GET", "/bays", key="csk_wrong")
    yield _code_row("wrong key", "entry-1", answer, 1202)
    show_progress("another organisation's adapter")
    answer = await caller.complete("entry-2", fleet.keys["south"], "north-logs")
    yield _code_row("another organisation's adapter", "entry-2", answer, 1203)
    show_progress("over the allowance")
    trial = fleet.keys["trial"]
    answer = await caller.complete("entry-1", trial, "shared-summary", max_tokens=5000)
    yield _code_row("larger than the burst", "entry-1", answer, 1302)
    answers = []
    for number in range(8):
        instance = f"entry-{number % 3 + 1}"
        answer = await caller.complete(
            instance,
            trial,
            "shared-summary",
            max_tokens=150,
            words=150,
        )
        answers.append(answer)
        if answer.code == 1301:
            break
    yield _code_row("over the allowance", instance, answers[-1], 1301)
    show_progress("withdrawn key")
    await fleet.run_command("withdraw-key", str(fleet.source), "south", "first")
    await fleet.wait_until_active(await fleet.publish())
    for instance in fleet.instances:
        answer = await caller.send(instance, "GET", "/bays", key=fleet.keys["south"])
        yield _code_row("withdrawn key", instance, answer, 1202)


def _code_row(name: str, instance: str, answer: Answer, code: int) -> CallRow:
    return CallRow(
        name=name,
        instance=instance,
        answer=answer,
        expected=str(code),
        is_expected=answer.code == code,
    )


def _to_answer(response: HTTPResponse) -> Answer:
    code = response.headers.get("X-Result-Code", "0")
    return Answer(
        status=response.code,
        code=int(code) if code.isdigit() else 0,
        body=response.body or b"",
        headers=dict(response.headers.get_all()),
    )
