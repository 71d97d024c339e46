"""``azurestep node``: run the process beside a backend server."""

import aiomisc

from ...environment import Environment
from ...logs import configure_logs
from ...node.run import run_node
from ...settings import read_settings
from ...status import ExitStatus
from ..options import NodeOptions

WORKER_THREADS = 2


def run_node_command(options: NodeOptions, environment: Environment) -> ExitStatus:
    """Run a node until it is asked to stop."""
    settings = read_settings(options.settings)
    configure_logs(environment.stderr, settings.log_format, settings.log_level)
    with aiomisc.entrypoint(pool_size=WORKER_THREADS, log_config=False) as loop:
        loop.run_until_complete(run_node(settings, environment))
    return ExitStatus.OK
