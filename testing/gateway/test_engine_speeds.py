"""Engine speeds: learned within seconds from the traffic of all instances.

The fleets here have the instances, engines and traffic of the users' deployments; the
observations are drawn, with pauses that prefills of other requests lengthen.
"""

from __future__ import annotations

import math
import random
import statistics
from collections.abc import Callable

import attrs
import pytest

from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_speeds import MAX_SPEED
from chiveslip.gateway.engine_speeds import MIN_SPEED
from chiveslip.gateway.engine_speeds import PREFILL_TOKENS_PER_S
from chiveslip.gateway.engine_speeds import EngineSpeeds
from chiveslip.gateway.engine_speeds import SpeedEvidence
from chiveslip.gateway.event_pauses import WINDOW_S
from chiveslip.gateway.event_pauses import EventPauses
from chiveslip.settings.fields import Address

TOLERANCE = 0.2
# Share of the estimates that have to be within the tolerance at any moment: an engine
# that prefills for most of a second looks slow, and is.
SHARE_WITHIN = 0.95
STEP_S = 0.0101
TOKENS_PER_EVENT = 4
STREAM_S = 1.7
# Share of the time in which an engine's pauses are those of steps with prefills, for
# all its streams alike, and how much longer these are.
PREFILL_SHARE, PREFILL_FACTOR = 0.06, 2.5
NOISE = 0.08


def make_engine(number: int, started: int = 1) -> ListedEndpoint:
    return ListedEndpoint(
        id=f"engine-{number}",
        service="llm",
        address=Address("10.0.0.1", 1),
        data_centre="here",
        slots=16,
        state=EndpointState.READY,
        started=started,
    )


@attrs.frozen
class Deployment:
    """Traffic in streams a second; delay bounds of a report in seconds."""

    instances: int
    engines: int
    streams_per_s: float
    report_interval_s: float
    report_delay_s: tuple[float, float]

    @property
    def listed(self) -> list[ListedEndpoint]:
        return [make_engine(number) for number in range(self.engines)]


SIX = Deployment(6, 9, 40.0, 0.25, (0.0, 0.02))
MINUTES = Deployment(59, 30, 154.1, 1.0, (0.1, 2.0))
LABELS = Deployment(81, 45, 188.1, 1.0, (0.1, 2.0))
DEPLOYMENTS = [
    pytest.param(SIX, id="6"),
    pytest.param(MINUTES, id="59"),
    pytest.param(LABELS, id="81"),
]


def share_within(errors: list[float]) -> float:
    return sum(error <= TOLERANCE for error in errors) / len(errors)


Speed = Callable[[int, float], float]
"""True speed of an engine, by its number and the time."""


def equal(number: int, now: float) -> float:
    return 1.0


def mixed(number: int, now: float) -> float:
    return (0.6, 1.0, 1.6)[number % 3]


def with_spells(number: int, now: float) -> float:
    """Every seventh engine is slow for 0.6 s in each three seconds."""
    is_slow = number % 7 == 3 and (now + number) % 3.0 < 0.6
    return mixed(number, now) / (2.5 if is_slow else 1.0)


def one_turns_slower(number: int, now: float) -> float:
    return 1 / 2.5 if number == 1 and now >= 10.0 else 1.0


