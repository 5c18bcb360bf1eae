"""Parts of prompts that are suspected of crashing the endpoints that answer them.

Requests that share a part may crash one endpoint after the other although each of
them is sent once. When an endpoint crashes, the suspects are the parts of those
requests whose answers it had not begun. An answer that goes on, at any endpoint and any
instance, clears its parts. A part is blocked after crashes in several separate
episodes, because endpoints that are lost together (a data centre without power) prove
no more than one.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable
from collections.abc import Mapping
from typing import final

import attrs

from chiveslip import hashing

# Episodes of crashes after which a part is blocked that no answer has ever cleared.
MAX_EPISODES = 3
# The same for a part that was answered before its first crash.
MAX_EPISODES_IF_PROVEN = 5
# Chance at which a harmless part may be at as many crashes as block it. If many
# requests end with unrelated crashes, each crash counts less than one episode.
_MAX_CHANCE = 0.01
# Time constant in seconds with which requests that went on or crashed are forgotten.
_SHARE_WINDOW_S = 10.0
# Requests that are assumed to have gone on, besides those seen.
_ASSUMED_ANSWERS = 5.0
# Keeps a part from crashing endpoints for good if nothing else is served.
_MIN_WEIGHT = 0.3
# Crashes that follow the first of them within this time are one episode.
EPISODE_S = 0.5
# Crashes are kept for this time, or until an answer clears the part.
RETENTION_S = 600.0
# Time from a crash until one request with a blocked part is sent as a trial. It is
# multiplied with each further episode.
FIRST_TRIAL_S = 5.0
TRIAL_BACKOFF = 4.0
# Time after which a trial counts as lost if it neither crashed nor cleared the part.
_TRIAL_RESULT_S = 15.0
_MAX_PARTS = 1000
# Parts dropped at once when there are too many.
_DROPPED_PARTS = 250
# Recently answered parts that are remembered, most of which never become suspects.
_MAX_PROVEN_PARTS = 4096
# A cleared part is told to peers for this time.
_CLEARED_RETENTION_S = 20.0
# Reports of one crash by several peers differ by the time that their messages took.
_SAME_CRASH_S = 0.25
# Organisations whose requests have to have crashed endpoints before those of others
# are blocked, too, so that one organisation cannot have the part of another refused.
_MIN_ORGANISATIONS = 2
_HASH_DIGITS = 16


def hash_parts(parts: Iterable[str]) -> tuple[str, ...]:
    """Return short hashes by which instances identify the parts of a prompt."""
    return tuple(hashing.fast_hash(part.encode())[:_HASH_DIGITS] for part in parts)


def hash_organisation(name: str) -> str:
    """Return a short hash by which instances identify an organisation."""
    return hashing.fast_hash(name.encode())[:_HASH_DIGITS]


@attrs.frozen
class PartCrash:
    """A crash of one incarnation of an endpoint.

    Attributes
    ----------
    crashed_at
        Local time in seconds.
    organisations
        Hashes of the organisations whose requests with the part it was running.
    weight
        How much of an episode it counts, 0 to 1.
    """

    crashed_at: float
    organisations: frozenset[str]
    weight: float = 1.0


@attrs.define
class _DecayingCount:
    count: float = 0.0
    counted_at: float = 0.0

    def at(self, now: float) -> float:
        age_s = max(now - self.counted_at, 0.0)
        return self.count * math.exp(-age_s / _SHARE_WINDOW_S)

    def add(self, now: float) -> None:
        self.count = self.at(now) + 1.0
        self.counted_at = max(now, self.counted_at)


@attrs.define(eq=False)
class _Suspect:
    crashes: dict[str, PartCrash] = attrs.field(factory=dict)
    progressed_at: float = -math.inf
    clearances: int = 0
    rebutted_crash_at: float = -math.inf
    tried_at: float = -math.inf

    @property
    def is_proven(self) -> bool:
        return self.progressed_at > -math.inf

    @property
    def max_episodes(self) -> int:
        return MAX_EPISODES_IF_PROVEN if self.is_proven else MAX_EPISODES

    @property
    def last_crash_at(self) -> float:
        return max((c.crashed_at for c in self.crashes.values()), default=-math.inf)


@attrs.frozen(kw_only=True)
class PartReport:
    """What an instance knows of one suspected part.

    Attributes
    ----------
    crashes
        Crashes since the last answer that went on, by endpoint and incarnation.
    progressed_at
        Local time in seconds of that answer, or None without one.
    clearances
        How often an answer has cleared the part here.
    """

    part: str
    crashes: Mapping[str, PartCrash]
    progressed_at: float | None
    clearances: int


@attrs.frozen(kw_only=True)
class Trial:
    """A request that may be sent although parts of its prompt are blocked.

    Attributes
    ----------
    parts
        The parts that it tells something of; the instance that coordinates the first
        of them makes the trial.
    in_s
        Time in seconds until it may be made.
    """

    parts: tuple[str, ...]
    in_s: float


@attrs.frozen
class _Block:
    episodes: float
    max_episodes: int
    organisations: frozenset[str]
    last_crash_at: float

    @property
    def trial_from(self) -> float:
        """Local time in seconds from which a trial may be made."""
        further = self.episodes - self.max_episodes
        wait_s: float = FIRST_TRIAL_S * TRIAL_BACKOFF ** min(further, 8.0)
        return self.last_crash_at + min(wait_s, RETENTION_S)

    def covers(self, organisation: str) -> bool:
        """Return whether requests of an organisation are blocked."""
        return (
            organisation in self.organisations
            or len(self.organisations) >= _MIN_ORGANISATIONS
        )


@final
class PartSuspects:
    """Suspected parts, with the crashes and answers known of them.

    Parts and organisations are given by their hashes.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._proven: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._blocks: dict[str, _Block] | None = {}
        # Requests all of whose parts were answered before.
        self._answered = _DecayingCount()
        self._crashed = _DecayingCount()

    @property
    def blocked_parts(self) -> frozenset[str]:
        """Parts that are blocked, for some or all organisations."""
        return frozenset(self._current_blocks())

    def record_crash(
        self, parts: Iterable[str], organisation: str, endpoint: str, now: float
    ) -> None:
        """Record that an endpoint crashed before it began to answer a request.

        Parameters
        ----------
        endpoint
            The endpoint and its incarnation.
        """
        parts = tuple(parts)
        if parts and self.are_proven(parts):
            self._crashed.add(now)
        crash = PartCrash(now, frozenset({organisation}))
        for part in parts:
            self.record_peer_crash(part, endpoint, crash, now)

    def record_peer_crash(
        self, part: str, endpoint: str, crash: PartCrash, now: float
    ) -> None:
        """Record a crash that a peer reported."""
        if now >= crash.crashed_at + RETENTION_S:
            return
        if crash.crashed_at <= self._progressed_at(part):
            self._rebut(part, crash.crashed_at)
            return
        suspect = self._suspects.get(part)
        if suspect is None:
            suspect = _Suspect(progressed_at=self._progressed_at(part))
            self._suspects[part] = suspect
        known = suspect.crashes.get(endpoint)
        if known is None:
            weighted = attrs.evolve(crash, weight=self._weigh_crash(now))
            suspect.crashes[endpoint] = weighted
        elif crash.organisations <= known.organisations:
            return
        else:
            organisations = known.organisations | crash.organisations
            merged = attrs.evolve(known, organisations=organisations)
            suspect.crashes[endpoint] = merged
        self._blocks = None
        if len(self._suspects) > _MAX_PARTS:
            self._drop_weakest()

    def record_progress(self, parts: Iterable[str], now: float) -> None:
        """Record that an answer to a request with these parts has gone on."""
        parts = tuple(parts)
        if parts and self.are_proven(parts):
            self._answered.add(now)
        for part in parts:
            self.record_peer_progress(part, now)

    def record_peer_progress(self, part: str, progressed_at: float) -> None:
        """Record an answer that a peer reported, which clears earlier crashes."""
        self._proven[part] = max(progressed_at, self._proven.get(part, -math.inf))
        self._proven.move_to_end(part)
        if len(self._proven) > _MAX_PROVEN_PARTS:
            self._proven.popitem(last=False)
        suspect = self._suspects.get(part)
        if suspect is None or progressed_at <= suspect.progressed_at:
            return
        suspect.progressed_at = progressed_at
        cleared = [
            endpoint
            for endpoint, crash in suspect.crashes.items()
            if crash.crashed_at <= progressed_at
        ]
        if not cleared:
            return
        for endpoint in cleared:
            del suspect.crashes[endpoint]
        suspect.clearances += 1
        self._blocks = None

    def is_suspect(self, parts: Iterable[str]) -> bool:
        """Return whether a part crashed an endpoint and no answer ever cleared it."""
        suspects = (self._suspects.get(part) for part in parts)
        return any(s is not None and s.crashes and not s.is_proven for s in suspects)

    def are_proven(self, parts: Iterable[str]) -> bool:
        """Return whether an answer with each of the parts has gone on."""
        return all(self._progressed_at(part) > -math.inf for part in parts)

    def find_blocked(self, parts: Iterable[str], organisation: str) -> tuple[str, ...]:
        """Return those parts that block a request of an organisation."""
        blocks = self._current_blocks()
        if not blocks:
            return ()
        return tuple(
            part
            for part in parts
            if part in blocks and blocks[part].covers(organisation)
        )

    def next_trial(self, blocked: tuple[str, ...], now: float) -> Trial:
        """Return the trial that a request with these blocked parts would be.

        Parts that were at the same crashes are told apart only by a request that holds
        some of them. Whether it crashes an endpoint or goes on, it clears one side, so
        that it is not delayed as a trial of all of them is.
        """
        group = self._find_split(blocked)
        if group:
            return Trial(parts=group, in_s=self._result_in_s(group, now))
        blocks = self._current_blocks()
        due_at = [
            max(
                blocks[part].trial_from, self._suspects[part].tried_at + _TRIAL_RESULT_S
            )
            for part in blocked
            if part in blocks
        ]
        return Trial(parts=blocked, in_s=max(max(due_at, default=now) - now, 0.0))

    def _find_split(self, blocked: tuple[str, ...]) -> tuple[str, ...]:
        """Return the parts that a request tells apart, or none if it does not."""
        blocks = self._current_blocks()
        told_apart: set[str] = set()
        for part in blocked:
            crashes = self._suspects[part].crashes.keys()
            group = {p for p in blocks if crashes & self._suspects[p].crashes.keys()}
            if group <= set(blocked):
                return ()
            told_apart |= group
        return tuple(sorted(told_apart))

    def _result_in_s(self, parts: Iterable[str], now: float) -> float:
        """Return the time in seconds until the last trial of parts has a result."""
        due_at = [
            suspect.tried_at + _TRIAL_RESULT_S
            for suspect in (self._suspects[part] for part in parts)
            if suspect.last_crash_at <= suspect.tried_at
        ]
        return max(max(due_at, default=now) - now, 0.0)

    def record_trial(self, parts: Iterable[str], now: float) -> None:
        """Record that a request with blocked parts is sent as a trial."""
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is not None:
                suspect.tried_at = now

    def prune(self, now: float) -> list[PartReport]:
        """Drop what has expired; return the rest."""
        for part, suspect in list(self._suspects.items()):
            for endpoint, crash in list(suspect.crashes.items()):
                if now >= crash.crashed_at + RETENTION_S:
                    del suspect.crashes[endpoint]
                    self._blocks = None
            is_told = now >= suspect.progressed_at + _CLEARED_RETENTION_S
            if not suspect.crashes and is_told:
                del self._suspects[part]
        return [
            PartReport(
                part=part,
                crashes=dict(suspect.crashes),
                progressed_at=suspect.progressed_at if suspect.is_proven else None,
                clearances=suspect.clearances,
            )
            for part, suspect in self._suspects.items()
        ]

    def _weigh_crash(self, now: float) -> float:
        """Return how much of an episode a crash counts now."""
        crashed = self._crashed.at(now)
        share = crashed / (crashed + self._answered.at(now) + _ASSUMED_ANSWERS)
        if share <= 0:
            return 1.0
        needed = math.log(_MAX_CHANCE) / math.log(share)
        return min(max(MAX_EPISODES / needed, _MIN_WEIGHT), 1.0)

    def _rebut(self, part: str, crashed_at: float) -> None:
        """Have peers told that a later answer has cleared a part of a crash."""
        suspect = self._suspects.get(part)
        if suspect is None:
            suspect = _Suspect(progressed_at=self._progressed_at(part))
            self._suspects[part] = suspect
        if crashed_at > suspect.rebutted_crash_at + _SAME_CRASH_S:
            suspect.rebutted_crash_at = crashed_at
            suspect.clearances += 1

    def _progressed_at(self, part: str) -> float:
        suspect = self._suspects.get(part)
        told_at = -math.inf if suspect is None else suspect.progressed_at
        return max(told_at, self._proven.get(part, -math.inf))

    def _drop_weakest(self) -> None:
        """Drop the parts with the fewest crashes, the oldest of them first."""
        by_strength = sorted(
            self._suspects,
            key=lambda p: (
                len(self._suspects[p].crashes),
                self._suspects[p].last_crash_at,
            ),
        )
        for part in by_strength[:_DROPPED_PARTS]:
            del self._suspects[part]
        self._blocks = None

    def _current_blocks(self) -> dict[str, _Block]:
        if self._blocks is None:
            self._blocks = self._find_blocks()
        return self._blocks

    def _find_blocks(self) -> dict[str, _Block]:
        repeated = {
            part: suspect
            for part, suspect in self._suspects.items()
            if len(suspect.crashes) >= MAX_EPISODES
        }
        causes = [
            suspect
            for suspect in repeated.values()
            if not suspect.is_proven
            and _count_episodes(suspect.crashes) >= MAX_EPISODES
        ]
        blocks = {}
        for part, suspect in repeated.items():
            crashes = _find_unexplained(suspect, causes)
            episodes = _count_episodes(crashes)
            if episodes >= suspect.max_episodes:
                blocks[part] = _Block(
                    episodes,
                    suspect.max_episodes,
                    frozenset[str]().union(
                        *(c.organisations for c in crashes.values())
                    ),
                    max(crash.crashed_at for crash in crashes.values()),
                )
        return blocks


def _find_unexplained(
    suspect: _Suspect, causes: Iterable[_Suspect]
) -> dict[str, PartCrash]:
    """Return the crashes that no likelier cause explains.

    A part that has never been answered explains the crashes of proven parts, and those
    of parts that were present at fewer crashes.
    """
    explained: set[str] = set()
    for cause in causes:
        if cause is not suspect and (
            suspect.is_proven or len(cause.crashes) > len(suspect.crashes)
        ):
            explained |= cause.crashes.keys()
    return {e: crash for e, crash in suspect.crashes.items() if e not in explained}


def _count_episodes(crashes: Mapping[str, PartCrash]) -> float:
    """Return the number of separate episodes, each by the weight of its first crash."""
    episodes = 0.0
    ends_at = -math.inf
    for crash in sorted(crashes.values(), key=lambda crash: crash.crashed_at):
        if crash.crashed_at >= ends_at:
            episodes += crash.weight
            ends_at = crash.crashed_at + EPISODE_S
    return episodes
