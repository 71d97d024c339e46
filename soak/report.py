"""A report on the runs, with a plot for each: answers a second and the faults."""

from collections import Counter
from html import escape

from .checks import GOOD
from .run import Result

WIDTH, HEIGHT, STEP_S = 640, 90, 0.25


def write(results: list[Result]) -> str:
    """Return the report as HTML."""
    rows = "".join(_section(result) for result in results)
    kept = sum(1 for result in results if not result.broken)
    return (
        "<!doctype html><meta charset=utf-8><title>Soak</title>"
        f"<h1>{kept} of {len(results)} seeds kept every promise</h1>{rows}"
    )


def _section(result: Result) -> str:
    cases = "".join(
        f"<li>{escape(name)}: {escape(case)}</li>"
        for name, found in result.broken.items()
        for case in found[:5]
    )
    calls = result.seen.calls
    good = sum(call.status == GOOD for call in calls)
    title = f"Seed {result.plan.seed}: {good} of {len(calls)} calls answered 200"
    return f"<h2>{title}</h2><ul>{cases}</ul>{_plot(result)}"


def _plot(result: Result) -> str:
    """Return an SVG: green what was served, red what was not, grey the faults."""
    calls = result.seen.calls
    if not calls:
        return ""
    start_s = min(call.sent_s for call in calls)
    served, missed = Counter[int](), Counter[int]()
    for call in calls:
        bins = served if call.status == GOOD else missed
        bins[int((call.sent_s - start_s) / STEP_S)] += 1
    last = max([*served, *missed]) + 1
    most = max(served[index] + missed[index] for index in range(last))
    bar = WIDTH / last
    shapes = [
        f'<rect x="{fault.at_s / STEP_S * bar:.1f}" y="0" width='
        f'"{max(2.0, fault.for_s / STEP_S * bar):.1f}" height="{HEIGHT}" fill="#ddd">'
        f"<title>{type(fault).__name__} {fault.target}</title></rect>"
        for fault in result.plan.faults
    ]
    for index in range(last):
        green = served[index] / most * HEIGHT
        red = missed[index] / most * HEIGHT
        x = index * bar
        shapes.append(_bar(x, HEIGHT - green, bar, green, "#3a3"))
        shapes.append(_bar(x, HEIGHT - green - red, bar, red, "#c33"))
    return f'<svg width="{WIDTH}" height="{HEIGHT}">{"".join(shapes)}</svg>'


def _bar(x: float, y: float, width: float, height: float, colour: str) -> str:
    return (
        f'<rect x="{x:.1f}" y="{y:.1f}" width="{width:.1f}" '
        f'height="{height:.1f}" fill="{colour}"/>'
    )
