"""Callers of a large deployment: data centres, classes of streams, their requests."""

from __future__ import annotations

import itertools
import math
import random
from typing import final

import attrs

from bench.simulated_endpoints import MODEL
from bench.simulated_endpoints import cumulative_zipf_weights
from bench.simulated_engine import PromptPart
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.routing import RetryPolicy

MAX_PAUSE_S = 0.4
_MIN_FIRST_EVENT_WAIT_S = 2.0
_FIRST_EVENT_WAIT_PER_AIM = 4.0
_FIRST_EVENT_WAIT_PER_PAUSE = 8.0
_TOKENS_PER_EVENT = 4
# A request's worth: a fixed share, and a share in proportion to its size.
_FIXED_WORTH_SHARE = 0.3
_MAX_WORTH_FACTOR = 4.0
_OUTPUT_TOKEN_SIZE = 10
# An organisation's requests beyond this multiple of its usual rate exceed its
# allowance: they are refused, and no worth is owed for them.
_ALLOWANCE_FACTOR = 1.8


@attrs.frozen(kw_only=True)
class Length:
    """Distribution of a length: log-normal, up to a maximum."""

    mean: float
    spread: float
    maximum: float

    def draw(self, generator: random.Random) -> float:
        """Return a length."""
        mu = math.log(self.mean) - self.spread**2 / 2
        return min(generator.lognormvariate(mu, self.spread), self.maximum)


@attrs.frozen(kw_only=True)
class SharedPart:
    """A part of the prompts of a class, of which there are several variants."""

    length: Length
    variants: int


@attrs.frozen(kw_only=True)
class StreamClass:
    """A class of streamed requests; times in seconds.

    Attributes
    ----------
    share
        Weight among the streamed classes.
    aim_s
        Time to the first event within which a request earns its full worth.
    """

    name: str
    share: float
    aim_s: float
    deadline_s: float
    worth: float
    late_worth: float
    priority: int
    retry_policy: RetryPolicy
    max_runs: int
    events: Length
    own_tokens: Length
    shared_parts: tuple[SharedPart, ...]

    @property
    def first_event_wait_s(self) -> float:
        """Time in seconds after which a caller without an event leaves."""
        return max(
            _MIN_FIRST_EVENT_WAIT_S,
            _FIRST_EVENT_WAIT_PER_AIM * self.aim_s,
            _FIRST_EVENT_WAIT_PER_PAUSE * MAX_PAUSE_S,
        )


_SUMMARY_EVENTS = Length(mean=43.1, spread=0.89, maximum=149.0)
_SUMMARY_TOKENS = Length(mean=1110.0, spread=1.0, maximum=3790.0)
_SUMMARY_TEMPLATE = Length(mean=210.0, spread=0.4, maximum=524.0)
_SUMMARY_SUBJECT = Length(mean=140.0, spread=0.7, maximum=419.0)

SURVEY_SUMMARY = StreamClass(
    name="survey-summary",
    share=190.0,
    aim_s=0.8,
    deadline_s=15.0,
    worth=2.0,
    late_worth=0.2,
    priority=1,
    retry_policy=RetryPolicy.AT_MOST_ONCE,
    max_runs=1,
    events=_SUMMARY_EVENTS,
    own_tokens=_SUMMARY_TOKENS,
    shared_parts=(
        SharedPart(length=_SUMMARY_TEMPLATE, variants=3),
        SharedPart(length=_SUMMARY_SUBJECT, variants=89),
    ),
)
COMMITTEE_SUMMARY = StreamClass(
    name="committee-summary",
    share=26.4,
    aim_s=1.0,
    deadline_s=15.0,
    worth=1.0,
    late_worth=0.1,
    priority=2,
    retry_policy=RetryPolicy.RESUMABLE,
    max_runs=2,
    events=_SUMMARY_EVENTS,
    own_tokens=_SUMMARY_TOKENS,
    shared_parts=(
        SharedPart(length=_SUMMARY_TEMPLATE, variants=1),
        SharedPart(length=_SUMMARY_SUBJECT, variants=2),
    ),
)
APPLICANT_LETTER = StreamClass(
    name="applicant-letter",
    share=116.0,
    aim_s=0.6,
    deadline_s=8.0,
    worth=1.4,
    late_worth=0.14,
    priority=0,
    retry_policy=RetryPolicy.AT_MOST_ONCE,
    max_runs=1,
    events=Length(mean=17.4, spread=1.4, maximum=69.4),
    own_tokens=Length(mean=491.0, spread=0.96, maximum=2660.0),
    shared_parts=(
        SharedPart(
            length=Length(mean=93.1, spread=0.4, maximum=233.0),
            variants=3,
        ),
        SharedPart(
            length=Length(mean=62.1, spread=0.7, maximum=186.0),
            variants=36,
        ),
    ),
)
STREAM_CLASSES = (SURVEY_SUMMARY, COMMITTEE_SUMMARY, APPLICANT_LETTER)


