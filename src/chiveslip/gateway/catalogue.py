"""Active routing table, endpoints and adapter versions, updated from the store."""

from __future__ import annotations

from typing import final

from chiveslip import logs
from chiveslip.audit import AuditKind
from chiveslip.audit import AuditTrail
from chiveslip.clock import Clock
from chiveslip.gateway.cold_endpoints import ColdEndpoints
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_view import EngineView
from chiveslip.gateway.evacuations import Evacuations
from chiveslip.gateway.routing import EngineCapacity
from chiveslip.gateway.routing import Organisation
from chiveslip.gateway.routing import RoutingTable
from chiveslip.gateway.routing import Service
from chiveslip.store.contact import StoreContact
from chiveslip.store.mirror import STORE_SOURCE

# Entries that expired while the store was away are renewed within this time after its
# return; an entry that is still missing then is gone.
_RENEWAL_S = 2.0
# Time after that within which a read of the store ends, if the store answers.
_MAX_READ_S = 1.0
# An instance that was not held up drops expired endpoints at least this often.
_MAX_ROUND_S = 0.75
_FIRST_VERSION = 1
# Entries that are read within this time after the start may be old, and with them what
# they say of a time.
_STARTUP_S = 2.0
# Source of a removal that was deferred until the entry could have been renewed.
_EXPIRED_SOURCE = "expiry"


