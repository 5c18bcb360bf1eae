"""Errors in experiment files are reported, and an experiment is reproducible."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.experiment import ExperimentError
from bench.experiment import format_table
from bench.experiment import plot_first_tokens
from bench.experiment import read_experiment
from bench.experiment import run_experiment

SMALL = """
seeds: [1, 2]
policies: [chiveslip, random + LRU]
loads:
  - {name: small, rate: 10, length_s: 3}
"""


@pytest.mark.parametrize(
    ("text", "cause"),
    [
        pytest.param("[]", "must hold loads", id="no-mapping"),
        pytest.param("loads: []", "at least one load", id="no-loads"),
        pytest.param("load: []", "unknown field 'load'", id="misspelt"),
        pytest.param("loads: [{rate: 5}]", "needs a name", id="unnamed-load"),
        pytest.param(
            "loads: [{name: a, rat: 5}]", "unknown field 'rat'", id="misspelt-in-load"
        ),
        pytest.param(
            "{policies: [best], loads: [{name: a}]}", "unknown policy", id="no-policy"
        ),
    ],
)
def test_wrong_file_is_refused_with_its_cause(text: str, cause: str) -> None:
    with pytest.raises(ExperimentError, match=cause):
        read_experiment(text)


def test_same_file_gives_the_same_table() -> None:
    first, second = (
        format_table(run_experiment(read_experiment(SMALL))) for _ in range(2)
    )
    assert first == second
    assert first.count("| small |") == 3


def test_committed_experiment_can_be_read() -> None:
    path = Path(__file__).parents[2] / "bench" / "experiments" / "placement.yaml"
    assert read_experiment(path.read_text()).loads.keys() == {"usual", "heavy"}


def test_each_load_is_drawn(tmp_path: Path) -> None:
    (path,) = plot_first_tokens(run_experiment(read_experiment(SMALL)), tmp_path)
    assert path.read_bytes().startswith(b"\x89PNG")
