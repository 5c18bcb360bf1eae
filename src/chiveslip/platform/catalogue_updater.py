"""Updates the catalogue of the gateway from the entries of the platform's store."""

from __future__ import annotations

from typing import final

import attrs

from chiveslip import logs
from chiveslip.gateway.catalogue import Catalogue
from chiveslip.platform import configuration
from chiveslip.platform import replicas
from chiveslip.platform.fields import UnreadableError
from chiveslip.store.client import Item


@final
class CatalogueUpdater:
    """Parses each changed entry of the store and applies it to the catalogue."""

    def __init__(self, catalogue: Catalogue) -> None:
        self._catalogue = catalogue
        # Number of the revision at which each endpoint's entry was written.
        self._written_at: dict[str, int] = {}
        self._log = logs.get_logger("platform")

    def apply_change(self, item: Item, source: str) -> None:
        """Apply one change; an unreadable entry does not affect other entries."""
        try:
            self._parse_and_apply(item, source)
        except UnreadableError as error:
            self._log.warning(
                "Unreadable store entry.",
                key=item.key,
                revision=str(item.revision),
                cause=str(error),
            )
            if item.key == configuration.CONFIGURATION_KEY:
                self._catalogue.record_refused_table(str(error))
            elif item.key.startswith(replicas.SERVERS_PREFIX):
                self._remove_endpoint(item.key, source, may_be_renewed=True)

    def _parse_and_apply(self, item: Item, source: str) -> None:
        if item.key.startswith(replicas.SERVERS_PREFIX):
            is_new = self._written_at.get(item.key) != item.revision.number
            if item.value is None:
                self._written_at.pop(item.key, None)
                may_be_renewed = not item.is_kept_removal
                self._remove_endpoint(item.key, source, may_be_renewed=may_be_renewed)
                return
            self._written_at[item.key] = item.revision.number
            endpoint = replicas.read_endpoint(item.key, item.value)
            if not is_new:
                # After a return of the store, the time for which it is cold is old.
                endpoint = attrs.evolve(endpoint, cold_remaining_s=0.0)
            self._catalogue.update_endpoint(endpoint, source)
        elif item.key.startswith(configuration.EVACUATIONS_PREFIX):
            data_centre = configuration.read_evacuation(item.key)
            if item.value is None:
                self._catalogue.end_evacuation(data_centre, source)
            else:
                self._catalogue.begin_evacuation(data_centre, source)
        elif item.key == configuration.CONFIGURATION_KEY and item.value is not None:
            table = configuration.read_configuration(item.value)
            self._catalogue.activate_table(table)
        elif item.key.startswith(configuration.VERSIONS_PREFIX) and item.value:
            adapter, version = configuration.read_version(item.key, item.value)
            self._catalogue.activate_version(adapter, version)

    def _remove_endpoint(self, key: str, source: str, *, may_be_renewed: bool) -> None:
        endpoint = key.removeprefix(replicas.SERVERS_PREFIX)
        self._catalogue.remove_endpoint(endpoint, source, may_be_renewed=may_be_renewed)
