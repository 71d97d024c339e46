"""``azurestep status``: show what a node holds and knows."""

import aiohttp

from ...environment import Environment
from ...node.messages import NodeStatus
from ...output.writer import write_result
from ...status import ExitStatus
from ..options import StatusOptions
from .fleet import Fleet, resolve, run


def run_status_command(options: StatusOptions, environment: Environment) -> ExitStatus:
    """Write the state of a node."""
    status = run(_ask(options, environment))
    write_result(status, options.as_json, environment)
    return ExitStatus.OK


async def _ask(options: StatusOptions, environment: Environment) -> NodeStatus:
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(session, resolve(options.fleet, environment), environment)
        return await fleet.node().status()