class Fleet:
    """Instances that observe drawn streams and tell each other, in steps of time."""

    def __init__(
        self,
        deployment: Deployment,
        speed: Speed,
        *,
        tells_peers: bool = True,
        sees_all: bool = False,
        seed: int = 1,
    ) -> None:
        self._deployment = deployment
        self._speed = speed
        self._tells_peers = tells_peers
        self._random = random.Random(seed)
        self.instances = [
            EngineSpeeds() for _ in range(1 if sees_all else deployment.instances)
        ]
        self.engines = deployment.listed
        self.now = 0.0
        self._streams: list[tuple[float, int, int]] = []
        self._reports: list[
            tuple[float, str, dict[tuple[str, int], SpeedEvidence], float]
        ] = []

    def run(self, until: float) -> None:
        while self.now < until - 1e-9:
            self._step()

    def _step(self) -> None:
        self.now += WINDOW_S
        arrivals = self._deployment.streams_per_s * WINDOW_S
        for _ in range(round(arrivals + self._random.random() - 0.5)):
            self._streams.append(
                (
                    self.now + self._random.expovariate(1 / STREAM_S),
                    self._random.randrange(len(self.instances)),
                    self._random.randrange(len(self.engines)),
                )
            )
        self._streams = [stream for stream in self._streams if stream[0] > self.now]
        factors = [
            PREFILL_FACTOR if self._random.random() < PREFILL_SHARE else 1.0
            for _ in self.engines
        ]
        for _, instance, number in self._streams:
            self._observe(self.instances[instance], number, factors[number])
        self._exchange()

    def _observe(self, speeds: EngineSpeeds, number: int, factor: float) -> None:
        at = self.now - self._random.random() * WINDOW_S / 2
        pause_s = TOKENS_PER_EVENT * STEP_S / self._speed(number, at)
        pause_s *= math.exp(self._random.gauss(0.0, NOISE))
        speeds.record_pauses(
            self.engines[number], pause_s * factor, 7.0, WINDOW_S, self.now
        )

    def _exchange(self) -> None:
        interval = round(self._deployment.report_interval_s / WINDOW_S)
        if self._tells_peers:
            for number, speeds in enumerate(self.instances):
                if (round(self.now / WINDOW_S) + number) % interval == 0:
                    delay_s = self._random.uniform(*self._deployment.report_delay_s)
                    self._reports.append(
                        (
                            self.now + delay_s,
                            f"instance-{number}",
                            speeds.summaries(self.now),
                            self.now,
                        )
                    )
        arrived = [report for report in self._reports if report[0] <= self.now]
        self._reports = [report for report in self._reports if report[0] > self.now]
        for _, name, evidence, counted_at in sorted(arrived, key=lambda r: r[3]):
            for number, speeds in enumerate(self.instances):
                if name != f"instance-{number}":
                    speeds.apply_peer(name, evidence, counted_at)

    def estimates(self, instance: int = 0) -> list[float]:
        speeds = self.instances[instance]
        speeds.refresh("llm", self.engines, self.now)
        return [speeds.relative_speed(engine) for engine in self.engines]

    def errors(self, speed: Speed, instance: int = 0) -> list[float]:
        """Return by which share each estimate is off."""
        numbers = range(len(self.engines))
        median = statistics.median(speed(number, self.now) for number in numbers)
        return [
            abs(estimate / (speed(number, self.now) / median) - 1)
            for number, estimate in enumerate(self.estimates(instance))
        ]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize(
    "speed",
    [
        pytest.param(equal, id="equal"),
        pytest.param(mixed, id="mixed"),
    ],
)
def test_lasting_differences_are_learned_within_seconds(
    deployment: Deployment, speed: Speed, seed: int
) -> None:
    """Guards against a placement that takes engines of 2.7 times the speed alike."""
    fleet = Fleet(deployment, speed, seed=seed)
    errors = []
    for second in (4, 5, 6, 7):
        fleet.run(float(second))
        errors += fleet.errors(speed)
    assert share_within(errors) >= SHARE_WITHIN


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_spells_leave_the_estimates_of_other_engines_alone(
    deployment: Deployment,
) -> None:
    """Guards against short spells, as old as reports are, that move the estimates."""
    fleet = Fleet(deployment, with_spells)
    others = []
    for second in range(5, 12):
        fleet.run(float(second))
        for number, error in enumerate(fleet.errors(mixed)):
            if number % 7 != 3:
                others.append(error)
        for number, estimate in enumerate(fleet.estimates()):
            assert estimate >= mixed(number, fleet.now) / 2.5 * (1 - TOLERANCE)
    assert share_within(others) >= SHARE_WITHIN


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_change_shows_within_a_second_of_the_traffic_of_the_fleet(
    deployment: Deployment, seed: int
) -> None:
    """Guards against evidence that outlives a change of an engine."""
    fleet = Fleet(deployment, one_turns_slower, sees_all=True, seed=seed)
    fleet.run(11.0)
    assert fleet.errors(one_turns_slower)[1] <= TOLERANCE


