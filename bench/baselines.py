"""The shipped settings beside baselines and beside other trade-offs."""

import attrs

from azurestep.settings import ControlSettings

from .results import at_end, machine_facts, write_result
from .scale import SHIPPED, Scale, run_fleet

NODES = 48
# With 16 nodes in each of three data centres this makes every node a reader.
EVERY_NODE = 16
NO_PUSH = "digests without push"

SHIPPED_SETTINGS = ControlSettings()
CASES = {
    SHIPPED: SHIPPED_SETTINGS,
    "every node polls the log": attrs.evolve(
        SHIPPED_SETTINGS, readers_per_data_centre=EVERY_NODE, push_fan_out=0
    ),
    "whole snapshots": attrs.evolve(SHIPPED_SETTINGS, send_deltas=False),
    NO_PUSH: attrs.evolve(SHIPPED_SETTINGS, push_fan_out=0),
    "fan-out 2": attrs.evolve(SHIPPED_SETTINGS, push_fan_out=2),
    "fan-out 8": attrs.evolve(SHIPPED_SETTINGS, push_fan_out=8),
    "probes each 2 s": attrs.evolve(SHIPPED_SETTINGS, probe_interval_ms=2000),
    "probes each 2 s, no push": attrs.evolve(
        SHIPPED_SETTINGS, probe_interval_ms=2000, push_fan_out=0
    ),
}


async def run() -> None:
    """Measure every case at one size and write the result."""
    machine = machine_facts()
    runs = []
    for label, control in CASES.items():
        runs.append(await run_fleet(NODES, label, control, whole=False))
        write_result("baselines", Scale(at_end(machine), runs))
