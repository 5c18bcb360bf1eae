"""Fake engines and services, and the connections to them."""

from __future__ import annotations

import asyncio
import collections
import enum
import json
import math
import random
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import final

import attrs
from tornado.httputil import HTTPHeaders

from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import Exchange
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.dispatch.connection import ResponseHead
from chiveslip.dispatch.connection import ResponseTimeoutError
from chiveslip.dispatch.outgoing import OutgoingRequest
from chiveslip.dispatch.response_end import Ending
from chiveslip.dispatch.response_end import Framing
from chiveslip.dispatch.response_end import ResponseEnd
from chiveslip.dispatch.response_end import find_body_fault
from chiveslip.dispatch.response_limits import ResponseLimits
from chiveslip.dispatch.response_limits import ResponseTimer
from chiveslip.settings.fields import Address
from testing.simulation.network import SimulatedNetwork

CONNECT_TIMEOUT_S = 1.0
RESTART_DELAY_S = 1.5
TOKEN_INTERVAL_S = 0.02
LOAD_DURATION_S = 0.25
_MAX_ANSWER_TOKENS = 12
# Within the length of the shorter responses, so that most are cut.
_MAX_CUT_BYTES = 400
_ENDLESS_INTERVAL_S = 0.2


class ResponseFault(enum.Enum):
    """How the responses of an endpoint end wrongly."""

    CUT = "cut"
    """Neither length nor chunks; closed or reset after a random number of bytes."""
    ENDLESS = "endless"
    """Neither length nor chunks; a byte now and then after the body."""


@attrs.frozen(kw_only=True)
class EndpointRun:
    """A call that an endpoint started to run.

    `target` is the adapter, or the method and path at a service.
    """

    call_id: str
    target: str
    organisation: str
    idempotency_key: str
    at: float


class FakeEndpoint:
    """The common part of fake engines and services.

    `mismatched_answers` is how many of the next answers are those of another call.
    """

    def __init__(self, name: str, address: Address, network: SimulatedNetwork) -> None:
        self.name = name
        self.address = address
        self.network = network
        self.runs: list[EndpointRun] = []
        self.received_requests: list[bytes] = []
        self.mismatched_answers = 0
        self.response_fault: ResponseFault | None = None
        self.generator = random.Random(name)
        self.is_alive = True
        self.incarnation = 1
        self._serving: dict[asyncio.Task[None], None] = {}

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def crash(self) -> None:
        """Cancel all running requests, and restart after `RESTART_DELAY_S`."""
        if not self.is_alive:
            return
        self.is_alive = False
        for task in list(self._serving):
            task.cancel()
        asyncio.get_running_loop().call_later(RESTART_DELAY_S, self.restart)

    def restart(self) -> None:
        """Start as a new incarnation."""
        self.incarnation += 1
        self.is_alive = True

    def start_request(self, exchange: FakeExchange, outgoing: OutgoingRequest) -> None:
        """Start to handle a request."""
        self.received_requests.append(repr(outgoing).encode())
        task = asyncio.get_running_loop().create_task(
            self._handle_until_crash(exchange, outgoing)
        )
        self._serving[task] = None
        task.add_done_callback(lambda done: self._serving.pop(done, None))

    async def _handle_until_crash(
        self, exchange: FakeExchange, outgoing: OutgoingRequest
    ) -> None:
        try:
            await self.handle(exchange, outgoing)
        except asyncio.CancelledError:
            exchange.interrupt()

    async def handle(self, exchange: FakeExchange, outgoing: OutgoingRequest) -> None:
        """Handle one request."""
        raise NotImplementedError

    def record_run(self, outgoing: OutgoingRequest, target: str) -> None:
        """Record that a request started to run."""
        run = EndpointRun(
            call_id=outgoing.headers.get("X-Request-Id", ""),
            target=target,
            organisation=outgoing.headers.get("X-Organisation", ""),
            idempotency_key=outgoing.headers.get("idempotency-key", ""),
            at=self.now(),
        )
        self.runs.append(run)


