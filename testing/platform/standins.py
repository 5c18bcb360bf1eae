"""Small stand-ins for the platform's store and for a model replica, on loopback."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import random
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from testing.platform.response_faults import ResponseFault
from testing.platform.response_faults import ResponseFaults


def _start_server(application: Application) -> tuple[HTTPServer, int]:
    sockets = bind_sockets(0, "127.0.0.1")
    server = HTTPServer(application)
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


class StoreStandIn:
    """Items with one increasing revision, which are read and watched over HTTP."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 100
        self.is_down = False
        # Further ports at which every read fails.
        self.failing_ports: set[int] = set()
        self.response_faults = ResponseFaults("store")
        self.oldest_revision = 0
        self.era = 0
        self.reads = 0
        self._copies: list[tuple[int, dict[str, dict[str, Any]]]] = []
        # Awaited once, before the second page of a read is sent.
        self.before_second_page: Callable[[], Awaitable[None]] | None = None
        self.changed = asyncio.Condition()
        self._views: dict[int, dict[str, str]] = {}
        self.server, self.port = _start_server(
            Application(
                [
                    ("/chiveslip/kv-range", _Range, {"store": self}),
                    ("/chiveslip/kv-watch", _Watch, {"store": self}),
                ]
            )
        )

    def add_view(self, addresses: dict[str, str]) -> int:
        """Serve the items at a further port with other addresses; return the port."""
        sockets = bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        port: int = sockets[0].getsockname()[1]
        self._views[port] = addresses
        return port

    def show_at(self, port: int, item: dict[str, Any]) -> dict[str, Any]:
        """Return an item as it is served at a port."""
        addresses = self._views.get(port)
        if not addresses or "value" not in item:
            return item
        data = base64.b64decode(item["value"])
        for address, shown in addresses.items():
            data = data.replace(f'"{address}"'.encode(), f'"{shown}"'.encode())
        return item | {"value": base64.b64encode(data).decode()}

    async def put(self, key: str, value: dict[str, Any] | bytes) -> None:
        """Write an item."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
        }
        self.items[key] = item
        await self._publish(item)

    async def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        await self._publish({"key": key, "revision": self.revision, "removed": True})

    async def reset_connections(self) -> None:
        """Close all connections of readers, which may connect again at once."""
        await self.server.close_all_connections()

    def drop_history(self) -> None:
        """Drop all events, so that watches from earlier revisions receive 410."""
        self.events.clear()
        self.oldest_revision = self.revision

    def copy(self) -> int:
        """Keep a copy of all items; return its number."""
        self._copies.append((self.revision, dict(self.items)))
        return len(self._copies) - 1

    async def return_from_copy(self, number: int) -> None:
        """Lose what was written since a copy, and begin a new era."""
        self.revision, items = self._copies[number]
        self.items = dict(items)
        self.era += 1
        self.events.clear()
        self.oldest_revision = self.revision
        async with self.changed:
            self.changed.notify_all()

    async def _publish(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        async with self.changed:
            self.changed.notify_all()


async def _finish_json(
    handler: RequestHandler,
    document: dict[str, Any],
    faults: ResponseFaults,
    headers: dict[str, str] | None = None,
) -> None:
    """Finish a response with a document, or end it wrongly."""
    fault = faults.draw()
    if fault is None:
        handler.finish(document)
        return
    body = json.dumps(document).encode()
    all_headers = {"Content-Type": "application/json"} | (headers or {})
    await faults.send(handler, all_headers, body, fault)


class _StoreHandler(RequestHandler):
    def initialize(self, store: StoreStandIn) -> None:
        self.store = store

    def show(self, items: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Return items as they are served at the port that was asked."""
        return [self.store.show_at(self.port, item) for item in items]

    def prepare(self) -> None:
        stream = self.request.connection.stream  # type: ignore[union-attr]
        # Of a connection that is closed already, the port does not matter.
        self.port = 0 if stream.closed() else stream.socket.getsockname()[1]
        self.store.reads += 1
        self.set_header("Store-Era", str(self.store.era))
        if self.store.is_down or self.port in self.store.failing_ports:
            self.set_status(503)
            self.finish()


