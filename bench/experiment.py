"""Compares placement policies under the loads of a YAML file.

``python -m bench.experiment bench/experiments/placement.yaml --plots DIR`` prints the
table of docs/BENCH.md and plots the times to the first token. The simulation runs in
virtual time, so the same file gives the same results.
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
from bench.placement import count_minimum_fetches
from bench.placement import first_token_p99_s
from bench.placement import generate_arrivals
from bench.placement import quantile
from bench.placement import worst_p99_ratio

_CLAIRVOYANT_ROW = "clairvoyant, fetches alone"
_TABLE_HEAD = (
    "| load | policy | fetches | stalled | stall p50 | stall p99 | first token p99 "
    "| worst organisation | refused |"
)


class ExperimentError(Exception):
    """The file is not a valid experiment; the message says what to change."""


@attrs.frozen(kw_only=True)
class Experiment:
    """Loads by name, policies and seeds; every combination of them is run."""

    loads: dict[str, Load]
    policies: list[str]
    seeds: list[int]


@attrs.frozen(kw_only=True)
class PolicyRun:
    """The results of one load under one policy, one for each seed."""

    load: str
    policy: str
    requests: int
    minimum_fetches: int
    results: list[Result]

    @property
    def merged_result(self) -> Result:
        """The results of all seeds, merged into one."""
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


def read_experiment(text: str) -> Experiment:
    """Read an experiment from YAML.

    Raises
    ------
    ExperimentError
        If the document is no mapping, a field or policy is unknown, or a load or its
        name is missing.
    """
    document = yaml.safe_load(text)
    if not isinstance(document, dict):
        raise ExperimentError("the file must hold loads, policies and seeds")
    unknown = sorted(document.keys() - {"loads", "policies", "seeds"})
    if unknown:
        raise ExperimentError(f"unknown field {unknown[0]!r}")
    policies = document.get("policies", list(POLICIES))
    for policy in policies:
        if policy not in POLICIES:
            names = ", ".join(POLICIES)
            raise ExperimentError(
                f"unknown policy {policy!r}; expected one of: {names}"
            )
    loads = dict(_read_load(entry) for entry in document.get("loads", []))
    if not loads:
        raise ExperimentError("give at least one load")
    return Experiment(loads=loads, policies=policies, seeds=document.get("seeds", [1]))


def _read_load(entry: dict[str, Any]) -> tuple[str, Load]:
    fields = dict(entry)
    name = fields.pop("name", None)
    if name is None:
        raise ExperimentError("each load needs a name")
    known = {field.name for field in attrs.fields(Load)}
    unknown = sorted(fields.keys() - known)
    if unknown:
        raise ExperimentError(f"load {name!r} has the unknown field {unknown[0]!r}")
    return str(name), Load(**fields)


def run_experiment(experiment: Experiment) -> list[PolicyRun]:
    """Run each load with each policy and seed."""
    runs = []
    for name, load in experiment.loads.items():
        requests = {seed: generate_arrivals(load, seed) for seed in experiment.seeds}
        for policy in experiment.policies:
            results = [
                Simulation(load, POLICIES[policy]).run(seed_requests)
                for seed_requests in requests.values()
            ]
            runs.append(
                PolicyRun(
                    load=name,
                    policy=policy,
                    requests=sum(len(r) for r in requests.values()),
                    minimum_fetches=sum(
                        count_minimum_fetches(r) for r in requests.values()
                    ),
                    results=results,
                )
            )
    return runs


def format_table(runs: list[PolicyRun]) -> str:
    """Return a table in Markdown, with times in milliseconds."""
    lines = [_TABLE_HEAD, "|---" * 9 + "|"]
    for index, run in enumerate(runs):
        result = run.merged_result
        lines.append(
            f"| {run.load} | {run.policy} | {result.fetches} | {len(result.stalls_s)} "
            f"| {quantile(result.stalls_s, 0.5) * 1000:.0f} ms "
            f"| {quantile(result.stalls_s, 0.99) * 1000:.0f} ms "
            f"| {first_token_p99_s(result) * 1000:.0f} ms "
            f"| {worst_p99_ratio(result):.2f} x median | {result.refused} |"
        )
        if index + 1 == len(runs) or runs[index + 1].load != run.load:
            fetches = run.minimum_fetches
            lines.append(f"| {run.load} | {_CLAIRVOYANT_ROW} | {fetches} | | | | | | |")
    return "\n".join(lines)


def plot_first_tokens(runs: list[PolicyRun], folder: Path) -> list[Path]:
    """Plot the times to the first token of each load, and return the files."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for load in dict.fromkeys(run.load for run in runs):
        figure = matplotlib.figure.Figure(figsize=(7, 4), layout="constrained")
        axes = figure.subplots()
        for run in runs:
            if run.load == load:
                times = [s for v in run.merged_result.first_s.values() for s in v]
                axes.ecdf([s * 1000 for s in times], label=run.policy)
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
    """Compare placement policies under the loads of a file.

    Attributes
    ----------
    file
        YAML file with loads, policies and seeds.
    plots
        Folder for plots; without it, nothing is plotted.
    """

    file: Path
    plots: Path | None = attrs.field(
        default=None, metadata={"cappa": cappa.Arg(long=True)}
    )

    def __call__(self) -> None:
        """Run the command."""
        try:
            experiment = read_experiment(self.file.read_text())
        except (OSError, yaml.YAMLError, ExperimentError) as error:
            raise cappa.Exit(f"{self.file}: {error}", code=2) from error
        runs = run_experiment(experiment)
        print(format_table(runs))
        if self.plots is not None:
            for path in plot_first_tokens(runs, self.plots):
                print(f"plotted: {path}")


if __name__ == "__main__":
    cappa.invoke(Command)
