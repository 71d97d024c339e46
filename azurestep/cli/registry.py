"""Which function runs which command.

Commands are imported when they run: a node on the platform listens within tenths
of a second, and the libraries of the other commands would take most of a second.
"""

from collections.abc import Callable
from importlib import import_module

from ..environment import Environment
from ..status import ExitStatus
from .options import (
    AuditOptions,
    CheckOptions,
    DrainOptions,
    ExplainOptions,
    FaultsOptions,
    KeysOptions,
    LossesOptions,
    NodeOptions,
    Options,
    PresetOptions,
    PublishOptions,
    SidecarOptions,
    StatusOptions,
)

COMMANDS: dict[type, tuple[str, str]] = {
    NodeOptions: ("node", "run_node_command"),
    SidecarOptions: ("sidecar", "run_sidecar_command"),
    CheckOptions: ("check", "run_check_command"),
    PublishOptions: ("publish", "run_publish_command"),
    PresetOptions: ("publish", "run_preset_command"),
    StatusOptions: ("status", "run_status_command"),
    DrainOptions: ("drain", "run_drain_command"),
    AuditOptions: ("audit", "run_audit_command"),
    KeysOptions: ("keys", "run_keys_command"),
    ExplainOptions: ("lines", "run_explain_command"),
    LossesOptions: ("lines", "run_losses_command"),
    FaultsOptions: ("lines", "run_faults_command"),
}


def command_for(options: Options) -> Callable[[Options, Environment], ExitStatus]:
    """Return the function that runs the command of some options."""
    module, function = COMMANDS[type(options)]
    command: Callable[[Options, Environment], ExitStatus] = getattr(
        import_module(f".commands.{module}", __package__), function
    )
    return command
