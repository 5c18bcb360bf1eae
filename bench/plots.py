"""Plots of the models, as SVG files that are the same in every run."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl
import matplotlib.figure


def plot_shares(
    path: Path,
    title: str,
    sizes: Sequence[int],
    shares: Mapping[str, Sequence[float]],
    *,
    goal: float,
) -> None:
    """Plot shares by the number of instances, one line for each label.

    Parameters
    ----------
    path
        File to write; its folder is created.
    shares
        Shares in the order of `sizes`, by the label of their line.
    goal
        Share that is drawn as a dashed line.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    figure = matplotlib.figure.Figure(figsize=(8, 4.5), layout="constrained")
    axes = figure.subplots()
    for label, values in shares.items():
        axes.plot(sizes, values, marker="o", label=label)
    axes.axhline(goal, linestyle="--", color="grey", label=f"goal {goal}")
    axes.set_xscale("log")
    axes.set_xticks(sizes, [f"{size:,}" for size in sizes])
    axes.minorticks_off()
    axes.set_ylim(0, 1.1)
    axes.set_xlabel("instances")
    axes.set_title(title)
    axes.legend(fontsize="small", loc="lower right", ncols=2)
    with mpl.rc_context({"svg.hashsalt": "chiveslip"}):
        figure.savefig(path, metadata={"Date": None})
