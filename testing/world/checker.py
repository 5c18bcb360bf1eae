"""The one checker: every invariant of the brief, over all that a world saw."""

from __future__ import annotations

import collections
import itertools
import json
from collections.abc import Iterator

from chiveslip.dispatch.suspects import MAX_CRASHES
from chiveslip.generated import result_codes
from chiveslip.results import Run
from testing.world.node import CallRecord
from testing.world.world import Organisation
from testing.world.world import World

IN_FORCE_S = 5.0
ANSWER_SLACK_S = 3.0
_TOLERANCE_TOKENS = 1e-6


def violations(world: World) -> list[str]:
    """Return every broken promise, in words."""
    checks = (
        _right_adapter,
        _never_unloaded_in_use,
        _own_organisation,
        _keys_stay,
        _withdrawn_keys_stop,
        _allowance_holds,
        _answers_whole,
        _not_run_is_true,
        _at_most_once,
        _poison_is_bounded,
        _leaving_gets_nothing,
        _stop_cuts_nothing,
        _configuration_holds,
        _everybody_is_answered,
    )
    return [line for check in checks for line in check(world)]


def _right_adapter(world: World) -> Iterator[str]:
    runs = {r.call: r for e in world.engines for r in e.runs}
    for call in world.calls:
        if not call.model or call.id not in runs:
            continue
        ran = runs[call.id].what
        if ran != call.model and ran.partition("@")[0] != call.model:
            yield f"{call.id} asked for {call.model} and ran on {ran}"
        if call.code is result_codes.OK and ran.encode() not in call.body:
            yield f"{call.id} was answered by another adapter than {ran}"


def _never_unloaded_in_use(world: World) -> Iterator[str]:
    for engine in world.engines:
        for name in engine.unloaded_in_use:
            yield f"{engine.name} was told to unload {name} while serving it"


def _own_organisation(world: World) -> Iterator[str]:
    calls = {call.id: call for call in world.calls}
    for endpoint in world.endpoints:
        for run in endpoint.runs:
            call = calls[run.call]
            if run.organisation and run.organisation != call.organisation:
                yield f"{call.id} of {call.organisation} ran for {run.organisation}"
            if call.model and not run.what.startswith(f"{call.organisation}-"):
                yield f"{call.id} of {call.organisation} ran on {run.what}"


def _keys_stay(world: World) -> Iterator[str]:
    keys = [o.key.encode() for o in world.organisations.values()]
    for endpoint in world.endpoints:
        if any(key in content for key in keys for content in endpoint.received):
            yield f"{endpoint.name} received a caller's key"
    if any(key in content for key in keys for content in world.peer_bytes):
        yield "a peer received a caller's key"


def _withdrawn_keys_stop(world: World) -> Iterator[str]:
    calls = {call.id: call for call in world.calls}
    for endpoint in world.endpoints:
        for run in endpoint.runs:
            withdrawn_at = world.organisations[
                calls[run.call].organisation
            ].withdrawn_at
            if withdrawn_at is None:
                continue
            late_s = run.at - _readable_at(world, withdrawn_at)
            if late_s > IN_FORCE_S:
                yield f"{run.call} ran {late_s:.1f} s after its key was withdrawn"


def _readable_at(world: World, published_at: float) -> float:
    """Return when a reader could know of it: not while the service is down."""
    return max(published_at, world.platform.readable_since)


def windows(
    world: World, organisation: Organisation
) -> Iterator[tuple[float, float, float]]:
    """Yield time in seconds, tokens used and tokens allowed of every window."""
    charged = sorted(
        (call.charged_at, call.tokens)
        for call in world.calls
        if call.organisation == organisation.name and call.charged_at is not None
    )
    for first in range(len(charged)):
        total = 0.0
        for at, tokens in charged[first:]:
            total += tokens
            window_s = at - charged[first][0]
            yield window_s, total, organisation.rate * window_s + organisation.burst


