"""Real calls of each kind against the small fleet, and what each must bring."""

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

_TIMEOUT_S = 30.0


@attrs.frozen(kw_only=True)
class Answer:
    """What came back."""

    status: int
    code: int
    body: bytes
    headers: dict[str, str]

    @property
    def text(self) -> str:
        """The body in short, for a table."""
        return " ".join(self.body.decode(errors="replace").split())[:60]


@attrs.frozen(kw_only=True)
class Line:
    """A line of the table."""

    name: str
    instance: str
    answer: Answer
    wanted: str
    good: bool


class Caller:
    """Sends calls to the fleet as a caller would."""

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
        """Send one call; status 599 stands for a connection that broke."""
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
            request_timeout=_TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            return Answer(status=599, code=0, body=str(error).encode(), headers={})
        return _answer(response)

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
        """Switch a fault of a stand-in on, or off with 0."""
        url = self._fleet.standin_url(standin, f"/fault/{name}?value={value}")
        try:
            await self._client.fetch(HTTPRequest(url, method="POST", body=b""))
        except (HTTPClientError, OSError):
            if name != "crash":
                raise

    async def read(self, standin: str, path: str) -> Any:
        """Read JSON from a stand-in."""
        url = self._fleet.standin_url(standin, path)
        response = await self._client.fetch(url)
        return json.loads(response.body)


async def table(fleet: Fleet, show: Callable[[str], None]) -> list[Line]:
    """Send a call of each kind and return the table."""
    caller = Caller(fleet)
    try:
        return [line async for line in _lines(fleet, caller, show)]
    finally:
        caller.close()


async def _lines(fleet: Fleet, caller: Caller, show: Callable[[str], None]):
    north = fleet.keys["north"]
    tries = [
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
    for name, instance, call in tries:
        show(name)
        answer = await call
        yield _line(name, instance, answer, 1000)
    show("stream whole")
    yield await _whole_stream(fleet, caller)
    async for line in _once_only(fleet, caller, show):
        yield line
    async for line in _refusals(fleet, caller, show):
        yield line


async def _whole_stream(fleet: Fleet, caller: Caller) -> Line:
    await caller.set_fault("engine-1", "cut", 1)
    await caller.set_fault("engine-2", "cut", 1)
    answer = await caller.complete(
        "entry-1", fleet.keys["south"], "south-logs", stream=True
    )
    for engine in ("engine-1", "engine-2"):
        await caller.set_fault(engine, "cut", 0)
    numbers = [f"id: {n}\n".encode() in answer.body for n in range(1, 9)]
    good = all(numbers) and answer.body.endswith(b"data: [DONE]\n\n")
    good = good and answer.body.count(b"id: ") == len(numbers)
    return Line(
        name="stream cut in the middle",
        instance="entry-1",
        answer=answer,
        wanted="8 tokens, once each",
        good=good,
    )


async def _once_only(fleet: Fleet, caller: Caller, show: Callable[[str], None]):
    north = fleet.keys["north"]
    headers = {"Idempotency-Key": "unlock-locker-7"}
    body = b'{"locker": 7}'
    for name, instance in (
        ("once-only call", "entry-1"),
        ("its repeat elsewhere", "entry-2"),
    ):
        show(name)
        answer = await caller.send(
            instance, "POST", "/unlock", key=north, body=body, headers=headers
        )
        yield _line(name, instance, answer, 1000)
    show("its key with another body")
    answer = await caller.send(
        "entry-3", "POST", "/unlock", key=north, body=b"{}", headers=headers
    )
    yield _line("its key with another body", "entry-3", answer, 1502)
    runs = [await caller.read(service, "/runs") for service in ("kiosk-1", "kiosk-2")]
    count = sum(run.get("POST /unlock unlock-locker-7", 0) for run in runs)
    yield Line(
        name="runs of the once-only call",
        instance="",
        answer=Answer(status=200, code=1000, body=str(count).encode(), headers={}),
        wanted="1",
        good=count == 1,
    )


async def _refusals(fleet: Fleet, caller: Caller, show: Callable[[str], None]):
    show("wrong key")
    answer = await caller.send("entry-1", "GET", "/bays", key="csk_wrong")
    yield _line("wrong key", "entry-1", answer, 1202)
    show("foreign adapter")
    answer = await caller.complete("entry-2", fleet.keys["south"], "north-logs")
    yield _line("another organisation's adapter", "entry-2", answer, 1203)
    show("over the allowance")
    trial = fleet.keys["trial"]
    answer = await caller.complete("entry-1", trial, "shared-summary", max_tokens=5000)
    yield _line("larger than the burst", "entry-1", answer, 1302)
    codes = []
    for number in range(8):
        instance = f"entry-{number % 3 + 1}"
        answer = await caller.complete(
            instance,
            trial,
            "shared-summary",
            max_tokens=150,
            words=150,
        )
        codes.append(answer)
        if answer.code == 1301:
            break
    yield _line("over the allowance", instance, codes[-1], 1301)
    show("withdrawn key")
    await fleet.command("withdraw-key", str(fleet.source), "south", "first")
    await fleet.in_force(await fleet.publish())
    for instance in fleet.instances:
        answer = await caller.send(instance, "GET", "/bays", key=fleet.keys["south"])
        yield _line("withdrawn key", instance, answer, 1202)


def _line(name: str, instance: str, answer: Answer, code: int) -> Line:
    return Line(
        name=name,
        instance=instance,
        answer=answer,
        wanted=str(code),
        good=answer.code == code,
    )


def _answer(response: HTTPResponse) -> Answer:
    code = response.headers.get("X-Result-Code", "0")
    return Answer(
        status=response.code,
        code=int(code) if code.isdigit() else 0,
        body=response.body or b"",
        headers=dict(response.headers.get_all()),
    )
