"""Which function runs which command."""

from collections.abc import Callable

from ..environment import Environment
from ..status import ExitStatus
from .commands.audit import run_audit_command
from .commands.check import run_check_command
from .commands.drain import run_drain_command
from .commands.keys import run_keys_command
from .commands.node import run_node_command
from .commands.publish import run_preset_command, run_publish_command
from .commands.status import run_status_command
from .options import (
    AuditOptions,
    CheckOptions,
    DrainOptions,
    KeysOptions,
    NodeOptions,
    Options,
    PresetOptions,
    PublishOptions,
    StatusOptions,
)

Command = Callable[..., ExitStatus]

COMMANDS: dict[type, Command] = {
    NodeOptions: run_node_command,
    CheckOptions: run_check_command,
    PublishOptions: run_publish_command,
    PresetOptions: run_preset_command,
    StatusOptions: run_status_command,
    DrainOptions: run_drain_command,
    AuditOptions: run_audit_command,
    KeysOptions: run_keys_command,
}


def command_for(options: Options) -> Callable[[Options, Environment], ExitStatus]:
    """Return the function that runs the command of some options."""
    return COMMANDS[type(options)]
