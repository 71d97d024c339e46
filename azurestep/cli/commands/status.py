"""``azurestep status``: show what a node holds and knows."""

import pathlib

import aiohttp

from ...environment import Environment
from ...errors import SettingsError, UsageError
from ...mesh.settings import Address, parse_address, read_settings
from ...mesh.status import MeshStatus
from ...node.messages import NodeStatus
from ...operations.node_client import NodeClient
from ...output.writer import write_result
from ...platform.boot import SETTINGS_VARIABLE
from ...status import ExitStatus
from ..options import FleetOptions, StatusOptions
from .fleet import Fleet, resolve, run


def run_status_command(options: StatusOptions, environment: Environment) -> ExitStatus:
    """Write the state of a node."""
    fleet = resolve(options.fleet, environment)
    address = _metrics_address(options, fleet, environment)
    status: NodeStatus | MeshStatus
    if address is None:
        status = run(_ask(fleet, environment))
    else:
        status = run(_ask_on_platform(address))
    write_result(status, options.as_json, environment)
    return ExitStatus.OK


def _metrics_address(
    options: StatusOptions, fleet: FleetOptions, environment: Environment
) -> Address | None:
    """Return the metrics address of a node on the platform; None for other nodes.

    Raises
    ------
    UsageError
        If the option is no address.
    SettingsError
        If the settings file can't be used.
    """
    if options.metrics_address is not None:
        try:
            return parse_address(options.metrics_address)
        except SettingsError as error:
            raise UsageError(f"--metrics: {error.problem}", error.remedy) from error
    path = options.settings
    if path is None and not fleet.node_url:
        named = environment.variables.get(SETTINGS_VARIABLE)
        path = pathlib.Path(named) if named else None
    return None if path is None else read_settings(path).metrics_address


async def _ask(options: FleetOptions, environment: Environment) -> NodeStatus:
    async with aiohttp.ClientSession() as session:
        return await Fleet(session, options, environment).node().status()


async def _ask_on_platform(address: Address) -> MeshStatus:
    async with aiohttp.ClientSession() as session:
        client = NodeClient(session, f"http://{address[0]}:{address[1]}")
        return await client.mesh_status()