def _allowance_holds(world: World) -> Iterator[str]:
    for organisation in world.organisations.values():
        for window_s, used, allowed in windows(world, organisation):
            if used > allowed + _TOLERANCE_TOKENS:
                yield (
                    f"{organisation.name} used {used:.0f} tokens in "
                    f"{window_s:.2f} s; allowed are {allowed:.0f}"
                )
                break


def _answers_whole(world: World) -> Iterator[str]:
    for call in world.calls:
        if call.code is not result_codes.OK:
            continue
        if not call.whole:
            yield f"{call.id} counts as answered without an end"
        if call.kind == "stream":
            yield from _stream_whole(call)
        elif call.head.get("status") == "200":
            yield from _body_whole(call)


def _stream_whole(call: CallRecord) -> Iterator[str]:
    events = call.body.split(b"\n\n")
    numbers = [int(e.split(b"\n")[0][3:]) for e in events if e.startswith(b"id:")]
    if numbers != list(range(1, len(numbers) + 1)) or not numbers:
        yield f"{call.id} got the tokens {numbers}"
    if call.body.count(b"data: [DONE]\n\n") != 1:
        yield f"{call.id} got a stream without one end marker"


def _body_whole(call: CallRecord) -> Iterator[str]:
    value = json.loads(call.body)
    if call.kind == "poll" and value.get("ran") != call.id:
        yield f"{call.id} got the answer of {value.get('ran')}"


def _not_run_is_true(world: World) -> Iterator[str]:
    ran = {run.call for endpoint in world.endpoints for run in endpoint.runs}
    for call in world.calls:
        not_run = call.code is not None and call.code.run is Run.NOT_RUN
        if not_run and not call.lost and call.id in ran:
            yield f"{call.id} was told {call.code} and ran"


def _at_most_once(world: World) -> Iterator[str]:
    runs = collections.Counter(
        (run.organisation, run.once_key)
        for service in world.services
        for run in service.runs
        if run.once_key
    )
    for (organisation, once_key), count in runs.items():
        if count > 1:
            yield f"the call {once_key} of {organisation} ran {count} times"


def _poison_is_bounded(world: World) -> Iterator[str]:
    entries = len({call.node for call in world.poisons})
    # Entries that run it at the same time do not know of each other yet.
    allowed = MAX_CRASHES * entries
    crashes = sum(engine.poisoned for engine in world.engines)
    if crashes > allowed:
        yield f"a request took {crashes} engines down; allowed are {allowed}"


def _leaving_gets_nothing(world: World) -> Iterator[str]:
    for endpoint in world.endpoints:
        left_at = world.leaving.get(endpoint.name)
        if left_at is None:
            continue
        known_at = _readable_at(world, left_at)
        late = [run for run in endpoint.runs if run.at > known_at + IN_FORCE_S]
        for run in late:
            yield f"{endpoint.name} got {run.call} after it was leaving"


def _stop_cuts_nothing(world: World) -> Iterator[str]:
    for call in world.calls:
        node = world.nodes[call.node]
        if node.stopped and call.lost:
            yield f"{call.id} was cut by the planned stop of {call.node}"


def _configuration_holds(world: World) -> Iterator[str]:
    for name, seen in world.revisions.items():
        revisions = [revision for _, revision in seen]
        if any(later < earlier for earlier, later in itertools.pairwise(revisions)):
            yield f"{name} went back to an earlier revision"


def _everybody_is_answered(world: World) -> Iterator[str]:
    for call in world.calls:
        if call.ended_at is None:
            yield f"{call.id} ({call.kind}) was never answered"
            continue
        took_s = call.ended_at - call.started_at
        paused = call.node in world.was_paused
        if took_s > call.deadline_s + ANSWER_SLACK_S and not paused:
            yield f"{call.id} ({call.kind}) was answered after {took_s:.1f} s"
        code = call.code
        if call.refusal is None or code is None or not code.may_repeat:
            continue
        if call.refusal.advised_retry_after_s is None:
            yield f"{call.id} was refused without when to come back"