@attrs.frozen(kw_only=True)
class DataCentre:
    """Instances and callers of a data centre.

    Attributes
    ----------
    clients
        Callers that each keep to one instance for a request.
    streams_per_s
        Rate on a calm day.
    wave_phase
        Phase of the rate's wave, as a share of its period.
    """

    name: str
    instances: int
    clients: int
    streams_per_s: float
    wave_phase: float


# Half of the rates on the users' sheet of a calm day, without the plain requests.
_STREAMS_SHARE = 0.5 * (190.0 + 26.4 + 116.0) / 448.7
DATA_CENTRES = (
    DataCentre(
        name="za-west-a",
        instances=17,
        clients=74,
        streams_per_s=80.2 * _STREAMS_SHARE,
        wave_phase=0.022,
    ),
    DataCentre(
        name="za-west-b",
        instances=18,
        clients=60,
        streams_per_s=65.3 * _STREAMS_SHARE,
        wave_phase=0.48,
    ),
    DataCentre(
        name="za-west-c",
        instances=18,
        clients=54,
        streams_per_s=59.0 * _STREAMS_SHARE,
        wave_phase=0.038,
    ),
    DataCentre(
        name="za-west-d",
        instances=21,
        clients=66,
        streams_per_s=71.4 * _STREAMS_SHARE,
        wave_phase=0.5,
    ),
    DataCentre(
        name="za-west-e",
        instances=17,
        clients=68,
        streams_per_s=74.8 * _STREAMS_SHARE,
        wave_phase=0.69,
    ),
)


@attrs.frozen(kw_only=True)
class Burst:
    """A class of requests that comes more often for a time."""

    class_name: str
    factor: float
    at_s: float
    duration_s: float


@attrs.frozen(kw_only=True)
class HotOrganisations:
    """Organisations whose requests come more often for a time."""

    organisations: tuple[int, ...]
    factor: float
    at_s: float
    duration_s: float


@attrs.frozen(kw_only=True)
class PopularityShift:
    """The most popular adapters change places with others for a time."""

    adapters: int
    at_s: float
    duration_s: float


# The shifts on the users' sheets.
_SHIFTS = (
    PopularityShift(adapters=2, at_s=1.0, duration_s=7.2),
    PopularityShift(adapters=1, at_s=10.0, duration_s=3.0),
    PopularityShift(adapters=2, at_s=14.0, duration_s=7.3),
)


@attrs.frozen(kw_only=True)
class Load:
    """Requests of a run; times in seconds.

    Attributes
    ----------
    factor
        Rate, as a multiple of that of a calm day.
    adapter_share
        Share of the requests that name an adapter.
    """

    factor: float = 1.0
    duration_s: float = 15.0
    wave_swing: float = 0.15
    wave_period_s: float = 11.0
    adapters: int = 10_000
    zipf: float = 1.3
    adapter_share: float = 0.95
    shifts: tuple[PopularityShift, ...] = _SHIFTS
    organisations: int = 16
    bursts: tuple[Burst, ...] = ()
    hot_organisations: HotOrganisations | None = None
    data_centres: tuple[DataCentre, ...] = DATA_CENTRES
    stream_classes: tuple[StreamClass, ...] = STREAM_CLASSES


@attrs.frozen(kw_only=True, eq=False)
class StreamRequest:
    """A caller's request.

    Attributes
    ----------
    worth
        Worth if it is served in time.
    """

    number: int
    at: float
    data_centre: str
    stream_class: StreamClass
    adapter: Adapter | None
    shared_parts: tuple[PromptPart, ...]
    own_tokens: int
    output_tokens: int
    worth: float

    @property
    def prompt_tokens(self) -> int:
        """Length of the whole prompt."""
        return self.own_tokens + sum(part.tokens for part in self.shared_parts)


