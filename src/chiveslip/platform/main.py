"""Entry point of a gateway on the users' platform."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path
from typing import final

from returns.result import Failure

from chiveslip import allocator
from chiveslip import logs
from chiveslip.clock import Clock
from chiveslip.clock import SystemClock
from chiveslip.daemon.gateway import GatewayInstance
from chiveslip.daemon.gateway import PlatformInterfaces
from chiveslip.dispatch.connection import Connector
from chiveslip.gateway.catalogue import Catalogue
from chiveslip.gateway.engine_control import EngineControl
from chiveslip.gateway.protocol import GatewayProtocol
from chiveslip.gateway.statement_recorder import StatementRecorder
from chiveslip.generated.settings import Settings
from chiveslip.platform import entry_order
from chiveslip.platform.catalogue_updater import CatalogueUpdater
from chiveslip.platform.protocol import PlatformProtocol
from chiveslip.platform.replicas import ReplicaControl
from chiveslip.platform.store import PlatformStore
from chiveslip.settings.check import load_settings
from chiveslip.store.client import KeyValueStore
from chiveslip.store.mirror import Listener

# The platform sets this variable to the path of the settings file, which it renders
# from deploy/settings.yaml.
_SETTINGS_PATH_VARIABLE = "CHIVESLIP_BOOT"
_EXIT_INVALID_SETTINGS = 2
_EXIT_CANNOT_LISTEN = 3


@final
class UserPlatformInterfaces(PlatformInterfaces):
    """Store, replica control and headers of the users' platform."""

    def make_protocol(self) -> GatewayProtocol:
        """Return the protocol of callers and endpoints."""
        return PlatformProtocol()

    def make_store(self, connector: Connector, settings: Settings) -> KeyValueStore:
        """Return the store to read."""
        store = settings.store
        return PlatformStore(connector, store.address, store.timeout)

    def make_engine_control(
        self, connector: Connector, clock: Clock, statements: StatementRecorder
    ) -> EngineControl:
        """Return the client for reports and orders of engines."""
        return ReplicaControl(connector, clock, statements)

    def choose_store_value(
        self, key: str, known: bytes | None, copy: bytes | None
    ) -> bytes | None:
        """Return the value of a key that holds after the store returned from a copy."""
        return entry_order.choose_value(key, known, copy)

    def make_store_listener(self, catalogue: Catalogue) -> Listener:
        """Return the listener that updates the catalogue from store entries."""
        return CatalogueUpdater(catalogue).apply_change


def main() -> None:
    """Run a gateway until it receives SIGTERM or SIGINT."""
    path = Path(os.environ.get(_SETTINGS_PATH_VARIABLE, "settings.yaml"))
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        for error in loaded.failure():
            print(error, file=sys.stderr)
        sys.exit(_EXIT_INVALID_SETTINGS)
    settings = loaded.unwrap().settings
    logs.configure(settings.logs.form, settings.logs.level, to_standard_output=True)
    logs.warn_of_replaced_settings(loaded.unwrap().warnings)
    allocator.return_large_blocks()
    sys.exit(asyncio.run(_run(settings, path)))


async def _run(settings: Settings, path: Path) -> int:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    instance = GatewayInstance(settings, UserPlatformInterfaces(), SystemClock())
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, instance, path)
    log = logs.get_logger("daemon")
    try:
        await instance.start()
    except OSError as error:
        log.error("Cannot listen.", cause=str(error))
        return _EXIT_CANNOT_LISTEN
    with contextlib.suppress(asyncio.CancelledError):
        await stop_requested.wait()
    await instance.stop()
    return 0


def _reload(instance: GatewayInstance, path: Path) -> None:
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        errors = [str(error) for error in loaded.failure()]
        logs.get_logger("daemon").error(
            "Invalid settings; the active settings are kept.", faults=errors
        )
        return
    logs.warn_of_replaced_settings(loaded.unwrap().warnings)
    instance.reload(loaded.unwrap().settings)


if __name__ == "__main__":
    main()