@final
class Catalogue:
    """Active routing table, endpoints and newest adapter versions.

    Parameters
    ----------
    store_contact
        Tells when the store last returned, and when it last answered.
    evacuations
        Where evacuated data centres are kept, or None if there are none.
    cold
        Where cold endpoints are kept, or None if nothing is done for them.
    """

    def __init__(
        self,
        *,
        directory: EndpointDirectory,
        view: EngineView,
        audit: AuditTrail,
        clock: Clock,
        store_contact: StoreContact,
        evacuations: Evacuations | None = None,
        cold: ColdEndpoints | None = None,
    ) -> None:
        self._directory = directory
        self._cold = cold or ColdEndpoints(self.find_service)
        self._started_at = clock.now()
        self._evacuations = evacuations or Evacuations()
        self._view = view
        self._audit = audit
        self._clock = clock
        self._store_contact = store_contact
        self._table: RoutingTable | None = None
        self._organisations: dict[str, Organisation] = {}
        self._versions: dict[str, int] = {}
        self._expired: dict[str, float] = {}
        self._dropped_at = clock.now()
        self._log = logs.get_logger("catalogue")

    @property
    def table(self) -> RoutingTable | None:
        """The active routing table, or None before the first."""
        return self._table

    def find_organisation(self, name: str) -> Organisation | None:
        """Return an organisation of the active table that has a key, or None."""
        return self._organisations.get(name)

    def find_service(self, endpoint: str) -> Service | None:
        """Return the service of an endpoint, or None if either is unknown."""
        listed = self._directory.by_id.get(endpoint)
        if listed is None or self._table is None:
            return None
        return self._table.services.get(listed.service)

    def newest_version(self, adapter: str) -> int:
        """Return the newest known version of an adapter."""
        return self._versions.get(adapter, _FIRST_VERSION)

    def activate_table(self, table: RoutingTable) -> None:
        """Activate a configuration, unless an equal or newer version is active."""
        if self._table is not None and table.version <= self._table.version:
            return
        previous = 0 if self._table is None else self._table.version
        self._table = table
        self._organisations = {o.name: o for o in table.keys.values()}
        self._audit.add(
            AuditKind.CONFIGURATION_ACCEPTED,
            revision=table.version,
            subject="configuration",
            cause=f"replaces version {previous}",
        )

    def record_refused_table(self, cause: str) -> None:
        """Record a configuration that cannot be read; the previous one stays active."""
        self._audit.add(
            AuditKind.CONFIGURATION_REFUSED,
            revision=0 if self._table is None else self._table.version,
            subject="configuration",
            cause=cause,
        )

    def activate_version(self, adapter: str, version: int) -> None:
        """Activate a newer version of an adapter."""
        if version > self.newest_version(adapter):
            self._versions[adapter] = version
            self._log.info(
                "Adapter version activated.", adapter=adapter, version=version
            )

    def begin_evacuation(self, data_centre: str, source: str) -> None:
        """Send nothing more to the endpoints of a data centre."""
        self._evacuations.begin(data_centre, self._clock.now(), source=source)

    def end_evacuation(self, data_centre: str, source: str) -> None:
        """Use the endpoints of a data centre again; they may be cold."""
        if not self._evacuations.is_evacuated(data_centre):
            return
        self._evacuations.end(data_centre, self._clock.now(), source=source)
        for endpoint in self._directory.by_id.values():
            if endpoint.data_centre == data_centre:
                self._record_return(endpoint, source)

    def update_endpoint(self, endpoint: ListedEndpoint, source: str) -> None:
        """Add an endpoint or replace its description.

        Parameters
        ----------
        source
            Where this instance learnt of the change, for the log.
        """
        known = self._directory.by_id.get(endpoint.id)
        if known is not None and not _may_follow(known, endpoint):
            return
        self._expired.pop(endpoint.id, None)
        if known is None or known.state is not endpoint.state:
            self._log.info(
                "Endpoint state changed.",
                endpoint=endpoint.id,
                service=endpoint.service,
                state=endpoint.state.value,
                source=source,
            )
        self._directory.put(endpoint)
        now = self._clock.now()
        self._cold.record(
            endpoint.incarnation,
            endpoint.cold_remaining_s,
            now,
            source=source,
            is_told=now >= self._started_at + _STARTUP_S,
        )
        if known is None:
            self._record_return(endpoint, source)
        # The engine's coordinator reports later changes sooner than the store.
        is_new = known is None or known.started != endpoint.started
        if is_new or (known is not None and known.models != endpoint.models):
            self._view.update_engine(
                endpoint.id,
                endpoint.started,
                frozenset(endpoint.models),
                endpoint.adapters,
                self._clock.now(),
            )

    def remove_endpoint(
        self, endpoint: str, source: str, *, may_be_renewed: bool = True
    ) -> None:
        """Remove an endpoint whose entry was removed or cannot be read.

        Shortly after the store returned, the endpoint is only marked as expired;
        `drop_expired_endpoints` removes it later.

        Parameters
        ----------
        source
            Where this instance learnt of the change, for the log.
        may_be_renewed
            Whether the entry may have expired while the store was away. An
            entry that peers knew to be removed before that is not used meanwhile.
        """
        if endpoint not in self._directory.by_id:
            return
        now = self._clock.now()
        renewal_ends_at = self._store_contact.return_at + _RENEWAL_S
        is_deferred = may_be_renewed or endpoint in self._expired
        if is_deferred and now < renewal_ends_at:
            self._expired.setdefault(endpoint, renewal_ends_at)
            self._log.info(
                "Removal deferred.",
                endpoint=endpoint,
                source=source,
                for_s=round(renewal_ends_at - now, 3),
            )
            return
        self._drop(endpoint, source)

    def drop_expired_endpoints(self) -> None:
        """Remove endpoints that expired with the store and were not renewed in time.

        An instance that was held up, or whose reads fail, first reads what was written
        meanwhile. If peers show that the store was not away, the endpoints did not
        expire.
        """
        now = self._clock.now()
        contact = self._store_contact
        has_all_writes = not contact.is_lost and now < self._dropped_at + _MAX_ROUND_S
        self._dropped_at = now
        for endpoint, renewal_ends_at in list(self._expired.items()):
            was_removed = contact.return_at + _RENEWAL_S < renewal_ends_at
            is_due = renewal_ends_at <= now and (
                has_all_writes
                or contact.answered_at >= renewal_ends_at
                or now >= renewal_ends_at + _MAX_READ_S
            )
            if was_removed or is_due:
                del self._expired[endpoint]
                self._drop(endpoint, STORE_SOURCE if was_removed else _EXPIRED_SOURCE)

    def ready_engines(self) -> list[tuple[ListedEndpoint, EngineCapacity]]:
        """Return all engines that take new work, with their capacities."""
        if self._table is None:
            return []
        return [
            (endpoint, service.engine)
            for service in self._table.services.values()
            if service.engine is not None
            for endpoint in self._directory.find_ready(service.name)
        ]

    def _record_return(self, endpoint: ListedEndpoint, source: str) -> None:
        """Take an endpoint for cold if its data centre was evacuated lately."""
        service = self.find_service(endpoint.id)
        if service is None:
            return
        now = self._clock.now()
        cold_until = (
            self._evacuations.ended_at(endpoint.data_centre) + service.cold_start_s
        )
        self._cold.record(endpoint.incarnation, cold_until - now, now, source=source)

    def _drop(self, endpoint: str, source: str) -> None:
        self._log.info("Endpoint gone.", endpoint=endpoint, source=source)
        self._directory.remove(endpoint)
        self._view.forget_engine(endpoint)


def _may_follow(known: ListedEndpoint, endpoint: ListedEndpoint) -> bool:
    """Return whether a description may follow the known one of the same id.

    Starts only become later, and an endpoint that leaves does not return.
    """
    if endpoint.started != known.started:
        return endpoint.started > known.started
    return (
        known.state is not EndpointState.LEAVING
        or endpoint.state is EndpointState.LEAVING
    )
