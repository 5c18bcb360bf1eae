"""Stand-in for a plain service, which counts how often each call ran.

Faults: ``crash``; ``hang``; ``crash_after_run`` (run the call, then die without
an answer); ``slow`` SECONDS; ``fail`` N (answer 500).
"""

from __future__ import annotations

import asyncio
import collections
import os
import signal

from tornado.web import RequestHandler

from standins import common


class CallHandler(RequestHandler):
    """Any call."""

    def initialize(self, faults: common.Faults, runs: collections.Counter) -> None:
        self._faults = faults
        self._runs = runs

    async def get(self) -> None:
        if self._faults.get("hang"):
            await common.silence(self)
        once = self.request.headers.get("Idempotency-Key", "")
        self._runs[f"{self.request.method} {self.request.path} {once}"] += 1
        if self._faults.get("crash_after_run"):
            os.kill(os.getpid(), signal.SIGKILL)
        if self._faults.get("slow"):
            await asyncio.sleep(self._faults.get("slow"))
        if self._faults.take("fail"):
            self.set_status(500)
        self.set_header("X-Request-Id", self.request.headers.get("X-Request-Id", ""))
        body = self.request.body.decode(errors="replace")
        organisation = self.request.headers.get("X-Organisation", "")
        common.answer_json(
            self,
            {"path": self.request.path, "organisation": organisation, "body": body},
        )

    post = put = delete = get


class RunsHandler(RequestHandler):
    """``GET /runs``: how often each call ran."""

    def initialize(self, runs: collections.Counter) -> None:
        self._runs = runs

    def get(self) -> None:
        common.answer_json(self, dict(self._runs))


def main() -> None:
    """Run the stand-in."""
    given = common.arguments("Stand-in for a plain service.").parse_args()
    faults = common.Faults()
    runs: collections.Counter[str] = collections.Counter()
    handlers = [
        ("/runs", RunsHandler, {"runs": runs}),
        ("/(?!fault).*", CallHandler, {"faults": faults, "runs": runs}),
    ]
    asyncio.run(common.serve(handlers, given.port, given.record, faults))


if __name__ == "__main__":
    main()