@final
class RequestGenerator:
    """Draws the requests of a run."""

    def __init__(self, load: Load, generator: random.Random) -> None:
        self._load = load
        self._random = generator
        self._weights = cumulative_zipf_weights(load.adapters, load.zipf)
        self._adapters = list(range(load.adapters))
        self._exchanges = self._draw_exchanges()
        self._numbers = itertools.count()
        self._part_tokens: dict[str, int] = {}

    def generate(self) -> list[StreamRequest]:
        """Return all requests, in order of time."""
        times = [
            (at, data_centre, stream_class)
            for data_centre in self._load.data_centres
            for stream_class in self._load.stream_classes
            for at in self._draw_times(data_centre, stream_class)
        ]
        times.sort(key=lambda entry: entry[0])
        return [self._draw_request(*entry) for entry in times]

    def _draw_times(
        self, data_centre: DataCentre, stream_class: StreamClass
    ) -> list[float]:
        load = self._load
        all_shares = sum(other.share for other in load.stream_classes)
        usual_rate = (
            data_centre.streams_per_s * load.factor * stream_class.share / all_shares
        )
        bursts = [b for b in load.bursts if b.class_name == stream_class.name]
        peak = math.prod(burst.factor for burst in bursts) * (1 + load.wave_swing)
        peak *= self._hot_rate_factor()
        times = []
        now = 0.0
        while True:
            now += self._random.expovariate(usual_rate * peak)
            if now >= load.duration_s:
                return times
            phase = now / load.wave_period_s + data_centre.wave_phase
            factor = 1 + load.wave_swing * math.sin(2 * math.pi * phase)
            for burst in bursts:
                if burst.at_s <= now < burst.at_s + burst.duration_s:
                    factor *= burst.factor
            if self._has_hot_organisations(now):
                factor *= self._hot_rate_factor()
            if self._random.random() < factor / peak:
                times.append(now)

    def _draw_request(
        self, at: float, data_centre: DataCentre, stream_class: StreamClass
    ) -> StreamRequest:
        shared_parts = tuple(
            self._draw_part(stream_class, position, part)
            for position, part in enumerate(stream_class.shared_parts)
        )
        own_tokens = max(round(stream_class.own_tokens.draw(self._random)), 1)
        events = max(round(stream_class.events.draw(self._random)), 1)
        output_tokens = events * _TOKENS_PER_EVENT
        prompt_tokens = own_tokens + sum(part.tokens for part in shared_parts)
        mean_size = _size(
            stream_class.own_tokens.mean
            + sum(part.length.mean for part in stream_class.shared_parts),
            stream_class.events.mean * _TOKENS_PER_EVENT,
        )
        size_share = _size(prompt_tokens, output_tokens) / mean_size
        factor = _FIXED_WORTH_SHARE + (1 - _FIXED_WORTH_SHARE) * size_share
        return StreamRequest(
            number=next(self._numbers),
            at=at,
            data_centre=data_centre.name,
            stream_class=stream_class,
            adapter=self._draw_adapter(at),
            shared_parts=shared_parts,
            own_tokens=own_tokens,
            output_tokens=output_tokens,
            worth=stream_class.worth * min(factor, _MAX_WORTH_FACTOR),
        )

    def _draw_part(
        self, stream_class: StreamClass, position: int, part: SharedPart
    ) -> PromptPart:
        variant = self._random.randrange(part.variants)
        name = f"{stream_class.name}-{position}-{variant}"
        tokens = self._part_tokens.get(name)
        if tokens is None:
            tokens = max(round(part.length.draw(self._random)), 1)
            self._part_tokens[name] = tokens
        return PromptPart(name=name, tokens=tokens)

    def _draw_adapter(self, at: float) -> Adapter | None:
        self._shift_popularity(at)
        if self._random.random() >= self._load.adapter_share:
            return None
        adapter = self._draw_index()
        hot = self._load.hot_organisations
        if hot is not None and self._has_hot_organisations(at):
            adapter = self._prefer_organisations(adapter, hot)
        return (f"{MODEL}/a{adapter}", 1)

    def _draw_index(self) -> int:
        (index,) = self._random.choices(self._adapters, cum_weights=self._weights)
        return index

    def _has_hot_organisations(self, at: float) -> bool:
        hot = self._load.hot_organisations
        return hot is not None and hot.at_s <= at < hot.at_s + hot.duration_s

    def _hot_rate_factor(self) -> float:
        """Return the rate of all requests while some organisations are hot."""
        hot = self._load.hot_organisations
        if hot is None:
            return 1.0
        share = len(hot.organisations) / self._load.organisations
        return 1 + share * (min(hot.factor, _ALLOWANCE_FACTOR) - 1)

    def _prefer_organisations(self, adapter: int, hot: HotOrganisations) -> int:
        """Return an adapter, those of hot organisations more often than others."""
        factor = min(hot.factor, _ALLOWANCE_FACTOR)
        while (
            adapter % self._load.organisations not in hot.organisations
            and self._random.random() >= 1 / factor
        ):
            adapter = self._draw_index()
        return adapter

    def _draw_exchanges(self) -> list[tuple[float, int, int]]:
        """Return when which two ranks exchange their adapters, the last one first."""
        exchanges = []
        for shift in self._load.shifts:
            for rank in range(shift.adapters):
                other = self._random.randrange(shift.adapters, self._load.adapters)
                exchanges.append((shift.at_s, rank, other))
                exchanges.append((shift.at_s + shift.duration_s, rank, other))
        return sorted(exchanges, reverse=True)

    def _shift_popularity(self, at: float) -> None:
        adapters = self._adapters
        while self._exchanges and self._exchanges[-1][0] <= at:
            _, rank, other = self._exchanges.pop()
            adapters[rank], adapters[other] = adapters[other], adapters[rank]


def _size(prompt_tokens: float, output_tokens: float) -> float:
    return prompt_tokens + _OUTPUT_TOKEN_SIZE * output_tokens
