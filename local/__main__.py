"""Start the small fleet, send calls of each kind, print a table."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import sys
import tempfile
from pathlib import Path

from local import calls
from local.calls import Line
from local.fleet import Fleet
from local.processes import Processes


def main() -> None:
    """Run the script."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--once", action="store_true", help="end after the table")
    given = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(asyncio.run(_run(given.once)))


async def _run(once: bool) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    work = asyncio.create_task(_work(once, stop))
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, _interrupt, stop, work)
    try:
        return await work
    except asyncio.CancelledError:
        _show("interrupted")
        return 130


def _interrupt(stop: asyncio.Event, work: asyncio.Task[int]) -> None:
    if stop.is_set():
        return
    stop.set()
    work.cancel()


async def _work(once: bool, stop: asyncio.Event) -> int:
    with tempfile.TemporaryDirectory(prefix="chiveslip-") as name:
        directory = Path(name)
        async with Processes(directory) as processes:
            fleet = Fleet(directory=directory, processes=processes)
            _show("starting stand-ins and three instances")
            await fleet.start()
            lines = await calls.table(fleet, _show)
            found = _search_keys(fleet)
            _print(lines, found)
            good = all(line.good for line in lines) and not found
            if once:
                return 0 if good else 1
            _invite(fleet)
            await stop.wait()
    return 0


def _search_keys(fleet: Fleet) -> list[str]:
    return [
        f"{record.name}: key of {organisation}"
        for record in fleet.records
        for organisation, key in fleet.keys.items()
        if key.encode() in record.read_bytes()
    ]


def _print(lines: list[Line], found: list[str]) -> None:
    row = "{:<32} {:<8} {:>6} {:>5}  {:<20} {:<4} {}"
    print(row.format("call", "to", "status", "code", "wanted", "", "answer"))
    for line in lines:
        print(
            row.format(
                line.name,
                line.instance,
                line.answer.status,
                line.answer.code,
                line.wanted,
                "ok" if line.good else "BAD",
                line.answer.text,
            )
        )
    bad = sum(not line.good for line in lines)
    print(f"{len(lines)} lines, {bad} not as they must be")
    print("callers' keys seen by stand-ins: " + ("; ".join(found) or "none"))


def _invite(fleet: Fleet) -> None:
    url = fleet.url("entry-1", "/v1/completions")
    key = fleet.keys["north"]
    body = '{"model": "north-logs", "prompt": "Hello", "stream": true}'
    print("\nThe fleet stays up; Ctrl-C ends it. Try:")
    print(f"  curl -N {url} -H 'Authorization: Bearer {key}' -d '{body}'")
    print(f"  chiveslip status {' '.join(fleet.operators)}")


def _show(text: str) -> None:
    print(f"... {text}", file=sys.stderr, flush=True)


if __name__ == "__main__":
    main()
