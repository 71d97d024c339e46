"""``azurestep drain``: stop a node gracefully."""

import aiohttp

from ...environment import Environment
from ...output.results import DrainResult
from ...output.writer import write_result
from ...status import ExitStatus
from ..options import DrainOptions
from .fleet import Fleet, resolve, run


def run_drain_command(options: DrainOptions, environment: Environment) -> ExitStatus:
    """Ask a node to stop and say that it agreed."""
    result = run(_drain(options, environment))
    write_result(result, options.as_json, environment)
    return ExitStatus.OK


async def _drain(options: DrainOptions, environment: Environment) -> DrainResult:
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(session, resolve(options.fleet, environment), environment)
        node = fleet.node()
        status = await node.status()
        await node.drain()
        return DrainResult(status.instance)
