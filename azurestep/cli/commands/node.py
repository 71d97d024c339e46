"""``azurestep node``: run the process beside a backend server."""

import aiomisc

from ... import signals
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
    signals.take_over("node")
    # The entrypoint's own handlers would replace those of the process.
    entrypoint = aiomisc.entrypoint(
        pool_size=WORKER_THREADS, log_config=False, catch_signals=()
    )
    with entrypoint as loop:
        try:
            loop.run_until_complete(run_node(settings, environment))
        finally:
            signals.RECEIVED.pass_to(None)
    return ExitStatus.OK