class _Range(_StoreHandler):
    async def get(self) -> None:
        after = self.get_query_argument("after", "")
        action = self.store.before_second_page
        if after and action is not None:
            self.store.before_second_page = None
            await action()
            self.set_header("Store-Era", str(self.store.era))
        items = sorted(
            (item for key, item in self.store.items.items() if key > after),
            key=lambda item: item["key"],
        )
        # Two items per page, so that every test reads several pages.
        page = items[:2]
        document = {
            "items": self.show(page),
            "has_more": len(items) > len(page),
            "store_revision": self.store.revision,
        }
        headers = {"Store-Era": str(self.store.era)}
        await _finish_json(self, document, self.store.response_faults, headers)


class _Watch(_StoreHandler):
    def _has_no_history(self, after: int) -> bool:
        return not self.store.oldest_revision <= after <= self.store.revision

    async def get(self) -> None:
        after = int(self.get_query_argument("after"))
        wait_s = int(self.get_query_argument("wait_ms")) / 1000
        if self._has_no_history(after):
            self.set_status(410)
            return
        era = self.store.era
        try:
            async with asyncio.timeout(wait_s), self.store.changed:
                await self.store.changed.wait_for(
                    lambda: self.store.revision > after or self.store.era != era
                )
        except TimeoutError:
            pass
        self.set_header("Store-Era", str(self.store.era))
        if self.store.era != era or self._has_no_history(after):
            self.set_status(410)
            return
        events = [event for event in self.store.events if event["revision"] > after]
        document = {
            "events": self.show(events),
            "store_revision": self.store.revision,
        }
        headers = {"Store-Era": str(self.store.era)}
        await _finish_json(self, document, self.store.response_faults, headers)


