"""A plot of losses by second."""

import pathlib
from collections import Counter

from ..errors import UsageError
from .losses import LossesResult

SIZE_IN = (10.0, 5.0)
"""Width and height in inches: two of them fit a page."""
SHOWN_MOST = 8
"""Decisions with a colour of their own; the rarer ones are drawn together."""


def plot_losses(result: LossesResult, path: pathlib.Path) -> None:
    """Draw the attempts lost in each second, by what decided it.

    Raises
    ------
    UsageError
        If matplotlib is missing, or the file can't be written.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise UsageError(
            "plots need matplotlib", "Install it, or leave --plot out"
        ) from error
    figure = Figure(figsize=SIZE_IN, layout="constrained")
    axes = figure.subplots()
    seconds, names, heights = _stacks(result)
    if names:
        axes.stackplot(seconds, heights, labels=names, step="post")
        axes.legend(loc="upper left", fontsize="small")
    axes.set_xlabel("seconds since the first line")
    axes.set_ylabel("attempts lost a second")
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise UsageError(
            f"{path} can't be written: {error}", "Name a file such as losses.png"
        ) from error


def _stacks(result: LossesResult) -> tuple[list[int], list[str], list[list[int]]]:
    counts: dict[str, Counter[int]] = {}
    for loss in result.losses:
        name = f"{loss.outcome}: {loss.decision}"
        counts.setdefault(name, Counter())[loss.second] += loss.attempts
    by_size = sorted(counts, key=lambda name: -counts[name].total())
    stacks = {name: counts[name] for name in by_size[:SHOWN_MOST]}
    for name in by_size[SHOWN_MOST:]:
        stacks.setdefault("others", Counter()).update(counts[name])
    last = max((loss.second for loss in result.losses), default=0)
    seconds = list(range(last + 1))
    return seconds, list(stacks), [[one[s] for s in seconds] for one in stacks.values()]
