"""Waiting until a version is in force everywhere."""

import asyncio
from collections.abc import Callable

import attrs

from ..control.updates import DataCentreReport
from ..environment import Environment
from ..errors import NodeUnreachableError
from .node_client import NodeClient

STATUS_INTERVAL_S = 0.1


@attrs.frozen
class Waited:
    """What became of the wait.

    Attributes
    ----------
    is_complete : bool
        Whether every data centre has the version, or a later one, in force.
    behind : tuple of DataCentreReport
        Last known reports of the data centres that have not; empty also if the
        node gave no answer.
    """

    is_complete: bool
    behind: tuple[DataCentreReport, ...] = ()


async def wait_in_force(
    node: NodeClient,
    version: int,
    deadline_ms: float,
    environment: Environment,
    show: Callable[[str], None] = lambda text: None,
) -> Waited:
    """Ask a node until every data centre has a version, or one after it, in force.

    Parameters
    ----------
    deadline_ms : float
        Monotonic time at which to give up.
    show : callable
        Takes a line of progress.
    """
    waited = Waited(False)
    while True:
        waited = await _look(node, version, waited)
        if waited.is_complete:
            return waited
        show(_progress_of(version, waited))
        if environment.clock.monotonic_ms() >= deadline_ms:
            return waited
        await asyncio.sleep(STATUS_INTERVAL_S)


async def _look(node: NodeClient, version: int, last: Waited) -> Waited:
    try:
        status = await node.status()
    except NodeUnreachableError:
        return last
    behind = tuple(r for r in status.reports if not is_in_force(r, version))
    return Waited(bool(status.reports) and not behind, behind)


def is_in_force(report: DataCentreReport, version: int) -> bool:
    """Whether all live instances of a data centre have at least a version."""
    return report.version >= version and report.in_force >= report.members


def _progress_of(version: int, waited: Waited) -> str:
    parts = [f"{r.data_centre} {r.in_force}/{r.members}" for r in waited.behind]
    return f"version {version}: waiting for {', '.join(parts) or 'reports'}"
