"""Brings the platform's entries into the product's catalogue."""

from __future__ import annotations

from typing import final

from chiveslip import logs
from chiveslip.gateway.catalogue import Catalogue
from chiveslip.platform import configuration
from chiveslip.platform import replicas
from chiveslip.platform.fields import UnreadableError
from chiveslip.store.client import Item


@final
class PlatformCatalogue:
    """Reads each changed entry of the store."""

    def __init__(self, catalogue: Catalogue) -> None:
        self._catalogue = catalogue
        self._log = logs.get_logger("platform")

    def changed(self, item: Item) -> None:
        """Take over one change; an entry that cannot be read changes nothing else."""
        try:
            self._take(item)
        except UnreadableError as error:
            self._log.warning(
                "Unreadable entry.",
                key=item.key,
                revision=item.revision,
                cause=str(error),
            )
            if item.key == configuration.CONFIGURATION_KEY:
                self._catalogue.record_refused_table(str(error))
            elif item.key.startswith(replicas.SERVERS_PREFIX):
                self._remove(item.key)

    def _take(self, item: Item) -> None:
        if item.key.startswith(replicas.SERVERS_PREFIX):
            if item.value is None:
                self._remove(item.key)
                return
            endpoint = replicas.read_endpoint(item.key, item.value)
            self._catalogue.update_endpoint(endpoint)
        elif item.key == configuration.CONFIGURATION_KEY and item.value is not None:
            table = configuration.read_configuration(item.value)
            self._catalogue.activate_table(table)
        elif item.key.startswith(configuration.VERSIONS_PREFIX) and item.value:
            adapter, version = configuration.read_version(item.key, item.value)
            self._catalogue.activate_version(adapter, version)

    def _remove(self, key: str) -> None:
        self._catalogue.remove_endpoint(key.removeprefix(replicas.SERVERS_PREFIX))
