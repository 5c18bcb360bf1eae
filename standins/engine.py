"""Stand-in for a model engine with an OpenAI-compatible API.

Faults: ``crash``; ``hang`` (completions are never answered); ``cold_restart`` (all
adapters are unloaded); ``refuse_load`` N; ``cut`` N (close a stream's connection
halfway); ``silent`` N (send no events after half of a stream); ``wrong_adapter`` N
(name another adapter in the response); ``poison`` (a prompt with the word poison
crashes the engine).
"""

from __future__ import annotations

import asyncio
import collections
import json
import os
import signal
import uuid

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from standins import common


class EngineState:
    """Settings, loaded adapters, streams and faults of the engine."""

    def __init__(
        self, slots: int, load_s: float, token_s: float, checks_fencing: bool
    ) -> None:
        self.slots = slots
        self.load_s = load_s
        self.token_s = token_s
        self.checks_fencing = checks_fencing
        self.faults = common.Faults()
        self.fencing = 0
        self.loads = 0
        self.streams: dict[str, Stream] = {}
        self.running: collections.Counter[str] = collections.Counter()
        self.restart()

    def restart(self) -> None:
        """Unload all adapters and change the incarnation, as a cold restart does."""
        self.incarnation = uuid.uuid4().hex
        self.loaded: list[str] = []


class Stream:
    """The words of a streamed completion, kept so that it can be resumed."""

    def __init__(self, model: str, words: list[str]) -> None:
        self.model = model
        self.words = words


class _Handler(RequestHandler):
    def initialize(self, state: EngineState) -> None:
        self._state = state

    def _set_echo_headers(self, model: str) -> None:
        if self._state.faults.consume("wrong_adapter"):
            model = "another@1"
        self.set_header("X-Adapter", model)
        self.set_header("X-Request-Id", self.request.headers.get("X-Request-Id", ""))


class CompletionHandler(_Handler):
    """``POST /v1/completions`` and ``/v1/chat/completions``."""

    async def post(self) -> None:
        state = self._state
        body = json.loads(self.request.body)
        model = body["model"]
        if state.faults.get("hang"):
            await common.wait_forever(self)
        if state.faults.get("poison") and b"poison" in self.request.body:
            os.kill(os.getpid(), signal.SIGKILL)
        if model not in state.loaded:
            self.set_status(404)
            common.write_json(self, {"error": f"{model} is not loaded"})
            return
        count = min(int(body["max_tokens"]), int(body.get("words", 8)))
        words = [f"{model}-{number}" for number in range(1, count + 1)]
        state.running[model] += 1
        try:
            if body.get("stream"):
                stream = Stream(model, words)
                state.streams[self.request.headers["X-Request-Id"]] = stream
                await write_events(self, stream, 0)
                return
            await asyncio.sleep(state.token_s * count)
            prompt_tokens = len(self.request.body) // 8
            usage = {"completion_tokens": count, "total_tokens": prompt_tokens + count}
            self._set_echo_headers(model)
            choices = [{"index": 0, "text": " ".join(words), "finish_reason": "stop"}]
            common.write_json(
                self, {"model": model, "choices": choices, "usage": usage}
            )
        finally:
            state.running[model] -= 1


async def write_events(handler: _Handler, stream: Stream, after_number: int) -> None:
    """Send the events of a stream whose number is above `after_number`."""
    state = handler._state
    handler.set_header("Content-Type", "text/event-stream")
    handler._set_echo_headers(stream.model)
    middle = max(len(stream.words) // 2, after_number + 1)
    try:
        for number in range(after_number + 1, len(stream.words) + 1):
            await asyncio.sleep(state.token_s)
            if number == middle and state.faults.consume("cut"):
                handler.request.connection.stream.close()
                return
            if number == middle and state.faults.consume("silent"):
                await common.wait_forever(handler)
            choice = {"index": 0, "text": stream.words[number - 1]}
            data = json.dumps({"model": stream.model, "choices": [choice]})
            handler.write(f"id: {number}\ndata: {data}\n\n")
            await handler.flush()
        handler.finish("data: [DONE]\n\n")
    except StreamClosedError:
        return


class StreamHandler(_Handler):
    """``/v1/streams/<request>``: resume with GET, cancel with DELETE."""

    async def get(self, request: str) -> None:
        stream = self._state.streams.get(request)
        if stream is None:
            self.set_status(404)
            self.finish()
            return
        await write_events(self, stream, int(self.request.headers["Last-Event-ID"]))

    def delete(self, request: str) -> None:
        self._state.streams.pop(request, None)
        self.finish()


class LoadHandler(_Handler):
    """``GET /v1/load``: the engine's load report."""

    def get(self) -> None:
        state = self._state
        if state.faults.consume("cold_restart"):
            state.restart()
        common.write_json(
            self,
            {
                "incarnation": state.incarnation,
                "loaded": state.loaded,
                "running": {m: n for m, n in state.running.items() if n},
                "fencing": state.fencing,
                "loads": state.loads,
            },
        )


class OrderHandler(_Handler):
    """``POST /v1/load_lora_adapter`` and ``/v1/unload_lora_adapter``."""

    async def post(self, action: str) -> None:
        state = self._state
        fencing = int(self.request.headers["X-Fencing-Number"])
        if state.checks_fencing and fencing < state.fencing:
            self.set_status(409)
            common.write_json(self, {"error": f"fencing number {fencing} is old"})
            return
        state.fencing = max(state.fencing, fencing)
        name = json.loads(self.request.body)["lora_name"]
        if action == "unload":
            if name in state.loaded:
                state.loaded.remove(name)
            common.write_json(self, {})
            return
        if state.faults.consume("refuse_load") or len(state.loaded) >= state.slots:
            self.set_status(500)
            common.write_json(self, {"error": "the load failed"})
            return
        state.loads += 1
        await asyncio.sleep(state.load_s)
        if name not in state.loaded:
            state.loaded.append(name)
        common.write_json(self, {})


def main() -> None:
    """Run the engine stand-in."""
    parser = common.create_parser("Stand-in for a model engine.")
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--load-s", type=float, default=0.25)
    parser.add_argument("--token-s", type=float, default=0.005)
    parser.add_argument("--checks-fencing", action="store_true")
    options = parser.parse_args()
    state = EngineState(
        options.slots, options.load_s, options.token_s, options.checks_fencing
    )
    routes = [
        ("/v1/(?:chat/)?completions", CompletionHandler),
        ("/v1/streams/([0-9a-z.]+)", StreamHandler),
        ("/v1/load", LoadHandler),
        ("/v1/(load|unload)_lora_adapter", OrderHandler),
    ]
    handlers = [(path, handler, {"state": state}) for path, handler in routes]
    asyncio.run(common.serve(handlers, options.port, options.record, state.faults))


if __name__ == "__main__":
    main()
