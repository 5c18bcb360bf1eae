"""The program of a gateway on the users' platform."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path
from typing import final

from returns.result import Failure

from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.clock import SystemClock
from chiveslip.daemon.gateway import GatewayInstance
from chiveslip.daemon.gateway import PlatformInterfaces
from chiveslip.dispatch.connection import Connector
from chiveslip.gateway.catalogue import Catalogue
from chiveslip.gateway.dialect import GatewayDialect
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.generated.settings import Settings
from chiveslip.platform.catalogue import PlatformCatalogue
from chiveslip.platform.dialect import PlatformDialect
from chiveslip.platform.replicas import ReplicaControl
from chiveslip.platform.store import PlatformStore
from chiveslip.settings.check import load_settings
from chiveslip.store.client import KeyValueStore
from chiveslip.store.mirror import Listener

# The platform puts the path of the settings file here; the file is rendered from
# deploy/settings.yaml.
_SETTINGS_VARIABLE = "CHIVESLIP_BOOT"
_EXIT_FAULTY_SETTINGS = 2
_EXIT_CANNOT_LISTEN = 3


@final
class PlatformSurroundings(PlatformInterfaces):
    """The platform's store, replicas and headers."""

    def dialect(self) -> GatewayDialect:
        """Return the words of callers and endpoints."""
        return PlatformDialect()

    def store(self, connector: Connector, settings: Settings) -> KeyValueStore:
        """Return the store that is read."""
        store = settings.store
        return PlatformStore(connector, store.address, store.timeout)

    def engine_control(self, connector: Connector, clock: Clock) -> EngineControl:
        """Return the way to speak with engines about themselves."""
        return ReplicaControl(connector, clock)

    def listener(self, catalogue: Catalogue) -> Listener:
        """Return what brings the store's entries into the catalogue."""
        return PlatformCatalogue(catalogue).changed


def main() -> None:
    """Run a gateway until it is told to stop."""
    path = Path(os.environ.get(_SETTINGS_VARIABLE, "settings.yaml"))
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        for fault in loaded.failure():
            print(fault, file=sys.stderr)
        sys.exit(_EXIT_FAULTY_SETTINGS)
    settings = loaded.unwrap()
    logs.configure(settings.logs.form, settings.logs.level, to_standard_output=True)
    sys.exit(asyncio.run(_run(settings, path)))


async def _run(settings: Settings, path: Path) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    instance = GatewayInstance(settings, PlatformSurroundings(), SystemClock())
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, instance, path)
    log = logs.get_logger("daemon")
    try:
        await instance.start()
    except OSError as error:
        log.error("Cannot listen.", cause=str(error))
        return _EXIT_CANNOT_LISTEN
    with contextlib.suppress(asyncio.CancelledError):
        await stop.wait()
    await instance.stop()
    return 0


def _reload(instance: GatewayInstance, path: Path) -> None:
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        faults = [str(fault) for fault in loaded.failure()]
        logs.get_logger("daemon").error("Faulty settings; kept.", faults=faults)
        return
    instance.reload(loaded.unwrap())


if __name__ == "__main__":
    main()
