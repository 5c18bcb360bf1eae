"""Shared parts of the stand-ins: faults, recording of received bytes, startup."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import struct
from pathlib import Path

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.web import Application
from tornado.web import RequestHandler


class Faults:
    """Values of the faults by name: a count or a number of seconds, 0 when off."""

    def __init__(self) -> None:
        self._values: dict[str, float] = {}

    def get(self, name: str) -> float:
        """Return the value of a fault; 0 when it is off."""
        return self._values.get(name, 0.0)

    def set(self, name: str, value: float) -> None:
        """Switch a fault on, or off with 0."""
        self._values[name] = value

    def consume(self, name: str) -> bool:
        """Consume one occurrence of a counted fault; return whether it was on."""
        remaining = self._values.get(name, 0.0)
        self._values[name] = max(remaining - 1, 0.0)
        return remaining > 0


class FaultHandler(RequestHandler):
    """``POST /fault/<name>?value=N`` switches a fault on, or off with 0."""

    def initialize(self, faults: Faults) -> None:
        self._faults = faults

    def post(self, name: str) -> None:
        value = float(self.get_query_argument("value", "1"))
        if name == "crash":
            # Like kill -9: nothing is flushed and no response is sent.
            os.kill(os.getpid(), signal.SIGKILL)
        self._faults.set(name, value)
        self.finish("set\n")


class RecordingServer(HTTPServer):
    """Writes all received bytes to a file, which is searched for callers' keys."""

    def __init__(self, application: Application, record: Path) -> None:
        super().__init__(application)
        self._record = record.open("ab", buffering=0)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        read_from_fd = stream.read_from_fd

        def read_and_record(buffer: bytearray | memoryview) -> int | None:
            count = read_from_fd(buffer)
            if count:
                self._record.write(bytes(buffer[:count]))
            return count

        stream.read_from_fd = read_and_record
        super().handle_stream(stream, address)


def reset_on_close(connection: socket.socket) -> None:
    """Let the close of a connection send a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def wait_forever(handler: RequestHandler) -> asyncio.Future[None]:
    """Return a future that never completes, so that the connection stays idle."""
    del handler
    return asyncio.Future()


def create_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the arguments of every stand-in."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--record", type=Path, default=Path(os.devnull))
    return parser


async def serve(handlers: list, port: int, record: Path, faults: Faults) -> None:
    """Serve the handlers and ``/fault`` until the process ends."""
    application = Application(
        [*handlers, ("/fault/([a-z_]+)", FaultHandler, {"faults": faults})]
    )
    RecordingServer(application, record).listen(port, "127.0.0.1")
    await asyncio.Event().wait()


def write_json(handler: RequestHandler, value: object) -> None:
    """Finish the response with a JSON body."""
    handler.set_header("Content-Type", "application/json")
    handler.finish(json.dumps(value))