@pytest.mark.parametrize(
    ("deployment", "seconds"),
    [
        pytest.param(SIX, 1.0, id="6"),
        # The reports of peers are up to three seconds old.
        pytest.param(MINUTES, 3.0, id="59"),
        pytest.param(LABELS, 3.0, id="81"),
    ],
)
def test_change_shows_once_the_reports_of_peers_have_come(
    deployment: Deployment, seconds: float
) -> None:
    """Guards against older reports of peers that outweigh newer ones."""
    fleet = Fleet(deployment, one_turns_slower)
    fleet.run(10.0 + seconds)
    assert fleet.errors(one_turns_slower)[1] <= TOLERANCE


def test_own_evidence_is_used_while_peers_are_silent() -> None:
    """Guards against an instance that learns nothing during a partition."""
    fleet = Fleet(SIX, mixed, tells_peers=False)
    fleet.run(12.0)
    errors = fleet.errors(mixed)
    assert statistics.median(errors) <= TOLERANCE
    assert sum(error <= TOLERANCE for error in errors) >= len(errors) - 1


def test_restarted_engine_starts_from_the_median() -> None:
    """Guards against the speed of an earlier start, which a restart may change."""
    fleet = Fleet(SIX, mixed)
    fleet.run(5.0)
    speeds = fleet.instances[0]
    restarted = make_engine(0, started=2)
    engines = [restarted, *fleet.engines[1:]]
    speeds.refresh("llm", engines, fleet.now + 1.0)
    assert speeds.relative_speed(restarted) == 1.0
    assert speeds.relative_speed(fleet.engines[2]) > 1.3


def test_evidence_is_forgotten_without_traffic() -> None:
    """Guards against an engine that is never asked again after it was slow once."""
    fleet = Fleet(SIX, mixed)
    fleet.run(5.0)
    speeds = fleet.instances[0]
    later = fleet.now + 60.0
    speeds.refresh("llm", fleet.engines, later)
    assert {speeds.relative_speed(engine) for engine in fleet.engines} == {1.0}
    assert speeds.summaries(later) == {}


VALID = SpeedEvidence(lasting_s=1.0, lasting_log=0.2)


@pytest.mark.parametrize(
    "evidence",
    [
        attrs.evolve(VALID, lasting_s=-1.0),
        attrs.evolve(VALID, lasting_s=math.inf),
        attrs.evolve(VALID, lasting_s=math.nan),
        attrs.evolve(VALID, lasting_s=1e9),
        attrs.evolve(VALID, lasting_log=math.nan),
        attrs.evolve(VALID, lasting_log=-math.inf),
        attrs.evolve(VALID, lasting_log=40.0),
        attrs.evolve(VALID, recent_s=math.nan),
        attrs.evolve(VALID, recent_log=math.inf),
        attrs.evolve(VALID, first_events_s=-0.1),
        attrs.evolve(VALID, first_events_log=math.nan),
    ],
)
def test_nonsense_of_a_peer_is_ignored(evidence: SpeedEvidence) -> None:
    """Guards against a faulty peer that moves the estimates of all others."""
    fleet = Fleet(SIX, mixed)
    fleet.run(5.0)
    speeds = fleet.instances[0]
    before = fleet.estimates()
    nonsense = {(engine.id, engine.started): evidence for engine in fleet.engines}
    speeds.apply_peer("faulty", nonsense, fleet.now)
    speeds.refresh("llm", fleet.engines, fleet.now + 1e-3 + WINDOW_S)
    after = [speeds.relative_speed(engine) for engine in fleet.engines]
    assert after == pytest.approx(before, rel=0.05)


@pytest.mark.parametrize("counted_at", [math.nan, math.inf, -math.inf])
def test_evidence_of_no_known_age_is_ignored(counted_at: float) -> None:
    """Guards against an invalid age in a peer's report."""
    fleet = Fleet(SIX, equal)
    speeds = fleet.instances[0]
    speeds.apply_peer("faulty", {("engine-0", 1): VALID}, counted_at)
    assert set(fleet.estimates()) == {1.0}


def test_plausible_but_wrong_evidence_of_one_peer_does_not_prevail() -> None:
    """Guards against one instance whose own processing makes engines look slow."""
    fleet = Fleet(SIX, equal)
    fleet.run(5.0)
    wrong = SpeedEvidence(lasting_s=2.0, lasting_log=3.0, recent_s=0.3, recent_log=3.0)
    fleet.instances[0].apply_peer("instance-5", {("engine-0", 1): wrong}, fleet.now)
    assert fleet.errors(equal)[0] <= TOLERANCE


