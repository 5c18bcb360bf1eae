"""Checks of the system's invariants over the records of a simulated cluster."""

from __future__ import annotations

import collections
import itertools
import json
from collections.abc import Iterator

from chiveslip.dispatch.suspects import MAX_CRASHES
from chiveslip.generated import result_codes
from chiveslip.results import Run
from testing.simulation.cluster import Organisation
from testing.simulation.cluster import SimulatedCluster
from testing.simulation.instance import CallRecord

MAX_PROPAGATION_S = 5.0
MAX_ANSWER_DELAY_S = 3.0
_TOLERANCE_TOKENS = 1e-6


def find_violations(cluster: SimulatedCluster) -> list[str]:
    """Return a description of each violated invariant."""
    checks = (
        _check_adapter,
        _check_unloads,
        _check_organisation,
        _check_key_secrecy,
        _check_key_withdrawal,
        _check_allowances,
        _check_answers_complete,
        _check_not_run,
        _check_at_most_once,
        _check_poison_crashes,
        _check_leaving_endpoints,
        _check_planned_stop,
        _check_configuration_revisions,
        _check_answer_times,
    )
    return [line for check in checks for line in check(cluster)]


def _check_adapter(cluster: SimulatedCluster) -> Iterator[str]:
    runs = {r.call_id: r for e in cluster.engines for r in e.runs}
    for call in cluster.calls:
        if not call.model or call.id not in runs:
            continue
        target = runs[call.id].target
        if target != call.model and target.partition("@")[0] != call.model:
            yield f"{call.id} asked for {call.model} but ran on {target}"
        if call.code is result_codes.OK and target.encode() not in call.body:
            yield f"{call.id} was answered by another adapter than {target}"


def _check_unloads(cluster: SimulatedCluster) -> Iterator[str]:
    for engine in cluster.engines:
        for name in engine.unloaded_in_use:
            yield f"{engine.name} was ordered to unload {name} while serving it"


def _check_organisation(cluster: SimulatedCluster) -> Iterator[str]:
    calls = {call.id: call for call in cluster.calls}
    for endpoint in cluster.endpoints:
        for run in endpoint.runs:
            call = calls[run.call_id]
            if run.organisation and run.organisation != call.organisation:
                yield f"{call.id} of {call.organisation} ran for {run.organisation}"
            if call.model and not run.target.startswith(f"{call.organisation}-"):
                yield f"{call.id} of {call.organisation} ran on {run.target}"


def _check_key_secrecy(cluster: SimulatedCluster) -> Iterator[str]:
    keys = [o.key.encode() for o in cluster.organisations.values()]
    for endpoint in cluster.endpoints:
        if any(
            key in content for key in keys for content in endpoint.received_requests
        ):
            yield f"{endpoint.name} received a caller's key"
    if any(key in content for key in keys for content in cluster.peer_messages):
        yield "a peer received a caller's key"


def _check_key_withdrawal(cluster: SimulatedCluster) -> Iterator[str]:
    calls = {call.id: call for call in cluster.calls}
    for endpoint in cluster.endpoints:
        for run in endpoint.runs:
            withdrawn_at = cluster.organisations[
                calls[run.call_id].organisation
            ].withdrawn_at
            if withdrawn_at is None:
                continue
            late_s = run.at - _first_readable_at(cluster, withdrawn_at)
            if late_s > MAX_PROPAGATION_S:
                yield f"{run.call_id} ran {late_s:.1f} s after its key was withdrawn"


def _first_readable_at(cluster: SimulatedCluster, published_at: float) -> float:
    """Return when a publication became readable: not while the service is down."""
    return max(published_at, cluster.platform.readable_since)


def allowance_windows(
    cluster: SimulatedCluster, organisation: Organisation
) -> Iterator[tuple[float, float, float]]:
    """Yield length in seconds, tokens used and tokens allowed of each window."""
    charged = sorted(
        (call.charged_at, call.charged_tokens)
        for call in cluster.calls
        if call.organisation == organisation.name and call.charged_at is not None
    )
    for first in range(len(charged)):
        total = 0.0
        for at, tokens in charged[first:]:
            total += tokens
            window_s = at - charged[first][0]
            yield window_s, total, organisation.rate * window_s + organisation.burst


def _check_allowances(cluster: SimulatedCluster) -> Iterator[str]:
    for organisation in cluster.organisations.values():
        for window_s, used, allowed in allowance_windows(cluster, organisation):
            if used > allowed + _TOLERANCE_TOKENS:
                yield (
                    f"{organisation.name} used {used:.0f} tokens in "
                    f"{window_s:.2f} s; at most {allowed:.0f} are allowed"
                )
                break