@final
class FakeEngine(FakeEndpoint):
    """A model engine with adapter slots and a fencing number."""

    def __init__(
        self,
        name: str,
        address: Address,
        network: SimulatedNetwork,
        *,
        adapter_slots: int,
        checks_fencing: bool,
    ) -> None:
        super().__init__(name, address, network)
        self.adapter_slots = adapter_slots
        self.checks_fencing = checks_fencing
        self.loaded: list[str] = []
        self.running: collections.Counter[str] = collections.Counter()
        self.unloaded_in_use: list[str] = []
        self.highest_fencing = 0
        self.loads_to_fail = 0
        self.poison_crashes = 0
        self.completed_loads = 0
        self.on_load: Callable[[], None] = lambda: None
        self._streams: dict[str, tuple[str, int]] = {}

    def cold_restart(self) -> None:
        """Cancel all running requests and restart at once with nothing loaded."""
        for task in list(self._serving):
            task.cancel()
        self.restart()

    def restart(self) -> None:
        """Start as a new incarnation with nothing loaded."""
        super().restart()
        self.loaded.clear()
        self.running.clear()
        self._streams.clear()

    async def handle(self, exchange: FakeExchange, outgoing: OutgoingRequest) -> None:
        """Handle one request."""
        if outgoing.path == "/v1/load":
            await exchange.answer_json(self._report())
        elif outgoing.path.endswith("_lora_adapter"):
            await self._handle_order(exchange, outgoing)
        elif outgoing.path.startswith("/v1/streams/"):
            await self._resume_stream(exchange, outgoing)
        else:
            await self._handle_completion(exchange, outgoing)

    def _report(self) -> dict[str, object]:
        return {
            "incarnation": str(self.incarnation),
            "loaded": list(self.loaded),
            "running": {name: n for name, n in self.running.items() if n > 0},
            "fencing": self.highest_fencing,
        }

    async def _handle_order(
        self, exchange: FakeExchange, outgoing: OutgoingRequest
    ) -> None:
        fencing = int(outgoing.headers["X-Fencing-Number"])
        if self.checks_fencing and fencing < self.highest_fencing:
            await exchange.answer_json({"error": "old fencing number"}, status=409)
            return
        self.highest_fencing = max(self.highest_fencing, fencing)
        name = json.loads(outgoing.body)["lora_name"]
        if "unload" in outgoing.path:
            if self.running[name] > 0:
                self.unloaded_in_use.append(name)
            if name in self.loaded:
                self.loaded.remove(name)
            await exchange.answer_json({})
            return
        self.on_load()
        if self.loads_to_fail > 0 or len(self.loaded) >= self.adapter_slots:
            self.loads_to_fail = max(self.loads_to_fail - 1, 0)
            await exchange.answer_json({"error": "load failed"}, status=500)
            return
        incarnation = self.incarnation
        await asyncio.sleep(LOAD_DURATION_S)
        if incarnation == self.incarnation and name not in self.loaded:
            self.loaded.append(name)
            self.completed_loads += 1
        await exchange.answer_json({})

    async def _handle_completion(
        self, exchange: FakeExchange, outgoing: OutgoingRequest
    ) -> None:
        body = json.loads(outgoing.body)
        model = body["model"]
        if model not in self.loaded:
            await exchange.answer_json({"error": "not loaded"}, status=404)
            return
        self.record_run(outgoing, model)
        if "poison" in body.get("prompt", ""):
            # The engine crashes one token later, and all its running requests fail.
            asyncio.get_running_loop().call_later(
                TOKEN_INTERVAL_S, self._crash_on_poison
            )
        call = outgoing.headers["X-Request-Id"]
        count = min(int(body["max_tokens"]), _MAX_ANSWER_TOKENS)
        incarnation = self.incarnation
        self.running[model] += 1
        try:
            if body.get("stream"):
                self._streams[call] = (model, count)
                await self._send_events(exchange, call, model, 1, count)
                return
            await asyncio.sleep(TOKEN_INTERVAL_S * count)
            text = " ".join(f"{model}-{n}" for n in range(1, count + 1))
            usage = {"total_tokens": int(body["max_tokens"])}
            echo = _echo(call, model)
            if self.mismatched_answers > 0:
                # Sends the answer of another call.
                self.mismatched_answers -= 1
                text = "another@1-1"
                echo = _echo("call-x", "another@1")
            answer = {"choices": [{"text": text}], "usage": usage}
            await exchange.answer_json(answer, headers=echo)
        finally:
            if incarnation == self.incarnation:
                self.running[model] -= 1

    def _crash_on_poison(self) -> None:
        self.poison_crashes += int(self.is_alive)
        self.crash()

    async def _resume_stream(
        self, exchange: FakeExchange, outgoing: OutgoingRequest
    ) -> None:
        call = outgoing.headers["X-Request-Id"]
        stream = self._streams.get(call)
        if outgoing.method == "DELETE" or stream is None:
            status = 200 if outgoing.method == "DELETE" else 404
            await exchange.answer_json({}, status=status)
            return
        model, count = stream
        after = int(outgoing.headers["Last-Event-ID"])
        await self._send_events(exchange, call, model, after + 1, count)

    async def _send_events(
        self, exchange: FakeExchange, call: str, model: str, first: int, count: int
    ) -> None:
        headers = _echo(call, model) | {"Content-Type": "text/event-stream"}
        await exchange.answer_head(200, headers)
        for number in range(first, count + 1):
            await asyncio.sleep(TOKEN_INTERVAL_S)
            data = json.dumps({"choices": [{"text": f"{model}-{number}"}]})
            await exchange.answer_chunk(f"id: {number}\ndata: {data}\n\n".encode())
        await exchange.answer_chunk(b"data: [DONE]\n\n")
        await exchange.answer_end()