def test_nothing_is_assumed_without_evidence() -> None:
    """Guards against any effect where no speed is known."""
    speeds = EngineSpeeds()
    engine = make_engine(0)
    speeds.refresh("llm", [engine], 0.0)
    assert speeds.relative_speed(engine) == 1.0
    assert speeds.prefill_tokens_per_s(engine) == PREFILL_TOKENS_PER_S
    assert speeds.step_s(engine, 3.0) == 0.009 + 0.0004 * 3.0


def test_speeds_are_bounded() -> None:
    """Guards against an engine that gets all requests, or none, by one estimate."""
    speeds = EngineSpeeds()
    engines = [make_engine(number) for number in range(5)]
    for pause_s, engine in zip((1e-3, 0.04, 0.04, 0.04, 3.0), engines, strict=True):
        for window in range(40):
            speeds.record_pauses(engine, pause_s, 1.0, WINDOW_S, window * WINDOW_S)
    speeds.refresh("llm", engines, 10.0)
    assert speeds.relative_speed(engines[0]) == MAX_SPEED
    assert speeds.relative_speed(engines[4]) == MIN_SPEED


def test_first_events_count_only_without_pauses() -> None:
    """Guards against an engine that seems slow as first events waited in its queue."""
    speeds = EngineSpeeds()
    engines = [make_engine(number) for number in range(4)]
    for tenth in range(50):
        for engine in engines:
            is_late = engine.id in ("engine-2", "engine-3")
            observed_s = 0.3 if is_late else 0.1
            speeds.record_first_event(engine, observed_s, 0.1, tenth / 10)
        for engine in engines[:3]:
            speeds.record_pauses(engine, 0.04, 1.0, 0.1, tenth / 10)
    speeds.refresh("llm", engines, 5.0)
    assert [speeds.relative_speed(engine) for engine in engines[:3]] == [1.0] * 3
    assert speeds.relative_speed(engines[3]) < 0.7


def test_services_do_not_share_their_median() -> None:
    """Guards against a small model's engines that make a large one's look slow."""
    speeds = EngineSpeeds()
    small = [make_engine(number) for number in range(3)]
    large = [
        attrs.evolve(make_engine(number), id=f"large-{number}", service="large")
        for number in range(3)
    ]
    for tenth in range(50):
        for engine in small:
            speeds.record_pauses(engine, 0.02, 1.0, 0.1, tenth / 10)
        for engine in large:
            speeds.record_pauses(engine, 0.1, 1.0, 0.1, tenth / 10)
    speeds.refresh("llm", small, 5.0)
    speeds.refresh("large", large, 5.0)
    assert {speeds.relative_speed(engine) for engine in [*small, *large]} == {1.0}


@pytest.mark.parametrize(
    ("arrivals", "pause_s"),
    [
        pytest.param([(n * 0.04, 1) for n in range(20)], 0.04, id="even"),
        pytest.param(
            [(n * 0.04 + n // 4 * 0.07, 1) for n in range(20)],
            0.04,
            id="prefill-in-between",
        ),
        pytest.param([(n * 0.16, 4) for n in range(8)], 0.04, id="several-at-once"),
        pytest.param([(n * 0.4, 1) for n in range(9)], 0.4, id="slow"),
    ],
)
def test_pauses_of_a_stream_are_summarised(
    arrivals: list[tuple[float, int]], pause_s: float
) -> None:
    """Guards against prefills and late reads that look like a slow engine."""
    windows: list[tuple[float, float, float]] = []
    pauses = EventPauses(lambda *window: windows.append(window))
    for at, events in arrivals:
        pauses.record_events(events, at)
    pauses.record_end()
    assert [window[0] for window in windows] == pytest.approx([pause_s] * len(windows))
    assert 0 < sum(window[1] for window in windows) <= arrivals[-1][0] + 1e-9


def test_stream_of_one_event_has_no_pauses() -> None:
    """Guards against a summary of nothing."""
    windows: list[tuple[float, float, float]] = []
    pauses = EventPauses(lambda *window: windows.append(window))
    pauses.record_end()
    pauses.record_events(1, 1.0)
    pauses.record_end()
    assert windows == []
