"""Slopes: what one member, change or update costs, from the results."""

from collections.abc import Callable

import attrs

from .control_bytes import Window
from .node_cost import TARGET_MEMBERS, Cost, NodeCosts
from .results import Line, fit_line
from .scale import IDLE, SHIPPED, Run, Scale

COST_COMMAND = "make bench ONLY=node_cost"
SCALE_COMMAND = "make bench ONLY=scale"
CHANGES = "changes, 1/s"


@attrs.frozen
class Spent:
    """What something costs a node.

    Attributes
    ----------
    processor_ms : float
        Processor time.
    sent_bytes, received_bytes : float
        Frame bodies.
    sent_frames, received_frames : float
        Frames.
    """

    processor_ms: float = 0.0
    sent_bytes: float = 0.0
    received_bytes: float = 0.0
    sent_frames: float = 0.0
    received_frames: float = 0.0

    def times(self, factor: float) -> "Spent":
        """Return the cost of so many."""
        return Spent(*(factor * value for value in attrs.astuple(self)))

    def plus(self, other: "Spent") -> "Spent":
        """Return both costs together."""
        pairs = zip(attrs.astuple(self), attrs.astuple(other), strict=True)
        return Spent(*(one + two for one, two in pairs))


def _spent(cost: Cost) -> Spent:
    return Spent(
        cost.processor_s * 1000,
        cost.sent_bytes,
        cost.received_bytes,
        cost.sent_frames,
        cost.received_frames,
    )


def idle_per_s(costs: NodeCosts, role: str) -> Spent:
    """Return what a node of a role spends in a second when nothing happens."""
    cost = _find(costs, role, "idle")
    return _spent(cost).times(1 / cost.duration_s)


def per_event(costs: NodeCosts, role: str, activity: str) -> Spent:
    """Return what one event costs a node of a role, its idle cost taken off."""
    cost = _find(costs, role, activity)
    idle = idle_per_s(costs, role).times(-cost.duration_s)
    return _spent(cost).plus(idle).times(1 / cost.events)


def resident_mb(costs: NodeCosts, role: str) -> float:
    """Return the largest resident memory seen in a role."""
    return max(
        cost.resident_mb
        for cost in costs.costs
        if cost.role == role and cost.members == TARGET_MEMBERS
    )


def _find(costs: NodeCosts, role: str, activity: str) -> Cost:
    return next(
        cost
        for cost in costs.costs
        if cost.role == role
        and cost.activity == activity
        and cost.members == TARGET_MEMBERS
    )


def over_members(
    costs: NodeCosts, activity: str, value: Callable[[Cost], float]
) -> Line:
    """Fit a value of plain nodes over the members of their data centre."""
    points = [
        (float(cost.members), value(cost))
        for cost in costs.costs
        if cost.role == "node" and cost.activity == activity
    ]
    return fit_line(points)


def shipped(scale: Scale) -> list[Run]:
    """Return the runs with the settings that nodes have by default."""
    return [run for run in scale.runs if run.label == SHIPPED]


def over_nodes(scale: Scale, value: Callable[[Run], float]) -> Line:
    """Fit a value of the shipped runs over the size of the fleet."""
    return fit_line([(float(run.nodes), value(run)) for run in shipped(scale)])


def window_value(run: Run, label: str, value: Callable[[object], float]) -> float:
    """Return a value of one window of a run."""
    return value(next(window for window in run.windows if window.label == label))


def wire_bytes_per_frame(scale: Scale) -> Line:
    """Fit what the wire adds to frame bodies over the frames of a second."""
    points = [
        (
            window.sent_frames_per_s + window.received_frames_per_s,
            window.sent_wire_bytes_per_s
            + window.received_wire_bytes_per_s
            - window.sent_bytes_per_s
            - window.received_bytes_per_s,
        )
        for run in shipped(scale)
        for window in run.windows
        if window.label != "node restarts"
    ]
    return fit_line(points)


def per_window_event(run: Run, label: str) -> Spent:
    """Return what an event of a window costs a node, its idle cost taken off."""
    window = next(w for w in run.windows if w.label == label)
    idle = next(w for w in run.windows if w.label == IDLE)
    per_s = _rates(window).plus(_rates(idle).times(-1))
    return per_s.times(window.duration_s / window.events)


def _rates(window: Window) -> Spent:
    return Spent(
        window.processor_ratio * 1000,
        window.sent_bytes_per_s,
        window.received_bytes_per_s,
        window.sent_frames_per_s,
        window.received_frames_per_s,
    )
