"""Engines and services, and connections to them."""

from __future__ import annotations

import asyncio
import collections
import json
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
from chiveslip.engines.protocol import OutgoingRequest
from chiveslip.settings.fields import Address
from testing.world.links import Links

CONNECT_TIMEOUT_S = 1.0
RESTART_S = 1.5
TOKEN_S = 0.02
LOAD_S = 0.25
_WORDS = 12


@attrs.frozen(kw_only=True)
class Run:
    """A call that an endpoint began to run."""

    call: str
    what: str
    organisation: str
    once_key: str
    at: float


class FakeEndpoint:
    """What engines and services have in common."""

    def __init__(self, name: str, address: Address, links: Links) -> None:
        self.name = name
        self.address = address
        self.links = links
        self.runs: list[Run] = []
        self.received: list[bytes] = []
        self.crossing = 0
        self.alive = True
        self.incarnation = 1
        self._serving: dict[asyncio.Task[None], None] = {}

    def now(self) -> float:
        """Return the world's time."""
        return asyncio.get_running_loop().time()

    def crash(self) -> None:
        """Die with everything that runs; come back empty after a while."""
        if not self.alive:
            return
        self.alive = False
        for task in list(self._serving):
            task.cancel()
        asyncio.get_running_loop().call_later(RESTART_S, self.restart)

    def restart(self) -> None:
        """Run again, as a new incarnation."""
        self.incarnation += 1
        self.alive = True

    def serve(self, exchange: FakeExchange, outgoing: OutgoingRequest) -> None:
        """Take a request in."""
        self.received.append(repr(outgoing).encode())
        task = asyncio.get_running_loop().create_task(self._guarded(exchange, outgoing))
        self._serving[task] = None
        task.add_done_callback(lambda done: self._serving.pop(done, None))

    async def _guarded(self, exchange: FakeExchange, outgoing: OutgoingRequest) -> None:
        try:
            await self.handle(exchange, outgoing)
        except asyncio.CancelledError:
            exchange.broke()

    async def handle(self, exchange: FakeExchange, outgoing: OutgoingRequest) -> None:
        """Serve one request."""
        raise NotImplementedError

    def note(self, outgoing: OutgoingRequest, what: str) -> None:
        """Note that a request began to run."""
        run = Run(
            call=outgoing.headers.get("X-Request-Id", ""),
            what=what,
            organisation=outgoing.headers.get("X-Organisation", ""),
            once_key=outgoing.headers.get("idempotency-key", ""),
            at=self.now(),
        )
        self.runs.append(run)


