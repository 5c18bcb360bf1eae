"""Tests that bad input gets a result code or a closed connection.

No call may hang, and none may stay counted after its end.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from chiveslip.cli.client import fetch_all
from chiveslip.generated.result_codes import ALLOWANCE_EXCEEDED
from local.calls import Caller
from local.fleet import Fleet

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("processes"),
]

COMPLETIONS = "/v1/completions"
GOOD = {"model": "north-logs", "prompt": "Hello", "max_tokens": 4}
ANSWER_TIMEOUT_S = 10.0


def _body(**changes: Any) -> bytes:
    return json.dumps(GOOD | changes).encode()


@pytest.mark.parametrize(
    ("body", "code"),
    [
        pytest.param(b"{", 1101, id="malformed JSON"),
        pytest.param(b"[1]", 1101, id="not an object"),
        pytest.param(b"[" * 100_000, 1101, id="deep nesting"),
        pytest.param(b'{"model": "\xff"}', 1102, id="invalid UTF-8"),
        pytest.param(b'"' + b"x" * 2_000_000 + b'"', 1103, id="body over the limit"),
        pytest.param(b"{}", 1105, id="no model"),
        pytest.param(_body(prompt=7), 1105, id="prompt of wrong type"),
        pytest.param(_body(max_tokens=0), 1105, id="zero tokens"),
        pytest.param(_body(max_tokens=True), 1105, id="tokens of wrong type"),
        pytest.param(_body(stream="yes"), 1105, id="stream of wrong type"),
        pytest.param(_body(model="north-nothing"), 1204, id="unknown adapter"),
        pytest.param(_body(model="north-logs@9"), 1205, id="unknown version"),
        pytest.param(
            _body(model="south-logs"), 1203, id="adapter of another organisation"
        ),
        pytest.param(_body(max_tokens=900_000), 1302, id="larger than the burst"),
    ],
)
async def test_bad_body_is_refused_with_its_code(
    fleet: Fleet, caller: Caller, body: bytes, code: int
) -> None:
    answer = await caller.send(
        "entry-1", "POST", COMPLETIONS, key=fleet.keys["north"], body=body
    )
    assert answer.code == code
    error = json.loads(answer.body)["error"]
    assert error["code"] == code
    assert error["run"] == "not run"


@pytest.mark.parametrize(
    ("method", "path", "headers", "code"),
    [
        pytest.param("GET", "/nowhere", {}, 1107, id="no route"),
        pytest.param("DELETE", "/bays", {}, 1108, id="wrong method"),
        pytest.param("BREW", "/bays", {}, 1108, id="unknown method"),
        pytest.param("GET", COMPLETIONS, {}, 1108, id="completion by GET"),
        pytest.param(
            "GET", "/bays", {"X-Deadline-Seconds": "soon"}, 1106, id="bad deadline"
        ),
        pytest.param(
            "GET", "/bays", {"X-Deadline-Seconds": "nan"}, 1106, id="deadline nan"
        ),
        pytest.param(
            "POST",
            "/unlock",
            {"Idempotency-Key": "k" * 300},
            1109,
            id="long idempotency key",
        ),
    ],
)
async def test_bad_request_is_refused_with_its_code(
    fleet: Fleet,
    caller: Caller,
    method: str,
    path: str,
    headers: dict[str, str],
    code: int,
) -> None:
    body = b"{}" if method == "POST" else None
    answer = await caller.send(
        "entry-1",
        method,
        path,
        key=fleet.keys["north"],
        headers=headers,
        body=body,
    )
    assert answer.code == code


async def test_missing_key_is_refused(caller: Caller) -> None:
    assert (await caller.send("entry-1", "GET", "/bays")).code == 1201


@pytest.mark.parametrize("place", ["query", "header", "body"])
async def test_exposed_key_is_refused(fleet: Fleet, caller: Caller, place: str) -> None:
    key = fleet.keys["north"]
    answer = await caller.send(
        "entry-1",
        "POST",
        "/unlock?k=" + (key if place == "query" else ""),
        key=key,
        headers={"Accept": key if place == "header" else "*/*"},
        body=key.encode() if place == "body" else b"",
    )
    assert answer.code == 1110
    assert not any(key.encode() in r.read_bytes() for r in fleet.records)


async def test_idempotency_key_with_another_body_is_refused(
    fleet: Fleet, caller: Caller
) -> None:
    codes = []
    for instance, body in (("entry-1", b"1"), ("entry-2", b"2")):
        answer = await caller.send(
            instance,
            "POST",
            "/unlock",
            key=fleet.keys["north"],
            headers={"Idempotency-Key": "same-key"},
            body=body,
        )
        codes.append(answer.code)
    assert codes == [1000, 1502]


@pytest.mark.parametrize(
    "head",
    [
        pytest.param(
            b"POST /unlock HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            id="length is no number",
        ),
        pytest.param(
            b"POST /unlock HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
            b"Content-Length: 6\r\n\r\nhello",
            id="two lengths",
        ),
        pytest.param(
            b"GET /bays HTTP/1.1\r\nX: " + b"x" * 80_000, id="oversized header"
        ),
        pytest.param(b"\xff\xfe\r\n\r\n", id="not HTTP"),
    ],
)
async def test_malformed_http_closes_connection(fleet: Fleet, head: bytes) -> None:
    port = fleet.instances["entry-1"].callers
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(head)
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        try:
            answer = await reader.read()
        except ConnectionError:
            answer = b""
    writer.close()
    assert answer == b"" or answer.startswith(b"HTTP/1.1 400")


async def test_call_ends_when_caller_disconnects(fleet: Fleet, caller: Caller) -> None:
    port = fleet.instances["entry-2"].callers
    body = _body(max_tokens=200, words=200, stream=True)
    head = (
        f"POST {COMPLETIONS} HTTP/1.1\r\nHost: h\r\n"
        f"Authorization: Bearer {fleet.keys['north']}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(head.encode() + body)
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.close()
    await _wait_until_idle(fleet, "entry-2")


async def test_call_ends_when_caller_stops_reading(
    fleet: Fleet, caller: Caller
) -> None:
    await _wait_for_allowance(fleet, caller, max_tokens=60_000)
    port = fleet.instances["entry-3"].callers
    body = _body(max_tokens=60_000, words=60_000, stream=True)
    head = (
        f"POST {COMPLETIONS} HTTP/1.1\r\nHost: h\r\nX-Deadline-Seconds: 3\r\n"
        f"Authorization: Bearer {fleet.keys['north']}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
    writer.write(head.encode() + body)
    await _wait_until_running(fleet, "entry-3")
    await _wait_until_idle(fleet, "entry-3")
    writer.close()


async def test_call_ends_when_caller_disconnects_while_sending(
    fleet: Fleet,
) -> None:
    port = fleet.instances["entry-3"].callers
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"POST /unlock HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nhalf")
    await writer.drain()
    await _wait_until_running(fleet, "entry-3")
    writer.close()
    await _wait_until_idle(fleet, "entry-3")


async def _wait_for_allowance(fleet: Fleet, caller: Caller, max_tokens: int) -> None:
    """Wait until the bucket, empty when its owner starts, covers such a call."""
    body = _body(max_tokens=max_tokens, words=1)
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while True:
            answer = await caller.send(
                "entry-3", "POST", COMPLETIONS, key=fleet.keys["north"], body=body
            )
            if answer.code != ALLOWANCE_EXCEEDED.code:
                break
            await asyncio.sleep(json.loads(answer.body)["error"]["retry_after_s"])
    assert answer.status == 200


async def _wait_until_running(fleet: Fleet, instance: str) -> None:
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while (await _fetch_status(fleet, instance))["running_calls"] == 0:
            await asyncio.sleep(0.02)


async def _wait_until_idle(fleet: Fleet, instance: str) -> None:
    """Wait until neither the instance nor the owner of any engine counts a call."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while (await _fetch_status(fleet, instance))["running_calls"] > 0:
            await asyncio.sleep(0.02)
        while await _count_permits(fleet) > 0:
            await asyncio.sleep(0.02)


async def _count_permits(fleet: Fleet) -> int:
    statuses = [await _fetch_status(fleet, name) for name in fleet.instances]
    return sum(e["running"] for status in statuses for e in status["engines"])


async def _fetch_status(fleet: Fleet, instance: str) -> dict[str, Any]:
    address = f"127.0.0.1:{fleet.instances[instance].operators}"
    found: dict[str, Any] = (await fetch_all([address], "/status"))[address]
    return found
