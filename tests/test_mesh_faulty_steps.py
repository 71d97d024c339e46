"""Internal errors in the steps of a node's main loop and of its shutdown."""

import asyncio
import inspect
from typing import Any

import attrs
import pytest

from azurestep.mesh import events
from azurestep.mesh.node import SETTINGS_CHECK_TICKS, Node
from azurestep.mesh.settings import Bounds

from .fixtures_mesh import MeshFleet

PAUSE_MS = 400.0
"""Pause of the event loop that the ticks of a test see."""
STEPS = [
    "members.discount_pause",
    "callers.exclude_pause",
    "members.tick",
    "inbound.tick",
    "inbound.caller_detector.called_routes",
    "members.known_count",
    "callers.sweep",
    "_check_settings",
    "_check_retry_budget",
    "outbound.context.limit_deadline",
    "inbound.begin_shutdown",
    "shutdown.stop_accepting",
    "shutdown.advance",
    "shutdown.finish",
]


def _fail(*arguments: object) -> None:
    raise LookupError("faulty step")


def break_step(node: Node, step: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make a step of a node raise."""
    *path, name = step.split(".")
    owner: Any = node
    for part in path:
        owner = getattr(owner, part)
    is_field = not inspect.isfunction(vars(type(owner)).get(name))
    monkeypatch.setattr(owner if is_field else type(owner), name, _fail)


@pytest.mark.parametrize("step", STEPS)
async def test_a_step_that_fails_each_time_ends_the_node(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    """An error outside the guards ended the process with 1."""
    node = mesh.instances[0].node
    assert mesh.instances[0].task is not None
    monkeypatch.setattr("azurestep.mesh.node.TICK_S", 0.02)
    node.settings = attrs.evolve(node.settings, bounds=Bounds(grace_ms=900.0))
    break_step(node, step, monkeypatch)
    ticks = node._ticks
    async with asyncio.timeout(10):
        while node._ticks < ticks + 2 * SETTINGS_CHECK_TICKS:
            node._last_tick_ms -= PAUSE_MS
            await asyncio.sleep(0.02)
    node.stop()
    async with asyncio.timeout(3):
        await mesh.instances[0].task
    assert not events.WRITER._lines
    assert (
        node.runtime.metrics.counters["faults", "tick"]
        + (node.runtime.metrics.counters["faults", "stop"])
    )
