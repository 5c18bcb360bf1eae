"""The program ``chiveslipd``: runs one instance until a stop signal."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from returns.result import Failure

import chiveslip
from chiveslip import logs
from chiveslip.clock import SystemClock
from chiveslip.daemon.instance import Instance
from chiveslip.generated.settings import Settings
from chiveslip.settings.check import load_settings

EXIT_STOPPED = 0
EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3


@dataclass
class Daemon:
    """Run one instance of chiveslip.

    Exit codes: 0 after a planned stop (SIGTERM or SIGINT), 2 if the settings are
    invalid, 3 if an address cannot be listened on.
    """

    settings: Annotated[Path, cappa.Arg(help="Settings file in YAML.")]


def main() -> None:
    """Run the daemon with the arguments of this process."""
    arguments = cappa.parse(Daemon, version=chiveslip.__version__)
    loaded = load_settings(arguments.settings)
    if isinstance(loaded, Failure):
        for error in loaded.failure():
            print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    settings = loaded.unwrap().settings
    logs.configure(settings.logs.form, settings.logs.level)
    logs.warn_of_replaced_settings(loaded.unwrap().warnings)
    sys.exit(asyncio.run(_run(settings)))


async def _run(settings: Settings) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    instance = Instance(settings, SystemClock())
    try:
        await instance.start()
    except OSError as error:
        logs.get_logger("daemon").error("Cannot listen.", cause=str(error))
        return EXIT_CANNOT_LISTEN
    joining = asyncio.create_task(instance.join())
    await stop.wait()
    joining.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await joining
    await instance.stop()
    return EXIT_STOPPED


if __name__ == "__main__":
    main()