@attrs.define
class ReceivedRequest:
    """A request as a replica received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@attrs.frozen(kw_only=True)
class Arrival:
    """A request that reached a replica, whether the replica ran it or not.

    Attributes
    ----------
    start
        Start of the replica, counted from 1.
    source
        Who sent it.
    at
        Monotonic time in seconds.
    rest_s
        Time of rest in seconds that the refusal asked for, or 0.
    """

    request_id: str
    start: int
    source: str
    at: float
    rest_s: float = 0.0


@attrs.define(kw_only=True)
class BrittleTime:
    """A time in which a replica falls if it refuses too much for want of room.

    Attributes
    ----------
    max_refusals_per_s
        Refusals a second that it bears.
    room
        Requests that it has room for.
    judged_from
        Monotonic time in seconds from which refusals count.
    answer_s
        Time in seconds that a request takes.
    falls
        The refusals within a second that each fall followed.
    """

    max_refusals_per_s: int
    room: int
    judged_from: float
    answer_s: float = 0.0
    running: int = 0
    falls: list[list[Arrival]] = attrs.field(factory=list)
    _refused: list[Arrival] = attrs.field(factory=list)

    def has_room(self, arrival: Arrival) -> bool:
        """Return whether a request finds room, and count its refusal if not."""
        if self.running < self.room:
            return True
        if arrival.at < self.judged_from:
            return False
        recent = [each for each in self._refused if each.at > arrival.at - 1.0]
        self._refused = [*recent, arrival]
        if len(self._refused) > self.max_refusals_per_s:
            self.falls.append(self._refused)
            self._refused = []
        return False


class ReplicaStandIn:
    """Model replica that loads adapters by order and answers with three events."""

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.models: dict[str, set[str]] = {"m": set()}
        self.accepted_orders = 0
        self.fence = 0
        self.received_requests: list[ReceivedRequest] = []
        self.received_orders: list[dict[str, Any]] = []
        # Event number after which the next stream is interrupted.
        self.interrupt_after: int | None = None
        self.response_faults = ResponseFaults(identity)
        # Share of the requests that get a failure whose body does not end.
        self.endless_failures = 0.0
        self._random = random.Random(identity)
        # Event that requests wait for, or None if they are answered at once.
        self.release_event: asyncio.Event | None = None
        # Part of a prompt on which the process crashes as it begins to answer.
        self.crashing_part = ""
        self.pause_between_events_s = 0.0
        # Returns who sent a request, by the port that it comes from.
        self.find_source: Callable[[int], str] = str
        # Requests that reached the replica, also those that it refused.
        self.arrivals: list[Arrival] = []
        # Time of rest in seconds that it asks for as it refuses all requests, or 0.
        self.rest_s = 0.0
        self.brittle: BrittleTime | None = None
        # Further headers of all answers to requests.
        self.answer_headers: dict[str, str] = {}
        # Bodies of the answers to plain requests by path, if not the usual one.
        self.answers: dict[str, bytes] = {}
        # Time from the acceptance of an order to the answer.
        self.order_delay_s = 0.0
        self.starts = 1
        self._streams: set[IOStream] = set()
        self._application = Application(
            [
                ("/chiveslip/report", _Report, {"replica": self}),
                ("/chiveslip/order", _Order, {"replica": self}),
                (".*", _Inference, {"replica": self}),
            ]
        )
        self.server, self.port = _start_server(self._application)

    def draw_endless_failure(self) -> bool:
        """Return whether the next request gets a failure that does not end."""
        return self._random.random() < self.endless_failures

    def crash(self) -> None:
        """Close the port and break off all requests."""
        self.server.stop()
        for stream in self._streams:
            stream.close()
        self._streams.clear()

    def start_again(self) -> None:
        """Start with nothing loaded but the base models, at another port."""
        self.starts += 1
        self.models = {name: set() for name in self.models}
        self.accepted_orders = self.fence = 0
        self.server, self.port = _start_server(self._application)

    def restart_in_place(self) -> None:
        """Start again, empty, at the same port; open connections live on."""
        self.starts += 1
        self.models = {name: set() for name in self.models}
        self.accepted_orders = self.fence = 0
        self.answer_headers = {}

    def keep_stream(self, stream: IOStream) -> None:
        """Remember a connection, which a crash breaks off."""
        self._streams = {known for known in self._streams if not known.closed()}
        self._streams.add(stream)

    def build_entry(self, service: str, **changes: Any) -> dict[str, Any]:
        """Return the entry with which the replica registers in the store."""
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "glasgow",
            "slots": 8,
            "state": "ready",
            "born": self.starts,
            "models": self.list_models(),
            "sequence": self.accepted_orders,
        } | changes

    def list_models(self) -> list[dict[str, Any]]:
        """Return the models and adapters that are loaded in the replica."""
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]


class _ReplicaHandler(RequestHandler):
    def initialize(self, replica: ReplicaStandIn) -> None:
        self.replica = replica

    def prepare(self) -> None:
        assert self.request.connection is not None
        self.replica.keep_stream(self.request.connection.stream)  # type: ignore[attr-defined]


class _Report(_ReplicaHandler):
    async def get(self) -> None:
        document = {
            "models": self.replica.list_models(),
            "sequence": self.replica.accepted_orders,
            "born": self.replica.starts,
            "running": 0,
            "waiting": 0,
            "kv_used": 0,
            "coming": [],
        }
        await _finish_json(self, document, self.replica.response_faults)


class _Order(_ReplicaHandler):
    async def post(self) -> None:
        order = json.loads(self.request.body)
        self.replica.received_orders.append(order)
        if order["fencing_token"] < self.replica.fence:
            self.set_status(412)
        elif order["precondition"] != self.replica.accepted_orders:
            self.set_status(409)
        else:
            self.replica.fence = order["fencing_token"]
            self.replica.accepted_orders += 1
            self._apply_order(order)
        await asyncio.sleep(self.replica.order_delay_s)
        await _finish_json(self, {}, self.replica.response_faults)

    def _apply_order(self, order: dict[str, Any]) -> None:
        adapters = self.replica.models.setdefault(order["model"], set())
        name = order.get("adapter")
        self.set_status(202)
        if name and order["operation"] == "load":
            adapters.add(f"{name}@{order.get('version', 1)}")
        elif name:
            adapters.discard(f"{name}@1")
            self.set_status(200)


class _Inference(_ReplicaHandler):
    async def get(self) -> None:
        await self._answer(self.request)

    async def post(self) -> None:
        await self._answer(self.request)

    async def _answer(self, request: HTTPServerRequest) -> None:
        replica = self.replica
        self.set_header("X-Request-Id", request.headers["X-Request-Id"])
        arrival = self._record_arrival(request)
        if replica.rest_s > 0:
            self._refuse({"Retry-After": str(replica.rest_s)})
            return
        brittle = replica.brittle
        if brittle is None:
            await self._run(request)
            return
        self.set_header("Server-Brittle", str(brittle.max_refusals_per_s))
        if not brittle.has_room(arrival):
            self._refuse({})
            return
        brittle.running += 1
        try:
            await asyncio.sleep(brittle.answer_s)
            await self._run(request)
        finally:
            brittle.running -= 1

    def _record_arrival(self, request: HTTPServerRequest) -> Arrival:
        context = request.connection.context  # type: ignore[union-attr]
        arrival = Arrival(
            request_id=request.headers["X-Request-Id"],
            start=self.replica.starts,
            source=self.replica.find_source(context.address[1]),
            at=time.monotonic(),
            rest_s=self.replica.rest_s,
        )
        self.replica.arrivals.append(arrival)
        return arrival

    def _refuse(self, headers: dict[str, str]) -> None:
        self.set_status(503)
        self.set_header("X-Not-Executed", "1")
        for name, value in headers.items():
            self.set_header(name, value)

    async def _run(self, request: HTTPServerRequest) -> None:
        replica = self.replica
        model, _, adapter = request.headers.get("X-Model", "").partition("/")
        adapters = {name.partition("@")[0] for name in replica.models.get(model, ())}
        if model and (model not in replica.models or adapter not in {"", *adapters}):
            self.set_status(421)
            return
        replica.received_requests.append(
            ReceivedRequest(
                request.method or "",
                request.uri or "",
                dict(request.headers),
                request.body,
            )
        )
        self.set_header("X-Server-Signature", replica.identity)
        for name, value in replica.answer_headers.items():
            self.set_header(name, value)
        if replica.release_event is not None:
            await replica.release_event.wait()
        if replica.draw_endless_failure():
            await replica.response_faults.send_endless_failure(
                self,
                {
                    "X-Request-Id": request.headers["X-Request-Id"],
                    "X-Server-Signature": replica.identity,
                },
            )
            return
        first_event = int(request.headers.get("Last-Event-Id", "0")) + 1
        fault = replica.response_faults.draw()
        if fault is not None:
            await self._answer_wrongly(
                request, fault, first_event, is_stream=bool(model)
            )
            return
        if not model:
            self.finish(replica.answers.get(request.path, b"done"))
            return
        self.set_header("Content-Type", "text/event-stream")
        parts = request.headers.get("X-Prompt-Prefix", "").split(",")
        if replica.crashing_part in [part.partition(":")[0] for part in parts[:-1]]:
            await self.flush()
            replica.crash()
            return
        for number in range(first_event, 4):
            await asyncio.sleep(replica.pause_between_events_s)
            if replica.interrupt_after is not None and number > replica.interrupt_after:
                replica.interrupt_after = None
                request.connection.stream.close()  # type: ignore[union-attr]
                return
            self.write(f"id: {number}\ndata: {replica.identity}\n\n")
            with contextlib.suppress(StreamClosedError):
                await self.flush()

    async def _answer_wrongly(
        self,
        request: HTTPServerRequest,
        fault: ResponseFault,
        first_event: int,
        *,
        is_stream: bool,
    ) -> None:
        replica = self.replica
        headers = {
            "X-Request-Id": request.headers["X-Request-Id"],
            "X-Server-Signature": replica.identity,
        }
        body = b"done"
        if is_stream:
            headers["Content-Type"] = "text/event-stream"
            body = b"".join(
                f"id: {number}\ndata: {replica.identity}\n\n".encode()
                for number in range(first_event, 4)
            )
        elif fault is ResponseFault.CLOSED:
            # Nothing shows that a plain body without length was closed too early.
            fault = ResponseFault.RESET
        await replica.response_faults.send(self, headers, body, fault)
