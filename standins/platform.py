"""Stand-in for the configuration service and the platform's lists.

Reads ``<name>.json`` and ``parts/`` from a directory and serves them by index and
long poll. Faults: ``down`` (answers 503); ``stale`` (goes on with what it had);
``hang``.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from tornado.web import RequestHandler

from standins import common

_POLL_S = 0.05


class Store:
    """The published files, or a frozen copy while stale."""

    def __init__(self, directory: Path, faults: common.Faults) -> None:
        self._directory = directory
        self._faults = faults
        self._seen: dict[str, tuple[int, bytes]] = {}
        self.reads = 0

    def read(self, name: str) -> tuple[int, bytes] | None:
        """Return index and content of a name."""
        if self._faults.get("stale") and name in self._seen:
            return self._seen[name]
        path = self._directory / name
        if not path.is_file():
            return None
        content = path.read_bytes()
        index, known = self._seen.get(name, (0, b""))
        if content != known:
            self._seen[name] = (index + 1, content)
        return self._seen[name]


class ValueHandler(RequestHandler):
    """``GET /v1/kv/<name>?index=N&wait=S``."""

    def initialize(self, store: Store, faults: common.Faults) -> None:
        self._store = store
        self._faults = faults

    async def get(self, name: str) -> None:
        self._store.reads += 1
        if self._faults.get("hang"):
            await common.silence(self)
        known = int(self.get_query_argument("index", "0"))
        left_s = float(self.get_query_argument("wait", "0"))
        file = name.replace("part/", "parts/") if "part/" in name else f"{name}.json"
        while True:
            if self._faults.get("down"):
                self.set_status(503)
                self.finish()
                return
            found = self._store.read(file)
            if found is None or found[0] != known or left_s <= 0:
                break
            await asyncio.sleep(_POLL_S)
            left_s -= _POLL_S
        if found is None:
            self.set_status(404)
            self.finish()
            return
        self.set_header("X-Index", str(found[0]))
        self.finish(found[1])


class ReadsHandler(RequestHandler):
    """``GET /reads``: reads so far."""

    def initialize(self, store: Store) -> None:
        self._store = store

    def get(self) -> None:
        common.answer_json(self, {"reads": self._store.reads})


def main() -> None:
    """Run the stand-in."""
    parser = common.arguments("Stand-in for the configuration service.")
    parser.add_argument("--directory", type=Path, required=True)
    given = parser.parse_args()
    faults = common.Faults()
    store = Store(given.directory, faults)
    arguments = {"store": store, "faults": faults}
    handlers = [
        ("/v1/kv/([a-z0-9/]+)", ValueHandler, arguments),
        ("/reads", ReadsHandler, {"store": store}),
    ]
    asyncio.run(common.serve(handlers, given.port, given.record, faults))


if __name__ == "__main__":
    main()
