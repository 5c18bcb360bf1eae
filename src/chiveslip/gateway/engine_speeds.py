"""Relative speeds of engines, learned by all instances together.

The engines of a service can differ in speed, and one can become slower for some time.
Each instance observes the pauses between the events of its streams and the times to
their first events, as ratios to what is expected of the median engine of the service,
so that wrong absolute figures cancel out. An instance of a large fleet sends a request
to each engine only every twenty seconds, so instances tell each other their sums.

Pauses are the better evidence: a first event that waited in the engine's queue looks
like one of a slow engine. First events count only where no pauses are known.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import collections
import math
import statistics
from collections.abc import Iterable
from collections.abc import Mapping
from typing import final

import attrs

from chiveslip.gateway.endpoints import ListedEndpoint

# Prefill speed of an engine in prompt tokens per second; the users' engines process
# 19.1 per ms.
PREFILL_TOKENS_PER_S = 19_000.0
# The first token waits for a decoding step. A step takes 8.87 ms for a single request
# on the users' engines, and longer with each request of the batch; this includes the
# prefills in between.
_STEP_S = 0.009
_STEP_PER_REQUEST_S = 0.0004

MIN_SPEED = 0.2
MAX_SPEED = 5.0
# Time constant with which lasting evidence is forgotten: spells of slowness of less
# than a second are averaged, and a lasting change replaces it within seconds.
_LASTING_S = 4.0
# Recent evidence is the median of the last three times of this length with pauses: it
# shows a lasting change within a second, and not the prefill of a few prompts that came
# together, which lengthens all pauses of an engine for some 0.2 s.
_INTERVAL_S = 0.25
_RECENT_INTERVALS = 3
_MAX_RECENT_AGE_S = 1.5
# A single observation that differs more from the lasting evidence counts as one that
# differs so much, once there is some.
_MAX_OUTLIER_LOG = 0.5
_MIN_OUTLIER_WEIGHT_S = 1.0
# Time constant with which recent evidence of a peer loses weight on its way. Relayed
# reports are up to three seconds old. As the extremes of the peers are left out, a
# spell that few reports fall into does not show, but a lasting change does.
_RECENT_AGEING_S = 1.5
# Recent evidence that differs from the lasting one by less than the first factor is
# chance, by more than the second one a change; between them it counts in part. Scarce
# evidence has to differ more: the quotient is added to the logarithms of both.
_MIN_CHANGE_FACTOR = 1.12
_CHANGE_FACTOR = 1.3
_SCARCITY_S = 0.05
# An engine whose estimate differs less from the median counts as equal to it, so that
# chance does not move requests.
_EQUAL_FACTOR = 1.1
# Evidence that is worth as much as the assumption that all engines are equal, in
# seconds of streams.
_PRIOR_WEIGHT_S = 0.1
# Less evidence is not used or told.
_MIN_WEIGHT_S = 0.05
_MIN_RECENT_WEIGHT_S = 0.25
# Weight of a first event, in seconds of streams.
_FIRST_EVENT_WEIGHT_S = 0.1
# Evidence of one peer on one engine beyond this is invalid: as if it had some
# hundreds of streams there.
_MAX_PEER_WEIGHT_S = 2_000.0
# A ratio of observed to expected time beyond this factor is a fault of the
# observation. The pauses of engines that send one token or many in an event, and the
# first events of engines of any speed, are within it.
_MAX_RATIO = 100.0
_MAX_LOG_RATIO = math.log(_MAX_RATIO)
# An event of the users' engines holds four tokens.
_EXPECTED_PAUSE_S = 4 * _STEP_S
# By this share of it a pause without prefills grows with each request of the batch.
_PAUSE_GROWTH_PER_REQUEST = 0.01
# Interval at which the speeds of a service are calculated anew.
_REFRESH_INTERVAL_S = 0.25

EngineStart = tuple[str, int]
"""Engine and the number of its start: a restart may change its speed."""


@attrs.frozen(kw_only=True)
class SpeedEvidence:
    """Sums of what one instance observed at one start of an engine.

    Attributes
    ----------
    lasting_s, recent_s, first_events_s
        Weights, in seconds of streams that were observed: of the last seconds, of the
        last moment, and of first events.
    lasting_log, recent_log, first_events_log
        Weighted means of the natural logarithm of observed to expected time.
    """

    lasting_s: float = 0.0
    lasting_log: float = 0.0
    recent_s: float = 0.0
    recent_log: float = 0.0
    first_events_s: float = 0.0
    first_events_log: float = 0.0

    @property
    def is_valid(self) -> bool:
        """Whether all numbers are possible."""
        # Messages carry rounded numbers. Not a number fails each comparison.
        limit = _MAX_LOG_RATIO + 0.01
        return (
            0.0 <= self.lasting_s <= _MAX_PEER_WEIGHT_S
            and 0.0 <= self.recent_s <= _MAX_PEER_WEIGHT_S
            and 0.0 <= self.first_events_s <= _MAX_PEER_WEIGHT_S
            and -limit <= self.lasting_log <= limit
            and -limit <= self.recent_log <= limit
            and -limit <= self.first_events_log <= limit
        )


@attrs.define
class _Average:
    """Mean of values, in which older ones lose weight exponentially."""

    weight: float = 0.0
    mean: float = 0.0
    updated_at: float = 0.0

    def add(self, value: float, weight: float, now: float) -> None:
        old = self.weight_at(now)
        if old >= _MIN_OUTLIER_WEIGHT_S:
            value = min(value, self.mean + _MAX_OUTLIER_LOG)
            value = max(value, self.mean - _MAX_OUTLIER_LOG)
        self.weight = old + weight
        self.mean += (value - self.mean) * weight / self.weight
        self.updated_at = now

    def weight_at(self, now: float) -> float:
        return self.weight * _decay(now - self.updated_at, _LASTING_S)


@attrs.define
class _Interval:
    """Weight and sum of the values of one interval."""

    number: int
    weight: float = 0.0
    total: float = 0.0


@attrs.define
class _Recent:
    """Values of the last intervals that have any."""

    intervals: collections.deque[_Interval] = attrs.field(
        factory=lambda: collections.deque(maxlen=_RECENT_INTERVALS)
    )

    def add(self, value: float, weight: float, now: float) -> None:
        number = int(now / _INTERVAL_S)
        if not self.intervals or self.intervals[-1].number < number:
            self.intervals.append(_Interval(number))
        self.intervals[-1].weight += weight
        self.intervals[-1].total += value * weight

    def summarise(self, now: float) -> tuple[float, float]:
        """Return the median of the intervals, and their weight; 0 if it is scarce."""
        oldest = (now - _MAX_RECENT_AGE_S) / _INTERVAL_S
        recent = [i for i in self.intervals if i.number >= oldest]
        if len(recent) < _RECENT_INTERVALS:
            return 0.0, 0.0
        median = statistics.median(i.total / i.weight for i in recent)
        return median, sum(i.weight for i in recent)


@attrs.define
class _OwnEvidence:
    lasting: _Average = attrs.field(factory=_Average)
    recent: _Recent = attrs.field(factory=_Recent)
    first_events: _Average = attrs.field(factory=_Average)

    def summarise(self, now: float) -> SpeedEvidence:
        recent_log, recent_s = self.recent.summarise(now)
        return SpeedEvidence(
            lasting_s=self.lasting.weight_at(now),
            lasting_log=self.lasting.mean,
            recent_s=recent_s,
            recent_log=recent_log,
            first_events_s=self.first_events.weight_at(now),
            first_events_log=self.first_events.mean,
        )


@attrs.frozen
class _PeerEvidence:
    counted_at: float
    evidence: dict[EngineStart, SpeedEvidence]


@attrs.define
class _Samples:
    """Evidence of all instances on one engine, as weights and logarithms."""

    lasting: list[tuple[float, float]] = attrs.field(factory=list)
    recent: list[tuple[float, float]] = attrs.field(factory=list)
    first_events: list[tuple[float, float]] = attrs.field(factory=list)

    def add(self, evidence: SpeedEvidence, lasting: float, recent: float) -> None:
        """Add the evidence of an instance, its weights reduced by two factors."""
        if evidence.lasting_s > 0:
            self.lasting.append((evidence.lasting_log, evidence.lasting_s * lasting))
        if evidence.recent_s > 0:
            self.recent.append((evidence.recent_log, evidence.recent_s * recent))
        if evidence.first_events_s > 0:
            self.first_events.append(
                (evidence.first_events_log, evidence.first_events_s * lasting)
            )

    def estimate_pause(self) -> tuple[float, float]:
        """Return the logarithm of the pauses and its weight."""
        log, weight = _weighted_midmean(self.lasting)
        recent_log, recent_weight = _weighted_midmean(self.recent)
        if recent_weight < _MIN_RECENT_WEIGHT_S:
            return log, weight
        change = recent_log - log
        least = math.log(_MIN_CHANGE_FACTOR)
        excess = abs(change) - least - _SCARCITY_S / recent_weight
        share = min(max(excess / (math.log(_CHANGE_FACTOR) - least), 0.0), 1.0)
        return log + share * change, max(recent_weight, weight)


@final
class EngineSpeeds:
    """Speeds of engines relative to the median of their service, which is 1."""

    def __init__(self) -> None:
        self._own: dict[EngineStart, _OwnEvidence] = {}
        self._peers: dict[str, _PeerEvidence] = {}
        self._speeds: dict[str, dict[EngineStart, float]] = {}
        self._refresh_due_at: dict[str, float] = {}

    def record_pauses(
        self,
        engine: ListedEndpoint,
        pause_s: float,
        requests: float,
        covered_s: float,
        now: float,
    ) -> None:
        """Record pauses between the events of a stream.

        Parameters
        ----------
        pause_s
            Typical pause, without prefills.
        requests
            Requests at the engine.
        covered_s
            Time in seconds that the pauses cover.
        """
        expected_s = _EXPECTED_PAUSE_S * (1 + _PAUSE_GROWTH_PER_REQUEST * requests)
        if pause_s <= 0 or covered_s <= 0:
            return
        log = _log_ratio(pause_s / expected_s)
        own = self._own.setdefault((engine.id, engine.started), _OwnEvidence())
        own.lasting.add(log, covered_s, now)
        own.recent.add(log, covered_s, now)

    def record_first_event(
        self, engine: ListedEndpoint, observed_s: float, expected_s: float, now: float
    ) -> None:
        """Record the time to the first event of a request that waited for no load.

        Parameters
        ----------
        expected_s
            Time in seconds that the median engine of the service would need.
        """
        if observed_s <= 0 or expected_s <= 0:
            return
        own = self._own.setdefault((engine.id, engine.started), _OwnEvidence())
        log = _log_ratio(observed_s / expected_s)
        own.first_events.add(log, _FIRST_EVENT_WEIGHT_S, now)

    def summaries(self, now: float) -> dict[EngineStart, SpeedEvidence]:
        """Return the own evidence, to tell peers, and forget older evidence."""
        summaries = {start: own.summarise(now) for start, own in self._own.items()}
        told = {
            start: evidence
            for start, evidence in summaries.items()
            if max(evidence.lasting_s, evidence.first_events_s) >= _MIN_WEIGHT_S
        }
        self._own = {start: self._own[start] for start in told}
        return told

    def apply_peer(
        self,
        peer: str,
        evidence: Mapping[EngineStart, SpeedEvidence],
        counted_at: float,
    ) -> None:
        """Replace what a peer has told; invalid numbers are ignored.

        Parameters
        ----------
        counted_at
            Local time in seconds at which the peer counted.
        """
        valid = {start: e for start, e in evidence.items() if e.is_valid}
        if valid and math.isfinite(counted_at):
            self._peers[peer] = _PeerEvidence(counted_at, valid)
        else:
            self._peers.pop(peer, None)

    def refresh(
        self, service: str, engines: Iterable[ListedEndpoint], now: float
    ) -> None:
        """Calculate the speeds of a service's engines anew if they may have changed."""
        if now < self._refresh_due_at.get(service, -math.inf):
            return
        self._refresh_due_at[service] = now + _REFRESH_INTERVAL_S
        samples = self._collect_samples(
            {(engine.id, engine.started) for engine in engines}, now
        )
        speeds = _compare({s: e.estimate_pause() for s, e in samples.items()})
        rest = {s: e for s, e in samples.items() if s not in speeds}
        by_first_events = _compare(
            {s: _weighted_midmean(e.first_events) for s, e in samples.items()}
        )
        speeds.update((s, by_first_events[s]) for s in rest if s in by_first_events)
        self._speeds[service] = speeds

    def relative_speed(self, engine: ListedEndpoint) -> float:
        """Return the speed of an engine as of the last refresh, 1 if none is known."""
        speeds = self._speeds.get(engine.service)
        return 1.0 if not speeds else speeds.get((engine.id, engine.started), 1.0)

    def prefill_tokens_per_s(self, engine: ListedEndpoint) -> float:
        """Return the prompt tokens that an engine prefills in a second."""
        return PREFILL_TOKENS_PER_S * self.relative_speed(engine)

    def step_s(self, engine: ListedEndpoint, requests: float) -> float:
        """Return the time in seconds of a decoding step with a number of requests."""
        step_s = _STEP_S + _STEP_PER_REQUEST_S * requests
        return step_s / self.relative_speed(engine)

    def _collect_samples(
        self, starts: set[EngineStart], now: float
    ) -> dict[EngineStart, _Samples]:
        samples: dict[EngineStart, _Samples] = {start: _Samples() for start in starts}
        for start in starts & self._own.keys():
            samples[start].add(self._own[start].summarise(now), 1.0, 1.0)
        old = []
        for peer, told in self._peers.items():
            age_s = max(now - told.counted_at, 0.0)
            lasting = _decay(age_s, _LASTING_S)
            if _MAX_PEER_WEIGHT_S * lasting < _MIN_WEIGHT_S:
                old.append(peer)
                continue
            recent = _decay(age_s, _RECENT_AGEING_S)
            for start, evidence in told.evidence.items():
                known = samples.get(start)
                if known is not None:
                    known.add(evidence, lasting, recent)
        for peer in old:
            del self._peers[peer]
        return samples


