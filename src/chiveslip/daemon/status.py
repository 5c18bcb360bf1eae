"""Status of an instance for operators, collected from its parts."""

from __future__ import annotations

import chiveslip
from chiveslip.daemon.node import Node
from chiveslip.http import operators


def collect_status(instance_id: str, node: Node) -> operators.Status:
    """Return the current status of the instance with this id."""
    now = node.pipeline.clock.now()
    store = node.configuration_updater.store
    refusal = store.refusal
    return operators.Status(
        instance=instance_id,
        incarnation=node.incarnation,
        version=chiveslip.__version__,
        ready=node.admission.is_ready,
        stopping=node.admission.is_stopping,
        lease=node.fleet.ownership.check_lease(now),
        view_revision=node.fleet.ownership.view.revision,
        endpoints_revision=node.fleet.endpoints.revision,
        configuration_revision=store.revision,
        newest_revision=store.newest_revision,
        refused_because=refusal.reasons if refusal else (),
        running_calls=node.admission.running,
        peers=tuple(
            operators.PeerSummary(
                id=name,
                serving=peer.serving,
                view_revision=peer.view_revision,
                configuration_revision=peer.configuration_revision,
                silent_s=round(now - peer.last_seen_at, 3),
            )
            for name, peer in sorted(node.fleet.peer_statuses.items())
        ),
        engines=tuple(
            operators.EngineSummary(
                id=name,
                incarnation=scheduler.incarnation,
                loaded=tuple(sorted(str(adapter) for adapter in scheduler.loaded)),
                running=scheduler.running,
                queued=scheduler.queue_length,
            )
            for name, scheduler in sorted(node.engine_permits.schedulers.items())
        ),
        allowances=node.allowances.owned_buckets.organisations,
    )