def _check_answers_complete(cluster: SimulatedCluster) -> Iterator[str]:
    for call in cluster.calls:
        if call.code is not result_codes.OK:
            continue
        if not call.is_complete:
            yield f"{call.id} was reported as ok without a complete answer"
        if call.kind == "stream":
            yield from _check_stream_complete(call)
        elif call.head.get("status") == "200":
            yield from _check_body_complete(call)


def _check_stream_complete(call: CallRecord) -> Iterator[str]:
    events = call.body.split(b"\n\n")
    numbers = [int(e.split(b"\n")[0][3:]) for e in events if e.startswith(b"id:")]
    if numbers != list(range(1, len(numbers) + 1)) or not numbers:
        yield f"{call.id} received the event numbers {numbers}"
    if call.body.count(b"data: [DONE]\n\n") != 1:
        yield f"{call.id} received a stream without exactly one end marker"


def _check_body_complete(call: CallRecord) -> Iterator[str]:
    try:
        value = json.loads(call.body)
    except ValueError:
        yield f"{call.id} received {call.body!r}, a part of an answer"
        return
    if call.kind == "idempotent" and value.get("ran") != call.id:
        yield f"{call.id} received the answer of {value.get('ran')}"


def _check_not_run(cluster: SimulatedCluster) -> Iterator[str]:
    executed_ids = {
        run.call_id for endpoint in cluster.endpoints for run in endpoint.runs
    }
    for call in cluster.calls:
        is_not_run = call.code is not None and call.code.run is Run.NOT_RUN
        if is_not_run and not call.connection_lost and call.id in executed_ids:
            yield f"{call.id} ended with {call.code} (not run) but ran"


def _check_at_most_once(cluster: SimulatedCluster) -> Iterator[str]:
    runs = collections.Counter(
        (run.organisation, run.idempotency_key)
        for service in cluster.services
        for run in service.runs
        if run.idempotency_key
    )
    for (organisation, idempotency_key), count in runs.items():
        if count > 1:
            yield f"the call {idempotency_key} of {organisation} ran {count} times"


def _check_poison_crashes(cluster: SimulatedCluster) -> Iterator[str]:
    instance_count = len({call.instance for call in cluster.poison_calls})
    # Instances that run it at the same time do not know of each other yet.
    allowed = MAX_CRASHES * instance_count
    crashes = sum(engine.poison_crashes for engine in cluster.engines)
    if crashes > allowed:
        yield f"one request crashed {crashes} engines; at most {allowed} are allowed"


def _check_leaving_endpoints(cluster: SimulatedCluster) -> Iterator[str]:
    for endpoint in cluster.endpoints:
        left_at = cluster.leaving_since.get(endpoint.name)
        if left_at is None:
            continue
        known_at = _first_readable_at(cluster, left_at)
        late_runs = [
            run for run in endpoint.runs if run.at > known_at + MAX_PROPAGATION_S
        ]
        for run in late_runs:
            yield f"{endpoint.name} received {run.call_id} although it was leaving"


def _check_planned_stop(cluster: SimulatedCluster) -> Iterator[str]:
    for call in cluster.calls:
        instance = cluster.instances[call.instance]
        if instance.stopped and call.connection_lost:
            yield f"{call.id} was interrupted by the planned stop of {call.instance}"


def _check_configuration_revisions(cluster: SimulatedCluster) -> Iterator[str]:
    for name, observed in cluster.observed_revisions.items():
        revisions = [revision for _, revision in observed]
        if any(later < earlier for earlier, later in itertools.pairwise(revisions)):
            yield f"{name} returned to an earlier configuration revision"


def _check_answer_times(cluster: SimulatedCluster) -> Iterator[str]:
    for call in cluster.calls:
        if call.ended_at is None:
            yield f"{call.id} ({call.kind}) was never answered"
            continue
        duration_s = call.ended_at - call.started_at
        was_paused = call.instance in cluster.ever_paused
        if duration_s > call.deadline_s + MAX_ANSWER_DELAY_S and not was_paused:
            yield f"{call.id} ({call.kind}) was answered after {duration_s:.1f} s"
        code = call.code
        if call.refusal is None or code is None or not code.may_repeat:
            continue
        if call.refusal.advised_retry_after_s is None:
            yield f"{call.id} was refused without advice when to retry"
