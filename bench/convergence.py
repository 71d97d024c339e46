"""Convergence time: from the acceptance of a change until it is in force."""

import asyncio

import attrs

from .mesh import Mesh
from .publishing import Published
from .results import percentile

TAIL_S = 5.0


@attrs.frozen
class Convergence:
    """Convergence times of some changes, in ms on the clock of one machine.

    A change is accepted at the time that the log stand-in gave its record; it
    is in force at a node at the time of that node's event 2001 for the version
    or a later one.

    Attributes
    ----------
    label : str
        What else went on.
    nodes, changes : int
        Size of the fleet and number of changes.
    everywhere_p50_ms, everywhere_p99_ms, everywhere_max_ms : float
        Time until the last node had a change in force, over the changes.
    node_p50_ms, node_p99_ms : float
        Time until a node had a change in force, over nodes and changes.
    unfinished : int
        Pairs of node and change that were not in force when the run ended.
    """

    label: str
    nodes: int
    changes: int
    everywhere_p50_ms: float
    everywhere_p99_ms: float
    everywhere_max_ms: float
    node_p50_ms: float
    node_p99_ms: float
    unfinished: int


async def publish_steadily(mesh: Mesh, changes: int, interval_s: float) -> None:
    """Publish changes at a steady rate."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for index in range(changes):
        await mesh.operator.publish_change()
        await asyncio.sleep(max(0.0, start_s + (index + 1) * interval_s - loop.time()))


async def measure(
    mesh: Mesh, label: str, changes: int, interval_s: float
) -> Convergence:
    """Publish changes and return how long they took to be in force."""
    first = len(mesh.operator.published)
    await publish_steadily(mesh, changes, interval_s)
    await asyncio.sleep(TAIL_S)
    return summarize(label, mesh.operator.published[first:], mesh.times_in_force())


def summarize(
    label: str, published: list[Published], times: list[list[tuple[int, int]]]
) -> Convergence:
    """Return the convergence times of changes.

    Parameters
    ----------
    label : str
        What else went on.
    published : list of Published
        Changes and when they were accepted.
    times : list of list of (int, int)
        For each node the versions it applied and when, in ms.
    """
    everywhere: list[float] = []
    single: list[float] = []
    unfinished = 0
    for change in published:
        waits = [_wait_ms(change, node) for node in times]
        reached = [wait for wait in waits if wait is not None]
        unfinished += len(waits) - len(reached)
        single.extend(reached)
        if len(reached) == len(waits):
            everywhere.append(max(reached))
    return Convergence(
        label,
        len(times),
        len(published),
        percentile(everywhere, 0.5) if everywhere else -1.0,
        percentile(everywhere, 0.99) if everywhere else -1.0,
        max(everywhere, default=-1.0),
        percentile(single, 0.5) if single else -1.0,
        percentile(single, 0.99) if single else -1.0,
        unfinished,
    )


def _wait_ms(change: Published, node: list[tuple[int, int]]) -> float | None:
    reached = [at_ms for version, at_ms in node if version >= change.version]
    return float(min(reached) - change.accepted_ms) if reached else None
