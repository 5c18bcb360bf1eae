"""Stand-in for a plain service that counts how often each call was executed.

Faults: ``crash``; ``hang``; ``crash_after_run`` (execute the call, then end the process
without a response); ``slow`` SECONDS; ``fail`` N (respond with status 500).
"""

from __future__ import annotations

import asyncio
import collections
import os
import signal

from tornado.web import RequestHandler

from standins import common


class CallHandler(RequestHandler):
    """Executes a call to any other path: counts it and echoes its body."""

    def initialize(self, faults: common.Faults, runs: collections.Counter) -> None:
        self._faults = faults
        self._runs = runs

    async def get(self) -> None:
        if self._faults.get("hang"):
            await common.wait_forever(self)
        idempotency_key = self.request.headers.get("Idempotency-Key", "")
        self._runs[f"{self.request.method} {self.request.path} {idempotency_key}"] += 1
        if self._faults.get("crash_after_run"):
            os.kill(os.getpid(), signal.SIGKILL)
        if self._faults.get("slow"):
            await asyncio.sleep(self._faults.get("slow"))
        if self._faults.consume("fail"):
            self.set_status(500)
        self.set_header("X-Request-Id", self.request.headers.get("X-Request-Id", ""))
        body = self.request.body.decode(errors="replace")
        organisation = self.request.headers.get("X-Organisation", "")
        common.write_json(
            self,
            {"path": self.request.path, "organisation": organisation, "body": body},
        )

    post = put = delete = get


class RunsHandler(RequestHandler):
    """``GET /runs``: the number of executions by method, path and idempotency key."""

    def initialize(self, runs: collections.Counter) -> None:
        self._runs = runs

    def get(self) -> None:
        common.write_json(self, dict(self._runs))


def main() -> None:
    """Run the service stand-in."""
    options = common.create_parser("Stand-in for a plain service.").parse_args()
    faults = common.Faults()
    runs: collections.Counter[str] = collections.Counter()
    handlers = [
        ("/runs", RunsHandler, {"runs": runs}),
        ("/(?!fault).*", CallHandler, {"faults": faults, "runs": runs}),
    ]
    asyncio.run(common.serve(handlers, options.port, options.record, faults))


if __name__ == "__main__":
    main()
