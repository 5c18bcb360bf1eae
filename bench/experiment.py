"""Plays placement policies side by side, as a YAML file says.

``python -m bench.experiment bench/experiments/placement.yaml --plots DIR`` prints the
table of docs/BENCH.md and draws the times to the first token. Virtual time: the same
file gives the same figures.
"""

from __future__ import annotations

import collections
from pathlib import Path
from typing import Any

import attrs
import cappa
import matplotlib.figure
import yaml

from bench.placement import POLICIES
from bench.placement import Load
from bench.placement import Result
from bench.placement import Simulation
from bench.placement import arrivals
from bench.placement import fewest_fetches
from bench.placement import first_p99
from bench.placement import share
from bench.placement import worst_p99

_CLAIRVOYANT = "clairvoyant, fetches alone"
_HEAD = (
    "| load | policy | fetches | stalled | stall p50 | stall p99 | first token p99 "
    "| worst organisation | refused |"
)


class ExperimentError(Exception):
    """The file cannot be played; the text says what to change."""


@attrs.frozen(kw_only=True)
class Experiment:
    """Loads by name, policies and seeds; each is played with each."""

    loads: dict[str, Load]
    policies: list[str]
    seeds: list[int]


@attrs.frozen(kw_only=True)
class Played:
    """What became of one load under one policy, over all seeds."""

    load: str
    policy: str
    requests: int
    fewest_fetches: int
    results: list[Result]

    @property
    def merged(self) -> Result:
        """The results of all seeds as one."""
        first_s: dict[int, list[float]] = collections.defaultdict(list)
        for result in self.results:
            for organisation, times in result.first_s.items():
                first_s[organisation] += times
        return Result(
            requests=sum(result.requests for result in self.results),
            fetches=sum(result.fetches for result in self.results),
            stalls_s=sorted(s for result in self.results for s in result.stalls_s),
            first_s={name: sorted(times) for name, times in first_s.items()},
            refused=sum(result.refused for result in self.results),
        )


def read(text: str) -> Experiment:
    """Read an experiment.

    Raises
    ------
    ExperimentError
        If a field is unknown, missing or of the wrong kind.
    """
    found = yaml.safe_load(text)
    if not isinstance(found, dict):
        raise ExperimentError("the file must hold loads, policies and seeds")
    unknown = sorted(found.keys() - {"loads", "policies", "seeds"})
    if unknown:
        raise ExperimentError(f"unknown field {unknown[0]!r}")
    policies = found.get("policies", list(POLICIES))
    for policy in policies:
        if policy not in POLICIES:
            names = ", ".join(POLICIES)
            raise ExperimentError(f"unknown policy {policy!r}; there are: {names}")
    loads = dict(_load(entry) for entry in found.get("loads", []))
    if not loads:
        raise ExperimentError("give at least one load")
    return Experiment(loads=loads, policies=policies, seeds=found.get("seeds", [1]))


def _load(entry: dict[str, Any]) -> tuple[str, Load]:
    fields = dict(entry)
    name = fields.pop("name", None)
    if name is None:
        raise ExperimentError("each load needs a name")
    known = {field.name for field in attrs.fields(Load)}
    unknown = sorted(fields.keys() - known)
    if unknown:
        raise ExperimentError(f"load {name!r} has the unknown field {unknown[0]!r}")
    return str(name), Load(**fields)


def play(experiment: Experiment) -> list[Played]:
    """Play each load with each policy and seed."""
    played = []
    for name, load in experiment.loads.items():
        requests = {seed: arrivals(load, seed) for seed in experiment.seeds}
        for policy in experiment.policies:
            results = [
                Simulation(load, POLICIES[policy]).play(of_seed)
                for of_seed in requests.values()
            ]
            played.append(
                Played(
                    load=name,
                    policy=policy,
                    requests=sum(len(r) for r in requests.values()),
                    fewest_fetches=sum(fewest_fetches(r) for r in requests.values()),
                    results=results,
                )
            )
    return played


def table(played: list[Played]) -> str:
    """Return the table in Markdown; times in milliseconds."""
    lines = [_HEAD, "|---" * 9 + "|"]
    for number, one in enumerate(played):
        result = one.merged
        lines.append(
            f"| {one.load} | {one.policy} | {result.fetches} | {len(result.stalls_s)} "
            f"| {share(result.stalls_s, 0.5) * 1000:.0f} ms "
            f"| {share(result.stalls_s, 0.99) * 1000:.0f} ms "
            f"| {first_p99(result) * 1000:.0f} ms "
            f"| {worst_p99(result):.2f} x median | {result.refused} |"
        )
        if number + 1 == len(played) or played[number + 1].load != one.load:
            fetches = one.fewest_fetches
            lines.append(f"| {one.load} | {_CLAIRVOYANT} | {fetches} | | | | | | |")
    return "\n".join(lines)


def plot(played: list[Played], folder: Path) -> list[Path]:
    """Draw the times to the first token of each load, and return the files."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for load in dict.fromkeys(one.load for one in played):
        figure = matplotlib.figure.Figure(figsize=(7, 4), layout="constrained")
        axes = figure.subplots()
        for one in played:
            if one.load == load:
                times = [s for v in one.merged.first_s.values() for s in v]
                axes.ecdf([s * 1000 for s in times], label=one.policy)
        axes.set_xscale("log")
        axes.set_xlabel("time to the first token, ms")
        axes.set_ylabel("share of requests")
        axes.set_title(f"Load {load}")
        axes.legend()
        paths.append(folder / f"first-token-{load}.png")
        figure.savefig(paths[-1], dpi=120)
    return paths


@attrs.frozen
class Command:
    """Play placement policies side by side.

    Attributes
    ----------
    file
        YAML file with loads, policies and seeds.
    plots
        Folder for plots; without, none are drawn.
    """

    file: Path
    plots: Path | None = attrs.field(
        default=None, metadata={"cappa": cappa.Arg(long=True)}
    )

    def __call__(self) -> None:
        """Run the command."""
        try:
            experiment = read(self.file.read_text())
        except (OSError, yaml.YAMLError, ExperimentError) as error:
            raise cappa.Exit(f"{self.file}: {error}", code=2) from error
        played = play(experiment)
        print(table(played))
        if self.plots is not None:
            for path in plot(played, self.plots):
                print(f"drawn: {path}")


if __name__ == "__main__":
    cappa.invoke(Command)