@final
class FakeEngine(FakeEndpoint):
    """A model engine."""

    def __init__(
        self, name: str, address: Address, links: Links, *, slots: int, checks: bool
    ) -> None:
        super().__init__(name, address, links)
        self.slots = slots
        self.checks = checks
        self.loaded: list[str] = []
        self.running: collections.Counter[str] = collections.Counter()
        self.unloaded_in_use: list[str] = []
        self.fencing = 0
        self.failing_loads = 0
        self.poisoned = 0
        self.loads = 0
        self.on_load: Callable[[], None] = lambda: None
        self._streams: dict[str, tuple[str, int]] = {}

    def cold_restart(self) -> None:
        """Lose all that is loaded and all that runs, and be back at once."""
        for task in list(self._serving):
            task.cancel()
        self.restart()

    def restart(self) -> None:
        """Run again with nothing loaded."""
        super().restart()
        self.loaded.clear()
        self.running.clear()
        self._streams.clear()

    async def handle(self, exchange: FakeExchange, outgoing: OutgoingRequest) -> None:
        """Serve one request."""
        if outgoing.path == "/v1/load":
            await exchange.answer_json(self._report())
        elif outgoing.path.endswith("_lora_adapter"):
            await self._order(exchange, outgoing)
        elif outgoing.path.startswith("/v1/streams/"):
            await self._resume(exchange, outgoing)
        else:
            await self._complete(exchange, outgoing)

    def _report(self) -> dict[str, object]:
        return {
            "incarnation": str(self.incarnation),
            "loaded": list(self.loaded),
            "running": {name: n for name, n in self.running.items() if n > 0},
            "fencing": self.fencing,
        }

    async def _order(self, exchange: FakeExchange, outgoing: OutgoingRequest) -> None:
        fencing = int(outgoing.headers["X-Fencing-Number"])
        if self.checks and fencing < self.fencing:
            await exchange.answer_json({"error": "old fencing number"}, status=409)
            return
        self.fencing = max(self.fencing, fencing)
        name = json.loads(outgoing.body)["lora_name"]
        if "unload" in outgoing.path:
            if self.running[name] > 0:
                self.unloaded_in_use.append(name)
            if name in self.loaded:
                self.loaded.remove(name)
            await exchange.answer_json({})
            return
        self.on_load()
        if self.failing_loads > 0 or len(self.loaded) >= self.slots:
            self.failing_loads = max(self.failing_loads - 1, 0)
            await exchange.answer_json({"error": "no"}, status=500)
            return
        incarnation = self.incarnation
        await asyncio.sleep(LOAD_S)
        if incarnation == self.incarnation and name not in self.loaded:
            self.loaded.append(name)
            self.loads += 1
        await exchange.answer_json({})

    async def _complete(
        self, exchange: FakeExchange, outgoing: OutgoingRequest
    ) -> None:
        body = json.loads(outgoing.body)
        model = body["model"]
        if model not in self.loaded:
            await exchange.answer_json({"error": "not loaded"}, status=404)
            return
        self.note(outgoing, model)
        if "poison" in body.get("prompt", ""):
            # The engine dies a moment later, with all that it runs.
            asyncio.get_running_loop().call_later(TOKEN_S, self._die_of_poison)
        call = outgoing.headers["X-Request-Id"]
        count = min(int(body["max_tokens"]), _WORDS)
        incarnation = self.incarnation
        self.running[model] += 1
        try:
            if body.get("stream"):
                self._streams[call] = (model, count)
                await self._send_events(exchange, call, model, 1, count)
                return
            await asyncio.sleep(TOKEN_S * count)
            text = " ".join(f"{model}-{n}" for n in range(1, count + 1))
            usage = {"total_tokens": int(body["max_tokens"])}
            echo = _echo(call, model)
            if self.crossing > 0:
                # The answer of another call comes instead.
                self.crossing -= 1
                text = "another@1-1"
                echo = _echo("call-x", "another@1")
            answer = {"choices": [{"text": text}], "usage": usage}
            await exchange.answer_json(answer, headers=echo)
        finally:
            if incarnation == self.incarnation:
                self.running[model] -= 1

    def _die_of_poison(self) -> None:
        self.poisoned += int(self.alive)
        self.crash()

    async def _resume(self, exchange: FakeExchange, outgoing: OutgoingRequest) -> None:
        call = outgoing.headers["X-Request-Id"]
        found = self._streams.get(call)
        if outgoing.method == "DELETE" or found is None:
            status = 200 if outgoing.method == "DELETE" else 404
            await exchange.answer_json({}, status=status)
            return
        model, count = found
        after = int(outgoing.headers["Last-Event-ID"])
        await self._send_events(exchange, call, model, after + 1, count)

    async def _send_events(
        self, exchange: FakeExchange, call: str, model: str, first: int, count: int
    ) -> None:
        headers = _echo(call, model) | {"Content-Type": "text/event-stream"}
        await exchange.answer_head(200, headers)
        for number in range(first, count + 1):
            await asyncio.sleep(TOKEN_S)
            data = json.dumps({"choices": [{"text": f"{model}-{number}"}]})
            await exchange.answer_chunk(f"id: {number}\ndata: {data}\n\n".encode())
        await exchange.answer_chunk(b"data: [DONE]\n\n")
        await exchange.answer_end()


@final
class FakeService(FakeEndpoint):
    """A plain service, which takes a while for each call."""

    async def handle(self, exchange: FakeExchange, outgoing: OutgoingRequest) -> None:
        """Serve one request."""
        self.note(outgoing, f"{outgoing.method} {outgoing.path}")
        await asyncio.sleep(0.1)
        call = outgoing.headers["X-Request-Id"]
        if self.crossing > 0:
            self.crossing -= 1
            call = "call-x"
        await exchange.answer_json({"ran": call}, headers={"X-Request-Id": call})


def _echo(call: str, model: str) -> dict[str, str]:
    return {"X-Request-Id": call, "X-Adapter": model}


