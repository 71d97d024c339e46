"""Gauges of a node on the platform, as its metrics address shows them."""

import re

from .fixtures_mesh import METRICS_PORT, MeshFleet

GAUGES = [
    "members",
    "configuration_version",
    "backend_running",
    "backend_busy",
    "backend_rate_limit",
    "backend_slots_kept",
    "calls_lacking",
    "shed_ratio",
    "backend_work_ratio",
    "configuration_reader",
    "links_unsent_bytes",
    "quota_teams_owned",
    "quota_teams_limited",
    "store_era",
    "store_reachable",
]


async def test_the_metrics_address_shows_all_gauges(mesh: MeshFleet) -> None:
    """Guards against gauges that are lost or renamed, which ends operators' series."""
    url = f"http://{mesh.instances[0].host}:{METRICS_PORT}/metrics"
    async with mesh.session.get(url) as answer:
        text = await answer.text()
    found = re.findall(r"^azurestep_(\w+) (\S+)$", text, re.MULTILINE)
    values = {name: value for name, value in found if name in GAUGES}
    assert list(values) == GAUGES
    assert (values["members"], values["configuration_version"]) == ("3", "3")
    assert (values["store_era"], values["store_reachable"]) == ("1", "1")
