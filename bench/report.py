"""Draws the plots of docs/plots and fills the tables of docs/CAPACITY.md."""

import pathlib
from collections.abc import Callable

import matplotlib

matplotlib.use("Agg")

import orjson
from matplotlib import pyplot
from matplotlib.axes import Axes

from . import capacity
from .latency import Latency
from .results import RESULTS, read_result
from .scale import IDLE, Scale
from .slopes import CHANGES, shipped
from .target import TARGET

PLOTS = pathlib.Path(__file__).parent.parent / "docs" / "plots"
SIZE_INCHES = (7, 4)


def draw_convergence(axes: Axes) -> None:
    """Draw the convergence time over the nodes, beside the baselines."""
    runs = shipped(read_result("scale", Scale))
    for index, label in enumerate(found.label for found in runs[0].convergence):
        axes.plot(
            [run.nodes for run in runs],
            [run.convergence[index].everywhere_p99_ms for run in runs],
            marker="o",
            label=label,
        )
    for run in read_result("baselines", Scale).runs[1:4]:
        found = run.convergence[0]
        axes.scatter(run.nodes, found.everywhere_p99_ms, marker="x", label=run.label)
    axes.set(
        xlabel="nodes",
        ylabel="in force everywhere, p99, ms",
        yscale="log",
        title="Convergence time",
    )


def draw_control_bytes(axes: Axes) -> None:
    """Draw the wire bytes of a node over the nodes, beside the baselines."""
    runs = shipped(read_result("scale", Scale))
    for index, window in enumerate(runs[0].windows[:-1]):
        found = [run.windows[index] for run in runs]
        axes.plot(
            [run.nodes for run in runs],
            [w.sent_wire_bytes_per_s + w.received_wire_bytes_per_s for w in found],
            marker="o",
            label=window.label,
        )
    axes.axhline(TARGET.control_bytes_per_s, color="grey", linestyle=":", label="limit")
    axes.set(
        xlabel="nodes",
        ylabel="wire bytes of a node, both ways, B/s",
        title="Control bytes",
    )


def draw_change_rate(axes: Axes) -> None:
    """Draw the bytes over the rate of changes for the baselines."""
    for run in read_result("baselines", Scale).runs[:4]:
        idle = next(w for w in run.windows if w.label == IDLE)
        busy = next(w for w in run.windows if w.label == CHANGES)
        rate = busy.events / busy.duration_s
        sums = [
            (w.sent_bytes_per_s + w.received_bytes_per_s)
            + w.log_out_bytes / w.duration_s / run.nodes
            for w in (idle, busy)
        ]
        axes.plot([0, rate], sums, marker="o", label=run.label)
    axes.set(
        xlabel="changes per second",
        ylabel="frame bytes of a node and its share of the log's, B/s",
        title="Control bytes over the rate of changes, 48 nodes",
    )


def draw_latency(axes: Axes) -> None:
    """Draw the time that a node adds to a call."""
    pairs = read_result("latency", Latency).pairs
    rates = [pair.calls_per_s for pair in pairs]
    for label, values in (
        ("direct p50 (baseline)", [pair.direct_p50_ms for pair in pairs]),
        ("direct p99 (baseline)", [pair.direct_p99_ms for pair in pairs]),
        ("added p50", [pair.added_p50_ms for pair in pairs]),
        ("added p99", [pair.added_p99_ms for pair in pairs]),
    ):
        axes.plot(rates, values, marker="o", label=label)
    axes.axhline(TARGET.added_p99_ms, color="grey", linestyle=":", label="target")
    axes.set(xlabel="calls per second at a node", ylabel="ms", title="Added latency")


def draw_overload(axes: Axes) -> None:
    """Draw the goodput under overload for each policy."""
    result = orjson.loads((RESULTS / "overload.json").read_bytes())
    points: dict[str, dict[float, float]] = {}
    for row in result["tables"]["overload"]:
        if row["scenario"].endswith("times capacity"):
            rows = points.setdefault(row["policy"], {})
            rows[row["load"]] = row["good_ratio"] * row["load"]
    for policy, rows in points.items():
        loads = sorted(rows)
        axes.plot(loads, [rows[load] for load in loads], marker="o", label=policy)
    axes.set(
        xlabel="load offered, times capacity",
        ylabel="goodput, times capacity",
        title="Overload",
    )


DRAWINGS: dict[str, Callable[[Axes], None]] = {
    "convergence": draw_convergence,
    "control_bytes": draw_control_bytes,
    "change_rate": draw_change_rate,
    "latency": draw_latency,
}


def draw(name: str, drawing: Callable[[Axes], None]) -> None:
    """Draw one plot into ``docs/plots``."""
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    drawing(axes)
    axes.legend(fontsize="small")
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(PLOTS / f"{name}.png", dpi=110, metadata={"Software": None})
    pyplot.close(figure)
    print(f"docs/plots/{name}.png")


def main() -> None:
    """Draw every plot whose results are there, then fill the tables."""
    PLOTS.mkdir(parents=True, exist_ok=True)
    for name, drawing in DRAWINGS.items():
        draw(name, drawing)
    if (RESULTS / "overload.json").exists():
        draw("overload", draw_overload)
    text = capacity.PAGE.read_text()
    capacity.PAGE.write_text(capacity.render(text, capacity.read_inputs()))


if __name__ == "__main__":
    main()
