"""Stand-in for the configuration service and the platform's lists.

Serves ``<name>.json`` and ``parts/`` of a directory with an index per value, by which
a client can long-poll for a change. Faults: ``down`` (answers 503); ``stale`` (keeps
serving the values read before); ``hang``.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from tornado.web import RequestHandler

from standins import common

_POLL_S = 0.05


class PublishedFiles:
    """The published files, or the values read before while ``stale`` is on."""

    def __init__(self, directory: Path, faults: common.Faults) -> None:
        self._directory = directory
        self._faults = faults
        self._last_read: dict[str, tuple[int, bytes]] = {}
        self.reads = 0

    def read(self, name: str) -> tuple[int, bytes] | None:
        """Return the index and content of a file, or None if there is none."""
        if self._faults.get("stale") and name in self._last_read:
            return self._last_read[name]
        path = self._directory / name
        if not path.is_file():
            return None
        content = path.read_bytes()
        index, last_content = self._last_read.get(name, (0, b""))
        if content != last_content:
            self._last_read[name] = (index + 1, content)
        return self._last_read[name]


class ValueHandler(RequestHandler):
    """``GET /v1/kv/<name>?index=N&wait=S``: wait S seconds for another index."""

    def initialize(self, files: PublishedFiles, faults: common.Faults) -> None:
        self._files = files
        self._faults = faults

    async def get(self, name: str) -> None:
        self._files.reads += 1
        if self._faults.get("hang"):
            await common.wait_forever(self)
        known_index = int(self.get_query_argument("index", "0"))
        remaining_s = float(self.get_query_argument("wait", "0"))
        file_name = (
            name.replace("part/", "parts/") if "part/" in name else f"{name}.json"
        )
        while True:
            if self._faults.get("down"):
                self.set_status(503)
                self.finish()
                return
            item = self._files.read(file_name)
            if item is None or item[0] != known_index or remaining_s <= 0:
                break
            await asyncio.sleep(_POLL_S)
            remaining_s -= _POLL_S
        if item is None:
            self.set_status(404)
            self.finish()
            return
        self.set_header("X-Index", str(item[0]))
        self.finish(item[1])


class ReadsHandler(RequestHandler):
    """``GET /reads``: the number of value reads so far."""

    def initialize(self, files: PublishedFiles) -> None:
        self._files = files

    def get(self) -> None:
        common.write_json(self, {"reads": self._files.reads})


def main() -> None:
    """Run the platform stand-in."""
    parser = common.create_parser("Stand-in for the configuration service.")
    parser.add_argument("--directory", type=Path, required=True)
    options = parser.parse_args()
    faults = common.Faults()
    files = PublishedFiles(options.directory, faults)
    arguments = {"files": files, "faults": faults}
    handlers = [
        ("/v1/kv/([a-z0-9/]+)", ValueHandler, arguments),
        ("/reads", ReadsHandler, {"files": files}),
    ]
    asyncio.run(common.serve(handlers, options.port, options.record, faults))


if __name__ == "__main__":
    main()