@final
class FakeService(FakeEndpoint):
    """A plain service that takes 0.1 s per call."""

    async def handle(self, exchange: FakeExchange, outgoing: OutgoingRequest) -> None:
        """Handle one request."""
        self.record_run(outgoing, f"{outgoing.method} {outgoing.path}")
        await asyncio.sleep(0.1)
        call = outgoing.headers["X-Request-Id"]
        if self.mismatched_answers > 0:
            self.mismatched_answers -= 1
            call = "call-x"
        await exchange.answer_json({"ran": call}, headers={"X-Request-Id": call})


def _echo(call: str, model: str) -> dict[str, str]:
    return {"X-Request-Id": call, "X-Adapter": model}


@final
class FakeExchange(Exchange):
    """One exchange on a connection between an instance and an endpoint."""

    def __init__(
        self,
        instance_id: str,
        endpoint: FakeEndpoint,
        network: SimulatedNetwork,
        write_transcript: Callable[[str], None],
    ) -> None:
        self._instance_id = instance_id
        self._write_transcript = write_transcript
        self._endpoint = endpoint
        self._network = network
        self._head: asyncio.Future[ResponseHead] = asyncio.Future()
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._framing = Framing.CHUNKS
        self._ending = Ending.RESET
        self._fault: ResponseFault | None = None
        self._bytes_until_cut = math.inf
        self._received_bytes = 0
        self._silent = False
        self._closed = False
        self._timer = ResponseTimer(ResponseLimits(max_s=0.0, max_body_bytes=0))

    @property
    def reused(self) -> bool:
        """Whether the connection carried an earlier exchange."""
        return False

    @property
    def end(self) -> ResponseEnd:
        """How the answer ended; a reset until it has."""
        return ResponseEnd(
            framing=self._framing,
            ending=self._ending,
            received_bytes=self._received_bytes,
        )

    async def send(self, outgoing: OutgoingRequest, limits: ResponseLimits) -> None:
        """Send the request."""
        self._timer = ResponseTimer(limits)
        await self._network.wait_while_paused(self._instance_id)
        headers = ", ".join(f"{n}: {v}" for n, v in sorted(outgoing.headers.items()))
        self._write_transcript(
            f"{self._instance_id} => {self._endpoint.name} "
            f"{outgoing.method} {outgoing.path} [{headers}] {outgoing.body.decode()}"
        )
        if not self._endpoint.is_alive:
            raise ExchangeInterruptedError("connection reset")
        if self._network.can_reach(self._instance_id, self._endpoint.name):
            self._endpoint.start_request(self, outgoing)

    async def head(self, max_wait_s: float = math.inf) -> ResponseHead:
        """Return the head of the answer."""
        try:
            async with asyncio.timeout(self._timer.remaining_s(max_wait_s)):
                head = await asyncio.shield(self._head)
        except TimeoutError as error:
            raise ResponseTimeoutError("no head of the answer in time") from error
        await self._network.wait_while_paused(self._instance_id)
        return head

    async def chunks(self, max_idle_s: float = math.inf) -> AsyncIterator[bytes]:
        """Yield the parts of the body."""
        while True:
            try:
                async with asyncio.timeout(self._timer.remaining_s(max_idle_s)):
                    chunk = await self._chunks.get()
            except TimeoutError as error:
                raise ResponseTimeoutError("no data of the answer in time") from error
            await self._network.wait_while_paused(self._instance_id)
            if chunk is None:
                break
            self._received_bytes += len(chunk)
            yield chunk
        fault = find_body_fault(self.end)
        if fault is not None:
            raise ExchangeInterruptedError(fault)

    def close(self) -> None:
        """End the exchange."""
        self._closed = True

    def interrupt(self) -> None:
        """Reset the connection, as the endpoint crashed."""
        if self._drop_if_unreachable():
            return
        if not self._head.done():
            self._head.set_exception(ExchangeInterruptedError("connection reset"))
            self._head.exception()
        self._chunks.put_nowait(None)

    async def answer_head(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of the answer to the instance."""
        await asyncio.sleep(0.0015)
        if self._drop_if_unreachable() or self._head.done():
            return
        self._fault = self._endpoint.response_fault
        if self._fault is not None:
            self._framing = Framing.CONNECTION
        if self._fault is ResponseFault.CUT:
            self._bytes_until_cut = self._endpoint.generator.randrange(_MAX_CUT_BYTES)
        self._head.set_result(ResponseHead(status=status, headers=HTTPHeaders(headers)))

    async def answer_chunk(self, chunk: bytes) -> None:
        """Send a part of the body."""
        if self._drop_if_unreachable() or self._bytes_until_cut < 0:
            return
        self._write_transcript(
            f"{self._endpoint.name} => {self._instance_id} {chunk!r}"
        )
        if len(chunk) < self._bytes_until_cut:
            self._bytes_until_cut -= len(chunk)
            self._chunks.put_nowait(chunk)
            return
        self._chunks.put_nowait(chunk[: int(self._bytes_until_cut)])
        self._bytes_until_cut = -1
        self._end_connection()

    async def answer_end(self) -> None:
        """Send the end of the body."""
        if self._drop_if_unreachable() or self._bytes_until_cut < 0:
            return
        if self._fault is None:
            self._ending = Ending.FRAMING
            self._chunks.put_nowait(None)
        elif self._fault is ResponseFault.CUT:
            self._end_connection()
        while self._fault is ResponseFault.ENDLESS and not self._closed:
            await asyncio.sleep(_ENDLESS_INTERVAL_S)
            await self.answer_chunk(b" ")

    def _end_connection(self) -> None:
        """Close the connection or reset it, by chance."""
        is_closed = self._endpoint.generator.random() < 0.5
        self._ending = Ending.CLOSE if is_closed else Ending.RESET
        self._chunks.put_nowait(None)

    async def answer_json(
        self,
        value: object,
        *,
        status: int = 200,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a complete JSON answer."""
        content_type = {"Content-Type": "application/json"}
        await self.answer_head(status, content_type | (headers or {}))
        await self.answer_chunk(json.dumps(value).encode())
        await self.answer_end()

    def _drop_if_unreachable(self) -> bool:
        # A connection that went silent stays silent, although new ones work.
        if self._network.is_silent(self._instance_id, self._endpoint.name):
            self._silent = True
        can_reach = self._network.can_reach(self._instance_id, self._endpoint.name)
        if not can_reach:
            self._silent = True
        return self._silent or self._closed


@final
class FakeConnector(Connector):
    """The connections of one instance to endpoints."""

    def __init__(
        self,
        instance_id: str,
        network: SimulatedNetwork,
        endpoints: dict[Address, FakeEndpoint],
        write_transcript: Callable[[str], None],
    ) -> None:
        self._write_transcript = write_transcript
        self._instance_id = instance_id
        self._network = network
        self._endpoints = endpoints

    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        """Return an exchange on a new connection."""
        del fresh
        endpoint = self._endpoints[address]
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._network.deliver(self._instance_id, endpoint.name)
        except TimeoutError as error:
            raise ConnectError(f"{endpoint.name}: no connection in time") from error
        if not endpoint.is_alive:
            raise ConnectError(f"{endpoint.name}: connection refused")
        return FakeExchange(
            self._instance_id, endpoint, self._network, self._write_transcript
        )