def _compare(
    estimates: Mapping[EngineStart, tuple[float, float]],
) -> dict[EngineStart, float]:
    """Return the speeds of the engines with evidence, relative to their median.

    Parameters
    ----------
    estimates
        Logarithm of observed to expected time, and the weight of the evidence.
    """
    known = {s: e for s, e in estimates.items() if e[1] >= _MIN_WEIGHT_S}
    if not known:
        return {}
    median = statistics.median(log for log, _ in known.values())
    speeds = {}
    for start, (log, weight) in known.items():
        difference = (median - log) * weight / (weight + _PRIOR_WEIGHT_S)
        is_equal = abs(difference) < math.log(_EQUAL_FACTOR)
        speed = 1.0 if is_equal else math.exp(difference)
        speeds[start] = min(max(speed, MIN_SPEED), MAX_SPEED)
    return speeds


def _weighted_midmean(values: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the mean of weighted values, and the sum of the weights.

    The quarters of the weight with the lowest and the highest values are left out, so
    that outliers do not count.
    """
    total = sum(weight for _, weight in values)
    if total <= 0:
        return 0.0, 0.0
    low, high = total / 4, total * 3 / 4
    passed = inner = 0.0
    for value, weight in sorted(values):
        begin, passed = passed, passed + weight
        inner += value * max(min(passed, high) - max(begin, low), 0.0)
    return inner / (high - low), total


def _log_ratio(ratio: float) -> float:
    return math.log(min(max(ratio, 1 / _MAX_RATIO), _MAX_RATIO))


def _decay(elapsed_s: float, time_constant_s: float) -> float:
    return math.exp(-max(elapsed_s, 0.0) / time_constant_s)