@final
class FakeExchange(Exchange):
    """A connection between an instance and an endpoint."""

    def __init__(
        self,
        me: str,
        endpoint: FakeEndpoint,
        links: Links,
        note: Callable[[str], None],
    ) -> None:
        self._me = me
        self._note = note
        self._endpoint = endpoint
        self._links = links
        self._head: asyncio.Future[ResponseHead] = asyncio.Future()
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._complete = False
        self._silent = False
        self._closed = False

    @property
    def reused(self) -> bool:
        """Whether the connection carried an earlier exchange."""
        return False

    async def send(self, outgoing: OutgoingRequest) -> None:
        """Send the request."""
        await self._links.gate(self._me)
        headers = ", ".join(f"{n}: {v}" for n, v in sorted(outgoing.headers.items()))
        self._note(
            f"{self._me} => {self._endpoint.name} {outgoing.method} {outgoing.path} "
            f"[{headers}] {outgoing.body.decode()}"
        )
        if not self._endpoint.alive:
            raise ExchangeInterruptedError("connection reset")
        if self._links.reaches(self._me, self._endpoint.name):
            self._endpoint.serve(self, outgoing)

    async def head(self, timeout_s: float) -> ResponseHead:
        """Wait for the answer's head."""
        try:
            async with asyncio.timeout(max(timeout_s, 0.0)):
                head = await asyncio.shield(self._head)
        except TimeoutError as error:
            raise ResponseTimeoutError("no answer in time") from error
        await self._links.gate(self._me)
        return head

    async def chunks(self, max_idle_s: float) -> AsyncIterator[bytes]:
        """Yield the body."""
        while True:
            try:
                async with asyncio.timeout(max(max_idle_s, 0.0)):
                    chunk = await self._chunks.get()
            except TimeoutError as error:
                raise ResponseTimeoutError("the answer went silent") from error
            await self._links.gate(self._me)
            if chunk is None:
                break
            yield chunk
        if not self._complete:
            raise ExchangeInterruptedError("the answer broke off")

    def close(self) -> None:
        """End the exchange."""
        self._closed = True

    def broke(self) -> None:
        """Tell the instance that the far end is gone, if anything reaches it."""
        if self._lost():
            return
        if not self._head.done():
            self._head.set_exception(ExchangeInterruptedError("connection reset"))
            self._head.exception()
        self._chunks.put_nowait(None)

    async def answer_head(self, status: int, headers: dict[str, str]) -> None:
        """Send the head."""
        await asyncio.sleep(0.0015)
        if self._lost() or self._head.done():
            return
        self._head.set_result(ResponseHead(status=status, headers=HTTPHeaders(headers)))

    async def answer_chunk(self, chunk: bytes) -> None:
        """Send a part of the body."""
        if not self._lost():
            self._note(f"{self._endpoint.name} => {self._me} {chunk!r}")
            self._chunks.put_nowait(chunk)

    async def answer_end(self) -> None:
        """Send the end of the body."""
        if self._lost():
            return
        self._complete = True
        self._chunks.put_nowait(None)

    async def answer_json(
        self,
        value: object,
        *,
        status: int = 200,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a whole answer."""
        await self.answer_head(status, headers or {})
        await self.answer_chunk(json.dumps(value).encode())
        await self.answer_end()

    def _lost(self) -> bool:
        # Once silent, a connection stays so, though new ones work.
        if self._links.is_silent(self._me, self._endpoint.name):
            self._silent = True
        reaches = self._links.reaches(self._me, self._endpoint.name)
        if not reaches:
            self._silent = True
        return self._silent or self._closed


@final
class FakeConnector(Connector):
    """Connections of one instance."""

    def __init__(
        self,
        me: str,
        links: Links,
        endpoints: dict[Address, FakeEndpoint],
        note: Callable[[str], None],
    ) -> None:
        self._note = note
        self._me = me
        self._links = links
        self._endpoints = endpoints

    async def open(self, address: Address, *, fresh: bool) -> Exchange:
        """Return an exchange on a new connection."""
        del fresh
        endpoint = self._endpoints[address]
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._links.cross(self._me, endpoint.name)
        except TimeoutError as error:
            raise ConnectError(f"{endpoint.name}: no connection in time") from error
        if not endpoint.alive:
            raise ConnectError(f"{endpoint.name}: connection refused")
        return FakeExchange(self._me, endpoint, self._links, self._note)
