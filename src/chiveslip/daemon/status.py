"""Status of an instance for operators, collected from its parts."""

from __future__ import annotations

import chiveslip
from chiveslip.daemon.node import Node
from chiveslip.http import operators


def collect_status(instance_id: str, node: Node) -> operators.Status:
    """Return the current status of the instance with this id."""
    now = node.pipeline.clock.now()
    store = node.keeper.store
    refusal = store.refusal
    return operators.Status(
        instance=instance_id,
        incarnation=node.incarnation,
        version=chiveslip.__version__,
        ready=node.admission.is_ready,
        stopping=node.admission.is_stopping,
        lease=node.fleet.ownership.has_lease(now),
        view_revision=node.fleet.ownership.view.revision,
        endpoints_revision=node.fleet.endpoints.revision,
        configuration_revision=store.revision,
        newest_revision=store.newest_revision,
        refused_because=refusal.reasons if refusal else (),
        running_calls=node.admission.running,
        peers=tuple(
            operators.PeerLine(
                id=name,
                serving=peer.serving,
                view_revision=peer.view_revision,
                configuration_revision=peer.configuration_revision,
                silent_s=round(now - peer.heard_at, 3),
            )
            for name, peer in sorted(node.fleet.heard.items())
        ),
        engines=tuple(
            operators.EngineLine(
                id=name,
                incarnation=home.incarnation,
                loaded=tuple(sorted(str(adapter) for adapter in home.loaded)),
                running=home.running,
                queued=home.queue_length,
            )
            for name, home in sorted(node.homes.engines.items())
        ),
        allowances=node.allowances.owned_buckets.organisations,
    )
