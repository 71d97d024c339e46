"""Which function runs which command."""

from collections.abc import Callable

from ..environment import Environment
from ..status import ExitStatus
from .commands.node import run_node_command
from .options import NodeOptions, Options

Command = Callable[..., ExitStatus]

COMMANDS: dict[type, Command] = {NodeOptions: run_node_command}


def command_for(options: Options) -> Callable[[Options, Environment], ExitStatus]:
    """Return the function that runs the command of some options."""
    return COMMANDS[type(options)]
