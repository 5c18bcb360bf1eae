"""Start a small local fleet, send it calls of each kind and print a table."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import sys
import tempfile
from pathlib import Path

from local import calls
from local.calls import CallRow
from local.fleet import Fleet
from local.processes import Processes


def main() -> None:
    """Run the command line; exits with 1 if a call has an unexpected result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--once", action="store_true", help="exit after printing the table"
    )
    options = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(asyncio.run(_run(options.once)))


async def _run(once: bool) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    work = asyncio.create_task(_work(once, stop))
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, _cancel_work, stop, work)
    try:
        return await work
    except asyncio.CancelledError:
        _show_progress("interrupted")
        return 130


def _cancel_work(stop: asyncio.Event, work: asyncio.Task[int]) -> None:
    if stop.is_set():
        return
    stop.set()
    work.cancel()


async def _work(once: bool, stop: asyncio.Event) -> int:
    with tempfile.TemporaryDirectory(prefix="chiveslip-") as name:
        directory = Path(name)
        async with Processes(directory) as processes:
            fleet = Fleet(directory=directory, processes=processes)
            _show_progress("starting stand-ins and three instances")
            await fleet.start()
            rows = await calls.run_calls(fleet, _show_progress)
            leaked_keys = _find_leaked_keys(fleet)
            _print_table(rows, leaked_keys)
            is_expected = all(row.is_expected for row in rows) and not leaked_keys
            if once:
                return 0 if is_expected else 1
            _print_usage(fleet)
            await stop.wait()
    return 0


def _find_leaked_keys(fleet: Fleet) -> list[str]:
    return [
        f"{record.name}: key of {organisation}"
        for record in fleet.records
        for organisation, key in fleet.keys.items()
        if key.encode() in record.read_bytes()
    ]


def _print_table(rows: list[CallRow], leaked_keys: list[str]) -> None:
    row_format = "{:<32} {:<8} {:>6} {:>5}  {:<20} {:<4} {}"
    print(row_format.format("call", "to", "status", "code", "expected", "", "answer"))
    for row in rows:
        print(
            row_format.format(
                row.name,
                row.instance,
                row.answer.status,
                row.answer.code,
                row.expected,
                "ok" if row.is_expected else "BAD",
                row.answer.text,
            )
        )
    unexpected = sum(not row.is_expected for row in rows)
    print(f"{len(rows)} calls, {unexpected} with an unexpected result")
    print("callers' keys received by stand-ins: " + ("; ".join(leaked_keys) or "none"))


def _print_usage(fleet: Fleet) -> None:
    url = fleet.url("entry-1", "/v1/completions")
    key = fleet.keys["north"]
    body = '{"model": "north-logs", "prompt": "Hello", "stream": true}'
    print("\nThe fleet keeps running until Ctrl-C. Try:")
    print(f"  curl -N {url} -H 'Authorization: Bearer {key}' -d '{body}'")
    print(f"  chiveslip status {' '.join(fleet.operators)}")


def _show_progress(text: str) -> None:
    print(f"... {text}", file=sys.stderr, flush=True)


if __name__ == "__main__":
    main()
