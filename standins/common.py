"""What all stand-ins share: faults, a record of received bytes, and their start."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
from pathlib import Path

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.web import Application
from tornado.web import RequestHandler


class Faults:
    """Faults that are switched on; each holds a value such as a count or seconds."""

    def __init__(self) -> None:
        self._on: dict[str, float] = {}

    def get(self, name: str) -> float:
        """Return the value of a fault; 0 when it is off."""
        return self._on.get(name, 0.0)

    def set(self, name: str, value: float) -> None:
        """Switch a fault on, or off with 0."""
        self._on[name] = value

    def take(self, name: str) -> bool:
        """Use up one occurrence of a counted fault."""
        left = self._on.get(name, 0.0)
        self._on[name] = max(left - 1, 0.0)
        return left > 0


class FaultHandler(RequestHandler):
    """``POST /fault/<name>?value=N`` switches a fault on, or off with 0."""

    def initialize(self, faults: Faults) -> None:
        self._faults = faults

    def post(self, name: str) -> None:
        value = float(self.get_query_argument("value", "1"))
        if name == "crash":
            # As kill -9 would: nothing is flushed and nothing is said.
            os.kill(os.getpid(), signal.SIGKILL)
        self._faults.set(name, value)
        self.finish("set\n")


class RecordingServer(HTTPServer):
    """Writes every byte that it receives to a file, for the search for keys."""

    def __init__(self, application: Application, record: Path) -> None:
        super().__init__(application)
        self._record = record.open("ab", buffering=0)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        read = stream.read_from_fd

        def recorded(buffer: bytearray | memoryview) -> int | None:
            count = read(buffer)
            if count:
                self._record.write(bytes(buffer[:count]))
            return count

        stream.read_from_fd = recorded
        super().handle_stream(stream, address)


def silence(handler: RequestHandler) -> asyncio.Future[None]:
    """Return what never ends, for a connection that goes silent for good."""
    del handler
    return asyncio.Future()


def arguments(description: str) -> argparse.ArgumentParser:
    """Return the arguments that every stand-in takes."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--record", type=Path, default=Path(os.devnull))
    return parser


async def serve(handlers: list, port: int, record: Path, faults: Faults) -> None:
    """Serve until the process ends."""
    application = Application(
        [*handlers, ("/fault/([a-z_]+)", FaultHandler, {"faults": faults})]
    )
    RecordingServer(application, record).listen(port, "127.0.0.1")
    await asyncio.Event().wait()


def answer_json(handler: RequestHandler, value: object) -> None:
    """Answer with JSON."""
    handler.set_header("Content-Type", "application/json")
    handler.finish(json.dumps(value))
